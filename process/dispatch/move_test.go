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

// otherShard is a shard other than the one of the simulations.
var otherShard = heatherhub.ShardID{Domain: "elsewhere"}

// newFullWorker returns a simulation whose only worker is full, with a long-running job
// of which two tasks wait.
func newFullWorker(t *testing.T) *simulation {
	b := newSimulation(t, dispatch.Policy{}, 1)
	spec := tasks(6, 2500, time.Second)
	spec.LongRunning = true
	b.add("wide", spec)
	b.advance(2 * time.Second)
	return b
}

// TestOnlyWaitingTasksMove checks that running tasks are not moved, and that tasks being
// moved do not start until the job's record says which shard runs them.
func TestOnlyWaitingTasksMove(t *testing.T) {
	b := newFullWorker(t)
	moves := b.e.MovableWork(b.now)
	if len(moves) != 1 || !slices.Equal(moves[0].Tasks, []int{4, 5}) {
		t.Fatalf("got moves %+v, want one of the tasks 4 and 5", moves)
	}
	flow, revision, ok := b.e.PrepareMove(moves[0], otherShard)
	if !ok || revision != 1 || flow.ShardOf(4) != otherShard || flow.ShardOf(3) == otherShard {
		t.Fatalf("got task shards %v and revision %d, want tasks 4 and 5 in the other shard and revision 1", flow.TaskShards, revision)
	}
	b.growWorker(2)
	if got, want := len(b.started), 4; got != want {
		t.Errorf("got %d starts while two tasks are being moved, want %d", got, want)
	}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 5})
	b.step(100 * time.Millisecond)
	if got, want := len(b.started), 4; got != want {
		t.Errorf("got %d starts after two tasks moved away, want %d", got, want)
	}
	back := *flow
	back.TaskShards = nil
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: &back, RecordRevision: 4})
	b.step(100 * time.Millisecond)
	if got, want := len(b.started), 4; got != want {
		t.Errorf("got %d starts after a late older record, want %d", got, want)
	}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: &back, RecordRevision: 6})
	b.step(100 * time.Millisecond)
	if got, want := len(b.started), 6; got != want {
		t.Errorf("got %d starts after the tasks moved back, want %d", got, want)
	}
}

// growWorker adds capacity for n more tasks to the worker.
func (b *simulation) growWorker(n int) {
	w := b.worker(0)
	w.Capacity.CPU += heatherhub.MilliCPU(n) * 2500
	b.e.UpdateWorker(w)
	b.step(100 * time.Millisecond)
}

// TestShardRunsOnlyItsTasksOfAnotherShardsJob checks that a shard runs just the tasks
// that it was given of a job owned by another shard. It neither reports the job's state
// nor writes its progress.
func TestShardRunsOnlyItsTasksOfAnotherShardsJob(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	spec := tasks(6, 2500, time.Second)
	spec.LongRunning = true
	flow := &heatherhub.Workflow{
		ID: "wide", Queue: queue, Steps: []heatherhub.Step{spec}, Accepted: b.now.Wall, Shard: otherShard,
		TaskShards: map[int]heatherhub.ShardID{2: {}, 5: {}},
	}
	b.workflows["wide"] = flow
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
	b.advance(time.Second)
	if got := len(b.runs[b.workers[0]]); got != 0 {
		t.Errorf("got %d runs after the cancel, want none", got)
	}
	if b.e.HasChanges() {
		t.Error("got progress to write for a job of another shard, want none")
	}
}

// TestUnstartedJobMovesAsAWhole checks that a job without any started task moves as a
// whole, and that an older record which arrives late does not bring it back.
func TestUnstartedJobMovesAsAWhole(t *testing.T) {
	b := newFullWorker(t)
	b.add("short", tasks(2, 1000, time.Second), tasks(1, 1000, time.Second))
	b.advance(2 * time.Second)
	moves := b.e.MovableWork(b.now)
	at := slices.IndexFunc(moves, func(m dispatch.Move) bool { return m.Job == "short" })
	if at < 0 || moves[at].Tasks != nil {
		t.Fatalf("got moves %+v, want one of the whole job", moves)
	}
	flow, _, ok := b.e.PrepareMove(moves[at], otherShard)
	if !ok || flow.Shard != otherShard {
		t.Fatalf("got shard %s, want the other shard", flow.Shard)
	}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 7})
	if b.e.HasJob("short") {
		t.Error("got the job still in this shard after it moved")
	}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: b.workflows["short"], RecordRevision: ledger.Revision(1)})
	if b.e.HasJob("short") {
		t.Error("got the job back from an older record")
	}
	back := *flow
	back.Shard = heatherhub.ShardID{}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: &back, RecordRevision: 9})
	if !b.e.HasJob("short") {
		t.Error("got no job after it moved back")
	}
}

// TestBegunJobMoves guards against a job that moves although a task of it ran and failed
// after it was chosen: its stored progress would stay behind.
func TestBegunJobMoves(t *testing.T) {
	b := newFullWorker(t)
	b.ends = func(heatherhub.WorkerID, heatherhub.StepTask) agent.EndKind {
		// Without room the failed task stays queued.
		b.e.UpdateWorker(b.worker(0))
		return agent.EndFailed
	}
	b.add("short", tasks(1, 2500, time.Second))
	b.advance(2 * time.Second)
	moves := b.e.MovableWork(b.now)
	at := slices.IndexFunc(moves, func(m dispatch.Move) bool { return m.Job == "short" })
	if at < 0 {
		t.Fatalf("got moves %+v, want one of the whole job", moves)
	}
	b.growWorker(3)
	for range 20 {
		b.step(100 * time.Millisecond)
		if v, _ := b.e.Job("short"); v.FailedRuns > 0 && v.Running == 0 {
			break
		}
	}
	if v, _ := b.e.Job("short"); v.FailedRuns != 1 || v.Queued != 1 {
		t.Fatalf("got %+v, want a failed run and its task queued", v)
	}
	if _, _, ok := b.e.PrepareMove(moves[at], otherShard); ok {
		t.Error("got a move of a job that has begun, want none")
	}
}

// TestFreeCapacityIsPerPool checks that free capacity and moves name their pool, since
// work may move only to workers of its own pool.
func TestFreeCapacityIsPerPool(t *testing.T) {
	b := newFullWorker(t)
	b.e.WorkerUp(b.now, agent.Worker{ID: "other", Pool: "gpu", Capacity: heatherhub.Resources{CPU: 9000}}, &agent.Report{Clock: 1})
	free := b.e.LargestFree(b.now, 4)
	if len(free[pool]) != 1 || free[pool][0].CPU != 0 || len(free["gpu"]) != 1 || free["gpu"][0].CPU != 9000 {
		t.Errorf("got free capacity %v, want none in %s and 9000 in gpu", free, pool)
	}
	if moves := b.e.MovableWork(b.now); len(moves) != 1 || moves[0].Pool != pool {
		t.Errorf("got moves %+v, want one of %s", moves, pool)
	}
}

// TestOverfullWorkersHaveNoRoom guards against negative resources in load records, which the
// readers reject whole, so the shard counted for nothing. A worker has less than no spare
// processors once reserving work has joined its fillers, and less than no free ones once its
// capacity has shrunk.
func TestOverfullWorkersHaveNoRoom(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	filler := tasks(1, 8000, time.Minute)
	filler.Filler, filler.Image = true, "heavy"
	b.add("fill", filler)
	b.decide()
	b.add("reserving", tasks(1, 8000, time.Minute))
	b.decide()
	if len(b.started) != 2 {
		t.Fatalf("got %d starts, want 2", len(b.started))
	}
	check := func(when string) {
		for kind, byPool := range map[string]map[heatherhub.PoolID][]heatherhub.Resources{"free": b.e.LargestFree(b.now, 4), "spare": b.e.LargestSpare(b.now, 4)} {
			for _, r := range byPool[pool] {
				if err := r.Check(); err != nil {
					t.Errorf("%s: got %s resources %s, want none below zero", when, kind, r)
				}
			}
		}
		if room := b.e.FillerRoom(b.now)[pool][""]; room != 0 {
			t.Errorf("%s: got room for a filler of %d, want none", when, room)
		}
	}
	check("reserving work beside a filler")
	w := b.worker(0)
	w.Capacity.CPU = 5000
	b.e.UpdateWorker(w)
	check("a smaller worker")
}

// TestFillerRoomTellsWhatStarts checks that the processors published as room for a filler image
// are those up to which the engine starts a task of it: where a serving task comes close to
// its target, where only spare processors limit, and for an image that was learnt.
func TestFillerRoomTellsWhatStarts(t *testing.T) {
	newServing := func(t *testing.T, tail float64) *simulation {
		b := newSimulation(t, dispatch.Policy{}, 2)
		b.tail = func(string, []string) float64 { return tail }
		serving := tasks(2, 8000, time.Second)
		serving.LongRunning, serving.Image, serving.LatencyTarget, serving.MaxPerWorker = true, "weak", 18*time.Millisecond, 1
		b.add("serving", serving)
		b.decide()
		b.advance(5 * time.Second)
		return b
	}
	missed := 0
	for name, create := range map[string]func(*testing.T) *simulation{
		"near the target": func(t *testing.T) *simulation { return newServing(t, 17) },
		"between":         func(t *testing.T) *simulation { return newServing(t, 6) },
		"far from it":     func(t *testing.T) *simulation { return newServing(t, 0.5) },
		"learnt": func(t *testing.T) *simulation {
			b := newTwoImages(t, &missed)
			runFillers(b, 20)
			b.advance(5 * time.Second)
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := create(t)
			rooms := b.e.FillerRoom(b.now)[pool]
			room, isKnown := rooms["heavy"]
			if isLearnt := name == "learnt"; isKnown != isLearnt {
				t.Errorf("got the image listed: %v, want %v", isKnown, isLearnt)
			}
			if !isKnown {
				room = rooms[""]
			}
			spare := b.e.LargestSpare(b.now, 1)[pool][0].CPU
			t.Logf("room for %d of %d spare", room, spare)
			filler := tasks(1, room+room/20+1, time.Second)
			filler.Filler, filler.Image = true, "heavy"
			b.add("larger", filler)
			b.decide()
			if _, ok := b.placed[heatherhub.StepTask{Job: "larger"}]; ok {
				t.Error("got a start of a task that needs more than the room, want none")
			}
			filler.Need.CPU = room
			b.add("fitting", filler)
			b.decide()
			if _, ok := b.placed[heatherhub.StepTask{Job: "fitting"}]; !ok || room == 0 {
				t.Error("got no start of a task that needs the room")
			}
		})
	}
}

// startChain runs the first step of a job of two steps and leaves the second without a worker. Ends are
// not committed.
func startChain(t *testing.T) (*simulation, agent.Ended) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	second := tasks(1, 6000, time.Second)
	second.After = []int{0}
	b.add("chain", tasks(1, 6000, time.Second), second)
	orders := b.e.Decide(b.now)
	if len(orders) != 1 {
		t.Fatalf("got orders %v, want one start", orders)
	}
	o := orders[0]
	b.e.OrderResult(b.now, o, dispatch.Confirmed)
	w := b.worker(0)
	w.Draining = true
	b.e.UpdateWorker(w)
	return b, agent.Ended{Sequence: 1, Task: o.Task, Run: o.Run, Kind: agent.EndDone}
}

// chainMoves returns the moves of the waiting second step.
func chainMoves(b *simulation) []dispatch.Move {
	return b.e.MovableWork(dispatch.Moment{Steady: b.now.Steady + 2*time.Second, Wall: b.now.Wall})
}

// TestBegunJobMovesWithItsProgress guards against a job that moves while an end of it is not durable,
// or without the revision of the progress that its new owner has to read, and against a former
// owner that writes its progress after the move.
func TestBegunJobMovesWithItsProgress(t *testing.T) {
	b, end := startChain(t)
	worker := b.workers[0]
	if got := chainMoves(b); len(got) != 0 {
		t.Errorf("got moves %+v while a task runs, want none", got)
	}
	b.e.Report(b.now, b.now.Steady, worker, &agent.Report{Clock: 1, Ended: []agent.Ended{end}})
	changes := b.e.TakeChanges(10)
	if got := chainMoves(b); len(got) != 0 {
		t.Errorf("got moves %+v before the end is durable, want none", got)
	}
	b.e.Committed(b.now, changes, 17)
	moves := chainMoves(b)
	if len(moves) != 1 || !moves[0].HasBegun || moves[0].Tasks != nil {
		t.Fatalf("got moves %+v, want one of the begun job", moves)
	}
	flow, _, ok := b.e.PrepareMove(moves[0], otherShard)
	if !ok || !flow.HasBegun || flow.ProgressRevision != 17 || flow.Shard != otherShard {
		t.Fatalf("got record %+v (%v), want one of the other shard with progress 17", flow, ok)
	}
	b.e.Cancel(b.now, "chain")
	if got := b.e.TakeChanges(10); len(got) != 0 {
		t.Errorf("got changes %+v while the job is being moved, want none", got)
	}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 20})
	b.e.SettleMove(b.now, "chain")
	if got := b.e.TakeChanges(10); b.e.HasJob("chain") || len(got) != 0 {
		t.Errorf("got the job in this shard (%v) and changes %+v after it moved, want neither", b.e.HasJob("chain"), got)
	}

	back := *flow
	back.Shard, back.ProgressRevision = heatherhub.ShardID{}, 30
	kept, _ := startChain(t)
	if !kept.e.NeedsProgress(&back, 31) || kept.e.NeedsProgress(&back, 1) {
		t.Error("got a copy from before the move taken for the job that came back, or a need for progress that is known")
	}
	if !b.e.NeedsProgress(&back, 31) || b.e.NeedsProgress(&back, 19) {
		t.Error("got no need for the progress of a job that came back, or one for an outdated record")
	}
}

// TestFailedMoveLeavesTheJobAsItWas guards against a job that stays blocked, or loses an end that was
// reported meanwhile, after its move has failed.
func TestFailedMoveLeavesTheJobAsItWas(t *testing.T) {
	b, end := startChain(t)
	worker := b.workers[0]
	b.e.Report(b.now, b.now.Steady, worker, &agent.Report{Clock: 1, Ended: []agent.Ended{end}})
	b.e.Committed(b.now, b.e.TakeChanges(10), 17)
	moves := chainMoves(b)
	if len(moves) != 1 {
		t.Fatalf("got moves %+v, want one", moves)
	}
	if _, _, ok := b.e.PrepareMove(moves[0], otherShard); !ok {
		t.Fatal("got no move")
	}
	late := agent.Ended{Sequence: 2, Task: heatherhub.StepTask{Job: "chain", Step: 1}, Run: end.Run + 1, Kind: agent.EndDone}
	b.e.Report(b.now, b.now.Steady, worker, &agent.Report{Clock: 1, Ended: []agent.Ended{late}})
	if got := b.e.Acknowledged(worker); got != 1 {
		t.Errorf("got ends acknowledged up to %d while the job is being moved, want 1", got)
	}
	b.e.SettleMove(b.now, "chain")
	changes := b.e.TakeChanges(10)
	if len(changes) != 1 || changes[0].Progress.State != heatherhub.WorkflowCompleted {
		t.Fatalf("got changes %+v, want the completed job", changes)
	}
	b.e.Committed(b.now, changes, 18)
	if got := b.e.Acknowledged(worker); got != 2 {
		t.Errorf("got ends acknowledged up to %d, want 2", got)
	}
}

// TestArrivedWorkMovesOnButDoesNotTravel guards against work that waits for MoveAfter once more in a
// shard whose room was taken when it arrived, and against work that goes round the shards.
func TestArrivedWorkMovesOnButDoesNotTravel(t *testing.T) {
	for _, c := range []struct {
		moves              int
		age                time.Duration
		isUrgent, isMoving bool
	}{{0, 0, false, true}, {1, 0, true, true}, {3, 0, true, true}, {4, 0, false, false}, {4, 11 * time.Second, false, true}} {
		b := newFullWorker(t)
		spec := tasks(1, 2500, time.Second)
		flow := &heatherhub.Workflow{ID: "arrived", Queue: queue, Steps: []heatherhub.Step{spec}, Accepted: b.now.Wall}
		for range c.moves {
			flow.Relocations = append(flow.Relocations, heatherhub.Relocation{At: b.now.Wall.Add(-c.age)})
		}
		b.workflows[flow.ID] = flow
		b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 3})
		find := func(moves []dispatch.Move) bool {
			return slices.ContainsFunc(moves, func(m dispatch.Move) bool { return m.Job == flow.ID })
		}
		if find(b.e.UrgentWork(b.now)) {
			t.Errorf("%+v: got a move before any decision", c)
		}
		b.advance(200 * time.Millisecond)
		if got := find(b.e.UrgentWork(b.now)); got != c.isUrgent {
			t.Errorf("%+v: got urgent: %v", c, got)
		}
		b.advance(2 * time.Second)
		if got := find(b.e.MovableWork(b.now)); got != c.isMoving {
			t.Errorf("%+v: got movable: %v", c, got)
		}
	}
}

// TestWorkLeavesAShardWithoutUsableWorkersAtOnce guards against work that waits for MoveAfter where no
// worker can start it, and against moves right after a takeover, before the workers were asked.
func TestWorkLeavesAShardWithoutUsableWorkersAtOnce(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	w := b.worker(0)
	w.Draining = true
	b.e.UpdateWorker(w)
	b.e.WorkerUnresponsive(b.now, b.workers[1])
	b.add("waiting", tasks(1, 2500, time.Second))
	if got := b.e.UrgentWork(dispatch.Moment{Steady: b.now.Steady + 400*time.Millisecond}); len(got) != 0 {
		t.Errorf("got moves %+v before the workers were asked, want none", got)
	}
	b.e.MarkWorkersAsked()
	if got := b.e.UrgentWork(b.now); len(got) != 0 {
		t.Errorf("got moves %+v after a single call without an answer, want none", got)
	}
	b.now.Steady += 400 * time.Millisecond
	if got := b.e.UrgentWork(b.now); len(got) != 1 || !got[0].IsStranded {
		t.Errorf("got moves %+v without a usable worker, want one", got)
	}
	b.e.Report(b.now, b.now.Steady, b.workers[1], &agent.Report{Clock: 1})
	if got := b.e.UrgentWork(b.now); len(got) != 0 {
		t.Errorf("got moves %+v with a usable worker, want none", got)
	}
}

// TestSuspectedJobStays guards against a job that takes the crashes of its workers to other shards,
// unless nothing can start where it is.
func TestSuspectedJobStays(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 0)
	flow := &heatherhub.Workflow{ID: "suspect", Queue: queue, Steps: []heatherhub.Step{tasks(2, 6000, time.Second)}, Accepted: b.now.Wall}
	b.e.AddJob(b.now, dispatch.JobRecord{
		Workflow: flow, RecordRevision: 1, ProgressRevision: 2,
		Progress: dispatch.Progress{Crashes: []heatherhub.CrashedRun{{Run: 3, Worker: "w", Evidence: heatherhub.CrashSuspect}}},
	})
	if got := chainMoves(b); len(got) != 0 {
		t.Errorf("got moves %+v of a suspected job, want none", got)
	}
	b.e.MarkWorkersAsked()
	if got := chainMoves(b); len(got) != 1 {
		t.Errorf("got moves %+v in a shard without workers, want one", got)
	}
}

// TestBegunJobWithAGangLeavesAShardWithoutWorkers guards against a gang that waits in a shard without workers, however
// long, since its job has begun there.
func TestBegunJobWithAGangLeavesAShardWithoutWorkers(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 0)
	gang := tasks(2, 1000, time.Second)
	gang.Gang, gang.After = true, []int{0}
	flow := &heatherhub.Workflow{ID: "begun", Queue: queue, Steps: []heatherhub.Step{tasks(1, 1000, time.Second), gang}, Accepted: b.now.Wall}
	b.e.AddJob(b.now, dispatch.JobRecord{
		Workflow: flow, RecordRevision: 1, ProgressRevision: 2,
		Progress: dispatch.Progress{State: heatherhub.WorkflowRunning, Done: map[int][]byte{0: {1}}},
	})
	if got := chainMoves(b); len(got) != 0 {
		t.Errorf("got moves %+v of a gang that may find room here, want none", got)
	}
	b.e.MarkWorkersAsked()
	if got := chainMoves(b); len(got) != 1 || !got[0].HasBegun {
		t.Errorf("got moves %+v in a shard without workers, want one", got)
	}
}

// TestWorkWithoutWorkersIsNotUrgent guards against reads of all loads each 0.1 s for a job that no shard can run, which also
// put off the urgent work of others.
func TestWorkWithoutWorkersIsNotUrgent(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	b.e.MarkWorkersAsked()
	nowhere := tasks(1, 1000, time.Second)
	nowhere.RequiredLabel = "none"
	b.add("nowhere", nowhere)
	b.step(100 * time.Millisecond)
	if got := b.e.UrgentWork(b.now); len(got) > 0 {
		t.Errorf("got urgent work %+v, want none", got)
	}
	if got := b.e.MovableWork(b.now); len(got) != 1 || !got[0].LacksWorkers {
		t.Errorf("got movable work %+v, want the job in the next full round", got)
	}
}
