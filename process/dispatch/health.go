package dispatch

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Health checks cover workers on which every task fails, workers that become slow, and
// runs that make no progress. A worker counts as faulty when different jobs fail on it
// in a row; a single job that fails everywhere does not quarantine workers.

// health tracks the failures on a worker.
type health struct {
	// failedJobs are the jobs that failed on the worker since its last success.
	failedJobs      map[heatherhub.JobID]struct{}
	quarantineUntil time.Duration
}

func (h *health) recordSuccess() {
	clear(h.failedJobs)
}

// recordFailure records a failed run and reports whether it put the worker in
// quarantine.
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

// Quarantine limits.
const (
	// quarantineAfter is the number of different jobs that fail in a row before a
	// worker is quarantined. About one task in thirty fails on a healthy worker.
	quarantineAfter = 3
	// quarantineTime is how long a quarantined worker gets no tasks.
	quarantineTime = 5 * time.Second
)

func (h *health) isQuarantined(now time.Duration) bool {
	return h.quarantineUntil > now
}

// speed is a moving average of the progress rate of tasks; 1 means that tasks take
// exactly their estimated duration.
type speed struct {
	value     float64
	count     int
	updatedAt time.Duration
}

// Parameters of the speed measurement.
const (
	// speedWeight is the smallest weight of a new sample in the average.
	speedWeight = 0.3
	// speedInterval is the minimum time between two samples of one run. Progress is
	// reported in whole percent, so shorter intervals are too coarse.
	speedInterval = 300 * time.Millisecond
	// slowShare is the fraction of the typical speed below which a worker is slow.
	// slowMinSamples is the number of samples needed to decide that.
	slowShare      = 0.35
	slowMinSamples = 4
	// minMeasuredSpeed bounds estimates that divide by a measured speed.
	minMeasuredSpeed = 0.05
	// speedMaxAge is how long after its last sample an average stays valid.
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

// updateSpeed adds a speed sample from the reported progress of a run. Runs that are
// throttled, being stopped, long-running or part of a gang are not measured, nor are fillers
// beside serving tasks: they get what those leave unused, which swings within seconds.
func (e *Engine) updateSpeed(now Moment, n *node, a *attempt) {
	step := a.task.step
	isBesideServing := step.spec.Filler && n.servingTasks > 0
	if step.spec.LongRunning || step.spec.Gang || a.stop != noStop || a.speedLimit < fullSpeed || isBesideServing {
		a.speedSampleAt = 0
		return
	}
	if a.speedSampleAt == 0 || now.Steady-a.speedSampleAt < speedInterval {
		if a.speedSampleAt == 0 {
			a.speedSampleAt, a.speedSampleProgress = now.Steady, a.progress
		}
		return
	}
	progressed := float64(a.progress-a.speedSampleProgress) / 100
	v := progressed * e.expectedDuration(step).Seconds() / (now.Steady - a.speedSampleAt).Seconds()
	a.speedSampleAt, a.speedSampleProgress = now.Steady, a.progress
	n.speed.add(now.Steady, v)
	e.meanSpeed.add(now.Steady, v)
}

// isSlow reports whether tasks on a worker progress much slower than is typical for the
// shard.
func (e *Engine) isSlow(now time.Duration, n *node) bool {
	return n.speed.count >= slowMinSamples && now-n.speed.updatedAt <= speedMaxAge && n.speed.value < slowShare*e.typicalSpeed()
}

// typicalSpeed returns the mean speed over all workers, at most 1.
func (e *Engine) typicalSpeed() float64 {
	if e.meanSpeed.count < slowMinSamples {
		return 1
	}
	return min(e.meanSpeed.value, 1)
}

// isFasterElsewhere reports whether restarting a run on another worker would finish
// earlier than leaving it on its slow worker.
func (e *Engine) isFasterElsewhere(now time.Duration, a *attempt) bool {
	if a.task.step.spec.LongRunning || a.task.step.spec.Gang || a.speedLimit < fullSpeed || !e.isSlow(now, a.node) {
		return false
	}
	total := e.expectedDuration(a.task.step).Seconds()
	timeLeft := total * (1 - float64(a.progress)/100) / max(a.node.speed.value, minMeasuredSpeed)
	workElsewhere := total
	if a.task.step.spec.Checkpoints && a.checkpoint != "" {
		workElsewhere = total * (1 - float64(a.progress)/100)
	}
	return timeLeft > workElsewhere/e.typicalSpeed()+e.restartCost().Seconds()
}

// restartCost returns the mean time that stopping a run and starting it elsewhere takes. A stop
// takes five ninths of StopTime on average.
func (e *Engine) restartCost() time.Duration {
	return e.cfg.StopTime*5/9 + stopReportTime
}

// progressCheckInterval is the time between two checks for stalled runs. A stall takes
// seconds to detect, so checking on every call would add nothing.
const progressCheckInterval = 150 * time.Millisecond

// stopStalledRuns stops runs that make no progress or run on a slow worker, so that
// they restart on another worker.
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
			switch {
			case e.isStalled(now, a):
				e.recordStall(a.task)
			case e.isFasterElsewhere(now.Steady, a):
				reason = "slow worker"
			default:
				continue
			}
			a.stop = stopPending
			e.recordTaskEvent(EventRunStalled, a, reason)
			n.backoffUntil = now.Steady + e.cfg.RefusalBackoff
			a.task.avoid(n.worker.ID, now.Steady)
		}
	}
}

// maxStallDoublings bounds the time without progress that a task with many stalled runs may have.
const maxStallDoublings = 10

// recordStall counts a stalled run of a task. The owner of its job stores the count, so that a next owner does not
// stop a slow task again and again. Runs of a long-running task say nothing of later ones.
func (e *Engine) recordStall(t *task) {
	t.stalls++
	j := t.step.occ.job
	if j.isOwnedElsewhere || t.step.spec.LongRunning || t.stalls > maxStallDoublings {
		return
	}
	if at := slices.IndexFunc(j.progress.Stalls, isStallOf(t)); at >= 0 {
		j.progress.Stalls[at].Count = t.stalls
	} else {
		j.progress.Stalls = append(j.progress.Stalls, StallCount{Occurrence: t.step.occ.index, Task: t.flatIndex(), Count: t.stalls})
	}
	e.markChanged(j)
}

func isStallOf(t *task) func(StallCount) bool {
	return func(s StallCount) bool { return s.Occurrence == t.step.occ.index && s.Task == t.flatIndex() }
}

// restoreStalls takes over the stalled runs that a previous owner has counted.
func (j *job) restoreStalls() {
	for _, s := range j.progress.Stalls {
		if t := j.taskAt(s.Occurrence, s.Task); t != nil {
			t.stalls = max(t.stalls, s.Count)
		}
	}
}

// isStalled reports whether a run makes no progress. If runs of the task have stalled before, the task may be slower than
// its estimate says, so each one gets twice the time of the one before.
func (e *Engine) isStalled(now Moment, a *attempt) bool {
	if a.speedLimit < fullSpeed || a.task.step.spec.Gang {
		return false
	}
	sinceProgress := now.Steady - a.progressAt
	stallAfter := e.cfg.StallAfter << min(a.task.stalls, maxStallDoublings)
	if a.task.step.spec.LongRunning {
		return a.progress < fullSpeed && sinceProgress > 2*stallAfter
	}
	return sinceProgress > max(stallAfter, e.expectedDuration(a.task.step)/2)
}
