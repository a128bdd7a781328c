package placement

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// waitTargetFactor is the wait target of a batch task in typical run times.
	waitTargetFactor = 4
	minWaitTarget    = 30 * time.Second
	// dueMargin is the slack before a task's due time, in addition to twice its
	// long run time.
	dueMargin = time.Minute
	// entitledHoldDelay is how long a task of a team below its entitlement waits
	// before nodes are held for it.
	entitledHoldDelay = 20 * time.Second
	// nodesPerHold limits holds for batch tasks to one in this many nodes.
	nodesPerHold = 8
)

// virtualDeadline returns the time by which waiting tasks are ordered and after
// which they are overdue. It is earlier for short run times, high priorities and
// early due times. It is fixed when the task is queued, so no task can be overtaken
// indefinitely.
func (c *Colocator) virtualDeadline(t *heatherhub.Task) time.Time {
	typical, long := c.runTimes(t)
	waitTarget := min(max(waitTargetFactor*typical, minWaitTarget), c.cfg.MaxWaitTarget)
	if !c.enabled(MechanismRunTimes) {
		waitTarget = c.cfg.MaxWaitTarget
	}
	p := min(max(t.Priority, 0), heatherhub.PriorityUrgent)
	waitTarget -= waitTarget / 2 * time.Duration(p) / time.Duration(heatherhub.PriorityUrgent)
	due := t.Queued.Add(waitTarget)
	if t.Due.IsZero() {
		return due
	}
	if latest := t.Due.Add(-2*long - dueMargin); latest.Before(due) {
		return latest
	}
	return due
}

// finishesByDueIfEvicted reports whether a task that is evicted now can still run
// again and finish before its due time.
func (c *Colocator) finishesByDueIfEvicted(now time.Time, e *entry) bool {
	if e.task.Due.IsZero() {
		return true
	}
	_, long := c.runTimes(&e.task)
	return now.Add(2*long + dueMargin).Before(e.task.Due)
}

// holdForStarved prevents starvation by smaller tasks. It holds nodes for the first
// waiting unit of each team if that is overdue, or if it has waited for
// entitledHoldDelay while the team is below its entitlement.
func (c *Colocator) holdForStarved(now time.Time) {
	if !c.enabled(MechanismAgeing) {
		return
	}
	for _, t := range c.teamOrder {
		if t.queue.waiting == 0 {
			continue
		}
		u := t.queue.first(includeBlocked)
		isBelowEntitlement := c.dominantShareOf(t) < 1
		isEntitled := isBelowEntitlement && now.Sub(u.entries[0].task.Queued) > entitledHoldDelay
		switch {
		case len(u.held) > 0 && isBelowEntitlement:
			c.reclaimHeldNode(now, u)
		case len(u.held) == 0 && (isEntitled || u.due.Before(now)):
			c.holdUntilDrained(now, u)
		}
	}
}

// batchHolds returns the number of nodes that are held for batch tasks.
func (c *Colocator) batchHolds() int {
	held := 0
	for _, n := range c.nodeOrder {
		if n.hold != nil && n.hold.shape.scope == scopeBatch {
			held++
		}
	}
	return held
}

// drainCandidate is a node on which a unit fits once its batch tasks have ended.
type drainCandidate struct {
	node *node
	// fits is the number of the unit's tasks that fit after the drain.
	fits int
	// free is what batch may reserve now; more of it means a shorter drain.
	free heatherhub.MilliCPU
}

// holdUntilDrained holds nodes on which a unit fits once their batch tasks have
// ended, those with the most free processors first. A gang may exceed the limit of
// nodesPerHold, but only while no other batch unit holds a node.
func (c *Colocator) holdUntilDrained(now time.Time, u *unit) {
	held := c.batchHolds()
	if held >= max(1, len(c.nodeOrder)/nodesPerHold) {
		return
	}
	candidates := c.drainCandidates(u)
	missing := len(u.entries)
	used := 0
	for used < len(candidates) && missing > 0 {
		missing -= candidates[used].fits
		used++
	}
	if missing > 0 || held > 0 && held+used > max(1, len(c.nodeOrder)/nodesPerHold) {
		return
	}
	for _, o := range candidates[:used] {
		c.hold(o.node, u)
	}
	u.heldSince = now
	u.heldUntil = time.Time{}
	c.heldUnits = append(c.heldUnits, u)
}

func (c *Colocator) drainCandidates(u *unit) []drainCandidate {
	request := u.entries[0].task.Size
	var candidates []drainCandidate
	for _, n := range c.nodeOrder {
		if !n.open(scopeBatch) {
			continue
		}
		if k := countFits(request, n.freeAfterBatch()); k > 0 {
			candidates = append(candidates, drainCandidate{n, k, n.free(scopeBatch).CPU})
		}
	}
	slices.SortStableFunc(candidates, func(a, b drainCandidate) int { return cmp.Compare(b.free, a.free) })
	return candidates
}

// freeAfterBatch returns what batch can reserve once the batch tasks that run now
// have ended.
func (n *node) freeAfterBatch() heatherhub.Resources {
	nonBatch := n.all.reserved.Sub(n.batch.reserved)
	free := n.host.Capacity.Sub(nonBatch)
	limit := percentOf(n.host.Capacity, n.batchShare)
	free.CPU = min(free.CPU, limit.CPU)
	free.Memory = min(free.Memory, limit.Memory)
	return free
}
