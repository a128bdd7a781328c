package ledger

import (
	"context"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
)

// Watcher reports the items with a key prefix and their changes. It reads the range and
// then watches it. If the store no longer keeps the history since the last revision,
// it reads the range again; after any other error it repeats the failed call.
type Watcher struct {
	Store  Store
	Prefix string
	// WatchTimeout limits one watch, and so the time until an unresponsive connection
	// is noticed.
	WatchTimeout time.Duration
	// MinInterval is the minimum time between two watches that return changes. Changes
	// in between are reported together.
	MinInterval time.Duration
	// OnSnapshot gets all items after a range read.
	OnSnapshot func(Snapshot)
	// OnChanges gets the changes since the last snapshot or call of OnChanges.
	OnChanges func([]Event)
	// OnReply, if set, is called after each successful call of the store.
	OnReply func()
	Log     *zap.Logger
}

// retryDelay is the delay after a failed call.
const retryDelay = 150 * time.Millisecond

// Run watches the prefix until ctx ends, starting from a snapshot or, if from is nil,
// from a new range read. All callbacks are called on the goroutine of Run.
func (w *Watcher) Run(ctx context.Context, from *Snapshot) {
	isStoreLost := false
	for ctx.Err() == nil {
		if from == nil {
			snap, err := w.Store.Range(ctx, w.Prefix)
			if err != nil {
				w.recordFailure(ctx, &isStoreLost, err)
				Sleep(ctx, retryDelay)
				continue
			}
			from = &snap
			w.recordSuccess(&isStoreLost)
			w.OnSnapshot(snap)
		}
		changes, err := w.Store.Watch(ctx, w.Prefix, from.Revision, w.watchTimeout(isStoreLost))
		switch {
		case err == nil:
			w.recordSuccess(&isStoreLost)
			from = &Snapshot{Revision: changes.Revision}
			if len(changes.Events) > 0 {
				w.OnChanges(changes.Events)
				Sleep(ctx, w.MinInterval)
			}
		case heatherhub.CodeOf(err) == heatherhub.CodeNotFound:
			w.Log.Info("history lost", zap.String("prefix", w.Prefix), zap.Uint64("revision", uint64(from.Revision)))
			from = nil
		default:
			w.recordFailure(ctx, &isStoreLost, err)
			Sleep(ctx, retryDelay)
		}
	}
}

// watchTimeout returns how long a watch waits. After a failure it does not wait, so that the
// return of a store that does not answer is noticed within the timeout of a call.
func (w *Watcher) watchTimeout(isStoreLost bool) time.Duration {
	if isStoreLost {
		return 0
	}
	return w.WatchTimeout
}

// recordSuccess logs the end of an outage and calls OnReply.
func (w *Watcher) recordSuccess(isStoreLost *bool) {
	if *isStoreLost {
		*isStoreLost = false
		w.Log.Info("store regained", zap.String("prefix", w.Prefix))
	}
	if w.OnReply != nil {
		w.OnReply()
	}
}

// recordFailure logs the start of an outage, once.
func (w *Watcher) recordFailure(ctx context.Context, isStoreLost *bool, err error) {
	if *isStoreLost || ctx.Err() != nil {
		return
	}
	*isStoreLost = true
	w.Log.Warn("store lost", zap.String("prefix", w.Prefix), zap.Error(err))
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
