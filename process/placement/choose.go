package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// bestFitCandidates and worstFitCandidates are the numbers of workers with the
	// least and with the most room that are compared for one start.
	bestFitCandidates  = 4
	worstFitCandidates = 4
)

// selectNode returns the best worker for a task of a unit, or nil.
func (c *Colocator) selectNode(now time.Time, u *unit, e *entry) *node {
	need := c.requiredFor(now, u, e)
	for _, n := range u.held {
		if n.live() && e.task.Size.Fits(n.declaredFree(u.shape.scope)) {
			return n
		}
	}
	if e.isService() && c.enabled(MechanismSpread) {
		if n := c.selectSpread(u, e, need); n != nil {
			return n
		}
	}
	var best *node
	if e.isPreemptible() && c.enabled(MechanismAvoidance) {
		best = c.selectLeastInterference(now, u, e)
	} else {
		best = c.selectBestFit(now, u, e)
	}
	mayUseAny := !e.isPreemptible() || u.due.Before(now)
	if best == nil && mayUseAny && need.Accelerators == 0 {
		best = c.selectAcceleratorNode(u, need)
	}
	return best
}

// requiredFor is the room that a task looks for: its planned size, or the declared size
// of an overdue service or urgent task. An overdue batch task gets a worker that
// is kept for it and there needs its declared size only, so a learnt figure never
// keeps a task from starting.
func (c *Colocator) requiredFor(now time.Time, u *unit, e *entry) heatherhub.Resources {
	if e.isUrgent() || u.shape.scope == scopeFull && u.due.Before(now) {
		return e.task.Size
	}
	return c.plannedSize(&e.task)
}

// selectAcceleratorNode returns an accelerator worker for work that needs none and finds
// no other room.
func (c *Colocator) selectAcceleratorNode(u *unit, need heatherhub.Resources) *node {
	var best *node
	c.index.findAcceleratorNodes(u.shape.scope, need, func(n *node) bool {
		best = n
		return false
	})
	return best
}

// selectBestFit returns the worker with the least room that holds the task.
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

// selectLeastInterference compares some workers with little room and some with much by how much
// the task would slow the services there.
func (c *Colocator) selectLeastInterference(now time.Time, u *unit, e *entry) *node {
	need := c.requiredFor(now, u, e)
	isOverdue := u.due.Before(now)
	var best *node
	var least float64
	compare := func(n *node) bool {
		if !isOverdue && (c.avoidsNode(e, n) || n.rejectsClass(now, e.task.Class)) {
			return false
		}
		cost := c.addedInterference(n, &e.task, need)
		if best == nil || cost < least {
			best, least = n, cost
		}
		return true
	}
	c.index.findBestFit(u.shape.scope, need, visitAtMost(bestFitCandidates, compare))
	if best == nil || least > 0 {
		c.index.findWorstFit(u.shape.scope, need, visitAtMost(worstFitCandidates, compare))
	}
	return best
}

// visitAtMost makes a visit that ends after n accepted nodes.
func visitAtMost(n int, accept func(*node) bool) func(*node) bool {
	return func(o *node) bool {
		if accept(o) {
			n--
		}
		return n > 0
	}
}
