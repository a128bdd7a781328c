package store

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/deadline"
)

// circuitBreaker rejects calls while the store fails. After threshold failures in a
// row it allows one probe after each pause. The pauses grow and are jittered, so that
// the hosts do not retry at the same time.
type circuitBreaker struct {
	clock     clockwork.Clock
	threshold int

	mu     sync.Mutex
	pauses *backoff.ExponentialBackOff
	// failures is the number of failures in a row.
	failures int
	// openUntil is the end of the current pause.
	openUntil time.Time
	// isProbing is set while a probe is admitted and not yet recorded.
	isProbing bool
}

func newCircuitBreaker(clock clockwork.Clock, threshold int, minPause, maxPause time.Duration) *circuitBreaker {
	return &circuitBreaker{clock: clock, threshold: threshold, pauses: newBackOff(minPause, maxPause)}
}

// allow returns ErrUnavailable while the breaker is open. Once the pause is over it
// admits one call as a probe; the caller must call record or cancelProbe after it.
func (b *circuitBreaker) allow() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < b.threshold {
		return nil
	}
	left := b.openUntil.Sub(b.clock.Now())
	if left > 0 || b.isProbing {
		err := heatherhub.ErrUnavailable.New("the last %d calls to the store failed: retry later", b.failures)
		return heatherhub.WithRetryAfter(err, max(left, b.pauses.InitialInterval))
	}
	b.isProbing = true
	return nil
}

// record updates the breaker with the outcome of a call. Only ErrUnavailable and
// ErrUnknown are failures; they are not counted if the caller's own context is done.
func (b *circuitBreaker) record(callerCtx context.Context, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isProbing = false
	switch heatherhub.CodeOf(err) {
	case heatherhub.CodeUnavailable, heatherhub.CodeUnknown:
	default:
		b.clear()
		return
	}
	if deadline.IsDone(callerCtx) {
		return
	}
	b.failures++
	if b.failures >= b.threshold {
		b.openUntil = b.clock.Now().Add(b.pauses.NextBackOff())
	}
}

func (b *circuitBreaker) clear() {
	b.failures = 0
	b.openUntil = time.Time{}
	b.pauses.Reset()
}

// reset closes the breaker, after a call through another breaker succeeded.
func (b *circuitBreaker) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clear()
}

// cancelProbe withdraws a probe that was not sent, so that the next call can probe.
func (b *circuitBreaker) cancelProbe() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isProbing = false
}

func (b *circuitBreaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= b.threshold
}
