package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// maxEvictionCandidates limits the tasks that are considered for one preemption.
	maxEvictionCandidates = 64
	// maxEvictionsPerTask is the number of evictions after which a task is not evicted
	// for the sake of others any more. A drain evicts it nevertheless.
	maxEvictionsPerTask = 3
	// reclaimDelay is how long a node that is held for a team below its entitlement
	// may drain before tasks on it are evicted.
	reclaimDelay = 2 * time.Minute
	// evictionTimeout is how long an evicted task may take to checkpoint before it
	// is stopped without one.
	evictionTimeout = 30 * time.Second
)

// canEvict reports whether a task may be evicted now.
func (c *Colocator) canEvict(now time.Time, e *entry) bool {
	return e.state == stateReserved && e.isPreemptible() && c.evictionCounts[e.task.ID] < maxEvictionsPerTask && c.finishesByDueIfEvicted(now, e)
}

// evict orders the eviction of a task, which keeps its reservation until Ended.
func (c *Colocator) evict(now time.Time, e *entry, reason string) {
	e.state = stateStopping
	e.leavingSince = now
	c.evictable.Delete(e)
	c.evicting = append(c.evicting, e)
	c.evictionBudget.record(now)
	c.evictionCounts[e.task.ID]++
	c.emit(Action{Kind: ActionEvict, Task: e.task, Worker: e.node.id, Reason: reason})
}

// stopTimedOutEvictions stops tasks that have not ended evictionTimeout after their
// eviction.
func (c *Colocator) stopTimedOutEvictions(now time.Time) {
	pending := c.evicting[:0]
	for _, e := range c.evicting {
		if e.node == nil {
			continue
		}
		if now.Sub(e.leavingSince) < evictionTimeout {
			pending = append(pending, e)
			continue
		}
		c.emit(Action{Kind: ActionStop, Task: e.task, Worker: e.node.id, Reason: "did not end in time after its eviction"})
	}
	c.evicting = pending
}

// victimSet is a set of tasks on one node to evict for a preempting task.
type victimSet struct {
	node     *node
	tasks    []*entry
	lostWork time.Duration
}

// preemptForUnit evicts the tasks that lose least work to make one task of a unit fit,
// and holds their node for the unit. It reports whether a node is held.
func (c *Colocator) preemptForUnit(now time.Time, u *unit) bool {
	if len(u.held) > 0 {
		return true
	}
	budget := c.evictionBudget.remaining(now, c.evictionLimit(), true)
	if budget <= 0 {
		return false
	}
	best, ok := c.cheapestVictimSet(now, u, budget)
	if !ok {
		return false
	}
	for _, e := range best.tasks {
		c.evict(now, e, "preempted for "+string(u.id))
	}
	c.hold(best.node, u)
	u.heldUntil = now.Add(preemptionHoldTimeout)
	c.heldUnits = append(c.heldUnits, u)
	return true
}

// cheapestVictimSet returns the set with the least lost work among the nodes of the
// first maxEvictionCandidates evictable tasks, with at most limit victims.
func (c *Colocator) cheapestVictimSet(now time.Time, u *unit, limit int) (best victimSet, ok bool) {
	request := c.requiredFor(now, u, u.entries[0])
	candidates := 0
	c.evictable.Scan(func(e *entry) bool {
		candidates++
		n := e.node
		if n.open(u.shape.scope) && c.canEvict(now, e) {
			s, fits := c.victimSetOn(now, n, u.shape.scope, request)
			if fits && len(s.tasks) <= limit && (!ok || s.lostWork < best.lostWork) {
				best, ok = s, true
			}
		}
		return candidates < maxEvictionCandidates
	})
	return best, ok
}

// victimSetOn adds tasks of a node, those with the least lost work first, until
// request fits. It reports whether it fits.
func (c *Colocator) victimSetOn(now time.Time, n *node, scope capacityScope, request heatherhub.Resources) (victimSet, bool) {
	s := victimSet{node: n}
	free := n.available(scope, request)
	selected := make(map[*entry]bool)
	for !request.Fits(free) {
		e := c.cheapestVictim(now, n, selected, anyEntry)
		if e == nil {
			return s, false
		}
		selected[e] = true
		s.tasks = append(s.tasks, e)
		s.lostWork += e.lostWork(now)
		free = free.Add(e.task.Size)
	}
	return s, true
}

func anyEntry(*entry) bool {
	return true
}

// cheapestVictim returns the allowed and evictable task on a node that loses least
// work, skipping those in selected, or nil.
func (c *Colocator) cheapestVictim(now time.Time, n *node, selected map[*entry]bool, allowed func(*entry) bool) *entry {
	var best *entry
	for _, e := range n.tasks {
		if selected[e] || !c.canEvict(now, e) || !allowed(e) {
			continue
		}
		if best == nil || e.lostWork(now) < best.lostWork(now) {
			best = e
		}
	}
	return best
}

// preemptForShape preempts for the first waiting replica of a shape, or for each of its
// urgent tasks on separate nodes until one fails.
func (c *Colocator) preemptForShape(now time.Time, s *shape) {
	if !c.enabled(MechanismPreemption) {
		return
	}
	s.units.Scan(func(u *unit) bool { return c.preemptForUnit(now, u) && s.kind == heatherhub.KindBatch })
}

// reclaimHeldNode evicts one task of a team above its entitlement from a node that is
// held for a team below its own and has not drained within reclaimDelay.
func (c *Colocator) reclaimHeldNode(now time.Time, u *unit) {
	isLate := !u.heldSince.IsZero() && now.Sub(u.heldSince) > reclaimDelay
	if !c.enabled(MechanismReclaim) || !isLate || c.evictionBudget.remaining(now, c.evictionLimit(), false) <= 0 {
		return
	}
	for _, n := range u.held {
		e := c.cheapestVictim(now, n, nil, func(e *entry) bool { return c.dominantShareOf(c.teamOf(e.task.Team)) > 1 })
		if e != nil {
			c.evict(now, e, "its team is above its entitlement; the worker is held for "+string(u.id))
			return
		}
	}
}
