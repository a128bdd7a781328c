package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// Moves answer a load that is uneven between shards: workers of one are lost or full
// while those of another have room. Only what waits and has no run moves: single tasks
// that last, and whole jobs of which nothing has run. The job's record says which shard
// runs what, so a move is one write of it; until its outcome is known, what moves
// starts nowhere.

// Move is waiting work that another shard could run.
type Move struct {
	Job heatherhub.JobID
	// Tasks are the tasks that would move, by their numbers over all steps; nil is
	// the whole job.
	Tasks []int
	// Need is what one task reserves on a worker of Pool.
	Need   heatherhub.Resources
	Pool   heatherhub.PoolID
	Waited time.Duration
}

// Movable returns what has waited for a while without a run, at most limit moves.
func (e *Engine) Movable(now Moment, limit int) []Move {
	var out []Move
	for _, s := range e.ready {
		waited := now.Steady - s.readySince
		if waited < e.cfg.MoveAfter || !e.mayMove(now, s) {
			continue
		}
		m := Move{Job: s.occ.job.flow.ID, Need: s.need, Pool: s.occ.job.policy.Pool, Waited: waited}
		if s.occ.job.flow.MayDivide() {
			for _, t := range s.pending {
				if !t.isLeaving && t.notBefore <= now.Steady {
					m.Tasks = append(m.Tasks, t.flat())
				}
			}
			if len(m.Tasks) == 0 {
				continue
			}
		}
		out = append(out, m)
	}
	slices.SortStableFunc(out, func(a, b Move) int { return cmp.Compare(b.Waited, a.Waited) })
	return out[:min(limit, len(out))]
}

func (e *Engine) mayMove(now Moment, s *stepRun) bool {
	j := s.occ.job
	if j.isOver() || len(s.pending) == 0 || (j.isInherited && len(e.unresolved) > 0) {
		return false
	}
	if j.flow.MayDivide() {
		return true
	}
	isUntouched := j.state == heatherhub.WorkflowQueued && j.changed == 0 && j.revision == 0 && j.open == 0
	return isUntouched && j.flow.Schedule == nil && !j.flow.IsLongRunning() && !s.pending[0].isLeaving && s.pending[0].notBefore <= now.Steady
}

// Depart holds back what is to move and returns the job as the move will record it,
// with the revision of the record that it replaces. It reports false if the work has
// not waited on.
func (e *Engine) Depart(m Move, to heatherhub.ShardID) (*heatherhub.Workflow, ledger.Revision, bool) {
	j := e.jobs[m.Job]
	if j == nil || j.isOver() || j.recorded == 0 {
		return nil, 0, false
	}
	tasks := j.tasksOf(m.Tasks)
	if slices.ContainsFunc(tasks, func(t *task) bool { return !t.isPending && !t.isWaitingForOthers() }) {
		return nil, 0, false
	}
	if m.Tasks == nil && j.open > 0 {
		return nil, 0, false
	}
	flow := *j.flow
	if m.Tasks == nil {
		flow.Shard = to
	} else {
		flow.Homes = maps.Clone(flow.Homes)
		if flow.Homes == nil {
			flow.Homes = make(map[int]heatherhub.ShardID, len(m.Tasks))
		}
		for _, k := range m.Tasks {
			flow.Homes[k] = to
		}
	}
	for _, t := range tasks {
		t.isLeaving = true
	}
	return &flow, j.recorded, true
}

// isWaitingForOthers reports whether the turn of a task has not come.
func (t *task) isWaitingForOthers() bool {
	return t.step.blockers > 0 && len(t.attempts) == 0
}

// tasksOf returns tasks of the first occurrence by number; nil means all.
func (j *job) tasksOf(numbers []int) []*task {
	if len(j.occurrences) == 0 {
		return nil
	}
	o := j.occurrences[0]
	var out []*task
	for _, k := range numbers {
		out = append(out, o.byFlat(k))
	}
	if numbers == nil {
		for _, s := range o.steps {
			out = append(out, s.tasks...)
		}
	}
	return out
}

// updateJob takes in a newer record of a job: which shards run its tasks.
func (e *Engine) updateJob(now Moment, j *job, r Read) {
	if r.Recorded <= j.recorded {
		return
	}
	if j.recorded > 0 && !e.isFresh() {
		j.isInherited = true
	}
	j.flow, j.recorded = r.Flow, r.Recorded
	if !r.Flow.IsAt(e.cfg.Shard) && j.open == 0 && !j.isOver() {
		e.leave(now, j)
		return
	}
	j.isGuest = r.Flow.Shard != e.cfg.Shard
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.spec = &j.flow.Steps[s.index]
			for _, t := range s.tasks {
				e.rehome(j, t)
			}
		}
		e.enqueueReady(now, o)
	}
}

// rehome lets a task wait here or leaves it to its shard.
func (e *Engine) rehome(j *job, t *task) {
	t.isLeaving = false
	t.isForeign = j.flow.HomeOf(t.flat()) != e.cfg.Shard
	switch {
	case !t.isForeign && len(t.attempts) == 0:
		t.step.push(t)
	case t.isForeign:
		t.step.unpend(t)
		for _, a := range t.attempts {
			if a.stop == noStop {
				a.stop = stopWanted
			}
		}
	}
}

// departed is the record by which a job went to another shard.
type departed struct {
	recorded ledger.Revision
	at       time.Duration
}

// leave forgets a job that another shard owns now.
func (e *Engine) leave(now Moment, j *job) {
	e.left[j.flow.ID] = departed{recorded: j.recorded, at: now.Steady}
	delete(e.jobs, j.flow.ID)
	isOf := func(s *stepRun) bool { return s.occ.job == j }
	e.ready = slices.DeleteFunc(e.ready, isOf)
	e.dirty = slices.DeleteFunc(e.dirty, func(d *job) bool { return d == j })
}
