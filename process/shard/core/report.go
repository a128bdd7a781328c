package core

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/ledger"
)

// tickWorker sends a worker the next renewal, if it is due. The renewal extends the
// leases of the worker's tasks and returns its list of tasks. For a worker that has not
// answered for two task leases it extends none, so that the leases surely lapse.
func (s *shard) tickWorker(now time.Time, id heatherhub.WorkerID, w *workerState) {
	if w.renewInFlight || now.Before(w.nextRenew) {
		return
	}
	w.renewInFlight = true
	w.renewSentAt = now
	w.nextRenew = now.Add(w.renewInterval(now))
	until := now.Add(worker.TaskLease)
	c := worker.RenewCommand{Epoch: s.epoch, LeaseUntil: until, Tasks: s.renewable(now, w)}
	if len(c.Tasks) > 0 {
		w.leaseSentUntil = until
	}
	for _, t := range c.Tasks {
		w.tasks[t].leaseUntil = until
	}
	if s.mayAct(now) {
		c.Confirmed = sortedKeys(w.toConfirm)
	}
	s.addCall(Call{Kind: CallRenewTasks, Worker: id, NotAfter: until, Renew: c})
}

// isSilent reports whether the worker has not answered for two task leases.
func (w *workerState) isSilent(now time.Time) bool {
	return !w.lastReadAt.IsZero() && now.Sub(w.lastReadAt) > 2*worker.TaskLease
}

// renewInterval returns the time until the next renewal. Silent workers get renewals
// less often, so that their timeouts do not delay the calls to others.
func (w *workerState) renewInterval(now time.Time) time.Duration {
	if w.isSilent(now) {
		return worker.TaskLease
	}
	return worker.RenewInterval
}

// renewable returns the tasks of a worker whose leases are to be renewed, sorted by id.
// A shard that may not act renews batch tasks only while every listed peer has been heard
// within maxBatchHold.
func (s *shard) renewable(now time.Time, w *workerState) []heatherhub.TaskID {
	if w.isSilent(now) {
		return nil
	}
	var ids []heatherhub.TaskID
	for id, p := range w.tasks {
		mayRenew := s.mayAct(now) || s.hostState.allPeersHeard || p.task.Kind == heatherhub.KindService
		if p.needsRenewal() && mayRenew {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// renewAnswered applies the answer to a renewal: it compares the worker's list with the
// tasks placed there. A task of a higher epoch means that the shard is superseded.
func (s *shard) renewAnswered(now time.Time, a Answer) {
	w, ok := s.workers[a.Call.Worker]
	if !ok {
		return
	}
	w.renewInFlight = false
	if a.Err != nil {
		w.failures++
		s.updateScheduler(now, w)
		w.delayRestart(a)
		return
	}
	for _, st := range a.Report.Tasks {
		if st.Epoch > s.epoch && !s.cfg.Unsafe.SkipEpochCheck {
			s.superseded = true
			return
		}
	}
	w.lastReadAt = a.SentAt
	w.failures = 0
	if w.incarnation != 0 && a.Report.Incarnation != w.incarnation {
		s.recordCrash(now, w)
	}
	w.incarnation = a.Report.Incarnation
	s.updateScheduler(now, w)
	if s.canRecord(now) {
		w.lastRecordedAt = a.SentAt
	}
	listed := make(map[heatherhub.TaskID]bool, len(a.Report.Tasks))
	for _, st := range a.Report.Tasks {
		listed[st.Task.ID] = true
		s.handleStatus(now, a.Call.Worker, w, st, a.SentAt)
	}
	s.removeUnlisted(now, w, listed, a.SentAt)
	s.sched.Observe(now, a.Report.Usage)
}

// canRecord reports whether the shard knows its jobs and may act, so that results can
// be recorded.
func (s *shard) canRecord(now time.Time) bool {
	return s.log.IsOpen() && s.snapshot != nil && s.mayAct(now)
}

// delayRestart notes that the confirmations of a renewal whose answer was lost may
// still arrive. The tasks are not started on the worker again until the renewal has
// expired, since a late confirmation could otherwise apply to the new run.
func (w *workerState) delayRestart(a Answer) {
	if heatherhub.DidNotRun(a.Err) {
		return
	}
	for _, id := range a.Call.Renew.Confirmed {
		if _, ok := w.ended[id]; ok {
			w.ended[id] = a.Call.Renew.LeaseUntil
		}
	}
}

// handleStatus applies a worker's status of one task.
func (s *shard) handleStatus(now time.Time, id heatherhub.WorkerID, w *workerState, st worker.TaskStatus, sent time.Time) {
	p, isKnown := s.tasks[st.Task.ID]
	isHere := isKnown && p.worker == id
	switch {
	case isHere && (sent.Before(p.lastAnswerAt) || p.commandInFlight && p.phase != phaseCheckpointing):
		// The report may be older than the last command for the task, or a command is
		// still under way.
	case isHere && st.State == worker.TaskRunning:
		s.foundRunning(now, p, st)
	case isHere:
		s.foundEnded(now, p, st)
	case st.State == worker.TaskRunning:
		s.foundUnknown(now, id, w, st, sent)
	default:
		s.foundUnplacedEnd(now, id, w, st)
	}
}

func (s *shard) foundRunning(now time.Time, p *placedTask, st worker.TaskStatus) {
	if p.phase == phaseStarting {
		s.markRunning(now, p)
	}
	if st.LeaseUntil.After(p.leaseUntil) {
		p.leaseUntil = st.LeaseUntil
	}
	s.proveIfDue(now, p)
}

// foundUnknown handles a running task that the shard has not placed on the worker. It
// adopts the task, or stops it if it should not run there.
func (s *shard) foundUnknown(now time.Time, id heatherhub.WorkerID, w *workerState, st worker.TaskStatus, sent time.Time) {
	if sent.Before(w.lastCommandAt) {
		return
	}
	_, elsewhere := s.tasks[st.Task.ID]
	if !s.log.IsOpen() || s.snapshot == nil {
		// The shard's jobs are not known yet, so the task may be wanted.
		s.adopt(now, id, st)
		return
	}
	if elsewhere || st.Task.Kind == heatherhub.KindBatch && !s.isWanted(st.Task) {
		s.stopUnwanted(now, id, w, st)
		return
	}
	s.adopt(now, id, st)
}

// adopt places a task that already runs on a worker.
func (s *shard) adopt(now time.Time, id heatherhub.WorkerID, st worker.TaskStatus) {
	if _, elsewhere := s.tasks[st.Task.ID]; elsewhere {
		return
	}
	if s.queued[st.Task.ID] {
		s.sched.Dequeue(now, st.Task.ID)
		delete(s.queued, st.Task.ID)
	}
	p := s.place(now, st.Task, id, phaseRunning)
	p.leaseUntil = st.LeaseUntil
	s.sched.Started(now, st.Task, id)
	s.workers[id].nextRenew = now
}

// stopUnwanted stops a task that should not run on the worker. Its size stays reserved
// until the worker reports it as ended or no longer lists it, or is absent.
func (s *shard) stopUnwanted(now time.Time, id heatherhub.WorkerID, w *workerState, st worker.TaskStatus) {
	w.unwanted[st.Task.ID] = st.Task.Size
	if s.mayAct(now) {
		s.addCall(Call{Kind: CallStop, Worker: id, Task: st.Task.ID, NotAfter: s.commandDeadline(now)})
	}
}

// foundEnded handles the end of a placed task. A result or checkpoint is recorded
// durably before the worker is told to forget the task.
func (s *shard) foundEnded(now time.Time, p *placedTask, st worker.TaskStatus) {
	wasEnded := p.phase == phaseEnded
	switch st.State {
	case worker.TaskFinished:
		s.markFinished(now, p, st.Task)
	case worker.TaskFailed:
		s.markEnded(now, p, placement.EndFailed)
	default:
		s.markEnded(now, p, s.stopReason(p))
	}
	if p.awaitedRecord == 0 && !wasEnded && p.intent == intentRequeue && p.task.Kind == heatherhub.KindBatch {
		s.recordReportedCheckpoint(now, p, st.Checkpoint)
	}
	if p.awaitedRecord == 0 {
		s.confirmEnd(p)
	}
}

// stopReason returns why a task was stopped.
func (s *shard) stopReason(p *placedTask) placement.EndReason {
	if p.endReason != "" {
		return p.endReason
	}
	return placement.EndStopped
}

// markFinished ends a task that finished by itself. The finish of a batch task is
// recorded, so that the task is not queued again.
func (s *shard) markFinished(now time.Time, p *placedTask, t heatherhub.Task) {
	if p.phase == phaseEnded && p.endReason == placement.EndFinished {
		return
	}
	wasEnded := p.phase == phaseEnded
	s.markEnded(now, p, placement.EndFinished)
	if wasEnded {
		p.endReason = placement.EndFinished
	}
	p.awaitedRecord = 0
	if t.Kind != heatherhub.KindBatch {
		return
	}
	p.intent = intentDrop
	p.awaitedRecord = s.recordFinished(now, t)
}

func (s *shard) recordFinished(now time.Time, t heatherhub.Task) uint64 {
	s.recordingFinish[t.ID] = true
	r := ledger.Record{Kind: ledger.KindFinished, At: now.UnixMilli(), ID: t.Job, Indexes: []int{t.Index}}
	return s.log.Append(r, false)
}

// recordReportedCheckpoint records a checkpoint that the worker reports and the shard
// does not know, so that the task resumes from it.
func (s *shard) recordReportedCheckpoint(now time.Time, p *placedTask, ref heatherhub.CheckpointRef) {
	if ref == "" || !s.log.IsOpen() {
		return
	}
	job, ok := s.log.State().Jobs[p.task.Job]
	if ok && !job.IsFinal() && job.Checkpoints[p.task.Index] != ref {
		p.awaitedRecord = s.recordCheckpoint(now, p, ref)
	}
}

// confirmEnd lets the next renewal tell the worker to forget an ended task.
func (s *shard) confirmEnd(p *placedTask) {
	w := s.workers[p.worker]
	w.toConfirm[p.task.ID] = true
	if _, ok := w.ended[p.task.ID]; !ok {
		w.ended[p.task.ID] = time.Time{}
	}
}

// foundUnplacedEnd handles an ended task that the shard has not placed on the worker.
// The result of a wanted task is recorded; any other is confirmed at once.
func (s *shard) foundUnplacedEnd(now time.Time, id heatherhub.WorkerID, w *workerState, st worker.TaskStatus) {
	delete(w.unwanted, st.Task.ID)
	if _, ok := w.ended[st.Task.ID]; !ok {
		w.ended[st.Task.ID] = time.Time{}
	}
	if !s.canRecord(now) {
		return
	}
	isResult := st.State == worker.TaskFinished && st.Task.Kind == heatherhub.KindBatch
	if !isResult || !s.isWanted(st.Task) {
		if !s.recordingFinish[st.Task.ID] {
			w.toConfirm[st.Task.ID] = true
		}
		return
	}
	s.recordUnexpectedResult(now, id, st)
}

// recordUnexpectedResult records the result of a task that finished on a worker where
// it is not placed: before a takeover, or while the worker was absent. If the task
// runs again elsewhere, that run is stopped.
func (s *shard) recordUnexpectedResult(now time.Time, id heatherhub.WorkerID, st worker.TaskStatus) {
	if s.queued[st.Task.ID] {
		s.sched.Dequeue(now, st.Task.ID)
		delete(s.queued, st.Task.ID)
	}
	if _, elsewhere := s.tasks[st.Task.ID]; elsewhere {
		s.recordFinished(now, st.Task)
		s.stopTask(now, st.Task.ID, intentDrop, placement.EndStopped)
		return
	}
	p := s.place(now, st.Task, id, phaseEnded)
	p.endReason = placement.EndFinished
	p.intent = intentDrop
	p.awaitedRecord = s.recordFinished(now, st.Task)
}

// removeUnlisted deletes the tasks that the worker no longer lists.
func (s *shard) removeUnlisted(now time.Time, w *workerState, listed map[heatherhub.TaskID]bool, sent time.Time) {
	for id := range w.unwanted {
		if !listed[id] {
			delete(w.unwanted, id)
		}
	}
	for id, until := range w.ended {
		if !listed[id] && (until.IsZero() || now.After(until.Add(s.cfg.ClockMargin))) {
			delete(w.ended, id)
			delete(w.toConfirm, id)
		}
	}
	for _, id := range sortedKeys(w.tasks) {
		if p := w.tasks[id]; !listed[id] && !sent.Before(p.lastAnswerAt) && !p.commandInFlight {
			s.handleUnlisted(now, w, p, sent)
		}
	}
}

// handleUnlisted handles a placed task that the worker does not list. An ended task is
// removed once its end is recorded and confirmed, and a start counts as failed once
// its lease has lapsed. Any other task is lost.
func (s *shard) handleUnlisted(now time.Time, w *workerState, p *placedTask, sent time.Time) {
	switch p.phase {
	case phaseEnded:
		_, isEnded := w.ended[p.task.ID]
		if p.awaitedRecord == 0 && !isEnded {
			s.remove(now, p)
		}
	case phaseStarting:
		if sent.After(p.leaseUntil.Add(s.cfg.ClockMargin)) {
			s.markEnded(now, p, placement.EndNotStarted)
			s.remove(now, p)
		}
	default:
		if !s.mayAct(now) {
			return
		}
		p.awaitedRecord = 0
		s.markEnded(now, p, placement.EndLost)
		s.remove(now, p)
	}
}
