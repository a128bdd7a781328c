package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/ledger"
)

// evict starts the eviction of a task. A batch task is checkpointed, the checkpoint is
// recorded durably, the task is stopped, and once it provably does not run it is
// queued again. If the owner dies at any step, its successor either finds the task
// running and adopts it, or finds it ended and queues it with the recorded checkpoint.
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

// drain starts to drain a running replica: it gets no new requests and is stopped once
// those under way have had time to end.
func (s *shard) drain(now time.Time, p *placedTask, after intent) {
	if p.phase != phaseRunning {
		return
	}
	p.phase = phaseDraining
	p.intent = after
	p.stopAt = now.Add(s.drainTime(p.task.Workload))
}

// drainTime is how long a replica of a service is drained: the clock margin, until every
// host has stopped sending it requests, and the deadline of the last request.
func (s *shard) drainTime(id heatherhub.WorkloadID) time.Duration {
	wait := s.cfg.ClockMargin
	if w := s.snapshot.Workload(id); w != nil {
		wait += w.Deadline
	}
	return wait
}

// stopTask stops a task. One that is still starting is stopped once it runs, if it is
// to be dropped.
func (s *shard) stopTask(now time.Time, id heatherhub.TaskID, after intent, reason placement.EndReason) {
	p, ok := s.tasks[id]
	if !ok {
		return
	}
	if after == intentDrop {
		p.intent = intentDrop
	}
	switch p.phase {
	case phaseStarting, phaseStopping, phaseEnded:
		return
	}
	p.phase = phaseStopping
	p.endReason = reason
	p.awaitedRecord = 0
	p.attempts = 0
	// A stop that is sent before startNotBefore could arrive ahead of a start that the
	// predecessor has sent, which would then still take effect.
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
	isStopped := a.Err == nil || heatherhub.CodeOf(a.Err) == heatherhub.CodeUnknown && s.cfg.Unsafe.LostAnswerIsFailure
	if p.phase != phaseStopping || !isStopped {
		return
	}
	p.lastAnswerAt = now
	reason := p.endReason
	s.markEnded(now, p, reason)
	// The worker lists the task as stopped until it is told to forget it, which needs
	// its next report.
	s.workers[p.worker].nextRenew = now
}
