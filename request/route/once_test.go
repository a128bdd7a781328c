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

// fault is what goes wrong on one hop.
type fault int

const (
	faultNone fault = iota
	// faultBefore fails a hop before anything happened.
	faultBefore
	// faultAfter loses the answer after the effect.
	faultAfter
	// faultDeath loses the answer and replaces the owner by a successor.
	faultDeath
	// faultCrossed gives the answer to another request.
	faultCrossed
)

// site is two hosts with failing hops, and the record of what ran.
type site struct {
	wg     conc.WaitGroup
	mu     sync.Mutex
	faults []fault
	hosts  map[heatherhub.HostID]*host
	claims map[heatherhub.IdempotencyKey]route.Claim
	// ranFor counts executions by key, ranAs by request.
	ranFor map[heatherhub.IdempotencyKey]int
	ranAs  map[heatherhub.RequestID]int
	first  map[heatherhub.IdempotencyKey]string
	tracer *trace.TracerProvider
}

type host struct {
	*site
	id    heatherhub.HostID
	owner *route.Owner
}

func newSite(faults []fault) *site {
	s := &site{
		faults: faults, hosts: make(map[heatherhub.HostID]*host), claims: make(map[heatherhub.IdempotencyKey]route.Claim),
		ranFor: make(map[heatherhub.IdempotencyKey]int), ranAs: make(map[heatherhub.RequestID]int),
		first: make(map[heatherhub.IdempotencyKey]string), tracer: trace.NewTracerProvider(),
	}
	for _, id := range []heatherhub.HostID{"e1", "e2"} {
		h := &host{site: s, id: id}
		s.hosts[id] = h
		h.start()
	}
	return s
}

// start gives the host an owner that remembers nothing.
func (h *host) start() {
	h.owner = route.NewOwner(route.OwnerConfig{
		Directory: h, Replicas: h, Keys: h, Workers: h, Peers: h.site, Tracer: h.tracer.Tracer("test"),
	})
}

func (s *site) next() fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return faultNone
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// Call is the hop between two hosts.
func (s *site) Call(ctx context.Context, to heatherhub.HostID, _ peer.Method, body []byte) ([]byte, error) {
	f := s.next()
	if f == faultBefore {
		return nil, heatherhub.ErrUnavailable.New("not sent")
	}
	s.mu.Lock()
	owner := s.hosts[to].owner
	s.mu.Unlock()
	out, err := owner.Handler()(ctx, "test", body)
	switch f {
	case faultAfter:
		return nil, heatherhub.ErrUnknown.New("answer lost")
	case faultDeath:
		s.mu.Lock()
		s.hosts[to].start()
		s.mu.Unlock()
		return nil, heatherhub.ErrUnknown.New("owner died")
	}
	return out, err
}

// Serve is the hop to a worker; it runs the request.
func (h *host) Serve(_ context.Context, id heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
	f := h.next()
	if f == faultBefore {
		return worker.Answer{}, heatherhub.ErrNotRun.New("the replica has stopped")
	}
	h.mu.Lock()
	h.ranFor[r.Key]++
	h.ranAs[r.ID]++
	body := fmt.Sprintf("%s by %s for %s", r.Key, id, r.ID)
	if h.first[r.Key] == "" {
		h.first[r.Key] = body
	}
	h.mu.Unlock()
	switch f {
	case faultAfter, faultDeath:
		return worker.Answer{}, heatherhub.ErrUnknown.New("answer lost")
	case faultCrossed:
		return worker.Answer{ID: "another", Status: http.StatusOK, Body: []byte(body), Digest: worker.Digest([]byte(body))}, nil
	}
	return worker.Answer{ID: r.ID, Status: http.StatusOK, Body: []byte(body), Digest: worker.Digest([]byte(body))}, nil
}

func (h *host) Claim(_ context.Context, _ heatherhub.ShardID, _ heatherhub.WorkloadID, key heatherhub.IdempotencyKey) (route.Claim, error) {
	f := h.next()
	h.mu.Lock()
	defer h.mu.Unlock()
	if f == faultBefore {
		return route.Claim{}, heatherhub.ErrUnavailable.New("store down")
	}
	if c, ok := h.claims[key]; ok {
		return c, nil
	}
	h.claims[key] = route.Claim{State: route.ClaimUnknown}
	if f == faultAfter {
		return route.Claim{}, heatherhub.ErrUnavailable.New("the claim was not confirmed, nothing ran")
	}
	return route.Claim{State: route.ClaimGranted}, nil
}

func (h *host) Settle(_ heatherhub.ShardID, _ heatherhub.WorkloadID, key heatherhub.IdempotencyKey, a worker.Answer) {
	if h.next() == faultBefore {
		return // the record is lost with its owner
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims[key] = route.Claim{State: route.ClaimAnswered, Answer: a}
}

func (h *host) Release(_ heatherhub.ShardID, _ heatherhub.WorkloadID, key heatherhub.IdempotencyKey) {
	if h.next() == faultBefore {
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

// KeyShard sends even keys to the shard without replicas, so that they need a
// grant for another owner.
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

func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(rapid.SliceOfN(rapid.SampledFrom([]fault{
			faultNone, faultNone, faultNone, faultBefore, faultAfter, faultDeath, faultCrossed,
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
			if got := s.ranFor[key]; got > 1 {
				t.Fatalf("key %s: got %d runs, want at most 1", key, got)
			}
			if heatherhub.DidNotRun(err) && err != nil && s.ranAs[id] > 0 {
				t.Fatalf("request %s: got %v, want no claim that it did not run", id, err)
			}
			if got, want := string(a.Body), s.first[key]; err == nil && got != want {
				t.Fatalf("request %s: got %q, want the answer of the one run %q", id, got, want)
			}
		}
	})
}

// TestSpansOfEveryHop follows a granted request over two owners.
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

// TestRetryBudget lets every owner fail: attempts stay within the share.
func TestRetryBudget(t *testing.T) {
	s := newSite(nil)
	calls := 0
	down := callerFunc(func() { calls++ })
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

// callerFunc reaches nobody.
type callerFunc func()

func (f callerFunc) Call(context.Context, heatherhub.HostID, peer.Method, []byte) ([]byte, error) {
	f()
	return nil, heatherhub.ErrUnavailable.New("not sent")
}

// twoOwners has one place in the own failure domain, whose owner is down.
type twoOwners struct {
	*host
	asked map[heatherhub.HostID]int
}

func (d *twoOwners) Places(heatherhub.WorkloadID) []route.Place {
	return []route.Place{{Shard: gent, Owner: "e1", Replicas: 4}, {Shard: leuven, Owner: "e2", Replicas: 4}}
}

func (d *twoOwners) Call(ctx context.Context, to heatherhub.HostID, m peer.Method, body []byte) ([]byte, error) {
	d.asked[to]++
	if to == "e1" {
		return nil, heatherhub.ErrUnavailable.New("not sent")
	}
	return d.site.Call(ctx, to, m, body)
}

// TestDownOwnerIsLeftAlone sends requests while the owner of the own failure
// domain is down: all are answered elsewhere, and it is probed ever more rarely.
func TestDownOwnerIsLeftAlone(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := &twoOwners{host: newSite(nil).hosts["e1"], asked: make(map[heatherhub.HostID]int)}
	r := route.NewRouter(route.RouterConfig{Directory: d, Peers: d, Clock: clock})
	const requests = 1000
	for i := range requests {
		clock.Advance(10 * time.Millisecond)
		if _, err := r.Serve(t.Context(), route.Request{ID: heatherhub.RequestID(fmt.Sprint(i)), Workload: "look"}); err != nil {
			t.Fatalf("request %d: got %v, want an answer from the other domain", i, err)
		}
	}
	// 50 ms doubled up to 2 s over 10 s: 6 doublings in 3.15 s, then one in 2 s.
	if got, want := d.asked["e1"], 11; got > want {
		t.Errorf("got %d calls to the owner that is down, want at most %d", got, want)
	}
}
