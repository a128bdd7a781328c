package dispatch_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/version/evacuation"
)

const evacuatedDomain = heatherhub.FailureDomain("north")

// setDomain has workers say that they are in a failure domain.
func (b *simulation) setDomain(d heatherhub.FailureDomain, workers ...int) {
	for _, i := range workers {
		w := b.worker(i)
		w.Domain = d
		b.e.UpdateWorker(w)
	}
}

// evacuate sets the evacuated domains.
func (b *simulation) evacuate(domains ...heatherhub.FailureDomain) {
	var requests []evacuation.Request
	for _, d := range domains {
		requests = append(requests, evacuation.Request{Domain: d})
	}
	b.e.SetEvacuated(evacuation.NewSet(requests...))
}

// TestNoStartOfAnyKindInEvacuatedDomain guards against a kind of start that does not look at the
// evacuation, and against work that stays away after the domain has returned to service.
func TestNoStartOfAnyKindInEvacuatedDomain(t *testing.T) {
	gang := tasks(2, 6000, time.Second)
	gang.Gang = true
	// Fillers beyond the spare processors start only as starved ones.
	starved := tasks(1, 12_000, time.Second)
	starved.Filler = true
	long := tasks(2, 6000, time.Hour)
	long.LongRunning = true
	crashes := []heatherhub.CrashedRun{{Run: 1, Worker: "x", Evidence: heatherhub.CrashSuspect}, {Run: 2, Worker: "y", Evidence: heatherhub.CrashSuspect}}
	for name, c := range map[string]struct {
		step    heatherhub.Step
		crashes []heatherhub.CrashedRun
	}{
		"ordinary": {step: tasks(2, 6000, time.Second)}, "gang": {step: gang}, "starved filler": {step: starved},
		"long-running": {step: long}, "isolated": {step: tasks(1, 1000, time.Second), crashes: crashes},
	} {
		t.Run(name, func(t *testing.T) {
			b := newSimulation(t, dispatch.Policy{MaxAttempts: 3}, 2)
			b.setDomain(evacuatedDomain, 0, 1)
			b.evacuate("elsewhere", evacuatedDomain)
			flow := &heatherhub.Workflow{ID: "j", Queue: queue, Steps: []heatherhub.Step{c.step}, Accepted: b.now.Wall, Crashes: c.crashes}
			b.workflows["j"] = flow
			b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1})
			b.advance(4 * time.Second)
			if len(b.started) > 0 || b.e.IsUsable(b.now) {
				t.Errorf("got %d starts (usable: %t), want none", len(b.started), b.e.IsUsable(b.now))
			}
			b.evacuate("elsewhere")
			b.advance(2 * time.Second)
			if got := len(b.started); got != c.step.Tasks || !b.e.IsUsable(b.now) {
				t.Errorf("got %d starts (usable: %t) after the return to service, want %d", got, b.e.IsUsable(b.now), c.step.Tasks)
			}
		})
	}
}

// TestWorkerThatJoinsOrMovesIsEvacuated guards against a worker that becomes known, or states
// another domain, after the request.
func TestWorkerThatJoinsOrMovesIsEvacuated(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	b.evacuate(evacuatedDomain)
	b.setDomain(evacuatedDomain, 0)
	b.e.WorkerUp(b.now, agent.Worker{ID: "new", Pool: pool, Domain: evacuatedDomain, Capacity: heatherhub.Resources{CPU: 10_000, Memory: 10_000}}, &agent.Report{Clock: 1})
	b.add("j", tasks(2, 1000, time.Second))
	b.advance(time.Second)
	if len(b.started) > 0 {
		t.Errorf("got starts at %v, want none", slices.Collect(maps.Values(b.placed)))
	}
	b.setDomain("south", 0)
	b.advance(time.Second)
	if got := len(b.started); got != 2 || b.placed[heatherhub.StepTask{Job: "j"}] != b.workers[0] {
		t.Errorf("got %d starts at %v, want 2 at %s", got, b.placed, b.workers[0])
	}
}

// TestRunningWorkGoesOnInEvacuatedDomain guards against stops or lost runs because of an
// evacuation, and against a load that still offers the domain's workers.
func TestRunningWorkGoesOnInEvacuatedDomain(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	b.setDomain(evacuatedDomain, 0)
	long := tasks(2, 6000, time.Hour)
	long.LongRunning = true
	b.add("long", long)
	b.advance(100 * time.Millisecond)
	b.add("batch", tasks(2, 4000, time.Second))
	b.advance(100 * time.Millisecond)
	b.evacuate(evacuatedDomain)
	want := dispatch.EvacuatedDomain{Domain: evacuatedDomain, Workers: 1, Batch: 1, LongRunning: 1}
	if got := b.e.EvacuatedDomains(); len(got) != 1 || got[0] != want {
		t.Errorf("got %v, want %v", got, want)
	}
	l := b.e.Load()
	rooms := len(b.e.LargestFree(b.now, 8)[pool]) + len(b.e.LargestSpare(b.now, 8)[pool])
	if l.Capacity != 10_000 || l.Reserved != 10_000 || rooms != 2 {
		t.Errorf("got load %+v and %d workers with room, want those of one worker", l, rooms)
	}
	b.advance(3 * time.Second)
	want.Batch = 0
	if got := b.e.EvacuatedDomains(); got[0] != want || b.e.Stats.Stopped+b.e.Stats.Lost > 0 {
		t.Errorf("got %v with %+v, want %v without stops", got, b.e.Stats, want)
	}
	if _, ok := b.doneAt["batch"]; !ok {
		t.Error("got the batch job unfinished, want it done")
	}
	b.evacuate(evacuatedDomain, "")
	if free := b.e.FillerRoom(b.now); b.e.IsUsable(b.now) || len(free) > 0 {
		t.Errorf("got room %v with all workers evacuated, want none", free)
	}
	if inService, evacuated := b.e.PoolsInService(); len(inService) > 0 || !slices.Equal(evacuated, []heatherhub.PoolID{pool}) {
		t.Errorf("got pools %v in service and %v evacuated, want only the latter", inService, evacuated)
	}
}

// TestMovedTaskStaysAwayFromEvacuatedWorker guards against a start where room was reserved for the
// task of a drained worker before the evacuation.
func TestMovedTaskStaysAwayFromEvacuatedWorker(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	long := tasks(1, 4000, time.Hour)
	long.LongRunning = true
	b.add("long", long)
	b.step(100 * time.Millisecond)
	b.drain(0, 3*time.Second)
	b.addWorkerWithRoom(4000)
	b.setDomain(evacuatedDomain, 1)
	b.decide() // stops the run and reserves the room
	b.evacuate(evacuatedDomain)
	b.advance(2 * time.Second)
	if got := len(b.started); got != 1 || len(b.runs[b.workers[0]]) > 0 {
		t.Errorf("got %d starts, want the first one only, and its run stopped", got)
	}
	b.evacuate()
	b.advance(time.Second)
	if got := len(b.started); got != 2 {
		t.Errorf("got %d starts after the return to service, want 2", got)
	}
}

// TestWithdrawnStartIsDoneElsewhereAtOnce guards against a dropped start that counts as a fault of
// its worker or task.
func TestWithdrawnStartIsDoneElsewhereAtOnce(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	b.setDomain(evacuatedDomain, 0, 1)
	b.add("j", tasks(1, 4000, time.Second))
	orders := b.e.Decide(b.now)
	b.setDomain("south", 1-slices.Index(b.workers, orders[0].Worker))
	b.evacuate(evacuatedDomain)
	b.e.OrderResult(b.now, orders[0], dispatch.Withdrawn)
	next := b.e.Decide(b.now)
	if len(next) != 1 || next[0].Worker == orders[0].Worker {
		t.Fatalf("got orders %v, want one start on the other worker", next)
	}
	if v := b.e.Workers(b.now); v[0].Silent || v[1].Silent {
		t.Errorf("got silent workers %v, want none", v)
	}
}
