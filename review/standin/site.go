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
	"path/filepath"
	"strings"
	"sync"
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
	// maxAttempts is that of most requests of the site.
	maxAttempts = 3
)

// site is a small deployment: the store, the workers and the settings of the hosts, which play.sh
// starts as processes.
type site struct {
	*world
	record *record
	dir    string
	front  []string
	store  *standin.Store
	// storeAddress is where the hosts reach the store.
	storeAddress string
	proxy        *storeProxy
	losing       *losingStore
	server       *http.Server
	group        conc.WaitGroup
	hold         net.Listener
}

// newSite starts the store and the workers, and has the hosts started.
func newSite(r *record, dir string, hosts, workers int) (*site, error) {
	store := standin.NewStore()
	s := &site{record: r, dir: dir, store: store, world: newWorld(r, store)}
	l, err := net.Listen("tcp4", anyAddress)
	if err != nil {
		return nil, err
	}
	s.storeAddress = l.Addr().String()
	s.losing = &losingStore{Store: store, record: r, done: s.done}
	s.server = &http.Server{Handler: s.losing, ReadHeaderTimeout: 5 * time.Second}
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
		if err := s.writeSettings(i, fmt.Sprintf("%s.%d", network, i+1)); err != nil {
			return s, err
		}
	}
	// play.sh starts the hosts once this file is there.
	return s, os.WriteFile(filepath.Join(dir, "ready"), nil, 0o600)
}

// configuration is the operator's configuration, with the route that the clients use or without it.
func configuration(version int, hasRoute bool) map[string]any {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_duration_ms": 1000, "priority": 1, "service": "pool", "max_attempts": maxAttempts, "stretch": 2,
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

// writeSettings writes the settings file of a host.
func (s *site) writeSettings(i int, ip string) error {
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
	s.front = append(s.front, ip+":"+frontPort)
	s.record.write("host %d at %s", i, ip)
	path := filepath.Join(s.dir, fmt.Sprintf("host-%d.conf", i))
	return os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// close ends all servers.
func (s *site) close() {
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
