package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

// entryState tells where a task is.
type entryState int

const (
	// stateUnschedulable waits because no known worker could hold it.
	stateUnschedulable entryState = iota
	stateWaiting
	// stateReserved holds a reservation; it runs or is being started.
	stateReserved
	// stateStopping holds a reservation and was told to leave.
	stateStopping
)

// entry is one task that the scheduler knows.
type entry struct {
	task  heatherhub.Task
	state entryState
	unit  *unit
	// node and position are set while the task holds a reservation.
	node      *node
	taskIndex int
	// planned is the size that the placement plans with.
	planned heatherhub.Resources
	started time.Time
	// parkAt is when a task that fits no worker is parked.
	parkAt time.Time
	// checkpointed is when the task's work was last kept: its start or a checkpoint.
	checkpointed time.Time
	throttle     heatherhub.Percent
	// maxCPUShare is the largest processor share that the task's room allows.
	maxCPUShare heatherhub.Percent
	// latencyRatio is the smoothed time per request of a replica, relative to the
	// time that calls for relief.
	latencyRatio float64
	// serviceIndex is the position among the node's services.
	serviceIndex int
	// leavingSince is when the task was told to leave.
	leavingSince time.Time
}

func (e *entry) isService() bool {
	return e.task.Kind == heatherhub.KindService
}

func (e *entry) isUrgent() bool {
	return !e.isService() && e.task.Priority >= heatherhub.PriorityUrgent
}

// isPreemptible reports whether the task is batch work that may give way.
func (e *entry) isPreemptible() bool {
	return !e.isService() && !e.isUrgent()
}

func scopeOf(t *heatherhub.Task) capacityScope {
	if t.Kind == heatherhub.KindService || t.Priority >= heatherhub.PriorityUrgent {
		return scopeFull
	}
	return scopeBatch
}

// lostWork returns the work that is lost if the task ends now, in processor time.
func (e *entry) lostWork(now time.Time) time.Duration {
	since := max(now.Sub(e.checkpointed), 0)
	return since * time.Duration(e.task.Size.CPU) / 1000
}

// latestCheckpointFirst orders entries by the time of their last kept work, the latest
// first: these lose least when they are evicted.
func latestCheckpointFirst(a, b *entry) bool {
	if !a.checkpointed.Equal(b.checkpointed) {
		return a.checkpointed.After(b.checkpointed)
	}
	return a.task.ID < b.task.ID
}
