package placement_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
)

// harness drives a Colocator and carries out its starts, which always succeed.
type harness struct {
	*placement.Colocator
	now     time.Time
	running map[heatherhub.TaskID]placement.Action
	actions []placement.Action
}

func newHarness(disabled ...placement.Mechanism) *harness {
	return &harness{Colocator: placement.New(placement.Config{Disabled: disabled}), now: start, running: make(map[heatherhub.TaskID]placement.Action)}
}

func snapshot(edit func(*heatherhub.Preset)) *heatherhub.Snapshot {
	p := heatherhub.Preset{ID: "day", BatchShare: 100, MaxEvictions: 12}
	edit(&p)
	return &heatherhub.Snapshot{
		Version: 1, InForce: "day", Presets: []heatherhub.Preset{p},
		Teams:     []heatherhub.Team{{ID: "tools", Quota: size(1000, 1000, 0)}, {ID: "media", Quota: size(1000, 1000, 0)}},
		Workloads: []heatherhub.Workload{{ID: "compile", Kind: heatherhub.KindService, Deadline: time.Second}},
	}
}

// step advances the clock, calls Decide and counts the actions by kind.
func (b *harness) step(d time.Duration) map[placement.ActionKind]int {
	b.now = b.now.Add(d)
	b.actions = b.Decide(b.now)
	for _, a := range b.actions {
		if a.Kind == placement.ActionStart {
			b.running[a.Task.ID] = a
			b.Started(b.now, a.Task, a.Worker)
		}
	}
	return kinds(b.actions)
}

func (b *harness) end(id heatherhub.TaskID, why placement.EndReason) {
	delete(b.running, id)
	b.Ended(b.now, id, why)
}

// report sends the usage of every running task: its declared processors times factor
// and, for replicas, the latency.
func (b *harness) report(factor float64, latency time.Duration) {
	byWorker := make(map[heatherhub.WorkerID][]worker.TaskUsage)
	for id, a := range b.running {
		used := size(int64(float64(a.Task.Size.CPU)*factor), int64(a.Task.Size.Memory), 0)
		u := worker.TaskUsage{Task: id, Used: used}
		if a.Task.Kind == heatherhub.KindService {
			u.Latency, u.Requests = latency, 20
		}
		byWorker[a.Worker] = append(byWorker[a.Worker], u)
	}
	for id, tasks := range byWorker {
		b.Observe(b.now, worker.Usage{Worker: id, At: b.now, Tasks: tasks})
	}
}

func (b *harness) put(id, rack string, cpu, acc int64) {
	b.PutWorker(b.now, host(id, rack, cpu, 64_000, acc))
}

func (b *harness) add(t heatherhub.Task) heatherhub.TaskID {
	t.Queued = b.now
	b.Enqueue(b.now, t)
	return t.ID
}

func replicaTask(n int) heatherhub.Task {
	return heatherhub.Task{ID: heatherhub.TaskID(fmt.Sprint("svc", n)), Workload: "compile", Kind: heatherhub.KindService, Team: "tools", Size: size(1000, 1000, 0)}
}

func TestUrgentTaskPreemptsLeastLostWork(t *testing.T) {
	run := func(disabled ...placement.Mechanism) (evicted heatherhub.TaskID, starts int) {
		b := newHarness(disabled...)
		b.SetSnapshot(b.now, snapshot(func(*heatherhub.Preset) {}))
		b.put("w1", "r1", 2000, 0)
		b.add(batchTask("old", 0, size(1000, 1000, 0)))
		b.step(0)
		b.now = b.now.Add(20 * time.Second)
		b.add(batchTask("young", 0, size(1000, 1000, 0)))
		b.step(0)
		urgent := batchTask("urgent", 0, size(1000, 1000, 0))
		urgent.Priority = heatherhub.PriorityUrgent
		b.add(urgent)
		b.step(100 * time.Millisecond)
		for _, a := range b.actions {
			if a.Kind == placement.ActionEvict {
				evicted = a.Task.ID
				b.end(a.Task.ID, placement.EndEvicted)
				b.Enqueue(b.now, a.Task)
			}
		}
		b.step(200 * time.Millisecond)
		if a, ok := b.running["job:urgent:0"]; ok && a.Worker == "w1" {
			starts++
		}
		return evicted, starts
	}
	if evicted, starts := run(); evicted != "job:young:0" || starts != 1 {
		t.Errorf("got evicted %q and %d urgent starts, want job:young:0 and 1", evicted, starts)
	}
	if evicted, starts := run(placement.MechanismPreemption); evicted != "" || starts != 0 {
		t.Errorf("without preemption: got evicted %q and %d starts, want none", evicted, starts)
	}
}

func TestEvictionRespectsDueTimes(t *testing.T) {
	b := newHarness()
	b.SetSnapshot(b.now, snapshot(func(*heatherhub.Preset) {}))
	b.put("w1", "r1", 2000, 0)
	free := batchTask("free", 0, size(1000, 1000, 0))
	b.add(free)
	b.step(0)
	b.now = b.now.Add(20 * time.Second)
	due := batchTask("due", 0, size(1000, 1000, 0))
	due.Due = b.now.Add(4 * time.Minute)
	b.add(due)
	b.step(0)
	urgent := batchTask("urgent", 0, size(1000, 1000, 0))
	urgent.Priority = heatherhub.PriorityUrgent
	b.add(urgent)
	b.step(time.Second)
	for _, a := range b.actions {
		if got, want := a.Task.ID, free.ID; a.Kind == placement.ActionEvict && got != want {
			t.Errorf("evicted: got %s, want %s, which has no due time", got, want)
		}
	}
	if got, want := kinds(b.actions)[placement.ActionEvict], 1; got != want {
		t.Errorf("evictions: got %d, want %d", got, want)
	}
}

func TestLargeTaskIsNotOvertakenForEver(t *testing.T) {
	run := func(disabled ...placement.Mechanism) bool {
		b := newHarness(disabled...)
		b.put("w1", "r1", 4000, 0)
		for i := range 4 {
			b.add(batchTask("small", i, size(1000, 1000, 0)))
		}
		b.step(0)
		large := b.add(batchTask("large", 0, size(4000, 1000, 0)))
		for i := range 400 {
			b.add(batchTask("small", i+4, size(1000, 1000, 0)))
			b.end(heatherhub.JobTaskID("small", i), placement.EndFinished)
			b.step(5 * time.Second)
			if _, ok := b.running[large]; ok {
				return true
			}
		}
		return false
	}
	if !run() {
		t.Error("large task: got no start in 400 rounds, want a start")
	}
	if run(placement.MechanismAgeing) {
		t.Error("large task without ageing: got a start, want none in the control run")
	}
}

func TestLearnedSizesLimitStarts(t *testing.T) {
	run := func(disabled ...placement.Mechanism) int {
		b := newHarness(disabled...)
		b.put("w1", "r1", 8000, 0)
		for i := range 4 {
			b.add(batchTask("a", i, size(1000, 1000, 0)))
		}
		b.step(0)
		for range 20 {
			b.now = b.now.Add(2 * time.Second)
			b.report(2, 0)
		}
		for i := range 4 {
			b.end(heatherhub.JobTaskID("a", i), placement.EndFinished)
		}
		for i := range 8 {
			b.add(batchTask("b", i, size(1000, 1000, 0)))
		}
		return b.step(time.Second)[placement.ActionStart]
	}
	if got := run(); got != 3 {
		t.Errorf("starts of tasks that use twice their size, with a margin: got %d, want 3", got)
	}
	if got, want := run(placement.MechanismSizes), 8; got != want {
		t.Errorf("starts by declared size: got %d, want %d", got, want)
	}
}

func TestMitigationThrottlesThenEvictsWithCooldown(t *testing.T) {
	b := newHarness()
	b.SetSnapshot(b.now, snapshot(func(*heatherhub.Preset) {}))
	b.put("w1", "r1", 4000, 0)
	b.add(replicaTask(0))
	b.add(batchTask("noisy", 0, size(2000, 1000, 0)))
	b.step(0)
	var order []placement.ActionKind
	var at []time.Time
	for range 30 {
		b.now = b.now.Add(2 * time.Second)
		b.report(1, 900*time.Millisecond)
		b.step(0)
		for _, a := range b.actions {
			order = append(order, a.Kind)
			at = append(at, b.now)
			if a.Kind == placement.ActionEvict {
				b.end(a.Task.ID, placement.EndEvicted)
			}
		}
	}
	want := []placement.ActionKind{placement.ActionThrottle, placement.ActionThrottle, placement.ActionEvict}
	if fmt.Sprint(order) != fmt.Sprint(want) {
		t.Fatalf("mitigations: got %v, want %v", order, want)
	}
	for i := 1; i < len(at); i++ {
		if got := at[i].Sub(at[i-1]); got < placement.DefaultCooldown {
			t.Errorf("time between mitigations %d and %d: got %s, want at least %s", i-1, i, got, placement.DefaultCooldown)
		}
	}
}

func TestLowLatencyLiftsThrottle(t *testing.T) {
	b := newHarness()
	b.SetSnapshot(b.now, snapshot(func(*heatherhub.Preset) {}))
	b.put("w1", "r1", 4000, 0)
	b.add(replicaTask(0))
	b.add(batchTask("noisy", 0, size(2000, 1000, 0)))
	b.step(0)
	latency := 900 * time.Millisecond
	var shares []heatherhub.Percent
	for range 60 {
		b.now = b.now.Add(2 * time.Second)
		b.report(1, latency)
		b.step(0)
		for _, a := range b.actions {
			shares = append(shares, a.CPUShare)
			latency = 100 * time.Millisecond
		}
	}
	if got, want := fmt.Sprint(shares), "[50 100]"; got != want {
		t.Errorf("throttles: got %s, want %s", got, want)
	}
}

func TestLearnedInterferenceIsAvoided(t *testing.T) {
	run := func(disabled ...placement.Mechanism) heatherhub.WorkerID {
		b := newHarness(append(disabled, placement.MechanismThrottle, placement.MechanismEviction)...)
		b.SetSnapshot(b.now, snapshot(func(*heatherhub.Preset) {}))
		b.put("w1", "r1", 4000, 0)
		b.add(replicaTask(0))
		b.step(0)
		b.put("w2", "r2", 8000, 0)
		for range 20 {
			b.add(batchTask("noisy", 0, size(2000, 1000, 0)))
			b.Started(b.now, batchTask("noisy", 0, size(2000, 1000, 0)), "w1")
			b.running["job:noisy:0"] = placement.Action{Task: batchTask("noisy", 0, size(2000, 1000, 0)), Worker: "w1"}
			b.now = b.now.Add(5 * time.Second)
			b.report(1, 250*time.Millisecond)
			b.end("job:noisy:0", placement.EndFinished)
			b.now = b.now.Add(5 * time.Second)
			b.report(1, 100*time.Millisecond)
		}
		b.step(time.Minute)
		id := b.add(batchTask("next", 0, size(2000, 1000, 0)))
		b.step(time.Second)
		return b.running[id].Worker
	}
	if got, want := run(), heatherhub.WorkerID("w2"); got != want {
		t.Errorf("worker: got %s, want %s, which has no service", got, want)
	}
	if got, want := run(placement.MechanismAvoidance), heatherhub.WorkerID("w1"); got != want {
		t.Errorf("worker without avoidance: got %s, want %s, the best fit", got, want)
	}
}

func TestReplicasSpreadOverRacks(t *testing.T) {
	racks := func(disabled ...placement.Mechanism) int {
		b := newHarness(disabled...)
		for i := range 9 {
			b.put(fmt.Sprint("w", i), fmt.Sprint("r", i/3), 8000, 0)
		}
		for i := range 3 {
			b.add(replicaTask(i))
		}
		b.step(0)
		seen := make(map[byte]bool)
		for _, a := range b.running {
			seen[(a.Worker[1]-'0')/3] = true
		}
		return len(seen)
	}
	if got, want := racks(), 3; got != want {
		t.Errorf("racks of 3 replicas: got %d, want %d", got, want)
	}
	if got := racks(placement.MechanismSpread); got == 3 {
		t.Errorf("racks without spreading: got %d, want fewer in the control run", got)
	}
}

func TestResourcesAreReservedForIdleAccelerators(t *testing.T) {
	run := func(disabled ...placement.Mechanism) bool {
		b := newHarness(disabled...)
		b.put("acc", "r1", 8000, 2)
		b.put("plain", "r2", 16_000, 0)
		for i := range 8 {
			b.add(batchTask("plain", i, size(1000, 1000, 0)))
		}
		b.step(0)
		training := b.add(batchTask("training", 0, size(4000, 1000, 2)))
		b.step(time.Second)
		return b.running[training].Worker == "acc"
	}
	if !run() {
		t.Error("accelerator task: got no start, want one on the accelerator worker")
	}
	if run(placement.MechanismAccelerators) {
		t.Error("accelerator task without the reservation: got a start, want none in the control run")
	}
}

func TestLeavingWorkerIsDrained(t *testing.T) {
	b := newHarness()
	b.SetSnapshot(b.now, snapshot(func(*heatherhub.Preset) {}))
	for i := range 2 {
		b.put(fmt.Sprint("w", i), "r1", 4000, 0)
	}
	for i := range 2 {
		b.add(replicaTask(i))
	}
	for i := range 2 {
		b.add(batchTask("long", i, size(1000, 1000, 0)))
	}
	b.step(0)
	h := host("w0", "r1", 4000, 64_000, 0)
	h.State = hostlist.StateLeaving
	b.PutWorker(b.now, h)
	b.add(batchTask("new", 0, size(500, 100, 0)))
	for range 100 {
		b.step(time.Second)
		for _, a := range b.actions {
			switch {
			case a.Kind == placement.ActionStart && a.Worker == "w0":
				t.Fatalf("start of %s on the leaving worker", a.Task.ID)
			case a.Kind == placement.ActionEvict || a.Kind == placement.ActionStop:
				b.end(a.Task.ID, placement.EndEvicted)
				b.Enqueue(b.now, a.Task)
			}
		}
	}
	for id, a := range b.running {
		if a.Worker == "w0" {
			t.Errorf("task %s: still on the leaving worker after 100 s", id)
		}
	}
}

func TestPresetSwitchRespectsEvictionLimit(t *testing.T) {
	b := newHarness()
	b.SetSnapshot(b.now, snapshot(func(*heatherhub.Preset) {}))
	for i := range 20 {
		b.put(fmt.Sprint("w", i), fmt.Sprint("r", i/4), 8000, 0)
	}
	for i := range 160 {
		long := batchTask("long", i, size(1000, 1000, 0))
		long.RunTime = time.Hour
		b.add(long)
	}
	b.step(0)
	b.SetSnapshot(b.now, snapshot(func(p *heatherhub.Preset) { p.BatchShare = 50 }))
	total := 0
	for minute := range 10 {
		evicted := 0
		for range 60 {
			evicted += b.step(time.Second)[placement.ActionEvict]
			for _, a := range b.actions {
				if a.Kind == placement.ActionEvict {
					b.end(a.Task.ID, placement.EndEvicted)
				}
			}
		}
		total += evicted
		if want := 12; evicted > want {
			t.Errorf("evictions in minute %d: got %d, want at most %d", minute, evicted, want)
		}
	}
	if want := 80; total != want {
		t.Errorf("evictions until batch is within its share: got %d, want %d", total, want)
	}
}

func TestPresetOrdersServices(t *testing.T) {
	first := func(drawing heatherhub.Priority) heatherhub.WorkloadID {
		b := newHarness()
		s := snapshot(func(p *heatherhub.Preset) {
			p.Services = []heatherhub.ServiceSetting{{Workload: "compile", Priority: 200}, {Workload: "drawing", Priority: drawing}}
		})
		drawn := replicaTask(1)
		drawn.Workload = "drawing"
		b.add(replicaTask(0))
		b.add(drawn)
		b.SetSnapshot(b.now, s)
		b.put("w1", "r1", 1000, 0)
		b.step(0)
		return b.actions[0].Task.Workload
	}
	if got, want := first(210), heatherhub.WorkloadID("drawing"); got != want {
		t.Errorf("first service: got %s, want %s, whose priority is higher", got, want)
	}
	if got, want := first(190), heatherhub.WorkloadID("compile"); got != want {
		t.Errorf("first service: got %s, want %s, whose priority is higher", got, want)
	}
}

func TestTaskWithLargeLearnedUsageIsThrottledAtStart(t *testing.T) {
	run := func(disabled ...placement.Mechanism) heatherhub.Percent {
		b := newHarness(disabled...)
		b.put("w1", "r1", 8000, 0)
		b.add(batchTask("heavy", 0, size(1000, 1000, 0)))
		b.step(0)
		for range 40 {
			b.now = b.now.Add(2 * time.Second)
			b.report(16, 0)
		}
		b.end("job:heavy:0", placement.EndFinished)
		b.add(batchTask("heavy", 1, size(1000, 1000, 0)))
		b.step(time.Second)
		b.step(time.Second)
		for _, a := range b.actions {
			if a.Kind == placement.ActionThrottle {
				return a.CPUShare
			}
		}
		return 100
	}
	if got := run(); got < 40 || got > 50 {
		t.Errorf("throttle of a task that uses twice the worker: got %d, want 40 to 50", got)
	}
	if got, want := run(placement.MechanismSizes), heatherhub.Percent(100); got != want {
		t.Errorf("throttle without learned sizes: got %d, want %d", got, want)
	}
}
