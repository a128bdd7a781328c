package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// The decision handles bursts of steps that name the rack of their data, or whose tasks belong
// together in one rack, while that rack is full and others have room. A task takes several times
// as long elsewhere, so it is often done earlier if it waits for a place there. It waits only if
// such a place is expected before the time that it would lose elsewhere has passed. The decision is
// made anew whenever tasks are placed, and nothing is reserved for a task that waits.

// LocationWait is the question whether a task that could start elsewhere waits for a place at
// its preferred location. All points in time are steady times.
type LocationWait struct {
	Now time.Duration
	// Since is the time at which the wait began, or may have begun under an earlier owner; Now
	// if it has not begun.
	Since time.Duration
	// Limit is the time at which the wait ends at the latest. Zero means no limit.
	Limit time.Duration
	// RunTime is the expected run time of the task at the preferred location, and Slowdown the
	// factor by which it is longer elsewhere.
	RunTime  time.Duration
	Slowdown float64
	// Rest is the expected time from the end of the task to that of its job.
	Rest time.Duration
	// Free is the expected time until a place is free. Spread is its error.
	Free, Spread time.Duration
	// Objective and ValueUntil are the times by which the job has to end for full value and
	// for any value.
	Objective, ValueUntil time.Duration
}

// maxLoss keeps sums of times within the range of time.Duration.
const maxLoss = 1000 * time.Hour

// Loss returns how much longer the task takes elsewhere.
func (q *LocationWait) Loss() time.Duration {
	return lossOf(q.RunTime, q.Slowdown)
}

// lossOf returns how much longer a task of the given run time takes with a slowdown.
func lossOf(runTime time.Duration, slowdown float64) time.Duration {
	return time.Duration(min(max(slowdown-1, 0)*float64(runTime), float64(maxLoss)))
}

// breakEven returns the time by which a place has to be free for a wait to pay. It is the time at
// which the wait has cost what it could save, or a later one up to which the job can still have a
// value at the preferred location that it can no longer have elsewhere.
func (q *LocationWait) breakEven() time.Duration {
	loss, left := q.Loss(), q.RunTime+q.Rest
	until := q.Since + loss
	for _, end := range []time.Duration{q.Objective, q.ValueUntil} {
		if q.Now+left <= end && q.Now+left+loss > end {
			until = max(until, end-left)
		}
	}
	return until
}

// Deadline returns the time at which the wait ends if no place was found: what pays by the
// estimate, and its error.
func (q *LocationWait) Deadline() time.Duration {
	deadline := q.breakEven() + q.Spread
	if q.Limit > 0 {
		deadline = min(deadline, q.Limit)
	}
	return deadline
}

// Pays reports whether the task waits: a place is expected to be free in time. If it is free later
// than expected by up to Spread, the job ends at most that much later than if the task starts
// elsewhere now.
func (q *LocationWait) Pays() bool {
	if q.Loss() == 0 || q.Now+q.Free > q.breakEven() {
		return false
	}
	return q.Limit == 0 || q.Now+q.Free+q.Spread <= q.Limit
}

// valueLost returns the share of the job's value that is lost if the task starts elsewhere now
// instead of at the preferred location.
func (q *LocationWait) valueLost() float64 {
	end := q.Now + q.RunTime + q.Rest
	return q.valueAt(end) - q.valueAt(end+q.Loss())
}

// lateValue is the share of its value that a late job has.
const lateValue = 1.0 / 7

func (q *LocationWait) valueAt(end time.Duration) float64 {
	switch {
	case end <= q.Objective:
		return 1
	case end <= q.ValueUntil:
		return lateValue
	default:
		return 0
	}
}

// LocationLoss returns how much longer a job takes if the steps whose data is in a rack run
// elsewhere: the difference of its longest chains.
func LocationLoss(w *heatherhub.Workflow, rack heatherhub.Rack, slowdown float64) time.Duration {
	var near, away time.Duration
	nearEnds, awayEnds := make([]time.Duration, len(w.Steps)), make([]time.Duration, len(w.Steps))
	for i := range w.Steps {
		s := &w.Steps[i]
		for _, k := range s.After {
			nearEnds[i], awayEnds[i] = max(nearEnds[i], nearEnds[k]), max(awayEnds[i], awayEnds[k])
		}
		nearEnds[i] += s.Estimate
		awayEnds[i] += s.Estimate
		if s.DataRack == rack {
			awayEnds[i] += lossOf(s.Estimate, slowdown)
		}
		near, away = max(near, nearEnds[i]), max(away, awayEnds[i])
	}
	return away - near
}
