package route_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"pgregory.net/rapid"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/request/route"
)

const push = heatherhub.WorkloadID("push")

var (
	gent     = heatherhub.ShardID{Domain: "gent"}
	leuven   = heatherhub.ShardID{Domain: "leuven"}
	owners   = map[heatherhub.ShardID]heatherhub.HostID{gent: "e1", leuven: "e2"}
	snapshot = &heatherhub.Snapshot{Workloads: []heatherhub.Workload{
		{ID: push, Kind: heatherhub.KindService, Deadline: time.Second, Concurrency: 100},
		{ID: "look", Kind: heatherhub.KindService, Deadline: time.Second, Concurrency: 100, Idempotent: true},
	}}
)

// fault is a failure injected into one hop.
type fault int

const (
	faultNone fault = iota
	// faultBeforeEffect fails a hop before it has any effect.
	faultBeforeEffect
	// faultAnswerLost loses the answer after the hop took effect.
	faultAnswerLost
	// faultOwnerCrash loses the answer, and replaces the owner by a new one without
	// its state in memory.
	faultOwnerCrash
	// faultWrongAnswer returns the answer with the id of another request.
	faultWrongAnswer
)

// site consists of two hosts. It injects faults into the hops between them, to
// their workers and to the store, in the order of faults, and records the runs.
type site struct {
	wg     conc.WaitGroup
	mu     sync.Mutex
	faults []fault
	hosts  map[heatherhub.HostID]*host
	claims map[heatherhub.IdempotencyKey]route.Claim
	// runsByKey and runsByRequest count the runs of keys and of requests, and
	// firstBody holds the answer of the first run of a key.
	runsByKey     map[heatherhub.IdempotencyKey]int
	runsByRequest map[heatherhub.RequestID]int
	firstBody     map[heatherhub.IdempotencyKey]string
	tracer        *trace.TracerProvider
}

type host struct {
	*site
	id    heatherhub.HostID
	owner *route.Owner
}

func newSite(faults []fault) *site {
	s := &site{
		faults: faults, hosts: make(map[heatherhub.HostID]*host), claims: make(map[heatherhub.IdempotencyKey]route.Claim),
		runsByKey: make(map[heatherhub.IdempotencyKey]int), runsByRequest: make(map[heatherhub.RequestID]int),
		firstBody: make(map[heatherhub.IdempotencyKey]string), tracer: trace.NewTracerProvider(),
	}
	for _, id := range []heatherhub.HostID{"e1", "e2"} {
		h := &host{site: s, id: id}
		s.hosts[id] = h
		h.start()
	}
	return s
}

// start gives the host a new owner without state in memory.
func (h *host) start() {
	h.owner = route.NewOwner(route.OwnerConfig{
		Directory: h, Replicas: h, Keys: h, Workers: h, Peers: h.site, Tracer: h.tracer.Tracer("test"),
	})
}

func (s *site) nextFault() fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return faultNone
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// Call implements peer.Caller.
func (s *site) Call(ctx context.Context, to heatherhub.HostID, _ peer.Method, body []byte) ([]byte, error) {
	f := s.nextFault()
	if f == faultBeforeEffect {
		return nil, heatherhub.ErrUnavailable.New("not sent")
	}
	s.mu.Lock()
	owner := s.hosts[to].owner
	s.mu.Unlock()
	out, err := owner.Handler()(ctx, "test", body)
	switch f {
	case faultAnswerLost:
		return nil, heatherhub.ErrUnknown.New("answer lost")
	case faultOwnerCrash:
		s.mu.Lock()
		s.hosts[to].start()
		s.mu.Unlock()
		return nil, heatherhub.ErrUnknown.New("owner crashed")
	}
	return out, err
}

// Serve implements worker.Server and runs the request.
func (h *host) Serve(_ context.Context, id heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
	f := h.nextFault()
	if f == faultBeforeEffect {
		return worker.Answer{}, heatherhub.ErrNotRun.New("the replica has stopped")
	}
	h.mu.Lock()
	h.runsByKey[r.Key]++
	h.runsByRequest[r.ID]++
	body := fmt.Sprintf("%s by %s for %s", r.Key, id, r.ID)
	if h.firstBody[r.Key] == "" {
		h.firstBody[r.Key] = body
	}
	h.mu.Unlock()
	switch f {
	case faultAnswerLost, faultOwnerCrash:
		return worker.Answer{}, heatherhub.ErrUnknown.New("answer lost")
	case faultWrongAnswer:
		return worker.Answer{ID: "another", Status: http.StatusOK, Body: []byte(body), Digest: worker.Digest([]byte(body))}, nil
	}
	return worker.Answer{ID: r.ID, Status: http.StatusOK, Body: []byte(body), Digest: worker.Digest([]byte(body))}, nil
}

func (h *host) Claim(_ context.Context, _ heatherhub.ShardID, _ heatherhub.WorkloadID, key heatherhub.IdempotencyKey) (route.Claim, error) {
	f := h.nextFault()
	h.mu.Lock()
	defer h.mu.Unlock()
	if f == faultBeforeEffect {
		return route.Claim{}, heatherhub.ErrUnavailable.New("store down")
	}
	if c, ok := h.claims[key]; ok {
		return c, nil
	}
	h.claims[key] = route.Claim{State: route.ClaimUnknown}
	if f == faultAnswerLost {
		return route.Claim{}, heatherhub.ErrUnavailable.New("the claim was not confirmed, nothing ran")
	}
	return route.Claim{State: route.ClaimGranted}, nil
}

func (h *host) Settle(_ heatherhub.ShardID, _ heatherhub.WorkloadID, key heatherhub.IdempotencyKey, a worker.Answer) {
	if h.nextFault() == faultBeforeEffect {
		return // the owner crashed before the answer was recorded
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims[key] = route.Claim{State: route.ClaimAnswered, Answer: a}
}

func (h *host) Release(_ heatherhub.ShardID, _ heatherhub.WorkloadID, key heatherhub.IdempotencyKey) {
	if h.nextFault() == faultBeforeEffect {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.claims, key)
}

func (h *host) Self() (heatherhub.HostID, heatherhub.FailureDomain) {
	return h.id, heatherhub.FailureDomain(map[heatherhub.HostID]string{"e1": "gent", "e2": "leuven"}[h.id])
}

func (h *host) Places(heatherhub.WorkloadID) []route.Place {
	return []route.Place{{Shard: leuven, Owner: "e2", Replicas: 4}}
}

func (h *host) Owner(s heatherhub.ShardID) (heatherhub.HostID, bool) {
	id, ok := owners[s]
	return id, ok
}

// KeyShard assigns k0 and k2 to the shard without replicas, so that the owner of the
// key has to forward the run to the other owner.
func (h *host) KeyShard(_ heatherhub.WorkloadID, key heatherhub.IdempotencyKey) heatherhub.ShardID {
	if key == "k0" || key == "k2" {
		return gent
	}
	return leuven
}

func (h *host) Snapshot() *heatherhub.Snapshot { return snapshot }

func (h *host) Replicas(w heatherhub.WorkloadID) []route.Replica {
	if h.id != "e2" {
		return nil
	}
	var out []route.Replica
	for i := range 4 {
		out = append(out, route.Replica{
			Task: heatherhub.TaskID(fmt.Sprintf("%s:%d", w, i)), Worker: heatherhub.WorkerID(fmt.Sprintf("w%d", i)),
			Shard: leuven, Slots: 100, Connections: 200,
		})
	}
	return out
}

// TestAtMostOnceUnderFaults checks under random faults that a key never runs more
// than once, that a request reported as not run did not run, and that each answer is
// that of the key's run.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(rapid.SliceOfN(rapid.SampledFrom([]fault{
			faultNone, faultNone, faultNone, faultBeforeEffect, faultAnswerLost, faultOwnerCrash, faultWrongAnswer,
		}), 0, 60).Draw(t, "faults"))
		routers := make(map[heatherhub.HostID]*route.Router)
		for id, h := range s.hosts {
			routers[id] = route.NewRouter(route.RouterConfig{Directory: h, Peers: s})
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			id := heatherhub.RequestID(fmt.Sprintf("r%d", i))
			key := rapid.SampledFrom([]heatherhub.IdempotencyKey{"k0", "k1", "k2"}).Draw(t, "key")
			entry := rapid.SampledFrom([]heatherhub.HostID{"e1", "e2"}).Draw(t, "entry")
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			a, err := routers[entry].Serve(ctx, route.Request{ID: id, Workload: push, Key: key})
			cancel()
			if got := s.runsByKey[key]; got > 1 {
				t.Fatalf("key %s: got %d runs, want at most 1", key, got)
			}
			if heatherhub.DidNotRun(err) && err != nil && s.runsByRequest[id] > 0 {
				t.Fatalf("request %s: got %v, want no claim that it did not run", id, err)
			}
			if got, want := string(a.Body), s.firstBody[key]; err == nil && got != want {
				t.Fatalf("request %s: got %q, want the answer of the key's only run %q", id, got, want)
			}
		}
	})
}

// TestSpansOfEveryHop checks that the spans of a run that is forwarded to another
// owner are all in one trace.
func TestSpansOfEveryHop(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	s := newSite(nil)
	s.tracer = trace.NewTracerProvider(trace.WithSyncer(spans))
	for _, h := range s.hosts {
		h.start()
	}
	r := route.NewRouter(route.RouterConfig{Directory: s.hosts["e1"], Peers: s, Tracer: s.tracer.Tracer("test")})
	if _, err := r.Serve(t.Context(), route.Request{ID: "r1", Workload: push, Key: "k0"}); err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, span := range spans.GetSpans() {
		names = append(names, span.Name)
		if got, want := span.SpanContext.TraceID(), spans.GetSpans()[0].SpanContext.TraceID(); got != want {
			t.Errorf("span %s: got trace %s, want %s", span.Name, got, want)
		}
	}
	if got, want := fmt.Sprint(names), "[worker.serve owner.serve owner.serve route.serve]"; got != want {
		t.Errorf("got spans %s, want %s", got, want)
	}
}

// TestRetryBudget checks that retries stay within the retry ratio and the initial
// tokens while all owners fail. Unbounded retries would multiply the load in an
// outage.
func TestRetryBudget(t *testing.T) {
	s := newSite(nil)
	calls := 0
	down := unreachablePeers(func() { calls++ })
	r := route.NewRouter(route.RouterConfig{Directory: s.hosts["e1"], Peers: down, RetryRatio: 0.1})
	const requests = 1000
	for i := range requests {
		_, err := r.Serve(t.Context(), route.Request{ID: heatherhub.RequestID(fmt.Sprint(i)), Workload: "look"})
		if got, want := heatherhub.CodeOf(err), heatherhub.CodeUnavailable; got != want {
			t.Fatalf("got code %q, want %q", got, want)
		}
	}
	if got, want := calls-requests, requests/10+5; got > want {
		t.Errorf("got %d retries, want at most %d", got, want)
	}
}

// unreachablePeers fails every call after calling the function.
type unreachablePeers func()

func (f unreachablePeers) Call(context.Context, heatherhub.HostID, peer.Method, []byte) ([]byte, error) {
	f()
	return nil, heatherhub.ErrUnavailable.New("not sent")
}

// twoOwners is the Directory of host e1, with a place in each failure domain, and a
// peer.Caller for which the owner in the failure domain of e1 is down.
type twoOwners struct {
	*host
	calls map[heatherhub.HostID]int
}

func (d *twoOwners) Places(heatherhub.WorkloadID) []route.Place {
	return []route.Place{{Shard: gent, Owner: "e1", Replicas: 4}, {Shard: leuven, Owner: "e2", Replicas: 4}}
}

func (d *twoOwners) Call(ctx context.Context, to heatherhub.HostID, m peer.Method, body []byte) ([]byte, error) {
	d.calls[to]++
	if to == "e1" {
		return nil, heatherhub.ErrUnavailable.New("not sent")
	}
	return d.site.Call(ctx, to, m, body)
}

// TestDownOwnerBacksOff sends requests while the owner in the entry host's failure
// domain is down. All must be answered by the other domain, and the owner that is down
// must be probed with exponential backoff instead of with each request.
func TestDownOwnerBacksOff(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := &twoOwners{host: newSite(nil).hosts["e1"], calls: make(map[heatherhub.HostID]int)}
	r := route.NewRouter(route.RouterConfig{Directory: d, Peers: d, Clock: clock})
	const requests = 1000
	for i := range requests {
		clock.Advance(10 * time.Millisecond)
		if _, err := r.Serve(t.Context(), route.Request{ID: heatherhub.RequestID(fmt.Sprint(i)), Workload: "look"}); err != nil {
			t.Fatalf("request %d: got %v, want an answer from the other domain", i, err)
		}
	}
	// The backoff starts at 50 ms and doubles up to 2 s: 6 backoffs take 3.15 s of
	// the 10 s, and the others 2 s each.
	if got, want := d.calls["e1"], 11; got > want {
		t.Errorf("got %d calls to the owner that is down, want at most %d", got, want)
	}
}
