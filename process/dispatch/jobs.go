package dispatch

import (
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// SetPolicies applies the policies of the configured queues. Jobs of a queue that was
// removed keep their last policy.
func (e *Engine) SetPolicies(policies map[heatherhub.QueueID]Policy) {
	e.policies = policies
	e.pruneLocationStats(policies)
	for _, j := range e.jobs {
		if p, ok := policies[j.workflow.Queue]; ok {
			j.policy = p
			for _, o := range j.occurrences {
				e.setObjective(o)
			}
		}
	}
}

// isWatchCurrent reports whether a job that the watch delivers from now on is certain
// to have been accepted after the previous owner stopped.
func (e *Engine) isWatchCurrent() bool {
	return e.watchReplies >= currentWatchReplies
}

// JobOrigin tells whether a previous owner of the shard may have started tasks of a
// job.
type JobOrigin bool

// Job origins.
const (
	// OriginNew jobs were accepted while this owner was in charge.
	OriginNew JobOrigin = false
	// OriginPreviousOwner jobs may have runs on workers that this owner has not reached
	// yet.
	OriginPreviousOwner JobOrigin = true
)

// currentWatchReplies is the number of replies of the job watch, counted after the
// previous owner has stopped, after which delivered jobs are certain to be new. The
// first reply may answer a request made before the stop, and the second may contain
// jobs that were accepted before it was requested.
const currentWatchReplies = 3

// InheritUntil records that no previous owner acts after a time, if that is earlier than known.
func (e *Engine) InheritUntil(at time.Duration) {
	e.inheritUntil = min(e.inheritUntil, at)
}

// JobWatchReplied counts a reply of the job watch. Call it before the jobs of that
// reply are added.
func (e *Engine) JobWatchReplied(now Moment) {
	if now.Steady >= e.inheritUntil {
		e.watchReplies++
	}
}

// JobRecord is a job as read from the store.
type JobRecord struct {
	Workflow *heatherhub.Workflow
	// RecordRevision is the revision of the job's own record.
	RecordRevision ledger.Revision
	// Progress is the durable state of the job and ProgressRevision the revision of its
	// record.
	Progress         Progress
	ProgressRevision ledger.Revision
	Origin           JobOrigin
}

// AddJob adds a job. For a known job it applies a newer record, which may change the
// shards that run its tasks. Records may arrive in any order; older ones are ignored.
func (e *Engine) AddJob(now Moment, r JobRecord) {
	workflow := r.Workflow
	if old := e.jobs[workflow.ID]; old != nil {
		e.updateJob(now, old, r)
		return
	}
	if d, ok := e.movedAway[workflow.ID]; ok && r.RecordRevision <= d.recordRevision {
		return
	}
	if !workflow.InvolvesShard(e.cfg.Shard) {
		return
	}
	j := &job{
		workflow: workflow, policy: workflow.Policy, state: heatherhub.WorkflowQueued, recordRevision: r.RecordRevision,
		isInherited: bool(r.Origin) || !e.isWatchCurrent(), progress: r.Progress, certainOpen: slices.Clone(r.Progress.Open), progressRevision: r.ProgressRevision,
		isOwnedElsewhere: workflow.Shard != e.cfg.Shard,
	}
	if p, ok := e.policies[workflow.Queue]; ok {
		j.policy = p
	}
	age := max(now.Wall.Sub(workflow.Accepted), 0)
	j.arrived = now.Steady - age
	e.jobs[workflow.ID] = j
	if j.isWaiting() {
		e.dropMovedWaiting(workflow.ID)
	}
	if p := r.Progress; p.State.IsFinal() {
		j.state, j.endedAt = p.State, now.Steady
		e.finished = append(e.finished, j)
		e.adoptUnknown(now, workflow.ID)
		return
	}
	if workflow.HasBegun || len(r.Progress.Done)+len(r.Progress.Failed)+len(r.Progress.Crashes)+len(r.Progress.Stalls) > 0 {
		j.begin()
	}
	for k := range workflow.Occurrences() {
		o := e.newOccurrence(j, k)
		j.occurrences = append(j.occurrences, o)
	}
	e.addToShares(j)
	e.restoreFailures(j)
	j.restoreStalls()
	e.restoreCrashes(now, j)
	e.restoreOpen(now, j)
	if workflow.Schedule != nil {
		e.scheduled = append(e.scheduled, j)
	}
	e.predictStart(now, j)
	e.adoptUnknown(now, workflow.ID)
	for _, o := range j.occurrences {
		e.enqueueReady(now, o)
		for _, s := range o.steps {
			s.mayHaveWaited = j.isInherited && s.isQueued
		}
	}
	e.finishIfDone(now, j)
}

func (e *Engine) newOccurrence(j *job, k int) *occurrence {
	o := &occurrence{job: j, index: k}
	flatIndex := 0
	for i := range j.workflow.Steps {
		s := &stepRun{occ: o, index: i, spec: &j.workflow.Steps[i], need: j.workflow.Steps[i].Reserved()}
		if s.spec.MaxPerWorker > 0 {
			s.tasksPerNode = make(map[*node]int)
		}
		for n := range s.spec.Tasks {
			t := &task{step: s, index: n, isDone: j.progress.isDone(k, flatIndex), isRemote: j.workflow.ShardOf(flatIndex) != e.cfg.Shard}
			flatIndex++
			s.tasks = append(s.tasks, t)
			if !t.isDone {
				s.undone++
				s.addPending(t)
			}
		}
		j.undoneTasks += s.undone
		o.steps = append(o.steps, s)
	}
	for _, s := range o.steps {
		for _, earlier := range o.steps[:s.index] {
			if earlier.undone > 0 && slices.Contains(s.spec.After, earlier.index) {
				s.blockers++
			}
		}
	}
	e.computeCriticalPaths(o)
	e.setObjective(o)
	return o
}

// setObjective sets the time by which an occurrence should be complete for full value,
// and the time after which completing it has no value. The second span is three times
// the first, as a late result keeps part of its value up to then.
func (e *Engine) setObjective(o *occurrence) {
	from := o.job.arrived
	if o.job.workflow.Schedule != nil {
		from = o.job.arrived + o.job.workflow.Due(o.index).Sub(o.job.workflow.Accepted)
	}
	span := o.job.policy.Span(o.declaredChain())
	o.from, o.objective, o.valueUntil = from, from+span, from+heatherhub.ValueSpans*span
	o.slack = span - o.declaredChain()
}

func (e *Engine) restoreFailures(j *job) {
	for _, f := range j.progress.Failed {
		if t := j.taskAt(f.Occurrence, f.Task); t != nil {
			t.recordFailedRun(f.Run)
		}
	}
}

// taskAt returns the task of an occurrence with a flat index, or nil if there is none.
func (j *job) taskAt(occurrence, flatIndex int) *task {
	if occurrence < 0 || occurrence >= len(j.occurrences) || flatIndex < 0 {
		return nil
	}
	return j.occurrences[occurrence].taskAt(flatIndex)
}

func (o *occurrence) taskAt(flatIndex int) *task {
	for _, s := range o.steps {
		if flatIndex < len(s.tasks) {
			return s.tasks[flatIndex]
		}
		flatIndex -= len(s.tasks)
	}
	return nil
}

// recordFailedRun records a failed run of a task, or of its whole gang. It reports
// false if the run was recorded before.
func (t *task) recordFailedRun(run heatherhub.RunID) bool {
	runs := &t.failedRuns
	if t.step.spec.Gang {
		runs = &t.step.failedRuns
	}
	if slices.Contains(*runs, run) {
		return false
	}
	*runs = append(*runs, run)
	return true
}

// hasFailedRun reports whether a run of the task is recorded as failed. Of the members of a gang only the first that fails is.
func (t *task) hasFailedRun(run heatherhub.RunID) bool {
	return slices.Contains(t.step.occ.job.progress.Failed, FailedRun{Occurrence: t.step.occ.index, Task: t.flatIndex(), Run: run})
}

func (t *task) failures() int {
	if t.step.spec.Gang {
		return len(t.step.failedRuns)
	}
	return len(t.failedRuns)
}

func (s *stepRun) addPending(t *task) {
	if !t.isPending && !t.isDone && !t.isRemote {
		t.isPending = true
		s.pending = append(s.pending, t)
	}
}

// removePending removes a task from the pending tasks of its step.
func (s *stepRun) removePending(t *task) {
	if t.isPending {
		t.isPending = false
		s.pending = slices.DeleteFunc(s.pending, func(p *task) bool { return p == t })
	}
}

// enqueueReady queues the steps of an occurrence that are due, have all their
// dependencies done and have pending tasks.
func (e *Engine) enqueueReady(now Moment, o *occurrence) {
	if o.job.isOver() {
		return
	}
	if o.job.workflow.Schedule != nil && now.Wall.Before(o.job.workflow.Due(o.index)) {
		return
	}
	for _, s := range o.steps {
		if s.blockers == 0 && len(s.pending) > 0 && !s.isQueued {
			s.isQueued, s.readySince = true, now.Steady
			e.ready = append(e.ready, s)
		}
	}
}

// Cancel cancels a job: none of its tasks starts any more, and its runs are stopped.
func (e *Engine) Cancel(now Moment, id heatherhub.JobID) {
	if j := e.jobs[id]; j != nil && !j.isOver() {
		e.endJob(now, j, heatherhub.WorkflowCancelled)
	}
}

// endJob puts a job in a final state and requests a stop of its runs.
func (e *Engine) endJob(now Moment, j *job, state heatherhub.WorkflowState) {
	j.state, j.progress.State = state, state
	j.endedAt = now.Steady
	if !j.isOwnedElsewhere {
		e.markChanged(j)
	}
	e.finished = append(e.finished, j)
	e.recordJobEnd(now, j)
	e.endWaits(now, j, "job over")
	j.countEnd(now.Steady)
	if j.openAttempts == 0 {
		return
	}
	stop := func(a *attempt) {
		if a.task.step.occ.job == j && a.stop == noStop {
			a.stop = stopPending
		}
	}
	for _, n := range e.sortedNodes {
		for _, a := range n.attempts {
			stop(a)
		}
	}
}

func (e *Engine) recordJobEnd(now Moment, j *job) {
	record := EventRecord{Event: EventJobEnded, Job: j.workflow.ID, Reason: string(j.state), Waited: now.Steady - j.arrived}
	if len(j.occurrences) > 0 {
		record.Slack = j.occurrences[len(j.occurrences)-1].objective - now.Steady
	}
	e.recordEvent(record)
}

// finishIfDone completes a job whose tasks are all done. It waits until no start order
// is outstanding, since no task of a completed job may start.
func (e *Engine) finishIfDone(now Moment, j *job) {
	if j.undoneTasks == 0 && !j.isOver() && !j.hasPendingStart() {
		e.endJob(now, j, heatherhub.WorkflowCompleted)
		j.occurrences = nil
	}
}

// hasPendingStart reports whether a task was ordered to start and its worker has not
// confirmed that it runs.
func (j *job) hasPendingStart() bool {
	if j.openAttempts == 0 {
		return false
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if len(t.open) > 0 || slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.state != running }) {
					return true
				}
			}
		}
	}
	return false
}

// RemoveExpired forgets jobs that finished more than keep ago and returns at most limit
// that the caller has to delete from the store. Jobs owned by another shard are
// forgotten without being returned.
func (e *Engine) RemoveExpired(now Moment, keep time.Duration, limit int) []heatherhub.JobID {
	var out []heatherhub.JobID
	kept := e.finished[:0]
	for _, j := range e.finished {
		if len(out) < limit && j.openAttempts == 0 && j.committed == j.changed && now.Steady-j.endedAt > keep {
			if !j.isOwnedElsewhere {
				out = append(out, j.workflow.ID)
			}
			delete(e.jobs, j.workflow.ID)
			continue
		}
		kept = append(kept, j)
	}
	clear(e.finished[len(kept):])
	e.finished = kept
	maps.DeleteFunc(e.absent, func(_ heatherhub.JobID, at time.Duration) bool { return now.Steady-at > keep })
	maps.DeleteFunc(e.movedAway, func(_ heatherhub.JobID, d moveRecord) bool { return now.Steady-d.at > keep })
	return out
}

// QueuedJobs returns, by queue, the number of jobs without a schedule of which no run is
// known to have begun.
func (e *Engine) QueuedJobs() map[heatherhub.QueueID]int {
	out := make(map[heatherhub.QueueID]int)
	for _, j := range e.jobs {
		if j.isWaiting() {
			out[j.workflow.Queue]++
		}
	}
	return out
}

// UnconfirmedJobs returns, by queue, how many of the QueuedJobs have an ordered start
// that is not known to have failed.
func (e *Engine) UnconfirmedJobs() map[heatherhub.QueueID]int {
	out := make(map[heatherhub.QueueID]int)
	for _, j := range e.jobs {
		if j.isWaiting() && j.openAttempts > 0 {
			out[j.workflow.Queue]++
		}
	}
	return out
}
