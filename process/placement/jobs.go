package placement

import (
	"fmt"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// job is what the scheduler knows of the tasks of one job.
type job struct {
	id heatherhub.JobID
	// gang is the waiting unit of a gang, or nil.
	gang    *unit
	waiting map[heatherhub.TaskID]*entry
	running int
	// finished counts the finished tasks, gangSize the tasks of a gang.
	finished, gangSize int
	// failedOn lists the workers on which tasks of the job failed since the
	// last success.
	failedOn []heatherhub.WorkerID
	failures int
	failedAt time.Time
	// parked says that the job failed on several workers.
	parked bool
}

func (c *Colocator) jobOf(t *heatherhub.Task) *job {
	if t.Job == "" {
		return nil
	}
	j, ok := c.jobs[t.Job]
	if !ok {
		j = &job{id: t.Job, waiting: make(map[heatherhub.TaskID]*entry)}
		c.jobs[t.Job] = j
	}
	return j
}

// forgetJob drops a job without tasks, unless a failure has to be remembered.
func (c *Colocator) forgetJob(j *job) {
	isOver := len(j.waiting) == 0 && j.running == 0
	isRemembered := len(j.failedOn) > 0 || j.parked || j.isPartlyFinished()
	if c.jobs[j.id] == j && isOver && !isRemembered {
		delete(c.jobs, j.id)
	}
}

// isPartlyFinished reports whether a part of a gang has finished, so that the rest has to
// start without it.
func (j *job) isPartlyFinished() bool {
	return j.finished > 0 && j.finished < j.gangSize
}

// recordJobTime keeps the record of a job for a while.
func (c *Colocator) recordJobTime(now time.Time, j *job) {
	if j.failedAt.IsZero() {
		c.failedJobs = append(c.failedJobs, j)
	}
	j.failedAt = now
}

// recordJobFailure parks a job that failed on several workers that do other work.
func (c *Colocator) recordJobFailure(now time.Time, n *node, e *entry) {
	j := c.jobs[e.task.Job]
	if j == nil {
		return
	}
	c.recordJobTime(now, j)
	j.failures++
	if !slices.Contains(j.failedOn, n.id) {
		j.failedOn = append(j.failedOn, n.id)
	}
	if !j.parked && j.failures >= parkWorkers && len(j.failedOn) >= min(parkWorkers, len(c.nodes)) {
		j.parked = true
		c.jobsToPark = append(c.jobsToPark, j)
	}
}

// parkJobs takes the waiting tasks of parked jobs out of their queues.
func (c *Colocator) parkJobs() {
	for _, j := range c.jobsToPark {
		reason := fmt.Sprintf("tasks of the job failed on %d workers where other work runs: "+
			"read the task's output, mend the job and add it again", len(j.failedOn))
		waiting := make([]*entry, 0, len(j.waiting))
		for _, e := range j.waiting {
			waiting = append(waiting, e)
		}
		slices.SortFunc(waiting, func(a, b *entry) int { return a.task.Index - b.task.Index })
		for _, e := range waiting {
			c.leaveQueue(e)
			c.park(e, reason)
		}
		if j.running == 0 && len(waiting) > 0 {
			j.failures, j.failedOn, j.parked = 0, nil, false
			c.forgetJob(j)
		}
	}
	c.jobsToPark = c.jobsToPark[:0]
}

// forgetFailures drops the records of old failures.
func (c *Colocator) forgetFailures(now time.Time) {
	kept := c.failedJobs[:0]
	for _, j := range c.failedJobs {
		if now.Sub(j.failedAt) < failureRetention {
			kept = append(kept, j)
			continue
		}
		j.failures, j.failedOn, j.parked, j.failedAt = 0, nil, false, time.Time{}
		j.gangSize = 0
		c.forgetJob(j)
	}
	c.failedJobs = kept
}

// avoidsNode reports whether a task should not run again on a worker where its job
// failed.
func (c *Colocator) avoidsNode(e *entry, n *node) bool {
	j := c.jobs[e.task.Job]
	if j == nil || len(j.failedOn) == 0 || len(j.failedOn) >= len(c.nodes) {
		return false
	}
	return slices.Contains(j.failedOn, n.id)
}

// shapeKey returns the key of the shape that a waiting task belongs to.
func (c *Colocator) shapeKey(t *heatherhub.Task) shapeKey {
	k := shapeKey{workload: t.Workload, size: t.Size, gang: t.Gang}
	if j := c.jobs[t.Job]; j != nil && len(j.failedOn) > 0 {
		k.job = t.Job
	}
	return k
}
