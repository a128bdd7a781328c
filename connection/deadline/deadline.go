// Package deadline bounds calls and pauses by an injected clock, so that tests
// run them on a fake one.
//
// # Usage
//
//	ctx, cancel := deadline.With(ctx, clock, 2*time.Second)
//	defer cancel()
//	if deadline.Sleep(ctx, clock, wait) != nil {
//		return // ctx ended first
//	}
//
// The contexts of clockwork.WithTimeout are not used: on a fake clock their Err
// blocks until they end.
package deadline

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithTimeout returns a context that is cancelled after d on the clock.
func WithTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := clock.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// Sleep waits for d on the clock. Its error is that of a context that ends first.
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

// IsDone reports whether a context has ended.
func IsDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}
