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

// unreadJob is what workers have listed of a job that this owner has not read.
type unreadJob struct {
	runs []unreadRun
	ends []unreadEnd
}

type unreadRun struct {
	node *node
	run  agent.Running
}

type unreadEnd struct {
	node *node
	end  agent.Ended
	ack  *pendingAck
}

// Unread returns the jobs that workers have listed and that have to be looked up.
func (e *Engine) Unread() []heatherhub.JobID {
	return slices.Sorted(maps.Keys(e.unread))
}

// HasUnread reports whether a job has to be looked up.
func (e *Engine) HasUnread() bool {
	return len(e.unread) > 0
}

// Has reports whether the engine knows a job.
func (e *Engine) Has(id heatherhub.JobID) bool {
	return e.jobs[id] != nil
}

// Absent says that a looked-up job is not one of this shard, by its record of a
// revision: its runs are stopped and its ends may be forgotten.
func (e *Engine) Absent(now Moment, id heatherhub.JobID, recorded ledger.Revision) {
	if recorded > 0 {
		e.left[id] = departed{recorded: recorded, at: now.Steady}
	}
	u := e.unread[id]
	if u == nil {
		return
	}
	delete(e.unread, id)
	e.absent[id] = now.Steady
	for _, end := range u.ends {
		end.ack.isUnread = false
		end.node.advance()
	}
}

func (e *Engine) unreadOf(id heatherhub.JobID) *unreadJob {
	u := e.unread[id]
	if u == nil {
		u = &unreadJob{}
		e.unread[id] = u
	}
	return u
}

// noteUnreadRun keeps a run of an unread job in mind, or stops it if there is no
// such job.
func (e *Engine) noteUnreadRun(n *node, r *agent.Running) {
	if _, isAbsent := e.absent[r.Task.Job]; isAbsent {
		e.orders = append(e.orders, Order{Worker: n.worker.ID, Kind: StopTask, Task: r.Task, Run: r.Run})
		return
	}
	u := e.unreadOf(r.Task.Job)
	isSame := func(o unreadRun) bool { return o.node == n && o.run.Task == r.Task && o.run.Run == r.Run }
	if !slices.ContainsFunc(u.runs, isSame) {
		u.runs = append(u.runs, unreadRun{node: n, run: *r})
	}
}

// noteUnreadEnd keeps an end of an unread job in mind.
func (e *Engine) noteUnreadEnd(n *node, end *agent.Ended, ack *pendingAck) {
	if _, isAbsent := e.absent[end.Task.Job]; isAbsent {
		return
	}
	ack.isUnread = true
	u := e.unreadOf(end.Task.Job)
	u.ends = append(u.ends, unreadEnd{node: n, end: *end, ack: ack})
}

// adoptUnread takes in what workers have listed of a job that is read now.
func (e *Engine) adoptUnread(now Moment, id heatherhub.JobID) {
	delete(e.absent, id)
	u := e.unread[id]
	if u == nil {
		return
	}
	delete(e.unread, id)
	for i := range u.runs {
		if r := &u.runs[i]; e.nodes[r.node.worker.ID] == r.node {
			e.adopt(now, r.node, &r.run)
		}
	}
	for i := range u.ends {
		end := &u.ends[i]
		e.takeEnd(now, end.node, &end.end, end.ack)
		end.ack.isUnread = false
		end.node.advance()
	}
}
