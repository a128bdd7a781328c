package owner

import (
	"maps"
	"math"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
)

// An owner that cannot reach the store cannot know whether it was replaced. At any moment it
// renews leases and starts tasks only if a call that it sent within the last confirmationTTL
// has confirmed its ownership: a commit with the owner key as a precondition, or polls answered
// by a majority of the workers of the stored fleet. It stops Limits.MaxStoreSilence after the
// last such commit in any case.
//
// A worker that has answered a poll of a new owner refuses those of earlier ones. It forgets that
// when it starts again, so majorities count incarnations: the next one is another worker, which
// counts only once it is in the stored fleet. The former owner counts majorities of the fleet
// that the new one inherits, and any two of them overlap. So once a majority has answered the new
// owner, no poll that is sent later confirms the former one. Only workers of the stored fleet run
// tasks.
//
// This also holds for the owners before the former one: an owner changes the stored fleet only
// when all earlier owners stop within confirmationTTL, which is before a later owner relies on
// a majority of the changed fleet. Workers that it removes have answered it, have been replaced,
// or are gone since the earlier owners have stopped or have released them (release.go).

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

// isConfirmedByMajority reports whether more than half of the workers of each list that may be
// the stored fleet have answered a poll that was sent at since or later. It takes the term's
// lock.
func (t *term) isConfirmedByMajority(since time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.fleet.stored {
		n := 0
		for id := range m {
			if w := t.workers[id]; w != nil && w.confirmedAt >= since {
				n++
			}
		}
		if 2*n <= len(m) {
			return false
		}
	}
	return len(t.fleet.stored) > 0
}

// succession tracks when the earlier owners of a shard have stopped acting.
type succession struct {
	// inherited is the number of workers of the inherited fleet. open has those that may still
	// answer the former owner: they have neither answered this one nor been replaced. The
	// term's mu guards both.
	inherited int
	open      map[heatherhub.WorkerID]struct{}
	// isOver is closed once a majority is not open.
	isOver chan struct{}
	// stopsAt is the steady time, in nanoseconds, after which no earlier owner acts. It
	// only becomes earlier.
	stopsAt atomic.Int64
}

// inherit sets the workers of the inherited fleet. The caller holds the term's mu.
func (t *term) inherit(workers members, now time.Duration) {
	t.fleet.stored = []members{workers}
	for id := range workers {
		t.fleet.tokens[id] = t.token
	}
	t.succession.inherited, t.succession.open = len(workers), maps.Clone(workers)
	t.endSuccession(now)
}

// fenceFormer records that a worker has answered this owner, has been replaced or has started
// again. The caller holds the term's mu.
func (t *term) fenceFormer(id heatherhub.WorkerID, now time.Duration) {
	if _, ok := t.succession.open[id]; ok {
		delete(t.succession.open, id)
		t.endSuccession(now)
	}
}

// endSuccession limits the time of the earlier owners once a majority of the inherited fleet
// is not open. Without an inherited fleet they have no majority. The caller holds the term's mu.
func (t *term) endSuccession(now time.Duration) {
	s := &t.succession
	if s.inherited > 0 && 2*len(s.open) >= s.inherited {
		return
	}
	select {
	case <-s.isOver:
		return
	default:
	}
	close(s.isOver)
	s.stopsAt.Store(min(s.stopsAt.Load(), int64(now+onSlowestClock(confirmationTTL))))
	t.engine.InheritUntil(t.formerStopsAt())
	signal(t.wakeCommit)
	t.log.Info("former owner fenced by a majority", zap.Duration("took", now-t.startedAt), zap.Int("workers", s.inherited-len(s.open)), zap.Int("inherited", s.inherited))
}

// formerStopsAt returns the steady time after which no earlier owner acts.
func (t *term) formerStopsAt() time.Duration {
	return time.Duration(t.succession.stopsAt.Load())
}

// mayChangeFleet reports whether the stored fleet may be changed at now.
func (t *term) mayChangeFleet(now time.Duration) bool {
	return t.formerStopsAt()-now <= onSlowestClock(confirmationTTL)
}
