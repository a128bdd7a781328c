package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// A start without an answer may be carried out up to Config.LateCallTime after it was sent, by
// whichever incarnation of the worker is there then. An incarnation that has confirmed a stop of the
// run, or has accepted a higher token, refuses the start, but the next one knows of neither, and
// counts the lease from the arrival. So the start is open until
//   - an incarnation lists the run or its end,
//   - an incarnation does not list it in the answer to a poll that was sent once the start could no
//     longer be carried out,
//   - another worker answers at the address,
//   - the worker is gone after it had announced that it leaves, or
//   - the longest lease of a run that began at the last moment has expired.
//
// Until then its task waits. A task that ends by itself may start nowhere, since a second run could
// end before the open start is carried out. The start of a long-running task is repeated under the same
// number, and once an incarnation refuses it, the task may start again there, unless the repetitions were in
// vain: if the open start is carried out later, the incarnation has ended, and the second run with it. If
// that incarnation has announced that it leaves, none follows under its ID, and the task may start
// elsewhere. Workers without an incarnation have another ID after each restart, so they have no open starts.

// openStart is a start without an answer that may still be carried out.
type openStart struct {
	task *task
	run  heatherhub.RunID
	// worker is the incarnation to which the start was sent, and address where.
	worker  heatherhub.WorkerID
	address string
	// sentBy is a steady time by which the start was sent.
	sentBy time.Duration
	// recordedBy is the change of its job's progress that has the start.
	recordedBy uint64
	// isRepeated means that the start was sent more than once, so a listed run does not use it up.
	isRepeated bool
	// isInherited means that a previous owner has sent the start. It may have extended leases for as
	// long as it acted.
	isInherited bool
	// isInVain means that the worker has left the start and its repetitions without an answer for long.
	isInVain bool
	// refusedBy is the incarnation that is known to refuse the start, or empty.
	refusedBy heatherhub.WorkerID
	// stoppedOn is the last incarnation that refuses the number of the run, whoever sends it: it has stopped or
	// ended the run.
	stoppedOn heatherhub.WorkerID
	// expiresAt is the steady time by which a run that the start has begun is over. It is used
	// while refusedBy is empty.
	expiresAt time.Duration
}

// mayStartElsewhere reports whether a task with open starts may start on any worker.
func (e *Engine) mayStartElsewhere(t *task) bool {
	if !t.step.spec.LongRunning || t.step.spec.Gang {
		return false
	}
	return !slices.ContainsFunc(t.open, func(o *openStart) bool {
		n := e.nodes[o.refusedBy]
		return n == nil || !n.isLeaving
	})
}

// isDeliverable reports whether the start may be carried out at now.
func (e *Engine) isDeliverable(now time.Duration, o *openStart) bool {
	return now < o.sentBy+e.cfg.LateCallTime
}

// LastDelivery returns the earliest steady time from which on an open start to a worker can no longer be carried
// out: a poll that is sent then settles it. It reports false if no start to the worker is open.
func (e *Engine) LastDelivery(id heatherhub.WorkerID) (time.Duration, bool) {
	open := e.open[id.Name()]
	if len(open) == 0 {
		return 0, false
	}
	first := slices.MinFunc(open, func(a, b *openStart) int { return cmp.Compare(a.sentBy, b.sentBy) })
	return first.sentBy + e.cfg.LateCallTime, true
}

// mayBeOpen reports whether the start of an attempt that is not listed may be carried out later by
// another incarnation of its worker.
func mayBeOpen(a *attempt) bool {
	_, hasIncarnation := a.node.worker.ID.Incarnation()
	return hasIncarnation
}

// keepOpen adds the open start of an attempt that is released next.
func (e *Engine) keepOpen(now Moment, a *attempt, sentBy time.Duration) *openStart {
	w := &a.node.worker
	o := &openStart{task: a.task, run: a.run, worker: w.ID, address: addressOf(w), sentBy: sentBy, isRepeated: a.openCopies() > 1}
	o.isInVain = a.state == unconfirmed && now.Steady-a.orderedAt >= maxRepeatTime
	e.addOpen(o)
	e.recordUnanswered(now, a)
	o.recordedBy = o.task.step.occ.job.changed
	return o
}

func (e *Engine) addOpen(o *openStart) {
	name := o.worker.Name()
	e.open[name] = append(e.open[name], o)
	o.task.open = append(o.task.open, o)
	j := o.task.step.occ.job
	j.openAttempts++
	j.openStarts++
}

// recordUnanswered adds a start without an answer to the progress of its job, so that a next owner
// knows that it is open.
func (e *Engine) recordUnanswered(now Moment, a *attempt) {
	if !mayBeOpen(a) {
		return
	}
	t, j, w := a.task, a.task.step.occ.job, &a.node.worker
	if j.isOver() || slices.ContainsFunc(j.progress.Open, isRecordOf(t, a.run)) {
		return
	}
	j.progress.Open = append(j.progress.Open, OpenStart{
		Occurrence: t.step.occ.index, Task: t.flatIndex(), Run: a.run, Worker: w.ID, Address: addressOf(w), At: now.Wall,
		IsRepeated: a.repeats > 0,
	})
	e.markOpenChanged(j)
}

// StartIsSlow records that a start order has had no answer for a while. If the owner is replaced before
// the outcome is known, the next one has to know of the start.
func (e *Engine) StartIsSlow(now Moment, o Order) {
	n := e.nodes[o.Worker]
	if n == nil {
		return
	}
	if a := n.attempts[attemptKey{o.Task, o.Run}]; a != nil && a.state == sent {
		e.recordUnanswered(now, a)
	}
}

// StartAnswered records that the incarnation to which a start order was sent has itself confirmed it. That
// the order is confirmed does not say so: the next incarnation may have carried it out.
func (e *Engine) StartAnswered(o Order) {
	if n := e.nodes[o.Worker]; n != nil {
		if a := n.attempts[attemptKey{o.Task, o.Run}]; a != nil {
			a.isAnswered = true
		}
	}
}

// isKnownTaken reports whether the incarnation to which the start was sent has certainly taken it.
func (a *attempt) isKnownTaken() bool {
	return a.isListed || a.isAnswered
}

// RecordStartsUnderWay records the start orders that have no answer yet, for the owner that follows on a
// planned end of this one.
func (e *Engine) RecordStartsUnderWay(now Moment) {
	for _, n := range e.sortedNodes {
		for _, a := range n.attemptsByRun() {
			if a.state == sent {
				e.recordUnanswered(now, a)
			}
		}
	}
}

// forgetTaken is forgetUnanswered for a start of which the worker has taken one copy.
func (e *Engine) forgetTaken(now Moment, a *attempt) {
	if !e.hasOpenCopy(now.Steady, a) {
		e.forgetUnanswered(a.task, a.run)
	}
}

// forgetUnanswered takes a start that is no longer open out of the progress of its job.
func (e *Engine) forgetUnanswered(t *task, run heatherhub.RunID) {
	j := t.step.occ.job
	n := len(j.progress.Open)
	if n == 0 || j.isOver() || slices.ContainsFunc(t.open, func(o *openStart) bool { return o.run == run }) {
		return
	}
	if j.progress.Open = slices.DeleteFunc(j.progress.Open, isRecordOf(t, run)); len(j.progress.Open) < n {
		e.markOpenChanged(j)
	}
}

// TakeGuestStarts returns the starts without an answer of tasks whose jobs other shards own, in the order of the jobs, and
// a number that changes with them. The next owner of this shard has to know of them.
func (e *Engine) TakeGuestStarts() ([]GuestStart, uint64) {
	var out []GuestStart
	for id, j := range e.jobs {
		if j.isOwnedElsewhere {
			for _, o := range j.progress.Open {
				out = append(out, GuestStart{Job: id, Start: o})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b GuestStart) int { return cmp.Compare(a.Job, b.Job) })
	e.takenGuestStarts = e.guestStartChanges
	return out, e.guestStartChanges
}

// InheritGuestStarts takes over the open starts of guests that a previous owner has recorded. It is called before the
// jobs are added.
func (e *Engine) InheritGuestStarts(starts []GuestStart) {
	e.inheritedGuestStarts = make(map[heatherhub.JobID][]OpenStart)
	for _, s := range starts {
		e.inheritedGuestStarts[s.Job] = append(e.inheritedGuestStarts[s.Job], s.Start)
	}
}

func isRecordOf(t *task, run heatherhub.RunID) func(OpenStart) bool {
	return func(r OpenStart) bool {
		return r.Run == run && r.Occurrence == t.step.occ.index && r.Task == t.flatIndex()
	}
}

// maxWallClockError is how far the times of day of two hosts may be apart.
const maxWallClockError = 10 * time.Second

// restoreOpen adds the open starts that a previous owner has recorded. They were sent before this
// owner took over.
func (e *Engine) restoreOpen(now Moment, j *job) {
	recorded := j.progress.Open
	if j.isOwnedElsewhere {
		recorded = e.inheritedGuestStarts[j.workflow.ID]
		delete(e.inheritedGuestStarts, j.workflow.ID)
	}
	j.progress.Open = nil
	for _, r := range recorded {
		t := j.taskAt(r.Occurrence, r.Task)
		if t == nil || t.isRemote || t.isDone {
			continue
		}
		j.progress.Open = append(j.progress.Open, r)
		age := min(max(now.Wall.Sub(r.At)-maxWallClockError, 0), e.cfg.LateCallTime)
		if r.At.IsZero() {
			age = 0
		}
		o := &openStart{task: t, run: r.Run, worker: r.Worker, address: r.Address, sentBy: now.Steady - age, isRepeated: r.IsRepeated, isInherited: true}
		e.addOpen(o)
		e.unrefuse(o, o.sentBy)
	}
}

// unrefuse records that no incarnation is known to refuse an open start from now on. The last call
// that may extend a lease there was sent by sentBy.
func (e *Engine) unrefuse(o *openStart, sentBy time.Duration) {
	o.refusedBy = ""
	o.expiresAt = max(o.expiresAt, max(o.sentBy, sentBy)+e.cfg.LateCallTime+e.cfg.LongestLease)
}

// unrefuseAll is unrefuse for the open starts to a worker.
func (e *Engine) unrefuseAll(name heatherhub.WorkerName, sentBy time.Duration) {
	for _, o := range e.open[name] {
		e.unrefuse(o, sentBy)
	}
}

// closeListed ends the open start of a run that a worker has listed, if there is one.
func (e *Engine) closeListed(t *task, run heatherhub.RunID) {
	for _, o := range slices.Clone(t.open) {
		if o.run == run && !o.isRepeated {
			e.close(o)
		}
	}
}

// settleOpen applies a complete report, the answer to a poll that was sent at sentAt. Runs that it
// lists have been adopted.
func (e *Engine) settleOpen(now Moment, sentAt time.Duration, n *node) {
	for _, o := range slices.Clone(e.open[n.worker.ID.Name()]) {
		if e.isDeliverable(sentAt, o) {
			o.refusedBy = n.worker.ID
			continue
		}
		e.endOpen(now, o, "not carried out")
	}
}

// A start without an answer is repeated for maxRepeatTime, the first quickRepeats times with each report and
// then after repeatDelay. A worker that answers no start may answer polls.
const (
	maxRepeatTime = 10 * time.Second
	quickRepeats  = 5
	repeatDelay   = 500 * time.Millisecond
)

// isRepeatable reports whether a start without an answer is sent again rather than stopped. The run has the
// same number, so that an incarnation carries only one of the starts out. After a stop it would need another number,
// and if that start got no answer either, the next incarnation could carry both out.
func (a *attempt) isRepeatable(now time.Duration) bool {
	s := a.task.step
	return mayBeOpen(a) && s.spec.LongRunning && !s.spec.Gang && !s.occ.job.isOver() && now-a.orderedAt < maxRepeatTime && a.node.isInService()
}

// mayRepeat reports whether a repeatable start is sent again now.
func (e *Engine) mayRepeat(now time.Duration, a *attempt) bool {
	return (a.repeats < quickRepeats || now-a.stateSince >= repeatDelay) && !e.isRoomStale && !e.isAtStartLimit()
}

// repeatStart sends a start without an answer again.
func (e *Engine) repeatStart(now Moment, a *attempt) {
	a.repeats++
	a.lastUnanswered = a.stateSince
	a.state, a.stateSince, a.startedAt = sent, now.Steady, now.Steady
	e.pendingStarts++
	e.Stats.Starts++
	e.recordRepeated(now, a.task, a.run)
	e.orders = append(e.orders, Order{
		Worker: a.node.worker.ID, Kind: StartTask, Task: a.task.id(), Run: a.run,
		Payload: a.task.step.occ.job.workflow.Payload, Checkpoint: a.checkpoint,
	})
}

// recordRepeated records that an open start is sent again.
func (e *Engine) recordRepeated(now Moment, t *task, run heatherhub.RunID) {
	j := t.step.occ.job
	if at := slices.IndexFunc(j.progress.Open, isRecordOf(t, run)); at >= 0 && !j.isOver() {
		j.progress.Open[at].IsRepeated, j.progress.Open[at].At = true, now.Wall
		e.markOpenChanged(j)
	}
}

// openCopies returns how many of the starts of the attempt may not have been carried out.
func (a *attempt) openCopies() int {
	if a.state == running {
		return a.repeats
	}
	return a.repeats + 1
}

// hasOpenCopy reports whether a start of the attempt that was repeated may still be carried out.
func (e *Engine) hasOpenCopy(now time.Duration, a *attempt) bool {
	return a.repeats > 0 && now < a.lastUnanswered+e.cfg.LateCallTime
}

// keepOpenCopy keeps the open start of an attempt that has ended on an incarnation, which refuses it.
func (e *Engine) keepOpenCopy(now Moment, a *attempt) {
	if e.hasOpenCopy(now.Steady, a) {
		e.keepOpen(now, a, a.lastUnanswered).refuse(a.node.worker.ID)
	}
}

// recordRefusedStart records that the incarnation to which a start without an answer was sent refuses
// it. The attempt is released next.
func (e *Engine) recordRefusedStart(now Moment, a *attempt) {
	if !mayBeOpen(a) {
		e.recordTaskEvent(EventUnansweredStartOver, a, "refused")
		return
	}
	e.keepOpen(now, a, e.sentBy(now, a)).refuse(a.node.worker.ID)
}

// refuse records that an incarnation has stopped or ended the run.
func (o *openStart) refuse(id heatherhub.WorkerID) {
	o.refusedBy, o.stoppedOn = id, id
}

// recordRefusedNumber records that the incarnation has stopped or ended the run of an attempt, or refuses its start. So
// it refuses open starts with the same number.
func (a *attempt) recordRefusedNumber() {
	for _, o := range a.task.open {
		if o.run == a.run {
			o.stoppedOn = a.node.worker.ID
		}
	}
}

// replaceOpen ends the open starts that were sent to an address at which another worker answers. An
// empty address stands for all.
func (e *Engine) replaceOpen(now Moment, name heatherhub.WorkerName, address string) {
	for _, o := range slices.Clone(e.open[name]) {
		if address == "" || o.address == address {
			e.endOpen(now, o, "worker replaced")
		}
	}
}

// WorkerLeft ends the open starts to a worker that is gone after it had announced that it leaves. No incarnation follows
// under its ID, and the last one refuses them: it has said so, or their leases are over on its clock.
func (e *Engine) WorkerLeft(now Moment, id heatherhub.WorkerID) {
	for _, o := range slices.Clone(e.open[id.Name()]) {
		if o.worker == id || o.refusedBy == id {
			e.endOpen(now, o, "worker left")
		}
	}
}

// expireOpen ends the open starts whose runs are over by their leases. Another owner could have
// renewed these, so the ownership must have been confirmed since.
func (e *Engine) expireOpen(now Moment) {
	by := now.Steady
	if e.cfg.LastConfirmed != nil {
		by = min(by, e.cfg.LastConfirmed())
	}
	for _, name := range slices.Sorted(maps.Keys(e.open)) {
		for _, o := range slices.Clone(e.open[name]) {
			expiresAt := o.expiresAt
			if o.isInherited {
				expiresAt = max(expiresAt, e.inheritUntil+e.cfg.LateCallTime+e.cfg.LongestLease)
			}
			if o.refusedBy == "" && expiresAt <= by {
				e.endOpen(now, o, "lease expired")
			}
		}
	}
}

// endOpen ends an open start. Its task may start again.
func (e *Engine) endOpen(now Moment, o *openStart, reason string) {
	t := o.task
	e.recordEvent(EventRecord{
		Event: EventUnansweredStartOver, Job: t.step.occ.job.workflow.ID, Step: t.step.index, Index: t.index, Worker: o.worker,
		Run: o.run, Reason: reason, Count: 1,
	})
	e.close(o)
	if o.isInVain {
		t.avoid(o.worker, now.Steady)
	}
	e.finishIfDone(now, t.step.occ.job)
}

// close forgets an open start.
func (e *Engine) close(o *openStart) {
	isSame := func(other *openStart) bool { return other == o }
	name, j := o.worker.Name(), o.task.step.occ.job
	if e.open[name] = slices.DeleteFunc(e.open[name], isSame); len(e.open[name]) == 0 {
		delete(e.open, name)
	}
	if o.task.open = slices.DeleteFunc(o.task.open, isSame); len(o.task.open) == 0 {
		// The one worker on which it could start has refused it, which says nothing of others.
		o.task.refusals = 0
	}
	j.openAttempts--
	j.openStarts--
	// The record of a start in place is that of its open start.
	isUnanswered := func(a *attempt) bool { return a.run == o.run && (a.state != running || a.repeats > 0) }
	if !slices.ContainsFunc(o.task.attempts, isUnanswered) {
		e.forgetUnanswered(o.task, o.run)
	}
}

// dropOpen forgets the open starts of a job that has left the shard.
func (e *Engine) dropOpen(j *job) {
	if j.isOwnedElsewhere && len(j.progress.Open) > 0 {
		e.guestStartChanges++
	}
	for name, open := range e.open {
		open = slices.DeleteFunc(open, func(o *openStart) bool { return o.task.step.occ.job == j })
		if e.open[name] = open; len(open) == 0 {
			delete(e.open, name)
		}
	}
}

// hasUnrecorded reports whether a start to a worker is open that no incarnation is known to refuse,
// and that a next owner would not know of.
func (e *Engine) hasUnrecorded(name heatherhub.WorkerName) bool {
	return slices.ContainsFunc(e.open[name], func(o *openStart) bool {
		j := o.task.step.occ.job
		return o.refusedBy == "" && (j.isOwnedElsewhere || j.committed < o.recordedBy)
	})
}

// startInPlace starts long-running tasks with open starts on the incarnations that refuse these.
func (e *Engine) startInPlace(now Moment) {
	for _, name := range slices.Sorted(maps.Keys(e.open)) {
		for _, o := range slices.Clone(e.open[name]) {
			t, n := o.task, e.nodes[o.refusedBy]
			if n == nil || !t.step.spec.LongRunning || t.step.spec.Gang || !t.step.isQueued {
				continue
			}
			isBarred := func(other *openStart) bool {
				return other.refusedBy != o.refusedBy || (other.isInVain && other.worker == other.refusedBy)
			}
			if !t.isPending || slices.ContainsFunc(t.open, isBarred) || !e.isStartableButOpen(now.Steady, t) || e.isAtStartLimit() || !e.hasRoom(now, n, t.step, t) {
				continue
			}
			if t.needsIsolation() && !e.isolateOn(now, n, t) || !n.isOpenTo(now.Steady, t) {
				continue
			}
			run := e.numberInPlace(now, o)
			e.start(now, t, n, run)
			e.recordStarts(now, t.step, 1, n.worker.ID)
		}
	}
}

// numberInPlace returns the number of a start in place of open ones. With the number of the open starts an incarnation
// carries only one of them out, but one that has stopped or ended their run refuses it.
func (e *Engine) numberInPlace(now Moment, o *openStart) heatherhub.RunID {
	t := o.task
	isUnusable := func(other *openStart) bool { return other.run != o.run || other.stoppedOn == o.refusedBy }
	if slices.ContainsFunc(t.open, isUnusable) {
		e.nextRun++
		return e.nextRun
	}
	for _, other := range t.open {
		other.isRepeated, other.sentBy = true, now.Steady+MaxOrderAge
	}
	e.recordRepeated(now, t, o.run)
	return o.run
}
