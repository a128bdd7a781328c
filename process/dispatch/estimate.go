package dispatch

import "time"

// expectedDuration returns the estimated run time of one task of a step.
func (e *Engine) expectedDuration(s *stepRun) time.Duration {
	return s.spec.Estimate
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
