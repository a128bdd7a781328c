package dispatch

import (
	"cmp"
	"slices"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/version/evacuation"
)

// Evacuation is designed for a failure domain that the operators take out of service while its
// workers still work, for example before a power cut. Its workers get no start of any kind. What
// runs there goes on: batch tasks end within seconds, and stopping a serving task would lose its
// work before it has a place elsewhere.

// SetEvacuated replaces the set of failure domains whose workers get no starts.
func (e *Engine) SetEvacuated(set evacuation.Set) {
	e.evacuated = set
	for _, n := range e.sortedNodes {
		n.isEvacuated = set.Has(n.worker.Domain)
		if n.isEvacuated {
			// An isolated start that was to come next chooses another worker.
			n.heldUntil = 0
		}
	}
}

// IsEvacuated reports whether the failure domain of a worker is evacuated.
func (e *Engine) IsEvacuated(id heatherhub.WorkerID) bool {
	n := e.nodes[id]
	return n != nil && n.isEvacuated
}

// IsUsable reports whether any worker of the shard could take a start, if it had room: one that
// has reported to this owner and is neither draining nor silent, quarantined or evacuated.
func (e *Engine) IsUsable(now Moment) bool {
	return slices.ContainsFunc(e.sortedNodes, func(n *node) bool {
		return n.isInService() && !n.health.isQuarantined(now.Steady)
	})
}

// isInService reports whether the worker is neither draining nor silent nor evacuated.
func (n *node) isInService() bool {
	return !n.isUnresponsive && !n.worker.Draining && !n.isEvacuated
}

// PoolsInService returns the pools with a worker that is neither draining nor evacuated, and those
// with an evacuated one, each sorted. Silent workers count, as they may be back at once.
func (e *Engine) PoolsInService() (inService, evacuated []heatherhub.PoolID) {
	for _, n := range e.sortedNodes {
		out := &inService
		switch {
		case n.isEvacuated:
			out = &evacuated
		case n.worker.Draining:
			continue
		}
		if !slices.Contains(*out, n.worker.Pool) {
			*out = append(*out, n.worker.Pool)
		}
	}
	slices.Sort(inService)
	slices.Sort(evacuated)
	return inService, evacuated
}

// EvacuatedDomain sums up the workers of an evacuated failure domain.
type EvacuatedDomain struct {
	Domain heatherhub.FailureDomain
	// Workers counts the workers that have reported to this owner, Batch and LongRunning the
	// tasks on them that are not known to be over.
	Workers, Batch, LongRunning int
}

// EvacuatedDomains returns the evacuated failure domains, by name.
func (e *Engine) EvacuatedDomains() []EvacuatedDomain {
	out := make([]EvacuatedDomain, 0, e.evacuated.Len())
	for _, r := range e.evacuated.Requests() {
		out = append(out, EvacuatedDomain{Domain: r.Domain})
	}
	for _, n := range e.sortedNodes {
		if !n.isEvacuated {
			continue
		}
		at, _ := slices.BinarySearchFunc(out, n.worker.Domain, func(d EvacuatedDomain, name heatherhub.FailureDomain) int {
			return cmp.Compare(d.Domain, name)
		})
		out[at].Workers++
		out[at].Batch += len(n.unaccounted)
		for _, a := range n.attempts {
			if a.task.step.spec.LongRunning {
				out[at].LongRunning++
			} else {
				out[at].Batch++
			}
		}
	}
	return out
}
