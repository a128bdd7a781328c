package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
)

// phase is the stage of a placed task.
type phase int

const (
	// phaseStarting waits until it is known whether the start took effect.
	phaseStarting phase = iota
	phaseRunning
	// phaseDraining is a replica that gets no new requests and is stopped at stopAt.
	phaseDraining
	// phaseCheckpointing waits for the checkpoint of a task that is being evicted.
	phaseCheckpointing
	// phaseRecording waits until that checkpoint is durable.
	phaseRecording
	// phaseStopping waits for proof that the task no longer runs.
	phaseStopping
	// phaseEnded no longer runs and occupies no capacity. It waits until its result is
	// durable and the worker no longer lists it.
	phaseEnded
)

// intent is what happens to a task after it has ended.
type intent int

const (
	intentRequeue intent = iota
	intentDrop
)

// commandRetryInterval is the time between two attempts of a command.
const commandRetryInterval = time.Second

// maxCheckpointAttempts is the number of attempts to checkpoint a task, after which it
// is stopped and resumes from its previous checkpoint.
const maxCheckpointAttempts = 3

// placedTask is a task that is assigned to a worker.
type placedTask struct {
	task      heatherhub.Task
	worker    heatherhub.WorkerID
	phase     phase
	intent    intent
	endReason placement.EndReason
	// leaseUntil is the latest end of a lease that the task can have.
	leaseUntil time.Time
	// lastAnswerAt is when the last command for the task was answered. Reports that
	// were requested earlier are ignored for the task.
	lastAnswerAt time.Time
	runningSince time.Time
	// isProven means that the worker has listed the task some time after its start, so that it
	// does not crash its workers.
	isProven bool
	// stopAt is when a draining replica is stopped.
	stopAt          time.Time
	nextAttempt     time.Time
	attempts        int
	commandInFlight bool
	// awaitedRecord is the number of the ledger record that must be durable before the
	// task goes on; zero for none.
	awaitedRecord uint64
}

// needsRenewal reports whether the task's lease is to be renewed.
func (p *placedTask) needsRenewal() bool {
	switch p.phase {
	case phaseRunning, phaseDraining, phaseCheckpointing, phaseRecording:
		return true
	default:
		return false
	}
}

// reserved returns the resources that are occupied by a worker's tasks, including tasks
// of which it is unknown whether they run.
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

// place assigns a task to a worker.
func (s *shard) place(now time.Time, t heatherhub.Task, id heatherhub.WorkerID, initial phase) *placedTask {
	p := &placedTask{task: t, worker: id, phase: initial, runningSince: now}
	s.tasks[t.ID] = p
	s.workers[id].tasks[t.ID] = p
	return p
}

// runScheduler carries out the scheduler's actions. Starts are checked against the
// shard's own state first, so that a fault of the scheduler cannot start a task twice
// or overcommit a worker.
func (s *shard) runScheduler(now time.Time) {
	for _, a := range s.sched.Decide(now) {
		switch a.Kind {
		case placement.ActionStart:
			s.start(now, a)
		case placement.ActionThrottle:
			s.addCall(Call{Kind: CallThrottle, Worker: a.Worker, Task: a.Task.ID, Share: a.CPUShare, NotAfter: s.hostState.validUntil})
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
		s.sched.Ended(now, a.Task.ID, placement.EndNotSent)
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

// commandDeadline returns the time after which a command must not be sent any more.
func (s *shard) commandDeadline(now time.Time) time.Time {
	if s.cfg.Unsafe.SkipEpochCheck {
		return now.Add(worker.TaskLease)
	}
	return s.hostState.validUntil
}

// mayStart reports whether the worker is recorded and reachable and has room for the task, and the
// task is wanted and not placed anywhere.
func (s *shard) mayStart(now time.Time, a placement.Action) bool {
	w, ok := s.workers[a.Worker]
	if !ok || !w.listed || !w.isRecorded || !w.isReachable(now) || !s.isWanted(a.Task) {
		return false
	}
	_, isPlaced := s.tasks[a.Task.ID]
	_, isEnded := w.ended[a.Task.ID]
	_, isUnwanted := w.unwanted[a.Task.ID]
	if isPlaced || isEnded || isUnwanted {
		return false
	}
	return a.Task.Size.Fits(w.host.Capacity.Sub(w.reserved())) && s.mayStartBeside(w, a.Task)
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
		// The task stays in phaseStarting and keeps its reservation until a report or
		// the end of the lease shows what happened.
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

// markEnded frees the reservation of a task that provably does not run.
func (s *shard) markEnded(now time.Time, p *placedTask, reason placement.EndReason) {
	if p.phase == phaseEnded {
		return
	}
	p.phase = phaseEnded
	p.endReason = reason
	s.sched.Ended(now, p.task.ID, reason)
}

// remove deletes a task that the worker no longer lists, and queues it again if it is
// still wanted.
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

// tickTasks retries failed commands, stops drained replicas and ends the tasks of
// absent workers.
func (s *shard) tickTasks(now time.Time) {
	for _, id := range sortedKeys(s.tasks) {
		p := s.tasks[id]
		w := s.workers[p.worker]
		hasLapsed := p.leaseUntil.Add(s.cfg.ClockMargin).Before(now) || s.cfg.Unsafe.TrustHostList && !w.listed
		if hasLapsed && s.isAbsent(now, w, p.task.Kind) {
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

// markLost ends and removes a task on an absent worker, unless a record of it is not
// durable yet.
func (s *shard) markLost(now time.Time, p *placedTask) {
	if p.awaitedRecord != 0 {
		return
	}
	s.markEnded(now, p, placement.EndLost)
	s.remove(now, p)
}
