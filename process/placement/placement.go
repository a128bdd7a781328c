// Package placement decides on which workers tasks start and which tasks are
// throttled, evicted or parked. It has no goroutines, clock or I/O: the owner of a
// shard passes events and the time in and carries out the returned actions, so that
// tests and experiments can run the same code on a virtual clock.
//
// # Usage
//
//	s.PutWorker(now, host)
//	s.Enqueue(now, task)
//	for _, a := range s.Decide(now) {
//		switch a.Kind {
//		case placement.ActionStart:
//			send(a) // then s.Started, or s.Ended if it is known not to have started
//		}
//	}
//
// Decide reserves the declared size of each task that it starts. Only Ended frees the
// reservation, also when the outcome of a start is unknown, so the declared sizes on a
// worker never exceed its capacity.
package placement

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
)

// ActionKind is what the owner has to do for an Action.
type ActionKind string

// Kinds of actions.
const (
	ActionStart ActionKind = "start"
	// ActionThrottle limits a batch task to Action.CPUShare.
	ActionThrottle ActionKind = "throttle"
	// ActionEvict checkpoints a batch task, stops it and queues it again.
	ActionEvict ActionKind = "evict"
	// ActionStop stops a task without a checkpoint: a replica that moves to another
	// worker, or a task that did not stop after its eviction.
	ActionStop ActionKind = "stop"
	// ActionPark removes from the queue a task that fits no worker or whose job
	// fails everywhere.
	ActionPark ActionKind = "park"
)

// Action is one decision of a Scheduler, to be carried out by the owner.
type Action struct {
	Kind   ActionKind
	Task   heatherhub.Task
	Worker heatherhub.WorkerID
	// CPUShare is the processor share that a throttle allows; 100 lifts it.
	CPUShare heatherhub.Percent
	// Reason explains the action to operators and, for a parked task, says what to do.
	Reason string
}

// EndReason is why a task's reservation is freed.
type EndReason string

// Reasons why a task ended on a worker.
const (
	EndFinished EndReason = "finished"
	EndFailed   EndReason = "failed"
	EndEvicted  EndReason = "evicted"
	EndStopped  EndReason = "stopped"
	// EndNotStarted means that the start is known not to have taken effect.
	EndNotStarted EndReason = "notStarted"
	// EndNotSent means that the owner held the start back, which says nothing about the
	// health of the worker.
	EndNotSent EndReason = "notSent"
	// EndLost means that the worker is gone and the task's lease has expired.
	EndLost EndReason = "lost"
)

// Scheduler makes the placement decisions of one shard. It is not safe for concurrent
// use; the shard's lock guards it. Methods take the current time, which must not
// decrease from call to call.
type Scheduler interface {
	// SetSnapshot replaces the configuration.
	SetSnapshot(now time.Time, s *heatherhub.Snapshot)
	// PutWorker adds a worker or changes its state or capacity.
	PutWorker(now time.Time, h hostlist.Host)
	// RemoveWorker removes a worker. Its tasks must have ended.
	RemoveWorker(now time.Time, id heatherhub.WorkerID)
	// Enqueue adds a waiting task. It ignores a task that it already knows.
	Enqueue(now time.Time, t heatherhub.Task)
	// Dequeue removes a waiting task and reports whether it was waiting.
	Dequeue(now time.Time, id heatherhub.TaskID) bool
	// Started records that a task runs on a worker, either after an ActionStart or
	// because a new owner found it there.
	Started(now time.Time, t heatherhub.Task, id heatherhub.WorkerID)
	// Ended frees a task's reservation. It does not queue the task again.
	Ended(now time.Time, id heatherhub.TaskID, why EndReason)
	// Observe records a worker's usage report, which may lag behind now.
	Observe(now time.Time, u worker.Usage)
	// Decide returns the next actions. Starts that it returns are already reserved.
	// An evicted task keeps its reservation until Ended; the owner then queues it
	// again with its checkpoint.
	Decide(now time.Time) []Action
}
