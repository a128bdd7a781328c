package dispatch

import (
	"heatherhub.example/heatherhub"
)

// The choice of a worker answers a load in which serving tasks reserve most of the
// processors and use less than half, and some fillers disturb some of them. Serving
// tasks are packed by image; other tasks that reserve processors join them, so that
// some workers stay free of serving tasks. Fillers go where most is left and where
// they disturb nobody.

// chooseWorker returns the worker for the next task of a step, or nil.
func (e *Engine) chooseWorker(now Moment, s *stepRun, t *task) *node {
	var best *node
	var bestScore float64
	for _, n := range e.sortedNodes {
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

// acceptsStep reports whether a worker takes tasks of a step, as far as its processors do not
// matter.
func (e *Engine) acceptsStep(now Moment, n *node, s *stepRun) bool {
	switch {
	case n.isUnresponsive, n.worker.Draining, n.backoffUntil > now.Steady, n.health.isQuarantined(now.Steady):
		return false
	case n.worker.Pool != s.occ.job.policy.Pool, !s.need.Fits(n.free()):
		return false
	default:
		return s.spec.RequiredLabel == "" || n.worker.HasLabel(s.spec.RequiredLabel)
	}
}

func (e *Engine) isEligible(now Moment, n *node, s *stepRun, t *task) bool {
	switch {
	case !e.acceptsStep(now, n, s):
		return false
	case s.spec.Filler && n.spareCPU() < s.spec.Need.CPU:
		return false
	case s.spec.MaxPerWorker > 0 && s.tasksPerNode[n] >= s.spec.MaxPerWorker:
		return false
	case e.isSlow(now.Steady, n) && !s.spec.LongRunning:
		return false
	default:
		return t.avoidWorker != n.worker.ID || len(e.sortedNodes) == 1
	}
}

// Weights of the choice of a worker, in shares of a worker's processors.
const (
	// rackWeight is above every difference of room: remote tasks take a multiple
	// of their time.
	rackWeight = 4
	// servingWeight brings tasks that reserve processors to workers that serve.
	servingWeight = 2
	// emptyWeight keeps workers without serving tasks for fillers that disturb.
	emptyWeight = 0.3
	// disturbWeight turns the expected rise of a tail into a share of processors.
	disturbWeight = 6
	// dissimilarWeight keeps serving images apart that different fillers disturb, and
	// sameImageWeight brings equal ones together.
	dissimilarWeight = 1
	sameImageWeight  = 0.5
	// maxLogTailRatio is the highest expected tail, as a logarithm of its share of
	// the target, to which a filler may bring a serving task. The figures spread
	// by about 0.4 around what is expected.
	maxLogTailRatio = -0.5
)

// score ranks workers that fit; more is better. It reports false for a filler that
// would bring a serving task too close to its target.
func (e *Engine) score(n *node, s *stepRun) (float64, bool) {
	v, ok := 0.0, true
	switch {
	case s.spec.Filler:
		v, ok = e.scoreFiller(n, s)
	case s.spec.LatencyTarget > 0:
		v = e.scoreServing(n, s)
	default:
		v = -n.spareShare()
		if n.servingTasks > 0 {
			v += servingWeight
		}
	}
	if s.spec.DataRack != "" && n.worker.Rack == s.spec.DataRack {
		v += rackWeight
	}
	if s.spec.SameRack && s.isInRack(n.worker.Rack) {
		v += rackWeight
	}
	return v, ok
}

func (n *node) spareShare() float64 {
	return n.shareOf(n.spareCPU())
}

// shareOf returns a number of processors as a share of the worker's.
func (n *node) shareOf(cpu heatherhub.MilliCPU) float64 {
	return float64(cpu) / float64(max(n.worker.Capacity.CPU, 1))
}

// scoreFiller prefers workers with spare processors on whose serving tasks the
// filler has no effect.
func (e *Engine) scoreFiller(n *node, s *stepRun) (float64, bool) {
	if n.servingTasks == 0 {
		return n.spareShare() - emptyWeight, true
	}
	rise := e.logTailRise(n, s.spec.Image, n.shareOf(s.spec.Need.CPU))
	if rise > noticeableRise {
		if n.throttle.isMissed() || e.logTailRatio(n)+rise > maxLogTailRatio {
			return 0, false
		}
	}
	return n.spareShare() - disturbWeight*rise, true
}

// scoreServing packs serving tasks of one image together, so that every filler
// finds workers on which it disturbs nobody.
func (e *Engine) scoreServing(n *node, s *stepRun) float64 {
	v := -n.spareShare()
	for _, other := range n.servingImages {
		if other.image == s.spec.Image {
			v += sameImageWeight
			continue
		}
		v -= dissimilarWeight * e.model.dissimilarity(other.image, s.spec.Image)
	}
	return v
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
