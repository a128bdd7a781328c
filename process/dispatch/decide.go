package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// OrderKind says what a worker is told.
type OrderKind int

// Kinds of orders.
const (
	StartTask OrderKind = iota
	StopTask
	ThrottleTask
)

// String names the kind for logs.
func (k OrderKind) String() string {
	return [...]string{"start", "stop", "pace"}[k]
}

// Order is one message to a worker.
type Order struct {
	Worker     heatherhub.WorkerID
	Kind       OrderKind
	Task       heatherhub.StepTask
	Run        heatherhub.RunID
	Payload    string
	Checkpoint heatherhub.CheckpointRef
	Percent    heatherhub.Percent
}

// Outcome is what became of an order.
type Outcome int

// Outcomes of orders.
const (
	// Confirmed: the agent said so.
	Confirmed Outcome = iota
	// NotSent: nothing reached the agent.
	NotSent
	// Refused: the agent did nothing.
	Refused
	// RefusedNoCapacity: the task did not fit.
	RefusedNoCapacity
	// RefusedUnhealthy: the agent takes nothing at present.
	RefusedUnhealthy
	// NoReply: the agent may have obeyed, or may do so later.
	NoReply
	// Outdated: the order waited too long on its way out and was not sent.
	Outdated
)

// String names the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"obeyed", "unsent", "refused", "no room", "unhealthy", "unanswered", "outdated"}[o]
}

// Decide returns the orders that are due.
func (e *Engine) Decide(now Moment) []Order {
	e.enqueueScheduled(now)
	e.stopStalledRuns(now)
	e.orderStops(now)
	e.startReady(now)
	out := e.orders
	e.orders = nil
	return out
}

// enqueueScheduled queues the occurrences whose time has come.
func (e *Engine) enqueueScheduled(now Moment) {
	kept := e.scheduled[:0]
	for _, j := range e.scheduled {
		if j.isOver() {
			continue
		}
		kept = append(kept, j)
		for _, o := range j.occurrences {
			e.enqueueReady(now, o)
		}
	}
	clear(e.scheduled[len(kept):])
	e.scheduled = kept
}

// stopPending orders the stops that are due, again if one had no answer.
func (e *Engine) orderStops(now Moment) {
	for _, n := range e.sortedNodes {
		if n.isUnresponsive {
			continue
		}
		for _, a := range n.attemptsByRun() {
			if a.stop != stopPending || (a.stopSince > 0 && now.Steady-a.stopSince < e.cfg.StopRetryInterval) {
				continue
			}
			a.stop, a.stopSince = stopSent, now.Steady
			e.orders = append(e.orders, Order{Worker: n.worker.ID, Kind: StopTask, Task: a.task.id(), Run: a.run})
		}
	}
}

// OrderResult takes in what became of an order.
func (e *Engine) OrderResult(now Moment, o Order, result Outcome) {
	n := e.nodes[o.Worker]
	if n == nil {
		return
	}
	a := n.attempts[attemptKey{o.Task, o.Run}]
	if a == nil {
		return
	}
	switch o.Kind {
	case StartTask:
		e.handleStartResult(now, a, result)
	case StopTask:
		handleStopResult(now, a, result)
	case ThrottleTask:
		a.isSpeedLimitSent = result == Confirmed
	}
}

func (e *Engine) handleStartResult(now Moment, a *attempt, result Outcome) {
	if result == Confirmed {
		if a.state != running {
			a.state, a.stateSince = running, now.Steady
		}
		return
	}
	if a.state == running {
		return
	}
	if result == NoReply {
		e.Stats.Unanswered++
		e.recordTaskEvent(EventStartUnanswered, a, "no answer")
		a.state, a.stateSince = unconfirmed, now.Steady
		a.node.isUnresponsive = true
		return
	}
	e.Stats.Refused++
	e.recordTaskEvent(EventStartRefused, a, result.String())
	switch result {
	case RefusedNoCapacity, RefusedUnhealthy:
		a.node.backoffUntil = now.Steady + e.cfg.RefusalBackoff
	case NotSent:
		a.node.isUnresponsive = true
	}
	e.release(a)
	e.requeue(now, a)
}

func handleStopResult(now Moment, a *attempt, result Outcome) {
	switch result {
	case Confirmed, Refused:
		// A refused stop named a run that is not there and is not above an ended
		// one: it cannot start any more either.
		a.stop, a.stopSince = stopConfirmed, now.Steady
	default:
		a.stop, a.stopSince = stopPending, now.Steady
	}
}

// NextWake returns how long the engine may rest if nothing happens.
func (e *Engine) NextWake() time.Duration {
	return e.cfg.Tick
}
