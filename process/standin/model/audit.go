package model

import (
	"cmp"
	"slices"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

// RunPair is a task that ran in two places at overlapping times, or again
// after its result was there.
type RunPair struct {
	First  Run `json:"first"`
	Second Run `json:"second"`
}

// DuplicateRequest is a non-idempotent request that ran more than once.
type DuplicateRequest struct {
	Workload   heatherhub.WorkloadID     `json:"workload"`
	Key        heatherhub.IdempotencyKey `json:"key"`
	Executions []Execution               `json:"executions"`
}

// Report judges the histories of a site.
type Report struct {
	// DuplicateRuns tasks ran in two places at overlapping times.
	DuplicateRuns []RunPair `json:"doubled"`
	// Reruns tasks ran again although they had finished and their result was kept.
	Reruns            []RunPair          `json:"rerun"`
	DuplicateRequests []DuplicateRequest `json:"doubledKeys"`
	Overcommits       []Overcommit       `json:"overcommitted"`
	// Violations of slots and connections.
	Violations []Violation `json:"violations"`
	// CutOff requests were ended by a stop command.
	CutOff []Execution `json:"cutOff"`
	// Runs, Finished and Executions are counts, by which an idle site is seen.
	Runs       int `json:"runs"`
	Finished   int `json:"finished"`
	Resumed    int `json:"resumed"`
	Executions int `json:"executions"`
}

// IsClean reports whether every promise was kept.
func (r *Report) IsClean() bool {
	return len(r.DuplicateRuns)+len(r.Reruns)+len(r.DuplicateRequests)+len(r.Overcommits)+len(r.Violations)+len(r.CutOff) == 0
}

// Audit judges the histories of all workers of a site. A request of a workload
// that is not named as idempotent may run once for each key, or for each request
// id when it has no key.
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

// auditPair judges two runs of a task, the earlier start first.
func (r *Report) auditPair(a, b Run) {
	isKept := a.Confirmed || a.Worker == b.Worker
	switch {
	case a.Worker != b.Worker && overlap(a, b):
		r.DuplicateRuns = append(r.DuplicateRuns, RunPair{First: a, Second: b})
	case a.End == worker.TaskFinished && isKept:
		r.Reruns = append(r.Reruns, RunPair{First: a, Second: b})
	}
}

func overlap(a, b Run) bool {
	if !a.To.IsZero() && !b.From.Before(a.To) {
		return false
	}
	return b.To.IsZero() || b.To.After(b.From)
}

func (r *Report) auditExecutions(executions []Execution, idempotent []heatherhub.WorkloadID) {
	type name struct {
		workload heatherhub.WorkloadID
		key      heatherhub.IdempotencyKey
		request  heatherhub.RequestID
	}
	r.Executions = len(executions)
	byName := make(map[name][]Execution)
	for _, e := range executions {
		if e.CutByCommand {
			r.CutOff = append(r.CutOff, e)
		}
		if slices.Contains(idempotent, e.Workload) {
			continue
		}
		n := name{workload: e.Workload, key: e.Key}
		if e.Key == "" {
			n.request = e.Request
		}
		byName[n] = append(byName[n], e)
	}
	for n, runs := range byName {
		if len(runs) > 1 {
			r.DuplicateRequests = append(r.DuplicateRequests, DuplicateRequest{Workload: n.workload, Key: n.key, Executions: runs})
		}
	}
	slices.SortFunc(r.DuplicateRequests, func(a, b DuplicateRequest) int {
		return cmp.Or(cmp.Compare(a.Workload, b.Workload), cmp.Compare(a.Key, b.Key))
	})
}
