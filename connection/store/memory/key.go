package memory

import (
	"context"
	"slices"
	"strings"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
)

// Get reads one key.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.begin(ctx, KindGet, nil); err != nil {
		return store.Entry{}, err
	}
	e := store.Entry{Key: key}
	if it, ok := s.items.Get(key); ok && !it.deleted {
		e = copyEntry(it.entry)
	}
	s.counts.BytesRead += len(e.Value)
	if err := s.end(ctx, KindGet); err != nil {
		return store.Entry{}, err
	}
	return e, nil
}

// List reads all keys with a prefix, in order of key.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	if err := s.begin(ctx, KindList, nil); err != nil {
		return nil, err
	}
	entries := s.collect(prefix, func(it *item) bool { return !it.deleted })
	if err := s.end(ctx, KindList); err != nil {
		return nil, err
	}
	return entries, nil
}

// collect copies the wanted entries with a prefix, in order of key. The caller holds
// the lock.
func (s *Store) collect(prefix string, isWanted func(*item) bool) []store.Entry {
	var entries []store.Entry
	s.items.Ascend(prefix, func(key string, it *item) bool {
		if !strings.HasPrefix(key, prefix) {
			return false
		}
		if isWanted(it) {
			entries = append(entries, copyEntry(it.entry))
			s.counts.BytesRead += len(it.entry.Value)
		}
		return true
	})
	return entries
}

// CompareAndSwap writes a key if it still has the expected revision.
func (s *Store) CompareAndSwap(ctx context.Context, w store.Write) (store.Revision, error) {
	if err := w.Check(); err != nil {
		return 0, err
	}
	w.Value = append([]byte{}, w.Value...)
	if err := s.begin(ctx, KindWrite, func() { _, _ = s.applyWrite(w) }); err != nil {
		return 0, err
	}
	rev, err := s.applyWrite(w)
	if lost := s.end(ctx, KindWrite); lost != nil {
		return 0, lost
	}
	return rev, err
}

// applyWrite performs a compare-and-swap. The caller holds the lock.
func (s *Store) applyWrite(w store.Write) (store.Revision, error) {
	old, isKnown := s.items.Get(w.Key)
	var current store.Revision
	if isKnown && !old.deleted {
		current = old.entry.Revision
	}
	if current != w.Expect {
		s.counts.Conflicts++
		return 0, heatherhub.ErrConflict.New("key %s has revision %d and not %d: read it again", w.Key, current, w.Expect)
	}
	l, hasLease := s.leases[w.Lease]
	if w.Lease != 0 && !hasLease {
		return 0, heatherhub.ErrNotFound.New("lease %d has expired: grant a new one", w.Lease)
	}
	if w.Delete {
		if current != 0 {
			s.remove(w.Key)
		}
		return s.revision, nil
	}
	if isKnown {
		s.detachLease(old)
	}
	if hasLease {
		l.keys[w.Key] = true
	}
	s.revision++
	s.counts.BytesWritten += len(w.Value)
	s.items.Set(w.Key, &item{entry: store.Entry{Key: w.Key, Value: w.Value, Revision: s.revision, Lease: w.Lease}})
	s.notifyWatches()
	return s.revision, nil
}

// remove replaces a key with a tombstone, so that watches see the deletion.
func (s *Store) remove(key string) {
	it, ok := s.items.Get(key)
	if !ok || it.deleted {
		return
	}
	s.detachLease(it)
	s.revision++
	s.items.Set(key, &item{entry: store.Entry{Key: key, Revision: s.revision}, deleted: true})
	s.notifyWatches()
}

// detachLease removes a key from the lease that it is attached to.
func (s *Store) detachLease(it *item) {
	if l, ok := s.leases[it.entry.Lease]; ok {
		delete(l.keys, it.entry.Key)
	}
}

// Watch waits for changes of keys with a prefix and returns them in order of revision.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision) ([]store.Entry, error) {
	deadline := s.clock.Now().Add(s.watchWait)
	if err := s.begin(ctx, KindWatch, nil); err != nil {
		return nil, err
	}
	s.counts.Waiting++
	entries, err := s.waitForEntries(ctx, prefix, after, deadline)
	s.counts.Waiting--
	if lost := s.end(ctx, KindWatch); lost != nil {
		return nil, lost
	}
	return entries, err
}

// waitForEntries waits until entries are newer than after or the deadline passes. The
// caller holds the lock, which is released while it waits.
func (s *Store) waitForEntries(ctx context.Context, prefix string, after store.Revision, deadline time.Time) ([]store.Entry, error) {
	for {
		s.applyDue()
		if s.faults.Down {
			return nil, heatherhub.ErrUnavailable.New("the store is down: watch again later")
		}
		entries := s.collect(prefix, func(it *item) bool { return it.entry.Revision > after })
		now := s.clock.Now()
		if len(entries) > 0 || !now.Before(deadline) {
			slices.SortFunc(entries, func(a, b store.Entry) int { return int(a.Revision) - int(b.Revision) })
			return entries, nil
		}
		changed := s.changed
		timer := s.clock.NewTimer(s.nextEvent(deadline).Sub(now))
		s.mu.Unlock()
		err := waitForWake(ctx, changed, timer.Chan())
		timer.Stop()
		s.mu.Lock()
		if err != nil {
			return nil, heatherhub.ErrUnavailable.New("the watch of %s was cancelled: watch again", prefix)
		}
	}
}

// waitForWake waits for a change or the timer. It returns an error if ctx ends first.
func waitForWake(ctx context.Context, changed <-chan struct{}, timer <-chan time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer:
	}
	return nil
}

func copyEntry(e store.Entry) store.Entry {
	if e.Value != nil {
		e.Value = append([]byte{}, e.Value...)
	}
	return e
}
