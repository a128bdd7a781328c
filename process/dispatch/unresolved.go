package dispatch

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// A takeover often meets workers that have left shortly before: a fleet is renewed worker by
// worker, or a failure domain is lost with its owner. Until such a worker has answered or its
// leases are over, tasks that the previous owner may have started there wait. If the worker
// was closed, the fleet lists what may run on it, and all other tasks start at once.
// Leases that a worker has granted may be longer than those that an owner asks for, if another
// incarnation than the known one was asked. Long-running tasks, which may not be down for as long
// beside room, wait for those that were asked for.

// unresolvedWorker is a worker on which runs of a previous owner may still be active.
type unresolvedWorker struct {
	// isClosed means that only tasks may run there.
	isClosed bool
	tasks    []heatherhub.StepTask
	// isLongRunningOver means that no long-running task runs there any more.
	isLongRunningOver bool
	// until is the steady time at which the worker is no longer waited for, if it has started
	// again; otherwise zero. next is the incarnation that has answered last in its place.
	until time.Duration
	next  heatherhub.WorkerID
}

// heldBack is what may run on unresolved workers.
type heldBack struct {
	// open is the number of workers that may run any task.
	open int
	// tasks are the only ones that may run on the others.
	tasks map[heatherhub.StepTask]struct{}
}

// MarkUnresolved marks a worker on which runs of a previous owner may still be active. Tasks
// that such an owner may have started wait until all marked workers have reported or are
// gone.
func (e *Engine) MarkUnresolved(id heatherhub.WorkerID) {
	e.unresolved[id] = unresolvedWorker{}
	e.updateHeldBack()
}

// MarkUnresolvedClosed is MarkUnresolved for a worker on which only the given tasks may
// run.
func (e *Engine) MarkUnresolvedClosed(id heatherhub.WorkerID, tasks []heatherhub.StepTask) {
	e.unresolved[id] = unresolvedWorker{isClosed: true, tasks: tasks}
	e.updateHeldBack()
}

// NarrowUnresolved records that only the given tasks may run on a marked worker, if it is still
// unresolved.
func (e *Engine) NarrowUnresolved(id heatherhub.WorkerID, tasks []heatherhub.StepTask) {
	if u, ok := e.unresolved[id]; ok {
		u.isClosed, u.tasks = true, tasks
		e.unresolved[id] = u
		e.updateHeldBack()
	}
}

// ResolveLongRunning records that no long-running task runs on a marked worker any more. hasLeft says that it has announced
// that it leaves; see WorkerLeft.
func (e *Engine) ResolveLongRunning(now Moment, id heatherhub.WorkerID, hasLeft bool) {
	if hasLeft {
		e.applyFinding(now, e.open[id.Name()], finding{evidence: startLeft, life: id, isLongRunningOnly: true})
	}
	if u, ok := e.unresolved[id]; ok {
		u.isLongRunningOver, e.hasLostUnresolved = true, true
		e.unresolved[id] = u
		e.updateHeldBack()
	}
}

// HasUnresolved reports whether any marked worker has neither reported nor gone.
func (e *Engine) HasUnresolved() bool {
	return len(e.unresolved) > 0
}

// HeldBack returns the marked workers, how many of them may run any task, and the number of
// single tasks that wait for the others.
func (e *Engine) HeldBack() (workers, open, tasks int) {
	return len(e.unresolved), e.heldBack.open, len(e.heldBack.tasks)
}

// resolve records that it is known what runs on a worker.
func (e *Engine) resolve(id heatherhub.WorkerID) {
	if _, ok := e.unresolved[id]; ok {
		delete(e.unresolved, id)
		e.updateHeldBack()
	}
}

// updateHeldBack derives heldBack and heldBackLongRunning from the marked workers.
func (e *Engine) updateHeldBack() {
	e.heldBack = e.heldBackBy(func(unresolvedWorker) bool { return true })
	e.heldBackLongRunning = e.heldBackBy(func(u unresolvedWorker) bool { return !u.isLongRunningOver })
}

// heldBackBy returns what the marked workers that counts selects hold back.
func (e *Engine) heldBackBy(counts func(unresolvedWorker) bool) heldBack {
	h := heldBack{tasks: make(map[heatherhub.StepTask]struct{})}
	for _, u := range e.unresolved {
		if !counts(u) {
			continue
		}
		if !u.isClosed {
			h.open++
		}
		for _, t := range u.tasks {
			h.tasks[t] = struct{}{}
		}
	}
	return h
}

// heldBackOf returns what is held back of the tasks of a step.
func (e *Engine) heldBackOf(s *stepRun) *heldBack {
	if s.spec.LongRunning {
		return &e.heldBackLongRunning
	}
	return &e.heldBack
}

// mayRunUnresolved reports whether a task of a job may run on a marked worker.
func (e *Engine) mayRunUnresolved(t *task) bool {
	if !t.step.occ.job.isInherited || len(e.unresolved) == 0 {
		return false
	}
	h := e.heldBackOf(t.step)
	_, isHeldBack := h.tasks[t.id()]
	return h.open > 0 || isHeldBack
}

// isStartable reports whether a pending task may start at now, given a worker for it.
func (e *Engine) isStartable(now time.Duration, t *task) bool {
	return !e.isBarred(t) && e.isStartableButOpen(now, t)
}

// isStartableButOpen is isStartable without regard to open starts of the task.
func (e *Engine) isStartableButOpen(now time.Duration, t *task) bool {
	return !t.step.occ.job.isOver() && t.notBefore <= now && !t.isMoving && !e.mayRunUnresolved(t) && !t.awaitsCrashRecord()
}

// IsIdle reports whether no run is open on a worker, and all ends that it has reported are
// durable. It returns false for a worker that has not listed all of its ended runs.
func (e *Engine) IsIdle(id heatherhub.WorkerID) bool {
	n := e.nodes[id]
	return n != nil && n.hasListedAll && e.OpenRuns(id) == 0 && len(n.pendingAcks) == 0
}

// ClosedWorkerTasks returns the tasks that may run on a worker, or have ended there without that
// being durable. It reports false unless the worker leaves, so that no further task starts
// there, and has listed all of its ended runs.
func (e *Engine) ClosedWorkerTasks(id heatherhub.WorkerID) ([]heatherhub.StepTask, bool) {
	if n := e.nodes[id]; n == nil || !n.worker.Draining {
		return nil, false
	}
	return e.TasksOn(id)
}

// LostWorkerTasks returns the tasks that may run at a worker that is lost, or on its next incarnation. It reports false
// if any task of a previous owner may.
func (e *Engine) LostWorkerTasks(id heatherhub.WorkerID) ([]heatherhub.StepTask, bool) {
	u := e.unresolved[id]
	if _, ok := e.unresolved[id]; ok && !u.isClosed {
		return nil, false
	}
	out := slices.Clone(u.tasks)
	for _, o := range e.open[id.Name()] {
		out = append(out, o.task.id())
	}
	return out, true
}

// TasksOn returns the tasks that may run on a worker, or have ended there without that being
// durable, as long as no further start is sent. It reports false if the worker is not known or has not
// listed all of its ended runs.
func (e *Engine) TasksOn(id heatherhub.WorkerID) ([]heatherhub.StepTask, bool) {
	n := e.nodes[id]
	if n == nil || !n.hasListedAll {
		return nil, false
	}
	out := make([]heatherhub.StepTask, 0, len(n.attempts)+len(n.unaccounted)+len(n.pendingAcks))
	for _, a := range n.attemptsByRun() {
		out = append(out, a.task.id())
	}
	for key := range n.unaccounted {
		out = append(out, key.task)
	}
	for _, ack := range n.pendingAcks {
		out = append(out, ack.task)
	}
	return out, true
}
