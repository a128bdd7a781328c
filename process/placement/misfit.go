package placement

import (
	"fmt"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// canEverFit reports whether the known workers, empty and under the most
// generous declared preset, could hold the task or its whole gang.
func (c *Colocator) canEverFit(t *heatherhub.Task) bool {
	room := 0
	for capacity, workers := range c.workersByCapacity {
		room += workers * countFits(t.Size, c.scopeCapacity(t, capacity))
		if room >= max(t.Gang, 1) {
			return true
		}
	}
	return false
}

func (c *Colocator) scopeCapacity(t *heatherhub.Task, capacity heatherhub.Resources) heatherhub.Resources {
	if scopeOf(t) == scopeFull {
		return capacity
	}
	r := percentOf(capacity, c.maxBatchShare())
	r.Accelerators = capacity.Accelerators
	return r
}

// countFits returns how many tasks of a size an empty worker holds.
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

// lateGraceFactor is the grace of a task that a worker could hold when it was queued.
const lateGraceFactor = 10

// withdrawUnschedulable takes shapes that no worker could hold any more out of their
// queues, for example after the last large worker left.
func (c *Colocator) withdrawUnschedulable(now time.Time) {
	if len(c.nodes) == 0 {
		return
	}
	lines := []*queue{c.services, c.urgent}
	for _, t := range c.teamOrder {
		lines = append(lines, t.queue)
	}
	for _, l := range lines {
		for _, s := range slices.Clone(l.ordered) {
			if t := &s.head().entries[0].task; !c.canEverFit(t) {
				c.withdrawShape(now, s)
			}
		}
	}
}

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

// retryUnschedulable queues the misfits that a new worker or preset could hold.
func (c *Colocator) retryUnschedulable() {
	waiting := c.unschedulable
	c.unschedulable = nil
	for _, e := range waiting {
		c.enqueueEntry(e)
	}
}

// parkUnschedulable parks tasks that fit no worker even when it is empty. It waits
// for the list of workers, which lags.
func (c *Colocator) parkUnschedulable(now time.Time) {
	if len(c.unschedulable) == 0 || len(c.nodes) == 0 {
		return
	}
	kept := c.unschedulable[:0]
	for _, e := range c.unschedulable {
		if now.Before(e.parkAt) {
			kept = append(kept, e)
			continue
		}
		c.park(e, c.unschedulableReason(&e.task))
	}
	c.unschedulable = kept
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
	return fmt.Sprintf("%s of %s fits no worker even when all are empty (largest amounts for it: %s): "+
		"declare a smaller size, raise batchShare in a preset, or add larger workers, then add the job again",
		what, t.Size, largest)
}

func (c *Colocator) park(e *entry, reason string) {
	delete(c.entries, e.task.ID)
	if j := c.jobs[e.task.Job]; j != nil {
		delete(j.waiting, e.task.ID)
		c.forgetJob(j)
	}
	c.emit(Action{Kind: ActionPark, Task: e.task, Reason: reason})
}
