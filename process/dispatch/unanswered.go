package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// A start without an answer is recorded in the progress of its job, for the next owner, and that of a long-running task is
// repeated. When it is over is decided in open.go.

// recordUnanswered adds a start without an answer to the progress of its job, so that a next owner
// knows that it is open.
func (e *Engine) recordUnanswered(now Moment, a *attempt) {
	t, j := a.task, a.task.step.occ.job
	if j.isOver() || slices.ContainsFunc(j.progress.Open, isRecordOf(t, a.run)) {
		return
	}
	j.progress.Open = append(j.progress.Open, e.openRecordOf(now, a))
	e.markOpenChanged(j)
	a.recordedBy = j.changed
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
// the order is confirmed does not say so: the next incarnation may have carried it out. It is called before OrderResult.
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

// RecordStartsUnderWay records the start orders that have no answer yet, or that another incarnation may have answered, for the
// owner that follows on a planned end of this one.
func (e *Engine) RecordStartsUnderWay(now Moment) {
	for _, n := range e.sortedNodes {
		for _, a := range n.attemptsByRun() {
			if a.state == sent || (a.state == running && !a.isKnownTaken()) {
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
	for _, a := range t.attempts {
		if a.run == run {
			a.recordedBy = 0
		}
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
	recorded, hasAnnounced := e.addAnnounced(j, recorded)
	if hasAnnounced {
		e.markOpenChanged(j)
	}
	for _, r := range recorded {
		t := j.taskAt(r.Occurrence, r.Task)
		if t == nil || t.isRemote {
			continue
		}
		j.progress.Open = append(j.progress.Open, r)
		age := min(max(now.Wall.Sub(r.At)-maxWallClockError, 0), e.cfg.LateCallTime)
		if r.At.IsZero() {
			age = 0
		}
		o := &openStart{
			task: t, run: r.Run, worker: r.Worker, address: r.Address, sentBy: now.Steady - age, openSince: now.Steady, recordedBy: j.changed,
			isRepeated: r.IsRepeated, isInherited: true, isToFormerLife: r.IsToFormerLife,
		}
		e.addOpen(o)
		e.unrefuse(o, o.sentBy)
		e.recordTaskWaits(now, o)
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
	return s.spec.LongRunning && !s.spec.Gang && !s.occ.job.isOver() && now-a.orderedAt < maxRepeatTime && a.node.isInService()
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
	if !slices.Contains(e.unsettled, a) {
		e.unsettled = append(e.unsettled, a)
	}
	e.Stats.Starts++
	e.recordRepeated(now, a.task, a.run)
	a.noteRecord()
	e.orders = append(e.orders, Order{
		Worker: a.node.worker.ID, Kind: StartTask, Task: a.task.id(), Run: a.run,
		Payload: a.task.step.occ.job.workflow.Payload, Checkpoint: a.checkpoint,
	})
}

// recordRepeated records that an open start is sent again, within MaxOrderAge.
func (e *Engine) recordRepeated(now Moment, t *task, run heatherhub.RunID) {
	j := t.step.occ.job
	if at := slices.IndexFunc(j.progress.Open, isRecordOf(t, run)); at >= 0 && !j.isOver() {
		j.progress.Open[at].IsRepeated, j.progress.Open[at].At = true, now.Wall.Add(MaxOrderAge)
		e.markOpenChanged(j)
	}
}

// noteRecord records that the last change of the progress has the start of the attempt, if it has it at all.
func (a *attempt) noteRecord() {
	j := a.task.step.occ.job
	a.recordedBy = 0
	if slices.ContainsFunc(j.progress.Open, isRecordOf(a.task, a.run)) {
		a.recordedBy = j.changed
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

// startInPlace starts long-running tasks with open starts on the incarnations that refuse these.
func (e *Engine) startInPlace(now Moment) {
	for _, name := range slices.Sorted(maps.Keys(e.open)) {
		for _, o := range slices.Clone(e.open[name]) {
			t, n := o.task, e.nodes[o.refusedBy]
			if !e.mayStartInPlace(o) || !t.step.isQueued || !t.isPending || !e.isStartableButOpen(now.Steady, t) || e.isAtStartLimit() || !e.hasRoom(now, n, t.step, t) {
				continue
			}
			if t.needsIsolation() && !e.isolateOn(now, n, t) || !n.isOpenTo(now.Steady, t) {
				continue
			}
			run := e.numberInPlace(now, o)
			e.start(now, t, n, run).noteRecord()
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
	e.recordRepeated(now, t, o.run)
	for _, other := range t.open {
		other.isRepeated, other.sentBy, other.recordedBy = true, now.Steady+MaxOrderAge, t.step.occ.job.changed
	}
	return o.run
}
