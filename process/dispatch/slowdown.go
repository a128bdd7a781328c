package dispatch

import "heatherhub.example/heatherhub"

// locationStats has the measured run times of the tasks of a queue whose data is in a rack, as
// ratios to the expected ones.
type locationStats struct {
	near, away ratioMean
}

// ratioMean is a moving average of ratios.
type ratioMean struct {
	value float64
	count int
}

// Parameters of the measured slowdown.
const (
	// slowdownWeight is the smallest weight of a new sample.
	slowdownWeight = 0.05
	// slowdownSamples is the number of samples on both sides from which on the measured
	// slowdown replaces that of the settings.
	slowdownSamples = 20
	// maxSlowdownRatio bounds the measured slowdown, as a multiple of that of the settings.
	maxSlowdownRatio = 3
)

func (m *ratioMean) add(v float64) {
	m.count++
	m.value += (v - m.value) * max(slowdownWeight, 1/float64(m.count))
}

// isAwayFromData reports whether the attempt runs in another rack than that of its data.
func (a *attempt) isAwayFromData() bool {
	rack := a.task.step.spec.DataRack
	return rack != "" && a.node.worker.Rack != rack
}

// measureLocation records the run time of a task that is done. Runs that continued from a
// checkpoint, that another owner started, whose speed was limited or whose worker was cold are not
// measured.
func (e *Engine) measureLocation(now Moment, a *attempt) {
	s := a.task.step
	expected := e.expectedDuration(s)
	if s.spec.DataRack == "" || s.spec.Filler || expected <= 0 || !a.isMeasurable || a.hasRunCold() {
		return
	}
	id := s.occ.job.workflow.Queue
	stats := e.locationStats[id]
	if stats == nil {
		stats = &locationStats{}
		e.locationStats[id] = stats
	}
	ratio := float64(now.Steady-a.startedAt) / float64(expected)
	if a.isAwayFromData() {
		stats.away.add(ratio)
	} else {
		stats.near.add(ratio)
	}
}

// slowdownOf returns the factor by which tasks of a job take longer away from their rack: that of
// the settings, or the one that was measured for the queue.
func (e *Engine) slowdownOf(j *job) float64 {
	stats := e.locationStats[j.workflow.Queue]
	if stats == nil || stats.near.count < slowdownSamples || stats.away.count < slowdownSamples || stats.near.value <= 0 {
		return e.cfg.RemoteFactor
	}
	return min(max(stats.away.value/stats.near.value, 1), maxSlowdownRatio*e.cfg.RemoteFactor)
}

// pruneLocationStats forgets the queues that are no longer configured.
func (e *Engine) pruneLocationStats(policies map[heatherhub.QueueID]Policy) {
	for id := range e.locationStats {
		if _, ok := policies[id]; !ok {
			delete(e.locationStats, id)
		}
	}
}
