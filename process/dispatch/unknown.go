package dispatch

import (
	"maps"
	"slices"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
)

// Workers may report running and ended runs of jobs that the owner does not know, because
// its watch of the job records lags behind them. Until the job's record has been looked
// up, the running ones continue, no other task starts beside them, and the ended ones are
// not acknowledged. Waiting for a fixed time instead would not be safe, since the store
// may be unreachable for any length of time.

// unknownJob holds what workers reported of a job that this owner does not know.
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

// UnknownJobs returns, in order, the IDs of the reported jobs that the caller has to
// look up.
func (e *Engine) UnknownJobs() []heatherhub.JobID {
	return slices.Sorted(maps.Keys(e.unknownJobs))
}

// HasUnknownJobs reports whether any job has to be looked up.
func (e *Engine) HasUnknownJobs() bool {
	return len(e.unknownJobs) > 0
}

// HasJob reports whether the engine knows a job.
func (e *Engine) HasJob(id heatherhub.JobID) bool {
	return e.jobs[id] != nil
}

// MarkAbsent records that a looked-up job is not in this shard. recorded is the
// revision of its record, or zero if there is none. Its runs are stopped when they are
// next reported, and workers may forget its ended runs.
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

// recordUnknownRun keeps a run of an unknown job until the job is looked up. If the job
// is known to be absent, it orders a stop instead.
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

// recordUnknownEnd keeps an ended run of an unknown job, unacknowledged, until the job is
// looked up. Ended runs of absent jobs need no record.
func (e *Engine) recordUnknownEnd(n *node, end *agent.Ended, ack *pendingAck) {
	if _, isAbsent := e.absent[end.Task.Job]; isAbsent {
		return
	}
	ack.isJobUnknown = true
	u := e.ensureUnknownJob(end.Task.Job)
	u.ends = append(u.ends, unknownEnd{node: n, end: *end, ack: ack})
}

// adoptUnknown processes the running and ended runs that workers reported of a job before
// it was known.
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
