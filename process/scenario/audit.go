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
	// Blurred requests were refused as not run, and ran.
	Blurred []heatherhub.RequestID
	// Unfinished tasks were accepted and no worker has finished them yet.
	Unfinished []heatherhub.TaskID
}

// IsClean reports whether every promise has been kept so far.
func (a *Audit) IsClean() bool {
	return a.Report.IsClean() && len(a.Blurred) == 0
}

// String returns the audit as scripts compare it.
func (a *Audit) String() string {
	r := &a.Report
	return fmt.Sprintf("doubled %d rerun %d doubled-keys %d overcommitted %d limits %d cut-off %d blurred %d unfinished %d",
		len(r.DuplicateRuns), len(r.Reruns), len(r.DuplicateRequests), len(r.Overcommits), len(r.Violations), len(r.CutOff),
		len(a.Blurred), len(a.Unfinished))
}

// Audit judges the promises.
func (w *World) Audit() Audit {
	var ledgers []model.History
	for _, m := range w.fleet.workers {
		m.Advance(time.Now())
		ledgers = append(ledgers, m.History())
	}
	a := Audit{Report: model.Audit(ledgers, w.idempotent()...)}
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
	a.compare(w.told, ran)
	a.findUnfinished(w.jobs, finished)
	return a
}

func (w *World) idempotent() []heatherhub.WorkloadID {
	var ids []heatherhub.WorkloadID
	for _, l := range w.cfg.Snapshot.Workloads {
		if l.Idempotent {
			ids = append(ids, l.ID)
		}
	}
	return ids
}

func (a *Audit) compare(all map[heatherhub.RequestID]told, ran map[heatherhub.RequestID]bool) {
	for id, t := range all {
		if t.outcome == caller.OutcomeNotRun && ran[id] {
			a.Blurred = append(a.Blurred, id)
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
