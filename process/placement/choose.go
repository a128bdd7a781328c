package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// bestFitCandidates and worstFitCandidates are the numbers of nodes with the
	// least and the most free resources that are compared for one start.
	bestFitCandidates  = 4
	worstFitCandidates = 4
)

// selectNode returns the best node for a task of a unit, or nil if none fits. Held
// nodes come first. Services, urgent tasks and overdue batch tasks may fall back to
// nodes with accelerators.
func (c *Colocator) selectNode(now time.Time, u *unit, e *entry) *node {
	request := c.requiredFor(now, u, e)
	for _, n := range u.held {
		if n.live() && e.task.Size.Fits(n.declaredFree(u.shape.scope)) {
			return n
		}
	}
	if e.isService() && c.enabled(MechanismSpread) {
		if n := c.selectSpread(u, e, request); n != nil {
			return n
		}
	}
	var best *node
	if e.isPreemptible() && c.enabled(MechanismAvoidance) {
		best = c.selectLeastInterference(now, u, e)
	} else {
		best = c.selectBestFit(now, u, e)
	}
	mayUseAccelerators := !e.isPreemptible() || u.due.Before(now)
	if best == nil && mayUseAccelerators && request.Accelerators == 0 {
		best = c.selectAcceleratorNode(u, request)
	}
	return best
}

// requiredFor returns the free resources that a node needs for a task: its planned
// size, or its declared size for urgent tasks and overdue services. An overdue batch
// task gets a held node, where its declared size suffices. A learned size can
// therefore delay a task but never keep it from starting.
func (c *Colocator) requiredFor(now time.Time, u *unit, e *entry) heatherhub.Resources {
	if e.isUrgent() || u.shape.scope == scopeFull && u.due.Before(now) {
		return e.task.Size
	}
	return c.plannedSize(&e.task)
}

// selectAcceleratorNode returns an accelerator node for a task without accelerators
// that fits nowhere else, or nil.
func (c *Colocator) selectAcceleratorNode(u *unit, request heatherhub.Resources) *node {
	var best *node
	c.index.findAcceleratorNodes(u.shape.scope, request, func(n *node) bool {
		best = n
		return false
	})
	return best
}

// selectBestFit returns the fitting node with the least free resources, or nil.
// Until the task is overdue, nodes on which its job failed are skipped.
func (c *Colocator) selectBestFit(now time.Time, u *unit, e *entry) *node {
	isOverdue := u.due.Before(now)
	var best *node
	c.index.findBestFit(u.shape.scope, c.requiredFor(now, u, e), func(n *node) bool {
		if !isOverdue && c.avoidsNode(e, n) {
			return true
		}
		best = n
		return false
	})
	return best
}

// selectLeastInterference returns the node on which the task is expected to slow
// services least, or nil. It compares a few best-fit nodes and, unless one of them has no
// cost, a few worst-fit nodes.
func (c *Colocator) selectLeastInterference(now time.Time, u *unit, e *entry) *node {
	request := c.requiredFor(now, u, e)
	isOverdue := u.due.Before(now)
	var best *node
	var lowest float64
	consider := func(n *node) bool {
		if !isOverdue && (c.avoidsNode(e, n) || n.rejectsClass(now, e.task.Class)) {
			return false
		}
		cost := c.addedInterference(n, &e.task, request)
		if best == nil || cost < lowest {
			best, lowest = n, cost
		}
		return true
	}
	c.index.findBestFit(u.shape.scope, request, visitAtMost(bestFitCandidates, consider))
	if best == nil || lowest > 0 {
		c.index.findWorstFit(u.shape.scope, request, visitAtMost(worstFitCandidates, consider))
	}
	return best
}

// visitAtMost returns a visitor that stops after n accepted nodes.
func visitAtMost(n int, accept func(*node) bool) func(*node) bool {
	return func(o *node) bool {
		if accept(o) {
			n--
		}
		return n > 0
	}
}
