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
	// DefaultWatchTimeout bounds one watch. It must be longer than the time after
	// which the store ends a watch without changes.
	DefaultWatchTimeout = 45 * time.Second
	// DefaultMaxWaiting is the number of reads, and of writes, that may wait for the
	// rate limit.
	DefaultMaxWaiting = 1000
)

const (
	// breakerThreshold is the number of failures in a row that opens a breaker.
	breakerThreshold = 3
	// minPause is the first pause of an open breaker, before jitter.
	minPause = 100 * time.Millisecond
	// maxPause is the longest pause, before jitter.
	maxPause = 5 * time.Second
	// maxOwnershipPause is the longest pause of PriorityOwnership, before jitter, so
	// that session renewals and shard records are retried sooner than other calls.
	maxOwnershipPause = 500 * time.Millisecond
)

// LimiterConfig configures the Limiter of one host.
type LimiterConfig struct {
	Store Store
	// Clock is the real clock if nil.
	Clock clockwork.Clock
	// ReadRate and WriteRate are this host's share of the rate limits of all entry
	// hosts, in calls per second; zero for no limit. A lease call counts as a write, a
	// watch as a read.
	ReadRate, WriteRate rate.Limit
	// Timeout and WatchTimeout bound a call, including its wait for the rate limit; zero
	// for the defaults.
	Timeout, WatchTimeout time.Duration
	// MaxWaiting is the number of reads, and of writes, that may wait for the rate
	// limit; zero for DefaultMaxWaiting.
	MaxWaiting int
	// Registerer registers the metrics; nil for none.
	Registerer prometheus.Registerer
}

// Limiter is a Store that sends calls to another Store within a rate limit. All calls
// of a host go through one Limiter. Calls wait for the rate limit in order of priority,
// and each has a timeout. While the store fails, circuit breakers reject calls with
// ErrUnavailable for jittered pauses, which are shorter for PriorityOwnership. It is
// safe for concurrent use.
type Limiter struct {
	store  Store
	clock  clockwork.Clock
	reads  *tokenBucket
	writes *tokenBucket
	// ownership is the breaker of PriorityOwnership, others that of all other calls.
	ownership    *circuitBreaker
	others       *circuitBreaker
	timeout      time.Duration
	watchTimeout time.Duration
	metrics      *metrics
}

var _ Store = (*Limiter)(nil)

// NewLimiter returns a Limiter. Each rate limit allows a burst of one second's
// calls.
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

// limitedCall describes one call to the store.
type limitedCall struct {
	name     string
	bucket   *tokenBucket
	priority Priority
	timeout  time.Duration
}

// do sends a call if the breaker allows it and the rate limit admits it within the
// timeout. A success closes both breakers.
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
	bounded, cancel := deadline.WithTimeout(ctx, l.clock, c.timeout)
	defer cancel()
	if err := c.bucket.take(bounded, c.priority); err != nil {
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
	return limitedCall{name: name, bucket: l.reads, priority: PriorityOf(ctx), timeout: l.timeout}
}

func (l *Limiter) writeCall(ctx context.Context, name string) limitedCall {
	return limitedCall{name: name, bucket: l.writes, priority: PriorityOf(ctx), timeout: l.timeout}
}

// Get reads one key.
func (l *Limiter) Get(ctx context.Context, key string) (Entry, error) {
	return do(ctx, l, l.readCall(ctx, "get"), func(ctx context.Context) (Entry, error) {
		e, err := l.store.Get(ctx, key)
		l.metrics.bytesRead.Add(float64(len(e.Value)))
		return e, err
	})
}

// List reads all keys with a prefix, in order of key.
func (l *Limiter) List(ctx context.Context, prefix string) ([]Entry, error) {
	return do(ctx, l, l.readCall(ctx, "list"), func(ctx context.Context) ([]Entry, error) {
		entries, err := l.store.List(ctx, prefix)
		l.metrics.countEntries(entries)
		return entries, err
	})
}

// CompareAndSwap writes a key if it still has the expected revision.
func (l *Limiter) CompareAndSwap(ctx context.Context, w Write) (Revision, error) {
	return do(ctx, l, l.writeCall(ctx, "write"), func(ctx context.Context) (Revision, error) {
		l.metrics.bytesWritten.Add(float64(len(w.Value)))
		return l.store.CompareAndSwap(ctx, w)
	})
}

// GrantLease creates a lease with PriorityOwnership.
func (l *Limiter) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c := l.writeCall(ctx, "grant")
	c.priority = PriorityOwnership
	return do(ctx, l, c, func(ctx context.Context) (LeaseID, error) {
		return l.store.GrantLease(ctx, ttl)
	})
}

// RenewLease renews a lease with PriorityOwnership.
func (l *Limiter) RenewLease(ctx context.Context, id LeaseID) error {
	c := l.writeCall(ctx, "renew")
	c.priority = PriorityOwnership
	return l.leaseCall(ctx, c, id, l.store.RenewLease)
}

// RevokeLease ends a lease and deletes its keys.
func (l *Limiter) RevokeLease(ctx context.Context, id LeaseID) error {
	return l.leaseCall(ctx, l.writeCall(ctx, "revoke"), id, l.store.RevokeLease)
}

func (l *Limiter) leaseCall(ctx context.Context, c limitedCall, id LeaseID, f func(context.Context, LeaseID) error) error {
	_, err := do(ctx, l, c, func(ctx context.Context) (LeaseID, error) {
		return id, f(ctx, id)
	})
	return err
}

// Watch waits for changes of keys with a prefix above a revision.
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

// IsCircuitOpen reports whether a circuit breaker is open.
func (l *Limiter) IsCircuitOpen() bool {
	return l.others.isOpen() || l.ownership.isOpen()
}
