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

// Result is the result of one site's day. The figures on work come from the
// histories of the workers, those on answers from the callers.
type Result struct {
	Site     string          `json:"site"`
	Services []ServiceResult `json:"services"`
	Batch    BatchResult     `json:"batch"`
	// Lost is the number of accepted tasks that no worker finished and of answered
	// non-idempotent requests that no worker ran.
	Lost int `json:"lost"`
	// Duplicates is the number of tasks that ran on two workers at once, of finished
	// tasks that ran again and of non-idempotent requests that ran twice.
	Duplicates int `json:"doubled"`
	// Overcommits is the number of times that a worker's capacity, slots or
	// connections were exceeded.
	Overcommits int `json:"overcommitted"`
	// RefusedButRan is the number of non-idempotent requests that were refused as not
	// run and that a worker ran.
	RefusedButRan int `json:"blurred"`
	// WrongAnswers is the number of answers that were incomplete or belonged to
	// another request.
	WrongAnswers int `json:"foreign"`
	// CutOff is the number of requests that ended because their replica was stopped.
	CutOff int `json:"cutOff"`
	// Findings describes the violations, at most maxFindings.
	Findings []string `json:"findings,omitempty"`
	// Events are the texts written to Config.Progress.
	Events []string `json:"events"`
}

// maxFindings is the largest number of findings in a result.
const maxFindings = 50

// addFinding adds a finding, unless there are maxFindings.
func (r *Result) addFinding(format string, args ...any) {
	if len(r.Findings) < maxFindings {
		r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
	}
}

// addReport adds the violations in the audit of the workers' histories.
func (r *Result) addReport(report *model.Report) {
	for _, d := range report.DuplicateRuns {
		r.addFinding("task ran on two workers at once: %+v", d)
	}
	for _, d := range report.Reruns {
		r.addFinding("finished task ran again: %+v", d)
	}
	for _, d := range report.DuplicateRequests {
		r.addFinding("request ran twice: %+v", d)
	}
	for _, o := range report.Overcommits {
		r.addFinding("worker capacity exceeded: %+v", o)
	}
	for _, v := range report.Violations {
		r.addFinding("worker limit exceeded: %+v", v)
	}
	for _, e := range report.CutOff {
		r.addFinding("request cut off: %+v", e)
	}
}

// ServiceResult counts the requests of one service, as their callers saw them.
type ServiceResult struct {
	Workload heatherhub.WorkloadID `json:"workload"`
	Sent     int                   `json:"sent"`
	Answered int                   `json:"answered"`
	// OnTime is the number of answers within the workload's deadline.
	OnTime  int `json:"onTime"`
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	// P50 and P99 are quantiles of the latency of answered requests.
	P50 time.Duration `json:"p50Ns"`
	P99 time.Duration `json:"p99Ns"`
}

// BatchResult counts the batch jobs of the day.
type BatchResult struct {
	// Jobs is the number of accepted jobs; Tasks is that of their tasks.
	Jobs int `json:"jobs"`
	// Finished is the number of accepted jobs whose tasks have all finished.
	Finished int `json:"finished"`
	// Refused is the number of refused attempts to add a job.
	Refused int `json:"refused"`
	Tasks   int `json:"tasks"`
	// Evicted is the number of batch runs that ended as stopped.
	Evicted int `json:"evicted"`
	// Resumed is the number of runs that started from a checkpoint.
	Resumed int `json:"resumed"`
}

// IsClean reports whether there were no violations.
func (r *Result) IsClean() bool {
	return r.Lost+r.Duplicates+r.Overcommits+r.RefusedButRan+r.WrongAnswers+r.CutOff == 0
}

// buildResult computes the result of a day.
func buildResult(site Site, s *heatherhub.Snapshot, histories []model.History, stats *callerStats, jobs *submittedJobs) Result {
	report := model.Audit(histories, idempotentServices(s)...)
	r := Result{
		Site:        site.Name,
		Duplicates:  len(report.DuplicateRuns) + len(report.Reruns) + len(report.DuplicateRequests),
		Overcommits: len(report.Overcommits) + len(report.Violations),
		CutOff:      len(report.CutOff),
	}
	r.addReport(&report)
	r.addServices(stats)
	r.addBatch(histories, jobs, report.Resumed)
	r.checkRequests(histories, stats)
	return r
}

// idempotentServices returns the services whose requests may run more than once.
func idempotentServices(s *heatherhub.Snapshot) []heatherhub.WorkloadID {
	var ids []heatherhub.WorkloadID
	for _, w := range s.Workloads {
		if w.Kind == heatherhub.KindService && w.Idempotent {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// addServices adds the results of the services, in order of workload id.
func (r *Result) addServices(stats *callerStats) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	for id, s := range stats.services {
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

// addBatch counts the accepted jobs and their tasks by the runs in the workers'
// histories. A task without a finished run is lost.
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

// checkRequests compares the outcomes that callers got for non-idempotent requests
// with the executions in the workers' histories.
func (r *Result) checkRequests(histories []model.History, stats *callerStats) {
	runs := make(map[heatherhub.IdempotencyKey]int)
	for _, h := range histories {
		for _, e := range h.Executions {
			runs[e.Key]++
		}
	}
	stats.mu.Lock()
	defer stats.mu.Unlock()
	for key, outcome := range stats.keys {
		if outcome == caller.OutcomeAnswered && runs[key] == 0 {
			r.Lost++
			r.addFinding("request answered but never run: %s", key)
		}
		if outcome == caller.OutcomeNotRun && runs[key] > 0 {
			r.RefusedButRan++
			r.addFinding("request refused as not run, but run: %s", key)
		}
	}
}
