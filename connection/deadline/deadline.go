// Package deadline provides timeouts and sleeps on an injected clock, so that tests
// can use a fake one.
//
// # Usage
//
//	ctx, cancel := deadline.WithTimeout(ctx, clock, 2*time.Second)
//	defer cancel()
//	if deadline.Sleep(ctx, clock, wait) != nil {
//		return // ctx was cancelled first
//	}
//
// It does not use clockwork.WithTimeout: on a fake clock, the Err method of such a
// context blocks until the context ends.
package deadline

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithTimeout returns a context that is cancelled after d on the clock. Its error is
// then context.Canceled and not context.DeadlineExceeded. The caller must call the
// returned function to stop the timer.
func WithTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := clock.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// Sleep waits for d on the clock. If ctx ends first, it returns the error of ctx.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) error {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

// IsDone reports whether ctx has ended, without blocking.
func IsDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}
