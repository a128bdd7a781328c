package placement

import (
	"fmt"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// job is the scheduler's record of one job.
type job struct {
	id heatherhub.JobID
	// gang is the unit of the waiting tasks of a gang, or nil.
	gang    *unit
	waiting map[heatherhub.TaskID]*entry
	// running counts the tasks with a reservation.
	running int
	// finished counts the finished tasks. gangSize is the number of tasks in a gang
	// of which one has ended.
	finished, gangSize int
	// failedOn holds the workers on which tasks of the job failed since the last
	// success.
	failedOn []heatherhub.WorkerID
	failures int
	failedAt time.Time
	// parked means that the job failed on several workers and its tasks are parked
	// instead of started.
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

// forgetJob deletes the record of a job without tasks, unless it holds failures or a
// partly finished gang.
func (c *Colocator) forgetJob(j *job) {
	isIdle := len(j.waiting) == 0 && j.running == 0
	isRetained := len(j.failedOn) > 0 || j.parked || j.isPartlyFinished()
	if c.jobs[j.id] == j && isIdle && !isRetained {
		delete(c.jobs, j.id)
	}
}

// isPartlyFinished reports whether some but not all tasks of a gang have finished, so
// that the others can start without them.
func (j *job) isPartlyFinished() bool {
	return j.finished > 0 && j.finished < j.gangSize
}

// recordJobTime keeps the record of a job for failureRetention from now.
func (c *Colocator) recordJobTime(now time.Time, j *job) {
	if j.failedAt.IsZero() {
		c.failedJobs = append(c.failedJobs, j)
	}
	j.failedAt = now
}

// recordJobFailure records a failure and schedules the job for parking if it has failed
// on parkWorkers workers, or on all if there are fewer.
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

// parkJobs parks the waiting tasks of jobs in jobsToPark.
func (c *Colocator) parkJobs() {
	for _, j := range c.jobsToPark {
		reason := fmt.Sprintf("tasks of the job failed on %d workers that run other jobs: "+
			"check the output of the tasks, fix the job and add it again", len(j.failedOn))
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

// forgetFailures resets the records of jobs whose last failure is older than
// failureRetention.
func (c *Colocator) forgetFailures(now time.Time) {
	remaining := c.failedJobs[:0]
	for _, j := range c.failedJobs {
		if now.Sub(j.failedAt) < failureRetention {
			remaining = append(remaining, j)
			continue
		}
		j.failures, j.failedOn, j.parked, j.failedAt = 0, nil, false, time.Time{}
		j.gangSize = 0
		c.forgetJob(j)
	}
	c.failedJobs = remaining
}

// avoidsNode reports whether a task's job failed on a node and there are others on
// which it has not.
func (c *Colocator) avoidsNode(e *entry, n *node) bool {
	j := c.jobs[e.task.Job]
	if j == nil || len(j.failedOn) == 0 || len(j.failedOn) >= len(c.nodes) {
		return false
	}
	return slices.Contains(j.failedOn, n.id)
}

// shapeKey returns the key of the shape of a waiting task.
func (c *Colocator) shapeKey(t *heatherhub.Task) shapeKey {
	k := shapeKey{workload: t.Workload, size: t.Size, gang: t.Gang}
	if j := c.jobs[t.Job]; j != nil && len(j.failedOn) > 0 {
		k.job = t.Job
	}
	return k
}
