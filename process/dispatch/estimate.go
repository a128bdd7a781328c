package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// estimate is what was learnt of the run times of an image in a queue.
type estimate struct {
	mean  float64
	count int
}

// learnWeight is the share of a new run time in the mean.
const learnWeight = 0.1

// minSamples is how many runs are needed before the mean replaces the caller's
// estimate.
const minSamples = 5

func imageKey(queue heatherhub.QueueID, image string) string {
	return string(queue) + "/" + image
}

// learn takes in the run time of a task that is done.
func (e *Engine) learn(now Moment, t *task, a *attempt) {
	if a == nil || t.checkpoint != "" {
		return
	}
	key := imageKey(t.step.occ.job.flow.Queue, t.step.spec.Image)
	est := e.durations[key]
	if est == nil {
		est = &estimate{}
		e.durations[key] = est
	}
	took := (now.Steady - a.startedAt).Seconds()
	est.count++
	est.mean += (took - est.mean) * max(learnWeight, 1/float64(est.count))
}

// expected returns how long a task of a step is expected to run.
func (e *Engine) expected(s *stepRun) time.Duration {
	return s.spec.Estimate
}

// estimateTails works out the longest chain of work behind each step.
func (e *Engine) estimateTails(o *occurrence) {
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.tail = e.expected(s)
		for _, later := range o.steps[i+1:] {
			for _, a := range later.spec.After {
				if a == i {
					s.tail = max(s.tail, e.expected(s)+later.tail)
				}
			}
		}
	}
}
