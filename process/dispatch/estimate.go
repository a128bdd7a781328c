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
