package placement

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// quarantineJobs is the number of different jobs that must fail on a worker
	// without a success in between before it is quarantined.
	quarantineJobs = 3
	// parkWorkers is the number of different workers on which a job must fail
	// without a success in between before it is parked.
	parkWorkers = 3
	// maxQuarantinedShare limits the share of quarantined workers. If more of them
	// fail, the cause is probably not the workers.
	maxQuarantinedShare = heatherhub.Percent(20)
	minQuarantine       = 30 * time.Second
	maxQuarantine       = 15 * time.Minute
	// probationTime is how long a worker gets one task at a time after quarantine.
	probationTime = 5 * time.Minute
	minPause      = 2 * time.Second
	maxPause      = 30 * time.Second
	// failureRetention is how long the failures of a job are kept after the last.
	failureRetention = 10 * time.Minute
)

// health is the failure record of one worker.
type health struct {
	// failedJobs holds the different jobs that failed since the last success.
	failedJobs []heatherhub.JobID
	// until is the end of the current pause, quarantine or probation.
	until time.Time
	// suspended means that no tasks start because of a pause or quarantine.
	suspended   bool
	quarantined bool
	// onProbation admits one task at a time after quarantine.
	onProbation bool
	// quarantine and pause are the last durations, which double each time.
	quarantine time.Duration
	pause      time.Duration
}

// admits reports whether another task may start beside the given number of tasks.
func (h *health) admits(tasks int) bool {
	return !h.suspended && (!h.onProbation || tasks == 0)
}

func (h *health) recordFailure(id heatherhub.JobID) {
	if id != "" && !slices.Contains(h.failedJobs, id) && len(h.failedJobs) < quarantineJobs {
		h.failedJobs = append(h.failedJobs, id)
	}
}

// recordEnd updates the failure records of a node and a job when a task ends.
func (c *Colocator) recordEnd(now time.Time, n *node, e *entry, why EndReason) {
	switch why {
	case EndFinished:
		c.recordSuccess(n, e)
	case EndFailed:
		n.health.recordFailure(e.task.Job)
		c.recordJobFailure(now, n, e)
		c.quarantineIfSuspect(now, n)
	case EndNotStarted:
		n.health.recordFailure(e.task.Job)
		c.pauseNode(now, n)
		c.quarantineIfSuspect(now, n)
	case EndNotSent:
		c.pauseNode(now, n)
	}
}

// recordSuccess clears the failure record of a node, and that of the job unless it is
// about to be parked.
func (c *Colocator) recordSuccess(n *node, e *entry) {
	n.health = health{}
	if j := c.jobs[e.task.Job]; j != nil && !j.parked {
		j.failedOn = nil
	}
}

// pauseNode suspends a node on which a start was held back or did not take effect. The pause doubles
// with each such start.
func (c *Colocator) pauseNode(now time.Time, n *node) {
	h := &n.health
	h.pause = min(max(2*h.pause, minPause), maxPause)
	c.suspendNode(n, now.Add(h.pause))
}

// suspendNode stops starts on a node, at least until the given time.
func (c *Colocator) suspendNode(n *node, until time.Time) {
	h := &n.health
	if !h.suspended || until.After(h.until) {
		h.until = until
	}
	h.suspended = true
	if !slices.Contains(c.suspendedNodes, n) {
		c.suspendedNodes = append(c.suspendedNodes, n)
	}
	c.reindex(n)
}

// quarantineIfSuspect quarantines a node on which quarantineJobs different jobs failed,
// or any job during probation, unless too many nodes are quarantined already.
func (c *Colocator) quarantineIfSuspect(now time.Time, n *node) {
	h := &n.health
	isSuspect := len(h.failedJobs) >= quarantineJobs || h.onProbation && len(h.failedJobs) > 0
	if !isSuspect || !c.enabled(MechanismQuarantine) {
		return
	}
	limit := max(1, len(c.nodes)*int(maxQuarantinedShare)/100)
	if !h.quarantined && c.quarantinedCount() >= limit {
		return
	}
	h.quarantine = min(max(2*h.quarantine, minQuarantine), maxQuarantine)
	h.quarantined = true
	h.onProbation = false
	c.suspendNode(n, now.Add(h.quarantine))
	c.clearJobFailures(n)
}

// clearJobFailures removes a quarantined node from the failure records of its jobs,
// since the failures there say nothing about them.
func (c *Colocator) clearJobFailures(n *node) {
	for _, id := range n.health.failedJobs {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		if i := slices.Index(j.failedOn, n.id); i >= 0 {
			j.failedOn = slices.Delete(j.failedOn, i, i+1)
		}
	}
	n.health.failedJobs = nil
}

func (c *Colocator) quarantinedCount() int {
	count := 0
	for _, n := range c.suspendedNodes {
		if n.health.quarantined {
			count++
		}
	}
	return count
}

// resumeSuspended reopens nodes whose pause or probation has ended and moves nodes from
// quarantine to probation.
func (c *Colocator) resumeSuspended(now time.Time) {
	remaining := c.suspendedNodes[:0]
	for _, n := range c.suspendedNodes {
		switch h := &n.health; {
		case c.nodes[n.id] != n || !h.suspended && !h.onProbation:
		case now.Before(h.until):
			remaining = append(remaining, n)
		case h.quarantined:
			*h = health{onProbation: true, until: now.Add(probationTime), quarantine: h.quarantine}
			remaining = append(remaining, n)
			c.reindexGrown(n)
		default:
			h.suspended, h.onProbation = false, false
			c.reindexGrown(n)
		}
	}
	c.suspendedNodes = remaining
}

// reindexGrown reindexes a node that admits more tasks and unblocks all shapes.
func (c *Colocator) reindexGrown(n *node) {
	c.capacityVersion++
	c.reindex(n)
}

// Quarantined reports whether a worker gets no tasks because different jobs failed on
// it.
func (c *Colocator) Quarantined(id heatherhub.WorkerID) bool {
	n, ok := c.nodes[id]
	return ok && n.health.quarantined
}
