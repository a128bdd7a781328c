package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// A worker that starts again runs nothing of before and has forgotten which starts it had to
// refuse. So a start that was sent to the former incarnation, and that this one did not list, may
// still be carried out by the next one, also seconds later. Its task waits until the next
// incarnation has listed its runs in the answer to a poll with a higher token: from then on it
// refuses the orders that were meant for the former one.

// restartedWorker is a worker that has started again and whose next incarnation has not reported.
type restartedWorker struct {
	// attempts may have reached the next incarnation.
	attempts []*attempt
	// until is the steady time at which the next incarnation is no longer waited for.
	until time.Duration
}

// WorkerRestarted records that another incarnation of a worker has answered, and drops the
// former one. Runs that the former one has listed are over. Starts that it has not listed, and
// runs of a previous owner there, stay open until WorkerUp has the report of another incarnation
// under a higher token, until WorkerGone tells that the worker was replaced, or until the given time.
func (e *Engine) WorkerRestarted(now Moment, id heatherhub.WorkerID, until time.Duration) {
	name := id.Name()
	if u, ok := e.unresolved[id]; ok {
		u.until = until
		e.unresolved[id] = u
	}
	n := e.nodes[id]
	if n == nil {
		e.resolveReplaced(now, id)
		e.recordInheritedCrash(now, id, crashed)
		return
	}
	e.dropNode(n)
	if !n.isLeaving {
		e.recordCrash(now, n, crashed)
	}
	_, hasIncarnation := id.Incarnation()
	for _, a := range n.attemptsByRun() {
		// Without an incarnation the runs may go on under the ID that the worker states now.
		if a.isListed && hasIncarnation {
			e.endLostRun(now, a, "worker restarted")
			continue
		}
		e.awaitNextIncarnation(now, name, a, until)
	}
}

// awaitNextIncarnation keeps an attempt open on a worker that has started again.
func (e *Engine) awaitNextIncarnation(now Moment, name heatherhub.WorkerName, a *attempt, until time.Duration) {
	if a.state == sent {
		e.setState(now, a, unconfirmed)
	}
	r := e.restarted[name]
	if r == nil {
		r = &restartedWorker{}
		e.restarted[name] = r
	}
	r.attempts = append(r.attempts, a)
	r.until = max(r.until, until)
}

// AwaitsNextIncarnation reports whether a start, or a run of a previous owner, may have reached
// the next incarnation of a worker, which has not reported.
func (e *Engine) AwaitsNextIncarnation(id heatherhub.WorkerID) bool {
	_, isUnresolved := e.unresolved[id]
	return isUnresolved || e.restarted[id.Name()] != nil
}

// attachRestarted moves the open attempts of a worker's former incarnations to the present one.
// Its first whole report tells which of them are there.
func (e *Engine) attachRestarted(now Moment, n *node) {
	name := n.worker.ID.Name()
	r := e.restarted[name]
	if r == nil {
		return
	}
	delete(e.restarted, name)
	for _, a := range r.attempts {
		a.node.removeAttempt(a)
		a.node, a.isListed, a.isStray = n, false, true
		a.stopSince, a.progressAt, a.hasMeasure = 0, 0, false
		a.startedAt, a.isProven = now.Steady, false
		a.speedLimit, a.isSpeedLimitUnknown = fullSpeed, a.task.step.spec.Filler
		if a.stop != noStop {
			a.stop = stopPending
		}
		n.addAttempt(a)
	}
}

// resolveRestarted records that the present incarnation of a worker has listed its runs: none of
// a previous owner is left on the former ones.
func (e *Engine) resolveRestarted(id heatherhub.WorkerID) {
	for other := range e.unresolved {
		if other != id && other.Name() == id.Name() {
			e.resolve(other)
		}
	}
}

// endRestarted records that another worker answers in place of one with a name. If that one has
// started again before, no incarnation of it follows: what may run there is over, and the other
// worker refuses starts that are still under way.
func (e *Engine) endRestarted(now Moment, name heatherhub.WorkerName) {
	e.endAwaited(now, name)
	for id, u := range e.unresolved {
		if u.until > 0 && id.Name() == name {
			e.resolve(id)
		}
	}
}

// endAwaited ends the attempts that wait for the next incarnation of a worker.
func (e *Engine) endAwaited(now Moment, name heatherhub.WorkerName) {
	r := e.restarted[name]
	if r == nil {
		return
	}
	delete(e.restarted, name)
	for _, a := range r.attempts {
		e.endLostRun(now, a, "worker restarted")
	}
}

// expireRestarted ends the wait for incarnations that have not reported in time.
func (e *Engine) expireRestarted(now Moment) {
	for name, r := range e.restarted {
		if now.Steady >= r.until {
			e.endAwaited(now, name)
		}
	}
	for id, u := range e.unresolved {
		if u.until > 0 && now.Steady >= u.until {
			e.resolve(id)
		}
	}
}

// endLostRun ends an attempt whose end the worker cannot report. Its task becomes pending again.
func (e *Engine) endLostRun(now Moment, a *attempt, reason string) {
	e.Stats.Lost++
	e.recordLostRun(now, a, reason)
	if a.state == unconfirmed {
		e.recordTaskEvent(EventUnansweredStartOver, a, reason)
	}
	if a.state != running {
		a.task.step.occ.job.mayHaveBegun = true
	}
	e.release(a)
	e.requeue(now, a)
}
