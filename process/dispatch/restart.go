package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// A worker that starts again runs nothing of before. A start that was sent to a former incarnation,
// and that this one did not list, may still be carried out; see openStart. Of the runs of a previous
// owner it is not known which of them were listed, so they wait until an incarnation has listed its
// runs in the answer to a poll with a higher token.

// WorkerRestarted records that another incarnation of a worker has answered, and drops the
// former one. Runs that the former one has listed are over, and starts that it has not listed are
// open. Runs of a previous owner there stay unresolved until WorkerUp has the report of another
// incarnation under a higher token, until WorkerGone tells that the worker was replaced, or until the
// given time.
func (e *Engine) WorkerRestarted(now Moment, id heatherhub.WorkerID, until time.Duration) {
	if u, ok := e.unresolved[id]; ok {
		u.until = until
		e.unresolved[id] = u
	}
	n := e.nodes[id]
	e.unrefuseAll(id.Name(), now.Steady)
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
		switch {
		case a.isKnownTaken() && hasIncarnation:
			e.endLostRun(now, a, "worker restarted")
		case hasIncarnation:
			e.endUnlisted(now, a, now.Steady, "worker restarted")
		default:
			// The runs may go on under the ID that the worker states now.
			e.unrefuse(e.keepOpen(a, e.sentBy(now, a)), now.Steady)
			e.endLostRun(now, a, "worker restarted")
		}
	}
}

// endUnlisted ends an attempt that a lost incarnation has not listed. Its start stays open. The last
// call that may extend a lease there was sent by sentBy.
func (e *Engine) endUnlisted(now Moment, a *attempt, sentBy time.Duration, reason string) {
	if mayBeOpen(a) {
		e.unrefuse(e.keepOpen(a, e.sentBy(now, a)), sentBy)
	}
	e.endLostRun(now, a, reason)
}

// sentBy returns a time by which the start of an attempt was sent. A call that was answered is not
// carried out again, but another incarnation may have answered it.
func (e *Engine) sentBy(now Moment, a *attempt) time.Duration {
	switch a.state {
	case running:
		return now.Steady - e.cfg.LateCallTime
	case unconfirmed:
		return a.stateSince
	default:
		return now.Steady
	}
}

// AwaitsNextIncarnation reports whether a run of a previous owner, or a start of which a next owner
// would not know, may have reached the next incarnation of a worker, which has not reported.
func (e *Engine) AwaitsNextIncarnation(id heatherhub.WorkerID) bool {
	_, isUnresolved := e.unresolved[id]
	return isUnresolved || e.hasUnrecorded(id.Name())
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
func (e *Engine) endRestarted(name heatherhub.WorkerName) {
	for id, u := range e.unresolved {
		if u.until > 0 && id.Name() == name {
			e.resolve(id)
		}
	}
}

// expireRestarted ends the wait for incarnations that have not reported in time.
func (e *Engine) expireRestarted(now Moment) {
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
	if a.state == unconfirmed && !mayBeOpen(a) {
		e.recordTaskEvent(EventUnansweredStartOver, a, reason)
	}
	if a.state != running {
		a.task.step.occ.job.mayHaveBegun = true
	}
	e.release(a)
	e.requeue(now, a)
}
