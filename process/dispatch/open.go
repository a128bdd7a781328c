package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// This file is the account of the starts without an answer that may still be carried out. Nothing else opens or ends one;
// the rest of the package says what has become known, as an attemptEnd or a finding.
//
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
// elsewhere. A worker that states no incarnation may come back under its ID as well.

// openStart is a start without an answer that may still be carried out.
type openStart struct {
	task *task
	run  heatherhub.RunID
	// worker is the incarnation to which the start was sent, and address where.
	worker  heatherhub.WorkerID
	address string
	// sentBy is a steady time by which the start was sent.
	sentBy time.Duration
	// openSince is the steady time from which on this owner has the start as open.
	openSince time.Duration
	// recordedBy is the change of its job's progress that has the start, and its repeat under the same number in place.
	recordedBy uint64
	// isRepeated means that the start was sent more than once, so a listed run does not use it up.
	isRepeated bool
	// isInherited means that a previous owner has sent the start. It may have extended leases for as
	// long as it acted.
	isInherited bool
	// isToFormerLife means that the start was sent to a former incarnation with the same ID.
	isToFormerLife bool
	// isInVain means that the worker has left the start and its repetitions without an answer for long.
	isInVain bool
	// refusedBy is the incarnation that is known to refuse the start, or empty.
	refusedBy heatherhub.WorkerID
	// refusedLast is refusedBy, and is kept once that incarnation is gone.
	refusedLast heatherhub.WorkerID
	// stoppedOn is the last incarnation that refuses the number of the run, whoever sends it: it has stopped or
	// ended the run. It is empty once another one may have the same ID.
	stoppedOn heatherhub.WorkerID
	// expiresAt is the steady time by which a run that the start has begun is over. It is used
	// while refusedBy is empty.
	expiresAt time.Duration
}

// startEvidence is how it is known that an open start is over. Its value is logged.
type startEvidence string

const (
	// startListed: an incarnation lists the run or its end, so one copy of the start was carried out.
	startListed startEvidence = "listed"
	// startNotCarriedOut: the answer to a poll that was sent once the start could no longer be carried out does not list it.
	startNotCarriedOut startEvidence = "not carried out"
	// startReplaced: another worker answers at the address.
	startReplaced startEvidence = "worker replaced"
	// startLeft: an incarnation is gone after it had announced that it leaves.
	startLeft startEvidence = "worker left"
	// startExpired: a run that the start has begun is over by its lease.
	startExpired startEvidence = "lease expired"
)

// finding is evidence with what it says of starts. Fields that do not apply are zero.
type finding struct {
	evidence startEvidence
	// run is the run that was listed.
	run heatherhub.RunID
	// life is the incarnation that has left.
	life heatherhub.WorkerID
	// isLongRunningOnly means that only runs of long-running tasks have ended with it.
	isLongRunningOnly bool
	// address is where another worker answers.
	address string
	// at is the steady time at which the poll was sent, or up to which the ownership is confirmed.
	at time.Duration
}

// isClosedBy reports whether a finding ends an open start, of the listed task or the named worker. This is the rule for
// owners, successors and guests: what is known of one life ends only what no other life can carry out.
func (e *Engine) isClosedBy(o *openStart, f *finding) bool {
	switch f.evidence {
	case startListed:
		// A call is carried out once, whichever life lists its run.
		return o.run == f.run && !o.isRepeated
	case startNotCarriedOut:
		// The lives before the one that answers have ended, and nothing reaches those after it.
		return !e.isDeliverable(f.at, o)
	case startReplaced:
		// The former one has ended, and the other refuses what arrives there.
		return o.address == f.address
	case startLeft:
		// No life follows this one, which has refused the start or had it with a lease of its own clock.
		return ((o.worker == f.life && !o.isToFormerLife) || o.isRefusedFor(f.life)) && (!f.isLongRunningOnly || o.task.step.spec.LongRunning)
	case startExpired:
		return o.refusedBy == "" && e.expiryOf(o) <= f.at
	default:
		return false
	}
}

// applyFinding ends those of some open starts that a finding closes.
func (e *Engine) applyFinding(now Moment, open []*openStart, f finding) {
	for _, o := range slices.Clone(open) {
		if e.isClosedBy(o, &f) {
			e.endOpen(now, o, f.evidence)
		}
	}
}

// attemptEnd is what is known of the start of an attempt that is released.
type attemptEnd int

const (
	// startAnswered: its call was answered, and no other copy is under way.
	startAnswered attemptEnd = iota
	// runEndedByLife: its incarnation lists the end of the run, or has stopped it. It refuses further copies.
	runEndedByLife
	// startRefusedByLife: its incarnation lists no run, and refuses the start after a stop.
	startRefusedByLife
	// lifeEnded: its incarnation has ended, with the run if it had taken the start.
	lifeEnded
	// lifeUnknown: it is not known which incarnation has taken the start.
	lifeUnknown
	// addressTaken: another worker answers at the address.
	addressTaken
)

// leaveOpen keeps the start of an attempt that is released next, if it may still be carried out. The last call that may
// extend a lease at its worker was sent by lastSentTo, if the life has ended.
func (e *Engine) leaveOpen(now Moment, a *attempt, end attemptEnd, lastSentTo time.Duration) {
	switch end {
	case startAnswered, addressTaken:
	case runEndedByLife:
		// The run may be of an earlier copy of the start than the last one, which may be under way.
		if sentBy := e.sentBy(now, a); a.repeats > 0 && now.Steady < sentBy+e.cfg.LateCallTime {
			e.keepRefused(now, a, sentBy)
		}
	case startRefusedByLife:
		e.keepRefused(now, a, e.sentBy(now, a))
	case lifeEnded:
		// A copy that can't be carried out any more may have been, by a later life than the one that took the other.
		if !a.isKnownTaken() || e.hasOpenCopy(a.node.reportSentAt, a) {
			e.keepUnrefused(now, a, lastSentTo)
		}
	case lifeUnknown:
		e.keepUnrefused(now, a, lastSentTo)
	}
}

// keepRefused is keepOpen for a start that the incarnation of the attempt refuses.
func (e *Engine) keepRefused(now Moment, a *attempt, sentBy time.Duration) {
	o := e.keepOpen(now, a, sentBy)
	o.refuse(a.node.worker.ID)
	e.recordTaskWaits(now, o)
}

// keepUnrefused is keepOpen for a start that no incarnation is known to refuse. The last call that may extend a lease was
// sent by lastSentTo.
func (e *Engine) keepUnrefused(now Moment, a *attempt, lastSentTo time.Duration) {
	o := e.keepOpen(now, a, e.sentBy(now, a))
	e.unrefuse(o, lastSentTo)
	e.recordTaskWaits(now, o)
}

// keepOpen adds the open start of an attempt that is released next.
func (e *Engine) keepOpen(now Moment, a *attempt, sentBy time.Duration) *openStart {
	w := &a.node.worker
	o := &openStart{
		task: a.task, run: a.run, worker: w.ID, address: addressOf(w), sentBy: sentBy, openSince: now.Steady, isRepeated: a.openCopies() > 1,
	}
	o.isInVain = a.state == unconfirmed && now.Steady-a.orderedAt >= maxRepeatTime
	// The record says whether other copies are open, so it is made before this one is.
	e.recordUnanswered(now, a)
	e.addOpen(o)
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

// expiryOf returns the steady time by which a run that the start has begun is over by its lease.
func (e *Engine) expiryOf(o *openStart) time.Duration {
	if o.isInherited {
		return max(o.expiresAt, e.inheritUntil+e.cfg.LateCallTime+e.cfg.LongestLease)
	}
	return o.expiresAt
}

// endsBy returns the steady time by which the start is over if its worker is silent from now on.
func (e *Engine) endsBy(now time.Duration, o *openStart) time.Duration {
	if o.refusedBy == "" {
		return e.expiryOf(o)
	}
	// The incarnation that refuses it may be gone by then.
	return max(e.expiryOf(o), max(o.sentBy, now)+e.cfg.LateCallTime+e.cfg.LongestLease)
}

// recordTaskWaits records that the task of a start that has become open waits for it.
func (e *Engine) recordTaskWaits(now Moment, o *openStart) {
	if o.task.step.occ.job.isOver() {
		return
	}
	record := newStartEvent(EventTaskWaits, o)
	record.Reason, record.Waited = "open start", now.Steady-o.sentBy
	record.WaitExpected = o.sentBy + e.cfg.LateCallTime - now.Steady
	record.Slack = e.endsBy(now.Steady, o) - now.Steady
	e.recordEvent(record)
}

func newStartEvent(event Event, o *openStart) EventRecord {
	t := o.task
	return EventRecord{
		Event: event, Job: t.step.occ.job.workflow.ID, Step: t.step.index, Index: t.index, Worker: o.worker, Run: o.run, Count: 1,
	}
}

// refuse records that an incarnation has stopped or ended the run.
func (o *openStart) refuse(id heatherhub.WorkerID) {
	o.refusedBy, o.refusedLast, o.stoppedOn = id, id, id
}

// isRefusedFor reports whether an incarnation has refused the start until its end. The refusal of a worker that states no
// incarnation may be that of a former life.
func (o *openStart) isRefusedFor(id heatherhub.WorkerID) bool {
	_, hasIncarnation := id.Incarnation()
	return hasIncarnation && o.refusedLast == id
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

// markToFormerLife records that the open starts to a worker were sent to another incarnation than the one under its ID now.
func (e *Engine) markToFormerLife(name heatherhub.WorkerName) {
	for _, o := range e.open[name] {
		o.isToFormerLife, o.stoppedOn = true, ""
		j := o.task.step.occ.job
		at := slices.IndexFunc(j.progress.Open, isRecordOf(o.task, o.run))
		if at < 0 || j.isOver() || j.progress.Open[at].IsToFormerLife {
			continue
		}
		j.progress.Open[at].IsToFormerLife = true
		e.markOpenChanged(j)
		o.recordedBy = j.changed
	}
}

// markRestarted is markToFormerLife for a worker that has certainly started again: the present life may answer what the former one has not.
func (e *Engine) markRestarted(name heatherhub.WorkerName) {
	e.markToFormerLife(name)
	for _, o := range e.open[name] {
		o.isInVain = false
	}
}

// settleOpen applies a complete report, the answer to a poll that was sent at sentAt. Runs that it
// lists have been adopted. The incarnation has accepted a higher token than that of the starts that stay open.
func (e *Engine) settleOpen(now Moment, sentAt time.Duration, n *node) {
	name := n.worker.ID.Name()
	e.applyFinding(now, e.open[name], finding{evidence: startNotCarriedOut, at: sentAt})
	for _, o := range e.open[name] {
		o.refusedBy, o.refusedLast = n.worker.ID, n.worker.ID
	}
}

// WorkerLeft ends the open starts to a worker that is gone after it had announced that it leaves. No incarnation follows
// under its ID, and the last one refuses them: it has said so, or their leases are over on its clock.
func (e *Engine) WorkerLeft(now Moment, id heatherhub.WorkerID) {
	e.applyFinding(now, e.open[id.Name()], finding{evidence: startLeft, life: id})
}

// WorkerLost records that a worker is gone which had not announced that it leaves. If it states no incarnation, another one may follow under its
// ID, and that one may announce it.
func (e *Engine) WorkerLost(id heatherhub.WorkerID) {
	if _, hasIncarnation := id.Incarnation(); !hasIncarnation {
		e.markToFormerLife(id.Name())
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
		e.applyFinding(now, e.open[name], finding{evidence: startExpired, at: by})
	}
}

// endOpen ends an open start. Its task may start again, unless its run is listed.
func (e *Engine) endOpen(now Moment, o *openStart, evidence startEvidence) {
	event := EventUnansweredStartOver
	if evidence == startListed {
		event = EventOpenStartListed
	}
	record := newStartEvent(event, o)
	record.Reason, record.Waited = string(evidence), now.Steady-o.openSince
	e.recordEvent(record)
	e.close(o)
	if evidence == startListed {
		return
	}
	if o.isInVain {
		o.task.avoid(o.worker, now.Steady)
	}
	e.finishIfDone(now, o.task.step.occ.job)
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

// isBarred reports whether a task may not start on a worker that is chosen for it, since it has an open start.
func (e *Engine) isBarred(t *task) bool {
	return len(t.open) > 0 && !e.mayStartElsewhere(t)
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

// mayStartInPlace reports whether a task with open starts may start on the worker that refuses one of them: it refuses all, and
// has not left them unanswered for long.
func (e *Engine) mayStartInPlace(o *openStart) bool {
	t := o.task
	if e.nodes[o.refusedBy] == nil || !t.step.spec.LongRunning || t.step.spec.Gang {
		return false
	}
	return !slices.ContainsFunc(t.open, func(other *openStart) bool {
		return other.refusedBy != o.refusedBy || (other.isInVain && other.worker == other.refusedBy)
	})
}

// hasUnrecorded reports whether a start to a worker is open that no incarnation is known to refuse,
// and that a next owner would not know of.
func (e *Engine) hasUnrecorded(name heatherhub.WorkerName) bool {
	return slices.ContainsFunc(e.open[name], func(o *openStart) bool {
		j := o.task.step.occ.job
		return o.refusedBy == "" && (j.isOwnedElsewhere || j.committed < o.recordedBy)
	})
}
