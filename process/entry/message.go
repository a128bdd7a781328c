package entry

import (
	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/shard"
)

// snapshotMessage carries a configuration between peers, both ways: a host sends
// what it has and gets what the peer has, if that is newer.
type snapshotMessage struct {
	Snapshot *heatherhub.Snapshot `msgpack:"snapshot,omitempty"`
	// Version is the version that the sender has in force.
	Version heatherhub.Version `msgpack:"version"`
}

// jobMessage carries a job to its owner and back.
type jobMessage struct {
	Job heatherhub.Job `msgpack:"job"`
}

// jobCancelRequest asks an owner to cancel a job.
type jobCancelRequest struct {
	ID heatherhub.JobID `msgpack:"id"`
}

// jobListRequest asks an owner for its jobs.
type jobListRequest struct {
	// ID asks for one job alone if set.
	ID       heatherhub.JobID      `msgpack:"id,omitempty"`
	Workload heatherhub.WorkloadID `msgpack:"workload,omitempty"`
	State    heatherhub.JobState   `msgpack:"state,omitempty"`
	Limit    int                   `msgpack:"limit"`
}

// matches reports whether a job is asked for.
func (c *jobListRequest) matches(j *heatherhub.Job) bool {
	if c.ID != "" && c.ID != j.ID {
		return false
	}
	if c.Workload != "" && c.Workload != j.Workload {
		return false
	}
	return c.State == "" || c.State == j.State
}

// jobListReply has the jobs of the shards that a host owns.
type jobListReply struct {
	Jobs      []shard.JobView      `msgpack:"jobs"`
	Shards    []heatherhub.ShardID `msgpack:"shards"`
	Truncated bool                 `msgpack:"truncated,omitempty"`
}

// emptyRequest is a call without arguments.
type emptyRequest struct{}

// workerListReply has the workers of the shards that a host owns.
type workerListReply struct {
	Workers []shard.WorkerView   `msgpack:"workers"`
	Shards  []heatherhub.ShardID `msgpack:"shards"`
}

// statusReply is what a host says of itself.
type statusReply struct {
	Version      heatherhub.Version   `msgpack:"version"`
	Shards       []heatherhub.ShardID `msgpack:"shards"`
	Leaving      bool                 `msgpack:"leaving,omitempty"`
	JobsQueued   int                  `msgpack:"jobsQueued"`
	JobsParked   int                  `msgpack:"jobsParked"`
	TasksRunning int                  `msgpack:"tasksRunning"`
}
