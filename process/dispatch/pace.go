package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Pacing answers filler tasks that disturb the serving tasks beside them, by amounts
// that change within seconds. Only fillers that are known to disturb a task over its
// target are slowed down; if that does not help, all of them are halted. As soon as all
// targets are met they go on at full speed: what disturbed has passed more often than
// not, and a halted task makes its whole job late.

// Steps of the pace.
const (
	// fullSpeed lets a task work at its whole speed.
	fullSpeed heatherhub.Percent = 100
	// throttleFactor is what the pace is multiplied by when a target is missed.
	throttleFactor = 0.5
	// minSpeed is where filler tasks are halted.
	minSpeed heatherhub.Percent = 20
	// throttleInterval is the time between two changes; measures cover half a second.
	throttleInterval = 600 * time.Millisecond
	// recoveryTime is how long all targets have to be met before a miss is over: the
	// figures are rough. Trials with 0 and with 800 ms were worse by 0.02 to 0.08.
	recoveryTime = 300 * time.Millisecond
	// haltAfter is how long a target may be missed before the fillers that may
	// disturb a serving task of the worker are halted, and haltAllAfter before all
	// are.
	haltAfter    = 1200 * time.Millisecond
	haltAllAfter = 1900 * time.Millisecond
	// noticeableRise is the rise of a tail, as a logarithm, below which a filler is
	// not held responsible.
	noticeableRise = 0.05
)

// fillerThrottle holds what the pace of a worker's fillers is decided on.
type fillerThrottle struct {
	changedAt time.Duration
	// missedSince is when a target was first missed without a break; zero if all
	// are met.
	missedSince time.Duration
	// metSince is when all targets were first met again; zero while one is
	// missed.
	metSince time.Duration
	isHalted bool
}

// update takes in whether a target is missed.
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

// missedFor returns for how long a target has been missed.
func (p *fillerThrottle) missedFor(now time.Duration) time.Duration {
	if p.missedSince == 0 {
		return 0
	}
	return now - p.missedSince
}

// MissesLatencyTarget reports whether a target was missed lately on a worker, so that its figures
// are wanted more often.
func (e *Engine) MissesLatencyTarget(id heatherhub.WorkerID) bool {
	n := e.nodes[id]
	return n != nil && n.fillerCPU > 0 && n.throttle.isMissed()
}

// mayDisturb reports whether a filler noticeably disturbs any serving task of its
// worker at full speed.
func (e *Engine) mayDisturb(n *node, filler *attempt) bool {
	s := filler.task.step.spec
	return e.logTailRise(n, s.Image, n.shareOf(s.Need.CPU)) > noticeableRise
}

// isMissed reports whether a target was missed lately.
func (p *fillerThrottle) isMissed() bool {
	return p.missedSince > 0
}

// throttleFillers adapts the speed of the fillers of a worker to its serving tasks.
func (e *Engine) throttleFillers(now Moment, n *node) {
	if n.servingTasks == 0 {
		n.throttle.missedSince, n.throttle.metSince = 0, 0
	}
	missed := n.missedTargets()
	n.throttle.update(now.Steady, len(missed) > 0)
	if now.Steady-n.throttle.changedAt < throttleInterval {
		return
	}
	isHalted := n.throttle.missedFor(now.Steady) >= haltAfter
	if isHalted && !n.throttle.isHalted {
		e.recordEvent(EventRecord{Event: EventFillersHalted, Worker: n.worker.ID, Count: len(missed), Waited: n.throttle.missedFor(now.Steady)})
	}
	n.throttle.isHalted = isHalted
	isAllHalted := n.throttle.missedFor(now.Steady) >= haltAllAfter
	for _, a := range n.attemptsByRun() {
		if !a.task.step.spec.Filler || a.state != running || a.stop != noStop {
			continue
		}
		next := a.speedLimit
		switch {
		case isAllHalted, isHalted && e.mayDisturb(n, a):
			next = 0
		case e.isResponsible(a, missed):
			next = reducedSpeed(a.speedLimit)
		case !n.throttle.isMissed():
			next = fullSpeed
		}
		if next == a.speedLimit && (a.isSpeedLimitSent || a.speedLimit == fullSpeed) {
			continue
		}
		a.speedLimit, a.isSpeedLimitSent = next, true
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

// missedTargets returns the serving attempts over their target.
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

// cpuShare returns what a filler takes of its worker's processors at its pace.
func (a *attempt) cpuShare() float64 {
	return float64(a.task.step.spec.Need.CPU) * float64(a.speedLimit) / 100 / float64(a.node.worker.Capacity.CPU)
}

// isResponsible reports whether a filler noticeably disturbs one of the attempts.
func (e *Engine) isResponsible(filler *attempt, missed []*attempt) bool {
	x := filler.cpuShare()
	for _, m := range missed {
		if e.model.coefficientOf(m.task.step.spec.Image, filler.task.step.spec.Image)*x > noticeableRise {
			return true
		}
	}
	return false
}
