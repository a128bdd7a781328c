//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub/platform/standin"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// anyAddress is a free port of the loopback interface.
const anyAddress = "127.0.0.1:0"

const (
	routeHost = "desk.example"
	prefix    = "/claims/"
	frontPort = "7000"
)

// site is a small deployment: hosts as real processes, the store and the workers.
type site struct {
	*world
	record *record
	dir    string
	hosts  []*hostProcess
	front  []string
	store  *standin.Store
	// storeAddress is where the hosts reach the store.
	storeAddress string
	proxy        *storeProxy
	server       *http.Server
	group        conc.WaitGroup
	hold         net.Listener
}

type hostProcess struct {
	cmd      *exec.Cmd
	exited   chan struct{}
	ip       string
	settings string
	log      string
}

// newSite starts the store, the workers and the hosts.
func newSite(r *record, dir string, hosts, workers int) (*site, error) {
	store := standin.NewStore()
	s := &site{record: r, dir: dir, store: store, world: newWorld(r, store)}
	l, err := net.Listen("tcp4", anyAddress)
	if err != nil {
		return nil, err
	}
	s.storeAddress = l.Addr().String()
	s.server = &http.Server{Handler: store, ReadHeaderTimeout: 5 * time.Second}
	s.group.Go(func() { _ = s.server.Serve(l) })
	s.group.Go(s.runClock)
	if s.proxy, err = newStoreProxy(s.storeAddress); err != nil {
		return s, err
	}
	s.storeAddress = s.proxy.listener.Addr().String()
	if err := store.Put("op/config", configuration(3, true)); err != nil {
		return s, err
	}
	for i := range workers {
		if _, err := s.addWorker(i, anyAddress); err != nil {
			return s, err
		}
	}
	network, err := s.reserve(hosts)
	if err != nil {
		return s, err
	}
	for i := range hosts {
		if err := s.startHost(i, fmt.Sprintf("%s.%d", network, i+1)); err != nil {
			return s, err
		}
	}
	return s, nil
}

// configuration is the operator's configuration, with the route that the clients use or without it.
func configuration(version int, hasRoute bool) map[string]any {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_duration_ms": 1000, "priority": 1, "service": "pool", "max_attempts": 3, "stretch": 2,
		}
	}
	routes := []any{route("r-idle", "/idle/")}
	if hasRoute {
		routes = append(routes, route("r-claims", prefix))
	}
	return map[string]any{
		"version": version, "limits": map[string]any{"max_body_bytes": 262144}, "routes": routes,
		"services": []any{map[string]any{"name": "pool", "enforces_capacity": false}},
	}
}

// reserve finds loopback addresses on which all ports of the hosts are free.
func (s *site) reserve(hosts int) (string, error) {
	for n := range 200 {
		network := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+n)
		l, err := net.Listen("tcp4", network+".0:"+frontPort)
		if err != nil {
			continue
		}
		isFree := true
		for i := range hosts {
			for _, port := range []string{frontPort, "7001", "7720", "9464"} {
				probe, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%s", network, i+1, port))
				if err != nil {
					isFree = false
					continue
				}
				_ = probe.Close()
			}
		}
		if isFree {
			s.hold = l
			return network, nil
		}
		_ = l.Close()
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (s *site) startHost(i int, ip string) error {
	h := &hostProcess{ip: ip, settings: filepath.Join(s.dir, fmt.Sprintf("host-%d.conf", i)), log: filepath.Join(s.dir, fmt.Sprintf("host-%d.log", i))}
	lines := []string{
		fmt.Sprintf("node_name=frontend-%s-%d", zoneOf(i), i), "role=host", "machine_class=frontend", "serves=frontend", "ip=" + ip,
		"zone=" + zoneOf(i), "region=here", "zones.z0=here", "zones.z1=here", "zones.z2=here",
		"listen.front=" + ip + ":" + frontPort, "listen.readiness=" + ip + ":7001", "internal_ports=7720,7735", "seeds=", "bootstrap=true",
		"loss_counts=false", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.file_descriptors=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=virtual_ip", "heartbeat_ms=1100",
		"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing", "fault_tolerance.machines=1", "fault_tolerance.zones=1",
		"fault_tolerance.regions=0", "bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000",
		"bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.recovery_s=12", "bounds.max_hold_ms=6000",
		"bounds.stop_ms=900", "bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250",
		"bounds.finish_s=14", "bounds.status_s=120", "bounds.remote_factor=1.5", "bounds.checkpoint_interval_s=2", "bounds.restore_ms=100",
		"bounds.notice_ms=4500", "bounds.move_s=1.5", "bounds.upkeep_s=2", "bounds.enforce_fencing=true", "bounds.lease_ms=3000",
		"bounds.pace_ms=100", "bounds.harm_ms=4000", "orders=call", "platform.address=" + s.storeAddress, "platform.form=kv",
		"platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576",
		"platform.ttl_min_ms=1000", "cloud_api.duties=",
	}
	if err := os.WriteFile(h.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	s.hosts = append(s.hosts, h)
	s.front = append(s.front, ip+":"+frontPort)
	return s.run(h)
}

// run starts the process of a host with the command of the deploy file.
func (s *site) run(h *hostProcess) error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/heatherhub", "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HEATHERHUB_CONFIG=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	s.group.Go(func() {
		_ = cmd.Wait()
		close(exited)
	})
	s.record.write("host %s starts", h.ip)
	return nil
}

// close ends all processes and servers.
func (s *site) close() {
	for _, h := range s.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
		<-h.exited
	}
	close(s.done)
	s.world.mu.Lock()
	workers := append([]*worker(nil), s.workers...)
	s.world.mu.Unlock()
	for _, k := range workers {
		_ = k.server.Close()
	}
	_ = s.server.Close()
	if s.proxy != nil {
		s.proxy.close()
	}
	if s.hold != nil {
		_ = s.hold.Close()
	}
}

// call sends one request of a client to a host and returns the status, or 0 without an answer.
func (s *site) call(host int, method, path string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		in = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.front[host]+path, in)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = routeHost
	r.Header.Set("X-Heatherhub-Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		s.record.write("%s %s at host %d: no answer (%v)", method, path, host, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	s.record.write("%s %s at host %d: %d %s", method, path, host, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// submit hands a job with one step in, again and again until it is accepted or time is up.
func (s *site) submit(id string, st step) bool {
	s.world.mu.Lock()
	s.steps[id] = st
	s.world.mu.Unlock()
	for i := range 40 {
		status, _ := s.call(i%len(s.front), http.MethodPost, prefix+id, map[string]any{"spec": "claim " + id, "steps": []step{st}})
		if status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (s *site) state(i int, id string) string {
	status, text := s.call(i%len(s.front), http.MethodGet, prefix+id, nil)
	var v struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &v) != nil {
		return ""
	}
	return v.State
}

// running returns the runs of a job that are on workers now.
func (s *site) running(id string) []*run {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	var out []*run
	for _, k := range s.workers {
		for _, r := range k.runs {
			if !k.isDown && r.job == id {
				out = append(out, r)
			}
		}
	}
	return out
}

// await waits until a condition holds, for limit at most.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
