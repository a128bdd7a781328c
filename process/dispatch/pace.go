package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Pacing answers filler tasks that disturb the serving tasks beside them. The
// figures lag by half a second and change within seconds, so the pace falls fast
// and rises slowly.

// Steps of the pace.
const (
	// fullPace lets a task work at its whole speed.
	fullPace heatherhub.Percent = 100
	// paceFactor is what the pace is multiplied by when a target is missed.
	paceFactor = 0.4
	// paceRise is added when all targets are met with room to spare.
	paceRise heatherhub.Percent = 20
	// paceStop is where filler tasks are halted.
	paceStop heatherhub.Percent = 15
	// paceHigh and paceLow are shares of the target between which the pace rests.
	paceHigh = 0.85
	paceLow  = 0.6
	// paceInterval is the time between two changes; measures cover half a second.
	paceInterval = 600 * time.Millisecond
)

// pacer holds the pace of the filler tasks of one worker.
type pacer struct {
	isSet   bool
	pace    heatherhub.Percent
	changed time.Duration
}

func (p *pacer) current() heatherhub.Percent {
	if !p.isSet {
		return fullPace
	}
	return p.pace
}

// pace adapts the speed of the filler tasks of a worker to its serving tasks.
func (e *Engine) pace(now Moment, n *node) {
	if n.serving > 0 && now.Steady-n.pacer.changed >= paceInterval {
		n.adaptPace(now.Steady)
	}
	if n.serving == 0 {
		n.pacer.isSet = false
	}
	target := n.pacer.current()
	for _, a := range n.sorted() {
		if !a.task.step.spec.Filler || a.state != running || a.stop != noStop {
			continue
		}
		if a.pace != target || (!a.paceSent && target != fullPace) {
			a.pace, a.paceSent = target, true
			e.orders = append(e.orders, Order{Worker: n.worker.ID, Kind: PaceTask, Task: a.task.id(), Run: a.run, Percent: target})
		}
	}
}

func (n *node) adaptPace(now time.Duration) {
	worst := 0.0
	for _, a := range n.attempts {
		if target := a.task.step.spec.LatencyTarget; target > 0 && a.hasMeasure && a.state == running {
			worst = max(worst, a.measure/float64(target.Milliseconds()))
		}
	}
	current := n.pacer.current()
	next := current
	switch {
	case worst > paceHigh:
		next = heatherhub.Percent(float64(current) * paceFactor)
		if next < paceStop {
			next = 0
		}
	case worst < paceLow:
		next = min(current+paceRise, fullPace)
	}
	if next != current {
		n.pacer = pacer{isSet: true, pace: next, changed: now}
	}
}
