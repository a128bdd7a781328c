package scenario

import (
	"fmt"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin/model"
	"heatherhub.example/heatherhub/request/caller"
)

// Audit is the account of the promises, from the workers' and the callers' side.
type Audit struct {
	Report model.Report
	// RefusedButRan requests were refused as not run, and ran.
	RefusedButRan []heatherhub.RequestID
	// Unfinished tasks were accepted and no worker has finished them yet.
	Unfinished []heatherhub.TaskID
}

// IsClean reports whether every promise has been kept so far.
func (a *Audit) IsClean() bool {
	return a.Report.IsClean() && len(a.RefusedButRan) == 0
}

// String returns the audit as scripts compare it.
func (a *Audit) String() string {
	r := &a.Report
	return fmt.Sprintf("doubled %d rerun %d doubled-keys %d overcommitted %d limits %d cut-off %d blurred %d unfinished %d",
		len(r.Doubled), len(r.Rerun), len(r.DoubledKeys), len(r.Overcommitted), len(r.Violations), len(r.CutOff),
		len(a.RefusedButRan), len(a.Unfinished))
}

// Audit judges the promises.
func (cl *Cluster) Audit() Audit {
	var ledgers []model.Ledger
	for _, m := range cl.fleet.workers {
		m.Advance(time.Now())
		ledgers = append(ledgers, m.Ledger())
	}
	a := Audit{Report: model.Audit(ledgers, cl.idempotentWorkloads()...)}
	ran := make(map[heatherhub.RequestID]bool)
	finished := make(map[heatherhub.TaskID]bool)
	for _, l := range ledgers {
		for _, e := range l.Executions {
			ran[e.Request] = true
		}
		for _, run := range l.Runs {
			finished[run.Task] = finished[run.Task] || run.End == worker.TaskFinished
		}
	}
	a.findRefusedButRan(cl.outcomes, ran)
	a.findUnfinished(cl.jobs, finished)
	return a
}

func (cl *Cluster) idempotentWorkloads() []heatherhub.WorkloadID {
	var ids []heatherhub.WorkloadID
	for _, l := range cl.cfg.Snapshot.Workloads {
		if l.Idempotent {
			ids = append(ids, l.ID)
		}
	}
	return ids
}

func (a *Audit) findRefusedButRan(all map[heatherhub.RequestID]callerOutcome, ran map[heatherhub.RequestID]bool) {
	for id, t := range all {
		if t.outcome == caller.OutcomeNotRun && ran[id] {
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
