package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/platform"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin"
)

var domains = []heatherhub.FailureDomain{"mechelen", "leuven"}

// site is a running stand-in of two workers, with clients that call it over HTTP from
// failure domain mechelen.
type site struct {
	t       *testing.T
	standin *standin.Standin
	cfg     platform.Config
	store   *store.Client
	list    *hostlist.Client
	workers *worker.Client
	hosts   []hostlist.Host
}

// newSite starts a stand-in after applying the changes to its configuration.
func newSite(t *testing.T, change ...func(*standin.Config)) *site {
	t.Helper()
	cfg := standin.Config{
		Hosts: standin.Fleet(standin.FleetConfig{
			Workers: 2, Domains: domains, Slots: 2, Connections: 8,
			Capacity: heatherhub.Resources{CPU: 30_000, Memory: 125_000},
		}),
		Work: map[heatherhub.WorkloadID]time.Duration{"compile": time.Millisecond},
	}
	for _, f := range change {
		f(&cfg)
	}
	s, err := standin.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	p := platform.Config{
		Address: s.Address(), Domain: "mechelen",
		PingAfter: 50 * time.Millisecond, PingTimeout: 50 * time.Millisecond,
	}
	out := &site{t: t, standin: s, cfg: p, store: store.NewClient(p), list: hostlist.NewClient(hostlist.ClientConfig{Platform: p, Log: zap.NewNop()})}
	out.workers = worker.NewClient(worker.ClientConfig{Platform: p})
	out.hosts, err = out.list.Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	out.workers.SetHosts(out.hosts)
	t.Cleanup(func() {
		out.store.Close()
		out.list.Close()
		out.workers.Close()
	})
	return out
}

// faults posts a JSON Faults, which must be accepted.
func (s *site) faults(text string) {
	s.t.Helper()
	resp, err := http.Post("http://"+s.standin.Address()+"/faults", "application/json", bytes.NewReader([]byte(text)))
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.t.Fatalf("faults %s: got status %d, want 200", text, resp.StatusCode)
	}
}

// start starts a task under a lease of one hour.
func (s *site) start(id heatherhub.WorkerID, t heatherhub.Task) error {
	return s.workers.Start(s.t.Context(), id, worker.StartCommand{Task: t, Epoch: 1, LeaseUntil: time.Now().Add(time.Hour)})
}

// serve sends a request to the replica svc:compile of a worker.
func (s *site) serve(id heatherhub.WorkerID, r heatherhub.RequestID) (worker.Answer, error) {
	return s.workers.Serve(s.t.Context(), id, worker.Request{
		ID: r, Workload: "compile", Task: "svc:compile", Key: heatherhub.IdempotencyKey(r), Body: []byte("program"), Timeout: 10 * time.Second,
	})
}

// serveUnanswered is serve with a timeout of 200 ms, for requests that must get no
// answer. It returns their error.
func (s *site) serveUnanswered(id heatherhub.WorkerID, r heatherhub.RequestID) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := s.workers.Serve(ctx, id, worker.Request{ID: r, Workload: "compile", Task: "svc:compile"})
	return err
}

// replica returns the only replica of the service compile.
func replica() heatherhub.Task {
	return heatherhub.Task{ID: "svc:compile", Workload: "compile", Kind: heatherhub.KindService, Size: heatherhub.Resources{CPU: 1000, Memory: 500}}
}

// wantCode checks the code of the error of a call.
func wantCode(t *testing.T, what string, err error, want heatherhub.Code) {
	t.Helper()
	if got := heatherhub.CodeOf(err); got != want {
		t.Errorf("%s: got %q (%v), want %q", what, got, err, want)
	}
}

// TestStoreOverHTTP checks the calls of the store and the codes of their errors
// through the HTTP client.
func TestStoreOverHTTP(t *testing.T) {
	s := newSite(t)
	ctx := t.Context()
	rev, err := s.store.CompareAndSwap(ctx, store.Write{Key: "config/current", Value: []byte("v1")})
	wantCode(t, "first write", err, heatherhub.CodeOK)
	_, err = s.store.CompareAndSwap(ctx, store.Write{Key: "config/current", Value: []byte("v2")})
	wantCode(t, "stale write", err, heatherhub.CodeConflict)
	e, err := s.store.Get(ctx, "config/current")
	if err != nil || string(e.Value) != "v1" || e.Revision != rev {
		t.Errorf("read: got %+v and %v, want v1 at revision %d", e, err, rev)
	}
	lease, err := s.store.GrantLease(ctx, time.Minute)
	wantCode(t, "grant", err, heatherhub.CodeOK)
	wantCode(t, "renewal", s.store.RenewLease(ctx, lease), heatherhub.CodeOK)
	_, err = s.store.CompareAndSwap(ctx, store.Write{Key: "hosts/a", Value: []byte("x"), Lease: lease})
	wantCode(t, "write under a lease", err, heatherhub.CodeOK)
	wantCode(t, "revocation", s.store.RevokeLease(ctx, lease), heatherhub.CodeOK)
	wantCode(t, "renewal of an ended lease", s.store.RenewLease(ctx, lease), heatherhub.CodeNotFound)
	changes, err := s.store.Watch(ctx, "hosts/", rev)
	if err != nil || len(changes) != 1 || changes[0].Value != nil {
		t.Errorf("watch: got %+v and %v, want the removal of hosts/a", changes, err)
	}
	entries, err := s.store.List(ctx, "config/")
	if err != nil || len(entries) != 1 {
		t.Errorf("list: got %+v and %v, want one entry", entries, err)
	}
}

// TestStoreFaultsOverHTTP checks what a client sees of a lost answer, an outage and a
// partition. A lost answer must be unknown and resolvable, as the write took effect.
func TestStoreFaultsOverHTTP(t *testing.T) {
	s := newSite(t)
	ctx := t.Context()
	s.faults(`{"store":{"loseEvery":1}}`)
	w := store.Write{Key: "a", Value: []byte("mine")}
	_, err := s.store.CompareAndSwap(ctx, w)
	wantCode(t, "write with a lost answer", err, heatherhub.CodeUnknown)
	_, err = store.Resolve(ctx, s.store, w)
	wantCode(t, "resolution", err, heatherhub.CodeOK)
	s.faults(`{"store":{"down":true}}`)
	_, err = s.store.CompareAndSwap(ctx, store.Write{Key: "b"})
	wantCode(t, "write in an outage", err, heatherhub.CodeUnavailable)
	s.faults(`{"store":{},"partition":["mechelen"]}`)
	bounded, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_, err = s.store.CompareAndSwap(bounded, store.Write{Key: "b"})
	wantCode(t, "write from a domain that is cut off", err, heatherhub.CodeUnknown)
	s.faults(`{"partition":[]}`)
	_, err = s.store.CompareAndSwap(ctx, store.Write{Key: "b"})
	wantCode(t, "write after the partition", err, heatherhub.CodeOK)
}

// TestRefusedConnectionMeansNotRun checks that a request to a dead or unlisted worker
// is reported as not run, so that its caller may retry it elsewhere.
func TestRefusedConnectionMeansNotRun(t *testing.T) {
	s := newSite(t)
	s.faults(`{"workers":[{"id":"leuven-w000","action":"kill"}]}`)
	wantCode(t, "start at a dead worker", s.start("leuven-w000", replica()), heatherhub.CodeUnavailable)
	_, err := s.serve("leuven-w000", "r1")
	wantCode(t, "request to a dead worker", err, heatherhub.CodeNotRun)
	_, err = s.serve("gent-w000", "r2")
	wantCode(t, "request to a worker that is not listed", err, heatherhub.CodeNotRun)
	s.faults(`{"workers":[{"id":"leuven-w000","action":"revive"}]}`)
	wantCode(t, "start at a revived worker", s.start("leuven-w000", replica()), heatherhub.CodeOK)
}

// TestWorkerOverHTTP checks the commands of a worker and the codes of their errors
// through the HTTP client.
func TestWorkerOverHTTP(t *testing.T) {
	s := newSite(t)
	const id = "mechelen-w000"
	wantCode(t, "start", s.start(id, replica()), heatherhub.CodeOK)
	a, err := s.serve(id, "r1")
	if err != nil || a.ID != "r1" || string(a.Body) != "program" {
		t.Errorf("answer: got %+v and %v, want the request's own", a, err)
	}
	_, err = s.workers.Serve(t.Context(), id, worker.Request{ID: "r2", Workload: "compile", Task: "svc:other"})
	wantCode(t, "request to an absent replica", err, heatherhub.CodeNotRun)
	job := heatherhub.Task{ID: "job:a:0", Workload: "letters", Kind: heatherhub.KindBatch, Size: heatherhub.Resources{CPU: 1000, Memory: 500}, RunTime: time.Hour}
	wantCode(t, "start", s.start(id, job), heatherhub.CodeOK)
	wantCode(t, "throttle", s.workers.Throttle(t.Context(), id, job.ID, 50), heatherhub.CodeOK)
	ref, err := s.workers.Checkpoint(t.Context(), id, job.ID)
	if err != nil || ref == "" {
		t.Errorf("checkpoint: got %q and %v, want a reference", ref, err)
	}
	wantCode(t, "stop", s.workers.Stop(t.Context(), id, job.ID), heatherhub.CodeOK)
	_, err = s.workers.Checkpoint(t.Context(), id, job.ID)
	wantCode(t, "checkpoint of a stopped task", err, heatherhub.CodeNotFound)
	r, err := s.workers.Renew(t.Context(), id, worker.RenewCommand{})
	if err != nil || len(r.Tasks) != 2 || r.Tasks[0].State != worker.TaskStopped || r.Tasks[0].Checkpoint != ref {
		t.Errorf("report: got %+v and %v, want the stopped task with its checkpoint first", r, err)
	}
}

// TestFrozenWorkerGivesUnknownOutcome checks that a request to a frozen worker is not
// reported as not run: the worker may have received it.
func TestFrozenWorkerGivesUnknownOutcome(t *testing.T) {
	s := newSite(t)
	const id = "mechelen-w000"
	wantCode(t, "start", s.start(id, replica()), heatherhub.CodeOK)
	s.faults(`{"workers":[{"id":"mechelen-w000","action":"freeze"}]}`)
	wantCode(t, "request to a frozen worker", s.serveUnanswered(id, "r1"), heatherhub.CodeUnknown)
	s.faults(`{"workers":[{"id":"mechelen-w000","action":"thaw"}]}`)
	_, err := s.serve(id, "r2")
	wantCode(t, "request after the pause", err, heatherhub.CodeOK)
}

// TestSilentConnectionIsReplaced guards against a client that keeps using a
// connection that drops all data without being closed. Commands and requests use
// separate connections; each must fail once and then use a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s := newSite(t)
	const id = "mechelen-w000"
	wantCode(t, "start", s.start(id, replica()), heatherhub.CodeOK)
	_, err := s.serve(id, "r1")
	wantCode(t, "request", err, heatherhub.CodeOK)
	s.faults(`{"workers":[{"id":"mechelen-w000","action":"silence"}]}`)
	wantCode(t, "command on a silent connection", s.workers.Stop(t.Context(), id, "none"), heatherhub.CodeUnknown)
	wantCode(t, "command on a new connection", s.workers.Stop(t.Context(), id, "none"), heatherhub.CodeOK)
	wantCode(t, "request on a silent connection", s.serveUnanswered(id, "r2"), heatherhub.CodeUnknown)
	_, err = s.serve(id, "r3")
	wantCode(t, "request on a new connection", err, heatherhub.CodeOK)
}

// TestHostListLagAndAnnouncements checks that an announced host is listed, a malformed
// one is refused, changes within the lag stay hidden, and an outage is reported.
func TestHostListLagAndAnnouncements(t *testing.T) {
	s := newSite(t)
	entry := hostlist.Host{ID: "entry-1", Role: hostlist.RoleEntry, Domain: "leuven", Address: "127.0.0.1:7101", State: hostlist.StateLive}
	wantCode(t, "announcement", s.list.Put(t.Context(), entry), heatherhub.CodeOK)
	bad := entry
	bad.Address = "nowhere"
	wantCode(t, "announcement without an address", s.list.Put(t.Context(), bad), heatherhub.CodeInvalid)
	hosts, err := s.list.Hosts(t.Context())
	if err != nil || len(hosts) != 3 || hosts[0] != entry {
		t.Errorf("hosts: got %+v and %v, want entry-1 first of three", hosts, err)
	}
	s.faults(`{"hostList":{"lagMs":3600000},"workers":[{"id":"leuven-w000","action":"leave"}]}`)
	hosts, err = s.list.Hosts(t.Context())
	if err != nil || len(hosts) != 2 || hosts[0].State != hostlist.StateLive {
		t.Errorf("lagging hosts: got %+v and %v, want the two first workers, live", hosts, err)
	}
	s.faults(`{"hostList":{"down":true}}`)
	_, err = s.list.Hosts(t.Context())
	wantCode(t, "list in an outage", err, heatherhub.CodeUnavailable)
}

// TestUnchangedHostListIsNotSentAgain checks that a client that reads the list again
// gets only the changes, and applies them to the list that it has.
func TestUnchangedHostListIsNotSentAgain(t *testing.T) {
	s := newSite(t)
	traffic := &platform.Traffic{}
	cfg := s.cfg
	cfg.Traffic = traffic
	list := hostlist.NewClient(hostlist.ClientConfig{Platform: cfg, Log: zap.NewNop()})
	defer list.Close()
	read := func() ([]hostlist.Host, int64) {
		before := traffic.Received()
		hosts, err := list.Hosts(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return hosts, traffic.Received() - before
	}
	first, whole := read()
	again, short := read()
	if !slices.Equal(first, again) || short >= whole/2 {
		t.Errorf("unchanged list: got %v in %d bytes, want %v in less than half of %d", again, short, first, whole)
	}
	s.faults(`{"workers":[{"id":"leuven-w000","action":"leave"}]}`)
	changed, _ := read()
	if got, want := changed[0].State, hostlist.StateLeaving; got != want || len(changed) != 2 {
		t.Errorf("changed list: got %s of %d hosts, want %s of 2", got, len(changed), want)
	}
	wantCode(t, "removal", s.list.Remove(t.Context(), "leuven-w000"), heatherhub.CodeOK)
	if left, _ := read(); len(left) != 1 || left[0].ID != "mechelen-w000" {
		t.Errorf("list after a removal: got %v, want mechelen-w000 alone", left)
	}
}

// TestAuditOverHTTP checks that GET /audit reports a replica that runs on two workers.
func TestAuditOverHTTP(t *testing.T) {
	s := newSite(t)
	for _, h := range s.hosts {
		wantCode(t, "start", s.start(heatherhub.WorkerID(h.ID), replica()), heatherhub.CodeOK)
	}
	_, err := s.serve("mechelen-w000", "r1")
	wantCode(t, "request", err, heatherhub.CodeOK)
	resp, err := http.Get("http://" + s.standin.Address() + "/audit")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var got standin.AuditReply
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if got.IsClean || len(got.Report.DuplicateRuns) != 1 || got.Report.Executions != 1 {
		t.Errorf("audit: got %+v, want one duplicate run and one request", got)
	}
}

// TestInvalidFaultsAreRejected posts an unknown field, a value out of range, an
// unknown worker, an unknown action and malformed JSON.
func TestInvalidFaultsAreRejected(t *testing.T) {
	s := newSite(t)
	for _, text := range []string{`{"stoer":{}}`, `{"store":{"loseAnswers":2}}`, `{"workers":[{"id":"nobody","action":"kill"}]}`, `{"workers":[{"id":"leuven-w000","action":"tickle"}]}`, `{`} {
		resp, err := http.Post("http://"+s.standin.Address()+"/faults", "application/json", bytes.NewReader([]byte(text)))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if got := resp.StatusCode; got != http.StatusBadRequest && got != http.StatusNotFound {
			t.Errorf("faults %s: got status %d, want 400 or 404", text, got)
		}
	}
}

// TestMalformedCallsAreRejectedWithoutEffect sends malformed, oversized and empty
// bodies to the store and to a worker. Each must get the code invalid, and the
// running replica must still serve.
func TestMalformedCallsAreRejectedWithoutEffect(t *testing.T) {
	s := newSite(t)
	address := s.hosts[1].Address
	wantCode(t, "start", s.start("mechelen-w000", replica()), heatherhub.CodeOK)
	for _, c := range []struct {
		url, body string
	}{
		{s.standin.Address() + store.PathKey, "{"},
		{s.standin.Address() + store.PathKey, `{"key":""}`},
		{s.standin.Address() + store.PathKey, `{"key":"a","value":"` + strings.Repeat("A", store.MaxCallBytes) + `"}`},
		{s.standin.Address() + store.PathLeases, `{"ttlMs":-1}`},
		{s.standin.Address() + store.PathLeases, "null"},
		{address + worker.PathStart, "\xc0"},
		{address + worker.PathRenew, "\xdd\xff\xff\xff\xff"},
		{address + worker.PathStop, ""},
		{address + worker.PathServe, "no headers"},
	} {
		resp, err := http.Post("http://"+c.url, "application/octet-stream", strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if got, want := resp.Header.Get(platform.HeaderCode), string(heatherhub.CodeInvalid); got != want {
			t.Errorf("%s with %.20q: got code %q, want %q", c.url, c.body, got, want)
		}
	}
	_, err := s.serve("mechelen-w000", "r1")
	wantCode(t, "request after the malformed calls", err, heatherhub.CodeOK)
	if got, want := len(s.standin.Worker("mechelen-w000").Tasks(time.Now())), 1; got != want {
		t.Errorf("tasks: got %d, want %d", got, want)
	}
}
