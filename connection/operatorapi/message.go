// Package operatorapi is the JSON over HTTP protocol between operators and an entry
// host. It has the messages and the client; package request/operator has the handlers.
//
// # Usage
//
//	c, err := operatorapi.NewClient(operatorapi.Config{Address: "10.0.1.1:7102", Token: token})
//	if err != nil {
//		return err
//	}
//	view, err := c.AddJob(ctx, operatorapi.JobRequest{ID: "grades-17", Workload: "course-grading", Tasks: 40})
//
// Errors have the types of package heatherhub. A change whose answer was lost is
// heatherhub.ErrUnknown; AddJob, CancelJob and Apply may then be repeated with the
// same id and take effect once. In JSON, durations are integer nanoseconds and times
// are RFC 3339 strings.
package operatorapi

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
)

// Error is the body of every response with a status of 400 or more.
type Error struct {
	Code heatherhub.Code `json:"code"`
	// Message describes the error and its remedy.
	Message string `json:"message"`
	// RetryAfterMs is how long to wait before a retry, in milliseconds; 0 for no hint.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// ApplyRequest replaces the teams, the workloads and the presets.
type ApplyRequest struct {
	// EditID identifies this change, so that repeated attempts take effect once.
	EditID string `json:"editId"`
	// ExpectVersion is the version that the change is based on.
	ExpectVersion heatherhub.Version  `json:"expectVersion"`
	Snapshot      heatherhub.Snapshot `json:"snapshot"`
}

// SwitchRequest activates a preset. Its fields are those of ApplyRequest.
type SwitchRequest struct {
	EditID        string             `json:"editId"`
	ExpectVersion heatherhub.Version `json:"expectVersion"`
}

// JobRequest adds a job. Repeated requests with the same id add it once.
type JobRequest struct {
	ID       heatherhub.JobID      `json:"id"`
	Workload heatherhub.WorkloadID `json:"workload"`
	Tasks    int                   `json:"tasks"`
	Priority heatherhub.Priority   `json:"priority"`
}

// JobView is a job with its shard and the counts of its tasks by state.
type JobView struct {
	Job      heatherhub.Job     `json:"job"`
	Shard    heatherhub.ShardID `json:"shard"`
	Running  int                `json:"running"`
	Queued   int                `json:"queued"`
	Finished int                `json:"finished"`
}

// JobFilter selects jobs. Empty fields match all.
type JobFilter struct {
	Workload heatherhub.WorkloadID
	State    heatherhub.JobState
	// Limit is the largest number of jobs in the list; 0 for MaxListedJobs.
	Limit int
}

// MaxListedJobs is the largest number of jobs in one list.
const MaxListedJobs = 10_000

// JobList is a list of jobs.
type JobList struct {
	Jobs []JobView `json:"jobs"`
	// MissingShards lists the shards whose owner did not answer.
	MissingShards []heatherhub.ShardID `json:"missing,omitempty"`
	// Truncated is set if there are more jobs than the limit.
	Truncated bool `json:"truncated,omitempty"`
}

// WorkerView is a worker as known to the owner of its shard.
type WorkerView struct {
	Host     hostlist.Host        `json:"host"`
	Shard    heatherhub.ShardID   `json:"shard"`
	Reserved heatherhub.Resources `json:"reserved"`
	// TaskCount is the number of tasks; Tasks lists them if WorkerFilter.WithTasks is
	// set.
	TaskCount int                 `json:"taskCount"`
	Tasks     []heatherhub.TaskID `json:"tasks,omitempty"`
	// Reachable is set if the worker answered within the last task lease.
	Reachable   bool `json:"reachable"`
	Quarantined bool `json:"quarantined"`
}

// WorkerFilter selects workers and their details.
type WorkerFilter struct {
	// Domain selects the workers of one failure domain; empty for all.
	Domain heatherhub.FailureDomain
	// WithTasks includes the task ids of each worker.
	WithTasks bool
}

// WorkerList is a list of workers.
type WorkerList struct {
	Workers []WorkerView `json:"workers"`
	// MissingShards lists the shards whose owner did not answer.
	MissingShards []heatherhub.ShardID `json:"missing,omitempty"`
}

// DomainView is a failure domain as known to the owners of the shards.
type DomainView struct {
	Domain    heatherhub.FailureDomain `json:"domain"`
	Evacuated bool                     `json:"evacuated"`
	// Since is the time at which the first host has read that the domain is evacuated. A host
	// that has started since then has read it later.
	Since time.Time `json:"since,omitzero"`
	// Workers counts the workers, Batch and LongRunning the tasks on them that are not known to
	// be over.
	Workers     int `json:"workers"`
	Batch       int `json:"batch"`
	LongRunning int `json:"longRunning"`
	// Waiting is the number of jobs of the domain's shards that have started no task. The jobs
	// of a shard of the whole site wait for no domain.
	Waiting int `json:"waiting"`
}

// DomainList is a list of failure domains.
type DomainList struct {
	Domains []DomainView `json:"domains"`
	// MissingShards lists the shards whose owner did not answer.
	MissingShards []heatherhub.ShardID `json:"missing,omitempty"`
}

// HostView is an entry host as known to the host that answers.
type HostView struct {
	ID      heatherhub.HostID        `json:"id"`
	Domain  heatherhub.FailureDomain `json:"domain"`
	Address string                   `json:"address"`
	State   hostlist.State           `json:"state"`
	// Reachable is set if the host answered.
	Reachable bool `json:"reachable"`
	// Version is the configuration version in force on the host.
	Version heatherhub.Version   `json:"version"`
	Shards  []heatherhub.ShardID `json:"shards"`
}

// HostList is a list of entry hosts.
type HostList struct {
	Hosts []HostView `json:"hosts"`
}

// Status summarizes the site as known to the host that answers.
type Status struct {
	Host    heatherhub.HostID        `json:"host"`
	Domain  heatherhub.FailureDomain `json:"domain"`
	Started time.Time                `json:"started"`
	Version heatherhub.Version       `json:"version"`
	Preset  heatherhub.PresetID      `json:"preset"`
	// StoreReachable is set if the store answered recently.
	StoreReachable bool `json:"storeReachable"`
	// Leaving is set while the host shuts down.
	Leaving bool `json:"leaving"`
	Hosts   int  `json:"hosts"`
	Workers int  `json:"workers"`
	// Shards is the number of shards in all failure domains. UnownedShards is the
	// number of them without an owner that answered; the counts below exclude the jobs
	// and tasks of those.
	Shards        int `json:"shards"`
	UnownedShards int `json:"unownedShards"`
	JobsQueued    int `json:"jobsQueued"`
	JobsParked    int `json:"jobsParked"`
	TasksRunning  int `json:"tasksRunning"`
}
