package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Three loads are answered here: workers that fail all that they start, workers that
// turn slow, and runs that stand still. A worker is told from a job that can never be done by
// failures of different jobs in a row.

// health is what a worker's ends say of it.
type health struct {
	// failedJobs are the jobs that failed since the last success.
	failedJobs      map[heatherhub.JobID]struct{}
	quarantineUntil time.Duration
}

func (h *health) recordSuccess() {
	clear(h.failedJobs)
}

// recordFailure takes in a failure. It reports whether the worker is left alone from now on.
func (h *health) recordFailure(now time.Duration, id heatherhub.JobID) bool {
	if h.failedJobs == nil {
		h.failedJobs = make(map[heatherhub.JobID]struct{})
	}
	h.failedJobs[id] = struct{}{}
	if len(h.failedJobs) < quarantineAfter {
		return false
	}
	h.quarantineUntil = now + quarantineTime
	clear(h.failedJobs)
	return true
}

// Thresholds of the quarantine.
const (
	// quarantineAfter is how many different jobs fail in a row on a worker that
	// is left alone; one task in thirty fails by itself.
	quarantineAfter = 3
	// quarantineTime is how long a worker is left alone.
	quarantineTime = 5 * time.Second
)

func (h *health) isQuarantined(now time.Duration) bool {
	return h.quarantineUntil > now
}

// speed is how fast the tasks of a worker advance, as a share of what their
// estimates say.
type speed struct {
	value     float64
	count     int
	updatedAt time.Duration
}

// Constants of the speed of a worker.
const (
	// speedWeight is the weight of a new figure.
	speedWeight = 0.3
	// speedInterval is the least time between two figures of one run; progress comes
	// in whole percent.
	speedInterval = 300 * time.Millisecond
	// slowShare is the share of the usual speed below which a worker is slow, and
	// slowMinSamples how many figures it takes.
	slowShare      = 0.35
	slowMinSamples = 4
	// speedMaxAge is how long figures count after the last one.
	speedMaxAge = 2500 * time.Millisecond
)

func (s *speed) add(now time.Duration, v float64) {
	if now-s.updatedAt > speedMaxAge {
		s.count = 0
	}
	s.count++
	s.value += (v - s.value) * max(speedWeight, 1/float64(s.count))
	s.updatedAt = now
}

// updateSpeed takes in the progress of one run.
func (e *Engine) updateSpeed(now Moment, n *node, a *attempt) {
	t := a.task.step
	if t.spec.LongRunning || t.spec.Gang || a.stop != noStop || a.speedLimit < fullSpeed {
		a.speedSampleAt = 0
		return
	}
	if a.speedSampleAt == 0 || now.Steady-a.speedSampleAt < speedInterval {
		if a.speedSampleAt == 0 {
			a.speedSampleAt, a.speedSampleProgress = now.Steady, a.progress
		}
		return
	}
	done := float64(a.progress-a.speedSampleProgress) / 100
	v := done * e.expectedDuration(t).Seconds() / (now.Steady - a.speedSampleAt).Seconds()
	a.speedSampleAt, a.speedSampleProgress = now.Steady, a.progress
	n.speed.add(now.Steady, v)
	e.meanSpeed.add(now.Steady, v)
}

// isSlow reports whether the tasks of a worker advance far slower than usual.
func (e *Engine) isSlow(now time.Duration, n *node) bool {
	return n.speed.count >= slowMinSamples && now-n.speed.updatedAt <= speedMaxAge && n.speed.value < slowShare*e.typicalSpeed()
}

// typicalSpeed returns the mean speed over all workers.
func (e *Engine) typicalSpeed() float64 {
	if e.meanSpeed.count < slowMinSamples {
		return 1
	}
	return min(e.meanSpeed.value, 1)
}

// isFasterElsewhere reports whether a run on a slow worker ends later than a new one
// on another worker would.
func (e *Engine) isFasterElsewhere(now time.Duration, a *attempt) bool {
	if a.task.step.spec.LongRunning || a.task.step.spec.Gang || a.speedLimit < fullSpeed || !e.isSlow(now, a.node) {
		return false
	}
	whole := e.expectedDuration(a.task.step).Seconds()
	left := whole * (1 - float64(a.progress)/100) / max(a.node.speed.value, 0.05)
	again := whole
	if a.task.step.spec.Checkpoints && a.checkpoint != "" {
		again = whole * (1 - float64(a.progress)/100)
	}
	return left > again/e.typicalSpeed()+restartCost.Seconds()
}

// restartCost is what a stop and a new start take.
const restartCost = 800 * time.Millisecond

// progressCheckInterval is how often runs are looked at; stalls take seconds to show.
const progressCheckInterval = 150 * time.Millisecond

// stopStalledRuns stops runs that stand still, so that they start elsewhere.
func (e *Engine) stopStalledRuns(now Moment) {
	if now.Steady-e.progressCheckedAt < progressCheckInterval {
		return
	}
	e.progressCheckedAt = now.Steady
	for _, n := range e.sortedNodes {
		if n.isUnresponsive {
			continue
		}
		for _, a := range n.attemptsByRun() {
			if a.state != running || a.stop != noStop || a.task.isDone {
				continue
			}
			reason := "no progress"
			if !e.isStalled(now, a) {
				if !e.isFasterElsewhere(now.Steady, a) {
					continue
				}
				reason = "slow worker"
			}
			a.stop = stopPending
			e.recordTaskEvent(EventRunStalled, a, reason)
			n.backoffUntil = now.Steady + e.cfg.RefusalBackoff
			a.task.avoidWorker = n.worker.ID
		}
	}
}

func (e *Engine) isStalled(now Moment, a *attempt) bool {
	if a.speedLimit < fullSpeed || a.task.step.spec.Gang {
		return false
	}
	still := now.Steady - a.progressAt
	if a.task.step.spec.LongRunning {
		return a.progress < fullSpeed && still > 2*e.cfg.StallAfter
	}
	return still > max(e.cfg.StallAfter, e.expectedDuration(a.task.step)/2)
}
