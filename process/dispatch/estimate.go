package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// expectedDuration returns the expected run time of one task of a step: the declared one,
// corrected by what was measured for its queue.
func (e *Engine) expectedDuration(s *stepRun) time.Duration {
	return time.Duration(float64(s.spec.Estimate) * e.expectedRatio(s.occ.job.workflow.Queue))
}

// endsByItself reports whether a run ends without a stop: long-running and halted ones do not.
func (a *attempt) endsByItself() bool {
	return !a.task.step.spec.LongRunning && a.speedLimit > 0
}

// timeLeft returns how long a run that ends by itself goes on after its last progress, at its speed
// limit, if the whole task takes total. Both are in nanoseconds.
func (a *attempt) timeLeft(total float64) float64 {
	return total * (1 - float64(a.progress)/100) * float64(fullSpeed) / float64(a.speedLimit)
}

// workAt returns the expected time that a task of the step takes up to some progress.
func (e *Engine) workAt(s *stepRun, p heatherhub.Percent) time.Duration {
	return time.Duration(float64(e.expectedDuration(s)) * float64(p) / 100)
}

// declaredChain returns the declared run time of the longest chain of an occurrence's steps.
// Objectives follow from declared run times, whatever was measured.
func (o *occurrence) declaredChain() time.Duration {
	return heatherhub.LongestChain(o.job.workflow.Steps, func(s *heatherhub.Step) time.Duration { return s.Estimate })
}

// computeCriticalPaths sets, for each step, the expected time from its start to the end
// of the longest chain of steps that depend on it.
func (e *Engine) computeCriticalPaths(o *occurrence) {
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.criticalPath = e.expectedDuration(s)
		for _, later := range o.steps[i+1:] {
			for _, a := range later.spec.After {
				if a == i {
					s.criticalPath = max(s.criticalPath, e.expectedDuration(s)+later.criticalPath)
				}
			}
		}
	}
}
