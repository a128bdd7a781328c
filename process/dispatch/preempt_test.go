package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

// newPreemptionFleet returns workers of 10 cores, an urgent queue of priority 0 and a batch queue
// of priority 2, where stops take stopTime.
func newPreemptionFleet(t *testing.T, workers int, stopTime time.Duration) *simulation {
	b := newSimulation(t, dispatch.Policy{}, 0)
	cfg := dispatch.Config{Token: 1}
	cfg.StopTime, cfg.CheckpointInterval, cfg.RestoreTime = stopTime, 500*time.Millisecond, 600*time.Millisecond
	b.e = dispatch.New(cfg)
	b.stopTime, b.restoreTime = stopTime, cfg.RestoreTime
	b.e.SetPolicies(map[heatherhub.QueueID]dispatch.Policy{
		"urgent": {Pool: pool, Stretch: 1.5, Target: 250 * time.Millisecond},
		"batch":  {Pool: pool, Priority: 2, Stretch: 2, Target: 20 * time.Second},
		"tight":  {Pool: pool, Priority: 2, Stretch: 1, Target: 500 * time.Millisecond},
	})
	for i := range workers {
		b.workers = append(b.workers, heatherhub.WorkerID(fmt.Sprintf("w%02d", i)))
		b.e.WorkerUp(b.now, b.worker(i), &agent.Report{Clock: 1})
	}
	return b
}

func (b *simulation) submit(id heatherhub.JobID, q heatherhub.QueueID, steps ...heatherhub.Step) {
	flow := &heatherhub.Workflow{ID: id, Queue: q, Steps: steps, Accepted: b.now.Wall}
	b.workflows[id] = flow
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1})
}

// advanceBy advances the clock by d in steps of tick.
func (b *simulation) advanceBy(d, tick time.Duration) {
	for range d / tick {
		b.step(tick)
	}
}

func batchTasks(n int, cpu heatherhub.MilliCPU, d time.Duration) heatherhub.Step {
	s := tasks(n, cpu, d)
	s.Checkpoints = true
	return s
}

// TestPreemption guards against runs that are stopped although that helps no urgent job, costs a
// job its value or is not allowed, and against urgent jobs that wait behind batch work.
func TestPreemption(t *testing.T) {
	const short, long = 200 * time.Millisecond, 900 * time.Millisecond
	runs, one := batchTasks(5, 2000, 10*time.Second), tasks(1, 2000, 640*time.Millisecond)
	for _, c := range []struct {
		name     string
		stopTime time.Duration
		queue    heatherhub.QueueID
		batch    heatherhub.Step
		change   func(*heatherhub.Step)
		urgent   heatherhub.Step
		want     int
	}{
		{"one run is enough", short, "batch", runs, nil, one, 1},
		{"one large run has room for two", short, "batch", batchTasks(2, 5000, 10*time.Second), nil, tasks(2, 2000, 640*time.Millisecond), 1},
		{"two runs for one large task", short, "batch", runs, nil, tasks(1, 4000, 640*time.Millisecond), 2},
		{"the step does not fit as a whole", short, "batch", runs, nil, tasks(6, 2000, 640*time.Millisecond), 0},
		{"the stop takes too long", long, "batch", runs, nil, one, 0},
		{"the runs end in time by themselves", short, "batch", batchTasks(5, 2000, 1300*time.Millisecond), nil, one, 0},
		{"the batch job would be late", short, "tight", runs, nil, one, 0},
		{"no checkpoints", short, "batch", runs, func(s *heatherhub.Step) { s.Checkpoints = false }, one, 0},
		{"long-running", short, "batch", runs, func(s *heatherhub.Step) { s.LongRunning = true }, one, 0},
		{"gang", short, "batch", runs, func(s *heatherhub.Step) { s.Gang = true }, one, 0},
		{"limit of unavailable tasks", short, "batch", runs, func(s *heatherhub.Step) { s.MaxUnavailable = 1 }, one, 0},
		{"the same priority", short, "urgent", runs, nil, one, 0},
		{"fillers where memory is short", short, "batch", runs, func(s *heatherhub.Step) {
			s.Filler, s.Image, s.Need.Memory = true, "filler", 2000
		}, one, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newPreemptionFleet(t, 1, c.stopTime)
			if c.change != nil {
				c.change(&c.batch)
			}
			b.submit("batch", c.queue, c.batch)
			b.decide()
			b.advanceBy(time.Second, 50*time.Millisecond)
			b.submit("urgent", "urgent", c.urgent)
			b.advanceBy(1200*time.Millisecond, 50*time.Millisecond)
			if got := b.e.Stats.Preempted; got != c.want {
				t.Errorf("got %d runs stopped, want %d", got, c.want)
			}
			if _, ok := b.doneAt["urgent"]; c.want > 0 && !ok {
				t.Error("got the urgent job not done, want it done in time")
			}
		})
	}
}

// TestPreemptedRunLosesLittle guards against a stop of the run that would repeat the most work, and
// against a second stop of the same task within 10 s.
func TestPreemptedRunLosesLittle(t *testing.T) {
	b := newPreemptionFleet(t, 1, 200*time.Millisecond)
	b.submit("a", "batch", batchTasks(1, 5000, 10*time.Second))
	b.decide()
	b.advanceBy(400*time.Millisecond, 50*time.Millisecond)
	b.submit("b", "batch", batchTasks(1, 5000, 10*time.Second))
	b.decide()
	b.advanceBy(700*time.Millisecond, 50*time.Millisecond)
	// a has saved its work 0.1 s ago, b has saved nothing of 0.7 s.
	b.submit("first", "urgent", tasks(1, 5000, 640*time.Millisecond))
	b.decide()
	isStopped := func(e dispatch.EventRecord) bool { return e.Event == dispatch.EventRunPreempted && e.Job == "a" }
	if !slices.ContainsFunc(b.e.TakeEvents(), isStopped) || b.e.Stats.Preempted != 1 {
		t.Errorf("got %d runs stopped, want that of a alone", b.e.Stats.Preempted)
	}
	for i := range 5 {
		b.advanceBy(1500*time.Millisecond, 50*time.Millisecond)
		b.submit(heatherhub.JobID(fmt.Sprintf("next%d", i)), "urgent", tasks(1, 5000, 640*time.Millisecond))
		b.decide()
	}
	b.advanceBy(time.Second, 50*time.Millisecond)
	if got, want := b.e.Stats.Preempted, 2; got != want {
		t.Errorf("got %d stops of two tasks within 10 s, want %d", got, want)
	}
}

// TestReservedRoomIsGivenBack guards against room that stays reserved after the urgent job was
// cancelled while a run stopped for it.
func TestReservedRoomIsGivenBack(t *testing.T) {
	b := newPreemptionFleet(t, 1, 200*time.Millisecond)
	b.submit("batch", "batch", batchTasks(5, 2000, 10*time.Second))
	b.decide()
	b.advanceBy(time.Second, 50*time.Millisecond)
	b.submit("urgent", "urgent", tasks(2, 2000, 640*time.Millisecond))
	b.decide()
	b.e.Cancel(b.now, "urgent")
	b.advanceBy(time.Second, 50*time.Millisecond)
	if got, want := len(b.runs["w00"]), 5; got != want {
		t.Errorf("got %d runs a second after the cancel, want the %d of the batch job", got, want)
	}
}

// TestPreemptionUnderUrgentBursts replays bursts of urgent jobs on a fleet that is full of batch
// work with checkpoints. It guards against urgent jobs that are late, batch jobs that do not get
// their work done, and workers that hold more than they have.
func TestPreemptionUnderUrgentBursts(t *testing.T) {
	const workers, tick = 12, 50 * time.Millisecond
	replay := func(stopTime time.Duration) (inTime float64, stats dispatch.Stats) {
		b := newPreemptionFleet(t, workers, stopTime)
		rnd := rand.New(rand.NewPCG(7, 1))
		accepted := make(map[heatherhub.JobID]time.Duration)
		for step := range 600 {
			if st := b.e.Stats; step%10 == 0 && st.Starts-st.Done-st.Stopped < 100 {
				b.submit(heatherhub.JobID(fmt.Sprintf("b%03d", step)), "batch", batchTasks(30, 2000, 6*time.Second))
			}
			if step%40 == 39 {
				for i := range 1 + rnd.IntN(4) {
					id := heatherhub.JobID(fmt.Sprintf("u%03d-%d", step, i))
					b.submit(id, "urgent", tasks(6, 2000, 640*time.Millisecond))
					accepted[id] = b.now.Steady
				}
			}
			b.step(tick)
			for _, w := range b.workers {
				used := heatherhub.MilliCPU(0)
				for _, r := range b.runs[w] {
					used += b.spec(r).Need.CPU
				}
				if used > 10_000 {
					t.Fatalf("step %d: worker %s runs %d of 10000", step, w, used)
				}
			}
		}
		b.advanceBy(3*time.Second, tick)
		for id, at := range accepted {
			if done, ok := b.doneAt[id]; ok && done-at <= 640*time.Millisecond*3/2+250*time.Millisecond {
				inTime++
			}
		}
		return inTime / float64(len(accepted)), b.e.Stats
	}
	without, before := replay(10 * time.Second)
	with, stats := replay(200 * time.Millisecond)
	t.Logf("in time without preemption %.2f, with %.2f; tasks done %d; stats %+v", without, with, before.Done, stats)
	if want := 0.9; with < want {
		t.Errorf("got %.2f of the urgent jobs in time, want at least %.2f (without preemption %.2f)", with, want, without)
	}
}

// TestReservationEndsWithItsWorker guards against an urgent task that waits for room on a worker which
// gets no more starts, while runs elsewhere could be stopped for it in time.
func TestReservationEndsWithItsWorker(t *testing.T) {
	for name, withdraw := range map[string]func(*simulation){
		"evacuated": func(b *simulation) { b.evacuate(evacuatedDomain) },
		"draining": func(b *simulation) {
			w := b.worker(0)
			w.Draining = true
			b.e.UpdateWorker(w)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newPreemptionFleet(t, 2, 200*time.Millisecond)
			b.setDomain(evacuatedDomain, 0)
			b.submit("batch", "batch", batchTasks(10, 2000, 10*time.Second))
			b.decide()
			b.advanceBy(time.Second, 50*time.Millisecond)
			b.submit("urgent", "urgent", tasks(1, 2000, 2*time.Second))
			b.decide()
			withdraw(b)
			b.advanceBy(1200*time.Millisecond, 50*time.Millisecond)
			if got, want := b.placed[heatherhub.StepTask{Job: "urgent"}], b.workers[1]; got != want {
				t.Errorf("got the urgent task started at %q, want %q (%+v)", got, want, b.e.Stats)
			}
		})
	}
}

// TestPreemptionLeavesRoomThatOthersAwait guards against a stop of a run whose end a step before in the
// order counts on, so that this step starts late.
func TestPreemptionLeavesRoomThatOthersAwait(t *testing.T) {
	b := newPreemptionFleet(t, 1, 200*time.Millisecond)
	serving := tasks(1, 5000, time.Hour)
	serving.LongRunning = true
	b.submit("serving", "batch", serving)
	b.submit("ending", "batch", batchTasks(1, 5000, 1800*time.Millisecond))
	b.decide()
	b.advanceBy(time.Second, 50*time.Millisecond)
	b.submit("first", "urgent", tasks(1, 5000, 2*time.Second))
	b.submit("second", "urgent", tasks(1, 5000, 2200*time.Millisecond))
	accepted := b.now.Steady
	b.decide()
	b.advanceBy(3500*time.Millisecond, 50*time.Millisecond)
	if got, want := b.doneAt["first"]-accepted, 3250*time.Millisecond; got <= 0 || got > want {
		t.Errorf("got the first job done after %s, want it by %s (%+v)", got, want, b.e.Stats)
	}
}

// TestJobWithReservedRoomStays guards against runs that are stopped for an urgent job in one shard after
// the other: it has arrived by a move, finds no room and would move on before the stop has ended.
func TestJobWithReservedRoomStays(t *testing.T) {
	b := newPreemptionFleet(t, 1, 200*time.Millisecond)
	b.setDomain(evacuatedDomain, 0)
	b.e.MarkWorkersAsked()
	b.submit("batch", "batch", batchTasks(5, 2000, 10*time.Second))
	b.decide()
	b.advanceBy(time.Second, 50*time.Millisecond)
	flow := &heatherhub.Workflow{ID: "urgent", Queue: "urgent", Steps: []heatherhub.Step{tasks(1, 2000, 2*time.Second)}, Accepted: b.now.Wall}
	flow.Relocations = []heatherhub.Relocation{{At: b.now.Wall}}
	b.workflows["urgent"] = flow
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1})
	b.decide()
	b.advanceBy(150*time.Millisecond, 50*time.Millisecond)
	if got := b.e.UrgentWork(b.now); b.e.Stats.Preempted != 1 || len(got) != 0 {
		t.Errorf("got moves %+v while a run is stopped for the job (%d stops), want none", got, b.e.Stats.Preempted)
	}
	b.evacuate(evacuatedDomain)
	b.decide()
	if got := b.e.UrgentWork(b.now); len(got) == 0 || got[0].Job != "urgent" {
		t.Errorf("got moves %+v without a usable worker, want one of the job", got)
	}
}
