package placement_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
)

// settleRounds is the number of 5 s rounds within which every batch task must start or be
// parked. It covers the longest quarantine and the probation after it.
const settleRounds = 400

// owner carries out actions as the owner of a shard does and checks them.
type owner struct {
	t       *rapid.T
	c       *placement.Colocator
	now     time.Time
	hosts   map[string]hostlist.Host
	waiting map[heatherhub.TaskID]heatherhub.Task
	running map[heatherhub.TaskID]placement.Action
	order   []heatherhub.TaskID
	started map[heatherhub.TaskID]bool
	parked  map[heatherhub.TaskID]bool
	leaving []heatherhub.TaskID
	next    int
	// parkedJobs holds the parked jobs, whose tasks are not queued again.
	parkedJobs map[heatherhub.JobID]bool
	// gangs holds the sizes of the gangs that have started.
	gangs map[heatherhub.JobID]int
}

func newOwner(t *rapid.T) *owner {
	return &owner{
		t: t, c: placement.New(placement.Config{}), now: start,
		hosts:      make(map[string]hostlist.Host),
		waiting:    make(map[heatherhub.TaskID]heatherhub.Task),
		running:    make(map[heatherhub.TaskID]placement.Action),
		started:    make(map[heatherhub.TaskID]bool),
		parked:     make(map[heatherhub.TaskID]bool),
		parkedJobs: make(map[heatherhub.JobID]bool),
		gangs:      make(map[heatherhub.JobID]int),
	}
}

func (o *owner) reserved(id heatherhub.WorkerID) heatherhub.Resources {
	var sum heatherhub.Resources
	for _, a := range o.running {
		if a.Worker == id {
			sum = sum.Add(a.Task.Size)
		}
	}
	return sum
}

func (o *owner) decide() {
	startedTogether := make(map[heatherhub.JobID]int)
	for _, a := range o.c.Decide(o.now) {
		if a.Kind == placement.ActionStart && a.Task.Gang > 0 && !o.started[a.Task.ID] {
			startedTogether[a.Task.Job]++
			o.gangs[a.Task.Job] = a.Task.Gang
		}
		switch a.Kind {
		case placement.ActionStart:
			o.start(a)
		case placement.ActionPark:
			if _, ok := o.waiting[a.Task.ID]; !ok {
				o.t.Fatalf("parked task %s was not waiting", a.Task.ID)
			}
			delete(o.waiting, a.Task.ID)
			o.parked[a.Task.ID] = true
			o.parkedJobs[a.Task.Job] = true
		case placement.ActionEvict, placement.ActionStop:
			if _, ok := o.running[a.Task.ID]; !ok {
				o.t.Fatalf("%s of task %s, which is not running", a.Kind, a.Task.ID)
			}
			o.leaving = append(o.leaving, a.Task.ID)
		}
	}
	o.checkGangs(startedTogether)
	o.dequeueParked()
}

// dequeueParked removes the other tasks of parked jobs from the queue, as the shard does.
func (o *owner) dequeueParked() {
	for _, id := range slices.Sorted(maps.Keys(o.waiting)) {
		if o.parkedJobs[o.waiting[id].Job] {
			o.c.Dequeue(o.now, id)
			delete(o.waiting, id)
		}
	}
}

// checkGangs checks that all tasks of a gang start in the same Decide the first time.
func (o *owner) checkGangs(startedTogether map[heatherhub.JobID]int) {
	for id, got := range startedTogether {
		if want := o.gangs[id]; got != want {
			o.t.Fatalf("gang %s: got %d tasks started together, want %d", id, got, want)
		}
	}
}

func (o *owner) start(a placement.Action) {
	h, ok := o.hosts[string(a.Worker)]
	if !ok || h.State != hostlist.StateLive {
		o.t.Fatalf("start of %s on worker %s, which is removed or leaving", a.Task.ID, a.Worker)
	}
	if _, ok := o.running[a.Task.ID]; ok {
		o.t.Fatalf("task %s is reserved twice", a.Task.ID)
	}
	if _, ok := o.waiting[a.Task.ID]; !ok {
		o.t.Fatalf("started task %s was not waiting", a.Task.ID)
	}
	if got := o.reserved(a.Worker).Add(a.Task.Size); !got.Fits(h.Capacity) {
		o.t.Fatalf("worker %s: got %v reserved, want at most %v", a.Worker, got, h.Capacity)
	}
	delete(o.waiting, a.Task.ID)
	o.running[a.Task.ID] = a
	o.order = append(o.order, a.Task.ID)
	o.started[a.Task.ID] = true
}

func (o *owner) end(id heatherhub.TaskID, why placement.EndReason) {
	a, ok := o.running[id]
	if !ok {
		return
	}
	delete(o.running, id)
	o.order = slices.DeleteFunc(o.order, func(t heatherhub.TaskID) bool { return t == id })
	o.c.Ended(o.now, id, why)
	if why == placement.EndFinished || why == placement.EndStopped && a.Task.Kind == heatherhub.KindService {
		return
	}
	if !o.parkedJobs[a.Task.Job] {
		o.enqueue(a.Task)
	}
}

func (o *owner) enqueue(t heatherhub.Task) {
	o.waiting[t.ID] = t
	o.c.Enqueue(o.now, t)
}

func drawTask(t *rapid.T, n int) heatherhub.Task {
	declared := size(int64(rapid.IntRange(1, 40).Draw(t, "cpu"))*250, int64(rapid.IntRange(1, 40).Draw(t, "memory"))*256, int64(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "accelerators")))
	task := batchTask(fmt.Sprint("j", rapid.IntRange(0, 8).Draw(t, "job")), n, declared)
	task.Team = heatherhub.TeamID(fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "team")))
	switch rapid.IntRange(0, 6).Draw(t, "sort") {
	case 0:
		task.Kind, task.Job, task.Workload = heatherhub.KindService, "", "compile"
	case 1:
		task.Priority = heatherhub.PriorityUrgent
	case 2:
		task.Due = start.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "due")) * time.Minute)
	}
	return task
}

// addGang queues a gang of two to four tasks.
func (o *owner) addGang() {
	n := rapid.IntRange(2, 4).Draw(o.t, "gang")
	task := drawTask(o.t, o.next)
	task.Kind, task.Workload, task.Job = heatherhub.KindBatch, "builds", heatherhub.JobID(fmt.Sprint("g", o.next))
	task.Gang = n
	for i := range n {
		task.ID = heatherhub.JobTaskID(task.Job, i)
		o.enqueue(task)
		o.next++
	}
}

func (o *owner) step() {
	t := o.t
	switch rapid.IntRange(0, 10).Draw(t, "event") {
	case 0:
		o.putWorker()
	case 1:
		o.loseWorker()
	case 2, 3, 4:
		o.enqueue(drawTask(t, o.next))
		o.next++
	case 9:
		o.addGang()
	case 5:
		if len(o.order) > 0 {
			why := rapid.SampledFrom([]placement.EndReason{placement.EndFinished, placement.EndFailed, placement.EndNotStarted, placement.EndNotSent}).Draw(t, "why")
			o.end(rapid.SampledFrom(o.order).Draw(t, "task"), why)
		}
	case 6:
		o.observe()
	case 7:
		o.cancel()
	case 8:
		o.c.SetSnapshot(o.now, drawSnapshot(t))
	}
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "wait")) * time.Millisecond)
	o.finishLeaving()
	o.decide()
}

func (o *owner) finishLeaving() {
	for _, id := range o.leaving {
		why := placement.EndEvicted
		if o.running[id].Task.Kind == heatherhub.KindService {
			why = placement.EndStopped
		}
		o.end(id, why)
	}
	o.leaving = nil
}

func (o *owner) putWorker() {
	id := fmt.Sprint("w", rapid.IntRange(0, 9).Draw(o.t, "worker"))
	if h, ok := o.hosts[id]; ok {
		h.State = rapid.SampledFrom([]hostlist.State{hostlist.StateLive, hostlist.StateLeaving}).Draw(o.t, "state")
		o.hosts[id] = h
	} else {
		o.hosts[id] = host(id, "r"+id[1:], int64(rapid.IntRange(1, 8).Draw(o.t, "cpu"))*1000, 8192, int64(rapid.IntRange(0, 2).Draw(o.t, "accelerators")))
	}
	o.c.PutWorker(o.now, o.hosts[id])
}

func (o *owner) loseWorker() {
	id := fmt.Sprint("w", rapid.IntRange(0, 9).Draw(o.t, "worker"))
	for _, task := range slices.Clone(o.order) {
		if string(o.running[task].Worker) == id {
			o.end(task, placement.EndLost)
		}
	}
	delete(o.hosts, id)
	o.c.RemoveWorker(o.now, heatherhub.WorkerID(id))
}

func (o *owner) observe() {
	for _, id := range slices.Sorted(maps.Keys(o.hosts)) {
		u := worker.Usage{Worker: heatherhub.WorkerID(id), At: o.now}
		for _, task := range o.order {
			if a := o.running[task]; string(a.Worker) == id {
				factor := rapid.IntRange(1, 20).Draw(o.t, "factor")
				u.Tasks = append(u.Tasks, worker.TaskUsage{Task: task, Used: a.Task.Size.Scale(factor), Latency: time.Second, Requests: 5})
			}
		}
		o.c.Observe(o.now, u)
	}
}

func (o *owner) cancel() {
	for _, id := range slices.Sorted(maps.Keys(o.waiting)) {
		if o.waiting[id].Gang > 0 {
			continue
		}
		if !o.c.Dequeue(o.now, id) {
			o.t.Fatalf("cancel of waiting task %s: got false, want true", id)
		}
		delete(o.waiting, id)
		return
	}
}

func drawSnapshot(t *rapid.T) *heatherhub.Snapshot {
	share := heatherhub.Percent(rapid.IntRange(50, 100).Draw(t, "share"))
	return &heatherhub.Snapshot{
		Version: 1, InForce: "day",
		Teams:     []heatherhub.Team{{ID: "t0", Quota: size(4000, 8000, 1)}, {ID: "t1", Quota: size(1000, 8000, 0)}},
		Workloads: []heatherhub.Workload{{ID: "compile", Kind: heatherhub.KindService, Deadline: 800 * time.Millisecond}},
		Presets:   []heatherhub.Preset{{ID: "day", BatchShare: share, BatchFloor: 10, MaxEvictions: rapid.IntRange(0, 60).Draw(t, "evictions")}},
	}
}

// TestRandomEvents checks under random events that no worker exceeds its capacity, that
// no task is reserved twice, and that every batch task is eventually started or parked.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOwner(t)
		for range 6 {
			o.putWorker()
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			o.step()
		}
		o.settle()
	})
}

// settle ends every running task in each round and checks that no batch task is left
// waiting. A replica may wait, since services must leave the batch floor free.
func (o *owner) settle() {
	for _, id := range slices.Sorted(maps.Keys(o.hosts)) {
		h := o.hosts[id]
		h.State = hostlist.StateLive
		o.hosts[id] = h
		o.c.PutWorker(o.now, h)
	}
	for range settleRounds {
		o.now = o.now.Add(5 * time.Second)
		for _, id := range slices.Clone(o.order) {
			o.end(id, placement.EndFinished)
		}
		o.leaving = nil
		o.decide()
	}
	for id, task := range o.waiting {
		if len(o.hosts) > 0 && task.Kind == heatherhub.KindBatch {
			o.t.Fatalf("batch task %s neither started nor was parked: %v with workers %v", id, task, o.hosts)
		}
	}
}
