package colocation

import (
	"slices"
	"strings"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/layout"
)

const (
	// lostTimeout is how long a worker is down before its owner counts its tasks as
	// ended. It exceeds the task lease, so that no lost task still runs.
	lostTimeout = worker.TaskLease + 2*time.Second
	// checkpointFailureShare is the share of checkpoints that are taken but cannot be
	// stored.
	checkpointFailureShare = 0.1
	// drainPollInterval is how often a draining replica is checked for active requests.
	drainPollInterval = 200 * time.Millisecond
	// drainTimeout is how long a draining replica may finish its requests.
	drainTimeout = 5 * time.Second
)

// runningTask is a task that an owner has started and that has not ended.
type runningTask struct {
	task      heatherhub.Task
	worker    *simWorker
	startedAt time.Time
}

// owner is the owner of one shard. It carries out the decisions of its scheduler.
type owner struct {
	sim       *simulation
	shard     heatherhub.ShardID
	scheduler placement.Scheduler
	workers   []*simWorker
	running   map[heatherhub.TaskID]*runningTask
	// queuedSince has the time at which each queued batch task was first queued, or queued
	// again after it ran.
	queuedSince map[heatherhub.TaskID]time.Time
	// draining contains the replicas that are stopped after their active requests.
	draining map[heatherhub.TaskID]bool
}

func newOwner(sim *simulation, d heatherhub.FailureDomain, s placement.Scheduler) *owner {
	return &owner{
		sim: sim, shard: heatherhub.ShardID{Domain: d}, scheduler: s,
		running:     make(map[heatherhub.TaskID]*runningTask),
		queuedSince: make(map[heatherhub.TaskID]time.Time),
		draining:    make(map[heatherhub.TaskID]bool),
	}
}

// enqueue queues a task. A batch task that is already queued keeps its queue time.
func (o *owner) enqueue(t heatherhub.Task) {
	if t.Kind == heatherhub.KindBatch {
		if _, ok := o.queuedSince[t.ID]; !ok {
			o.queuedSince[t.ID] = o.sim.now
		}
	}
	o.scheduler.Enqueue(o.sim.now, t)
}

// decide carries out the actions that the scheduler decides on.
func (o *owner) decide() {
	for _, a := range o.scheduler.Decide(o.sim.now) {
		switch a.Kind {
		case placement.ActionStart:
			o.start(a)
		case placement.ActionThrottle:
			if t := o.running[a.Task.ID]; t != nil {
				_ = t.worker.Throttle(o.sim.now, a.Task.ID, a.CPUShare)
				o.sim.stats.throttles++
			}
		case placement.ActionEvict:
			o.evict(a.Task.ID)
		case placement.ActionStop:
			o.stop(a.Task.ID)
		case placement.ActionPark:
			delete(o.queuedSince, a.Task.ID)
			o.sim.stats.parked++
		}
	}
}

// start starts a task on its worker, and queues it again if the worker rejects it.
func (o *owner) start(a placement.Action) {
	w := o.workerByID(a.Worker)
	err := w.Start(o.sim.now, worker.StartCommand{Task: a.Task, LeaseUntil: o.sim.now.Add(worker.TaskLease)})
	if err != nil {
		o.scheduler.Ended(o.sim.now, a.Task.ID, placement.EndNotStarted)
		o.enqueue(a.Task)
		return
	}
	if since, ok := o.queuedSince[a.Task.ID]; ok {
		o.sim.stats.recordStart(a.Task, since)
		delete(o.queuedSince, a.Task.ID)
	}
	t := &runningTask{task: a.Task, worker: w, startedAt: o.sim.now}
	o.running[a.Task.ID] = t
	o.scheduler.Started(o.sim.now, a.Task, a.Worker)
	if a.Task.Kind == heatherhub.KindService {
		o.sim.serviceByID(a.Task.Workload).addReplica(t)
	}
}

func (o *owner) workerByID(id heatherhub.WorkerID) *simWorker {
	return o.workers[slices.IndexFunc(o.workers, func(w *simWorker) bool { return w.id == id })]
}

// endTask removes a running task. A batch task that has not finished is queued again;
// reconcile replaces replicas.
func (o *owner) endTask(t *runningTask, reason placement.EndReason) {
	delete(o.running, t.task.ID)
	delete(o.draining, t.task.ID)
	o.scheduler.Ended(o.sim.now, t.task.ID, reason)
	if t.task.Kind == heatherhub.KindService {
		o.sim.serviceByID(t.task.Workload).removeReplica(t)
		return
	}
	if reason == placement.EndFinished {
		o.sim.stats.recordFinish(t.task)
		return
	}
	o.enqueue(t.task)
}

// evict takes a checkpoint of a task, stops it and queues it again. If the checkpoint
// fails, the processor time since the task's last start counts as lost, and the task
// resumes from its previous checkpoint, if any.
func (o *owner) evict(id heatherhub.TaskID) {
	t := o.running[id]
	if t == nil {
		return
	}
	o.sim.stats.evictions++
	ref, err := t.worker.Checkpoint(o.sim.now, id)
	if err == nil && o.sim.faultRand.Float64() >= checkpointFailureShare {
		t.task.Resume = ref
	} else {
		o.sim.stats.lostCPU += cpuTime(t.task, o.sim.now.Sub(t.startedAt))
	}
	if t.worker.Stop(o.sim.now, id) == nil {
		o.endTask(t, placement.EndEvicted)
	}
}

// stop stops a task. A replica gets no new requests and is stopped when its active ones
// have ended, or after drainTimeout.
func (o *owner) stop(id heatherhub.TaskID) {
	t := o.running[id]
	if t == nil || o.draining[id] {
		return
	}
	if t.task.Kind == heatherhub.KindBatch {
		if t.worker.Stop(o.sim.now, id) == nil {
			o.endTask(t, placement.EndStopped)
		}
		return
	}
	o.draining[id] = true
	s := o.sim.serviceByID(t.task.Workload)
	replica := s.removeReplica(t)
	deadline := o.sim.now.Add(drainTimeout)
	var poll func()
	poll = func() {
		if o.running[id] != t {
			return
		}
		if replica != nil && replica.activeRequests > 0 && o.sim.now.Before(deadline) {
			o.sim.scheduleAfter(drainPollInterval, poll)
			return
		}
		_ = t.worker.Stop(o.sim.now, id)
		o.endTask(t, placement.EndStopped)
	}
	poll()
}

// renew renews the leases of the tasks on a worker and processes its report.
func (o *owner) renew(w *simWorker) {
	if !w.registered {
		return
	}
	c := worker.RenewCommand{LeaseUntil: o.sim.now.Add(worker.TaskLease)}
	for _, t := range o.tasksOn(w) {
		c.Tasks = append(c.Tasks, t.task.ID)
	}
	report, err := w.Renew(o.sim.now, c)
	if err != nil {
		o.removeIfLost(w)
		return
	}
	var ended []heatherhub.TaskID
	for _, s := range report.Tasks {
		if s.State != worker.TaskRunning {
			ended = append(ended, s.Task.ID)
		}
		if t := o.running[s.Task.ID]; t != nil && t.worker == w {
			o.applyStatus(t, s)
		}
	}
	if len(ended) > 0 {
		_, _ = w.Renew(o.sim.now, worker.RenewCommand{Confirmed: ended})
	}
	o.sim.stats.recordUsage(w, report.Usage)
	o.scheduler.Observe(o.sim.now, report.Usage)
}

// tasksOn returns the running tasks of a worker, sorted by ID to keep runs deterministic.
func (o *owner) tasksOn(w *simWorker) []*runningTask {
	var found []*runningTask
	for _, t := range o.running {
		if t.worker == w {
			found = append(found, t)
		}
	}
	slices.SortFunc(found, func(a, b *runningTask) int { return strings.Compare(string(a.task.ID), string(b.task.ID)) })
	return found
}

// applyStatus ends a task if its worker reports that it no longer runs.
func (o *owner) applyStatus(t *runningTask, s worker.TaskStatus) {
	switch s.State {
	case worker.TaskFinished:
		o.endTask(t, placement.EndFinished)
	case worker.TaskFailed:
		o.sim.stats.failures++
		o.endTask(t, placement.EndFailed)
	case worker.TaskStopped:
		o.endTask(t, placement.EndLost)
	}
}

// removeIfLost removes a worker that has been down for lostTimeout, when the leases of its
// tasks have expired, and ends these tasks.
func (o *owner) removeIfLost(w *simWorker) {
	if w.downAt.IsZero() || o.sim.now.Sub(w.downAt) < lostTimeout {
		return
	}
	w.registered = false
	for _, t := range o.tasksOn(w) {
		if t.task.Kind == heatherhub.KindBatch {
			o.sim.stats.lostCPU += cpuTime(t.task, w.downAt.Sub(t.startedAt))
		}
		o.endTask(t, placement.EndLost)
	}
	o.scheduler.RemoveWorker(o.sim.now, w.id)
}

// reconcile queues missing replicas and stops surplus ones of every service.
func (o *owner) reconcile() {
	for i := range o.sim.snapshot.Workloads {
		w := &o.sim.snapshot.Workloads[i]
		if w.Kind != heatherhub.KindService {
			continue
		}
		want := layout.ReplicasFor(o.sim.snapshot, o.sim.layout, o.shard, w.ID)
		for n := range want {
			if id := heatherhub.ServiceTaskID(w.ID, o.shard, n); o.running[id] == nil {
				o.enqueue(heatherhub.Task{ID: id, Workload: w.ID, Kind: w.Kind, Team: w.Team, Index: n, Size: w.Size, Queued: o.sim.now})
			}
		}
		o.stopSurplus(w.ID, want)
	}
}

// stopSurplus stops the replicas of a service with an index of want or above.
func (o *owner) stopSurplus(id heatherhub.WorkloadID, want int) {
	for n := want; ; n++ {
		t := heatherhub.ServiceTaskID(id, o.shard, n)
		o.scheduler.Dequeue(o.sim.now, t)
		if o.running[t] == nil {
			return
		}
		o.stop(t)
	}
}

// cpuTime returns the processor time of a task of its declared size that runs for d.
func cpuTime(t heatherhub.Task, d time.Duration) time.Duration {
	return d * time.Duration(t.Size.CPU) / 1000
}
