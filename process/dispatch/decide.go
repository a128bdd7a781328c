package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// OrderKind is the action that an order asks of a worker's agent.
type OrderKind int

// Order kinds.
const (
	StartTask OrderKind = iota
	StopTask
	ThrottleTask
)

// String names the kind for logs.
func (k OrderKind) String() string {
	return [...]string{"start", "stop", "pace"}[k]
}

// Order is one message from the engine to a worker's agent.
type Order struct {
	Worker     heatherhub.WorkerID
	Kind       OrderKind
	Task       heatherhub.StepTask
	Run        heatherhub.RunID
	Payload    string
	Checkpoint heatherhub.CheckpointRef
	Percent    heatherhub.Percent
}

// Outcome is the result of sending an order.
type Outcome int

// Order outcomes.
const (
	// Confirmed: the agent carried out the order.
	Confirmed Outcome = iota
	// NotSent: the order did not reach the agent.
	NotSent
	// Refused: the agent rejected the order without acting on it.
	Refused
	// RefusedNoCapacity: the worker lacked the free resources for the task.
	RefusedNoCapacity
	// RefusedInvalid: the agent rejected the order as not valid.
	RefusedInvalid
	// RefusedUnhealthy: the agent accepts no tasks at present.
	RefusedUnhealthy
	// NoReply: no reply arrived. The agent may have carried out the order or may still
	// do so.
	NoReply
	// Outdated: the order stayed in the send queue too long and was dropped.
	Outdated
	// Withdrawn: the owner dropped a start before it was sent, since the worker gets none any
	// more. The worker itself is not at fault.
	Withdrawn
)

// String names the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"obeyed", "unsent", "refused", "no room", "invalid", "unhealthy", "unanswered", "outdated", "withdrawn"}[o]
}

// Decide returns the orders that are due. The caller sends them and reports each
// outcome with OrderResult.
func (e *Engine) Decide(now Moment) []Order {
	e.expireRestarted(now)
	e.expireOpen(now)
	e.enqueueScheduled(now)
	if !e.isRoomStale {
		e.startMoved(now)
		e.startInPlace(now)
	}
	e.startReserved(now)
	e.stopStalledRuns(now)
	e.vacateDraining(now)
	e.orderStops(now)
	if !e.isRoomStale {
		e.startReady(now)
	}
	out := e.orders
	e.orders = nil
	return out
}

// SetRoomStale holds back starts while it is not known for certain what the workers may take: one
// may have shrunk, or its failure domain may be evacuated.
func (e *Engine) SetRoomStale(isStale bool) {
	e.isRoomStale = isStale
}

// enqueueScheduled queues the steps of scheduled occurrences that are due.
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

// orderStops issues the stop orders that are due, and repeats those that got no reply
// after StopRetryInterval.
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

// HasAttempt reports whether the attempt of an order is not known to be over.
func (e *Engine) HasAttempt(o Order) bool {
	n := e.nodes[o.Worker]
	return n != nil && n.attempts[attemptKey{o.Task, o.Run}] != nil
}

// OrderResult records the outcome of an order.
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
		a.isSpeedLimitUnknown = result != Confirmed
	}
}

func (e *Engine) handleStartResult(now Moment, a *attempt, result Outcome) {
	if result == Confirmed {
		a.task.refusals = 0
		if a.isKnownTaken() {
			e.forgetTaken(now, a)
		}
		if a.state != running {
			e.confirm(now, a)
		}
		return
	}
	if a.state == running {
		if result == NoReply {
			a.lastUnanswered = now.Steady
		}
		return
	}
	if result == NoReply {
		e.Stats.Unanswered++
		e.recordTaskEvent(EventStartUnanswered, a, "no answer")
		e.setState(now, a, unconfirmed)
		e.recordUnanswered(now, a)
		a.node.markUnresponsive(now.Steady)
		return
	}
	e.Stats.Refused++
	e.recordTaskEvent(EventStartRefused, a, result.String())
	switch result {
	case RefusedInvalid:
		e.dropRefusedCheckpoint(a)
		e.recordRefusal(now, a, result)
	case Refused:
		a.recordRefusedNumber()
		e.recordRefusal(now, a, result)
	case RefusedUnhealthy:
		e.recordRefusal(now, a, result)
	case RefusedNoCapacity:
		a.node.backoffUntil = now.Steady + e.cfg.RefusalBackoff
	case NotSent:
		a.node.markUnresponsive(now.Steady)
	}
	if e.hasOpenCopy(now.Steady, a) {
		// Only a stop of the run makes the worker refuse the copies that were sent before.
		a.repeats--
		e.setState(now, a, unconfirmed)
		a.stateSince = a.lastUnanswered
		if a.stop == noStop {
			a.stop = stopPending
		}
		return
	}
	e.leaveOpen(now, a, startAnswered, 0)
	e.release(a)
	e.requeue(now, a)
	stopRun(a.task.step, a.run)
}

// stopRun requests a stop of all members of a run of a gang of which one does not start. The others would wait for it,
// and then end alone.
func stopRun(s *stepRun, run heatherhub.RunID) {
	if !s.spec.Gang {
		return
	}
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			if a.run == run && a.stop == noStop {
				a.stop = stopPending
			}
		}
	}
}

// recordRefusal records a refusal that has nothing to do with room. If several workers in a row have
// refused a task, it is the task: the worker gets others, and the task waits between its starts.
func (e *Engine) recordRefusal(now Moment, a *attempt, result Outcome) {
	t := a.task
	t.refusals++
	if t.refusals < maxRefusals {
		if result == RefusedUnhealthy {
			a.node.backoffUntil = now.Steady + e.cfg.RefusalBackoff
		}
		return
	}
	t.notBefore = now.Steady + min(e.cfg.RetryDelay<<min(t.refusals-maxRefusals, maxRefusals), maxRefusalDelay)
}

// Limits of repeated refusals of one task.
const (
	// maxRefusals is the number of refusals in a row from which on the task is at fault.
	maxRefusals = 3
	// maxRefusalDelay is the longest time between two starts of such a task. A task may not wait
	// for three seconds while a worker has room for it.
	maxRefusalDelay = time.Second
)

func handleStopResult(now Moment, a *attempt, result Outcome) {
	switch result {
	case Confirmed, Refused, RefusedInvalid:
		// The agent refuses a stop if it has no such run and the run number is not
		// above an ended one. Such a run cannot start any more either.
		a.stop, a.stopSince = stopConfirmed, now.Steady
	default:
		a.stop, a.stopSince = stopPending, now.Steady
	}
}

// NextWake returns the longest time until Decide has to be called again if no event
// arrives.
func (e *Engine) NextWake() time.Duration {
	return e.cfg.Tick
}
