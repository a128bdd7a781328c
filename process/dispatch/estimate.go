package dispatch

import "time"

// expectedDuration returns how long a task of a step is expectedDuration to run.
func (e *Engine) expectedDuration(s *stepRun) time.Duration {
	return s.spec.Estimate
}

// computeCriticalPaths works out the longest chain of work behind each step.
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
