package core

import (
	"fmt"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/shard/ledger"
)

// A task may crash each worker that starts it, and all tasks beside it are lost as well. The batch
// tasks that the worker has not listed some time after their start are the suspects of a crash. A
// suspect starts again only on a worker without another task that is not proven, and gets none
// beside it until it is: its next crash convicts it, and a report that lists it clears it. The
// crashes are in the ledger, so they outlive the owner.

const (
	// provenAge is the age at which a task that its worker lists counts as harmless.
	provenAge = 500 * time.Millisecond
	// maxCrashes is the number of workers in a row that a task may crash before its job is
	// parked. At all but the first it was the only suspect.
	maxCrashes = 3
)

// crashesOf returns the number of durable crashes of a task.
func (s *shard) crashesOf(t heatherhub.Task) int {
	if job, ok := s.log.State().Jobs[t.Job]; ok {
		return job.Crashes[t.Index]
	}
	return 0
}

// recordCrash records the crash of a worker for the tasks that may have caused it.
func (s *shard) recordCrash(now time.Time, w *workerState) {
	if !s.canRecord(now) {
		return
	}
	var suspects []*placedTask
	hasIsolated := false
	for _, id := range sortedKeys(w.tasks) {
		p := w.tasks[id]
		if p.task.Kind == heatherhub.KindBatch && p.phase != phaseEnded && !p.isProven {
			suspects = append(suspects, p)
			hasIsolated = hasIsolated || s.crashesOf(p.task) > 0
		}
	}
	for _, p := range suspects {
		if hasIsolated && s.crashesOf(p.task) == 0 {
			continue
		}
		r := ledger.Record{Kind: ledger.KindCrash, At: now.UnixMilli(), ID: p.task.Job, Indexes: []int{p.task.Index}}
		s.recordingCrash[p.task.ID] = s.log.Append(r, false)
	}
}

// crashRecorded handles a crash that has become durable: it parks the job if that is due.
func (s *shard) crashRecorded(now time.Time, c ledger.Committed) {
	job, ok := s.log.State().Jobs[c.Record.ID]
	for _, n := range c.Record.Indexes {
		id := heatherhub.JobTaskID(c.Record.ID, n)
		if s.recordingCrash[id] == c.Seq {
			delete(s.recordingCrash, id)
		}
		if !ok || job.State != heatherhub.JobQueued || job.Crashes[n] < maxCrashes {
			continue
		}
		reason := fmt.Sprintf("task %d has crashed %d workers that started it: look at what it runs, fix the job and add it again", n, job.Crashes[n])
		s.log.Append(ledger.Record{Kind: ledger.KindPark, At: now.UnixMilli(), ID: c.Record.ID, Reason: reason}, false)
	}
}

// proveIfDue records that a listed task has shown that it does no harm, once it is old enough.
func (s *shard) proveIfDue(now time.Time, p *placedTask) {
	if p.isProven || now.Sub(p.runningSince) < provenAge {
		return
	}
	p.isProven = true
	if s.crashesOf(p.task) > 0 && s.canRecord(now) {
		s.log.Append(ledger.Record{Kind: ledger.KindWorked, At: now.UnixMilli(), ID: p.task.Job, Indexes: []int{p.task.Index}}, false)
	}
}

// mayStartBeside reports whether a task may start beside those on a worker: a suspect needs a
// worker without other tasks that are not proven, and nothing starts beside one.
func (s *shard) mayStartBeside(w *workerState, t heatherhub.Task) bool {
	if _, ok := s.recordingCrash[t.ID]; ok {
		return false
	}
	isSuspect := s.crashesOf(t) > 0
	for _, p := range w.tasks {
		if p.phase == phaseEnded || p.isProven || (t.Job != "" && p.task.Job == t.Job) {
			continue
		}
		if isSuspect || s.crashesOf(p.task) > 0 {
			return false
		}
	}
	return true
}
