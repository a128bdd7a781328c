package placement

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// quarantineJobs is the number of different jobs that must fail on a worker,
	// with no success between, before it is quarantined.
	quarantineJobs = 3
	// parkWorkers is the number of different workers on which a job must
	// fail, with no success between, before it is parked.
	parkWorkers = 3
	// maxQuarantinedShare is the largest share of quarantined workers. When more
	// seem bad, the cause is elsewhere.
	maxQuarantinedShare = heatherhub.Percent(20)
	minQuarantine       = 30 * time.Second
	maxQuarantine       = 15 * time.Minute
	// probationTime is how long a worker gets one task at a time after a quarantine.
	probationTime = 5 * time.Minute
	minPause      = 2 * time.Second
	maxPause      = 30 * time.Second
	// failureRetention is how long a failure of a job without tasks is remembered.
	failureRetention = 10 * time.Minute
)

// health is the record of failures on one worker.
type health struct {
	// failedJobs lists the different failedJobs that failed since the last success.
	failedJobs []heatherhub.JobID
	// until is the end of the quarantine or pause that is under way.
	until       time.Time
	suspended   bool
	quarantined bool
	// onProbation admits one task at a time after a quarantine.
	onProbation bool
	quarantine  time.Duration
	pause       time.Duration
}

func (h *health) admits(tasks int) bool {
	return !h.suspended && (!h.onProbation || tasks == 0)
}

func (h *health) recordFailure(id heatherhub.JobID) {
	if id != "" && !slices.Contains(h.failedJobs, id) && len(h.failedJobs) < quarantineJobs {
		h.failedJobs = append(h.failedJobs, id)
	}
}

// recordEnd learns from the end of a task on a node.
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
	}
}

func (c *Colocator) recordSuccess(n *node, e *entry) {
	n.health = health{}
	if j := c.jobs[e.task.Job]; j != nil && !j.parked {
		j.failedOn = nil
	}
}

// pauseNode keeps new work off a worker that could not be reached for a moment.
func (c *Colocator) pauseNode(now time.Time, n *node) {
	h := &n.health
	h.pause = min(max(2*h.pause, minPause), maxPause)
	c.suspendNode(n, now.Add(h.pause))
}

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

// quarantineIfSuspect keeps work off a worker on which several different jobs
// failed and none succeeded.
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

// clearJobFailures takes back the failures of jobs on a worker that proved bad itself.
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

// resumeSuspended admits work again on workers whose pause or quarantine has ended, after
// a quarantine one task at a time for a while.
func (c *Colocator) resumeSuspended(now time.Time) {
	kept := c.suspendedNodes[:0]
	for _, n := range c.suspendedNodes {
		switch h := &n.health; {
		case c.nodes[n.id] != n || !h.suspended && !h.onProbation:
		case now.Before(h.until):
			kept = append(kept, n)
		case h.quarantined:
			*h = health{onProbation: true, until: now.Add(probationTime), quarantine: h.quarantine}
			kept = append(kept, n)
			c.reindexGrown(n)
		default:
			h.suspended, h.onProbation = false, false
			c.reindexGrown(n)
		}
	}
	c.suspendedNodes = kept
}

// reindexGrown files a node anew that takes more than before.
func (c *Colocator) reindexGrown(n *node) {
	c.capacityVersion++
	c.reindex(n)
}

// Quarantined reports whether a worker gets no work because work failed on it.
func (c *Colocator) Quarantined(id heatherhub.WorkerID) bool {
	n, ok := c.nodes[id]
	return ok && n.health.quarantined
}
