package model

import (
	"cmp"
	"slices"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

// RunPair holds two runs of a task, in order of start, of which the guarantees forbid
// the second.
type RunPair struct {
	First  Run `json:"first"`
	Second Run `json:"second"`
}

// DuplicateRequest lists the executions of a non-idempotent request that ran more
// than once.
type DuplicateRequest struct {
	Workload   heatherhub.WorkloadID     `json:"workload"`
	Key        heatherhub.IdempotencyKey `json:"key"`
	Executions []Execution               `json:"executions"`
}

// Report lists the violations in the histories of a site.
type Report struct {
	// DuplicateRuns are runs of a task on two workers at overlapping times.
	DuplicateRuns []RunPair `json:"doubled"`
	// Reruns are runs of a task that had finished before, with a result that was
	// confirmed or that the same worker still had.
	Reruns            []RunPair          `json:"rerun"`
	DuplicateRequests []DuplicateRequest `json:"doubledKeys"`
	Overcommits       []Overcommit       `json:"overcommitted"`
	// Violations are excesses of a worker's slots or connections.
	Violations []Violation `json:"violations"`
	// CutOff lists the requests that a stop command cut off.
	CutOff []Execution `json:"cutOff"`
	// Runs, Finished, Resumed and Executions count the work that was audited, so
	// that a reader can tell a clean report from one of an idle site.
	Runs       int `json:"runs"`
	Finished   int `json:"finished"`
	Resumed    int `json:"resumed"`
	Executions int `json:"executions"`
}

// IsClean reports whether there are no violations.
func (r *Report) IsClean() bool {
	return len(r.DuplicateRuns)+len(r.Reruns)+len(r.DuplicateRequests)+len(r.Overcommits)+len(r.Violations)+len(r.CutOff) == 0
}

// Audit checks the histories of all workers of a site. A request of a workload
// that is not listed as idempotent may run once for each key, or once for each
// request id if it has no key.
func Audit(histories []History, idempotent ...heatherhub.WorkloadID) Report {
	r := Report{
		DuplicateRuns: []RunPair{}, Reruns: []RunPair{}, DuplicateRequests: []DuplicateRequest{},
		Overcommits: []Overcommit{}, Violations: []Violation{}, CutOff: []Execution{},
	}
	var runs []Run
	var executions []Execution
	for _, h := range histories {
		runs = append(runs, h.Runs...)
		executions = append(executions, h.Executions...)
		r.Overcommits = append(r.Overcommits, h.Overcommits...)
		r.Violations = append(r.Violations, h.Violations...)
	}
	r.auditRuns(runs)
	r.auditExecutions(executions, idempotent)
	return r
}

func (r *Report) auditRuns(runs []Run) {
	r.Runs = len(runs)
	slices.SortStableFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), a.From.Compare(b.From))
	})
	for i := range runs {
		if runs[i].End == worker.TaskFinished {
			r.Finished++
		}
		if runs[i].Resumed != "" {
			r.Resumed++
		}
		for j := i + 1; j < len(runs) && runs[j].Task == runs[i].Task; j++ {
			r.auditPair(runs[i], runs[j])
		}
	}
}

// auditPair checks two runs of a task, of which a started first.
func (r *Report) auditPair(a, b Run) {
	hasResult := a.Confirmed || a.Worker == b.Worker
	switch {
	case a.Worker != b.Worker && overlap(a, b):
		r.DuplicateRuns = append(r.DuplicateRuns, RunPair{First: a, Second: b})
	case a.End == worker.TaskFinished && hasResult:
		r.Reruns = append(r.Reruns, RunPair{First: a, Second: b})
	}
}

// overlap reports whether b, which did not start before a, started before a ended. It
// is false if b ended at the time of its start, as b then ran nothing.
func overlap(a, b Run) bool {
	if !a.To.IsZero() && !b.From.Before(a.To) {
		return false
	}
	return b.To.IsZero() || b.To.After(b.From)
}

func (r *Report) auditExecutions(executions []Execution, idempotent []heatherhub.WorkloadID) {
	type identity struct {
		workload heatherhub.WorkloadID
		key      heatherhub.IdempotencyKey
		request  heatherhub.RequestID
	}
	r.Executions = len(executions)
	byIdentity := make(map[identity][]Execution)
	for _, e := range executions {
		if e.CutByCommand {
			r.CutOff = append(r.CutOff, e)
		}
		if slices.Contains(idempotent, e.Workload) {
			continue
		}
		id := identity{workload: e.Workload, key: e.Key}
		if e.Key == "" {
			id.request = e.Request
		}
		byIdentity[id] = append(byIdentity[id], e)
	}
	for id, runs := range byIdentity {
		if len(runs) > 1 {
			r.DuplicateRequests = append(r.DuplicateRequests, DuplicateRequest{Workload: id.workload, Key: id.key, Executions: runs})
		}
	}
	slices.SortFunc(r.DuplicateRequests, func(a, b DuplicateRequest) int {
		return cmp.Or(cmp.Compare(a.Workload, b.Workload), cmp.Compare(a.Key, b.Key))
	})
}
