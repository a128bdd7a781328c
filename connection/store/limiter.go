package store

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"heatherhub.example/heatherhub/connection/deadline"
)

// Defaults of the limiter.
const (
	// DefaultCallTimeout bounds one call.
	DefaultCallTimeout = 2 * time.Second
	// DefaultWatchTimeout bounds one watch; it is longer than the store's wait.
	DefaultWatchTimeout = 45 * time.Second
	// DefaultMaxWaiting is the number of calls that may wait for the budget.
	DefaultMaxWaiting = 1000
)

const (
	breakerThreshold  = 3
	minPause          = 100 * time.Millisecond
	maxPause          = 5 * time.Second
	maxOwnershipPause = 500 * time.Millisecond
)

// LimiterConfig is the budget of one host.
type LimiterConfig struct {
	Store Store
	// Clock is nil for the real one.
	Clock clockwork.Clock
	// ReadRate and WriteRate are this host's share of calls in a second; zero for any
	// number. A lease call counts as a write, a watch as a read.
	ReadRate, WriteRate rate.Limit
	// Timeout and WatchTimeout bound a call; zero for the defaults.
	Timeout, WatchTimeout time.Duration
	// MaxWaiting is the number of reads, and of writes, that may wait; zero for
	// DefaultMaxWaiting.
	MaxWaiting int
	// Registerer gets the counters; nil for none.
	Registerer prometheus.Registerer
}

// Limiter is a Store that keeps another one's calls inside a budget. Every call
// of a host goes through its one Limiter. Calls wait for the budget by priority;
// each is bounded in time; while the store fails, calls are held back for
// jittered pauses and end with ErrUnavailable, short ones for PriorityOwnership.
type Limiter struct {
	store        Store
	clock        clockwork.Clock
	reads        *tokenBucket
	writes       *tokenBucket
	ownership    *circuitBreaker
	others       *circuitBreaker
	timeout      time.Duration
	watchTimeout time.Duration
	metrics      *metrics
}

var _ Store = (*Limiter)(nil)

// NewLimiter makes the limiter of a host.
func NewLimiter(cfg LimiterConfig) *Limiter {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultCallTimeout
	}
	if cfg.WatchTimeout <= 0 {
		cfg.WatchTimeout = DefaultWatchTimeout
	}
	if cfg.MaxWaiting <= 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}
	return &Limiter{
		store:        cfg.Store,
		clock:        cfg.Clock,
		reads:        newTokenBucket(cfg.Clock, cfg.ReadRate, int(cfg.ReadRate), cfg.MaxWaiting),
		writes:       newTokenBucket(cfg.Clock, cfg.WriteRate, int(cfg.WriteRate), cfg.MaxWaiting),
		ownership:    newCircuitBreaker(cfg.Clock, breakerThreshold, minPause, maxOwnershipPause),
		others:       newCircuitBreaker(cfg.Clock, breakerThreshold, minPause, maxPause),
		timeout:      cfg.Timeout,
		watchTimeout: cfg.WatchTimeout,
		metrics:      newMetrics(cfg.Registerer),
	}
}

// limitedCall is one call of the budget.
type limitedCall struct {
	name     string
	budget   *tokenBucket
	priority Priority
	timeout  time.Duration
}

// do makes a call inside the budget.
func do[Out any](ctx context.Context, l *Limiter, c limitedCall, f func(context.Context) (Out, error)) (Out, error) {
	var none Out
	breaker := l.others
	if c.priority == PriorityOwnership {
		breaker = l.ownership
	}
	if err := breaker.allow(); err != nil {
		l.metrics.notSent.Inc()
		return none, err
	}
	bounded, cancel := deadline.With(ctx, l.clock, c.timeout)
	defer cancel()
	if err := c.budget.take(bounded, c.priority); err != nil {
		breaker.cancelProbe()
		l.metrics.notSent.Inc()
		return none, err
	}
	out, err := f(bounded)
	l.metrics.count(c.name, err)
	breaker.record(ctx, err)
	if err == nil {
		l.ownership.reset()
		l.others.reset()
	}
	return out, err
}

func (l *Limiter) readCall(ctx context.Context, name string) limitedCall {
	return limitedCall{name: name, budget: l.reads, priority: PriorityOf(ctx), timeout: l.timeout}
}

func (l *Limiter) writeCall(ctx context.Context, name string) limitedCall {
	return limitedCall{name: name, budget: l.writes, priority: PriorityOf(ctx), timeout: l.timeout}
}

// Get reads one key.
func (l *Limiter) Get(ctx context.Context, key string) (Entry, error) {
	return do(ctx, l, l.readCall(ctx, "get"), func(ctx context.Context) (Entry, error) {
		e, err := l.store.Get(ctx, key)
		l.metrics.bytesRead.Add(float64(len(e.Value)))
		return e, err
	})
}

// List reads all keys with a prefix.
func (l *Limiter) List(ctx context.Context, prefix string) ([]Entry, error) {
	return do(ctx, l, l.readCall(ctx, "list"), func(ctx context.Context) ([]Entry, error) {
		entries, err := l.store.List(ctx, prefix)
		l.metrics.countEntries(entries)
		return entries, err
	})
}

// CompareAndSwap writes a key.
func (l *Limiter) CompareAndSwap(ctx context.Context, w Write) (Revision, error) {
	return do(ctx, l, l.writeCall(ctx, "write"), func(ctx context.Context) (Revision, error) {
		l.metrics.bytesWritten.Add(float64(len(w.Value)))
		return l.store.CompareAndSwap(ctx, w)
	})
}

// GrantLease makes a lease.
func (l *Limiter) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c := l.writeCall(ctx, "grant")
	c.priority = PriorityOwnership
	return do(ctx, l, c, func(ctx context.Context) (LeaseID, error) {
		return l.store.GrantLease(ctx, ttl)
	})
}

// RenewLease renews a lease. It goes before all other calls.
func (l *Limiter) RenewLease(ctx context.Context, id LeaseID) error {
	c := l.writeCall(ctx, "renew")
	c.priority = PriorityOwnership
	return l.leaseCall(ctx, c, id, l.store.RenewLease)
}

// RevokeLease ends a lease.
func (l *Limiter) RevokeLease(ctx context.Context, id LeaseID) error {
	return l.leaseCall(ctx, l.writeCall(ctx, "revoke"), id, l.store.RevokeLease)
}

func (l *Limiter) leaseCall(ctx context.Context, c limitedCall, id LeaseID, f func(context.Context, LeaseID) error) error {
	_, err := do(ctx, l, c, func(ctx context.Context) (LeaseID, error) {
		return id, f(ctx, id)
	})
	return err
}

// Watch waits for changes of keys with a prefix.
func (l *Limiter) Watch(ctx context.Context, prefix string, after Revision) ([]Entry, error) {
	c := l.readCall(ctx, "watch")
	c.timeout = l.watchTimeout
	return do(ctx, l, c, func(ctx context.Context) ([]Entry, error) {
		l.metrics.waitingWatches.Inc()
		defer l.metrics.waitingWatches.Dec()
		entries, err := l.store.Watch(ctx, prefix, after)
		l.metrics.countEntries(entries)
		return entries, err
	})
}

// IsCircuitOpen reports whether calls are held back at present.
func (l *Limiter) IsCircuitOpen() bool {
	return l.others.isOpen() || l.ownership.isOpen()
}
