package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
)

// elsewhere is another shard than that of the benches.
var elsewhere = heatherhub.ShardID{Domain: "elsewhere"}

// full returns a bench whose one worker is full, with a lasting job of which two tasks
// wait.
func full(t *testing.T) *bench {
	b := newBench(t, dispatch.Policy{}, 1)
	spec := tasks(6, 2500, time.Second)
	spec.LongRunning = true
	b.add("wide", spec)
	b.play(2 * time.Second)
	return b
}

// TestOnlyWaitingTasksMove: what runs stays, and what leaves starts nowhere until the
// record of the job says where.
func TestOnlyWaitingTasksMove(t *testing.T) {
	b := full(t)
	moves := b.e.MovableWork(b.now, 10)
	if len(moves) != 1 || !slices.Equal(moves[0].Tasks, []int{4, 5}) {
		t.Fatalf("got moves %+v, want one of the tasks 4 and 5", moves)
	}
	flow, recorded, ok := b.e.PrepareMove(moves[0], elsewhere)
	if !ok || recorded != 1 || flow.HomeOf(4) != elsewhere || flow.HomeOf(3) == elsewhere {
		t.Fatalf("got homes %v over revision %d, want tasks 4 and 5 elsewhere over 1", flow.Homes, recorded)
	}
	b.roomFor(2)
	if got, want := len(b.started), 4; got != want {
		t.Errorf("got %d starts while two tasks leave, want %d", got, want)
	}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 5})
	b.step(100 * time.Millisecond)
	if got, want := len(b.started), 4; got != want {
		t.Errorf("got %d starts after two tasks left, want %d", got, want)
	}
	back := *flow
	back.Homes = nil
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: &back, RecordRevision: 4})
	b.step(100 * time.Millisecond)
	if got, want := len(b.started), 4; got != want {
		t.Errorf("got %d starts after an older record came late, want %d", got, want)
	}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: &back, RecordRevision: 6})
	b.step(100 * time.Millisecond)
	if got, want := len(b.started), 6; got != want {
		t.Errorf("got %d starts after the tasks came back, want %d", got, want)
	}
}

// roomFor makes the worker larger by n of the tasks.
func (b *bench) roomFor(n int) {
	w := b.worker(0)
	w.Capacity.CPU += heatherhub.MilliCPU(n) * 2500
	b.e.UpdateWorker(w)
	b.step(100 * time.Millisecond)
}

// TestGuestRunsItsTasksOnly: a shard that is given tasks of another's job runs those,
// and neither counts the job nor tells its state.
func TestGuestRunsItsTasksOnly(t *testing.T) {
	b := newBench(t, dispatch.Policy{}, 1)
	spec := tasks(6, 2500, time.Second)
	spec.LongRunning = true
	flow := &heatherhub.Workflow{
		ID: "wide", Queue: queue, Steps: []heatherhub.Step{spec}, Accepted: b.now.Wall, Shard: elsewhere,
		Homes: map[int]heatherhub.ShardID{2: {}, 5: {}},
	}
	b.flows["wide"] = flow
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1})
	b.step(100 * time.Millisecond)
	var got []int
	for _, s := range b.started {
		got = append(got, s.Index)
	}
	if want := []int{2, 5}; !slices.Equal(got, want) {
		t.Errorf("got tasks %v started, want %v", got, want)
	}
	if _, ok := b.e.State("wide"); ok {
		t.Error("got a state of a job of another shard, want none")
	}
	b.e.Cancel(b.now, "wide")
	b.play(time.Second)
	if got := len(b.runs[b.workers[0]]); got != 0 {
		t.Errorf("got %d runs after the cancel, want none", got)
	}
	if b.e.HasChanges() {
		t.Error("got progress to write for a job of another shard, want none")
	}
}

// TestUntouchedJobMovesWhole: a job of which nothing ran leaves as a whole, and an
// older record of it that comes late does not bring it back.
func TestUntouchedJobMovesWhole(t *testing.T) {
	b := full(t)
	b.add("short", tasks(2, 1000, time.Second), tasks(1, 1000, time.Second))
	b.play(2 * time.Second)
	moves := b.e.MovableWork(b.now, 10)
	at := slices.IndexFunc(moves, func(m dispatch.Move) bool { return m.Job == "short" })
	if at < 0 || moves[at].Tasks != nil {
		t.Fatalf("got moves %+v, want one of the whole job", moves)
	}
	flow, _, ok := b.e.PrepareMove(moves[at], elsewhere)
	if !ok || flow.Shard != elsewhere {
		t.Fatalf("got shard %s, want the job elsewhere", flow.Shard)
	}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 7})
	if b.e.HasJob("short") {
		t.Error("got the job still here after its record moved")
	}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: b.flows["short"], RecordRevision: ledger.Revision(1)})
	if b.e.HasJob("short") {
		t.Error("got the job back by an older record")
	}
	back := *flow
	back.Shard = heatherhub.ShardID{}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: &back, RecordRevision: 9})
	if !b.e.HasJob("short") {
		t.Error("got no job after its record came back")
	}
}

// TestHolesAreOfAPool: work may only move to where workers of its pool have room.
func TestHolesAreOfAPool(t *testing.T) {
	b := full(t)
	b.e.WorkerUp(b.now, agent.Worker{ID: "other", Pool: "gpu", Capacity: heatherhub.Resources{CPU: 9000}}, &agent.Report{Clock: 1})
	holes := b.e.LargestFree(b.now, 4)
	if len(holes[pool]) != 1 || holes[pool][0].CPU != 0 || len(holes["gpu"]) != 1 || holes["gpu"][0].CPU != 9000 {
		t.Errorf("got holes %v, want none left in %s and 9000 in gpu", holes, pool)
	}
	if moves := b.e.MovableWork(b.now, 4); len(moves) != 1 || moves[0].Pool != pool {
		t.Errorf("got moves %+v, want one of %s", moves, pool)
	}
}
