package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Two loads are answered here: workers that fail all that they start, and runs
// that stand still. A worker is told from a job that can never be done by
// failures of different jobs in a row.

// health is what a worker's ends say of it.
type health struct {
	// failedJobs are the jobs that failed since the last success.
	failedJobs      map[heatherhub.JobID]struct{}
	quarantineUntil time.Duration
}

func (h *health) succeeded() {
	clear(h.failedJobs)
}

// failed takes in a failure. It reports whether the worker is left alone from now on.
func (h *health) failed(now time.Duration, id heatherhub.JobID) bool {
	if h.failedJobs == nil {
		h.failedJobs = make(map[heatherhub.JobID]struct{})
	}
	h.failedJobs[id] = struct{}{}
	if len(h.failedJobs) < quarantineAfter {
		return false
	}
	h.quarantineUntil = now + quarantine
	clear(h.failedJobs)
	return true
}

// Thresholds of the quarantine.
const (
	// quarantineAfter is how many different jobs fail in a row on a worker that
	// is left alone; one task in thirty fails by itself.
	quarantineAfter = 3
	// quarantine is how long a worker is left alone.
	quarantine = 5 * time.Second
)

func (h *health) isQuarantined(now time.Duration) bool {
	return h.quarantineUntil > now
}

// watchProgress stops runs that stand still, so that they start elsewhere.
func (e *Engine) watchProgress(now Moment) {
	for _, n := range e.order {
		if n.isSilent {
			continue
		}
		for _, a := range n.attempts {
			if a.state != running || a.stop != noStop || a.task.isDone {
				continue
			}
			if !e.isStalled(now, a) {
				continue
			}
			a.stop = stopWanted
			e.noteTask(EventStalled, a, "no progress")
			n.restUntil = now.Steady + e.cfg.RefusalRest
			a.task.avoid = n.worker.ID
		}
	}
}

func (e *Engine) isStalled(now Moment, a *attempt) bool {
	if a.pace < fullPace || a.task.step.spec.Gang {
		return false
	}
	still := now.Steady - a.progressAt
	if a.task.step.spec.LongRunning {
		return a.progress < fullPace && still > 2*e.cfg.StallAfter
	}
	return still > max(e.cfg.StallAfter, e.expected(a.task.step)/2)
}
