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
	// lostAfter is when an owner takes the tasks of a silent worker for ended.
	lostAfter = worker.TaskLease + 2*time.Second
	// failedCheckpoints is the part of checkpoints that cannot be kept.
	failedCheckpoints = 0.1
	// drainPoll and drainTime bound the wait for a replica's last requests.
	drainPoll = 200 * time.Millisecond
	drainTime = 5 * time.Second
)

// running is a task that an owner has started.
type running struct {
	task    heatherhub.Task
	machine *machine
	since   time.Time
}

// owner carries out the decisions for one shard.
type owner struct {
	r         *run
	shard     heatherhub.ShardID
	scheduler placement.Scheduler
	machines  []*machine
	running   map[heatherhub.TaskID]*running
	waiting   map[heatherhub.TaskID]time.Time
	// isStopping names the replicas that end after their last requests.
	isStopping map[heatherhub.TaskID]bool
}

func newOwner(r *run, d heatherhub.FailureDomain, s placement.Scheduler) *owner {
	return &owner{
		r: r, shard: heatherhub.ShardID{Domain: d}, scheduler: s,
		running:    make(map[heatherhub.TaskID]*running),
		waiting:    make(map[heatherhub.TaskID]time.Time),
		isStopping: make(map[heatherhub.TaskID]bool),
	}
}

func (o *owner) enqueue(t heatherhub.Task) {
	if t.Kind == heatherhub.KindBatch {
		if _, ok := o.waiting[t.ID]; !ok {
			o.waiting[t.ID] = o.r.now
		}
	}
	o.scheduler.Enqueue(o.r.now, t)
}

func (o *owner) decide() {
	for _, a := range o.scheduler.Decide(o.r.now) {
		switch a.Kind {
		case placement.ActionStart:
			o.start(a)
		case placement.ActionThrottle:
			if x := o.running[a.Task.ID]; x != nil {
				_ = x.machine.Throttle(o.r.now, a.Task.ID, a.CPUShare)
				o.r.tally.throttles++
			}
		case placement.ActionEvict:
			o.evict(a.Task.ID)
		case placement.ActionStop:
			o.stop(a.Task.ID)
		case placement.ActionPark:
			delete(o.waiting, a.Task.ID)
			o.r.tally.parked++
		}
	}
}

func (o *owner) start(a placement.Action) {
	m := o.machine(a.Worker)
	err := m.Start(o.r.now, worker.StartCommand{Task: a.Task, LeaseUntil: o.r.now.Add(worker.TaskLease)})
	if err != nil {
		o.scheduler.Ended(o.r.now, a.Task.ID, placement.EndNotStarted)
		o.enqueue(a.Task)
		return
	}
	if since, ok := o.waiting[a.Task.ID]; ok {
		o.r.tally.started(a.Task, since)
		delete(o.waiting, a.Task.ID)
	}
	x := &running{task: a.Task, machine: m, since: o.r.now}
	o.running[a.Task.ID] = x
	o.scheduler.Started(o.r.now, a.Task, a.Worker)
	if a.Task.Kind == heatherhub.KindService {
		o.r.service(a.Task.Workload).add(x)
	}
}

func (o *owner) machine(id heatherhub.WorkerID) *machine {
	return o.machines[slices.IndexFunc(o.machines, func(m *machine) bool { return m.id == id })]
}

// end frees a task; what follows depends on the reason.
func (o *owner) end(x *running, why placement.EndReason) {
	delete(o.running, x.task.ID)
	delete(o.isStopping, x.task.ID)
	o.scheduler.Ended(o.r.now, x.task.ID, why)
	if x.task.Kind == heatherhub.KindService {
		o.r.service(x.task.Workload).remove(x)
		return
	}
	if why == placement.EndFinished {
		o.r.tally.finished(x.task)
		return
	}
	o.enqueue(x.task)
}

// evict keeps a checkpoint, stops the task and queues it again.
func (o *owner) evict(id heatherhub.TaskID) {
	x := o.running[id]
	if x == nil {
		return
	}
	o.r.tally.evictions++
	ref, err := x.machine.Checkpoint(o.r.now, id)
	if err == nil && o.r.faults.Float64() >= failedCheckpoints {
		x.task.Resume = ref
	} else {
		o.r.tally.lost += cpuTime(x.task, o.r.now.Sub(x.since))
	}
	if x.machine.Stop(o.r.now, id) == nil {
		o.end(x, placement.EndEvicted)
	}
}

// stop ends a task for good; a replica gets time for its last requests.
func (o *owner) stop(id heatherhub.TaskID) {
	x := o.running[id]
	if x == nil || o.isStopping[id] {
		return
	}
	if x.task.Kind == heatherhub.KindBatch {
		if x.machine.Stop(o.r.now, id) == nil {
			o.end(x, placement.EndStopped)
		}
		return
	}
	o.isStopping[id] = true
	s := o.r.service(x.task.Workload)
	replica := s.remove(x)
	until := o.r.now.Add(drainTime)
	var poll func()
	poll = func() {
		if o.running[id] != x {
			return
		}
		if replica != nil && replica.active > 0 && o.r.now.Before(until) {
			o.r.after(drainPoll, poll)
			return
		}
		_ = x.machine.Stop(o.r.now, id)
		o.end(x, placement.EndStopped)
	}
	poll()
}

// renew renews the tasks of one worker and takes its report.
func (o *owner) renew(m *machine) {
	if !m.listed {
		return
	}
	c := worker.RenewCommand{LeaseUntil: o.r.now.Add(worker.TaskLease)}
	for _, x := range o.on(m) {
		c.Tasks = append(c.Tasks, x.task.ID)
	}
	report, err := m.Renew(o.r.now, c)
	if err != nil {
		o.loseSilent(m)
		return
	}
	var ended []heatherhub.TaskID
	for _, s := range report.Tasks {
		if s.State != worker.TaskRunning {
			ended = append(ended, s.Task.ID)
		}
		if x := o.running[s.Task.ID]; x != nil && x.machine == m {
			o.take(x, s)
		}
	}
	if len(ended) > 0 {
		_, _ = m.Renew(o.r.now, worker.RenewCommand{Confirmed: ended})
	}
	o.r.tally.observe(m, report.Usage)
	o.scheduler.Observe(o.r.now, report.Usage)
}

func (o *owner) on(m *machine) []*running {
	var found []*running
	for _, x := range o.running {
		if x.machine == m {
			found = append(found, x)
		}
	}
	slices.SortFunc(found, func(a, b *running) int { return strings.Compare(string(a.task.ID), string(b.task.ID)) })
	return found
}

func (o *owner) take(x *running, s worker.TaskStatus) {
	switch s.State {
	case worker.TaskFinished:
		o.end(x, placement.EndFinished)
	case worker.TaskFailed:
		o.r.tally.failures++
		o.end(x, placement.EndFailed)
	case worker.TaskStopped:
		o.end(x, placement.EndLost)
	}
}

// loseSilent ends the tasks of a worker whose leases have lapsed.
func (o *owner) loseSilent(m *machine) {
	if m.downAt.IsZero() || o.r.now.Sub(m.downAt) < lostAfter {
		return
	}
	m.listed = false
	for _, x := range o.on(m) {
		if x.task.Kind == heatherhub.KindBatch {
			o.r.tally.lost += cpuTime(x.task, m.downAt.Sub(x.since))
		}
		o.end(x, placement.EndLost)
	}
	o.scheduler.RemoveWorker(o.r.now, m.id)
}

// reconcile queues missing replicas and stops surplus ones.
func (o *owner) reconcile() {
	for i := range o.r.snapshot.Workloads {
		w := &o.r.snapshot.Workloads[i]
		if w.Kind != heatherhub.KindService {
			continue
		}
		want := layout.ReplicasFor(o.r.snapshot, o.r.layout, o.shard, w.ID)
		for n := range want {
			if id := heatherhub.ServiceTaskID(w.ID, o.shard, n); o.running[id] == nil {
				o.enqueue(heatherhub.Task{ID: id, Workload: w.ID, Kind: w.Kind, Team: w.Team, Index: n, Size: w.Size, Queued: o.r.now})
			}
		}
		o.stopSurplus(w.ID, want)
	}
}

func (o *owner) stopSurplus(id heatherhub.WorkloadID, want int) {
	for n := want; ; n++ {
		t := heatherhub.ServiceTaskID(id, o.shard, n)
		o.scheduler.Dequeue(o.r.now, t)
		if o.running[t] == nil {
			return
		}
		o.stop(t)
	}
}

func cpuTime(t heatherhub.Task, d time.Duration) time.Duration {
	return d * time.Duration(t.Size.CPU) / 1000
}
