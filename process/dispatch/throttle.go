package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Throttling limits filler tasks that slow down the serving tasks on the same worker,
// whose effect changes within seconds. First only the fillers known to interfere with a
// task over its latency target are slowed down. If that does not help, the fillers that
// may interfere with any serving task are halted, and then all fillers. When all targets
// are met again, fillers return to full speed at once: the cause has usually passed, and
// a halted task delays its whole job.

// Parameters of the throttling.
const (
	// fullSpeed is the speed limit of a run that is not throttled.
	fullSpeed heatherhub.Percent = 100
	// throttleFactor is the factor that a speed limit is multiplied by when a target is
	// missed.
	throttleFactor = 0.5
	// minSpeed is the lowest speed limit; below it a filler is halted.
	minSpeed heatherhub.Percent = 20
	// throttleInterval is the minimum time between two changes on a worker. Reported
	// latencies cover the last half second.
	throttleInterval = 600 * time.Millisecond
	// recoveryTime is how long all targets must be met before a miss counts as over.
	// Samples are noisy, so a shorter time mistakes noise for recovery; a longer one
	// halts fillers needlessly.
	recoveryTime = 300 * time.Millisecond
	// inheritedSpeed is the share of its processors below which a filler of a previous owner
	// may have been slowed down by that owner.
	inheritedSpeed = 0.7
	// harmlessCoefficient is the learned coefficient below which a filler is left at work for
	// longer beside a missed target.
	harmlessCoefficient = 0.5
	// noticeableLoss is the loss of headroom up to which a filler is not considered to
	// interfere.
	noticeableLoss = 0.1
)

// haltAfter returns how long a target may be missed before the fillers that may interfere with
// a serving task of the worker are halted: 1.2 s of a HarmTime of 4 s.
func (t *Tuning) haltAfter() time.Duration {
	return t.HarmTime * 3 / 10
}

// haltAllAfter returns how long a target may be missed before all fillers are halted: 1.9 s of a
// HarmTime of 4 s.
func (t *Tuning) haltAllAfter() time.Duration {
	return t.HarmTime * 19 / 40
}

// fillerThrottle holds the state on which the speed limits of a worker's fillers are
// decided.
type fillerThrottle struct {
	changedAt time.Duration
	// missedSince is the time since which a target has been missed without recovery;
	// zero if all are met.
	missedSince time.Duration
	// metSince is the time since which all targets have been met; zero while one is
	// missed.
	metSince time.Duration
	isHalted bool
}

// update records whether a latency target is missed at present.
func (p *fillerThrottle) update(now time.Duration, isMissed bool) {
	switch {
	case isMissed:
		p.metSince = 0
		if p.missedSince == 0 {
			p.missedSince = now
		}
	case p.metSince == 0:
		p.metSince = now
	case now-p.metSince >= recoveryTime:
		p.missedSince = 0
	}
}

// missedFor returns how long a target has been missed, or zero.
func (p *fillerThrottle) missedFor(now time.Duration) time.Duration {
	if p.missedSince == 0 {
		return 0
	}
	return now - p.missedSince
}

// MissesLatencyTarget reports whether a worker that runs fillers has missed a latency
// target recently. Such a worker should be polled more often.
func (e *Engine) MissesLatencyTarget(id heatherhub.WorkerID) bool {
	n := e.nodes[id]
	return n != nil && n.fillerCPU > 0 && n.throttle.isMissed()
}

// mayInterfere reports whether a filler is not known to do no harm to the serving tasks of its
// worker.
func (e *Engine) mayInterfere(n *node, filler *attempt) bool {
	image := filler.task.step.spec.Image
	for _, v := range n.servingImages {
		if c := e.model.pairs[pairKey{v.image, image}]; c == nil || c.samples < minSamples || c.value >= harmlessCoefficient {
			return true
		}
	}
	return false
}

// isMissed reports whether a target is missed or has not been met for recoveryTime yet.
func (p *fillerThrottle) isMissed() bool {
	return p.missedSince > 0
}

// isClosed reports whether a worker gets no filler that is expected to cost its serving tasks a loss of
// headroom, because a target is missed. After a while it gets none at all: each new filler would
// run at full speed until the next report, so there would always be some at work.
func (p *fillerThrottle) isClosed(now time.Duration, loss float64) bool {
	return p.isMissed() && (loss > noticeableLoss || p.missedFor(now) >= throttleInterval)
}

// throttleFillers adjusts the speed limits of a worker's fillers to the latencies of
// its serving tasks.
func (e *Engine) throttleFillers(now Moment, n *node) {
	if n.servingTasks == 0 {
		n.throttle.missedSince, n.throttle.metSince = 0, 0
	}
	missed := n.missedTargets()
	n.throttle.update(now.Steady, len(missed) > 0)
	isHalted := n.throttle.missedFor(now.Steady) >= e.cfg.haltAfter()
	// A halt that is due does not wait: with the time until the miss was reported, the harm time is
	// nearly over.
	if now.Steady-n.throttle.changedAt < throttleInterval && !isHalted {
		return
	}
	if isHalted && !n.throttle.isHalted {
		e.recordEvent(EventRecord{Event: EventFillersHalted, Worker: n.worker.ID, Count: len(missed), Waited: n.throttle.missedFor(now.Steady)})
	}
	n.throttle.isHalted = isHalted
	isAllHalted := n.throttle.missedFor(now.Steady) >= e.cfg.haltAllAfter()
	for _, a := range n.attemptsByRun() {
		if !a.task.step.spec.Filler || a.state != running || a.stop != noStop {
			continue
		}
		next := a.speedLimit
		switch {
		case isAllHalted, isHalted && e.mayInterfere(n, a):
			next = 0
		case e.isResponsible(a, missed):
			next = reducedSpeed(a.speedLimit)
		case !n.throttle.isMissed():
			next = fullSpeed
		}
		isRepeat := a.isSpeedLimitUnknown && (next < fullSpeed || !n.throttle.isMissed())
		if next == a.speedLimit && !isRepeat {
			continue
		}
		a.speedLimit, a.isSpeedLimitUnknown, a.isMeasurable = next, false, false
		n.throttle.changedAt = now.Steady
		e.orders = append(e.orders, Order{Worker: n.worker.ID, Kind: ThrottleTask, Task: a.task.id(), Run: a.run, Percent: next})
	}
}

func reducedSpeed(p heatherhub.Percent) heatherhub.Percent {
	next := heatherhub.Percent(float64(p) * throttleFactor)
	if next < minSpeed {
		return 0
	}
	return next
}

// missedTargets returns the running serving attempts whose latency exceeds their
// target.
func (n *node) missedTargets() []*attempt {
	var out []*attempt
	for _, a := range n.attempts {
		target := float64(a.task.step.spec.LatencyTarget.Milliseconds())
		if target > 0 && a.hasMeasure && a.state == running && a.measure > target {
			out = append(out, a)
		}
	}
	return out
}

// cpuShare returns the fraction of its worker's processors that a filler uses under its
// speed limit.
func (a *attempt) cpuShare() float64 {
	return float64(a.task.step.spec.Need.CPU) * float64(a.speedLimit) / 100 / float64(a.node.worker.Capacity.CPU)
}

// isResponsible reports whether a filler noticeably slows down one of the attempts in
// missed.
func (e *Engine) isResponsible(filler *attempt, missed []*attempt) bool {
	x := filler.cpuShare()
	for _, m := range missed {
		if e.model.coefficientOf(m.task.step.spec.Image, filler.task.step.spec.Image)*x > noticeableLoss {
			return true
		}
	}
	return false
}
