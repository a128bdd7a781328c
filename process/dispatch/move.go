package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// Moves balance load between shards: the workers of one shard may be lost or full while
// another has free capacity. Only waiting work without a run moves: single tasks of
// long-running steps, and whole jobs that have not started. The job's record says which
// shard runs which tasks, so a move is a single write of that record. Until its outcome
// is known, the tasks concerned start in neither shard.

// Move is waiting work that another shard could run.
type Move struct {
	Job heatherhub.JobID
	// Tasks has the indexes of the tasks to move, counted over all steps; nil means the
	// whole job.
	Tasks []int
	// Need is what one task needs on a worker of Pool, and Reserved what it reserves.
	// They differ for fillers.
	Need, Reserved heatherhub.Resources
	Pool           heatherhub.PoolID
	// Image is set for fillers only.
	IsFiller bool
	Image    string
	Waited   time.Duration
	// Home is the shard of the job, if the tasks go back to it.
	Home heatherhub.ShardID
}

// MovableWork returns the work that has waited for at least MoveAfter, the longest waiting
// first.
func (e *Engine) MovableWork(now Moment) []Move {
	var out []Move
	for _, s := range e.ready {
		waited := now.Steady - s.readySince
		if waited < e.cfg.MoveAfter || s.wait.isWaiting(now.Steady) || !e.isMovable(now, s) {
			continue
		}
		sh := shapeOf(s, false)
		m := Move{
			Job: s.occ.job.workflow.ID, Need: sh.need, Reserved: s.need, Pool: sh.pool,
			IsFiller: sh.isFiller, Image: sh.image, Waited: waited,
		}
		if s.occ.job.workflow.CanSplit() {
			for _, t := range s.pending {
				if e.isStartable(now.Steady, t) {
					m.Tasks = append(m.Tasks, t.flatIndex())
				}
			}
			if len(m.Tasks) == 0 {
				continue
			}
		}
		out = append(out, m)
	}
	slices.SortStableFunc(out, func(a, b Move) int { return cmp.Compare(b.Waited, a.Waited) })
	return out
}

func (e *Engine) isMovable(now Moment, s *stepRun) bool {
	j := s.occ.job
	if j.isOver() || len(s.pending) == 0 || (j.isInherited && e.openUnresolved > 0) {
		return false
	}
	if j.workflow.CanSplit() {
		return true
	}
	if !j.isUntouched() || j.workflow.Schedule != nil || j.workflow.IsLongRunning() {
		return false
	}
	return !slices.ContainsFunc(j.tasksOf(nil), e.mayRunUnresolved) && e.isStartable(now.Steady, s.pending[0])
}

// isUntouched reports whether no run of the job has begun or may still begin or be
// reported, so that the whole job may move.
func (j *job) isUntouched() bool {
	return j.state == heatherhub.WorkflowQueued && j.changed == 0 && j.progressRevision == 0 && j.openAttempts == 0 && !j.mayHaveBegun
}

// PrepareMove holds back the tasks of a move so that they do not start here. It returns
// the job record to write and the revision of the record that it replaces. It reports
// false if the work no longer waits.
func (e *Engine) PrepareMove(m Move, to heatherhub.ShardID) (*heatherhub.Workflow, ledger.Revision, bool) {
	j := e.jobs[m.Job]
	if j == nil || j.isOver() || j.recordRevision == 0 {
		return nil, 0, false
	}
	tasks := j.tasksOf(m.Tasks)
	if slices.ContainsFunc(tasks, func(t *task) bool { return !t.isPending && !t.isBlocked() }) {
		return nil, 0, false
	}
	if m.Tasks == nil && !j.isUntouched() {
		return nil, 0, false
	}
	workflow := *j.workflow
	if m.Tasks == nil {
		workflow.Shard = to
	} else {
		workflow.TaskShards = maps.Clone(workflow.TaskShards)
		if workflow.TaskShards == nil {
			workflow.TaskShards = make(map[int]heatherhub.ShardID, len(m.Tasks))
		}
		for _, k := range m.Tasks {
			workflow.TaskShards[k] = to
		}
	}
	for _, t := range tasks {
		t.isMoving = true
		for _, c := range t.crashes {
			if !hasCrash(workflow.Crashes, c) {
				workflow.Crashes = append(slices.Clip(workflow.Crashes), c)
			}
		}
	}
	return &workflow, j.recordRevision, true
}

// isBlocked reports whether the task's step waits for other steps.
func (t *task) isBlocked() bool {
	return t.step.blockers > 0 && len(t.attempts) == 0
}

// tasksOf returns the tasks of the first occurrence with the given flat indexes; nil
// means all.
func (j *job) tasksOf(flatIndexes []int) []*task {
	if len(j.occurrences) == 0 {
		return nil
	}
	o := j.occurrences[0]
	var out []*task
	for _, k := range flatIndexes {
		out = append(out, o.taskAt(k))
	}
	if flatIndexes == nil {
		for _, s := range o.steps {
			out = append(out, s.tasks...)
		}
	}
	return out
}

// updateJob applies a newer record of a known job, which may change the shards that run
// its tasks.
func (e *Engine) updateJob(now Moment, j *job, r JobRecord) {
	if r.RecordRevision <= j.recordRevision {
		return
	}
	if j.recordRevision > 0 && !e.isWatchCurrent() {
		j.isInherited = true
	}
	if j.isWaiting() && r.Workflow.Shard != e.cfg.Shard {
		e.movedWaiting = append(e.movedWaiting, movedJob{id: r.Workflow.ID, queue: r.Workflow.Queue, to: r.Workflow.Shard, recordRevision: r.RecordRevision, at: now.Steady})
	}
	j.workflow, j.recordRevision = r.Workflow, r.RecordRevision
	if !r.Workflow.InvolvesShard(e.cfg.Shard) && j.openAttempts == 0 && !j.isOver() {
		e.removeMovedJob(now, j)
		return
	}
	j.isOwnedElsewhere = r.Workflow.Shard != e.cfg.Shard
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.spec = &j.workflow.Steps[s.index]
			for _, t := range s.tasks {
				e.updateTaskShard(j, t)
			}
		}
		e.enqueueReady(now, o)
	}
	e.restoreCrashes(now, j)
}

// CrashedGuests returns the tasks of other shards' jobs with crashes that are not stored. They go
// back to the shard of their job, which stores the crashes and decides on the job.
func (e *Engine) CrashedGuests() []Move {
	var out []Move
	for _, s := range e.ready {
		j := s.occ.job
		if !j.isOwnedElsewhere || j.isOver() {
			continue
		}
		m := Move{Job: j.workflow.ID, Home: j.workflow.Shard}
		for _, t := range s.pending {
			if !t.isMoving && t.awaitsCrashRecord() {
				m.Tasks = append(m.Tasks, t.flatIndex())
			}
		}
		if len(m.Tasks) > 0 {
			out = append(out, m)
		}
	}
	return out
}

// updateTaskShard makes a task pending if this shard runs it. Otherwise it removes the
// task from the pending ones and stops its runs.
func (e *Engine) updateTaskShard(j *job, t *task) {
	t.isMoving = false
	t.isRemote = j.workflow.ShardOf(t.flatIndex()) != e.cfg.Shard
	switch {
	case !t.isRemote && len(t.attempts) == 0:
		t.step.addPending(t)
	case t.isRemote:
		t.step.removePending(t)
		for _, a := range t.attempts {
			if a.stop == noStop {
				a.stop = stopPending
			}
		}
	}
}

// moveRecord notes when and at which record revision a job was found to belong to
// another shard.
type moveRecord struct {
	recordRevision ledger.Revision
	at             time.Duration
}

// removeMovedJob forgets a job that another shard owns now.
func (e *Engine) removeMovedJob(now Moment, j *job) {
	e.movedAway[j.workflow.ID] = moveRecord{recordRevision: j.recordRevision, at: now.Steady}
	delete(e.jobs, j.workflow.ID)
	isOf := func(s *stepRun) bool { return s.occ.job == j }
	e.ready = slices.DeleteFunc(e.ready, isOf)
	e.changedJobs = slices.DeleteFunc(e.changedJobs, func(d *job) bool { return d == j })
}
