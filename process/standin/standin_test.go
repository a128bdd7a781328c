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

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/platform"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin"
)

var domains = []heatherhub.FailureDomain{"mechelen", "leuven"}

// site is a running stand-in with its clients.
type site struct {
	t       *testing.T
	standin *standin.Standin
	cfg     platform.Config
	store   *store.Client
	list    *hostlist.Client
	workers *worker.Client
	hosts   []hostlist.Host
}

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
	out := &site{t: t, standin: s, cfg: p, store: store.NewClient(p), list: hostlist.NewClient(p)}
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

func (s *site) start(id heatherhub.WorkerID, t heatherhub.Task) error {
	return s.workers.Start(s.t.Context(), id, worker.StartCommand{Task: t, Epoch: 1, LeaseUntil: time.Now().Add(time.Hour)})
}

func (s *site) serve(id heatherhub.WorkerID, r heatherhub.RequestID) (worker.Answer, error) {
	return s.workers.Serve(s.t.Context(), id, worker.Request{
		ID: r, Workload: "compile", Task: "svc:compile", Key: heatherhub.IdempotencyKey(r), Body: []byte("program"), Timeout: 10 * time.Second,
	})
}

// serveUnanswered sends a request that gets no answer before its short deadline.
func (s *site) serveUnanswered(id heatherhub.WorkerID, r heatherhub.RequestID) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := s.workers.Serve(ctx, id, worker.Request{ID: r, Workload: "compile", Task: "svc:compile"})
	return err
}

func replica() heatherhub.Task {
	return heatherhub.Task{ID: "svc:compile", Workload: "compile", Kind: heatherhub.KindService, Size: heatherhub.Resources{CPU: 1000, Memory: 500}}
}

func wantCode(t *testing.T, what string, err error, want heatherhub.Code) {
	t.Helper()
	if got := heatherhub.CodeOf(err); got != want {
		t.Errorf("%s: got %q (%v), want %q", what, got, err, want)
	}
}

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
	wantCode(t, "write after the cut", err, heatherhub.CodeOK)
}

func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
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

func TestFrozenWorkerLeavesTheOutcomeOpen(t *testing.T) {
	s := newSite(t)
	const id = "mechelen-w000"
	wantCode(t, "start", s.start(id, replica()), heatherhub.CodeOK)
	s.faults(`{"workers":[{"id":"mechelen-w000","action":"freeze"}]}`)
	wantCode(t, "request to a frozen worker", s.serveUnanswered(id, "r1"), heatherhub.CodeUnknown)
	s.faults(`{"workers":[{"id":"mechelen-w000","action":"thaw"}]}`)
	_, err := s.serve(id, "r2")
	wantCode(t, "request after the pause", err, heatherhub.CodeOK)
}

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

func TestHostListLagsAndTakesAnnouncements(t *testing.T) {
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

func TestUnchangedHostListIsNotSentAgain(t *testing.T) {
	s := newSite(t)
	traffic := &platform.Traffic{}
	cfg := s.cfg
	cfg.Traffic = traffic
	list := hostlist.NewClient(cfg)
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
		t.Errorf("audit: got %+v, want one doubled task and one request", got)
	}
}

func TestFaultsAreChecked(t *testing.T) {
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

func TestMalformedCallsAreRefusedAndTouchNothing(t *testing.T) {
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
	wantCode(t, "request after all", err, heatherhub.CodeOK)
	if got, want := len(s.standin.Worker("mechelen-w000").Tasks(time.Now())), 1; got != want {
		t.Errorf("tasks: got %d, want %d", got, want)
	}
}
