package dispatch

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
)

// WorkerUp adds a worker with its first report after it accepted this owner's token. Runs that
// it lists are adopted. If former incarnations of the worker were known, the token was higher
// than that of all orders to them.
func (e *Engine) WorkerUp(now Moment, w agent.Worker, r *agent.Report) {
	if e.nodes[w.ID] == nil {
		n := &node{worker: w, attempts: make(map[attemptKey]*attempt), unaccounted: make(map[attemptKey]struct{})}
		if e.watchedSince == 0 {
			e.watchedSince = now.Steady
		}
		e.addNode(n)
		e.resolveLapsed(now, addressOf(&w), w.ID)
	}
	e.Report(now, now.Steady-maxFirstPollTime, w.ID, r)
}

// maxFirstPollTime is the longest time that the first poll of a worker takes, which does not wait.
const maxFirstPollTime = time.Second

// MaxOrderAge is how long after it was decided an order may be sent.
const MaxOrderAge = time.Second

// lastSentTo returns the latest time at which a call that renews leases may have been sent to a lost
// worker. Orders that were queued when contact was lost are sent within MaxOrderAge.
func (n *node) lastSentTo(now time.Duration) time.Duration {
	return min(n.lostAt(now)+MaxOrderAge, now)
}

// UpdateWorker replaces the entry of a known worker.
func (e *Engine) UpdateWorker(w agent.Worker) {
	if n := e.nodes[w.ID]; n != nil {
		n.worker = w
		n.isEvacuated = e.evacuated.Has(w.Domain)
		e.largestCPU = max(e.largestCPU, w.Capacity.CPU)
	}
}

// WorkerUnresponsive records that a call to a worker got no reply. It gets no new tasks
// until its next report.
func (e *Engine) WorkerUnresponsive(now Moment, id heatherhub.WorkerID) {
	if n := e.nodes[id]; n != nil {
		n.markUnresponsive(now.Steady)
	}
}

// markUnresponsive records that a call to the worker got no reply.
func (n *node) markUnresponsive(now time.Duration) {
	if !n.isUnresponsive {
		n.isUnresponsive, n.silentSince = true, now
	}
}

// lostAt returns the steady time at which contact with a lost worker ended.
func (n *node) lostAt(now time.Duration) time.Duration {
	if n.isUnresponsive {
		return n.silentSince
	}
	return now
}

// WorkerGone removes a worker on which certainly nothing runs any more. Its tasks become pending
// again. isReplaced says that another worker has its address; otherwise its lease has expired, or
// it has drained.
func (e *Engine) WorkerGone(now Moment, id heatherhub.WorkerID, isReplaced bool) {
	e.removeWorker(now, &agent.Worker{ID: id}, isReplaced)
}

// WorkerReplaced is WorkerGone for a worker at whose address another one answers. The address counts for a worker that this
// owner has not reached.
func (e *Engine) WorkerReplaced(now Moment, id heatherhub.WorkerID, address string) {
	e.removeWorker(now, &agent.Worker{ID: id, Address: address}, true)
}

// removeWorker is WorkerGone for a worker with an entry.
func (e *Engine) removeWorker(now Moment, w *agent.Worker, isReplaced bool) {
	id := w.ID
	if _, isUnresolved := e.unresolved[id]; isUnresolved && !isReplaced {
		e.hasLostUnresolved = true
	}
	e.resolve(id)
	if isReplaced {
		e.endRestarted(id)
	}
	n := e.nodes[id]
	if n == nil {
		if isReplaced {
			e.applyFinding(now, e.open[id.Name()], finding{evidence: startReplaced, address: addressOf(w)})
			e.resolveReplaced(now, id)
		}
		e.recordInheritedCrash(now, id, departure(isReplaced))
		return
	}
	lostAt := n.lastSentTo(now.Steady)
	e.unrefuseAll(id.Name(), lostAt)
	if isReplaced {
		e.applyFinding(now, e.open[id.Name()], finding{evidence: startReplaced, address: addressOf(&n.worker)})
	}
	e.dropNode(n)
	if !n.isLeaving {
		e.recordCrash(now, n, departure(isReplaced))
	}
	end := lifeEnded
	if isReplaced {
		end = addressTaken
	}
	for _, a := range n.attemptsByRun() {
		if !isReplaced {
			a.task.step.occ.job.mayBeReported = true
		}
		e.leaveOpen(now, a, end, lostAt)
		e.endLostRun(now, a, "worker gone")
	}
}

// attemptsByRun returns the attempts ordered by run number, and those of a gang by task. A new slice
// is built after each change, so callers may add and remove attempts while iterating.
func (n *node) attemptsByRun() []*attempt {
	if n.cachedByRun != nil {
		return n.cachedByRun
	}
	out := make([]*attempt, 0, len(n.attempts))
	for _, a := range n.attempts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.run, b.run), cmp.Compare(a.task.index, b.task.index))
	})
	n.cachedByRun = out
	return out
}

// Report applies a worker's report, the reply to a poll that was sent at sentAt.
func (e *Engine) Report(now Moment, sentAt time.Duration, id heatherhub.WorkerID, r *agent.Report) {
	n := e.nodes[id]
	if n == nil {
		return
	}
	n.isUnresponsive, n.hasListedAll, n.reportSentAt = false, r.IsComplete(), sentAt
	if n.hasListedAll {
		clear(n.unaccounted)
	}
	listed := make(map[attemptKey]struct{}, len(r.Running))
	for i := range r.Running {
		run := &r.Running[i]
		key := attemptKey{run.Task, run.Run}
		listed[key] = struct{}{}
		e.handleRunning(now, n, key, run)
	}
	// The order of the list is not specified, and ends are acknowledged by their highest number.
	slices.SortStableFunc(r.Ended, func(a, b agent.Ended) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for i := range r.Ended {
		if r.Ended[i].Sequence > n.lastEnd {
			e.handleEnded(now, n, &r.Ended[i])
		}
	}
	n.advanceAcknowledged()
	if n.hasListedAll {
		e.resolve(id)
		e.resolveRestarted(id)
		e.reconcileUnlisted(now, sentAt, n, listed)
		e.settleOpen(now, sentAt, n)
	}
	e.updateInterference(now.Steady, n)
	e.throttleFillers(now, n)
}

func (e *Engine) handleRunning(now Moment, n *node, key attemptKey, r *agent.Running) {
	a := n.attempts[key]
	if a == nil {
		e.adopt(now, n, r)
		return
	}
	e.forgetTaken(now, a)
	a.isListed, a.listedAt = true, now.Steady
	e.proveIfDue(now, a)
	if a.state != running {
		// The run may be of an earlier copy of the start than the last one.
		a.lastUnanswered = e.sentBy(now, a)
		e.confirm(now, a)
	}
	if r.Progress != a.progress || a.progressAt == 0 {
		a.progress, a.progressAt = r.Progress, now.Steady
	}
	a.noteCheckpoint(r.Checkpoint)
	a.measure, a.hasMeasure = r.Measurement, r.HasMeasurement
	e.updateSpeed(now, n, a)
}

// adopt takes over a run that a previous owner started. The run is stopped if its job
// is over, or if its task is done, belongs to another shard, or has another attempt and
// is not speculative.
func (e *Engine) adopt(now Moment, n *node, r *agent.Running) {
	key := attemptKey{r.Task, r.Run}
	t := e.findTask(r.Task)
	if t == nil {
		n.unaccounted[key] = struct{}{}
		e.recordUnknownRun(n, r)
		return
	}
	delete(n.unaccounted, key)
	e.applyFinding(now, t.open, finding{evidence: startListed, run: r.Run})
	e.withdrawLoss(t, n.worker.ID, r.Run)
	a := &attempt{
		task: t, node: n, run: r.Run, state: running, isListed: true, stateSince: now.Steady, startedAt: now.Steady,
		progress: r.Progress, progressAt: now.Steady, checkpoint: r.Checkpoint, speedLimit: fullSpeed,
		measure: r.Measurement, hasMeasure: r.HasMeasurement, isIsolated: t.needsIsolation(),
	}
	t.saved().add(savedWork{ref: r.Checkpoint, run: r.Run, progress: r.Progress}, "")
	a.isSpeedLimitUnknown = t.step.spec.Filler && r.Measurement < inheritedSpeed*float64(t.step.spec.Need.CPU)
	e.nextRun = max(e.nextRun, r.Run)
	j := t.step.occ.job
	if t.isDone || t.isRemote || j.isOver() || (len(t.attempts) > 0 && !t.step.spec.Speculative) {
		a.stop = stopPending
	}
	if a.stop == stopPending && !j.isOver() {
		e.recordTaskEvent(EventSecondRunFound, a, secondRunReason(t))
	}
	e.attach(a)
	j.begin()
}

// secondRunReason tells why a run that a worker lists is not wanted.
func secondRunReason(t *task) string {
	switch {
	case t.isDone:
		return "task done"
	case t.isRemote:
		return "task in another shard"
	default:
		return "task runs on " + string(t.attempts[0].node.worker.ID)
	}
}

// findTask returns a task of a job that this shard knows, or nil.
func (e *Engine) findTask(id heatherhub.StepTask) *task {
	j := e.jobs[id.Job]
	if j == nil {
		return nil
	}
	if j.isOver() && j.occurrences == nil {
		// Runs of a finished job hold resources until they are stopped, so its tasks
		// are recreated.
		for k := range j.workflow.Occurrences() {
			j.occurrences = append(j.occurrences, e.newOccurrence(j, k))
		}
	}
	if id.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// attach reserves the worker's resources for an attempt and removes its task from the
// pending ones.
func (e *Engine) attach(a *attempt) {
	t := a.task
	t.attempts = append(t.attempts, a)
	t.step.occ.job.openAttempts++
	if a.state == sent {
		e.pendingStarts++
	}
	a.isMeasurable = a.state == sent && a.checkpoint == ""
	t.step.removePending(t)
	a.node.addAttempt(a)
}

// release frees the resources of an attempt that is over.
func (e *Engine) release(a *attempt) {
	if a.state == sent {
		e.pendingStarts--
	}
	a.node.removeAttempt(a)
	if a.moveTo != nil {
		a.moveTo.promised = a.moveTo.promised.Sub(a.task.step.need)
	}
	t := a.task
	t.attempts = slices.DeleteFunc(t.attempts, func(o *attempt) bool { return o == a })
	t.step.occ.job.openAttempts--
	e.forgetUnanswered(t, a.run)
}

// handleEnded processes one ended run that a worker reports for the first time.
func (e *Engine) handleEnded(now Moment, n *node, end *agent.Ended) {
	n.lastEnd = end.Sequence
	ack := &pendingAck{sequence: end.Sequence, task: end.Task}
	n.pendingAcks = append(n.pendingAcks, ack)
	if j := e.jobs[end.Task.Job]; j == nil || j.isMoving {
		// The end of a run of a moving job counts once it is known whose job it is.
		e.recordUnknownEnd(n, end, ack)
		return
	}
	e.processEnd(now, n, end, ack)
}

// processEnd applies the end of a run of a known job.
func (e *Engine) processEnd(now Moment, n *node, end *agent.Ended, ack *pendingAck) {
	a := n.attempts[attemptKey{end.Task, end.Run}]
	t := e.findTask(end.Task)
	if a != nil {
		t = a.task
		if end.Kind == agent.EndDone {
			e.learnRunTime(now, a)
		}
		if end.Kind != agent.EndDone {
			e.recordTaskEvent(EventRunEnded, a, string(end.Kind))
		} else {
			e.measureLocation(now, a)
		}
		a.recordRefusedNumber()
		e.leaveOpen(now, a, runEndedByLife, 0)
		e.release(a)
	}
	if t != nil {
		e.noteLastCheckpoint(n, t, a, end)
		if a == nil {
			e.applyFinding(now, t.open, finding{evidence: startListed, run: end.Run})
		}
		e.withdrawLoss(t, n.worker.ID, end.Run)
		if end.Kind == agent.EndDone || end.Kind == agent.EndFailed {
			e.clearCrashes(t, end.Run)
		}
		t.step.occ.job.begin()
		e.applyEnd(now, n, t, a, end)
		// The end may be that of the open start for which a job with nothing left to do has waited.
		e.finishIfDone(now, t.step.occ.job)
		e.holdAnnounced(t, end.Run, ack)
	}
	ack.job = e.jobs[end.Task.Job]
	ack.change = ack.job.changed
}

func (e *Engine) applyEnd(now Moment, n *node, t *task, a *attempt, end *agent.Ended) {
	switch end.Kind {
	case agent.EndDone:
		e.Stats.Done++
		n.health.recordSuccess()
		e.completeTask(now, t)
	case agent.EndFailed:
		e.Stats.Failed++
		e.failTask(now, n, t, end.Run)
	case agent.EndExpired:
		e.Stats.Expired++
	default:
		e.Stats.Stopped++
	}
	if a != nil {
		e.requeue(now, a)
	}
}

// completeTask marks a task as done. When one task of a gang is done, the whole gang
// is.
func (e *Engine) completeTask(now Moment, t *task) {
	if t.step.spec.LongRunning || t.isDone {
		return
	}
	done := []*task{t}
	if t.step.spec.Gang {
		done = t.step.tasks
	}
	s, o, j := t.step, t.step.occ, t.step.occ.job
	for _, d := range done {
		if d.isDone {
			continue
		}
		d.isDone = true
		s.undone--
		j.undoneTasks--
		j.progress.setDone(o.index, d.flatIndex())
		if d.stalls > 0 {
			j.progress.Stalls = slices.DeleteFunc(j.progress.Stalls, isStallOf(d))
		}
		s.removePending(d)
		for _, other := range d.attempts {
			if other.stop == noStop && !s.spec.Gang {
				other.stop = stopPending
			}
		}
	}
	e.markChanged(j)
	if s.undone > 0 || j.isOver() {
		return
	}
	for _, later := range o.steps[s.index+1:] {
		if slices.Contains(later.spec.After, s.index) {
			later.blockers--
		}
	}
	e.enqueueReady(now, o)
	e.finishIfDone(now, j)
}

// failTask records a failure of a task and fails its job once MaxAttempts is reached. A batch
// task may start again at once: a wide job nearly always has a task that fails, and waits for
// it. Failures of long-running tasks do not count towards the limit, so these wait for
// RetryDelay.
func (e *Engine) failTask(now Moment, n *node, t *task, run heatherhub.RunID) {
	j := t.step.occ.job
	if n.health.recordFailure(now.Steady, j.workflow.ID) {
		e.recordEvent(EventRecord{Event: EventWorkerQuarantined, Worker: n.worker.ID, Job: j.workflow.ID, Count: quarantineAfter, Slack: quarantineTime})
	}
	t.avoid(n.worker.ID, now.Steady)
	if t.step.spec.LongRunning {
		t.notBefore = now.Steady + e.cfg.RetryDelay
		return
	}
	if t.isDone || !t.recordFailedRun(run) {
		return
	}
	j.progress.Failed = append(j.progress.Failed, FailedRun{Occurrence: t.step.occ.index, Task: t.flatIndex(), Run: run})
	e.markChanged(j)
	if limit := j.policy.MaxAttempts; limit > 0 && t.failures() >= limit && !j.isOver() {
		e.endJob(now, j, heatherhub.WorkflowFailed)
	}
}

// requeue makes the task of an ended attempt pending again, unless it is done or has
// another attempt.
func (e *Engine) requeue(now Moment, a *attempt) {
	t := a.task
	e.finishIfDone(now, t.step.occ.job)
	if t.isDone || t.step.occ.job.isOver() || len(t.attempts) > 0 {
		return
	}
	t.step.addPending(t)
	e.enqueueReady(now, t.step.occ)
	if a.moveTo != nil {
		e.moved = append(e.moved, move{task: t, to: a.moveTo})
	}
}

// reconcileUnlisted handles attempts that a complete report does not list. It ignores attempts
// that changed state after the poll was sent, since the report need not include them
// yet.
func (e *Engine) reconcileUnlisted(now Moment, sentAt time.Duration, n *node, listed map[attemptKey]struct{}) {
	for _, a := range n.attemptsByRun() {
		if _, ok := listed[attemptKey{a.task.id(), a.run}]; ok {
			continue
		}
		switch {
		case a.state == sent:
			// Its call has no answer yet, and the next incarnation knows of no stop.
		case a.stop == stopConfirmed && sentAt > a.stopSince:
			// The agent confirmed the stop and lists no run: the start never arrived,
			// or will be refused if it arrives later.
			a.recordRefusedNumber()
			end := runEndedByLife
			if a.state == unconfirmed {
				end = startRefusedByLife
			}
			e.leaveOpen(now, a, end, 0)
			e.release(a)
			e.requeue(now, a)
		case a.state == unconfirmed && sentAt > a.stateSince && a.stop == noStop && a.isRepeatable(now.Steady):
			if e.mayRepeat(now.Steady, a) {
				e.repeatStart(now, a)
			}
		case a.state == unconfirmed && sentAt > a.stateSince && a.stop == noStop:
			a.stop = stopPending
		case a.state == running && sentAt > a.stateSince && a.stop == noStop:
			e.Stats.Lost++
			a.stop = stopPending
		}
	}
}
