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
// long-running steps, whole jobs that have not started, and whole jobs of which nothing runs
// any more and whose progress is stored. The job's record says which shard runs which tasks,
// and from which revision of the progress on, so a move is a single write of that record.
// Until its outcome is known, the tasks concerned start in neither shard.

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
	// IsStranded means that no worker of this shard could start the work now, and LacksWorkers that none could ever
	// start the step that waits, Step.
	IsStranded, LacksWorkers bool
	Step                     *heatherhub.Step
	// Unfinished has the steps of a whole job that are not done, and Work is the processor time that its ready tasks need.
	Unfinished []*heatherhub.Step
	Work       time.Duration
	// At is the wall-clock time at which the work was found to be movable.
	At time.Time
	// HasBegun means that runs of the job have ended, so that it moves with its progress.
	HasBegun bool
	// Home is the shard of the job, if the tasks go back to it.
	Home heatherhub.ShardID
}

// Kind names what moves, for logs and metrics.
func (m *Move) Kind() string {
	switch {
	case m.Tasks != nil:
		return "tasks"
	case m.HasBegun:
		return "begun job"
	default:
		return "job"
	}
}

// Limits of moves without the wait of MoveAfter.
const (
	// maxRelocations is how often work may move within relocationWindow, so that it does not
	// travel between shards that fill up.
	maxRelocations   = 4
	relocationWindow = 10 * time.Second
	// arrivalDelay is the time that work which has arrived by a move has to start: several
	// decisions. If it has not, the room that was reserved for it is taken.
	arrivalDelay = 100 * time.Millisecond
	// strandedSilence is how long a worker must be silent before work leaves a shard for that
	// without a wait. Single calls fail now and then.
	strandedSilence = 300 * time.Millisecond
)

// MovableWork returns the work that has waited for at least MoveAfter, that for which the shard has no workers and
// the UrgentWork, the longest waiting first.
func (e *Engine) MovableWork(now Moment) []Move {
	return e.movableWork(now, false)
}

// UrgentWork returns the work that moves without the wait of MoveAfter: that which no worker of the
// shard could start now, and that which has arrived by a move and found no room.
func (e *Engine) UrgentWork(now Moment) []Move {
	return e.movableWork(now, true)
}

func (e *Engine) movableWork(now Moment, isUrgentOnly bool) []Move {
	isStranded := e.isStranded(now)
	kinds := e.knownKinds(now.Steady)
	var out []Move
	seen := make(map[*job]struct{})
	for _, s := range e.ready {
		j := s.occ.job
		waited := now.Steady - s.readySince
		hasWaited := waited >= e.cfg.MoveAfter && !isUrgentOnly
		isWaiting := !isStranded && s.waitsByChoice(now.Steady)
		// A job that no shard can run must not have the loads read each time.
		lacksWorkers := !isUrgentOnly && !kinds.CanRun(j.policy.Pool, s.spec)
		if isWaiting || (!hasWaited && !isStranded && !lacksWorkers && len(j.workflow.Relocations) == 0) || !e.isMovable(now, s, isStranded, lacksWorkers) {
			continue
		}
		sh := shapeOf(now.Steady, s, false)
		m := Move{
			Job: j.workflow.ID, Need: sh.need, Reserved: s.need, Pool: sh.pool,
			IsFiller: sh.isFiller, Image: sh.image, Waited: waited, IsStranded: isStranded, At: now.Wall,
			LacksWorkers: lacksWorkers, Step: s.spec,
		}
		count := j.relocationCounter(now.Wall)
		isDue := func(t *task) bool {
			n := count(t)
			hasSettled := now.Steady-max(s.readySince, t.arrivedAt) >= arrivalDelay
			return n < maxRelocations && (isStranded || lacksWorkers || (hasSettled && (hasWaited || n > 0)))
		}
		if j.workflow.CanSplit() {
			for _, t := range s.pending {
				if isDue(t) && len(t.open) == 0 && e.isStartable(now.Steady, t) {
					m.Tasks = append(m.Tasks, t.flatIndex())
				}
			}
			if len(m.Tasks) == 0 {
				continue
			}
		} else {
			if _, isSeen := seen[j]; isSeen || !isDue(s.pending[0]) {
				continue
			}
			seen[j] = struct{}{}
			for _, ready := range e.ready {
				if ready.occ.job == j {
					m.Work += e.pendingWork(ready)
				}
			}
			m.HasBegun = j.state != heatherhub.WorkflowQueued
			for _, o := range s.occ.steps {
				if o.undone > 0 {
					m.Unfinished = append(m.Unfinished, o.spec)
				}
			}
		}
		out = append(out, m)
	}
	slices.SortStableFunc(out, func(a, b Move) int { return cmp.Compare(b.Waited, a.Waited) })
	return out
}

// relocationCounter returns a function that counts the moves of a task, alone or with its job, within
// relocationWindow.
func (j *job) relocationCounter(now time.Time) func(*task) int {
	whole, single := 0, make(map[int]int)
	for _, r := range recentRelocations(j.workflow.Relocations, now) {
		if r.Tasks == nil {
			whole++
		}
		for _, k := range r.Tasks {
			single[k]++
		}
	}
	if len(single) == 0 {
		return func(*task) int { return whole }
	}
	return func(t *task) int { return whole + single[t.flatIndex()] }
}

// recentRelocations returns the moves within relocationWindow of now. The times are of the wall
// clocks of several hosts, so later ones count as well.
func recentRelocations(all []heatherhub.Relocation, now time.Time) []heatherhub.Relocation {
	return slices.DeleteFunc(slices.Clone(all), func(r heatherhub.Relocation) bool { return now.Sub(r.At).Abs() > relocationWindow })
}

// knownKinds returns the kinds of workers of the shard, at most forecastInterval old, or none until each of them was
// asked.
func (e *Engine) knownKinds(now time.Duration) *WorkerKinds {
	if !e.hasAskedWorkers {
		return &WorkerKinds{}
	}
	if e.kindsAt == 0 || now-e.kindsAt >= forecastInterval {
		e.kinds, e.kindsAt = e.WorkerKinds(), now
	}
	return &e.kinds
}

// MarkWorkersAsked records that each worker of the shard has answered this owner, or failed to.
func (e *Engine) MarkWorkersAsked() {
	e.hasAskedWorkers = true
}

// isStranded reports whether it is known that no worker of the shard could start anything now.
func (e *Engine) isStranded(now Moment) bool {
	return e.hasAskedWorkers && !slices.ContainsFunc(e.sortedNodes, func(n *node) bool { return !n.isWithdrawn(now.Steady) })
}

// isWithdrawn reports whether the worker gets no starts for some time: it drains, is evacuated or
// has been silent for strandedSilence.
func (n *node) isWithdrawn(now time.Duration) bool {
	return n.worker.Draining || n.isEvacuated || (n.isUnresponsive && now-n.silentSince >= strandedSilence)
}

func (e *Engine) isMovable(now Moment, s *stepRun, isStranded, lacksWorkers bool) bool {
	j := s.occ.job
	if j.isOver() || j.isMoving || len(s.pending) == 0 || (j.isInherited && e.heldBackOf(s).open > 0) {
		return false
	}
	if j.workflow.CanSplit() {
		return true
	}
	if !isStranded && e.hasReservation(j) {
		return false
	}
	if !e.canMoveWhole(j, isStranded, lacksWorkers) {
		return false
	}
	if (j.workflow.Schedule != nil || j.workflow.IsLongRunning()) && (!lacksWorkers || !j.isUntouched()) {
		return false
	}
	return !slices.ContainsFunc(j.tasksOf(nil), e.mayRunUnresolved) && e.isStartable(now.Steady, s.pending[0])
}

// canMoveWhole reports whether the whole job may move, without or with progress.
func (e *Engine) canMoveWhole(j *job, isStranded, lacksWorkers bool) bool {
	return j.isUntouched() || (e.isSettled(j, isStranded) && (isStranded || lacksWorkers || !j.hasReadyGang()))
}

// isSettled reports whether nothing of a begun job runs, all of its progress is stored, and no
// worker holds an end of it that this shard would have to record. A worker that has vanished may
// return with such an end. That does not keep the job in a shard in which nothing can start: the
// lease of that worker is over, so its runs have to be repeated in any case. Nor does a job leave
// that is suspected of crashing its workers, as its next crash would lose runs of another shard.
func (e *Engine) isSettled(j *job, isStranded bool) bool {
	if j.state != heatherhub.WorkflowRunning || j.isOwnedElsewhere || j.openAttempts > 0 || j.committed != j.changed {
		return false
	}
	if !isStranded && (j.mayHaveBegun || j.mayBeReported || (j.isInherited && e.hasLostUnresolved) || slices.ContainsFunc(j.tasksOf(nil), (*task).needsIsolation)) {
		return false
	}
	if e.unknownJobs[j.workflow.ID] != nil {
		return false
	}
	for _, n := range e.sortedNodes {
		if slices.ContainsFunc(n.pendingAcks, func(a *pendingAck) bool { return a.task.Job == j.workflow.ID }) {
			return false
		}
	}
	return true
}

// hasReadyGang reports whether a gang of the job could start. Its shard keeps it as long as workers there may come to have
// room, since that of a gang takes long to find elsewhere.
func (j *job) hasReadyGang() bool {
	for _, o := range j.occurrences {
		if slices.ContainsFunc(o.steps, func(s *stepRun) bool { return s.spec.Gang && s.undone > 0 && s.blockers == 0 }) {
			return true
		}
	}
	return false
}

// isUntouched reports whether no run of the job has begun or may still begin or be
// reported, so that the whole job may move.
func (j *job) isUntouched() bool {
	return j.state == heatherhub.WorkflowQueued && j.committed == j.changed && j.progress.isBlank() && j.openAttempts == 0 && !j.mayHaveBegun
}

// PrepareMove holds back the tasks of a move so that they do not start here. It returns
// the job record to write, whose ProgressRevision is that of the stored progress if the job has
// begun, and the revision of the record that it replaces. It reports false if the work no longer
// waits. The caller calls SettleMove once the outcome is known.
func (e *Engine) PrepareMove(m Move, to heatherhub.ShardID) (*heatherhub.Workflow, ledger.Revision, bool) {
	j := e.jobs[m.Job]
	if j == nil || j.isOver() || j.isMoving || j.recordRevision == 0 {
		return nil, 0, false
	}
	tasks := j.tasksOf(m.Tasks)
	if slices.ContainsFunc(tasks, func(t *task) bool { return len(t.open) > 0 || (!t.isPending && !t.isBlocked() && !t.isDone) }) {
		return nil, 0, false
	}
	if m.Tasks == nil && (!e.canMoveWhole(j, m.IsStranded, m.LacksWorkers) || slices.ContainsFunc(tasks, e.mayRunUnresolved)) {
		return nil, 0, false
	}
	workflow := *j.workflow
	if m.Tasks == nil {
		workflow.Shard = to
		if workflow.HasBegun = j.state != heatherhub.WorkflowQueued; workflow.HasBegun != m.HasBegun {
			return nil, 0, false
		}
		j.isMoving = true
		workflow.ProgressRevision = uint64(j.progressRevision)
	} else {
		workflow.TaskShards = maps.Clone(workflow.TaskShards)
		if workflow.TaskShards == nil {
			workflow.TaskShards = make(map[int]heatherhub.ShardID, len(m.Tasks))
		}
		for _, k := range m.Tasks {
			workflow.TaskShards[k] = to
		}
	}
	if m.Home == (heatherhub.ShardID{}) {
		workflow.Relocations = append(recentRelocations(workflow.Relocations, m.At), heatherhub.Relocation{At: m.At, Tasks: m.Tasks})
	}
	for _, t := range tasks {
		t.isMoving = true
		for _, c := range t.crashes {
			// A job that moves as a whole has them in its progress.
			if m.Tasks != nil && !hasCrash(workflow.Crashes, c) {
				workflow.Crashes = append(slices.Clip(workflow.Crashes), c)
			}
		}
	}
	return &workflow, j.recordRevision, true
}

// SettleMove records that the outcome of a move is known and its record was added with AddJob. What
// has not moved may start again, and ends that were reported meanwhile count.
func (e *Engine) SettleMove(now Moment, id heatherhub.JobID) {
	j := e.jobs[id]
	if j == nil {
		return
	}
	j.isMoving = false
	for _, t := range j.tasksOf(nil) {
		t.isMoving = false
	}
	e.adoptUnknown(now, id)
}

// NeedsProgress reports whether a job may only be added with the progress that its record names.
// That is so if the job has arrived by a move, also if this shard had it before.
func (e *Engine) NeedsProgress(w *heatherhub.Workflow, recordRevision ledger.Revision) bool {
	if w.Shard != e.cfg.Shard || w.ProgressRevision == 0 || recordRevision <= e.movedAway[w.ID].recordRevision {
		return false
	}
	j := e.jobs[w.ID]
	return j == nil || (recordRevision > j.recordRevision && j.progressRevision < ledger.Revision(w.ProgressRevision))
}

// RemoveOutdated forgets a job, if it is known, whose progress another shard has changed.
func (e *Engine) RemoveOutdated(now Moment, id heatherhub.JobID) {
	if j := e.jobs[id]; j != nil {
		e.removeMovedJob(now, j)
	}
}

// OriginNow returns the origin of a job whose record arrives now, so that the job may be added later.
func (e *Engine) OriginNow(o JobOrigin) JobOrigin {
	return o || JobOrigin(!e.isWatchCurrent())
}

// isBlocked reports whether the task's step waits for other steps.
func (t *task) isBlocked() bool {
	return t.step.blockers > 0 && len(t.attempts) == 0
}

// tasksOf returns the tasks of the first occurrence with the given flat indexes; nil
// means all tasks of all occurrences.
func (j *job) tasksOf(flatIndexes []int) []*task {
	if len(j.occurrences) == 0 {
		return nil
	}
	var out []*task
	for _, k := range flatIndexes {
		out = append(out, j.occurrences[0].taskAt(k))
	}
	if flatIndexes == nil {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				out = append(out, s.tasks...)
			}
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
	if !r.Workflow.InvolvesShard(e.cfg.Shard) && j.openAttempts == 0 && (!j.isOver() || j.isMoving) {
		e.removeMovedJob(now, j)
		return
	}
	j.isOwnedElsewhere = r.Workflow.Shard != e.cfg.Shard
	if j.isOwnedElsewhere {
		j.leaveShares()
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.spec = &j.workflow.Steps[s.index]
			for _, t := range s.tasks {
				e.updateTaskShard(now, j, t)
			}
		}
		e.enqueueReady(now, o)
	}
	e.restoreCrashes(now, j)
}

// CrashedGuests returns the tasks of other shards' jobs with crashes that are not stored. They go
// back to the shard of their job, which stores the crashes and decides on the job, once they have no
// open start.
func (e *Engine) CrashedGuests() []Move {
	var out []Move
	for _, s := range e.ready {
		j := s.occ.job
		if !j.isOwnedElsewhere || j.isOver() {
			continue
		}
		m := Move{Job: j.workflow.ID, Home: j.workflow.Shard}
		for _, t := range s.pending {
			if !t.isMoving && len(t.open) == 0 && t.awaitsCrashRecord() {
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
func (e *Engine) updateTaskShard(now Moment, j *job, t *task) {
	t.isMoving = false
	wasRemote := t.isRemote
	t.isRemote = j.workflow.ShardOf(t.flatIndex()) != e.cfg.Shard
	if wasRemote && !t.isRemote {
		t.arrivedAt = now.Steady
	}
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
	j.leaveShares()
	e.endWaits(now, j, "job moved")
	delete(e.jobs, j.workflow.ID)
	e.dropOpen(j)
	isOf := func(s *stepRun) bool { return s.occ.job == j }
	e.ready = slices.DeleteFunc(e.ready, isOf)
	isJob := func(d *job) bool { return d == j }
	e.changedJobs = slices.DeleteFunc(e.changedJobs, isJob)
	e.finished = slices.DeleteFunc(e.finished, isJob)
	e.scheduled = slices.DeleteFunc(e.scheduled, isJob)
}
