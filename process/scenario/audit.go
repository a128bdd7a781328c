package scenario

import (
	"fmt"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin/model"
	"heatherhub.example/heatherhub/request/caller"
)

// Audit lists the violations of the guarantees, as recorded by the workers and the
// callers.
type Audit struct {
	Report model.Report
	// RefusedButRan lists the requests that ran although their caller received
	// not-run.
	RefusedButRan []heatherhub.RequestID
	// Unfinished lists the tasks of accepted jobs that no worker has finished yet.
	// It is no violation: the tasks may still run.
	Unfinished []heatherhub.TaskID
}

// IsClean reports whether no guarantee has been violated so far.
func (a *Audit) IsClean() bool {
	return a.Report.IsClean() && len(a.RefusedButRan) == 0
}

// String returns the counts in the format that scripts match.
func (a *Audit) String() string {
	r := &a.Report
	return fmt.Sprintf("doubled %d rerun %d doubled-keys %d overcommitted %d limits %d cut-off %d blurred %d unfinished %d",
		len(r.DuplicateRuns), len(r.Reruns), len(r.DuplicateRequests), len(r.Overcommits), len(r.Violations), len(r.CutOff),
		len(a.RefusedButRan), len(a.Unfinished))
}

// Audit checks the guarantees against the workers' histories and the outcomes that
// callers received.
func (cl *Cluster) Audit() Audit {
	var histories []model.History
	for _, m := range cl.fleet.workers {
		m.Advance(time.Now())
		histories = append(histories, m.History())
	}
	a := Audit{Report: model.Audit(histories, cl.idempotentWorkloads()...)}
	ran := make(map[heatherhub.RequestID]bool)
	finished := make(map[heatherhub.TaskID]bool)
	for _, h := range histories {
		for _, e := range h.Executions {
			ran[e.Request] = true
		}
		for _, run := range h.Runs {
			finished[run.Task] = finished[run.Task] || run.End == worker.TaskFinished
		}
	}
	a.findRefusedButRan(cl.outcomes, ran)
	a.findUnfinished(cl.jobs, finished)
	return a
}

func (cl *Cluster) idempotentWorkloads() []heatherhub.WorkloadID {
	var ids []heatherhub.WorkloadID
	for _, w := range cl.cfg.Snapshot.Workloads {
		if w.Idempotent {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

func (a *Audit) findRefusedButRan(outcomes map[heatherhub.RequestID]callerOutcome, ran map[heatherhub.RequestID]bool) {
	for id, received := range outcomes {
		if received.outcome == caller.OutcomeNotRun && ran[id] {
			a.RefusedButRan = append(a.RefusedButRan, id)
		}
	}
}

func (a *Audit) findUnfinished(jobs []heatherhub.Job, finished map[heatherhub.TaskID]bool) {
	for _, j := range jobs {
		if j.State == heatherhub.JobCancelled {
			continue
		}
		for n := range j.Tasks {
			if id := heatherhub.JobTaskID(j.ID, n); !finished[id] {
				a.Unfinished = append(a.Unfinished, id)
			}
		}
	}
}
