package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
)

// phase is how far a placed task is.
type phase int

const (
	// phaseStarting waits for proof that the start took effect or did not.
	phaseStarting phase = iota
	phaseRunning
	// phaseDraining is a replica that gets no new requests and is stopped next.
	phaseDraining
	// phaseCheckpointing waits for the checkpoint of a task that gives way.
	phaseCheckpointing
	// phaseRecording waits until the checkpoint is durable.
	phaseRecording
	// phaseStopping waits for proof that the task does not run any more.
	phaseStopping
	// phaseEnded does not run and holds no room. It waits until its result is
	// durable and the worker has forgotten it.
	phaseEnded
)

// intent is what follows the end of a task.
type intent int

const (
	intentRequeue intent = iota
	intentDrop
)

// commandRetry is the time between two attempts of a command.
const commandRetry = time.Second

// maxCheckpointAttempts is the number of attempts to checkpoint a task before it
// is stopped with the checkpoint that it had.
const maxCheckpointAttempts = 3

// placed is a task on a worker.
type placed struct {
	task   heatherhub.Task
	worker heatherhub.WorkerID
	phase  phase
	intent intent
	why    placement.EndReason
	// until is the end of the longest lease that the task can have.
	until time.Time
	// changed is when the last command about the task was answered; an older
	// report says nothing about it.
	changed time.Time
	since   time.Time
	// stopAt is when a draining replica is stopped.
	stopAt   time.Time
	next     time.Time
	attempts int
	isOut    bool
	// waitsFor is the ledger record that must be durable first.
	waitsFor uint64
}

func (p *placed) isRenewed() bool {
	switch p.phase {
	case phaseRunning, phaseDraining, phaseCheckpointing, phaseRecording:
		return true
	default:
		return false
	}
}

// reserved returns what a worker's tasks hold, including those whose outcome is
// unknown.
func (w *workerState) reserved() heatherhub.Resources {
	var sum heatherhub.Resources
	for _, p := range w.tasks {
		if p.phase != phaseEnded {
			sum = sum.Add(p.task.Size)
		}
	}
	for _, size := range w.strays {
		sum = sum.Add(size)
	}
	return sum
}

func (s *shard) place(now time.Time, t heatherhub.Task, id heatherhub.WorkerID, ph phase) *placed {
	p := &placed{task: t, worker: id, phase: ph, since: now}
	s.tasks[t.ID] = p
	s.workers[id].tasks[t.ID] = p
	return p
}

// decide carries out what the scheduler wants, after checking it against the
// hard limits.
func (s *shard) decide(now time.Time) {
	for _, a := range s.sched.Decide(now) {
		switch a.Kind {
		case placement.ActionStart:
			s.start(now, a)
		case placement.ActionThrottle:
			s.call(Call{Kind: CallThrottle, Worker: a.Worker, Task: a.Task.ID, Share: a.CPUShare, NotAfter: s.auth.validTo})
		case placement.ActionEvict:
			s.evict(now, a.Task.ID)
		case placement.ActionStop:
			s.stopTask(now, a.Task.ID, intentRequeue, placement.EndStopped)
		case placement.ActionPark:
			s.park(now, a)
		}
	}
}

func (s *shard) start(now time.Time, a placement.Action) {
	delete(s.queued, a.Task.ID)
	if !s.mayStart(now, a) {
		s.sched.Ended(now, a.Task.ID, placement.EndNotStarted)
		s.requeue(now, a.Task)
		return
	}
	p := s.place(now, a.Task, a.Worker, phaseStarting)
	p.until = now.Add(worker.TaskLease)
	p.isOut = true
	s.call(Call{
		Kind:     CallStart,
		Worker:   a.Worker,
		Task:     a.Task.ID,
		NotAfter: s.validTo(now),
		Start:    worker.StartCommand{Task: a.Task, Epoch: s.epoch, LeaseUntil: p.until},
	})
}

func (s *shard) validTo(now time.Time) time.Time {
	if s.cfg.Unsafe.SkipEpochCheck {
		return now.Add(worker.TaskLease)
	}
	return s.auth.validTo
}

func (s *shard) mayStart(now time.Time, a placement.Action) bool {
	w, ok := s.workers[a.Worker]
	if !ok || !w.listed || !w.isReachable(now) || !s.isWanted(a.Task) {
		return false
	}
	_, isPlaced := s.tasks[a.Task.ID]
	_, isEnded := w.ended[a.Task.ID]
	_, isStray := w.strays[a.Task.ID]
	if isPlaced || isEnded || isStray {
		return false
	}
	return a.Task.Size.Fits(w.host.Capacity.Sub(w.reserved()))
}

func (s *shard) startAnswered(now time.Time, a Answer) {
	p, ok := s.tasks[a.Call.Task]
	if !ok || p.worker != a.Call.Worker || p.phase != phaseStarting {
		return
	}
	p.isOut = false
	s.commanded(now, p)
	code := heatherhub.CodeOf(a.Err)
	if code == heatherhub.CodeUnknown && s.cfg.Unsafe.LostAnswerIsFailure {
		code = heatherhub.CodeUnavailable
	}
	switch code {
	case heatherhub.CodeOK:
		s.running(now, p)
	case heatherhub.CodeUnknown:
		// The reservation stays until a report or the lapse of the lease proves
		// what happened.
	default:
		s.end(now, p, placement.EndNotStarted)
		s.remove(now, p)
	}
}

func (s *shard) commanded(now time.Time, p *placed) {
	p.changed = now
	s.workers[p.worker].commanded = now
}

func (s *shard) running(now time.Time, p *placed) {
	p.phase = phaseRunning
	p.since = now
	s.sched.Started(now, p.task, p.worker)
	if p.intent == intentDrop {
		s.stopTask(now, p.task.ID, intentDrop, placement.EndStopped)
	}
}

// end frees the room of a task that provably does not run.
func (s *shard) end(now time.Time, p *placed, why placement.EndReason) {
	if p.phase == phaseEnded {
		return
	}
	p.phase = phaseEnded
	p.why = why
	s.sched.Ended(now, p.task.ID, why)
}

// remove forgets a task that the worker does not list any more, and queues it
// again if it is still wanted.
func (s *shard) remove(now time.Time, p *placed) {
	delete(s.tasks, p.task.ID)
	if w, ok := s.workers[p.worker]; ok {
		delete(w.tasks, p.task.ID)
		delete(w.confirm, p.task.ID)
	}
	if p.intent == intentRequeue {
		s.requeue(now, p.task)
	}
}

// tickTasks goes on with commands that failed and with tasks whose worker is
// absent.
func (s *shard) tickTasks(now time.Time) {
	for _, id := range sortedKeys(s.tasks) {
		p := s.tasks[id]
		w := s.workers[p.worker]
		if p.until.Add(s.cfg.Margin).Before(now) && s.isAbsent(now, w, p.task.Kind) {
			s.lost(now, p)
			continue
		}
		if p.isOut || now.Before(p.next) {
			continue
		}
		switch p.phase {
		case phaseCheckpointing:
			s.sendCheckpoint(now, p)
		case phaseStopping:
			s.sendStop(now, p)
		case phaseDraining:
			if !now.Before(p.stopAt) {
				s.stopTask(now, id, p.intent, placement.EndStopped)
			}
		}
	}
	for _, w := range s.workers {
		if len(w.strays) > 0 && s.isAbsent(now, w, heatherhub.KindService) {
			clear(w.strays)
		}
	}
}

// lost ends a task on an absent worker.
func (s *shard) lost(now time.Time, p *placed) {
	if p.waitsFor != 0 {
		return
	}
	s.end(now, p, placement.EndLost)
	s.remove(now, p)
}
