package placement

import "time"

// preemptionHoldTimeout limits how long a node is held for a task after evictions were
// ordered for it.
const preemptionHoldTimeout = 15 * time.Second

// hold reserves a node for a waiting unit and replaces any previous hold. The held node
// is closed to other batch tasks and, if the unit has the full scope, to all tasks.
func (c *Colocator) hold(n *node, u *unit) {
	c.releaseHold(n)
	n.hold = u
	u.held = append(u.held, n)
	c.reindex(n)
}

func (c *Colocator) releaseHold(n *node) {
	u := n.hold
	if u == nil {
		return
	}
	n.hold = nil
	for i, o := range u.held {
		if o == n {
			u.held = append(u.held[:i], u.held[i+1:]...)
			break
		}
	}
	c.capacityVersion++
	c.reindex(n)
}

func (c *Colocator) releaseHolds(u *unit) {
	for len(u.held) > 0 {
		c.releaseHold(u.held[0])
	}
}

// startHeldUnits starts units on the nodes that are held for them. It releases holds
// that timed out and those on which the unit no longer fits.
func (c *Colocator) startHeldUnits(now time.Time) {
	units := c.heldUnits
	c.heldUnits = nil
	for _, u := range units {
		switch {
		case len(u.held) == 0:
		case !u.heldUntil.IsZero() && now.After(u.heldUntil), !u.fitsDrainedHolds():
			c.releaseHolds(u)
		case c.startUnit(now, u):
		default:
			c.heldUnits = append(c.heldUnits, u)
		}
	}
}

// fitsDrainedHolds reports whether the unit fits its held nodes once the batch tasks
// there have ended.
func (u *unit) fitsDrainedHolds() bool {
	if u.shape.scope == scopeFull {
		return true
	}
	missing := len(u.entries)
	for _, n := range u.held {
		missing -= countFits(u.entries[0].task.Size, n.freeAfterBatch())
	}
	return missing <= 0
}
