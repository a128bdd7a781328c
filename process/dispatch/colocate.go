package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Colocation is designed for serving tasks whose load swings within seconds and fillers of which
// some interfere with some serving images. A filler is placed where the serving tasks are expected
// to keep their target at the highest load ahead. How much headroom it has to leave depends on how
// long its job can wait: one that can wait finds another worker or a moment with less load, one
// that cannot goes where it does the least harm. What an image does beside another one is learned
// from trials, one on a worker at a time.

const (
	// interferenceWeight converts the expected loss of headroom to a fraction of the
	// processors.
	interferenceWeight = 4
	// patientHeadroom is the expected headroom that a filler has to leave to the serving tasks while
	// its job can wait as long as at first. Estimates are off by about a quarter at the target.
	patientHeadroom = 1.4
	// impatientHeadroom is the same once the job has waited for as long as it should.
	impatientHeadroom = 1
	// lateHeadroom is the same once the job would be late otherwise.
	lateHeadroom = 0.85
	// patienceSteps is the granularity of the values between the first two.
	patienceSteps = 4
	// reservedSlack is the part of its slack that a job does not spend on waiting for a better
	// place: runs take longer than declared, and fail.
	reservedSlack = 0.3
)

// scoreFiller prefers workers with spare processors on which the filler slows down no
// serving task.
func (e *Engine) scoreFiller(now time.Duration, n *node, s *stepRun) (float64, bool) {
	if n.servingTasks == 0 {
		return n.spareShare() - emptyWeight, true
	}
	loss := e.headroomLoss(n, s.spec.Image, n.shareOf(s.spec.Need.CPU))
	if n.throttle.isClosed(now, loss) {
		return 0, false
	}
	if loss > noticeableLoss {
		headroom, required := e.lowestHeadroom(now, n), requiredHeadroom(patienceOf(now, s))
		if headroom < required || (headroom-loss < required && !e.isTrial(n, s.spec.Image)) {
			return 0, false
		}
	}
	return n.spareShare() - interferenceWeight*loss, true
}

// isLate is the patience of a job that is late if it waits any longer.
const isLate = -1

// patienceOf returns how much of the slack that a job may spend on waiting it still has, in
// patienceSteps, or isLate.
func patienceOf(now time.Duration, s *stepRun) int {
	o := s.occ
	left := o.objective - s.criticalPath - now
	if left <= 0 {
		return isLate
	}
	reserved := time.Duration(reservedSlack * float64(o.slack))
	if left <= reserved {
		return 0
	}
	return min(int(patienceSteps*(left-reserved)/(o.slack-reserved))+1, patienceSteps)
}

// requiredHeadroom returns the expected headroom that a filler has to leave to the serving tasks.
func requiredHeadroom(patience int) float64 {
	if patience == isLate {
		return lateHeadroom
	}
	return impatientHeadroom + (patientHeadroom-impatientHeadroom)*float64(patience)/patienceSteps
}

// isTrial reports whether a filler may be placed on a worker to learn its effect: it is not known to
// interfere there, its effect on some serving image is unknown, and no other filler is on trial.
// Without trials a filler image that interferes with some serving images would be kept away from
// all others as well.
func (e *Engine) isTrial(n *node, filler string) bool {
	if e.isLearned(n, filler) {
		return false
	}
	for _, v := range n.servingImages {
		if e.model.interferes(v.image, filler) {
			return false
		}
	}
	for _, a := range n.attempts {
		if f := a.task.step.spec; f.Filler && (f.Image == filler || !e.isLearned(n, f.Image)) {
			return false
		}
	}
	return true
}

// isLearned reports whether the effect of a filler image on all serving images of a worker is
// known.
func (e *Engine) isLearned(n *node, filler string) bool {
	for _, v := range n.servingImages {
		if c := e.model.pairs[pairKey{v.image, filler}]; c == nil || c.samples < minSamples {
			return false
		}
	}
	return true
}

// fillerRoom returns the most processors that a filler whose job can wait may need for the worker
// to have them spare and scoreFiller to accept it.
func (e *Engine) fillerRoom(now time.Duration, n *node, image string) heatherhub.MilliCPU {
	if n.throttle.isClosed(now, 0) {
		return 0
	}
	lossPerShare := e.headroomLoss(n, image, 1)
	if lossPerShare <= 0 {
		return n.spareCPU()
	}
	loss := noticeableLoss
	if !n.throttle.isMissed() {
		headroom := e.lowestHeadroom(now, n)
		if headroom >= patientHeadroom && e.isTrial(n, image) {
			return n.spareCPU()
		}
		loss = max(loss, headroom-patientHeadroom)
	}
	return heatherhub.MilliCPU(min(float64(n.spareCPU()), loss/lossPerShare*float64(n.worker.Capacity.CPU)))
}
