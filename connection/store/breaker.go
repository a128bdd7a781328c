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

// circuitBreaker holds calls back while the store fails. After some failures in a row
// it lets one call through after each pause; the pauses grow and are jittered,
// so that the hosts do not come back together.
type circuitBreaker struct {
	clock     clockwork.Clock
	threshold int

	mu        sync.Mutex
	pauses    *backoff.ExponentialBackOff
	failures  int
	openUntil time.Time
	isProbing bool
}

func newCircuitBreaker(clock clockwork.Clock, threshold int, minPause, maxPause time.Duration) *circuitBreaker {
	return &circuitBreaker{clock: clock, threshold: threshold, pauses: newBackOff(minPause, maxPause)}
}

// allow reports an error while calls are held back.
func (b *circuitBreaker) allow() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < b.threshold {
		return nil
	}
	left := b.openUntil.Sub(b.clock.Now())
	if left > 0 || b.isProbing {
		err := heatherhub.ErrUnavailable.New("the store has failed %d times in a row: try again later", b.failures)
		return heatherhub.WithRetryAfter(err, max(left, b.pauses.InitialInterval))
	}
	b.isProbing = true
	return nil
}

// record takes the outcome of an admitted call.
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

// reset ends the pause, after a call of another class succeeded.
func (b *circuitBreaker) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clear()
}

// cancelProbe takes back the admission of a call that was not sent.
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
