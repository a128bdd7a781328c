package core

import (
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/layout"
	"heatherhub.example/heatherhub/process/shard/ledger"
)

// storeRetryAfter is how long callers are asked to wait before they retry a request
// that failed because of the store.
const storeRetryAfter = 2 * time.Second

// addJob accepts a job. The reply follows once the job is durable. A job whose id is
// known is not added again.
func (s *shard) addJob(now time.Time, t Ticket, job heatherhub.Job) {
	if err := s.checkAccepting(now); err != nil {
		s.reply(Reply{Ticket: t, Err: err})
		return
	}
	if known, ok := s.log.State().Jobs[job.ID]; ok {
		s.reply(Reply{Ticket: t, Job: cloneJob(known)})
		return
	}
	if seq, ok := s.requests.adding[job.ID]; ok {
		s.requests.wait(seq, t)
		return
	}
	job.Accepted = now
	job.State = heatherhub.JobQueued
	if err := s.checkJob(&job); err != nil {
		s.reply(Reply{Ticket: t, Err: err})
		return
	}
	seq := s.log.Append(ledger.Record{Kind: ledger.KindJob, At: now.UnixMilli(), Job: &job}, true)
	s.requests.adding[job.ID] = seq
	s.requests.wait(seq, t)
	s.callLedger(now)
}

func (s *shard) checkJob(job *heatherhub.Job) error {
	if err := job.Check(); err != nil {
		return err
	}
	w := s.snapshot.Workload(job.Workload)
	if w == nil || w.Kind != heatherhub.KindBatch {
		return heatherhub.ErrInvalid.New("job %s: no batch workload %q is declared: declare it first", job.ID, job.Workload)
	}
	return nil
}

// cloneJob returns a copy of a job that may be used without the shard's lock.
func cloneJob(job *heatherhub.Job) heatherhub.Job {
	c := *job
	c.Finished = slices.Clone(job.Finished)
	c.Checkpoints = maps.Clone(job.Checkpoints)
	c.Crashes = maps.Clone(job.Crashes)
	return c
}

// checkAccepting returns an error with a retry time while the shard cannot accept
// requests.
func (s *shard) checkAccepting(now time.Time) error {
	switch {
	case s.hostState.draining:
		return heatherhub.WithRetryAfter(heatherhub.ErrNotOwner.New("shard %s is being handed over: retry", s.id), time.Second)
	case !s.log.IsOpen() || s.snapshot == nil:
		return heatherhub.WithRetryAfter(heatherhub.ErrUnavailable.New("shard %s has not read its jobs yet: retry", s.id), storeRetryAfter)
	case !s.mayAct(now):
		return heatherhub.WithRetryAfter(heatherhub.ErrUnavailable.New("the store does not answer, so no requests are accepted: retry"), storeRetryAfter)
	}
	return nil
}

// cancelJob cancels a job. The reply follows once the cancellation is durable.
func (s *shard) cancelJob(now time.Time, t Ticket, id heatherhub.JobID) {
	if err := s.checkAccepting(now); err != nil {
		s.reply(Reply{Ticket: t, Err: err})
		return
	}
	job, ok := s.log.State().Jobs[id]
	_, isAdding := s.requests.adding[id]
	switch {
	case !ok && !isAdding:
		s.reply(Reply{Ticket: t, Err: heatherhub.ErrNotFound.New("job %s does not exist: check its id", id)})
		return
	case ok && job.IsFinal():
		s.reply(Reply{Ticket: t, Job: cloneJob(job)})
		return
	}
	seq := s.log.Append(ledger.Record{Kind: ledger.KindCancel, At: now.UnixMilli(), ID: id}, true)
	s.requests.wait(seq, t)
	s.callLedger(now)
}

// park records that the scheduler has parked the task's job.
func (s *shard) park(now time.Time, a placement.Action) {
	delete(s.queued, a.Task.ID)
	if a.Task.Job == "" {
		return
	}
	s.log.Append(ledger.Record{Kind: ledger.KindPark, At: now.UnixMilli(), ID: a.Task.Job, Reason: a.Reason}, false)
}

// enqueueJobs queues the tasks of all jobs that are neither finished, placed nor
// queued.
func (s *shard) enqueueJobs(now time.Time) {
	jobs := s.log.State().Jobs
	for _, id := range sortedKeys(jobs) {
		s.enqueueJob(now, jobs[id])
	}
}

func (s *shard) enqueueJob(now time.Time, job *heatherhub.Job) {
	if !s.batchRecovered || job.State != heatherhub.JobQueued {
		return
	}
	w := s.snapshot.Workload(job.Workload)
	if w == nil {
		return
	}
	isFinished := make(map[int]bool, len(job.Finished))
	for _, n := range job.Finished {
		isFinished[n] = true
	}
	for n := range job.Tasks {
		if !isFinished[n] {
			s.enqueueTask(now, job, w, n)
		}
	}
}

func (s *shard) enqueueTask(now time.Time, job *heatherhub.Job, w *heatherhub.Workload, n int) {
	id := heatherhub.JobTaskID(job.ID, n)
	if _, ok := s.tasks[id]; ok || s.queued[id] || s.recordingFinish[id] {
		return
	}
	t := heatherhub.Task{
		ID:       id,
		Workload: w.ID,
		Kind:     heatherhub.KindBatch,
		Team:     w.Team,
		Class:    w.Class,
		Job:      job.ID,
		Index:    n,
		Size:     w.Size,
		RunTime:  w.RunTime,
		Priority: job.Priority,
		Resume:   job.Checkpoints[n],
		Queued:   job.Accepted,
	}
	if w.Deadline > 0 {
		t.Due = job.Accepted.Add(w.Deadline)
	}
	if w.Gang {
		t.Gang = job.Tasks - len(job.Finished)
	}
	s.queued[id] = true
	s.sched.Enqueue(now, t)
}

// requeue queues a task again if it is still wanted.
func (s *shard) requeue(now time.Time, t heatherhub.Task) {
	if t.Kind != heatherhub.KindBatch {
		s.nextReconcile = now
		return
	}
	if !s.batchRecovered || !s.isWanted(t) {
		return
	}
	job := s.log.State().Jobs[t.Job]
	w := s.snapshot.Workload(job.Workload)
	if job.State == heatherhub.JobQueued && w != nil {
		s.enqueueTask(now, job, w, t.Index)
	}
}

// isWanted reports whether a task should run in this shard.
func (s *shard) isWanted(t heatherhub.Task) bool {
	if t.Kind == heatherhub.KindService {
		return t.Index < s.replicaCount(t.Workload) && t.ID == heatherhub.ServiceTaskID(t.Workload, s.id, t.Index)
	}
	job, ok := s.log.State().Jobs[t.Job]
	return ok && !job.IsFinal() && t.Index < job.Tasks && !s.recordingFinish[t.ID] && !job.HasFinished(t.Index)
}

// stopUnwantedTasks stops running batch tasks that were adopted before the jobs were
// read and turn out not to be wanted.
func (s *shard) stopUnwantedTasks(now time.Time) {
	for _, id := range sortedKeys(s.tasks) {
		p := s.tasks[id]
		if p.task.Kind == heatherhub.KindBatch && p.phase == phaseRunning && !s.isWanted(p.task) {
			s.stopTask(now, id, intentDrop, placement.EndStopped)
		}
	}
}

// replicaCount returns the number of a service's replicas that belong to the shard. It
// is computed once per configuration.
func (s *shard) replicaCount(w heatherhub.WorkloadID) int {
	n, ok := s.replicaCounts[w]
	if !ok {
		n = layout.ReplicasFor(s.snapshot, s.cfg.Layout, s.id, w)
		s.replicaCounts[w] = n
	}
	return n
}

// reconcileServices queues missing replicas, drains surplus ones and resumes drained
// ones that are wanted again.
func (s *shard) reconcileServices(now time.Time) {
	for i := range s.snapshot.Workloads {
		w := &s.snapshot.Workloads[i]
		if w.Kind == heatherhub.KindService {
			s.enqueueReplicas(now, w)
		}
	}
	for _, id := range sortedKeys(s.tasks) {
		p := s.tasks[id]
		if p.task.Kind != heatherhub.KindService {
			continue
		}
		switch wanted := s.isWanted(p.task); {
		case !wanted:
			s.drain(now, p, intentDrop)
		case p.phase == phaseDraining && p.intent == intentDrop:
			p.phase = phaseRunning
			p.intent = intentRequeue
		}
	}
	s.dequeueReplicas(now)
}

func (s *shard) enqueueReplicas(now time.Time, w *heatherhub.Workload) {
	for n := range s.replicaCount(w.ID) {
		id := heatherhub.ServiceTaskID(w.ID, s.id, n)
		if _, ok := s.tasks[id]; ok || s.queued[id] {
			continue
		}
		s.queued[id] = true
		s.sched.Enqueue(now, heatherhub.Task{
			ID:       id,
			Workload: w.ID,
			Kind:     heatherhub.KindService,
			Team:     w.Team,
			Class:    w.Class,
			Index:    n,
			Size:     w.Size,
			Priority: heatherhub.PriorityService,
			Queued:   now,
		})
	}
}

// dequeueReplicas removes queued replicas that are no longer wanted.
func (s *shard) dequeueReplicas(now time.Time) {
	wanted := make(map[heatherhub.TaskID]bool)
	for i := range s.snapshot.Workloads {
		w := &s.snapshot.Workloads[i]
		for n := range s.replicaCount(w.ID) {
			wanted[heatherhub.ServiceTaskID(w.ID, s.id, n)] = true
		}
	}
	for _, id := range sortedKeys(s.queued) {
		isService := len(id) > 4 && id[:4] == "svc:"
		if isService && !wanted[id] {
			s.sched.Dequeue(now, id)
			delete(s.queued, id)
		}
	}
}
