package dispatch

import "time"

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
