package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

// oldestStartInterval gives every fourth batch start to the task with the earliest
// virtual deadline, if that is overdue, regardless of its team's share.
const oldestStartInterval = 4

// retryInterval is the time after which blocked shapes are tried again even if no
// node has more free resources.
const retryInterval = time.Second

// Decide implements Scheduler.
func (c *Colocator) Decide(now time.Time) []Action {
	c.actions = nil
	c.starts = 0
	c.retryBlocked(now)
	c.resumeSuspended(now)
	c.forgetFailures(now)
	c.parkJobs()
	c.parkUnschedulable(now)
	c.startHeldUnits(now)
	c.stopTimedOutEvictions(now)
	c.throttleStarted()
	c.mitigateReported(now)
	c.shed(now)
	c.startQueue(now, c.services)
	c.startQueue(now, c.urgent)
	c.startTeams(now)
	return c.actions
}

// retryBlocked unblocks all shapes once per retryInterval, since a task may also
// become placeable by becoming overdue or when interference on a node decreases.
func (c *Colocator) retryBlocked(now time.Time) {
	if now.Sub(c.lastRetry) < retryInterval {
		return
	}
	c.lastRetry = now
	c.withdrawUnschedulable(now)
	c.holdForStarved(now)
	c.capacityVersion++
}

func (c *Colocator) emit(a Action) {
	c.actions = append(c.actions, a)
}

// startQueue starts the units of a queue in their order and preempts for those that
// do not fit.
func (c *Colocator) startQueue(now time.Time, l *queue) {
	for l.waiting > 0 && c.starts < c.cfg.MaxStarts {
		u := l.first(c.capacityVersion)
		if u == nil {
			return
		}
		if c.startUnit(now, u) {
			continue
		}
		u.shape.blockedVersion = c.capacityVersion
		if u.shape.kind == heatherhub.KindBatch || c.leavesBatchFloor(u.entries[0].task.Size) {
			c.preemptForShape(now, u.shape)
		}
	}
}

// startTeams starts batch units, most of them in the order of the teams' dominant
// shares and some by virtual deadline alone.
func (c *Colocator) startTeams(now time.Time) {
	for n := 1; c.starts < c.cfg.MaxStarts; n++ {
		u := c.nextBatch(now, n)
		if u == nil {
			return
		}
		if c.startUnit(now, u) {
			continue
		}
		u.shape.blockedVersion = c.capacityVersion
	}
}

func (c *Colocator) nextBatch(now time.Time, n int) *unit {
	if n%oldestStartInterval == 0 && c.enabled(MechanismAgeing) {
		if u := c.nextByDeadline(); u != nil && u.due.Before(now) {
			return u
		}
	}
	return c.nextByShare()
}

// startUnit starts all tasks of a unit, or none if one does not fit. It reports
// whether it started them.
func (c *Colocator) startUnit(now time.Time, u *unit) bool {
	if u.shape.kind == heatherhub.KindService && !c.leavesBatchFloor(u.entries[0].task.Size) {
		return false
	}
	chosen := make([]*node, 0, len(u.entries))
	tasks := append([]*entry(nil), u.entries...)
	for _, e := range tasks {
		n := c.selectNode(now, u, e)
		if n == nil {
			c.rollBack(tasks, chosen)
			return false
		}
		e.planned = c.requiredFor(now, u, e)
		n.add(e)
		c.reindex(n)
		chosen = append(chosen, n)
	}
	c.rollBack(tasks, chosen)
	for i, e := range tasks {
		c.start(now, e, chosen[i])
	}
	return true
}

// rollBack removes the tentative reservations of a unit's tasks on the chosen nodes.
func (c *Colocator) rollBack(tasks []*entry, chosen []*node) {
	for i, n := range chosen {
		n.drop(tasks[i])
		c.reindex(n)
	}
}

func (c *Colocator) start(now time.Time, e *entry, n *node) {
	c.leaveQueue(e)
	c.reserve(now, e, n)
	c.starts++
	c.emit(Action{Kind: ActionStart, Task: e.task, Worker: n.id, Reason: "enough free resources"})
}

// leavesBatchFloor reports whether services can reserve size more without using the
// part of the shard's capacity that the preset guarantees to batch.
func (c *Colocator) leavesBatchFloor(size heatherhub.Resources) bool {
	limit := percentOf(c.capacity, fullShare-c.batchFloor())
	reserved := c.servicesReserved.Add(size)
	return reserved.CPU <= limit.CPU && reserved.Memory <= limit.Memory
}
