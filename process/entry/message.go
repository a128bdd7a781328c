package entry

import (
	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/shard"
)

// snapshotMessage is both the request and the reply of a configuration exchange: a
// host sends its configuration and receives the peer's if that is newer.
type snapshotMessage struct {
	Snapshot *heatherhub.Snapshot `msgpack:"snapshot,omitempty"`
	// Version is the version in force at the sender.
	Version heatherhub.Version `msgpack:"version"`
}

// jobMessage carries a job to its owner, and its accepted state back.
type jobMessage struct {
	Job heatherhub.Job `msgpack:"job"`
}

// jobCancelRequest asks an owner to cancel a job.
type jobCancelRequest struct {
	ID heatherhub.JobID `msgpack:"id"`
}

// jobListRequest asks an owner for its jobs; empty fields match every job.
type jobListRequest struct {
	// ID restricts the list to one job.
	ID       heatherhub.JobID      `msgpack:"id,omitempty"`
	Workload heatherhub.WorkloadID `msgpack:"workload,omitempty"`
	State    heatherhub.JobState   `msgpack:"state,omitempty"`
	Limit    int                   `msgpack:"limit"`
}

// matches reports whether the job passes the filters of the request.
func (c *jobListRequest) matches(j *heatherhub.Job) bool {
	if c.ID != "" && c.ID != j.ID {
		return false
	}
	if c.Workload != "" && c.Workload != j.Workload {
		return false
	}
	return c.State == "" || c.State == j.State
}

// jobListReply lists the jobs of the shards that a host owns.
type jobListReply struct {
	Jobs      []shard.JobView      `msgpack:"jobs"`
	Shards    []heatherhub.ShardID `msgpack:"shards"`
	Truncated bool                 `msgpack:"truncated,omitempty"`
}

// emptyRequest is the request of a method without arguments.
type emptyRequest struct{}

// workerListReply lists the workers of the shards that a host owns.
type workerListReply struct {
	Workers []shard.WorkerView   `msgpack:"workers"`
	Shards  []heatherhub.ShardID `msgpack:"shards"`
}

// statusReply reports a host's version, owned shards and load.
type statusReply struct {
	Version      heatherhub.Version   `msgpack:"version"`
	Shards       []heatherhub.ShardID `msgpack:"shards"`
	Leaving      bool                 `msgpack:"leaving,omitempty"`
	JobsQueued   int                  `msgpack:"jobsQueued"`
	JobsParked   int                  `msgpack:"jobsParked"`
	TasksRunning int                  `msgpack:"tasksRunning"`
}
