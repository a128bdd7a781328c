package dispatch

import (
	"heatherhub.example/heatherhub"
)

// The choice of a worker answers two loads. Serving tasks and batch tasks that
// reserve processors are packed on the workers that already serve, so that
// others stay free of serving tasks. Filler tasks go where most processor time is
// left, and beside serving tasks only if nothing else is left.

// choose returns the worker for the next task of a step, or nil.
func (e *Engine) choose(now Moment, s *stepRun, t *task) *node {
	var best *node
	var bestScore float64
	for _, n := range e.order {
		if !e.isEligible(now, n, s, t) {
			continue
		}
		score, ok := e.score(n, s)
		if ok && (best == nil || score > bestScore) {
			best, bestScore = n, score
		}
	}
	return best
}

func (e *Engine) isEligible(now Moment, n *node, s *stepRun, t *task) bool {
	if n.isSilent || n.worker.Draining || n.restUntil > now.Steady || n.worker.Pool != s.occ.job.policy.Pool {
		return false
	}
	if !s.need.Fits(n.free()) || (s.spec.Filler && n.spareCPU() < s.spec.Need.CPU) {
		return false
	}
	if s.spec.RequiredLabel != "" && !n.worker.HasLabel(s.spec.RequiredLabel) {
		return false
	}
	if s.spec.MaxPerWorker > 0 && s.perNode[n] >= s.spec.MaxPerWorker {
		return false
	}
	if s.spec.Filler && n.pacer.isMissing() {
		return false
	}
	if n.health.isQuarantined(now.Steady) {
		return false
	}
	return t.avoid != n.worker.ID || len(e.order) == 1
}

// Weights of the choice of a worker, in shares of a worker's processors.
const (
	// rackWeight is above every difference of room: remote tasks take a multiple
	// of their time.
	rackWeight = 4
	// servingWeight keeps filler tasks off workers that serve while another has
	// room, and brings serving and reserving tasks together.
	servingWeight = 2
	// tensionLimit is the highest expected tail, as a logarithm of its share of
	// the target, to which a filler may bring a serving task. The figures spread
	// by about 0.4 around what is expected.
	tensionLimit = -0.5
)

// score ranks workers that fit; more is better. It reports false for a filler that
// would bring a serving task too close to its target.
func (e *Engine) score(n *node, s *stepRun) (float64, bool) {
	capacity := float64(max(n.worker.Capacity.CPU, 1))
	spare := float64(n.spareCPU()) / capacity
	var v float64
	if s.spec.Filler {
		v = spare
		t, isServing := e.tension(n, s.spec.Image, float64(s.spec.Need.CPU)/capacity)
		if isServing && t > tensionLimit {
			return 0, false
		}
		if isServing {
			v -= servingWeight + t
		}
	} else {
		v = -spare
		if n.serving > 0 {
			v += servingWeight
		}
	}
	if s.spec.DataRack != "" && n.worker.Rack == s.spec.DataRack {
		v += rackWeight
	}
	if s.spec.SameRack && s.isInRack(n.worker.Rack) {
		v += rackWeight
	}
	return v, true
}

// isInRack reports whether a task of the step runs in a rack, or none runs.
func (s *stepRun) isInRack(rack heatherhub.Rack) bool {
	isEmpty := true
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			isEmpty = false
			if a.node.worker.Rack == rack {
				return true
			}
		}
	}
	return isEmpty
}
