package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// When a worker that drains leaves, its runs end without a report. A task may start elsewhere
// only once the end of its run is known, and the lease of a worker that no longer answers
// takes seconds to expire. Runs that would not end in time are therefore stopped while the
// worker can still report it.

const (
	// drainStopTime is the time that a stop takes until its end is reported: up to 0.9 s at
	// the worker, the order and the poll.
	drainStopTime = 1200 * time.Millisecond
	// drainReportTime is the time that the end of a run takes to be reported.
	drainReportTime = 100 * time.Millisecond
)

// WorkerDrains records that a worker has announced that it leaves, at leavesAt at the earliest.
// It is ignored for unknown workers.
func (e *Engine) WorkerDrains(id heatherhub.WorkerID, leavesAt time.Duration) {
	if n := e.nodes[id]; n != nil {
		n.isLeaving, n.leavesAt = true, leavesAt
	}
}

// vacateDraining requests a stop of the runs on draining workers that would not end before
// their worker leaves: as soon as the task has room elsewhere, and in time for the stop to be
// reported at the latest.
func (e *Engine) vacateDraining(now Moment) {
	for _, n := range e.sortedNodes {
		if !n.isLeaving || n.isUnresponsive {
			continue
		}
		isDue := now.Steady >= n.leavesAt-drainStopTime
		for _, a := range n.attemptsByRun() {
			if a.state != running || a.stop != noStop || e.endsBefore(now.Steady, a, n.leavesAt-drainReportTime) {
				continue
			}
			if isDue || e.chooseWorker(now, a.task.step, a.task) != nil {
				a.stop = stopPending
				e.recordTaskEvent(EventRunVacated, a, "worker drains")
			}
		}
	}
}

// endsBefore reports whether a run is expected to end by itself before limit.
func (e *Engine) endsBefore(now time.Duration, a *attempt, limit time.Duration) bool {
	step := a.task.step
	if step.spec.LongRunning || a.speedLimit < fullSpeed {
		return false
	}
	left := float64(e.expectedDuration(step)) * (1 - float64(a.progress)/100)
	if v := a.node.speed; v.count >= slowMinSamples {
		left /= max(v.value, minMeasuredSpeed)
	}
	return max(a.progressAt+time.Duration(left), now) <= limit
}
