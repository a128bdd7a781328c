package model

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

// endCause is the reason for which a task ended.
type endCause int

const (
	causeFinished endCause = iota
	causeFailed
	causeStopped
	causeLeaseExpired
	causeKilled
)

// Run is one run of a task on a worker.
type Run struct {
	Task     heatherhub.TaskID     `json:"task"`
	Workload heatherhub.WorkloadID `json:"workload"`
	Worker   heatherhub.WorkerID   `json:"worker"`
	From     time.Time             `json:"from"`
	// To is the end, or zero while the task runs.
	To time.Time `json:"to,omitzero"`
	// End is the final state, or TaskRunning.
	End worker.TaskState `json:"end"`
	// Confirmed says that the owner has taken the result.
	Confirmed bool `json:"confirmed,omitempty"`
	// Resumed is the checkpoint from which the run started, if any.
	Resumed heatherhub.CheckpointRef `json:"resumed,omitempty"`
}

// Execution is one run of a caller's request on a worker.
type Execution struct {
	Request  heatherhub.RequestID      `json:"request"`
	Key      heatherhub.IdempotencyKey `json:"key,omitempty"`
	Workload heatherhub.WorkloadID     `json:"workload"`
	Task     heatherhub.TaskID         `json:"task"`
	Worker   heatherhub.WorkerID       `json:"worker"`
	From     time.Time                 `json:"from"`
	To       time.Time                 `json:"to,omitzero"`
	// CutOff says that the replica ended before the request did, for any cause.
	CutOff bool `json:"cutOff,omitempty"`
	// CutByCommand says that a stop command ended the replica.
	CutByCommand bool `json:"cutByCommand,omitempty"`
}

// Overcommit records that the declared sizes of the running tasks exceeded the
// worker's capacity when a task was started.
type Overcommit struct {
	Worker   heatherhub.WorkerID  `json:"worker"`
	At       time.Time            `json:"at"`
	Reserved heatherhub.Resources `json:"reserved"`
	Capacity heatherhub.Resources `json:"capacity"`
}

// ViolationKind names the limit that was exceeded.
type ViolationKind string

// Kinds of violations.
const (
	ViolationSlots       ViolationKind = "slots"
	ViolationConnections ViolationKind = "connections"
)

// Violation records that a worker had more requests or connections than its limit.
type Violation struct {
	Worker heatherhub.WorkerID `json:"worker"`
	Kind   ViolationKind       `json:"kind"`
	At     time.Time           `json:"at"`
	Count  int                 `json:"count"`
	Limit  int                 `json:"limit"`
}

// History records everything that one worker ran, for Audit.
type History struct {
	Worker      heatherhub.WorkerID `json:"worker"`
	Runs        []Run               `json:"runs"`
	Executions  []Execution         `json:"executions"`
	Overcommits []Overcommit        `json:"overcommits"`
	Violations  []Violation         `json:"violations"`
}

// History returns a copy of the worker's history.
func (w *Worker) History() History {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.history
	h.Runs = slices.Clone(h.Runs)
	h.Executions = slices.Clone(h.Executions)
	h.Overcommits = slices.Clone(h.Overcommits)
	h.Violations = slices.Clone(h.Violations)
	return h
}

// openRun adds a run and returns its index.
func (h *History) openRun(t heatherhub.Task, id heatherhub.WorkerID, at time.Time) int {
	h.Runs = append(h.Runs, Run{Task: t.ID, Workload: t.Workload, Worker: id, From: at, End: worker.TaskRunning, Resumed: t.Resume})
	return len(h.Runs) - 1
}

func (h *History) closeRun(n int, at time.Time, s worker.TaskState) {
	h.Runs[n].To = at
	h.Runs[n].End = s
}

// openExecution adds a request and returns its index.
func (h *History) openExecution(r worker.Request, id heatherhub.WorkerID, at time.Time) int {
	h.Executions = append(h.Executions, Execution{
		Request: r.ID, Key: r.Key, Workload: r.Workload, Task: r.Task, Worker: id, From: at,
	})
	return len(h.Executions) - 1
}

func (h *History) addViolation(id heatherhub.WorkerID, k ViolationKind, at time.Time, count, limit int) {
	h.Violations = append(h.Violations, Violation{Worker: id, Kind: k, At: at, Count: count, Limit: limit})
}

// recordOvercommit records an Overcommit if the running tasks exceed the capacity.
func (w *Worker) recordOvercommit() {
	var reserved heatherhub.Resources
	for _, t := range w.tasks {
		if t.isRunning() {
			reserved = reserved.Add(t.status.Task.Size)
		}
	}
	if capacity := w.cfg.Host.Capacity; !reserved.Fits(capacity) {
		w.history.Overcommits = append(w.history.Overcommits, Overcommit{Worker: w.id, At: w.currentTime, Reserved: reserved, Capacity: capacity})
	}
}
