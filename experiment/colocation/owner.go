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
	// lostTimeout is when an owner takes the tasks of a silent worker for ended.
	lostTimeout = worker.TaskLease + 2*time.Second
	// checkpointFailureShare is the part of checkpoints that cannot be kept.
	checkpointFailureShare = 0.1
	// drainPollInterval and drainTimeout bound the wait for a replica's last requests.
	drainPollInterval = 200 * time.Millisecond
	drainTimeout      = 5 * time.Second
)

// runningTask is a task that an owner has started.
type runningTask struct {
	task      heatherhub.Task
	worker    *simWorker
	startedAt time.Time
}

// owner carries out the decisions for one shard.
type owner struct {
	sim         *simulation
	shard       heatherhub.ShardID
	scheduler   placement.Scheduler
	workers     []*simWorker
	running     map[heatherhub.TaskID]*runningTask
	queuedSince map[heatherhub.TaskID]time.Time
	// draining names the replicas that end after their last requests.
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

func (o *owner) enqueue(t heatherhub.Task) {
	if t.Kind == heatherhub.KindBatch {
		if _, ok := o.queuedSince[t.ID]; !ok {
			o.queuedSince[t.ID] = o.sim.now
		}
	}
	o.scheduler.Enqueue(o.sim.now, t)
}

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

func (o *owner) start(a placement.Action) {
	m := o.workerByID(a.Worker)
	err := m.Start(o.sim.now, worker.StartCommand{Task: a.Task, LeaseUntil: o.sim.now.Add(worker.TaskLease)})
	if err != nil {
		o.scheduler.Ended(o.sim.now, a.Task.ID, placement.EndNotStarted)
		o.enqueue(a.Task)
		return
	}
	if since, ok := o.queuedSince[a.Task.ID]; ok {
		o.sim.stats.recordStart(a.Task, since)
		delete(o.queuedSince, a.Task.ID)
	}
	t := &runningTask{task: a.Task, worker: m, startedAt: o.sim.now}
	o.running[a.Task.ID] = t
	o.scheduler.Started(o.sim.now, a.Task, a.Worker)
	if a.Task.Kind == heatherhub.KindService {
		o.sim.serviceByID(a.Task.Workload).addReplica(t)
	}
}

func (o *owner) workerByID(id heatherhub.WorkerID) *simWorker {
	return o.workers[slices.IndexFunc(o.workers, func(m *simWorker) bool { return m.id == id })]
}

// endTask frees a task; what follows depends on the reason.
func (o *owner) endTask(t *runningTask, why placement.EndReason) {
	delete(o.running, t.task.ID)
	delete(o.draining, t.task.ID)
	o.scheduler.Ended(o.sim.now, t.task.ID, why)
	if t.task.Kind == heatherhub.KindService {
		o.sim.serviceByID(t.task.Workload).removeReplica(t)
		return
	}
	if why == placement.EndFinished {
		o.sim.stats.recordFinish(t.task)
		return
	}
	o.enqueue(t.task)
}

// evict keeps a checkpoint, stops the task and queues it again.
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

// stop ends a task for good; a replica gets time for its last requests.
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
	until := o.sim.now.Add(drainTimeout)
	var poll func()
	poll = func() {
		if o.running[id] != t {
			return
		}
		if replica != nil && replica.activeRequests > 0 && o.sim.now.Before(until) {
			o.sim.scheduleAfter(drainPollInterval, poll)
			return
		}
		_ = t.worker.Stop(o.sim.now, id)
		o.endTask(t, placement.EndStopped)
	}
	poll()
}

// renew renews the tasks of one worker and takes its report.
func (o *owner) renew(m *simWorker) {
	if !m.registered {
		return
	}
	c := worker.RenewCommand{LeaseUntil: o.sim.now.Add(worker.TaskLease)}
	for _, t := range o.tasksOn(m) {
		c.Tasks = append(c.Tasks, t.task.ID)
	}
	report, err := m.Renew(o.sim.now, c)
	if err != nil {
		o.removeIfLost(m)
		return
	}
	var ended []heatherhub.TaskID
	for _, s := range report.Tasks {
		if s.State != worker.TaskRunning {
			ended = append(ended, s.Task.ID)
		}
		if t := o.running[s.Task.ID]; t != nil && t.worker == m {
			o.applyStatus(t, s)
		}
	}
	if len(ended) > 0 {
		_, _ = m.Renew(o.sim.now, worker.RenewCommand{Confirmed: ended})
	}
	o.sim.stats.recordUsage(m, report.Usage)
	o.scheduler.Observe(o.sim.now, report.Usage)
}

func (o *owner) tasksOn(m *simWorker) []*runningTask {
	var found []*runningTask
	for _, t := range o.running {
		if t.worker == m {
			found = append(found, t)
		}
	}
	slices.SortFunc(found, func(a, b *runningTask) int { return strings.Compare(string(a.task.ID), string(b.task.ID)) })
	return found
}

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

// removeIfLost ends the tasks of a worker whose leases have lapsed.
func (o *owner) removeIfLost(m *simWorker) {
	if m.downAt.IsZero() || o.sim.now.Sub(m.downAt) < lostTimeout {
		return
	}
	m.registered = false
	for _, t := range o.tasksOn(m) {
		if t.task.Kind == heatherhub.KindBatch {
			o.sim.stats.lostCPU += cpuTime(t.task, m.downAt.Sub(t.startedAt))
		}
		o.endTask(t, placement.EndLost)
	}
	o.scheduler.RemoveWorker(o.sim.now, m.id)
}

// reconcile queues missing replicas and stops surplus ones.
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

func cpuTime(t heatherhub.Task, d time.Duration) time.Duration {
	return d * time.Duration(t.Size.CPU) / 1000
}
