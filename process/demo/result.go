package demo

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin/model"
	"heatherhub.example/heatherhub/request/caller"
)

// Result is the account of one site's day. Everything about work comes from what
// the workers saw, everything about answers from what the callers saw.
type Result struct {
	Site     string          `json:"site"`
	Services []ServiceResult `json:"services"`
	Batch    BatchResult     `json:"batch"`
	// Lost counts accepted tasks that no worker finished, and answered requests
	// that no worker ran.
	Lost int `json:"lost"`
	// Duplicates counts tasks in two places at once, finished tasks that ran again,
	// and non-idempotent requests that ran twice.
	Duplicates int `json:"doubled"`
	// Overcommits counts moments with more work than a worker holds.
	Overcommits int `json:"overcommitted"`
	// RefusedButRan counts requests refused as not run that a worker ran.
	RefusedButRan int `json:"blurred"`
	// WrongAnswers counts answers that were not whole or not the caller's own.
	WrongAnswers int `json:"foreign"`
	// CutOff counts requests that a stopped replica was working on.
	CutOff int `json:"cutOff"`
	// Findings tells each broken promise, up to maxFindings.
	Findings []string `json:"findings,omitempty"`
	Events   []string `json:"events"`
}

// maxFindings bounds the findings of a result.
const maxFindings = 50

// addFinding adds a finding.
func (r *Result) addFinding(format string, args ...any) {
	if len(r.Findings) < maxFindings {
		r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
	}
}

// addReport adds the findings of the workers' audit.
func (r *Result) addReport(report *model.Report) {
	for _, d := range report.DuplicateRuns {
		r.addFinding("task in two places: %+v", d)
	}
	for _, d := range report.Reruns {
		r.addFinding("finished task ran again: %+v", d)
	}
	for _, d := range report.DuplicateRequests {
		r.addFinding("request ran twice: %+v", d)
	}
	for _, o := range report.Overcommits {
		r.addFinding("worker overcommitted: %+v", o)
	}
	for _, v := range report.Violations {
		r.addFinding("limit passed: %+v", v)
	}
	for _, e := range report.CutOff {
		r.addFinding("request cut off: %+v", e)
	}
}

// ServiceResult is one service's day.
type ServiceResult struct {
	Workload heatherhub.WorkloadID `json:"workload"`
	Sent     int                   `json:"sent"`
	Answered int                   `json:"answered"`
	OnTime   int                   `json:"onTime"`
	NotRun   int                   `json:"notRun"`
	Unknown  int                   `json:"unknown"`
	P50      time.Duration         `json:"p50Ns"`
	P99      time.Duration         `json:"p99Ns"`
}

// BatchResult is the day of the batch jobs.
type BatchResult struct {
	Jobs     int `json:"jobs"`
	Finished int `json:"finished"`
	Refused  int `json:"refused"`
	Tasks    int `json:"tasks"`
	Evicted  int `json:"evicted"`
	Resumed  int `json:"resumed"`
}

// IsClean reports whether every promise was kept.
func (r *Result) IsClean() bool {
	return r.Lost+r.Duplicates+r.Overcommits+r.RefusedButRan+r.WrongAnswers+r.CutOff == 0
}

// buildResult computes the result of a day.
func buildResult(site Site, s *heatherhub.Snapshot, histories []model.History, t *callerStats, jobs *submittedJobs) Result {
	report := model.Audit(histories, idempotentServices(s)...)
	r := Result{
		Site:        site.Name,
		Duplicates:  len(report.DuplicateRuns) + len(report.Reruns) + len(report.DuplicateRequests),
		Overcommits: len(report.Overcommits) + len(report.Violations),
		CutOff:      len(report.CutOff),
	}
	r.addReport(&report)
	r.addServices(t)
	r.addBatch(histories, jobs, report.Resumed)
	r.checkRequests(histories, t)
	return r
}

func idempotentServices(s *heatherhub.Snapshot) []heatherhub.WorkloadID {
	var ids []heatherhub.WorkloadID
	for _, w := range s.Workloads {
		if w.Kind == heatherhub.KindService && w.Idempotent {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

func (r *Result) addServices(t *callerStats) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.services {
		r.WrongAnswers += s.wrongAnswers
		r.Services = append(r.Services, ServiceResult{
			Workload: id, Sent: s.sent, Answered: s.answered, OnTime: s.onTime,
			NotRun: s.notRun, Unknown: s.unknown,
			P50: time.Duration(s.latency.ValueAtQuantile(50)),
			P99: time.Duration(s.latency.ValueAtQuantile(99)),
		})
	}
	slices.SortFunc(r.Services, func(a, b ServiceResult) int {
		return strings.Compare(string(a.Workload), string(b.Workload))
	})
}

// addBatch counts accepted tasks by the runs that workers finished.
func (r *Result) addBatch(histories []model.History, j *submittedJobs, resumed int) {
	finished := make(map[heatherhub.TaskID]bool)
	for _, h := range histories {
		for _, run := range h.Runs {
			if run.End == worker.TaskFinished {
				finished[run.Task] = true
			}
			if run.End == worker.TaskStopped && !strings.HasPrefix(string(run.Task), "svc:") {
				r.Batch.Evicted++
			}
		}
	}
	r.Batch.Resumed = resumed
	r.Batch.Refused = j.refused
	for _, job := range j.accepted {
		r.Batch.Jobs++
		missing := 0
		for n := range job.Tasks {
			r.Batch.Tasks++
			if !finished[heatherhub.JobTaskID(job.ID, n)] {
				missing++
				r.addFinding("accepted task never finished: %s", heatherhub.JobTaskID(job.ID, n))
			}
		}
		r.Lost += missing
		if missing == 0 {
			r.Batch.Finished++
		}
	}
}

// checkRequests compares what callers were told of non-idempotent requests with what
// the workers ran.
func (r *Result) checkRequests(histories []model.History, t *callerStats) {
	runs := make(map[heatherhub.IdempotencyKey]int)
	for _, h := range histories {
		for _, e := range h.Executions {
			runs[e.Key]++
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, told := range t.keys {
		if told == caller.OutcomeAnswered && runs[key] == 0 {
			r.Lost++
			r.addFinding("answered and never run: %s", key)
		}
		if told == caller.OutcomeNotRun && runs[key] > 0 {
			r.RefusedButRan++
			r.addFinding("refused as not run, and run: %s", key)
		}
	}
}
