package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

// entryState is the state of a task in the scheduler.
type entryState int

const (
	// stateUnschedulable means that the task fits no known worker, even an empty one.
	stateUnschedulable entryState = iota
	stateWaiting
	// stateReserved means that the task has a reservation and is starting or running.
	stateReserved
	// stateStopping means that the task was evicted or stopped and keeps its
	// reservation until it ends.
	stateStopping
)

// entry is the scheduler's record of one task.
type entry struct {
	task  heatherhub.Task
	state entryState
	unit  *unit
	// node and taskIndex, the position in node.tasks, are set while the task has a
	// reservation.
	node      *node
	taskIndex int
	// planned is the size that the node's free resources are reduced by; it is at
	// least the declared size.
	planned heatherhub.Resources
	started time.Time
	// parkAt is when the task is parked if it is still unschedulable.
	parkAt time.Time
	// checkpointed is when the task's work was last known to be saved: when it started,
	// from its checkpoint if it has one.
	checkpointed time.Time
	throttle     heatherhub.Percent
	// maxCPUShare limits the throttle of a task that uses more than its node can give.
	maxCPUShare heatherhub.Percent
	// latencyRatio is the smoothed time per request of a replica, relative to the
	// time that triggers mitigation.
	latencyRatio float64
	// serviceIndex is the position in node.services.
	serviceIndex int
	// leavingSince is when the task was evicted, or when a replica was first asked
	// to move.
	leavingSince time.Time
}

func (e *entry) isService() bool {
	return e.task.Kind == heatherhub.KindService
}

func (e *entry) isUrgent() bool {
	return !e.isService() && e.task.Priority >= heatherhub.PriorityUrgent
}

// isPreemptible reports whether the task is a batch task below urgent priority, which
// may be throttled and evicted.
func (e *entry) isPreemptible() bool {
	return !e.isService() && !e.isUrgent()
}

func scopeOf(t *heatherhub.Task) capacityScope {
	if t.Kind == heatherhub.KindService || t.Priority >= heatherhub.PriorityUrgent {
		return scopeFull
	}
	return scopeBatch
}

// lostWork returns the processor time that is lost if the task ends now without another
// checkpoint.
func (e *entry) lostWork(now time.Time) time.Duration {
	since := max(now.Sub(e.checkpointed), 0)
	return since * time.Duration(e.task.Size.CPU) / 1000
}

// latestCheckpointFirst orders entries by checkpoint time, latest first, since these
// lose least work if they end.
func latestCheckpointFirst(a, b *entry) bool {
	if !a.checkpointed.Equal(b.checkpointed) {
		return a.checkpointed.After(b.checkpointed)
	}
	return a.task.ID < b.task.ID
}
