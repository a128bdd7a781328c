package placement_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/process/placement"
)

// runFailing adds one job per round and ends every started task, as failed if fails says
// so. It returns the parked jobs.
func runFailing(b *harness, rounds int, fails func(placement.Action) bool) (parked map[heatherhub.JobID]bool) {
	parked = make(map[heatherhub.JobID]bool)
	for i := range rounds {
		b.add(batchTask(fmt.Sprint("good", i), 0, size(3000, 1000, 0)))
		b.step(5 * time.Second)
		for _, a := range b.actions {
			switch {
			case a.Kind == placement.ActionPark:
				parked[a.Task.Job] = true
			case a.Kind == placement.ActionStart && fails(a):
				b.end(a.Task.ID, placement.EndFailed)
				b.Enqueue(b.now, a.Task)
			case a.Kind == placement.ActionStart:
				b.end(a.Task.ID, placement.EndFinished)
			}
		}
	}
	return parked
}

func fourWorkers(disabled ...placement.Mechanism) *harness {
	b := newHarness(disabled...)
	for i := range 4 {
		b.put(fmt.Sprint("w", i), fmt.Sprint("r", i), 4000, 0)
	}
	return b
}

func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	run := func(disabled ...placement.Mechanism) (failures int, b *harness) {
		b = fourWorkers(disabled...)
		parked := runFailing(b, 60, func(a placement.Action) bool {
			if a.Worker == "w0" {
				failures++
			}
			return a.Worker == "w0"
		})
		if len(parked) > 0 {
			t.Errorf("parked jobs: got %v, want none, since only the worker is faulty", parked)
		}
		return failures, b
	}
	with, b := run()
	without, _ := run(placement.MechanismQuarantine)
	if with >= without {
		t.Errorf("failures: got %d, want fewer than the %d without quarantine", with, without)
	}
	if !b.Quarantined("w0") || b.Quarantined("w1") {
		t.Errorf("quarantined: got w0 %t and w1 %t, want w0 alone", b.Quarantined("w0"), b.Quarantined("w1"))
	}
}

func TestRepairedWorkerLeavesQuarantine(t *testing.T) {
	b := fourWorkers()
	runFailing(b, 30, func(a placement.Action) bool { return a.Worker == "w0" })
	repaired := b.now
	probes := 0
	for b.now.Before(repaired.Add(20 * time.Minute)) {
		runFailing(b, 1, func(a placement.Action) bool {
			if a.Worker == "w0" {
				probes++
			}
			return false
		})
	}
	if probes == 0 || b.Quarantined("w0") {
		t.Errorf("repaired worker: got %d starts and quarantined %t, want starts and false", probes, b.Quarantined("w0"))
	}
}

// TestRestartedWorkerLeavesQuarantine guards against a worker that stays in quarantine for the
// failures of a former incarnation.
func TestRestartedWorkerLeavesQuarantine(t *testing.T) {
	for next, want := range map[heatherhub.Incarnation]bool{17: true, 18: false, 16: false} {
		b := fourWorkers()
		w := host("w0", "r0", 4000, 64_000, 0)
		w.Incarnation = 17
		b.PutWorker(b.now, w)
		runFailing(b, 30, func(a placement.Action) bool { return a.Worker == "w0" })
		w.Incarnation, w.State = next, hostlist.StateLeaving
		b.PutWorker(b.now, w)
		w.State = hostlist.StateLive
		b.PutWorker(b.now, w)
		if got := b.Quarantined("w0"); got != want {
			t.Errorf("incarnation %d after 17: got quarantined %t, want %t", next, got, want)
		}
	}
}

func TestJobThatFailsEverywhereIsParked(t *testing.T) {
	b := fourWorkers()
	b.add(batchTask("bad", 0, size(3000, 1000, 0)))
	parked := runFailing(b, 40, func(a placement.Action) bool { return a.Task.Job == "bad" })
	if !parked["bad"] || len(parked) != 1 {
		t.Errorf("parked jobs: got %v, want bad alone", parked)
	}
	for i := range 4 {
		if id := heatherhub.WorkerID(fmt.Sprint("w", i)); b.Quarantined(id) {
			t.Errorf("worker %s: got quarantined, want not, since only the job is faulty", id)
		}
	}
}

func TestLargeBacklogDoesNotDelayUrgentTask(t *testing.T) {
	b := newHarness()
	b.SetSnapshot(b.now, snapshot(func(*heatherhub.Preset) {}))
	for i := range 10 {
		b.put(fmt.Sprint("w", i), fmt.Sprint("r", i), 4000, 0)
	}
	const wave = 10_000
	for i := range wave {
		b.add(batchTask("wave", i, size(1000, 1000, 0)))
	}
	b.step(0)
	cancelled := 0
	for i := range wave {
		if b.Dequeue(b.now, heatherhub.JobTaskID("wave", i)) {
			cancelled++
		}
	}
	if got, want := cancelled, wave-40; got != want {
		t.Fatalf("cancelled: got %d, want %d", got, want)
	}
	for i := range wave {
		b.add(batchTask("second", i, size(1000, 1000, 0)))
	}
	urgent := batchTask("urgent", 0, size(1000, 1000, 0))
	urgent.Priority = heatherhub.PriorityUrgent
	id := b.add(urgent)
	begin := b.now
	for b.now.Sub(begin) < heatherhub.UrgentStartTarget {
		b.step(100 * time.Millisecond)
		for _, a := range b.actions {
			if a.Kind == placement.ActionEvict {
				b.end(a.Task.ID, placement.EndEvicted)
			}
		}
		if _, ok := b.running[id]; ok {
			return
		}
	}
	t.Errorf("urgent task: got no start within %s, want one", heatherhub.UrgentStartTarget)
}

func TestIdleQuotaIsLentAndReturned(t *testing.T) {
	b := newHarness()
	b.SetSnapshot(b.now, snapshot(func(*heatherhub.Preset) {}))
	for i := range 4 {
		b.put(fmt.Sprint("w", i), fmt.Sprint("r", i), 4000, 0)
	}
	for i := range 64 {
		b.add(batchTask("tools", i, size(1000, 1000, 0)))
	}
	if got, want := b.step(0)[placement.ActionStart], 16; got != want {
		t.Fatalf("starts of the only active team: got %d, want %d, with the quota of the other", got, want)
	}
	for i := range 16 {
		task := batchTask("media", i, size(1000, 1000, 0))
		task.Team = "media"
		b.add(task)
	}
	for i := range 16 {
		b.end(heatherhub.JobTaskID("tools", i), placement.EndFinished)
		b.step(time.Second)
	}
	media := 0
	for _, a := range b.running {
		if a.Task.Team == "media" {
			media++
		}
	}
	if want := 8; media != want {
		t.Errorf("running tasks of the team that reclaims its quota: got %d, want %d", media, want)
	}
}
