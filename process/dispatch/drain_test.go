package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

// drain has worker i announce that it leaves after left.
func (b *simulation) drain(i int, left time.Duration) {
	w := b.worker(i)
	w.Draining = true
	b.e.UpdateWorker(w)
	b.e.WorkerDrains(w.ID, b.now.Steady+left)
}

// addWorkerWithRoom adds a worker with room for cpu.
func (b *simulation) addWorkerWithRoom(cpu heatherhub.MilliCPU) {
	b.workers = append(b.workers, heatherhub.WorkerID(fmt.Sprintf("w%02d", len(b.workers))))
	w := b.worker(len(b.workers) - 1)
	w.Capacity.CPU = max(cpu, 1)
	b.e.WorkerUp(b.now, w, &agent.Report{Clock: 1})
}

// TestRunsThatOutlastADrainMoveBeforeIt guards against runs that end unreported with a worker
// that leaves in a planned way, and against stops of runs that end in time.
func TestRunsThatOutlastADrainMoveBeforeIt(t *testing.T) {
	long := tasks(1, 8000, time.Hour)
	long.LongRunning = true
	for name, c := range map[string]struct {
		step heatherhub.Step
		// room is the capacity of the other worker that is left.
		room heatherhub.MilliCPU
		// left is the time of the notice; zero for 3 s.
		left time.Duration
		// stopsAfter is the time from the notice to the stop; negative for no stop.
		stopsAfter time.Duration
	}{
		"long-running, room elsewhere": {step: long, room: 8000, stopsAfter: 0},
		"long-running, no room":        {step: long, stopsAfter: 1800 * time.Millisecond},
		"long-running, long notice":    {step: long, left: 9 * time.Second, room: 8000, stopsAfter: 5800 * time.Millisecond},
		"batch, too long":              {step: tasks(1, 8000, 5*time.Second), room: 8000, stopsAfter: 0},
		"batch, ends in time":          {step: tasks(1, 8000, 2500*time.Millisecond), room: 8000, stopsAfter: -1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newSimulation(t, dispatch.Policy{}, 1)
			b.add("moves", c.step)
			b.advance(100 * time.Millisecond)
			b.addWorkerWithRoom(c.room)
			heatherhub.SetDefault(&c.left, 3*time.Second)
			b.drain(0, c.left)
			stoppedAfter := time.Duration(-1)
			b.outcome = func(o dispatch.Order) dispatch.Outcome {
				if o.Kind == dispatch.StopTask && stoppedAfter < 0 {
					stoppedAfter = b.now.Steady
				}
				return dispatch.Confirmed
			}
			start := b.now.Steady
			b.advance(c.left - 100*time.Millisecond)
			if stoppedAfter >= 0 {
				stoppedAfter -= start
			}
			if diff := stoppedAfter - c.stopsAfter; diff < 0 || diff > 150*time.Millisecond {
				t.Errorf("got a stop %s after the notice, want %s", stoppedAfter, c.stopsAfter)
			}
			if got := b.e.OpenRuns(b.workers[0]); got != 0 {
				t.Errorf("got %d open runs when the worker leaves, want none", got)
			}
		})
	}
}

// TestVacatedTasksShareTheRoomElsewhere guards against stops of more tasks than have room
// elsewhere, and against other work that takes the room before the task of a stopped run starts.
func TestVacatedTasksShareTheRoomElsewhere(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	long := tasks(2, 4000, time.Hour)
	long.LongRunning = true
	b.add("long", long)
	b.step(100 * time.Millisecond)
	b.drain(0, 3*time.Second)
	b.addWorkerWithRoom(4000)
	stops := 0
	b.outcome = func(o dispatch.Order) dispatch.Outcome {
		if o.Kind == dispatch.StopTask {
			stops++
		}
		return dispatch.Confirmed
	}
	b.decide()
	b.add("short", tasks(4, 4000, time.Second))
	b.advance(500 * time.Millisecond)
	if stops > 1 {
		t.Errorf("got %d stops with room for one task elsewhere, want at most 1", stops)
	}
	if got, want := len(b.started), 3; got != want {
		t.Fatalf("got %d starts, want %d", got, want)
	}
	if got, want := b.started[2].Job, heatherhub.JobID("long"); got != want {
		t.Errorf("got a start of job %s in the reserved room, want one of job %s", got, want)
	}
}

// TestMovedTaskStartsOnceAfterItsNewWorkerIsGone guards against a start that waits while the owner
// may not act, and is sent to a worker that counts as gone by then.
func TestMovedTaskStartsOnceAfterItsNewWorkerIsGone(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	long := tasks(1, 4000, time.Hour)
	long.LongRunning = true
	b.add("long", long)
	b.step(100 * time.Millisecond)
	id := heatherhub.StepTask{Job: "long"}
	from := b.placed[id]
	b.drain(0, 3*time.Second)
	b.addWorkerWithRoom(4000)
	to := b.workers[1]
	for _, o := range b.e.Decide(b.now) {
		b.e.OrderResult(b.now, o, dispatch.Confirmed)
	}
	b.now.Steady += 500 * time.Millisecond
	end := agent.Ended{Sequence: 1, Task: id, Run: b.runs[from][0].order.Run, Kind: agent.EndStopped}
	b.e.Report(b.now, b.now.Steady, from, &agent.Report{Clock: 1, Ended: []agent.Ended{end}})
	b.now.Steady += 10 * time.Second
	b.e.WorkerGone(b.now, to, false)
	b.addWorkerWithRoom(4000)
	starts := map[heatherhub.WorkerID]int{}
	for _, o := range b.e.Decide(b.now) {
		if o.Kind == dispatch.StartTask && o.Task == id {
			starts[o.Worker]++
		}
	}
	if len(starts) > 1 || starts[to] > 0 {
		t.Errorf("got starts at %v, want one, and none at %s", starts, to)
	}
}

// TestMovedTaskStaysAwayFromADrainingWorker guards against a start on a worker that began to drain
// after room was reserved there.
func TestMovedTaskStaysAwayFromADrainingWorker(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	long := tasks(1, 4000, time.Hour)
	long.LongRunning = true
	b.add("long", long)
	b.step(100 * time.Millisecond)
	id := heatherhub.StepTask{Job: "long"}
	from := b.placed[id]
	b.drain(0, 3*time.Second)
	b.addWorkerWithRoom(4000)
	to := b.workers[1]
	for _, o := range b.e.Decide(b.now) {
		b.e.OrderResult(b.now, o, dispatch.Confirmed)
	}
	b.now.Steady += 500 * time.Millisecond
	end := agent.Ended{Sequence: 1, Task: id, Run: b.runs[from][0].order.Run, Kind: agent.EndStopped}
	b.e.Report(b.now, b.now.Steady, from, &agent.Report{Clock: 1, Ended: []agent.Ended{end}})
	b.now.Steady += 3 * time.Second
	b.drain(1, 5*time.Second)
	for _, o := range b.e.Decide(b.now) {
		if o.Kind == dispatch.StartTask && o.Worker == to {
			t.Errorf("got a start at %s, which drains, want none there", to)
		}
	}
}
