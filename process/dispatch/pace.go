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
	// fullPace lets a task work at its whole speed.
	fullPace heatherhub.Percent = 100
	// paceFactor is what the pace is multiplied by when a target is missed.
	paceFactor = 0.5
	// paceStop is where filler tasks are halted.
	paceStop heatherhub.Percent = 20
	// paceInterval is the time between two changes; measures cover half a second.
	paceInterval = 600 * time.Millisecond
	// calmTime is how long all targets have to be met before a miss is over: the
	// figures are rough. Trials with 0 and with 800 ms were worse by 0.02 to 0.08.
	calmTime = 300 * time.Millisecond
	// haltAfter is how long a target may be missed before the fillers that may
	// disturb a serving task of the worker are halted, and haltAllAfter before all
	// are.
	haltAfter    = 1200 * time.Millisecond
	haltAllAfter = 1900 * time.Millisecond
	// noticeable is the rise of a tail, as a logarithm, below which a filler is
	// not held responsible.
	noticeable = 0.05
)

// pacer holds what the pace of a worker's fillers is decided on.
type pacer struct {
	changed time.Duration
	// missedSince is when a target was first missed without a break; zero if all
	// are met.
	missedSince time.Duration
	// calmSince is when all targets were first met again; zero while one is
	// missed.
	calmSince time.Duration
	isHalted  bool
}

// note takes in whether a target is missed.
func (p *pacer) note(now time.Duration, isMissed bool) {
	switch {
	case isMissed:
		p.calmSince = 0
		if p.missedSince == 0 {
			p.missedSince = now
		}
	case p.calmSince == 0:
		p.calmSince = now
	case now-p.calmSince >= calmTime:
		p.missedSince = 0
	}
}

// missedFor returns for how long a target has been missed.
func (p *pacer) missedFor(now time.Duration) time.Duration {
	if p.missedSince == 0 {
		return 0
	}
	return now - p.missedSince
}

// IsTense reports whether a target was missed lately on a worker, so that its figures
// are wanted more often.
func (e *Engine) IsTense(id heatherhub.WorkerID) bool {
	n := e.nodes[id]
	return n != nil && n.fillCPU > 0 && n.pacer.isMissing()
}

// mayDisturb reports whether a filler noticeably disturbs any serving task of its
// worker at full speed.
func (e *Engine) mayDisturb(n *node, filler *attempt) bool {
	s := filler.task.step.spec
	return e.rise(n, s.Image, n.shareOf(s.Need.CPU)) > noticeable
}

// isMissing reports whether a target was missed lately.
func (p *pacer) isMissing() bool {
	return p.missedSince > 0
}

// pace adapts the speed of the fillers of a worker to its serving tasks.
func (e *Engine) pace(now Moment, n *node) {
	if n.serving == 0 {
		n.pacer.missedSince, n.pacer.calmSince = 0, 0
	}
	missed := n.missed()
	n.pacer.note(now.Steady, len(missed) > 0)
	if now.Steady-n.pacer.changed < paceInterval {
		return
	}
	isHalted := n.pacer.missedFor(now.Steady) >= haltAfter
	if isHalted && !n.pacer.isHalted {
		e.note(Note{Event: EventHalted, Worker: n.worker.ID, Count: len(missed), Waited: n.pacer.missedFor(now.Steady)})
	}
	n.pacer.isHalted = isHalted
	isAllHalted := n.pacer.missedFor(now.Steady) >= haltAllAfter
	for _, a := range n.sorted() {
		if !a.task.step.spec.Filler || a.state != running || a.stop != noStop {
			continue
		}
		next := a.pace
		switch {
		case isAllHalted, isHalted && e.mayDisturb(n, a):
			next = 0
		case e.isResponsible(a, missed):
			next = lowered(a.pace)
		case !n.pacer.isMissing():
			next = fullPace
		}
		if next == a.pace && (a.paceSent || a.pace == fullPace) {
			continue
		}
		a.pace, a.paceSent = next, true
		n.pacer.changed = now.Steady
		e.orders = append(e.orders, Order{Worker: n.worker.ID, Kind: PaceTask, Task: a.task.id(), Run: a.run, Percent: next})
	}
}

func lowered(p heatherhub.Percent) heatherhub.Percent {
	next := heatherhub.Percent(float64(p) * paceFactor)
	if next < paceStop {
		return 0
	}
	return next
}

// missed returns the serving attempts over their target.
func (n *node) missed() []*attempt {
	var out []*attempt
	for _, a := range n.attempts {
		target := float64(a.task.step.spec.LatencyTarget.Milliseconds())
		if target > 0 && a.hasMeasure && a.state == running && a.measure > target {
			out = append(out, a)
		}
	}
	return out
}

// share returns what a filler takes of its worker's processors at its pace.
func (a *attempt) share() float64 {
	return float64(a.task.step.spec.Need.CPU) * float64(a.pace) / 100 / float64(a.node.worker.Capacity.CPU)
}

// isResponsible reports whether a filler noticeably disturbs one of the attempts.
func (e *Engine) isResponsible(filler *attempt, missed []*attempt) bool {
	x := filler.share()
	for _, m := range missed {
		if e.model.of(m.task.step.spec.Image, filler.task.step.spec.Image)*x > noticeable {
			return true
		}
	}
	return false
}
