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
	PaceTask
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
	// Obeyed: the agent said so.
	Obeyed Outcome = iota
	// Unsent: nothing reached the agent.
	Unsent
	// Refused: the agent did nothing.
	Refused
	// RefusedForRoom: the task did not fit.
	RefusedForRoom
	// RefusedUnhealthy: the agent takes nothing at present.
	RefusedUnhealthy
	// Unanswered: the agent may have obeyed, or may do so later.
	Unanswered
	// Outdated: the order waited too long on its way out and was not sent.
	Outdated
)

// String names the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"obeyed", "unsent", "refused", "no room", "unhealthy", "unanswered", "outdated"}[o]
}

// Decide returns the orders that are due.
func (e *Engine) Decide(now Moment) []Order {
	e.releaseDue(now)
	e.watchProgress(now)
	e.stopWanted(now)
	e.startReady(now)
	out := e.orders
	e.orders = nil
	return out
}

// releaseDue queues the occurrences whose time has come.
func (e *Engine) releaseDue(now Moment) {
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

// stopWanted orders the stops that are due, again if one had no answer.
func (e *Engine) stopWanted(now Moment) {
	for _, n := range e.order {
		if n.isSilent {
			continue
		}
		for _, a := range n.sorted() {
			if a.stop != stopWanted || (a.stopSince > 0 && now.Steady-a.stopSince < e.cfg.StopRetry) {
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
		e.startResult(now, a, result)
	case StopTask:
		stopResult(now, a, result)
	case PaceTask:
		a.paceSent = result == Obeyed
	}
}

func (e *Engine) startResult(now Moment, a *attempt, result Outcome) {
	if result == Obeyed {
		if a.state != running {
			a.state, a.since = running, now.Steady
		}
		return
	}
	if a.state == running {
		return
	}
	if result == Unanswered {
		e.Stats.Unanswered++
		e.noteTask(EventUnanswered, a, "no answer")
		a.state, a.since = doubtful, now.Steady
		a.node.isSilent = true
		return
	}
	e.Stats.Refused++
	e.noteTask(EventRefused, a, result.String())
	switch result {
	case RefusedForRoom, RefusedUnhealthy:
		a.node.restUntil = now.Steady + e.cfg.RefusalRest
	case Unsent:
		a.node.isSilent = true
	}
	e.release(a)
	e.requeue(now, a)
}

func stopResult(now Moment, a *attempt, result Outcome) {
	switch result {
	case Obeyed, Refused:
		// A refused stop named a run that is not there and is not above an ended
		// one: it cannot start any more either.
		a.stop, a.stopSince = stopObeyed, now.Steady
	default:
		a.stop, a.stopSince = stopWanted, now.Steady
	}
}

// NextWake returns how long the engine may rest if nothing happens.
func (e *Engine) NextWake() time.Duration {
	return e.cfg.Tick
}
