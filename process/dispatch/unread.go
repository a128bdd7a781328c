package dispatch

import (
	"maps"
	"slices"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
)

// An owner meets runs and ends of jobs that it has not read when its watch of the
// jobs lags behind the workers. Nothing is known of such a job: its runs go on and
// its ends stay with the workers until the job's own record was looked up. No delay
// would do instead, since the store may be silent for any time.

// unknownJob is what workers have listed of a job that this owner has not read.
type unknownJob struct {
	runs []unknownRun
	ends []unknownEnd
}

type unknownRun struct {
	node *node
	run  agent.Running
}

type unknownEnd struct {
	node *node
	end  agent.Ended
	ack  *pendingAck
}

// UnknownJobs returns the jobs that workers have listed and that have to be looked up.
func (e *Engine) UnknownJobs() []heatherhub.JobID {
	return slices.Sorted(maps.Keys(e.unknownJobs))
}

// HasUnknownJobs reports whether a job has to be looked up.
func (e *Engine) HasUnknownJobs() bool {
	return len(e.unknownJobs) > 0
}

// HasJob reports whether the engine knows a job.
func (e *Engine) HasJob(id heatherhub.JobID) bool {
	return e.jobs[id] != nil
}

// MarkAbsent says that a looked-up job is not one of this shard, by its record of a
// revision: its runs are stopped and its ends may be forgotten.
func (e *Engine) MarkAbsent(now Moment, id heatherhub.JobID, recorded ledger.Revision) {
	if recorded > 0 {
		e.movedAway[id] = moveRecord{recordRevision: recorded, at: now.Steady}
	}
	u := e.unknownJobs[id]
	if u == nil {
		return
	}
	delete(e.unknownJobs, id)
	e.absent[id] = now.Steady
	for _, end := range u.ends {
		end.ack.isJobUnknown = false
		end.node.advanceAcknowledged()
	}
}

func (e *Engine) ensureUnknownJob(id heatherhub.JobID) *unknownJob {
	u := e.unknownJobs[id]
	if u == nil {
		u = &unknownJob{}
		e.unknownJobs[id] = u
	}
	return u
}

// recordUnknownRun keeps a run of an unread job in mind, or stops it if there is no
// such job.
func (e *Engine) recordUnknownRun(n *node, r *agent.Running) {
	if _, isAbsent := e.absent[r.Task.Job]; isAbsent {
		e.orders = append(e.orders, Order{Worker: n.worker.ID, Kind: StopTask, Task: r.Task, Run: r.Run})
		return
	}
	u := e.ensureUnknownJob(r.Task.Job)
	isSame := func(o unknownRun) bool { return o.node == n && o.run.Task == r.Task && o.run.Run == r.Run }
	if !slices.ContainsFunc(u.runs, isSame) {
		u.runs = append(u.runs, unknownRun{node: n, run: *r})
	}
}

// recordUnknownEnd keeps an end of an unread job in mind.
func (e *Engine) recordUnknownEnd(n *node, end *agent.Ended, ack *pendingAck) {
	if _, isAbsent := e.absent[end.Task.Job]; isAbsent {
		return
	}
	ack.isJobUnknown = true
	u := e.ensureUnknownJob(end.Task.Job)
	u.ends = append(u.ends, unknownEnd{node: n, end: *end, ack: ack})
}

// adoptUnknown takes in what workers have listed of a job that is read now.
func (e *Engine) adoptUnknown(now Moment, id heatherhub.JobID) {
	delete(e.absent, id)
	u := e.unknownJobs[id]
	if u == nil {
		return
	}
	delete(e.unknownJobs, id)
	for i := range u.runs {
		if r := &u.runs[i]; e.nodes[r.node.worker.ID] == r.node {
			e.adopt(now, r.node, &r.run)
		}
	}
	for i := range u.ends {
		end := &u.ends[i]
		e.processEnd(now, end.node, &end.end, end.ack)
		end.ack.isJobUnknown = false
		end.node.advanceAcknowledged()
	}
}
