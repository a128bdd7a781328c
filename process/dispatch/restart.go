package dispatch

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
)

// A worker that starts again runs nothing of before. A start that was sent to a former incarnation,
// and that this one did not list, may still be carried out; see openStart. Of the runs of a previous
// owner it is not known which of them were listed, so they wait until an incarnation has listed its
// runs in the answer to a poll with a higher token.

// WorkerRestarted records that the incarnation next of a worker has answered, and drops the
// former one. Both have the same ID if the worker states no incarnation. Runs that the former one has listed are over, and starts that it has not listed are
// open. Runs of a previous owner there stay unresolved until WorkerUp has the report of another
// incarnation under a higher token, until WorkerGone tells that the worker was replaced, or until the
// given time.
func (e *Engine) WorkerRestarted(now Moment, id, next heatherhub.WorkerID, until time.Duration) {
	if next == id {
		defer e.markRestarted(id.Name())
	}
	if u, ok := e.unresolved[id]; ok {
		u.until, u.next = until, next
		e.unresolved[id] = u
	}
	for former, u := range e.unresolved {
		if u.until > 0 && u.next == id {
			u.next = next
			e.unresolved[former] = u
		}
	}
	n := e.nodes[id]
	if n == nil {
		e.unrefuseAll(id.Name(), 0)
		e.resolveReplaced(now, id)
		e.recordInheritedCrash(now, id, crashed)
		return
	}
	lostAt := n.lastSentTo(now.Steady)
	e.unrefuseAll(id.Name(), lostAt)
	e.dropNode(n)
	if !n.isLeaving {
		e.recordCrash(now, n, crashed)
	}
	_, hasIncarnation := id.Incarnation()
	end := lifeEnded
	if !hasIncarnation && next != id {
		// The worker may have begun to state its start: its runs may go on under the ID that the worker states now.
		end, lostAt = lifeUnknown, now.Steady
	}
	for _, a := range n.attemptsByRun() {
		e.leaveOpen(now, a, end, lostAt)
		e.endLostRun(now, a, "worker restarted")
	}
}

// ListsTakenRun reports whether a report lists a run, or the end of one, that the known incarnation of a worker has taken, and
// that no other one can have.
func (e *Engine) ListsTakenRun(id heatherhub.WorkerID, r *agent.Report) bool {
	n := e.nodes[id]
	if n == nil {
		return false
	}
	isTaken := func(t heatherhub.StepTask, run heatherhub.RunID) bool {
		a := n.attempts[attemptKey{t, run}]
		return a != nil && a.isKnownTaken() && !e.hasOpenCopy(n.reportSentAt, a) && !slices.ContainsFunc(a.task.open, func(o *openStart) bool { return o.run == run })
	}
	return slices.ContainsFunc(r.Running, func(r agent.Running) bool { return isTaken(r.Task, r.Run) }) ||
		slices.ContainsFunc(r.Ended, func(r agent.Ended) bool { return isTaken(r.Task, r.Run) })
}

// sentBy returns a time by which the start of an attempt was sent. A call that was answered is not
// carried out again, but another incarnation may have answered it.
func (e *Engine) sentBy(now Moment, a *attempt) time.Duration {
	switch {
	case e.hasOpenCopy(now.Steady, a) && a.state == running:
		return a.lastUnanswered
	case a.state == running:
		return now.Steady - e.cfg.LateCallTime
	case a.state == unconfirmed:
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

// endRestarted records that another worker answers in place of the given incarnation. No other incarnation of the workers that it has
// followed comes after it there: what may run there is over, and the other worker refuses starts that are still under way.
func (e *Engine) endRestarted(id heatherhub.WorkerID) {
	for former, u := range e.unresolved {
		if u.until > 0 && u.next == id {
			e.resolve(former)
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
	if a.state != running {
		a.task.step.occ.job.mayHaveBegun = true
	}
	e.release(a)
	e.requeue(now, a)
}
