// Package worker is the interface to the platform's workers. Workers run tasks under
// leases, report usage with a delay, and can checkpoint, throttle or stop a task. The
// package has the interfaces, the commands and the HTTP client.
//
// # Usage
//
//	err := client.Start(ctx, id, worker.StartCommand{Task: t, LeaseUntil: now.Add(worker.TaskLease), Epoch: e})
//	switch heatherhub.CodeOf(err) {
//	case heatherhub.CodeOK: // the task runs
//	case heatherhub.CodeUnknown: // it may run: keep its resources reserved, list the worker's tasks
//	default: // it did not start
//	}
//
// A worker does not check its capacity or the epoch. It guarantees only that a task is
// stopped when its lease expires, and that a start whose lease has expired on arrival
// is not run.
package worker

import (
	"context"
	"time"

	"heatherhub.example/heatherhub"
)

// Lease times.
const (
	// TaskLease is how long a task runs without a renewal.
	TaskLease = 10 * time.Second
	// RenewInterval is the time between renewals of a worker's tasks.
	RenewInterval = 3 * time.Second
)

// StartCommand starts a task on a worker.
type StartCommand struct {
	Task  heatherhub.Task  `json:"task" msgpack:"task"`
	Epoch heatherhub.Epoch `json:"epoch" msgpack:"epoch"`
	// LeaseUntil is the wall-clock time at which the first lease expires.
	LeaseUntil time.Time `json:"leaseUntil" msgpack:"leaseUntil"`
}

// RenewCommand renews the leases of running tasks of one worker and confirms ended
// ones. Tasks that it does not list keep their leases.
type RenewCommand struct {
	Epoch      heatherhub.Epoch    `json:"epoch" msgpack:"epoch"`
	LeaseUntil time.Time           `json:"leaseUntil" msgpack:"leaseUntil"`
	Tasks      []heatherhub.TaskID `json:"tasks" msgpack:"tasks"`
	// Confirmed lists ended tasks whose result is stored; the worker drops them.
	Confirmed []heatherhub.TaskID `json:"confirmed,omitempty" msgpack:"confirmed,omitempty"`
}

// TaskState is the state of a task as its worker reports it.
type TaskState string

// States of a task on a worker.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	// TaskStopped is a task that was stopped by a command or an expired lease.
	TaskStopped TaskState = "stopped"
)

// TaskStatus is the status of a task on a worker. Ended tasks are reported until they
// are confirmed.
type TaskStatus struct {
	Task       heatherhub.Task          `json:"task" msgpack:"task"`
	State      TaskState                `json:"state" msgpack:"state"`
	Epoch      heatherhub.Epoch         `json:"epoch" msgpack:"epoch"`
	LeaseUntil time.Time                `json:"leaseUntil" msgpack:"leaseUntil"`
	Throttle   heatherhub.Percent       `json:"throttle" msgpack:"throttle"`
	Checkpoint heatherhub.CheckpointRef `json:"checkpoint,omitempty" msgpack:"checkpoint,omitempty"`
	// Started is when the task started on this worker.
	Started time.Time `json:"started" msgpack:"started"`
}

// TaskUsage is the usage of one task in the period of a Usage.
type TaskUsage struct {
	Task heatherhub.TaskID    `json:"task" msgpack:"task"`
	Used heatherhub.Resources `json:"used" msgpack:"used"`
	// Latency is the mean time per request of a service replica; zero if it served
	// none in the period.
	Latency time.Duration `json:"latency,omitempty" msgpack:"latency,omitempty"`
	// Requests is the number of requests served in the period.
	Requests int `json:"requests,omitempty" msgpack:"requests,omitempty"`
}

// Usage is the usage of a worker's tasks. It is reported with a delay.
type Usage struct {
	Worker heatherhub.WorkerID `json:"worker" msgpack:"worker"`
	// At is the end of the measured period.
	At    time.Time   `json:"at" msgpack:"at"`
	Tasks []TaskUsage `json:"tasks" msgpack:"tasks"`
}

// Report is a worker's answer to a renewal: the status of all its tasks and its last
// usage.
type Report struct {
	// Incarnation tells the lives of the worker apart; zero if the worker states none.
	Incarnation heatherhub.Incarnation `json:"incarnation,omitempty" msgpack:"incarnation,omitempty"`
	Tasks       []TaskStatus           `json:"tasks" msgpack:"tasks"`
	Usage       Usage                  `json:"usage" msgpack:"usage"`
}

// Request is a caller's request to a replica.
type Request struct {
	ID       heatherhub.RequestID  `json:"id"`
	Workload heatherhub.WorkloadID `json:"workload"`
	// Task is the replica's task.
	Task heatherhub.TaskID `json:"task"`
	Key  heatherhub.IdempotencyKey
	// Body is the caller's body, unmodified.
	Body []byte
	// Timeout is the time left until the caller's deadline; zero for no deadline.
	Timeout time.Duration
}

// Answer is a replica's complete answer to one request.
type Answer struct {
	// ID is the id of the request.
	ID     heatherhub.RequestID
	Status int
	Body   []byte
	// Digest is the xxhash digest of the body, to detect a truncated body.
	Digest uint64
	// RetryAfter is the replica's retry hint, or zero.
	RetryAfter time.Duration
}

// Controller controls the tasks of workers.
//
// ErrUnavailable and ErrNotFound mean that the command had no effect; ErrUnknown means
// that it may have taken effect.
type Controller interface {
	// Start starts a task.
	Start(ctx context.Context, id heatherhub.WorkerID, c StartCommand) error
	// Renew renews leases and returns all tasks of the worker. A command without tasks
	// renews no lease.
	Renew(ctx context.Context, id heatherhub.WorkerID, c RenewCommand) (Report, error)
	// Checkpoint saves a checkpoint of a running task and returns its reference.
	Checkpoint(ctx context.Context, id heatherhub.WorkerID, t heatherhub.TaskID) (heatherhub.CheckpointRef, error)
	// Throttle limits a task to a share of its CPUs; 100 removes the limit.
	Throttle(ctx context.Context, id heatherhub.WorkerID, t heatherhub.TaskID, share heatherhub.Percent) error
	// Stop stops a task. Stopping a task that is not on the worker succeeds.
	Stop(ctx context.Context, id heatherhub.WorkerID, t heatherhub.TaskID) error
}

// Server sends requests to replicas.
//
// ErrNotRun means that the replica did not run the request: it reported so, or nothing
// was sent. ErrUnknown means that it may have run.
type Server interface {
	// Serve sends a request to a replica and returns its complete answer.
	Serve(ctx context.Context, id heatherhub.WorkerID, r Request) (Answer, error)
}
