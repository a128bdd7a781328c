package dispatch

import (
	"slices"

	"heatherhub.example/heatherhub"
)

// The owner of a job learns of runs on its own workers only. If other shards run tasks of
// the job, their owners say which of these jobs have begun.

// BegunGuests returns the jobs of other shards of which a run has begun in this one.
func (e *Engine) BegunGuests() []heatherhub.JobID {
	var out []heatherhub.JobID
	for id, j := range e.jobs {
		if j.isOwnedElsewhere && j.state == heatherhub.WorkflowRunning {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// HasWaitingGuests reports whether other shards run tasks of a job that is waiting here.
func (e *Engine) HasWaitingGuests() bool {
	for _, j := range e.jobs {
		if j.isWaiting() && len(j.workflow.TaskShards) > 0 {
			return true
		}
	}
	return false
}

// MarkBegun records that a run of a job of this shard has begun in another one. Jobs that
// are unknown or belong to other shards are ignored.
func (e *Engine) MarkBegun(ids []heatherhub.JobID) {
	for _, id := range ids {
		if j := e.jobs[id]; j != nil && !j.isOwnedElsewhere {
			j.begin()
		}
	}
}
