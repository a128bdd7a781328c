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
	// stopReportTime is what the order and the poll add to the time of a stop until its end is
	// reported.
	stopReportTime = 300 * time.Millisecond
	// drainReportTime is the time that the end of a run takes to be reported.
	drainReportTime = 100 * time.Millisecond
	// drainMoveTime is how long before the last moment long-running tasks move as soon as they
	// have room elsewhere. Earlier they keep the room that a draining worker cannot use
	// otherwise.
	drainMoveTime = 2 * time.Second
)

// WorkerDrains records that a worker has announced that it leaves, at leavesAt at the earliest.
// It is ignored for unknown workers.
func (e *Engine) WorkerDrains(id heatherhub.WorkerID, leavesAt time.Duration) {
	if n := e.nodes[id]; n != nil {
		n.isLeaving, n.leavesAt = true, leavesAt
	}
}

// vacateDraining requests a stop of the runs on draining workers that would not end before
// their worker leaves: once room is reserved for the task elsewhere, and in time for the stop
// to be reported at the latest.
func (e *Engine) vacateDraining(now Moment) {
	for _, n := range e.sortedNodes {
		if !n.isLeaving || n.isUnresponsive {
			continue
		}
		for _, a := range n.attemptsByRun() {
			if a.state == running && a.stop == noStop && !e.endsBefore(now.Steady, a, n.leavesAt-drainReportTime) {
				e.vacate(now, a)
			}
		}
	}
}

// vacate requests a stop of a run on a draining worker, if it is time for it.
func (e *Engine) vacate(now Moment, a *attempt) {
	step, last := a.task.step, a.node.leavesAt-e.drainStopTime()
	if step.spec.LongRunning && now.Steady < last-drainMoveTime {
		return
	}
	if to := e.chooseWorker(now, step, a.task); to != nil && !step.spec.Gang {
		a.moveTo, to.promised = to, to.promised.Add(step.need)
	} else if now.Steady < last {
		return
	}
	a.stop = stopPending
	e.recordTaskEvent(EventRunVacated, a, "worker drains")
}

// drainStopTime returns the longest time that a stop takes until its end is reported.
func (e *Engine) drainStopTime() time.Duration {
	return e.cfg.StopTime + stopReportTime
}

// move is a task whose former run is over, and the worker that had room reserved for it.
type move struct {
	task *task
	to   *node
}

// startMoved starts the tasks of runs that were stopped on draining workers where room was
// reserved for them, unless that worker no longer accepts them.
func (e *Engine) startMoved(now Moment) {
	moved := e.moved
	e.moved = nil
	for _, m := range moved {
		t := m.task
		if e.nodes[m.to.worker.ID] != m.to || !t.isPending || t.step.blockers > 0 || t.step.occ.job.isOver() || e.isAtStartLimit() {
			continue
		}
		if t.needsIsolation() || !e.isStartable(now.Steady, t) || !e.isEligible(now, m.to, t.step, t) {
			continue
		}
		e.nextRun++
		e.start(now, t, m.to, e.nextRun)
		e.recordStarts(now, t.step, 1, m.to.worker.ID)
	}
}

// endsBefore reports whether a run is expected to end by itself before limit.
func (e *Engine) endsBefore(now time.Duration, a *attempt, limit time.Duration) bool {
	if !a.endsByItself() {
		return false
	}
	left := a.timeLeft(float64(e.expectedDuration(a.task.step)))
	if v := a.node.speed; v.count >= slowMinSamples {
		left /= max(v.value, minMeasuredSpeed)
	}
	return max(a.progressAt+time.Duration(left), now) <= limit
}
