package placement

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// waitTargetFactor is how many run times a batch task may wait before it is
	// overdue.
	waitTargetFactor = 4
	minWaitTarget    = 30 * time.Second
	// dueMargin is the time that must be left before the end of a filing
	// window beyond twice the long run time.
	dueMargin = time.Minute
	// entitledHoldDelay is how long a task waits for a team below its entitlement
	// before a worker is kept for it.
	entitledHoldDelay = 20 * time.Second
	// nodesPerHold is the number of workers for each that may be kept.
	nodesPerHold = 8
)

// virtualDeadline orders waiting tasks. It comes earlier for short tasks, for
// higher priorities and for filing windows that end soon, and it never moves, so
// every task is the first one day.
func (c *Colocator) virtualDeadline(t *heatherhub.Task) time.Time {
	typical, long := c.runTimes(t)
	patience := min(max(waitTargetFactor*typical, minWaitTarget), c.cfg.MaxWaitTarget)
	if !c.enabled(MechanismRunTimes) {
		patience = c.cfg.MaxWaitTarget
	}
	p := min(max(t.Priority, 0), heatherhub.PriorityUrgent)
	patience -= patience / 2 * time.Duration(p) / time.Duration(heatherhub.PriorityUrgent)
	due := t.Queued.Add(patience)
	if t.Due.IsZero() {
		return due
	}
	if latest := t.Due.Add(-2*long - dueMargin); latest.Before(due) {
		return latest
	}
	return due
}

// finishesByDueIfEvicted reports whether a task evicted now would still finish in its
// filing window.
func (c *Colocator) finishesByDueIfEvicted(now time.Time, e *entry) bool {
	if e.task.Due.IsZero() {
		return true
	}
	_, long := c.runTimes(&e.task)
	return now.Add(2*long + dueMargin).Before(e.task.Due)
}

// holdForStarved keeps workers for tasks that smaller ones overtake: the first
// task of each team that is overdue, or that waits while its team is below its
// entitlement. Their room comes as the batch tasks there end.
func (c *Colocator) holdForStarved(now time.Time) {
	if !c.enabled(MechanismAgeing) {
		return
	}
	for _, t := range c.teamOrder {
		if t.queue.waiting == 0 {
			continue
		}
		u := t.queue.first(includeBlocked)
		isBelow := c.dominantShareOf(t) < 1
		isEntitled := isBelow && now.Sub(u.entries[0].task.Queued) > entitledHoldDelay
		switch {
		case len(u.held) > 0 && isBelow:
			c.reclaimHeldNode(now, u)
		case len(u.held) == 0 && (isEntitled || u.due.Before(now)):
			c.holdUntilDrained(now, u)
		}
	}
}

// batchHolds counts the nodes that are kept for batch tasks.
func (c *Colocator) batchHolds() int {
	kept := 0
	for _, n := range c.nodeOrder {
		if n.hold != nil && n.hold.shape.scope == scopeBatch {
			kept++
		}
	}
	return kept
}

// drainCandidate is a node that may be kept, and how soon it has room.
type drainCandidate struct {
	node *node
	fits int
	free heatherhub.MilliCPU
}

// holdUntilDrained keeps the workers on which a unit fits once their batch tasks
// have ended, those with most room first. A gang may need more than the others
// leave; it then gets them when no other task holds any.
func (c *Colocator) holdUntilDrained(now time.Time, u *unit) {
	kept := c.batchHolds()
	if kept >= max(1, len(c.nodeOrder)/nodesPerHold) {
		return
	}
	options := c.drainCandidates(u)
	missing := len(u.entries)
	used := 0
	for used < len(options) && missing > 0 {
		missing -= options[used].fits
		used++
	}
	if missing > 0 || kept > 0 && kept+used > max(1, len(c.nodeOrder)/nodesPerHold) {
		return
	}
	for _, o := range options[:used] {
		c.hold(o.node, u)
	}
	u.heldSince = now
	u.heldUntil = time.Time{}
	c.heldUnits = append(c.heldUnits, u)
}

func (c *Colocator) drainCandidates(u *unit) []drainCandidate {
	need := u.entries[0].task.Size
	var options []drainCandidate
	for _, n := range c.nodeOrder {
		if !n.open(scopeBatch) {
			continue
		}
		if k := countFits(need, n.freeAfterBatch()); k > 0 {
			options = append(options, drainCandidate{n, k, n.free(scopeBatch).CPU})
		}
	}
	slices.SortStableFunc(options, func(a, b drainCandidate) int { return cmp.Compare(b.free, a.free) })
	return options
}

// freeAfterBatch is what batch may reserve once the present batch tasks have ended.
func (n *node) freeAfterBatch() heatherhub.Resources {
	others := n.all.reserved.Sub(n.batch.reserved)
	free := n.host.Capacity.Sub(others)
	limit := percentOf(n.host.Capacity, n.batchShare)
	free.CPU = min(free.CPU, limit.CPU)
	free.Memory = min(free.Memory, limit.Memory)
	return free
}
