package dispatch

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// JobView is the state of a job as shown to operators.
type JobView struct {
	ID       heatherhub.JobID         `msgpack:"id" json:"id"`
	Queue    heatherhub.QueueID       `msgpack:"q" json:"queue"`
	Shard    heatherhub.ShardID       `msgpack:"sh" json:"shard"`
	State    heatherhub.WorkflowState `msgpack:"s" json:"state"`
	Accepted time.Time                `msgpack:"at" json:"accepted"`
	// Tasks counts the tasks of all occurrences. Guests counts those that run in other
	// shards, which the counts below leave out.
	Tasks  int `msgpack:"n" json:"tasks"`
	Guests int `msgpack:"g,omitempty" json:"guests,omitempty"`
	// Running, Queued and Finished count tasks; FailedRuns counts runs. A task with an
	// unconfirmed start counts as queued.
	Running    int `msgpack:"r,omitempty" json:"running"`
	Queued     int `msgpack:"w,omitempty" json:"queued"`
	Finished   int `msgpack:"f,omitempty" json:"finished"`
	FailedRuns int `msgpack:"x,omitempty" json:"failedRuns"`
	// CrashedWorkers are the workers that a task of a job that was given up has crashed.
	CrashedWorkers []heatherhub.WorkerID `msgpack:"cw,omitempty" json:"crashedWorkers,omitempty"`
}

// WorkerView is the state of a worker as shown to operators.
type WorkerView struct {
	ID       heatherhub.WorkerID      `msgpack:"id" json:"id"`
	Address  string                   `msgpack:"a" json:"address"`
	Domain   heatherhub.FailureDomain `msgpack:"d" json:"domain"`
	Rack     heatherhub.Rack          `msgpack:"k" json:"rack"`
	Shard    heatherhub.ShardID       `msgpack:"sh" json:"shard"`
	Capacity heatherhub.Resources     `msgpack:"c" json:"capacity"`
	Reserved heatherhub.Resources     `msgpack:"r" json:"reserved"`
	Tasks    []heatherhub.StepTask    `msgpack:"t,omitempty" json:"tasks,omitempty"`
	// Draining workers are leaving, silent ones did not reply to the last call, and
	// quarantined ones get no tasks for a while after repeated failures.
	Draining    bool `msgpack:"l,omitempty" json:"draining,omitempty"`
	Silent      bool `msgpack:"s,omitempty" json:"silent,omitempty"`
	Quarantined bool `msgpack:"q,omitempty" json:"quarantined,omitempty"`
	// Evacuated workers are in an evacuated failure domain. LongRunning counts the long-running
	// ones of the tasks.
	Evacuated   bool `msgpack:"e,omitempty" json:"evacuated,omitempty"`
	LongRunning int  `msgpack:"lr,omitempty" json:"longRunning,omitempty"`
}

// Job returns the view of a job. It reports false if this shard does not own it.
func (e *Engine) Job(id heatherhub.JobID) (JobView, bool) {
	j := e.jobs[id]
	if j == nil || j.isOwnedElsewhere {
		return JobView{}, false
	}
	state, _ := e.State(id)
	v := JobView{
		ID: id, Queue: j.workflow.Queue, Shard: j.workflow.Shard, State: state, Accepted: j.workflow.Accepted,
		Guests: len(j.workflow.TaskShards), FailedRuns: len(j.progress.Failed),
	}
	if state == heatherhub.WorkflowFailed && j.isGivenUp() {
		v.CrashedWorkers = crashedWorkers(j.progress.Crashes)
	}
	for i := range j.workflow.Steps {
		v.Tasks += j.workflow.Steps[i].Tasks * j.workflow.Occurrences()
	}
	if state == heatherhub.WorkflowCompleted {
		v.Finished = v.Tasks
		return v, true
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				v.count(t)
			}
		}
	}
	return v, true
}

func (v *JobView) count(t *task) {
	switch {
	case t.isRemote:
	case t.isDone:
		v.Finished++
	case slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.state == running }):
		v.Running++
	case !t.step.occ.job.isOver():
		v.Queued++
	}
}

// Progress returns a copy of the progress of a job, which need not be durable yet. It is empty for
// jobs that this shard does not know.
func (e *Engine) Progress(id heatherhub.JobID) Progress {
	if j := e.jobs[id]; j != nil {
		return j.progress.clone()
	}
	return Progress{}
}

// Jobs returns the views of up to limit jobs that this shard owns and isWanted accepts,
// in no particular order, and whether there are more.
func (e *Engine) Jobs(limit int, isWanted func(JobView) bool) ([]JobView, bool) {
	var out []JobView
	for id := range e.jobs {
		v, ok := e.Job(id)
		if !ok || !isWanted(v) {
			continue
		}
		if len(out) == limit {
			return out, true
		}
		out = append(out, v)
	}
	return out, false
}

// Workers returns the views of the shard's workers, by ID.
func (e *Engine) Workers(now Moment) []WorkerView {
	out := make([]WorkerView, 0, len(e.sortedNodes))
	for _, n := range e.sortedNodes {
		v := WorkerView{
			ID: n.worker.ID, Address: n.worker.Address, Domain: n.worker.Domain, Rack: n.worker.Rack,
			Shard: e.cfg.Shard, Capacity: n.worker.Capacity, Reserved: n.used,
			Draining: n.worker.Draining, Silent: n.isUnresponsive, Quarantined: n.health.isQuarantined(now.Steady),
			Evacuated: n.isEvacuated,
		}
		for _, a := range n.attemptsByRun() {
			v.Tasks = append(v.Tasks, a.task.id())
			if a.task.step.spec.LongRunning {
				v.LongRunning++
			}
		}
		out = append(out, v)
	}
	return out
}

// UnacknowledgedEnds returns the number of ended runs that a worker has reported and may not
// forget yet.
func (e *Engine) UnacknowledgedEnds(id heatherhub.WorkerID) int {
	if n := e.nodes[id]; n != nil {
		return len(n.pendingAcks)
	}
	return 0
}

// OpenRuns returns the number of runs on a worker that are not known to be over.
func (e *Engine) OpenRuns(id heatherhub.WorkerID) int {
	n := e.nodes[id]
	if n == nil {
		return 0
	}
	return len(n.attempts) + len(n.unaccounted)
}
