package dispatch

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// A start may be carried out by a later incarnation of its worker, when the owner that sent it is no longer there. So
// the owner announces each start in the store, many in one write, and withdraws it with a later write once it is answered,
// or recorded as open in the progress of its job. An announced start is an open start for the owner that follows.

// StartsToAnnounce returns the starts that may be carried out and of which the stored progress does not tell, in the
// order of their jobs, tasks and runs. Of the starts with one number it has the one that was sent last.
// The caller stores them.
func (e *Engine) StartsToAnnounce(now Moment) []AnnouncedStart {
	var out []AnnouncedStart
	e.unsettled = slices.DeleteFunc(e.unsettled, func(a *attempt) bool { return !e.mayBeCarriedOut(now.Steady, a) })
	for _, a := range e.unsettled {
		if isRecorded(a) {
			continue
		}
		out = append(out, AnnouncedStart{Job: a.task.step.occ.job.workflow.ID, Start: e.openRecordOf(now, a)})
	}
	for _, open := range e.open {
		for _, o := range open {
			j := o.task.step.occ.job
			if !j.isOwnedElsewhere && j.committed >= o.recordedBy {
				continue
			}
			if at := slices.IndexFunc(j.progress.Open, isRecordOf(o.task, o.run)); at >= 0 {
				out = append(out, AnnouncedStart{Job: j.workflow.ID, Start: j.progress.Open[at]})
			}
		}
	}
	slices.SortFunc(out, func(a, b AnnouncedStart) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Start.Occurrence, b.Start.Occurrence), cmp.Compare(a.Start.Task, b.Start.Task), cmp.Compare(a.Start.Run, b.Start.Run), b.Start.At.Compare(a.Start.At))
	})
	return slices.CompactFunc(out, func(a, b AnnouncedStart) bool {
		return a.Job == b.Job && a.Start.Run == b.Start.Run && a.Start.Task == b.Start.Task && a.Start.Occurrence == b.Start.Occurrence
	})
}

// StartsNotRecorded is StartsToAnnounce for an owner that can write no progress any more: it leaves out the starts of which the
// stored progress tells for certain.
func (e *Engine) StartsNotRecorded(now Moment) []AnnouncedStart {
	return slices.DeleteFunc(e.StartsToAnnounce(now), func(s AnnouncedStart) bool {
		j := e.jobs[s.Job]
		return j != nil && !j.isOwnedElsewhere && slices.ContainsFunc(j.certainOpen, s.Start.tellsAsMuchAs)
	})
}

// mayBeCarriedOut reports whether a start of the attempt may still be carried out. Once it may not, it is only after another
// repetition.
func (e *Engine) mayBeCarriedOut(now time.Duration, a *attempt) bool {
	return slices.Contains(a.task.attempts, a) && (a.state != running || !a.isKnownTaken() || e.hasOpenCopy(now, a))
}

// UnansweredSince returns the time at which the oldest of the starts without an answer was sent that were sent at a time or later, and of
// which the stored progress does not tell. It reports false if there is none.
func (e *Engine) UnansweredSince(now, from time.Duration) (time.Duration, bool) {
	oldest, isFound := now, false
	for _, a := range e.unsettled {
		if a.startedAt >= from && !isRecorded(a) && e.mayBeCarriedOut(now, a) {
			oldest, isFound = min(oldest, a.startedAt), true
		}
	}
	return oldest, isFound
}

// isRecorded reports whether the stored progress of the job, which this shard writes, tells of the start of an attempt.
func isRecorded(a *attempt) bool {
	j := a.task.step.occ.job
	return !j.isOwnedElsewhere && a.recordedBy > 0 && j.committed >= a.recordedBy
}

// openRecordOf returns the record of the start of an attempt. A start in place has the number of an open one, so both may
// be carried out.
func (e *Engine) openRecordOf(now Moment, a *attempt) OpenStart {
	w := &a.node.worker
	isRepeated := a.repeats > 0 || slices.ContainsFunc(a.task.open, func(o *openStart) bool { return o.run == a.run })
	if !isRepeated && a.recordedBy > 0 {
		recorded := a.task.step.occ.job.progress.Open
		at := slices.IndexFunc(recorded, isRecordOf(a.task, a.run))
		isRepeated = at >= 0 && recorded[at].IsRepeated
	}
	sentBy := now.Wall
	if a.state == sent {
		// Its order may still wait.
		sentBy = sentBy.Add(MaxOrderAge)
	}
	return OpenStart{
		Occurrence: a.task.step.occ.index, Task: a.task.flatIndex(), Run: a.run, Worker: w.ID, Address: addressOf(w), At: sentBy,
		IsRepeated: isRepeated,
	}
}

// announcedRun identifies an announced start. The task has its flat index.
type announcedRun struct {
	job              heatherhub.JobID
	occurrence, task int
	run              heatherhub.RunID
}

// AnnouncementSent records that the store may list the starts from now on.
func (e *Engine) AnnouncementSent(starts []AnnouncedStart) {
	if e.announced == nil {
		e.announced = make(map[announcedRun]struct{}, len(starts))
	}
	for _, s := range starts {
		e.announced[announcedRun{s.Job, s.Start.Occurrence, s.Start.Task, s.Start.Run}] = struct{}{}
	}
}

// AnnouncementStored records that the store lists the starts and no others. Workers may then forget the ended runs of the others.
func (e *Engine) AnnouncementStored(starts []AnnouncedStart) {
	clear(e.announced)
	e.AnnouncementSent(starts)
	if len(e.announcedAcks) == 0 {
		return
	}
	e.announcedAcks = slices.DeleteFunc(e.announcedAcks, func(ack *pendingAck) bool {
		_, ack.isAnnounced = e.announced[ack.start]
		return !ack.isAnnounced
	})
	for _, n := range e.sortedNodes {
		n.advanceAcknowledged()
	}
}

// holdAnnounced has a worker keep the end of a run for as long as a next owner would take its start for open: the progress does not tell
// of runs that were stopped, for example.
func (e *Engine) holdAnnounced(t *task, run heatherhub.RunID, ack *pendingAck) {
	start := announcedRun{t.step.occ.job.workflow.ID, t.step.occ.index, t.flatIndex(), run}
	_, isListed := e.announced[start]
	isOpen := slices.ContainsFunc(t.open, func(o *openStart) bool { return o.run == run })
	if !isListed || isOpen || t.hasFailedRun(run) || t.hasEndedAlone() || t.step.occ.job.isOver() {
		return
	}
	ack.start, ack.isAnnounced = start, true
	e.announcedAcks = append(e.announcedAcks, ack)
}

// InheritAnnounced takes over the starts that a previous owner has announced. It is called before the jobs are added.
func (e *Engine) InheritAnnounced(starts []AnnouncedStart) {
	e.AnnouncementSent(starts)
	e.inheritedAnnounced = make(map[heatherhub.JobID][]OpenStart)
	for _, s := range starts {
		e.inheritedAnnounced[s.Job] = append(e.inheritedAnnounced[s.Job], s.Start)
	}
}

// addAnnounced adds the starts of a job that a previous owner has announced, and not recorded since, to those that are
// recorded as open. A record may be of an earlier copy of an announced start. It reports whether it has changed anything.
func (e *Engine) addAnnounced(j *job, recorded []OpenStart) ([]OpenStart, bool) {
	recorded, hasChanged := slices.Clone(recorded), false
	for _, s := range e.inheritedAnnounced[j.workflow.ID] {
		t := j.taskAt(s.Occurrence, s.Task)
		if t == nil || t.hasFailedRun(s.Run) || t.hasEndedAlone() {
			continue
		}
		at := slices.IndexFunc(recorded, isRecordOf(t, s.Run))
		switch {
		case at < 0:
			recorded, hasChanged = append(recorded, s), true
		case s.IsRepeated && !recorded[at].IsRepeated, s.IsToFormerLife && !recorded[at].IsToFormerLife, s.At.After(recorded[at].At):
			r := &recorded[at]
			r.IsRepeated, r.IsToFormerLife = r.IsRepeated || s.IsRepeated, r.IsToFormerLife || s.IsToFormerLife
			if s.At.After(r.At) {
				r.At = s.At
			}
			hasChanged = true
		}
	}
	delete(e.inheritedAnnounced, j.workflow.ID)
	return recorded, hasChanged
}

// hasEndedAlone reports whether the task is done by a run of its own: it has waited while a start of it was open, so that run was
// the last to be started. A member of a gang is done once any of them is.
func (t *task) hasEndedAlone() bool {
	return t.isDone && !t.step.spec.Gang
}
