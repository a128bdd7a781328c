package ledger

import (
	"context"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
)

// Watcher keeps a view of all keys with a prefix up to date. It reads the range
// and watches it; when the history is gone, or the connection fell silent, it
// reads again.
type Watcher struct {
	Store  Store
	Prefix string
	// WatchTimeout bounds one watch. A silent connection is noticed after it.
	WatchTimeout time.Duration
	// MinInterval is the least time between two watches; changes in between come together.
	MinInterval time.Duration
	// OnSnapshot takes the whole view, OnChanges what has changed since.
	OnSnapshot func(Snapshot)
	OnChanges  func([]Event)
	// OnReply is called after each answer of the store, if set.
	OnReply func()
	Log     *zap.Logger
}

// retryDelay is the pause after a failed call.
const retryDelay = 150 * time.Millisecond

// Run follows the prefix until ctx ends, from a snapshot or, if that is nil, from
// a fresh read.
func (f *Watcher) Run(ctx context.Context, from *Snapshot) {
	isLost := false
	for ctx.Err() == nil {
		if from == nil {
			snap, err := f.Store.Range(ctx, f.Prefix)
			if err != nil {
				f.note(ctx, &isLost, err)
				Sleep(ctx, retryDelay)
				continue
			}
			from = &snap
			f.contact(&isLost)
			f.OnSnapshot(snap)
		}
		changes, err := f.Store.Watch(ctx, f.Prefix, from.Revision, f.WatchTimeout)
		switch {
		case err == nil:
			f.contact(&isLost)
			from = &Snapshot{Revision: changes.Revision}
			if len(changes.Events) > 0 {
				f.OnChanges(changes.Events)
				Sleep(ctx, f.MinInterval)
			}
		case heatherhub.CodeOf(err) == heatherhub.CodeNotFound:
			f.Log.Info("history lost", zap.String("prefix", f.Prefix), zap.Uint64("revision", uint64(from.Revision)))
			from = nil
		default:
			f.note(ctx, &isLost, err)
			Sleep(ctx, retryDelay)
		}
	}
}

func (f *Watcher) contact(isLost *bool) {
	if *isLost {
		*isLost = false
		f.Log.Info("store regained", zap.String("prefix", f.Prefix))
	}
	if f.OnReply != nil {
		f.OnReply()
	}
}

func (f *Watcher) note(ctx context.Context, isLost *bool, err error) {
	if *isLost || ctx.Err() != nil {
		return
	}
	*isLost = true
	f.Log.Warn("store lost", zap.String("prefix", f.Prefix), zap.Error(err))
}

// Sleep waits for d or the end of ctx.
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
