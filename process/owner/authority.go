package owner

import "time"

// An owner without the store cannot know whether it was replaced. Two majorities of
// the workers have one in common: an owner that reaches more than half of them
// meets the token of a new owner that has reached more than half of them, and goes
// on; one that does not stops soon. A new owner relies on that when it decides how
// long runs may go on at workers that it cannot reach.

// actAlone is how long an owner acts that reaches neither the store nor most of its
// workers.
const actAlone = 2500 * time.Millisecond

// confirm notes that a commit that was sent at sentAt proved the ownership.
func (t *term) confirm(sentAt time.Duration) {
	for {
		old := t.confirmedAt.Load()
		if int64(sentAt) <= old || t.confirmedAt.CompareAndSwap(old, int64(sentAt)) {
			return
		}
	}
}

// confirmed returns when the ownership was last proven.
func (t *term) confirmed() time.Duration {
	return time.Duration(t.confirmedAt.Load())
}

// mayAct reports whether this owner may renew leases and start tasks.
func (t *term) mayAct(now time.Duration) bool {
	alone := now - t.confirmed()
	switch {
	case alone <= actAlone:
		return true
	case alone > t.host.cfg.ActWithoutStore:
		return false
	default:
		return t.reachesMost()
	}
}

// reachesMost reports whether more than half of the workers answered the last call.
func (t *term) reachesMost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasMajority()
}

// hasMajority is reachesMost for callers that have the lock.
func (t *term) hasMajority() bool {
	n := 0
	for _, w := range t.workers {
		if w.isUp && !w.isSilent.Load() {
			n++
		}
	}
	return 2*n > len(t.workers)
}
