package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

// oldestStartInterval is the distance of starts that go to the oldest batch task whatever
// its team holds.
const oldestStartInterval = 4

// retryInterval is the time between two tries of a shape that found no room.
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

// retryBlocked lets blocked shapes try again now and then, since a task may find
// room by growing overdue or by a worker growing calm.
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

// startQueue starts the units of one line in their order.
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

// startTeams starts batch units: most of them by the teams' entitlements, some
// by age alone.
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

// startUnit reserves every task of a unit, or none.
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

// rollBack takes back the reservations of a unit that was tried.
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
	c.emit(Action{Kind: ActionStart, Task: e.task, Worker: n.id, Reason: "room"})
}

// leavesBatchFloor reports whether services may take more without using the part of
// the shard that is kept for batch.
func (c *Colocator) leavesBatchFloor(size heatherhub.Resources) bool {
	limit := percentOf(c.capacity, fullShare-c.batchFloor())
	want := c.servicesReserved.Add(size)
	return want.CPU <= limit.CPU && want.Memory <= limit.Memory
}
