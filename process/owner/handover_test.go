package owner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/record"
)

// submitSteadily submits a short job every 15 ms for d, so that an owner always has
// progress to write.
func (site *simSite) submitSteadily(d time.Duration) {
	site.tasks.Go(func() {
		start := time.Now()
		for i := 0; time.Since(start) < d; i++ {
			site.submit(heatherhub.JobID(fmt.Sprintf("short%d", i)), newStep(1, 30*time.Millisecond))
			time.Sleep(15 * time.Millisecond)
		}
	})
}

// workerOf returns the worker that runs a task, or nil.
func (site *simSite) workerOf(t heatherhub.StepTask) *fakeWorker {
	for _, m := range site.allWorkers() {
		if m.isRunning(t) {
			return m
		}
	}
	return nil
}

// vanish ends a worker with a task of the job "lasting" without a drain, removes its entry
// and waits until the task runs elsewhere. It returns the worker's id.
func (site *simSite) vanish() heatherhub.WorkerID {
	var gone *fakeWorker
	var lost heatherhub.StepTask
	for i := 0; gone == nil; i++ {
		lost = heatherhub.StepTask{Job: "lasting", Index: i}
		gone = site.workerOf(lost)
	}
	gone.mu.Lock()
	gone.isGone = true
	gone.mu.Unlock()
	site.store.removeKey(workerPrefix + string(gone.entry.ID))
	site.await("the start elsewhere", 9*time.Second, func() bool { return site.startCount(lost) == 2 })
	return gone.entry.ID
}

// fleetWorkers returns the workers that the stored fleet of jobShard lists.
func (site *simSite) fleetWorkers() []heatherhub.WorkerID {
	site.store.mu.Lock()
	defer site.store.mu.Unlock()
	var f record.Fleet
	if err := heatherhub.Unmarshal(site.store.items[record.FleetKey(site.jobShard)].Value, &f); err != nil {
		site.t.Error(err)
	}
	var out []heatherhub.WorkerID
	for _, w := range f.Workers {
		out = append(out, heatherhub.WorkerID(w.ID.Name()))
	}
	return out
}

// TestBusyOwnerWritesRemovalsOfWorkers guards against a removal of a worker that waits until
// no progress is left to write.
func TestBusyOwnerWritesRemovalsOfWorkers(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		site.submit("lasting", newLongRunningStep(6))
		site.submitSteadily(14 * time.Second)
		time.Sleep(2 * time.Second)
		gone := site.vanish()
		site.await("the removal in the stored fleet", time.Second, func() bool { return !slices.Contains(site.fleetWorkers(), gone) })
	})
}

// TestHandoverDoesNotWaitForGoneWorkers guards against a new owner that waits out workers which
// the former owner had found gone. Inherited work has to start within a second.
func TestHandoverDoesNotWaitForGoneWorkers(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		site.submit("lasting", newLongRunningStep(6))
		site.submitSteadily(14 * time.Second)
		time.Sleep(2 * time.Second)
		site.vanish()
		former := site.currentOwner()
		site.mu.Lock()
		stop := site.cancelHosts[former]
		site.mu.Unlock()
		stop()
		site.submit("inherited", newStep(1, time.Second))
		start := heatherhub.StepTask{Job: "inherited"}
		took := site.await("the start of inherited work", 3*time.Second, func() bool { return site.startCount(start) == 1 })
		if limit := time.Second; took > limit {
			t.Errorf("got the start %s after the planned stop, want at most %s", took, limit)
		}
	})
}
