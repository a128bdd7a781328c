package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// maxEvictionCandidates is the number of tasks that are compared for one eviction.
	maxEvictionCandidates = 64
	// maxEvictionsPerTask is how often one task is evicted for others' sake.
	maxEvictionsPerTask = 3
	// reclaimDelay is how long a worker that is kept for an entitled team may
	// take to drain by itself.
	reclaimDelay = 2 * time.Minute
	// evictionTimeout is when a task that was told to leave is stopped without a
	// checkpoint.
	evictionTimeout = 30 * time.Second
)

// canEvict reports whether a task may give way.
func (c *Colocator) canEvict(now time.Time, e *entry) bool {
	return e.state == stateReserved && e.isPreemptible() && c.evictionCounts[e.task.ID] < maxEvictionsPerTask && c.finishesByDueIfEvicted(now, e)
}

// evict tells a task to leave. It stays reserved until it has ended.
func (c *Colocator) evict(now time.Time, e *entry, reason string) {
	e.state = stateStopping
	e.leavingSince = now
	c.evictable.Delete(e)
	c.evicting = append(c.evicting, e)
	c.evictionBudget.record(now)
	c.evictionCounts[e.task.ID]++
	c.emit(Action{Kind: ActionEvict, Task: e.task, Worker: e.node.id, Reason: reason})
}

// stopTimedOutEvictions stops tasks that were told to leave and did not.
func (c *Colocator) stopTimedOutEvictions(now time.Time) {
	kept := c.evicting[:0]
	for _, e := range c.evicting {
		if e.node == nil {
			continue
		}
		if now.Sub(e.leavingSince) < evictionTimeout {
			kept = append(kept, e)
			continue
		}
		c.emit(Action{Kind: ActionStop, Task: e.task, Worker: e.node.id, Reason: "did not leave after its eviction"})
	}
	c.evicting = kept
}

// victimSet is a set of tasks whose eviction makes room on one node.
type victimSet struct {
	node     *node
	tasks    []*entry
	lostWork time.Duration
}

// preemptForUnit evicts the tasks that cost least for one task of a unit, and keeps
// their worker for it. It reports whether room will come.
func (c *Colocator) preemptForUnit(now time.Time, u *unit) bool {
	if len(u.held) > 0 {
		return true
	}
	left := c.evictionBudget.remaining(now, c.evictionLimit(), true)
	if left <= 0 {
		return false
	}
	best, ok := c.cheapestVictimSet(now, u, left)
	if !ok {
		return false
	}
	for _, e := range best.tasks {
		c.evict(now, e, "makes room for "+string(u.id))
	}
	c.hold(best.node, u)
	u.heldUntil = now.Add(preemptionHoldTimeout)
	c.heldUnits = append(c.heldUnits, u)
	return true
}

// cheapestVictimSet compares the workers of the tasks that lose least.
func (c *Colocator) cheapestVictimSet(now time.Time, u *unit, limit int) (best victimSet, ok bool) {
	need := c.requiredFor(now, u, u.entries[0])
	seen := 0
	c.evictable.Scan(func(e *entry) bool {
		seen++
		n := e.node
		if n.open(u.shape.scope) && c.canEvict(now, e) {
			s, fits := c.victimSetOn(now, n, u.shape.scope, need)
			if fits && len(s.tasks) <= limit && (!ok || s.lostWork < best.lostWork) {
				best, ok = s, true
			}
		}
		return seen < maxEvictionCandidates
	})
	return best, ok
}

// victimSetOn chooses the tasks of one node, the cheapest first, until need fits.
func (c *Colocator) victimSetOn(now time.Time, n *node, l capacityScope, need heatherhub.Resources) (victimSet, bool) {
	s := victimSet{node: n}
	free := n.available(l, need)
	taken := make(map[*entry]bool)
	for !need.Fits(free) {
		e := c.cheapestVictim(now, n, taken, anyTask)
		if e == nil {
			return s, false
		}
		taken[e] = true
		s.tasks = append(s.tasks, e)
		s.lostWork += e.lostWork(now)
		free = free.Add(e.task.Size)
	}
	return s, true
}

func anyTask(*entry) bool {
	return true
}

// cheapestVictim returns the allowed task of a node that loses least, or nil.
func (c *Colocator) cheapestVictim(now time.Time, n *node, taken map[*entry]bool, allowed func(*entry) bool) *entry {
	var best *entry
	for _, e := range n.tasks {
		if taken[e] || !c.canEvict(now, e) || !allowed(e) {
			continue
		}
		if best == nil || e.lostWork(now) < best.lostWork(now) {
			best = e
		}
	}
	return best
}

// preemptForShape makes room for the first waiting replica of a shape, or for all its
// urgent tasks, each on another worker, until no more can be had.
func (c *Colocator) preemptForShape(now time.Time, s *shape) {
	if !c.enabled(MechanismPreemption) {
		return
	}
	s.units.Scan(func(u *unit) bool { return c.preemptForUnit(now, u) && s.kind == heatherhub.KindBatch })
}

// reclaimHeldNode evicts a task of a team above its entitlement from a worker that is
// kept for a team below its own and has not drained in time.
func (c *Colocator) reclaimHeldNode(now time.Time, u *unit) {
	isLate := !u.heldSince.IsZero() && now.Sub(u.heldSince) > reclaimDelay
	if !c.enabled(MechanismReclaim) || !isLate || c.evictionBudget.remaining(now, c.evictionLimit(), false) <= 0 {
		return
	}
	for _, n := range u.held {
		e := c.cheapestVictim(now, n, nil, func(e *entry) bool { return c.dominantShareOf(c.teamOf(e.task.Team)) > 1 })
		if e != nil {
			c.evict(now, e, "gives borrowed room back to "+string(u.id))
			return
		}
	}
}
