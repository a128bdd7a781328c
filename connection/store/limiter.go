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
	// DefaultQueue is the number of calls that may wait for the budget.
	DefaultQueue = 1000
)

const (
	failuresUntilPause   = 3
	firstPause           = 100 * time.Millisecond
	longestPause         = 5 * time.Second
	longestOwnershipWait = 500 * time.Millisecond
)

// LimiterConfig is the budget of one host.
type LimiterConfig struct {
	Store Store
	// Clock is nil for the real one.
	Clock clockwork.Clock
	// Reads and Writes are this host's share of calls in a second; zero for any
	// number. A lease call counts as a write, a watch as a read.
	Reads, Writes rate.Limit
	// Timeout and WatchTimeout bound a call; zero for the defaults.
	Timeout, WatchTimeout time.Duration
	// Queue is the number of reads, and of writes, that may wait; zero for
	// DefaultQueue.
	Queue int
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
	reads        *bucket
	writes       *bucket
	ownership    *outage
	others       *outage
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
	if cfg.Queue <= 0 {
		cfg.Queue = DefaultQueue
	}
	return &Limiter{
		store:        cfg.Store,
		clock:        cfg.Clock,
		reads:        newBucket(cfg.Clock, cfg.Reads, int(cfg.Reads), cfg.Queue),
		writes:       newBucket(cfg.Clock, cfg.Writes, int(cfg.Writes), cfg.Queue),
		ownership:    newOutage(cfg.Clock, failuresUntilPause, firstPause, longestOwnershipWait),
		others:       newOutage(cfg.Clock, failuresUntilPause, firstPause, longestPause),
		timeout:      cfg.Timeout,
		watchTimeout: cfg.WatchTimeout,
		metrics:      newMetrics(cfg.Registerer),
	}
}

// call is one call of the budget.
type call struct {
	name     string
	budget   *bucket
	priority Priority
	timeout  time.Duration
}

// limited makes a call inside the budget.
func limited[Out any](ctx context.Context, l *Limiter, c call, f func(context.Context) (Out, error)) (Out, error) {
	var none Out
	state := l.others
	if c.priority == PriorityOwnership {
		state = l.ownership
	}
	if err := state.admit(); err != nil {
		l.metrics.heldBack.Inc()
		return none, err
	}
	bounded, cancel := deadline.WithTimeout(ctx, l.clock, c.timeout)
	defer cancel()
	if err := c.budget.take(bounded, c.priority); err != nil {
		state.abandon()
		l.metrics.heldBack.Inc()
		return none, err
	}
	out, err := f(bounded)
	l.metrics.count(c.name, err)
	state.report(ctx, err)
	if err == nil {
		l.ownership.reset()
		l.others.reset()
	}
	return out, err
}

func (l *Limiter) read(ctx context.Context, name string) call {
	return call{name: name, budget: l.reads, priority: PriorityOf(ctx), timeout: l.timeout}
}

func (l *Limiter) write(ctx context.Context, name string) call {
	return call{name: name, budget: l.writes, priority: PriorityOf(ctx), timeout: l.timeout}
}

// Get reads one key.
func (l *Limiter) Get(ctx context.Context, key string) (Entry, error) {
	return limited(ctx, l, l.read(ctx, "get"), func(ctx context.Context) (Entry, error) {
		e, err := l.store.Get(ctx, key)
		l.metrics.bytesRead.Add(float64(len(e.Value)))
		return e, err
	})
}

// List reads all keys with a prefix.
func (l *Limiter) List(ctx context.Context, prefix string) ([]Entry, error) {
	return limited(ctx, l, l.read(ctx, "list"), func(ctx context.Context) ([]Entry, error) {
		entries, err := l.store.List(ctx, prefix)
		l.metrics.countEntries(entries)
		return entries, err
	})
}

// CompareAndSwap writes a key.
func (l *Limiter) CompareAndSwap(ctx context.Context, w Write) (Revision, error) {
	return limited(ctx, l, l.write(ctx, "write"), func(ctx context.Context) (Revision, error) {
		l.metrics.bytesWritten.Add(float64(len(w.Value)))
		return l.store.CompareAndSwap(ctx, w)
	})
}

// GrantLease makes a lease.
func (l *Limiter) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c := l.write(ctx, "grant")
	c.priority = PriorityOwnership
	return limited(ctx, l, c, func(ctx context.Context) (LeaseID, error) {
		return l.store.GrantLease(ctx, ttl)
	})
}

// RenewLease renews a lease. It goes before all other calls.
func (l *Limiter) RenewLease(ctx context.Context, id LeaseID) error {
	c := l.write(ctx, "renew")
	c.priority = PriorityOwnership
	return l.leaseCall(ctx, c, id, l.store.RenewLease)
}

// RevokeLease ends a lease.
func (l *Limiter) RevokeLease(ctx context.Context, id LeaseID) error {
	return l.leaseCall(ctx, l.write(ctx, "revoke"), id, l.store.RevokeLease)
}

func (l *Limiter) leaseCall(ctx context.Context, c call, id LeaseID, f func(context.Context, LeaseID) error) error {
	_, err := limited(ctx, l, c, func(ctx context.Context) (LeaseID, error) {
		return id, f(ctx, id)
	})
	return err
}

// Watch waits for changes of keys with a prefix.
func (l *Limiter) Watch(ctx context.Context, prefix string, after Revision) ([]Entry, error) {
	c := l.read(ctx, "watch")
	c.timeout = l.watchTimeout
	return limited(ctx, l, c, func(ctx context.Context) ([]Entry, error) {
		l.metrics.waitingWatches.Inc()
		defer l.metrics.waitingWatches.Dec()
		entries, err := l.store.Watch(ctx, prefix, after)
		l.metrics.countEntries(entries)
		return entries, err
	})
}

// IsFailing reports whether calls are held back at present.
func (l *Limiter) IsFailing() bool {
	return l.others.isOpen() || l.ownership.isOpen()
}
