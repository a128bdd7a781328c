package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/store/memory"
)

func newLimiter(clock clockwork.Clock, s store.Store, change func(*store.LimiterConfig)) *store.Limiter {
	cfg := store.LimiterConfig{Store: s, Clock: clock, Registerer: prometheus.NewRegistry()}
	if change != nil {
		change(&cfg)
	}
	return store.NewLimiter(cfg)
}

func blockUntil(t *testing.T, clock *clockwork.FakeClock, timers int) {
	t.Helper()
	if err := clock.BlockUntilContext(t.Context(), timers); err != nil {
		t.Fatal(err)
	}
}

func TestLimiterHoldsCallsBackBeyondTheBudget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := memory.New(memory.Config{Clock: clock})
	l := newLimiter(clock, s, func(cfg *store.LimiterConfig) { cfg.ReadRate, cfg.Timeout = 5, 100*time.Millisecond })
	for range 5 {
		_, err := l.Get(t.Context(), "a")
		wantCode(t, "read inside the budget", err, heatherhub.CodeOK)
	}
	var err error
	var wg conc.WaitGroup
	wg.Go(func() { _, err = l.Get(t.Context(), "a") })
	blockUntil(t, clock, 2)
	clock.Advance(100 * time.Millisecond)
	wg.Wait()
	wantCode(t, "read beyond the budget", err, heatherhub.CodeUnavailable)
	if got, want := s.Counts().Gets, 5; got != want {
		t.Errorf("reads sent: got %d, want %d", got, want)
	}
	clock.Advance(time.Second)
	_, err = l.Get(t.Context(), "a")
	wantCode(t, "read a second later", err, heatherhub.CodeOK)
}

// recorder tells the keys that are written, in order.
type recorder struct {
	store.Store
	keys chan string
}

func (r *recorder) CompareAndSwap(_ context.Context, w store.Write) (store.Revision, error) {
	r.keys <- w.Key
	return 1, nil
}

func TestLimiterServesOwnershipFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := &recorder{keys: make(chan string, 1)}
	l := newLimiter(clock, r, func(cfg *store.LimiterConfig) { cfg.WriteRate, cfg.Timeout = 1, 1000*time.Hour })
	write := func(key string, p store.Priority) {
		if _, err := l.CompareAndSwap(store.WithPriority(t.Context(), p), store.Write{Key: key}); err != nil {
			t.Errorf("write of %s: %v", key, err)
		}
	}
	write("first", store.PriorityNormal)
	if got, want := <-r.keys, "first"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	var wg conc.WaitGroup
	wg.Go(func() { write("background", store.PriorityBackground) })
	blockUntil(t, clock, 2)
	wg.Go(func() { write("ownership", store.PriorityOwnership) })
	blockUntil(t, clock, 4)
	clock.Advance(1001 * time.Millisecond)
	if got, want := <-r.keys, "ownership"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got, want := nextKey(clock, r.keys), "background"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	wg.Wait()
}

// nextKey advances the clock until a write gets through. A waiter reads the clock
// and sets its timer in two steps, so one advance between them is not enough.
func nextKey(clock *clockwork.FakeClock, keys <-chan string) string {
	for {
		clock.Advance(1001 * time.Millisecond)
		select {
		case key := <-keys:
			return key
		case <-time.After(time.Millisecond):
		}
	}
}

func TestLimiterBoundsTheQueue(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := memory.New(memory.Config{Clock: clock})
	l := newLimiter(clock, s, func(cfg *store.LimiterConfig) { cfg.WriteRate, cfg.MaxWaiting, cfg.Timeout = 1, 1, time.Hour })
	write := func(key string) error {
		_, err := l.CompareAndSwap(t.Context(), store.Write{Key: key})
		return err
	}
	wantCode(t, "first write", write("a"), heatherhub.CodeOK)
	var wg conc.WaitGroup
	wg.Go(func() { wantCode(t, "waiting write", write("b"), heatherhub.CodeOK) })
	blockUntil(t, clock, 2)
	wantCode(t, "write that finds the queue full", write("c"), heatherhub.CodeUnavailable)
	clock.Advance(1001 * time.Millisecond)
	wg.Wait()
}

func TestLimiterBoundsSilentCalls(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := memory.New(memory.Config{Clock: clock})
	s.SetFaults(memory.Faults{Slow: time.Hour})
	l := newLimiter(clock, s, nil)
	var err error
	var wg conc.WaitGroup
	wg.Go(func() { _, err = l.CompareAndSwap(t.Context(), store.Write{Key: "a"}) })
	blockUntil(t, clock, 2)
	clock.Advance(store.DefaultCallTimeout)
	wg.Wait()
	wantCode(t, "write without an answer", err, heatherhub.CodeUnknown)
}

func TestConflictsAreNoOutage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := memory.New(memory.Config{Clock: clock})
	l := newLimiter(clock, s, nil)
	for range 10 {
		_, err := l.CompareAndSwap(t.Context(), store.Write{Key: "a", Expect: 7})
		wantCode(t, "stale write", err, heatherhub.CodeConflict)
	}
}

// An outage of a minute, with nine hosts that each want a call every 100 ms: the
// pauses grow to 5 s with a jitter of a half, so a host sends at most one call in
// 2.5 s after its first 15 s, in which it sends at most 15.
func TestOutageAndReturnWithoutStampede(t *testing.T) {
	const (
		hosts    = 9
		step     = 100 * time.Millisecond
		outage   = time.Minute
		perHost  = 15 + 45*2/5
		hostRate = 10
		recovery = 10 * time.Second
	)
	clock := clockwork.NewFakeClock()
	s := memory.New(memory.Config{Clock: clock})
	var limiters []*store.Limiter
	for range hosts {
		limiters = append(limiters, newLimiter(clock, s, func(cfg *store.LimiterConfig) { cfg.ReadRate, cfg.Timeout = hostRate, step/2 }))
	}
	s.SetFaults(memory.Faults{Down: true})
	callAll(t, clock, limiters, step, outage)
	if got, want := s.Counts().Gets, hosts*perHost; got > want {
		t.Errorf("calls in the outage: got %d, want at most %d", got, want)
	}
	s.SetFaults(memory.Faults{})
	before := s.Counts().Gets
	callAll(t, clock, limiters, step, recovery)
	burst := hostRate
	if got, want := s.Counts().Gets-before, hosts*(burst+hostRate*int(recovery/time.Second)); got > want {
		t.Errorf("calls in the recovery: got %d, want at most %d", got, want)
	}
	for i, l := range limiters {
		if l.IsCircuitOpen() {
			t.Errorf("host %d: got failing %s after the return, want it recovered", i, recovery)
		}
	}
}

// callAll lets every host try one read in each step, ten in a second each.
func callAll(t *testing.T, clock *clockwork.FakeClock, limiters []*store.Limiter, step, total time.Duration) {
	t.Helper()
	for passed := time.Duration(0); passed < total; passed += step {
		for _, l := range limiters {
			_, _ = l.Get(t.Context(), "a")
		}
		clock.Advance(step)
	}
}
