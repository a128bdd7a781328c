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

func TestLimiterRejectsCallsAboveTheRateLimit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := memory.New(memory.Config{Clock: clock})
	l := newLimiter(clock, s, func(cfg *store.LimiterConfig) { cfg.ReadRate, cfg.Timeout = 5, 100*time.Millisecond })
	for range 5 {
		_, err := l.Get(t.Context(), "a")
		wantCode(t, "read within the rate limit", err, heatherhub.CodeOK)
	}
	var err error
	var wg conc.WaitGroup
	wg.Go(func() { _, err = l.Get(t.Context(), "a") })
	blockUntil(t, clock, 2)
	clock.Advance(100 * time.Millisecond)
	wg.Wait()
	wantCode(t, "read above the rate limit", err, heatherhub.CodeUnavailable)
	if got, want := s.Counts().Gets, 5; got != want {
		t.Errorf("reads sent: got %d, want %d", got, want)
	}
	clock.Advance(time.Second)
	_, err = l.Get(t.Context(), "a")
	wantCode(t, "read a second later", err, heatherhub.CodeOK)
}

// recorder is a store that sends the keys of writes to a channel, in order.
type recorder struct {
	store.Store
	keys chan string
}

func (r *recorder) CompareAndSwap(_ context.Context, w store.Write) (store.Revision, error) {
	r.keys <- w.Key
	return 1, nil
}

func TestLimiterSendsOwnershipFirst(t *testing.T) {
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

// nextKey advances the clock until a write is sent. A waiter reads the clock and then
// sets its timer, so an advance between the two steps would be missed.
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
	wantCode(t, "write with a full queue", write("c"), heatherhub.CodeUnavailable)
	clock.Advance(1001 * time.Millisecond)
	wg.Wait()
}

func TestLimiterTimesOutUnansweredCalls(t *testing.T) {
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

func TestConflictsDoNotOpenTheCircuitBreaker(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := memory.New(memory.Config{Clock: clock})
	l := newLimiter(clock, s, nil)
	for range 10 {
		_, err := l.CompareAndSwap(t.Context(), store.Write{Key: "a", Expect: 7})
		wantCode(t, "stale write", err, heatherhub.CodeConflict)
	}
}

// TestOutageAndReturnWithoutStampede checks that hosts do not retry together during
// and after an outage. Nine hosts each try a call every 100 ms while the store is down
// for a minute. The pauses grow to 5 s with a jitter of one half, so a host sends at
// most 15 calls in the first 15 s and then at most one per 2.5 s.
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
			t.Errorf("host %d: got an open circuit %s after the return, want it closed", i, recovery)
		}
	}
}

// callAll tries one read per host and step until total has passed.
func callAll(t *testing.T, clock *clockwork.FakeClock, limiters []*store.Limiter, step, total time.Duration) {
	t.Helper()
	for passed := time.Duration(0); passed < total; passed += step {
		for _, l := range limiters {
			_, _ = l.Get(t.Context(), "a")
		}
		clock.Advance(step)
	}
}
