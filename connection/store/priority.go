package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"heatherhub.example/heatherhub"
)

// Priority orders calls that wait for the rate limit. The lowest number goes first.
type Priority int

// Priorities of calls.
const (
	// PriorityOwnership is for session renewals and shard records.
	PriorityOwnership Priority = iota
	// PriorityInteractive is for writes that a caller or an operator waits for.
	PriorityInteractive
	// PriorityNormal is the default.
	PriorityNormal
	// PriorityBackground is for calls that nothing waits for.
	PriorityBackground

	priorityCount = int(PriorityBackground) + 1
)

type priorityKey struct{}

// WithPriority returns a copy of ctx that sets the priority of store calls.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

// PriorityOf returns the priority of ctx, or PriorityNormal if none is set.
func PriorityOf(ctx context.Context) Priority {
	p, ok := ctx.Value(priorityKey{}).(Priority)
	if !ok || p < PriorityOwnership || p > PriorityBackground {
		return PriorityNormal
	}
	return p
}

// tokenBucket is a token bucket whose waiters are served by priority and, within one
// priority, in order of arrival.
type tokenBucket struct {
	clock      clockwork.Clock
	maxWaiting int

	mu      sync.Mutex
	tokens  *rate.Limiter
	waiters [priorityCount][]*waiter
	// waiting is the number of waiters of all priorities.
	waiting int
}

// waiter is a call in the queue. wake receives when it may have become the head.
type waiter struct {
	wake chan struct{}
}

func newTokenBucket(clock clockwork.Clock, perSecond rate.Limit, burst, maxWaiting int) *tokenBucket {
	if perSecond <= 0 {
		perSecond = rate.Inf
	}
	return &tokenBucket{clock: clock, maxWaiting: maxWaiting, tokens: rate.NewLimiter(perSecond, max(1, burst))}
}

// take waits for one token. On an error no token was taken.
func (b *tokenBucket) take(ctx context.Context, p Priority) error {
	b.mu.Lock()
	if b.waiting >= b.maxWaiting {
		b.mu.Unlock()
		return heatherhub.ErrUnavailable.New("%d calls already wait for the store's rate limit: send fewer calls or raise the limit", b.maxWaiting)
	}
	w := &waiter{wake: make(chan struct{}, 1)}
	b.waiters[p] = append(b.waiters[p], w)
	b.waiting++
	for !b.tryTake(w) {
		if err := b.wait(ctx, w); err != nil {
			b.remove(p, w)
			b.mu.Unlock()
			return heatherhub.ErrUnavailable.Wrap(err, "the store's rate limit admits no call before the deadline: retry later")
		}
	}
	b.remove(p, w)
	b.mu.Unlock()
	return nil
}

// tryTake takes a token if the waiter is at the head and a token is available. The
// caller holds the lock.
func (b *tokenBucket) tryTake(w *waiter) bool {
	return b.head() == w && b.tokens.AllowN(b.clock.Now(), 1)
}

// wait releases the lock until the waiter is woken, its token is due or ctx is done.
// The head of the queue waits for a token, the others for their turn.
func (b *tokenBucket) wait(ctx context.Context, w *waiter) error {
	var due <-chan time.Time
	if b.head() == w {
		timer := b.clock.NewTimer(b.untilToken())
		defer timer.Stop()
		due = timer.Chan()
	}
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-due:
	case <-w.wake:
	}
	return nil
}

// untilToken returns the time until a token is available, at least a nanosecond.
func (b *tokenBucket) untilToken() time.Duration {
	missing := 1 - b.tokens.TokensAt(b.clock.Now())
	d := time.Duration(missing / float64(b.tokens.Limit()) * float64(time.Second))
	return max(d, 0) + 1
}

// remove removes a waiter from the queue and wakes the new head. The caller holds the
// lock.
func (b *tokenBucket) remove(p Priority, w *waiter) {
	b.waiters[p] = slices.DeleteFunc(b.waiters[p], func(o *waiter) bool { return o == w })
	b.waiting--
	if next := b.head(); next != nil {
		select {
		case next.wake <- struct{}{}:
		default:
		}
	}
}

// head returns the first waiter of the lowest priority number, or nil.
func (b *tokenBucket) head() *waiter {
	for _, queue := range b.waiters {
		if len(queue) > 0 {
			return queue[0]
		}
	}
	return nil
}
