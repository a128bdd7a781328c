package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Placement is designed for a load in which serving tasks reserve most of the processors
// but use less than half, and some fillers interfere with some serving images. Serving
// tasks are packed by image. Other tasks that reserve processors join them, so that some
// workers stay free of serving tasks. Both go where the fewest processors are left to reserve,
// so that large needs find room; fillers on a worker do not count, as they reserve none. Fillers go
// where the most processors are left and where they interfere with no serving task.

// chooseWorker returns the best worker for the next task of a step, or nil if none is
// eligible.
func (e *Engine) chooseWorker(now Moment, s *stepRun, t *task) *node {
	return e.chooseWorkerWhere(now, s, t, nil)
}

// chooseWorkerWhere is chooseWorker among the workers that isWanted accepts; nil accepts all.
// Tasks that have to be isolated are placed without regard to it. A worker that is kept for isolated runs
// takes others only if it is lent and no other worker is eligible.
func (e *Engine) chooseWorkerWhere(now Moment, s *stepRun, t *task, isWanted func(*node) bool) *node {
	if t.needsIsolation() {
		return e.chooseIsolated(now, s, t)
	}
	var best *node
	var bestScore float64
	isBestKept := false
	for _, n := range e.sortedNodes {
		isKept := !n.isOpenTo(now.Steady, t)
		if (isKept && !n.isLent(now.Steady)) || (isWanted != nil && !isWanted(n)) || !e.hasRoom(now, n, s, t) {
			continue
		}
		score, ok := e.score(now.Steady, n, s)
		score -= n.coldPenalty(now.Steady, s)
		if ok && (best == nil || (isBestKept && !isKept) || (isBestKept == isKept && score > bestScore)) {
			best, bestScore, isBestKept = n, score, isKept
		}
	}
	return best
}

// isOpenTo reports whether runs that are kept apart leave the worker to a task.
func (n *node) isOpenTo(now time.Duration, t *task) bool {
	if t.needsIsolation() {
		return n.isIsolating(now, t)
	}
	return n.isolatedJob(now) == nil
}

// hasLabelsAndRoom reports whether a worker accepts tasks of a step. It does not check the spare
// processors that a filler needs.
func (e *Engine) hasLabelsAndRoom(now Moment, n *node, s *stepRun) bool {
	switch {
	case !n.isAvailable(now.Steady):
		return false
	case n.worker.Pool != s.occ.job.policy.Pool, !s.need.Fits(n.free()):
		return false
	default:
		return s.spec.RequiredLabel == "" || n.worker.HasLabel(s.spec.RequiredLabel)
	}
}

func (e *Engine) isEligible(now Moment, n *node, s *stepRun, t *task) bool {
	return n.isOpenTo(now.Steady, t) && e.hasRoom(now, n, s, t)
}

// hasRoom is isEligible without regard to runs that are kept apart.
func (e *Engine) hasRoom(now Moment, n *node, s *stepRun, t *task) bool {
	switch {
	case !e.hasLabelsAndRoom(now, n, s):
		return false
	case s.spec.Filler && n.spareCPU() < s.spec.Need.CPU:
		return false
	case s.isAtLimitOn(n):
		return false
	case e.isSlow(now.Steady, n) && !s.spec.LongRunning:
		return false
	default:
		return t.avoidWorker != n.worker.ID || now.Steady >= t.avoidUntil || len(e.sortedNodes) == 1
	}
}

// isAtLimitOn reports whether a worker may run no further task of the step.
func (s *stepRun) isAtLimitOn(n *node) bool {
	return s.spec.MaxPerWorker > 0 && s.tasksPerNode[n] >= s.spec.MaxPerWorker
}

// Weights of the placement score, in fractions of a worker's processors.
const (
	// rackWeight exceeds every difference in free capacity: a task away from its rack takes
	// several times as long. Whether a task waits for its rack is decided in wait.go.
	rackWeight = 4
	// servingWeight draws tasks that reserve processors to workers that run serving
	// tasks.
	servingWeight = 2
	// emptyWeight keeps workers without serving tasks free for fillers that interfere
	// with some.
	emptyWeight = 0.3
	// dissimilarWeight separates serving images that are sensitive to different
	// fillers. sameImageWeight packs tasks of one image together.
	dissimilarWeight = 1
	sameImageWeight  = 0.5
)

// score rates a worker for a step; higher is better. It reports false for a filler that
// would bring a serving task too close to its latency target.
func (e *Engine) score(now time.Duration, n *node, s *stepRun) (float64, bool) {
	v, ok := 0.0, true
	switch {
	case s.spec.Filler:
		v, ok = e.scoreFiller(now, n, s)
	case s.spec.LatencyTarget > 0:
		v = e.scoreServing(n, s)
	default:
		v = -e.freeShare(n)
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

// freeShare returns the processors that may still be reserved, as a fraction of the largest worker
// of the shard. Where workers differ in size, the fraction of its own would send a task to the
// large worker with more processors left over, and no worker would keep room for large needs.
func (e *Engine) freeShare(n *node) float64 {
	return float64(n.free().CPU) / float64(max(e.largestCPU, 1))
}

func (n *node) spareShare() float64 {
	return n.shareOf(n.spareCPU())
}

// shareOf returns processors as a fraction of the worker's capacity.
func (n *node) shareOf(cpu heatherhub.MilliCPU) float64 {
	return float64(cpu) / float64(max(n.worker.Capacity.CPU, 1))
}

// scoreServing packs serving tasks of one image together, so that every filler finds
// workers on which it does not interfere.
func (e *Engine) scoreServing(n *node, s *stepRun) float64 {
	v := -e.freeShare(n)
	for _, other := range n.servingImages {
		if other.image == s.spec.Image {
			v += sameImageWeight
			continue
		}
		v -= dissimilarWeight * e.model.dissimilarity(other.image, s.spec.Image)
	}
	return v
}

// isInRack reports whether a task of the step has an attempt in the rack, or no task
// has an attempt at all.
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
