package dispatch

import (
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// SetPolicies puts the policies of the queues in force. Jobs of a queue that is
// gone keep the policy that they had.
func (e *Engine) SetPolicies(policies map[heatherhub.QueueID]Policy) {
	e.policies = policies
	for _, j := range e.jobs {
		if p, ok := policies[j.workflow.Queue]; ok {
			j.policy = p
			for _, o := range j.occurrences {
				e.setObjective(o)
			}
		}
	}
}

// isWatchCurrent reports whether a job that arrives was accepted after the earlier owner had
// stopped.
func (e *Engine) isWatchCurrent() bool {
	return e.watchReplies >= currentWatchReplies
}

// JobOrigin says where a job comes from.
type JobOrigin bool

// Origins of a job.
const (
	// OriginNew jobs were accepted while this owner was in charge.
	OriginNew JobOrigin = false
	// OriginPreviousOwner jobs may have runs on workers that were not asked yet.
	OriginPreviousOwner JobOrigin = true
)

// currentWatchReplies is how many answers of the jobs' watch have to come after the earlier
// owner has stopped, before a job that the next one brings is new for certain: the
// first may have been asked for before, and the second may bring what was accepted
// until it was asked for.
const currentWatchReplies = 3

// JobWatchReplied notes an answer of the jobs' watch, before its jobs are added.
func (e *Engine) JobWatchReplied(now Moment) {
	if e.hasFenced && now.Steady >= e.inheritUntil {
		e.watchReplies++
	}
}

// JobRecord is a job as it was read from the store.
type JobRecord struct {
	Workflow *heatherhub.Workflow
	// RecordRevision is the revision of the job's record.
	RecordRevision ledger.Revision
	// Progress is the job's durable state and Revision that of its record.
	Progress         Progress
	ProgressRevision ledger.Revision
	Origin           JobOrigin
}

// AddJob adds a job, or takes in which shards run its tasks now. Records may come
// in any order.
func (e *Engine) AddJob(now Moment, r JobRecord) {
	flow := r.Workflow
	if old := e.jobs[flow.ID]; old != nil {
		e.updateJob(now, old, r)
		return
	}
	if d, ok := e.movedAway[flow.ID]; ok && r.RecordRevision <= d.recordRevision {
		return
	}
	if !flow.IsAt(e.cfg.Shard) {
		return
	}
	j := &job{
		workflow: flow, policy: flow.Policy, state: heatherhub.WorkflowQueued, recordRevision: r.RecordRevision,
		isInherited: bool(r.Origin) || !e.isWatchCurrent(), progress: r.Progress, progressRevision: r.ProgressRevision,
		isOwnedElsewhere: flow.Shard != e.cfg.Shard,
	}
	if p, ok := e.policies[flow.Queue]; ok {
		j.policy = p
	}
	age := max(now.Wall.Sub(flow.Accepted), 0)
	j.arrived = now.Steady - age
	e.jobs[flow.ID] = j
	if p := r.Progress; p.State.IsFinal() {
		j.state, j.endedAt = p.State, now.Steady
		e.finished = append(e.finished, j)
		e.adoptUnknown(now, flow.ID)
		return
	}
	if len(r.Progress.Done) > 0 {
		j.state = heatherhub.WorkflowRunning
	}
	for k := range flow.Occurrences() {
		o := e.newOccurrence(j, k)
		j.occurrences = append(j.occurrences, o)
	}
	e.restoreFailures(j)
	if flow.Schedule != nil {
		e.scheduled = append(e.scheduled, j)
	}
	e.adoptUnknown(now, flow.ID)
	for _, o := range j.occurrences {
		e.enqueueReady(now, o)
	}
	e.finishIfDone(now, j)
}

func (e *Engine) newOccurrence(j *job, k int) *occurrence {
	o := &occurrence{job: j, index: k}
	flat := 0
	for i := range j.workflow.Steps {
		s := &stepRun{occ: o, index: i, spec: &j.workflow.Steps[i], need: j.workflow.Steps[i].Reserved(), blockers: len(j.workflow.Steps[i].After)}
		if s.spec.MaxPerWorker > 0 {
			s.tasksPerNode = make(map[*node]int)
		}
		for n := range s.spec.Tasks {
			t := &task{step: s, index: n, isDone: j.progress.isDone(k, flat), isRemote: j.workflow.HomeOf(flat) != e.cfg.Shard}
			flat++
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
		for _, a := range s.spec.After {
			if o.steps[a].undone == 0 {
				s.blockers--
			}
		}
	}
	e.computeCriticalPaths(o)
	e.setObjective(o)
	return o
}

// setObjective sets the times by which an occurrence earns its whole worth and
// the last of it. A result up to three times late still earns a part.
func (e *Engine) setObjective(o *occurrence) {
	from := o.job.arrived
	if o.job.workflow.Schedule != nil {
		from = o.job.arrived + o.job.workflow.Due(o.index).Sub(o.job.workflow.Accepted)
	}
	var chain time.Duration
	for _, s := range o.steps {
		chain = max(chain, s.criticalPath)
	}
	span := time.Duration(float64(chain)*max(o.job.policy.Stretch, 1)) + o.job.policy.Target
	o.objective, o.valueUntil = from+span, from+3*span
}

func (e *Engine) restoreFailures(j *job) {
	for _, f := range j.progress.Failed {
		if f.Occurrence < 0 || f.Occurrence >= len(j.occurrences) {
			continue
		}
		if t := j.occurrences[f.Occurrence].taskAt(f.Task); t != nil {
			t.recordFailedRun(f.Run)
		}
	}
}

func (o *occurrence) taskAt(flat int) *task {
	for _, s := range o.steps {
		if flat < len(s.tasks) {
			return s.tasks[flat]
		}
		flat -= len(s.tasks)
	}
	return nil
}

// recordFailedRun remembers a failed run. It reports false if it was known.
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

// removePending takes a task from the waiting ones.
func (s *stepRun) removePending(t *task) {
	if t.isPending {
		t.isPending = false
		s.pending = slices.DeleteFunc(s.pending, func(p *task) bool { return p == t })
	}
}

// enqueueReady puts the steps of an occurrence in the waiting list whose turn has
// come.
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

// Cancel ends a job: nothing of it starts any more, and what runs is stopped.
func (e *Engine) Cancel(now Moment, id heatherhub.JobID) {
	if j := e.jobs[id]; j != nil && !j.isOver() {
		e.endJob(now, j, heatherhub.WorkflowCancelled)
	}
}

// endJob puts a job in a final state and stops what runs.
func (e *Engine) endJob(now Moment, j *job, state heatherhub.WorkflowState) {
	j.state, j.progress.State = state, state
	j.endedAt = now.Steady
	if !j.isOwnedElsewhere {
		e.markChanged(j)
	}
	e.finished = append(e.finished, j)
	e.recordJobEnd(now, j)
	if j.openAttempts == 0 {
		return
	}
	for _, n := range e.sortedNodes {
		for _, a := range n.attempts {
			if a.task.step.occ.job == j && a.stop == noStop {
				a.stop = stopPending
			}
		}
	}
}

func (e *Engine) recordJobEnd(now Moment, j *job) {
	n := EventRecord{Event: EventJobEnded, Job: j.workflow.ID, Reason: string(j.state), Waited: now.Steady - j.arrived}
	if len(j.occurrences) > 0 {
		n.Slack = j.occurrences[len(j.occurrences)-1].objective - now.Steady
	}
	e.recordEvent(n)
}

// finishIfDone completes a job of which all tasks are done. It waits for starts that
// may still arrive: nothing of a completed job may start.
func (e *Engine) finishIfDone(now Moment, j *job) {
	if j.undoneTasks == 0 && !j.isOver() && !j.hasPendingStart() {
		e.endJob(now, j, heatherhub.WorkflowCompleted)
		j.occurrences = nil
	}
}

// hasPendingStart reports whether a start is under way of which the worker has not said
// that it arrived.
func (j *job) hasPendingStart() bool {
	if j.openAttempts == 0 {
		return false
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.state != running }) {
					return true
				}
			}
		}
	}
	return false
}

// RemoveExpired returns finished jobs older than keep, to be deleted from the store,
// and forgets them.
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

// QueuedJobs counts, by queue, the jobs without a schedule of which no task has
// started.
func (e *Engine) QueuedJobs() map[heatherhub.QueueID]int {
	out := make(map[heatherhub.QueueID]int)
	for _, j := range e.jobs {
		if j.state == heatherhub.WorkflowQueued && j.workflow.Schedule == nil && !j.isOwnedElsewhere {
			out[j.workflow.Queue]++
		}
	}
	return out
}

// MarkUnresolved says that runs of an earlier owner may go on at a worker.
func (e *Engine) MarkUnresolved(id heatherhub.WorkerID) {
	e.unresolved[id] = struct{}{}
}
