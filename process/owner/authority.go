package owner

import (
	"math"
	"time"
)

// An owner that cannot reach the store cannot know whether it was replaced. At any moment it
// renews leases and starts tasks only if a call that it sent within the last confirmationTTL
// has confirmed its ownership: a commit with the owner key as a precondition, or polls answered
// by a majority of the workers. It stops Limits.MaxStoreSilence after the last such commit in
// any case.
//
// A worker that has answered a poll of a new owner refuses those of earlier ones, and any two
// majorities overlap. So once a majority has answered the new owner, no poll that is sent later
// confirms the former one. A new owner relies on this in inheritedRunLimit.

// confirmationTTL is how long after a confirmation of its ownership was sent an owner may act.
const confirmationTTL = 2500 * time.Millisecond

// never is a steady time before all others.
const never = time.Duration(math.MinInt64)

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
	case unconfirmed <= confirmationTTL:
		return true
	case unconfirmed > t.host.cfg.MaxStoreSilence:
		return false
	default:
		return t.isConfirmedByMajority(now - confirmationTTL)
	}
}

// isConfirmedByMajority reports whether more than half of the workers have answered a poll that
// was sent at since or later. It takes the term's lock.
func (t *term) isConfirmedByMajority(since time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, w := range t.workers {
		if w.confirmedAt >= since {
			n++
		}
	}
	return 2*n > len(t.workers)
}
