package placement

import (
	"fmt"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// canEverFit reports whether the task, or its whole gang, would fit the known workers if
// they were empty and the declared preset with the largest batch share were in force.
func (c *Colocator) canEverFit(t *heatherhub.Task) bool {
	fits := 0
	for capacity, workers := range c.workersByCapacity {
		fits += workers * countFits(t.Size, c.scopeCapacity(t, capacity))
		if fits >= max(t.Gang, 1) {
			return true
		}
	}
	return false
}

// scopeCapacity returns the part of a worker's capacity that a task may use under the
// declared preset with the largest batch share.
func (c *Colocator) scopeCapacity(t *heatherhub.Task, capacity heatherhub.Resources) heatherhub.Resources {
	if scopeOf(t) == scopeFull {
		return capacity
	}
	r := percentOf(capacity, c.maxBatchShare())
	r.Accelerators = capacity.Accelerators
	return r
}

// countFits returns how many tasks of a size fit a capacity.
func countFits(size, capacity heatherhub.Resources) int {
	n := int64(heatherhub.MaxTasksPerJob)
	if size.CPU > 0 {
		n = min(n, int64(capacity.CPU/size.CPU))
	}
	if size.Memory > 0 {
		n = min(n, int64(capacity.Memory/size.Memory))
	}
	if size.Accelerators > 0 {
		n = min(n, int64(capacity.Accelerators/size.Accelerators))
	}
	return int(n)
}

// lateGraceFactor is the grace period, in park graces, of a task that fit a worker when
// it was queued.
const lateGraceFactor = 10

// withdrawUnschedulable removes the shapes that no longer fit any worker from their
// queues, for example after the last large worker left.
func (c *Colocator) withdrawUnschedulable(now time.Time) {
	if len(c.nodes) == 0 {
		return
	}
	queues := []*queue{c.services, c.urgent}
	for _, t := range c.teamOrder {
		queues = append(queues, t.queue)
	}
	for _, q := range queues {
		for _, s := range slices.Clone(q.ordered) {
			if t := &s.head().entries[0].task; !c.canEverFit(t) {
				c.withdrawShape(now, s)
			}
		}
	}
}

// withdrawShape makes all waiting tasks of a shape unschedulable.
func (c *Colocator) withdrawShape(now time.Time, s *shape) {
	for _, u := range s.units.Items() {
		for _, e := range slices.Clone(u.entries) {
			c.leaveQueue(e)
			if j := c.jobs[e.task.Job]; j != nil {
				j.waiting[e.task.ID] = e
			}
			e.state = stateUnschedulable
			e.parkAt = now.Add(lateGraceFactor * c.cfg.ParkGrace)
			c.unschedulable = append(c.unschedulable, e)
		}
	}
}

// retryUnschedulable queues the unschedulable tasks that fit after a change of the
// workers or of the configuration.
func (c *Colocator) retryUnschedulable() {
	waiting := c.unschedulable
	c.unschedulable = nil
	for _, e := range waiting {
		c.enqueueEntry(e)
	}
}

// parkUnschedulable parks the unschedulable tasks whose grace period has ended. The
// grace period allows for a list of workers that is not yet complete.
func (c *Colocator) parkUnschedulable(now time.Time) {
	if len(c.unschedulable) == 0 || len(c.nodes) == 0 {
		return
	}
	remaining := c.unschedulable[:0]
	for _, e := range c.unschedulable {
		if now.Before(e.parkAt) {
			remaining = append(remaining, e)
			continue
		}
		c.park(e, c.unschedulableReason(&e.task))
	}
	c.unschedulable = remaining
}

func (c *Colocator) unschedulableReason(t *heatherhub.Task) string {
	largest := heatherhub.Resources{}
	for capacity := range c.workersByCapacity {
		largest = maxResources(largest, c.scopeCapacity(t, capacity))
	}
	what := "the task"
	if t.Gang > 1 {
		what = fmt.Sprintf("a gang of %d tasks", t.Gang)
	}
	return fmt.Sprintf("%s of %s fits no worker, even if all are empty (largest amounts for it on a worker: %s): "+
		"declare a smaller size, raise batchShare in a preset or add larger workers, then add the job again",
		what, t.Size, largest)
}

// park removes a task that has left its queue and emits its ActionPark.
func (c *Colocator) park(e *entry, reason string) {
	delete(c.entries, e.task.ID)
	if j := c.jobs[e.task.Job]; j != nil {
		delete(j.waiting, e.task.ID)
		c.forgetJob(j)
	}
	c.emit(Action{Kind: ActionPark, Task: e.task, Reason: reason})
}
