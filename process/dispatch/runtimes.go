package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Declared run times are off by a factor of up to 1.9, in the same direction for all tasks
// of a queue. The ratio of measured to declared run time is therefore learned by queue.
// What is learned is a hint: it is handed on with the interference estimates and may be lost.

const (
	// minRunTimeSamples is the number of samples below which the declared run time applies.
	minRunTimeSamples = 20
	// runTimeWeight is the weight of a new sample, so that the last 50 or so count. Jobs have
	// 10 to 20 tasks, so a lower number would follow single jobs.
	runTimeWeight = 0.02
	// minRunTimeRatio and maxRunTimeRatio bound a learned ratio. They are well outside the
	// factor of 1.9 by which declarations are off.
	minRunTimeRatio, maxRunTimeRatio = 0.2, 5
)

// runTimeRatio is the ratio of measured to declared run time of a queue's tasks.
type runTimeRatio struct {
	mean, variance float64
	samples        int
}

func (r *runTimeRatio) add(v float64) {
	r.samples++
	weight := max(runTimeWeight, 1/float64(r.samples))
	difference := v - r.mean
	r.mean += weight * difference
	r.variance = (1 - weight) * (r.variance + weight*difference*difference)
}

// learnRunTime adds the run time of an attempt that has ended done. Runs whose time says
// nothing of the declaration are left out: throttled, resumed or adopted ones, those on slow
// or cold workers, and those away from the rack of their data or their group.
func (e *Engine) learnRunTime(now Moment, a *attempt) {
	s := a.task.step
	isAway := s.spec.SameRack || (s.spec.DataRack != "" && s.spec.DataRack != a.node.worker.Rack)
	if !a.isMeasurable || a.state != running || s.spec.LongRunning || s.spec.Estimate <= 0 || isAway || e.isSlow(now.Steady, a.node) || a.hasRunCold() {
		return
	}
	id := s.occ.job.workflow.Queue
	r := e.runTimes[id]
	if r == nil {
		r = &runTimeRatio{}
		e.runTimes[id] = r
	}
	r.add(float64(now.Steady-a.stateSince) / float64(s.spec.Estimate))
}

// expectedRatio returns the learned ratio of a queue, or 1 if there are too few samples.
func (e *Engine) expectedRatio(id heatherhub.QueueID) float64 {
	r := e.runTimes[id]
	if r == nil || r.samples < minRunTimeSamples {
		return 1
	}
	return min(max(r.mean, minRunTimeRatio), maxRunTimeRatio)
}

// RunTime is the learned ratio of measured to declared run time of a queue.
type RunTime struct {
	Ratio float64 `msgpack:"v" json:"ratio"`
	// Spread is the standard deviation of the ratio over single tasks.
	Spread  float64 `msgpack:"s" json:"spread"`
	Samples int     `msgpack:"n" json:"samples"`
}

// maxRunTimes bounds the queues of which run times are handed on, at about 50 bytes each.
const maxRunTimes = 200

// RunTimes returns the learned run times, those with the most samples if there are many
// queues.
func (e *Engine) RunTimes() map[heatherhub.QueueID]RunTime {
	ids := slices.DeleteFunc(slices.Sorted(maps.Keys(e.runTimes)), func(id heatherhub.QueueID) bool {
		return e.runTimes[id].samples < minRunTimeSamples
	})
	slices.SortStableFunc(ids, func(a, b heatherhub.QueueID) int {
		return cmp.Compare(e.runTimes[b].samples, e.runTimes[a].samples)
	})
	out := make(map[heatherhub.QueueID]RunTime)
	for _, id := range ids[:min(len(ids), maxRunTimes)] {
		r := e.runTimes[id]
		out[id] = RunTime{Ratio: r.mean, Spread: math.Sqrt(r.variance), Samples: r.samples}
	}
	return out
}

// adoptRunTimes takes over the run times that another owner has learned, of queues of which
// this one has too few samples. They count as the fewest samples that are used, so that own
// samples soon correct them.
func (e *Engine) adoptRunTimes(from map[heatherhub.QueueID]RunTime) {
	for id, t := range from {
		own := e.runTimes[id]
		if t.Samples < minRunTimeSamples || !(t.Ratio > 0) || !(t.Spread >= 0) || (own != nil && own.samples >= minRunTimeSamples) {
			continue
		}
		e.runTimes[id] = &runTimeRatio{mean: t.Ratio, variance: t.Spread * t.Spread, samples: minRunTimeSamples}
	}
}

// minOwnProgress is the progress in percent from which on a run's own rate is used to
// expect its end. Progress has whole percents, so below it the rate is off by a tenth.
const minOwnProgress = 10

// remainingTime returns the expected time until an attempt ends by itself. It reports false
// for an attempt that does not: a long-running or halted one.
func (e *Engine) remainingTime(now time.Duration, a *attempt) (time.Duration, bool) {
	if !a.endsByItself() {
		return 0, false
	}
	if a.stop != noStop {
		return e.cfg.StopTime, true
	}
	left := a.timeLeft(float64(e.expectedDuration(a.task.step)))
	if a.isMeasurable && a.progress >= minOwnProgress {
		left = float64(a.progressAt-a.stateSince) * float64(100-a.progress) / float64(a.progress)
	} else if e.isSlow(now, a.node) {
		left /= max(a.node.speed.value, minMeasuredSpeed)
	}
	return max(time.Duration(left)-(now-a.progressAt), 0), true
}
