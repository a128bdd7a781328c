package owner

import (
	"math"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// An owner that cannot reach the store cannot know whether it was replaced. At any moment it
// renews leases and starts tasks only if a call that it sent within the last confirmationTTL
// has confirmed its ownership: a commit with the owner key as a precondition, or polls answered
// by a majority of the workers. It stops Limits.MaxStoreSilence after the last such commit in
// any case.
//
// A worker that has answered a poll of a new owner refuses those of earlier ones, and any two
// majorities overlap. So once a majority has answered the new owner, no poll that is sent later
// confirms the former one.

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

// succession tracks when the earlier owners of a shard have stopped acting.
type succession struct {
	// isOver says that a majority of the workers has answered this owner. The term's mu guards
	// it.
	isOver bool
	// stopsAt is the steady time, in nanoseconds, after which no earlier owner acts. It
	// only becomes earlier.
	stopsAt atomic.Int64
}

// endSuccession limits the time of the earlier owners once a majority of the workers has
// answered this owner. The caller holds the term's mu.
func (t *term) endSuccession(now time.Duration) {
	s := &t.succession
	n := 0
	for _, w := range t.workers {
		if w.confirmedAt > never {
			n++
		}
	}
	if s.isOver || 2*n <= len(t.workers) {
		return
	}
	s.isOver = true
	s.stopsAt.Store(min(s.stopsAt.Load(), int64(now+onSlowestClock(confirmationTTL))))
	t.log.Info("former owner fenced by a majority", zap.Duration("took", now-t.startedAt), zap.Int("workers", n), zap.Int("known", len(t.workers)))
}

// formerStopsAt returns the steady time after which no earlier owner acts.
func (t *term) formerStopsAt() time.Duration {
	return time.Duration(t.succession.stopsAt.Load())
}

// inheritedRunsEnd returns the steady time by which runs of earlier owners have ended at a
// worker that this owner has not reached.
func (t *term) inheritedRunsEnd() time.Duration {
	longest := max(t.host.cfg.WorkerLease, maxOrderAge+startValidity)
	return t.formerStopsAt() + onSlowestClock(longest) + leaseSlack
}
