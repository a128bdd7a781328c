package dispatch

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// A gang starts as a whole, so its suspects need workers without unproven runs at the moment at which all of its tasks
// have room. Beside small work that starts on all workers such a moment may never come. So once there is room for the
// whole gang, apart from unproven runs, the workers for its suspects are held. Other work waits for these, so the hold is
// short, and the next one comes after a pause.

const (
	// gangHold is how long workers are held for the suspects of a gang. Small work may not wait for longer than a second
	// for a gang that then does not start.
	gangHold = time.Second
	// gangHoldPause is the least time between two holds for a gang.
	gangHoldPause = time.Second
)

// gangHolds has the workers that are held for the suspects of a gang.
type gangHolds struct {
	nodes []*node
	// until is the steady time at which the last hold ends, and notBefore that from which another one may begin.
	until, notBefore time.Duration
}

// hasSuspects reports whether a task of the step has to be isolated.
func (s *stepRun) hasSuspects() bool {
	return slices.ContainsFunc(s.tasks, (*task).needsIsolation)
}

// startSuspectGang starts a gang with suspects, or holds workers for them. Such a gang does not wait for its rack. It
// reports false if the gang could not be placed for want of room.
func (e *Engine) startSuspectGang(now Moment, s *stepRun) bool {
	isPlaced := e.placeGang(now, s, nil)
	var wanted []*node
	hasRoom := isPlaced
	if !isPlaced {
		wanted, hasRoom = e.workersForSuspects(now, s)
	}
	s.holds.release(s.occ.job)
	if isPlaced || !hasRoom {
		return hasRoom
	}
	if now.Steady >= s.holds.notBefore {
		s.holds.until = now.Steady + gangHold
		s.holds.notBefore = s.holds.until + gangHoldPause
	}
	if now.Steady < s.holds.until {
		s.holds.nodes = wanted
		for _, n := range wanted {
			n.isolatedFor, n.heldUntil = s.occ.job, s.holds.until
		}
	}
	return true
}

// release ends the holds of a gang of a job.
func (h *gangHolds) release(j *job) {
	for _, n := range h.nodes {
		if n.isolatedFor == j {
			n.heldUntil = 0
		}
	}
	h.nodes = nil
}

// end returns the steady time at which a hold ends that lasts or begins at now.
func (h *gangHolds) end(now time.Duration) time.Duration {
	if now < h.until {
		return h.until
	}
	return now + gangHold
}

// workersForSuspects returns the workers on which the suspects of a gang could start once the runs there are proven. It
// reports false if there is no room for the whole gang then.
func (e *Engine) workersForSuspects(now Moment, s *stepRun) ([]*node, bool) {
	var out []*node
	placed, ok := e.tryGang(now, s, func(t *task) *node {
		n := e.chooseWorker(now, s, t)
		if !t.needsIsolation() {
			return n
		}
		if n == nil {
			n = e.nextIsolated(now, s, t)
		}
		if n != nil && !slices.Contains(out, n) {
			out = append(out, n)
		}
		return n
	})
	if ok {
		e.undoGang(s, placed)
	}
	return out, ok
}

// nextIsolated returns the worker that is the best one to hold for a suspect of a gang, or nil if there is none: it has
// room, it is not kept for another job, and its runs are proven before the hold ends.
func (e *Engine) nextIsolated(now Moment, s *stepRun, t *task) *node {
	var best *node
	compare := func(a, b *node) int {
		ownA, allA := e.crashesAt(now, a, s.occ.job.workflow.ID)
		ownB, allB := e.crashesAt(now, b, s.occ.job.workflow.ID)
		return cmp.Or(
			cmp.Compare(s.holds.rank(a), s.holds.rank(b)), cmp.Compare(ownA, ownB), cmp.Compare(allA, allB),
			cmp.Compare(a.provenAt(), b.provenAt()), cmp.Compare(a.usedShare(), b.usedShare()),
		)
	}
	for _, n := range e.sortedNodes {
		if holder := n.isolatedJob(now.Steady); (holder != nil && holder != s.occ.job) || (n.isolated > 0 && t.isolatedAlone()) {
			continue
		}
		if !e.hasRoom(now, n, s, t) || n.provenAt() >= s.holds.end(now.Steady) {
			continue
		}
		if _, ok := e.score(now.Steady, n, s); ok && (best == nil || compare(n, best) < 0) {
			best = n
		}
	}
	return best
}

// rank orders workers: those with other suspects of the gang come first, then those that are held.
func (h *gangHolds) rank(n *node) int {
	switch {
	case n.isolated > 0:
		return 0
	case slices.Contains(h.nodes, n):
		return 1
	default:
		return 2
	}
}

// provenAt returns the steady time from which a report can prove all runs on the worker, isolated ones aside.
func (n *node) provenAt() time.Duration {
	at := time.Duration(0)
	for _, a := range n.attempts {
		if !a.isProven && !a.isIsolated {
			at = max(at, a.startedAt+a.task.requiredAge())
		}
	}
	return at
}

// AwaitsProof reports whether a worker is held until its runs are proven, so that its next report is urgent.
func (e *Engine) AwaitsProof(now time.Duration, id heatherhub.WorkerID) bool {
	n := e.nodes[id]
	return n != nil && now < n.heldUntil && n.unproven > n.isolated
}
