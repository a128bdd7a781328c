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

// speed is how fast the tasks of a worker advance, as a share of what their
// estimates say.
type speed struct {
	value float64
	count int
	at    time.Duration
}

// Constants of the speed of a worker.
const (
	// speedWeight is the weight of a new figure.
	speedWeight = 0.3
	// speedInterval is the least time between two figures of one run; progress comes
	// in whole percent.
	speedInterval = 300 * time.Millisecond
	// slowShare is the share of the usual speed below which a worker is slow, and
	// slowCount how many figures it takes.
	slowShare = 0.35
	slowCount = 4
	// speedMemory is how long figures count after the last one.
	speedMemory = 2500 * time.Millisecond
)

func (s *speed) note(now time.Duration, v float64) {
	if now-s.at > speedMemory {
		s.count = 0
	}
	s.count++
	s.value += (v - s.value) * max(speedWeight, 1/float64(s.count))
	s.at = now
}

// noteSpeed takes in the progress of one run.
func (e *Engine) noteSpeed(now Moment, n *node, a *attempt) {
	t := a.task.step
	if t.spec.LongRunning || t.spec.Gang || a.stop != noStop || a.pace < fullPace {
		a.speedAt = 0
		return
	}
	if a.speedAt == 0 || now.Steady-a.speedAt < speedInterval {
		if a.speedAt == 0 {
			a.speedAt, a.speedFrom = now.Steady, a.progress
		}
		return
	}
	done := float64(a.progress-a.speedFrom) / 100
	v := done * e.expected(t).Seconds() / (now.Steady - a.speedAt).Seconds()
	a.speedAt, a.speedFrom = now.Steady, a.progress
	n.speed.note(now.Steady, v)
	e.usual.note(now.Steady, v)
}

// isSlow reports whether the tasks of a worker advance far slower than usual.
func (e *Engine) isSlow(now time.Duration, n *node) bool {
	return n.speed.count >= slowCount && now-n.speed.at <= speedMemory && n.speed.value < slowShare*e.usualSpeed()
}

// usualSpeed returns the mean speed over all workers.
func (e *Engine) usualSpeed() float64 {
	if e.usual.count < slowCount {
		return 1
	}
	return min(e.usual.value, 1)
}

// isBetterElsewhere reports whether a run on a slow worker ends later than a new one
// on another worker would.
func (e *Engine) isBetterElsewhere(now time.Duration, a *attempt) bool {
	if a.task.step.spec.LongRunning || a.task.step.spec.Gang || a.pace < fullPace || !e.isSlow(now, a.node) {
		return false
	}
	whole := e.expected(a.task.step).Seconds()
	left := whole * (1 - float64(a.progress)/100) / max(a.node.speed.value, 0.05)
	again := whole
	if a.task.step.spec.Checkpoints && a.checkpoint != "" {
		again = whole * (1 - float64(a.progress)/100)
	}
	return left > again/e.usualSpeed()+moveCost.Seconds()
}

// moveCost is what a stop and a new start take.
const moveCost = 800 * time.Millisecond

// watchInterval is how often runs are looked at; stalls take seconds to show.
const watchInterval = 150 * time.Millisecond

// watchProgress stops runs that stand still, so that they start elsewhere.
func (e *Engine) watchProgress(now Moment) {
	if now.Steady-e.watchedAt < watchInterval {
		return
	}
	e.watchedAt = now.Steady
	for _, n := range e.order {
		if n.isSilent {
			continue
		}
		for _, a := range n.sorted() {
			if a.state != running || a.stop != noStop || a.task.isDone {
				continue
			}
			reason := "no progress"
			if !e.isStalled(now, a) {
				if !e.isBetterElsewhere(now.Steady, a) {
					continue
				}
				reason = "slow worker"
			}
			a.stop = stopWanted
			e.noteTask(EventStalled, a, reason)
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
