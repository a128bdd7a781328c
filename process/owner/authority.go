package owner

import "time"

// An owner that cannot reach the store cannot know whether it was replaced. It goes on
// only while it reaches a majority of the workers: any two majorities overlap, so if a
// new owner has reached a majority too, the old one is fenced by a worker they share.
// Without a majority it stops after minorityGrace, and in any case after
// Limits.MaxStoreSilence. A new owner relies on this in inheritedRunLimit, which bounds
// the runs on workers that it cannot reach.

// minorityGrace is how long after the last confirmation of its ownership an owner may
// act without reaching a majority of its workers.
const minorityGrace = 2500 * time.Millisecond

// confirmOwnership records that a commit sent at sentAt succeeded with the owner key as
// a precondition. Earlier times than the recorded one are ignored.
func (t *term) confirmOwnership(sentAt time.Duration) {
	for {
		old := t.confirmedAt.Load()
		if int64(sentAt) <= old || t.confirmedAt.CompareAndSwap(old, int64(sentAt)) {
			return
		}
	}
}

// lastConfirmed returns the steady time at which the last commit was sent that
// confirmed the ownership.
func (t *term) lastConfirmed() time.Duration {
	return time.Duration(t.confirmedAt.Load())
}

// mayAct reports whether this owner may renew worker leases and start tasks at now.
func (t *term) mayAct(now time.Duration) bool {
	unconfirmed := now - t.lastConfirmed()
	switch {
	case unconfirmed <= minorityGrace:
		return true
	case unconfirmed > t.host.cfg.MaxStoreSilence:
		return false
	default:
		return t.reachesMajority()
	}
}

// reachesMajority reports whether more than half of the workers answered their last
// poll. It takes the term's lock.
func (t *term) reachesMajority() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachesMajorityLocked()
}

// reachesMajorityLocked is reachesMajority for callers that hold the term's lock.
func (t *term) reachesMajorityLocked() bool {
	n := 0
	for _, w := range t.workers {
		if w.isUp && !w.isSilent.Load() {
			n++
		}
	}
	return 2*n > len(t.workers)
}
