package placement

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Enqueue implements Scheduler.
func (c *Colocator) Enqueue(now time.Time, t heatherhub.Task) {
	if _, ok := c.entries[t.ID]; ok {
		return
	}
	if t.Queued.IsZero() {
		t.Queued = now
	}
	e := &entry{task: t, parkAt: now.Add(c.cfg.ParkGrace)}
	c.entries[t.ID] = e
	if j := c.jobOf(&t); j != nil {
		j.waiting[t.ID] = e
		if j.parked && !slices.Contains(c.jobsToPark, j) {
			c.jobsToPark = append(c.jobsToPark, j)
		}
	}
	c.enqueueEntry(e)
}

// enqueueEntry adds an entry to its queue, to its gang or to the unschedulable tasks.
func (c *Colocator) enqueueEntry(e *entry) {
	if !c.canEverFit(&e.task) {
		e.state = stateUnschedulable
		c.unschedulable = append(c.unschedulable, e)
		return
	}
	e.state = stateWaiting
	if e.task.Gang > 1 && e.task.Job != "" {
		c.joinGang(e)
		return
	}
	s := c.queueOf(&e.task).shape(c.shapeKey(&e.task), &e.task)
	u := &unit{shape: s, entries: []*entry{e}, id: e.task.ID, ready: true}
	u.due = c.virtualDeadline(&e.task)
	if e.isService() {
		u.priority = c.servicePriority(e.task.Workload)
	}
	e.unit = u
	s.queue.insert(u)
}

// joinGang adds an entry to the unit of its job's gang.
func (c *Colocator) joinGang(e *entry) {
	j := c.jobs[e.task.Job]
	if j.gang == nil {
		j.gang = &unit{id: e.task.ID, due: c.virtualDeadline(&e.task)}
	}
	u := j.gang
	u.entries = append(u.entries, e)
	e.unit = u
	c.enqueueGangIfComplete(j)
}

// enqueueGangIfComplete queues a gang once all of its tasks that are neither running nor
// finished are waiting.
func (c *Colocator) enqueueGangIfComplete(j *job) {
	u := j.gang
	if u == nil || u.ready || len(u.entries) == 0 {
		return
	}
	if len(u.entries)+j.running+j.finished < u.entries[0].task.Gang {
		return
	}
	u.ready = true
	t := &u.entries[0].task
	u.shape = c.queueOf(t).shape(c.shapeKey(t), t)
	u.shape.queue.insert(u)
}

func (c *Colocator) queueOf(t *heatherhub.Task) *queue {
	switch {
	case t.Kind == heatherhub.KindService:
		return c.services
	case t.Priority >= heatherhub.PriorityUrgent:
		return c.urgent
	default:
		return c.teamOf(t.Team).queue
	}
}

// Dequeue implements Scheduler.
func (c *Colocator) Dequeue(_ time.Time, id heatherhub.TaskID) bool {
	e, ok := c.entries[id]
	if !ok || e.state > stateWaiting {
		return false
	}
	c.leaveQueue(e)
	delete(c.entries, id)
	delete(c.evictionCounts, id)
	if j, ok := c.jobs[e.task.Job]; ok {
		c.forgetJob(j)
	}
	return true
}

// leaveQueue removes a waiting entry from its queue or from the unschedulable tasks. A
// gang that is no longer complete leaves the queue too.
func (c *Colocator) leaveQueue(e *entry) {
	j := c.jobs[e.task.Job]
	if j != nil {
		delete(j.waiting, e.task.ID)
	}
	if e.state == stateUnschedulable {
		c.unschedulable = removeEntry(c.unschedulable, e)
		return
	}
	u := e.unit
	if u == nil {
		return
	}
	e.unit = nil
	u.remove(e)
	isIncomplete := len(u.entries) > 0 && len(u.entries)+placedTasks(j) < e.task.Gang
	if len(u.entries) > 0 && !isIncomplete {
		return
	}
	if u.ready {
		u.shape.queue.remove(u)
		u.ready = false
	}
	c.releaseHolds(u)
	if j != nil && len(u.entries) == 0 && j.gang == u {
		j.gang = nil
	}
}

// placedTasks returns the number of tasks of a job that run or have finished.
func placedTasks(j *job) int {
	if j == nil {
		return 0
	}
	return j.running + j.finished
}

func removeEntry(list []*entry, e *entry) []*entry {
	for i, o := range list {
		if o == e {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// Started implements Scheduler.
func (c *Colocator) Started(now time.Time, t heatherhub.Task, id heatherhub.WorkerID) {
	n, ok := c.nodes[id]
	if !ok {
		return
	}
	e, ok := c.entries[t.ID]
	switch {
	case !ok:
		e = &entry{task: t}
		c.entries[t.ID] = e
		c.jobOf(&t)
	case e.node != nil:
		c.evictable.Delete(e)
		e.started, e.checkpointed = now, now
		c.addEvictable(e)
		c.toThrottle = append(c.toThrottle, e)
		return
	default:
		c.leaveQueue(e)
	}
	c.reserve(now, e, n)
}

// reserve reserves the declared size of a task on a node and updates all totals.
func (c *Colocator) reserve(now time.Time, e *entry, n *node) {
	e.state = stateReserved
	e.started, e.checkpointed = now, now
	e.throttle = fullShare
	e.maxCPUShare = c.cpuShareLimit(n, &e.task)
	e.planned = c.plannedSize(&e.task)
	n.add(e)
	if j := c.jobOf(&e.task); j != nil {
		j.running++
	}
	if e.isService() {
		c.servicesReserved = c.servicesReserved.Add(e.task.Size)
		c.spreadOf(e.task.Workload).adjust(n.rack, 1)
		delete(c.movingReplicas, e.task.Workload)
	} else {
		t := c.teamOf(e.task.Team)
		t.used = t.used.Add(e.task.Size)
	}
	c.addEvictable(e)
	c.reindex(n)
}

// addEvictable adds a running task to evictable if it may be chosen for preemption. Tasks
// of gangs may not.
func (c *Colocator) addEvictable(e *entry) {
	if e.isPreemptible() && e.state == stateReserved && e.task.Gang <= 1 {
		c.evictable.Set(e)
	}
}

// Ended implements Scheduler.
func (c *Colocator) Ended(now time.Time, id heatherhub.TaskID, why EndReason) {
	e, ok := c.entries[id]
	if !ok || e.node == nil {
		return
	}
	n := e.node
	c.evictable.Delete(e)
	n.drop(e)
	delete(c.entries, id)
	if e.isService() {
		c.servicesReserved = c.servicesReserved.Sub(e.task.Size)
		c.spreadOf(e.task.Workload).adjust(n.rack, -1)
	} else {
		t := c.teamOf(e.task.Team)
		t.used = t.used.Sub(e.task.Size)
	}
	if j := c.jobs[e.task.Job]; j != nil {
		j.running--
		if why == EndFinished {
			j.finished++
		}
		if e.task.Gang > 1 {
			j.gangSize = max(j.gangSize, e.task.Gang)
			c.recordJobTime(now, j)
		}
		c.enqueueGangIfComplete(j)
	}
	c.recordEnd(now, n, e, why)
	if why == EndFinished {
		c.profileOf(e.task.Workload).observeRun(now.Sub(e.started))
	}
	if why == EndFinished || why == EndStopped {
		delete(c.evictionCounts, id)
	}
	if j := c.jobs[e.task.Job]; j != nil {
		c.forgetJob(j)
	}
	c.capacityVersion++
	c.reindex(n)
}
