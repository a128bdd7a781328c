// Package placement decides where tasks run and which of them give way. It is
// pure decision code: no goroutines, no clock of its own and no input or output.
// The owner of a shard feeds it events and carries out its actions; tests and
// experiments drive the same code on a virtual clock.
//
// # Usage
//
//	s.PutWorker(now, host)
//	s.Enqueue(now, task)
//	for _, a := range s.Decide(now) {
//		switch a.Kind {
//		case placement.ActionStart:
//			send(a) // then s.Started, or s.Ended if it provably did not start
//		}
//	}
//
// A start reserves the task's declared size at once. The reservation stays until
// Ended, whatever else is or is not known, so a worker is never given more than
// it holds.
package placement

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
)

// ActionKind tells what an action does.
type ActionKind string

// Kinds of actions, the cheapest first.
const (
	ActionStart    ActionKind = "start"
	ActionThrottle ActionKind = "throttle"
	// ActionEvict checkpoints a batch task, stops it and queues it again.
	ActionEvict ActionKind = "evict"
	// ActionStop ends a task for good, for example a surplus replica.
	ActionStop ActionKind = "stop"
	// ActionPark takes a task that can never run out of the queue.
	ActionPark ActionKind = "park"
)

// Action is one decision.
type Action struct {
	Kind   ActionKind
	Task   heatherhub.Task
	Worker heatherhub.WorkerID
	// CPUShare is the processor share of a throttle; 100 lifts it.
	CPUShare heatherhub.Percent
	// Reason says why, and for a parked task the remedy.
	Reason string
}

// EndReason tells why a task no longer holds its reservation.
type EndReason string

// Reasons why a task ended on a worker.
const (
	EndFinished EndReason = "finished"
	EndFailed   EndReason = "failed"
	EndEvicted  EndReason = "evicted"
	EndStopped  EndReason = "stopped"
	// EndNotStarted says that the start provably did not take effect.
	EndNotStarted EndReason = "notStarted"
	// EndLost says that the worker is gone and the task's lease has lapsed.
	EndLost EndReason = "lost"
)

// Scheduler decides for one shard. It is not safe for concurrent use; the shard's
// lock guards it. Every method takes the current time, which never goes back.
type Scheduler interface {
	// SetSnapshot replaces the configuration.
	SetSnapshot(now time.Time, s *heatherhub.Snapshot)
	// PutWorker adds a worker or changes its state or capacity.
	PutWorker(now time.Time, h hostlist.Host)
	// RemoveWorker forgets a worker. Its tasks must have ended.
	RemoveWorker(now time.Time, id heatherhub.WorkerID)
	// Enqueue adds a waiting task. A task that is known already is ignored.
	Enqueue(now time.Time, t heatherhub.Task)
	// Dequeue removes a waiting task and reports whether it was waiting.
	Dequeue(now time.Time, id heatherhub.TaskID) bool
	// Started says that a task runs on a worker: after an ActionStart, or as
	// found there by a new owner.
	Started(now time.Time, t heatherhub.Task, id heatherhub.WorkerID)
	// Ended frees a task's reservation. It does not queue the task again.
	Ended(now time.Time, id heatherhub.TaskID, why EndReason)
	// Observe takes a worker's lagged usage.
	Observe(now time.Time, u worker.Usage)
	// Decide returns the next actions. Starts are reserved when they are
	// returned. An evicted task stays reserved until Ended; the owner then
	// queues it again with its checkpoint.
	Decide(now time.Time) []Action
}
