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

// Priority orders calls that wait for the budget. A lower number goes first.
type Priority int

// Priorities of calls.
const (
	// PriorityOwnership is for renewals of sessions and for shard records.
	PriorityOwnership Priority = iota
	// PriorityInteractive is for writes that a caller or an operator waits on.
	PriorityInteractive
	// PriorityNormal is for everything else.
	PriorityNormal
	// PriorityBackground is for work that nobody waits on.
	PriorityBackground

	priorityCount = int(PriorityBackground) + 1
)

type priorityKey struct{}

// WithPriority sets the priority of the calls made with ctx.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

// PriorityOf returns the priority of ctx, PriorityNormal if none is set.
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
	waiting int
}

// waiter is woken when the head of the queue may have changed.
type waiter struct {
	wake chan struct{}
}

func newTokenBucket(clock clockwork.Clock, perSecond rate.Limit, burst, maxWaiting int) *tokenBucket {
	if perSecond <= 0 {
		perSecond = rate.Inf
	}
	return &tokenBucket{clock: clock, maxWaiting: maxWaiting, tokens: rate.NewLimiter(perSecond, max(1, burst))}
}

// take waits for one token. Its errors prove that no token was taken.
func (b *tokenBucket) take(ctx context.Context, p Priority) error {
	b.mu.Lock()
	if b.waiting >= b.maxWaiting {
		b.mu.Unlock()
		return heatherhub.ErrUnavailable.New("%d calls wait for the store's budget: make fewer calls or raise the budget", b.maxWaiting)
	}
	w := &waiter{wake: make(chan struct{}, 1)}
	b.waiters[p] = append(b.waiters[p], w)
	b.waiting++
	for !b.tryTake(w) {
		if err := b.wait(ctx, w); err != nil {
			b.remove(p, w)
			b.mu.Unlock()
			return heatherhub.ErrUnavailable.Wrap(err, "no room in the store's budget before the deadline: try again later")
		}
	}
	b.remove(p, w)
	b.mu.Unlock()
	return nil
}

func (b *tokenBucket) tryTake(w *waiter) bool {
	return b.head() == w && b.tokens.AllowN(b.clock.Now(), 1)
}

// wait releases the lock until the waiter's turn may have come.
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

// untilToken returns the time until one token is there, at least a nanosecond.
func (b *tokenBucket) untilToken() time.Duration {
	missing := 1 - b.tokens.TokensAt(b.clock.Now())
	d := time.Duration(missing / float64(b.tokens.Limit()) * float64(time.Second))
	return max(d, 0) + 1
}

// remove takes a waiter out of the queue and wakes the new head.
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

func (b *tokenBucket) head() *waiter {
	for _, queue := range b.waiters {
		if len(queue) > 0 {
			return queue[0]
		}
	}
	return nil
}
