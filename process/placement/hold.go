package placement

import "time"

// preemptionHoldTimeout bounds how long a worker is kept for a task that others make room for.
const preemptionHoldTimeout = 15 * time.Second

// hold keeps a node for a unit, instead of the one it was kept for before.
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

// startHeldUnits starts units on the workers that are kept for them, and gives back
// workers whose room did not come in time or cannot come any more.
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

// fitsDrainedHolds reports whether the kept workers hold the unit once they have drained.
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
