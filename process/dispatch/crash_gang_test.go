package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
)

// gangWorld is a crashWorld with a gang, and small jobs that start a task on each worker every 0.3 s.
type gangWorld struct {
	*crashWorld
	small, startsSeen int
	// submitted is when each small job was submitted, and longestWait the longest time that a task of one has waited.
	submitted   map[heatherhub.JobID]time.Duration
	longestWait time.Duration
}

const (
	gangSize     = 4
	gangWorkers  = 8
	smallEvery   = 300 * time.Millisecond
	smallRunTime = 900 * time.Millisecond
)

// newGangWorld returns a world in which the worker of a member has crashed 0.3 s after the start of the gang, and the
// other members have ended since. Then play goes on.
func newGangWorld(t *testing.T, suspects int) *gangWorld {
	t.Helper()
	w := &gangWorld{crashWorld: newCrashWorld(t, gangWorkers), submitted: make(map[heatherhub.JobID]time.Duration)}
	w.play(3 * time.Second)
	gang := tasks(gangSize, 6000, 6*time.Second)
	gang.Gang = true
	w.add("gang", gang)
	w.play(300 * time.Millisecond)
	if got := w.gangRuns(); got != gangSize {
		t.Fatalf("got %d runs of the gang before the crash, want %d", got, gangSize)
	}
	for _, id := range slices.Clone(w.workers) {
		if suspects > 0 && w.runsGang(id) {
			suspects--
			w.crash(id)
		}
	}
	w.breakGang()
	return w
}

// breakGang ends the members of the gang that still run.
func (w *gangWorld) breakGang() {
	for _, id := range w.workers {
		for _, r := range slices.Clone(w.runs[id]) {
			if r.order.Task.Job != "gang" {
				continue
			}
			w.runs[id] = slices.DeleteFunc(w.runs[id], func(o *run) bool { return o == r })
			w.ended[id]++
			report := w.report(id, 0)
			report.Ended = append(report.Ended, agent.Ended{Sequence: w.ended[id], Task: r.order.Task, Run: r.order.Run, Kind: agent.EndGangBroken})
			w.e.Report(w.now, w.now.Steady, id, &report)
		}
	}
}

func (w *gangWorld) runsGang(id heatherhub.WorkerID) bool {
	return slices.ContainsFunc(w.runs[id], func(r *run) bool { return r.order.Task.Job == "gang" })
}

func (w *gangWorld) gangRuns() int {
	n := 0
	for _, id := range w.workers {
		if w.runsGang(id) {
			n++
		}
	}
	return n
}

// play plays small jobs beside the gang.
func (w *gangWorld) play(d time.Duration) {
	const tick = 20 * time.Millisecond
	for end := w.now.Steady + d; w.now.Steady < end; {
		if w.now.Steady >= time.Second+time.Duration(w.small)*smallEvery {
			id := heatherhub.JobID(fmt.Sprintf("small%03d", w.small))
			small := tasks(gangWorkers, 500, smallRunTime)
			small.MaxPerWorker = 1
			w.add(id, small)
			w.submitted[id] = w.now.Steady
			w.small++
		}
		w.crashWorld.play(tick)
		for _, s := range w.started[w.startsSeen:] {
			if at, ok := w.submitted[s.Job]; ok {
				w.longestWait = max(w.longestWait, w.now.Steady-at)
			}
		}
		w.startsSeen = len(w.started)
	}
}

// TestGangStartsAgainBesideSmallWork guards against a gang that waits for as long as small jobs come, since the worker of
// a member, or those of two or all, have crashed once.
func TestGangStartsAgainBesideSmallWork(t *testing.T) {
	for _, suspects := range []int{1, 2, gangSize} {
		t.Run(fmt.Sprintf("%d crashes", suspects), func(t *testing.T) {
			w := newGangWorld(t, suspects)
			awaitsProof := func(id heatherhub.WorkerID) bool { return w.e.AwaitsProof(w.now.Steady, id) }
			began, awaited := w.now.Steady, false
			for w.gangRuns() < gangSize && w.now.Steady-began < 20*time.Second {
				w.play(20 * time.Millisecond)
				awaited = awaited || slices.ContainsFunc(w.workers, awaitsProof)
			}
			if !awaited {
				t.Error("got no worker whose next report is urgent, want one")
			}
			// A job may not wait for three seconds while there is room for it.
			if got := w.now.Steady - began; got > 3*time.Second {
				t.Errorf("got a start of the gang %v after the crash, want one within 3s", got)
			}
			w.play(10 * time.Second)
			w.checkState("gang", heatherhub.WorkflowCompleted)
		})
	}
}

// TestGangThatDoesNotStartHoldsBackLittle guards against small work that waits for longer than a second for a gang that
// then does not start: since it lacks room, or since the runs on its workers are never proven.
func TestGangThatDoesNotStartHoldsBackLittle(t *testing.T) {
	const limit = time.Second + 50*time.Millisecond
	t.Run("no room", func(t *testing.T) {
		w := newGangWorld(t, 1)
		w.add("large", tasks(gangWorkers-gangSize+1, 5000, time.Minute))
		// Until then the small tasks that were lost in the crash start isolated.
		w.play(4 * time.Second)
		w.longestWait = 0
		w.play(20 * time.Second)
		if got := w.gangRuns(); got > 0 {
			t.Fatalf("got %d runs of the gang, want none for want of room", got)
		}
		if w.longestWait > limit {
			t.Errorf("got small work that waits for %v, want at most %v", w.longestWait, limit)
		}
	})
	t.Run("no proof", func(t *testing.T) {
		w := newGangWorld(t, 1)
		// The workers carry orders out and report nothing.
		w.workers = nil
		w.longestWait = 0
		w.play(5 * time.Second)
		if w.startsOf(heatherhub.StepTask{Job: "gang"}) > 1 {
			t.Fatal("got a start of the gang, want none without a proof")
		}
		if w.longestWait == 0 || w.longestWait > limit {
			t.Errorf("got small work that waits for %v, want at most %v", w.longestWait, limit)
		}
	})
}

// TestDeadlyGangBesideSmallWorkIsContained guards against a gang that takes the workers of its members down again and
// again beside small work, and against small jobs that are failed for it.
func TestDeadlyGangBesideSmallWorkIsContained(t *testing.T) {
	for _, age := range []time.Duration{0, 120 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(age.String(), func(t *testing.T) {
			w := newGangWorld(t, 0)
			w.deadlyAge = age
			task := heatherhub.StepTask{Job: "gang"}
			w.deadly[task] = true
			before := w.startsOf(task)
			for range 40 * 50 {
				crashes := w.crashed
				w.play(20 * time.Millisecond)
				if w.crashed > crashes {
					w.breakGang()
				}
			}
			w.checkState("gang", heatherhub.WorkflowFailed)
			if got := w.startsOf(task) - before; got > maxDeadlyStarts {
				t.Errorf("got %d starts of the deadly member, want at most %d", got, maxDeadlyStarts)
			}
			for id := range w.submitted {
				if state, _ := w.e.State(id); state == heatherhub.WorkflowFailed {
					t.Errorf("job %s is failed, want it done", id)
				}
			}
			t.Logf("%d starts, %d crashes", w.startsOf(task)-before, w.crashed)
		})
	}
}
