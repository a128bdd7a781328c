// Package operatorapi is the protocol between operators and an entry host: JSON
// over HTTP. It has the messages and the client; request/operator has the
// handlers.
//
// # Usage
//
//	c, err := operatorapi.NewClient(operatorapi.Config{Address: "10.0.1.1:7102", Token: token})
//	if err != nil {
//		return err
//	}
//	view, err := c.AddJob(ctx, heatherhub.Job{ID: "grades-17", Workload: "course-grading", Tasks: 40})
//
// Errors have the types of the root package. A change whose answer was lost is
// heatherhub.ErrUnknown; AddJob, CancelJob and Apply may then be repeated with the
// same id, and take effect once. Durations are whole nanoseconds in JSON, times
// are RFC 3339.
package operatorapi

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
)

// Error is the body of every answer with a status of 400 or more.
type Error struct {
	Code heatherhub.Code `json:"code"`
	// Message says what is wrong and the remedy.
	Message string `json:"message"`
	// RetryAfterMs is the wait before another attempt, or 0.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// ApplyRequest replaces the teams, the workloads and the presets.
type ApplyRequest struct {
	// EditID names this change across repeated attempts.
	EditID string `json:"editId"`
	// ExpectVersion is the version that the change was made on.
	ExpectVersion heatherhub.Version  `json:"expectVersion"`
	Snapshot      heatherhub.Snapshot `json:"snapshot"`
}

// SwitchRequest puts a preset in force.
type SwitchRequest struct {
	EditID        string             `json:"editId"`
	ExpectVersion heatherhub.Version `json:"expectVersion"`
}

// JobRequest adds a job. The same id adds it once.
type JobRequest struct {
	ID       heatherhub.JobID      `json:"id"`
	Workload heatherhub.WorkloadID `json:"workload"`
	Tasks    int                   `json:"tasks"`
	Priority heatherhub.Priority   `json:"priority"`
}

// JobView is a job with the counts of its tasks.
type JobView struct {
	Job      heatherhub.Job     `json:"job"`
	Shard    heatherhub.ShardID `json:"shard"`
	Running  int                `json:"running"`
	Queued   int                `json:"queued"`
	Finished int                `json:"finished"`
}

// JobFilter chooses jobs. Empty fields choose all.
type JobFilter struct {
	Workload heatherhub.WorkloadID
	State    heatherhub.JobState
	// Limit bounds the list; 0 for MaxListedJobs.
	Limit int
}

// MaxListedJobs is the largest number of jobs in one list.
const MaxListedJobs = 10_000

// JobList is a list of jobs.
type JobList struct {
	Jobs []JobView `json:"jobs"`
	// MissingShards names the shards whose owner did not answer.
	MissingShards []heatherhub.ShardID `json:"missing,omitempty"`
	// Truncated says that there are more jobs than the limit.
	Truncated bool `json:"truncated,omitempty"`
}

// WorkerView is a worker as its owner sees it.
type WorkerView struct {
	Host     hostlist.Host        `json:"host"`
	Shard    heatherhub.ShardID   `json:"shard"`
	Reserved heatherhub.Resources `json:"reserved"`
	// TaskCount is the number of tasks; Tasks names them if the filter wants it.
	TaskCount int                 `json:"taskCount"`
	Tasks     []heatherhub.TaskID `json:"tasks,omitempty"`
	// Reachable says that the worker answered within the last task lease.
	Reachable   bool `json:"reachable"`
	Quarantined bool `json:"quarantined"`
}

// WorkerFilter chooses workers and what is told of them.
type WorkerFilter struct {
	// Domain chooses the workers of one failure domain; empty for all.
	Domain heatherhub.FailureDomain
	// WithTasks names the tasks of each worker.
	WithTasks bool
}

// WorkerList is a list of workers.
type WorkerList struct {
	Workers       []WorkerView         `json:"workers"`
	MissingShards []heatherhub.ShardID `json:"missing,omitempty"`
}

// HostView is an entry host as the asked host sees it.
type HostView struct {
	ID      heatherhub.HostID        `json:"id"`
	Domain  heatherhub.FailureDomain `json:"domain"`
	Address string                   `json:"address"`
	State   hostlist.State           `json:"state"`
	// Reachable says that the host answered.
	Reachable bool `json:"reachable"`
	// Version is the configuration in force on the host.
	Version heatherhub.Version   `json:"version"`
	Shards  []heatherhub.ShardID `json:"shards"`
}

// HostList is a list of entry hosts.
type HostList struct {
	Hosts []HostView `json:"hosts"`
}

// Status sums up what the asked host knows.
type Status struct {
	Host    heatherhub.HostID        `json:"host"`
	Domain  heatherhub.FailureDomain `json:"domain"`
	Started time.Time                `json:"started"`
	Version heatherhub.Version       `json:"version"`
	Preset  heatherhub.PresetID      `json:"preset"`
	// StoreReachable says that the store answered the last call.
	StoreReachable bool `json:"storeReachable"`
	Leaving        bool `json:"leaving"`
	Hosts          int  `json:"hosts"`
	Workers        int  `json:"workers"`
	// Shards counts all failure domains. UnownedShards counts those that no host
	// that answered owns; the counts below miss their jobs and tasks.
	Shards        int `json:"shards"`
	UnownedShards int `json:"unownedShards"`
	JobsQueued    int `json:"jobsQueued"`
	JobsParked    int `json:"jobsParked"`
	TasksRunning  int `json:"tasksRunning"`
}
