//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
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

// step is a step of a job as clients send it. Duration is what its tasks take; zero: they last.
type step struct {
	Count         int           `json:"count"`
	CPU           int           `json:"cpu"`
	Memory        int           `json:"mem_mb"`
	Estimated     int64         `json:"estimated_ms,omitempty"`
	After         []int         `json:"after,omitempty"`
	Checkpointing bool          `json:"checkpointing,omitempty"`
	Gang          bool          `json:"gang,omitempty"`
	LongRunning   bool          `json:"long_running,omitempty"`
	Image         string        `json:"image,omitempty"`
	Fills         bool          `json:"fills,omitempty"`
	Duration      time.Duration `json:"-"`
}

// job is a job as clients send it.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// startSeen is a start, as a worker saw it.
type startSeen struct {
	at         time.Time
	worker     *worker
	task       string
	run        uint64
	checkpoint string
}

// endSeen is the end of a run, as a worker saw it.
type endSeen struct {
	at        time.Time
	task      string
	run       uint64
	how       string
	startedAt time.Time
}

// host is one host of the system. The script of the case starts its process.
type host struct {
	name, ip string
	gate     *gate
	quiet    *quietListener
}

// scene is one play of a case.
type scene struct {
	dir        string
	hasTrouble bool
	begunAt    time.Time
	store      *standin.Store
	fleet      *fleet
	hosts      []*host
	group      conc.WaitGroup

	mu     sync.Mutex
	record *os.File

	// The fleet's lock guards the fields below.
	jobs   map[string]*job
	starts []startSeen
	ends   []endSeen
}

// log writes a line to the record.
func (s *scene) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.begunAt).Seconds(), fmt.Sprintf(format, args...))
}

// started notes a start. The caller holds the fleet's lock.
func (s *scene) started(w *worker, r *run) {
	s.starts = append(s.starts, startSeen{at: r.startedAt, worker: w, task: r.task, run: r.number, checkpoint: r.checkpoint})
	s.log("worker %s starts %s run %d checkpoint %q", w.id, r.task, r.number, r.checkpoint)
}

// ended notes an end. The caller holds the fleet's lock.
func (s *scene) ended(w *worker, r *run, how string) {
	s.ends = append(s.ends, endSeen{at: time.Now(), task: r.task, run: r.number, how: how, startedAt: r.startedAt})
	s.log("worker %s ends %s run %d: %s, saved %q", w.id, r.task, r.number, how, r.saved)
}

// storeDelay is the time that the store of the site takes for an answer.
const storeDelay = 4 * time.Millisecond

// gate passes the calls of one host on to the store.
type gate struct {
	scene *scene
	host  string

	mu     sync.Mutex
	isBusy bool
	// lateKey and lateFor delay writes of a key: they get no answer and are done later.
	lateKey string
	lateFor time.Duration
	leases  []string
}

// set changes the gate.
func (g *gate) set(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// ServeHTTP passes a call on.
func (g *gate) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	time.Sleep(storeDelay)
	g.mu.Lock()
	isBusy, lateKey, lateFor := g.isBusy, g.lateKey, g.lateFor
	g.mu.Unlock()
	switch {
	case isBusy:
		out.WriteHeader(http.StatusServiceUnavailable)
	case lateKey != "" && strings.HasSuffix(r.URL.Path, "/kv-txn") && bytes.Contains(body, []byte(lateKey)):
		g.scene.log("store: a write of %s for %s gets no answer and is done %s later", lateKey, g.host, lateFor)
		g.scene.group.Go(func() {
			time.Sleep(lateFor)
			seen := &memoryResponse{header: make(http.Header), status: 200}
			late := r.WithContext(context.Background())
			late.Body = io.NopCloser(bytes.NewReader(body))
			g.scene.store.ServeHTTP(seen, late)
			g.scene.log("store: the late write of %s for %s is done with %d", lateKey, g.host, seen.status)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, "/kv-lease"):
		seen := &memoryResponse{header: make(http.Header), status: 200}
		g.scene.store.ServeHTTP(seen, r)
		var lease struct {
			Lease json.Number `json:"lease"`
		}
		if json.Unmarshal(seen.body.Bytes(), &lease) == nil {
			g.set(func() { g.leases = append(g.leases, lease.Lease.String()) })
		}
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(seen.status)
		_, _ = out.Write(seen.body.Bytes())
	default:
		g.scene.store.ServeHTTP(out, r)
	}
}

// revoke takes the keys of the host away: all its leases end.
func (g *gate) revoke() {
	g.mu.Lock()
	leases := g.leases
	g.leases = nil
	g.mu.Unlock()
	for _, id := range leases {
		r, err := http.NewRequest(http.MethodDelete, "/v1/kv-lease-end/"+id, nil)
		if err == nil {
			g.scene.store.ServeHTTP(&memoryResponse{header: make(http.Header)}, r)
		}
	}
	g.scene.log("store: the keys of %s are taken away (%d leases)", g.host, len(leases))
}

// memoryResponse keeps a response.
type memoryResponse struct {
	header http.Header
	body   bytes.Buffer
	status int
}

func (m *memoryResponse) Header() http.Header         { return m.header }
func (m *memoryResponse) Write(b []byte) (int, error) { return m.body.Write(b) }
func (m *memoryResponse) WriteHeader(status int)      { m.status = status }

const frontPort, readinessPort = "8161", "8167"

// prepareHosts writes the settings of n hosts in one network of loopback addresses, and then the file
// "ready" for the script, which starts the hosts.
func (s *scene) prepareHosts(n int) error {
	network := fmt.Sprintf("127.%d.%d", 40+rand.IntN(150), 1+rand.IntN(250))
	for i := range n {
		h := &host{name: fmt.Sprintf("frontend-bole-hall-%d", i+1), ip: fmt.Sprintf("%s.%d", network, 11+i)}
		h.gate = &gate{scene: s, host: h.name}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		h.quiet = &quietListener{Listener: l}
		s.group.Go(func() { _ = (&http.Server{Handler: h.gate}).Serve(h.quiet) })
		if err := os.WriteFile(filepath.Join(s.dir, h.name+".conf"), []byte(s.settings(h, l.Addr().String())), 0o600); err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	return os.WriteFile(filepath.Join(s.dir, "ready"), nil, 0o600)
}

// settings are those of a machine of abay-claims.
func (s *scene) settings(h *host, store string) string {
	return strings.Join([]string{
		"node_name=" + h.name, "role=host", "machine_class=frontend", "serves=frontend", "ip=" + h.ip, "zone=bole-hall", "region=addis-central",
		"zones.bole-hall=addis-central", "listen.front=" + h.ip + ":" + frontPort, "listen.readiness=" + h.ip + ":" + readinessPort,
		"internal_ports=7720,7735", "seeds=", "bootstrap=true", "loss_counts=false", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284",
		"limits.file_descriptors=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=virtual_ip", "heartbeat_ms=1100",
		"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing", "fault_tolerance.machines=1", "fault_tolerance.zones=1",
		"fault_tolerance.regions=0", "bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000",
		"bounds.catch_up_s=4", "bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
		"bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=5000", "bounds.recovery_s=12", "bounds.max_hold_ms=6000", "bounds.stop_ms=900",
		"bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.remote_factor=1.5", "bounds.checkpoint_interval_s=2", "bounds.restore_ms=100", "bounds.notice_ms=4500", "bounds.move_s=1.5",
		"bounds.upkeep_s=2", "bounds.enforce_fencing=true", "bounds.lease_ms=3000", "bounds.thaw_slack_ms=300", "bounds.pace_ms=100", "bounds.harm_ms=4000",
		"orders=call", "platform.address=" + store, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000", "",
	}, "\n")
}

const routeHost, prefix = "claims.example", "/letters/"

// config is a version of the operator's configuration, without its only route if isDropped is set.
func config(version int, isDropped bool) map[string]any {
	c := map[string]any{
		"version": version, "limits": map[string]any{"max_body_bytes": 262144},
		"services": []any{map[string]any{"name": "claimdesk", "enforces_capacity": false}},
		"routes": []any{map[string]any{
			"name": "letter-batch", "host": routeHost, "prefix": prefix, "service": "claimdesk", "timeout_ms": 3000, "priority": 2, "max_attempts": 3,
			"stretch": 2.0, "target_duration_ms": 1000,
		}},
	}
	if isDropped {
		c["routes"] = []any{}
	}
	return c
}

// request sends a client's request to a host and returns the status, or 0 without an answer.
func (s *scene) request(h *host, method, path string, body any) (int, string) {
	data := []byte(nil)
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.ip+":"+frontPort+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = routeHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Heatherhub-Deadline-Ms", "3000")
	sentAt := time.Now()
	resp, err := http.DefaultClient.Do(r)
	status, text := 0, ""
	if err == nil {
		answer, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status, text = resp.StatusCode, strings.TrimSpace(string(answer))
	}
	s.log("client: %s %s at %s (%d bytes) -> %d %s after %d ms", method, path, h.name, len(data), status, text, time.Since(sentAt).Milliseconds())
	return status, text
}

// submit hands a job in, with retries, until it is accepted.
func (s *scene) submit(id string, j job) error {
	s.fleet.mu.Lock()
	s.jobs[id] = &j
	s.fleet.mu.Unlock()
	for k := range 20 {
		if status, _ := s.request(s.hosts[k%len(s.hosts)], http.MethodPost, prefix+id, j); status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted", id)
}

// state asks for the state of a job.
func (s *scene) state(id string) string {
	for k := range 5 {
		if status, text := s.request(s.hosts[k%len(s.hosts)], http.MethodGet, prefix+id, nil); status == 200 {
			var body struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(text), &body)
			return body.State
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// awaitFinal waits until a job has a final state, and returns the last one.
func (s *scene) awaitFinal(id string, limit time.Duration) string {
	state := ""
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(time.Second) {
		if state = s.state(id); state == "completed" || state == "failed" || state == "cancelled" {
			break
		}
	}
	return state
}

// begin starts the store, workers and hosts, and waits until they serve.
func (s *scene) begin(workers, cpu, hosts int) error {
	s.store = standin.NewStore()
	s.fleet = &fleet{scene: s, gangs: make(map[string]*gang)}
	s.jobs = make(map[string]*job)
	if err := s.store.Put("op/config", config(7, false)); err != nil {
		return err
	}
	for i := range workers {
		if _, err := s.fleet.start("", fmt.Sprintf("r1-%d", i/8), cpu); err != nil {
			return err
		}
	}
	s.group.Go(func() {
		for {
			s.fleet.mu.Lock()
			s.fleet.advance()
			s.fleet.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
		}
	})
	time.Sleep(100 * time.Millisecond)
	if err := s.prepareHosts(hosts); err != nil {
		return err
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(10 * time.Second)
	if err := s.submit("00000000000000aa", job{Spec: "first", Steps: []step{{Count: 2, CPU: 500, Memory: 100, Estimated: 500, Duration: 500 * time.Millisecond}}}); err != nil {
		return err
	}
	if state := s.awaitFinal("00000000000000aa", 15*time.Second); state != "completed" {
		return fmt.Errorf("the first job is %q", state)
	}
	return nil
}

// cases are the plays. Each returns whether the rule was broken.
var cases = map[string]func(*scene) (bool, error){}

func main() {
	name := flag.String("case", "", "the case to play")
	recordPath := flag.String("record", "record.txt", "where the record is written")
	hasTrouble := flag.Bool("trouble", true, "whether the disruption takes place")
	dir := flag.String("dir", "", "folder for the settings of the hosts")
	flag.Parse()
	os.Exit(play(*name, *recordPath, *dir, *hasTrouble))
}

// play plays a case and returns the exit code.
func play(name, recordPath, dir string, hasTrouble bool) int {
	f := cases[name]
	if f == nil {
		fmt.Println("no such case:", name)
		return 2
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	defer record.Close()
	s := &scene{dir: dir, hasTrouble: hasTrouble, begunAt: time.Now(), record: record}
	isBroken, err := f(s)
	switch {
	case err != nil:
		s.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case isBroken:
		s.log("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	default:
		s.log("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
