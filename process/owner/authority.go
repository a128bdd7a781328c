package owner

import "time"

// An owner without the store cannot know whether it was replaced. Two majorities of
// the workers have one in common: an owner that reaches more than half of them
// meets the token of a new owner that has reached more than half of them, and goes
// on; one that does not stops soon. A new owner relies on that when it decides how
// long runs may go on at workers that it cannot reach.

// minorityGrace is how long an owner acts that reaches neither the store nor most of its
// workers.
const minorityGrace = 2500 * time.Millisecond

// confirmOwnership notes that a commit that was sent at sentAt proved the ownership.
func (t *term) confirmOwnership(sentAt time.Duration) {
	for {
		old := t.confirmedAt.Load()
		if int64(sentAt) <= old || t.confirmedAt.CompareAndSwap(old, int64(sentAt)) {
			return
		}
	}
}

// lastConfirmed returns when the ownership was last proven.
func (t *term) lastConfirmed() time.Duration {
	return time.Duration(t.confirmedAt.Load())
}

// mayAct reports whether this owner may renew leases and start tasks.
func (t *term) mayAct(now time.Duration) bool {
	alone := now - t.lastConfirmed()
	switch {
	case alone <= minorityGrace:
		return true
	case alone > t.host.cfg.MaxStoreSilence:
		return false
	default:
		return t.reachesMajority()
	}
}

// reachesMajority reports whether more than half of the workers answered the last call.
func (t *term) reachesMajority() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachesMajorityLocked()
}

// reachesMajorityLocked is reachesMajority for callers that have the lock.
func (t *term) reachesMajorityLocked() bool {
	n := 0
	for _, w := range t.workers {
		if w.isUp && !w.isSilent.Load() {
			n++
		}
	}
	return 2*n > len(t.workers)
}
