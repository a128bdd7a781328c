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

// commandRetryInterval is the time between two attempts of a command.
const commandRetryInterval = time.Second

// maxCheckpointAttempts is the number of attempts to checkpoint a task before it
// is stopped with the checkpoint that it had.
const maxCheckpointAttempts = 3

// placedTask is a task on a worker.
type placedTask struct {
	task      heatherhub.Task
	worker    heatherhub.WorkerID
	phase     phase
	intent    intent
	endReason placement.EndReason
	// leaseUntil is the end of the longest lease that the task can have.
	leaseUntil time.Time
	// lastAnswerAt is when the last command about the task was answered; an older
	// report says nothing about it.
	lastAnswerAt time.Time
	runningSince time.Time
	// stopAt is when a draining replica is stopped.
	stopAt          time.Time
	nextAttempt     time.Time
	attempts        int
	commandInFlight bool
	// awaitedRecord is the ledger record that must be durable first.
	awaitedRecord uint64
}

func (p *placedTask) needsRenewal() bool {
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
	for _, size := range w.unwanted {
		sum = sum.Add(size)
	}
	return sum
}

func (s *shard) place(now time.Time, t heatherhub.Task, id heatherhub.WorkerID, ph phase) *placedTask {
	p := &placedTask{task: t, worker: id, phase: ph, runningSince: now}
	s.tasks[t.ID] = p
	s.workers[id].tasks[t.ID] = p
	return p
}

// runScheduler carries out what the scheduler wants, after checking it against the
// hard limits.
func (s *shard) runScheduler(now time.Time) {
	for _, a := range s.sched.Decide(now) {
		switch a.Kind {
		case placement.ActionStart:
			s.start(now, a)
		case placement.ActionThrottle:
			s.addCall(Call{Kind: CallThrottle, Worker: a.Worker, Task: a.Task.ID, Share: a.Share, NotAfter: s.hostState.validUntil})
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
	p.leaseUntil = now.Add(worker.TaskLease)
	p.commandInFlight = true
	s.addCall(Call{
		Kind:     CallStart,
		Worker:   a.Worker,
		Task:     a.Task.ID,
		NotAfter: s.commandDeadline(now),
		Start:    worker.StartCommand{Task: a.Task, Epoch: s.epoch, LeaseUntil: p.leaseUntil},
	})
}

func (s *shard) commandDeadline(now time.Time) time.Time {
	if s.cfg.Unsafe.SkipEpochCheck {
		return now.Add(worker.TaskLease)
	}
	return s.hostState.validUntil
}

func (s *shard) mayStart(now time.Time, a placement.Action) bool {
	w, ok := s.workers[a.Worker]
	if !ok || !w.listed || !w.isReachable(now) || !s.isWanted(a.Task) {
		return false
	}
	_, isPlaced := s.tasks[a.Task.ID]
	_, isEnded := w.ended[a.Task.ID]
	_, isStray := w.unwanted[a.Task.ID]
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
	p.commandInFlight = false
	s.noteCommandAnswer(now, p)
	code := heatherhub.CodeOf(a.Err)
	if code == heatherhub.CodeUnknown && s.cfg.Unsafe.LostAnswerIsFailure {
		code = heatherhub.CodeUnavailable
	}
	switch code {
	case heatherhub.CodeOK:
		s.markRunning(now, p)
	case heatherhub.CodeUnknown:
		// The reservation stays until a report or the lapse of the lease proves
		// what happened.
	default:
		s.markEnded(now, p, placement.EndNotStarted)
		s.remove(now, p)
	}
}

func (s *shard) noteCommandAnswer(now time.Time, p *placedTask) {
	p.lastAnswerAt = now
	s.workers[p.worker].lastCommandAt = now
}

func (s *shard) markRunning(now time.Time, p *placedTask) {
	p.phase = phaseRunning
	p.runningSince = now
	s.sched.Started(now, p.task, p.worker)
	if p.intent == intentDrop {
		s.stopTask(now, p.task.ID, intentDrop, placement.EndStopped)
	}
}

// markEnded frees the room of a task that provably does not run.
func (s *shard) markEnded(now time.Time, p *placedTask, why placement.EndReason) {
	if p.phase == phaseEnded {
		return
	}
	p.phase = phaseEnded
	p.endReason = why
	s.sched.Ended(now, p.task.ID, why)
}

// remove forgets a task that the worker does not list any more, and queues it
// again if it is still wanted.
func (s *shard) remove(now time.Time, p *placedTask) {
	delete(s.tasks, p.task.ID)
	if w, ok := s.workers[p.worker]; ok {
		delete(w.tasks, p.task.ID)
		delete(w.toConfirm, p.task.ID)
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
		if p.leaseUntil.Add(s.cfg.ClockMargin).Before(now) && s.isAbsent(now, w, p.task.Kind) {
			s.markLost(now, p)
			continue
		}
		if p.commandInFlight || now.Before(p.nextAttempt) {
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
		if len(w.unwanted) > 0 && s.isAbsent(now, w, heatherhub.KindService) {
			clear(w.unwanted)
		}
	}
}

// markLost ends a task on an absent worker.
func (s *shard) markLost(now time.Time, p *placedTask) {
	if p.awaitedRecord != 0 {
		return
	}
	s.markEnded(now, p, placement.EndLost)
	s.remove(now, p)
}
