package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/ledger"
)

// evict begins to take a task from its worker: checkpoint, record the checkpoint
// durably, stop, prove that it is stopped, queue it again. If the owner dies at
// any step, its successor finds the task running and goes on with it, or finds it
// ended and queues it with the recorded checkpoint.
func (s *shard) evict(now time.Time, id heatherhub.TaskID) {
	p, ok := s.tasks[id]
	if !ok || p.phase != phaseRunning {
		return
	}
	if p.task.Kind != heatherhub.KindBatch {
		s.drain(now, p, intentRequeue)
		return
	}
	p.phase = phaseCheckpointing
	p.endReason = placement.EndEvicted
	p.attempts = 0
	s.sendCheckpoint(now, p)
}

func (s *shard) sendCheckpoint(now time.Time, p *placedTask) {
	p.commandInFlight = true
	p.attempts++
	p.nextAttempt = now.Add(commandRetryInterval)
	s.addCall(Call{Kind: CallCheckpoint, Worker: p.worker, Task: p.task.ID, NotAfter: s.commandDeadline(now)})
}

func (s *shard) checkpointAnswered(now time.Time, a Answer) {
	p, ok := s.tasks[a.Call.Task]
	if !ok || p.worker != a.Call.Worker || !p.commandInFlight {
		return
	}
	p.commandInFlight = false
	if p.phase != phaseCheckpointing {
		return
	}
	switch {
	case a.Err == nil:
		p.phase = phaseRecording
		p.awaitedRecord = s.recordCheckpoint(now, p, a.Checkpoint)
	case p.attempts >= maxCheckpointAttempts:
		s.stopTask(now, p.task.ID, p.intent, placement.EndEvicted)
	}
}

func (s *shard) recordCheckpoint(now time.Time, p *placedTask, ref heatherhub.CheckpointRef) uint64 {
	return s.log.Append(ledger.Record{
		Kind:    ledger.KindCheckpoint,
		At:      now.UnixMilli(),
		ID:      p.task.Job,
		Indexes: []int{p.task.Index},
		Ref:     ref,
	}, false)
}

// drain lets a replica end its requests before it is stopped.
func (s *shard) drain(now time.Time, p *placedTask, next intent) {
	if p.phase != phaseRunning {
		return
	}
	p.phase = phaseDraining
	p.intent = next
	p.stopAt = now.Add(s.drainTime(p.task.Workload))
}

// drainTime is the time that a request which is under way may still take, and
// the time until every host has stopped sending new ones.
func (s *shard) drainTime(id heatherhub.WorkloadID) time.Duration {
	wait := s.cfg.ClockMargin
	if w := s.snapshot.Workload(id); w != nil {
		wait += w.Deadline
	}
	return wait
}

// stopTask stops a task, or forgets to start it.
func (s *shard) stopTask(now time.Time, id heatherhub.TaskID, next intent, why placement.EndReason) {
	p, ok := s.tasks[id]
	if !ok {
		return
	}
	if next == intentDrop {
		p.intent = intentDrop
	}
	switch p.phase {
	case phaseStarting, phaseStopping, phaseEnded:
		return
	}
	p.phase = phaseStopping
	p.endReason = why
	p.awaitedRecord = 0
	p.attempts = 0
	// A start of the predecessor may still arrive behind a stop that comes too
	// early.
	p.nextAttempt = s.startNotBefore
	if !p.commandInFlight && s.mayAct(now) && !now.Before(s.startNotBefore) {
		s.sendStop(now, p)
	}
}

func (s *shard) sendStop(now time.Time, p *placedTask) {
	p.commandInFlight = true
	p.nextAttempt = now.Add(commandRetryInterval)
	s.addCall(Call{Kind: CallStop, Worker: p.worker, Task: p.task.ID, NotAfter: s.commandDeadline(now)})
}

func (s *shard) stopAnswered(now time.Time, a Answer) {
	w := s.workers[a.Call.Worker]
	if w != nil {
		w.lastCommandAt = now
	}
	p, ok := s.tasks[a.Call.Task]
	if !ok || p.worker != a.Call.Worker || !p.commandInFlight {
		return
	}
	p.commandInFlight = false
	isProof := a.Err == nil || heatherhub.CodeOf(a.Err) == heatherhub.CodeUnknown && s.cfg.Unsafe.LostAnswerIsFailure
	if p.phase != phaseStopping || !isProof {
		return
	}
	p.lastAnswerAt = now
	why := p.endReason
	s.markEnded(now, p, why)
	// The worker still lists the task as stopped; the next report confirms it.
	s.workers[p.worker].nextRenew = now
}
