package owner_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
)

// drain has a worker announce that it leaves, without the time that is left.
func (site *simSite) drain(m *fakeWorker) {
	site.drainFor(m, 0)
}

// drainFor has a worker announce that it leaves after remaining at the earliest.
func (site *simSite) drainFor(m *fakeWorker, remaining time.Duration) {
	m.mu.Lock()
	m.entry.Draining, m.entry.DrainRemaining = true, remaining
	m.mu.Unlock()
	site.register(m)
}

// TestTakeoverDoesNotWaitForLeftWorkers replays an owner that dies while a worker leaves, as
// when a fleet is replaced worker by worker: work that was not on that worker starts as soon
// as after any takeover, and the task that was there, whose stop got no answer, runs once, after
// its lease.
func TestTakeoverDoesNotWaitForLeftWorkers(t *testing.T) {
	testOnSite(t, 3, func(site *simSite) {
		site.submit("lasting", newLongRunningStep(9))
		time.Sleep(time.Second)
		lost := heatherhub.StepTask{Job: "lasting"}
		leaving := site.workerOf(lost)
		site.setDelayedShare(1)
		site.drain(leaving)
		time.Sleep(time.Second)
		site.kill(site.currentOwner())
		site.setDelayedShare(0)
		if got := site.workerOf(lost); got != leaving {
			t.Error("the task does not run on the leaving worker any more")
		}
		leaving.mu.Lock()
		leaving.isGone = true
		leaving.mu.Unlock()
		site.store.removeKey(workerPrefix + string(leaving.entry.ID))
		site.submit("waiting", newStep(3, 100*time.Millisecond))
		took := site.await("the first start by the new owner", 4*time.Second, func() bool { return site.lastStartedJob() == "waiting" })
		if limit := 2200 * time.Millisecond; took > limit {
			t.Errorf("got the first start after %s, want at most %s", took, limit)
		}
		site.await("the task of the worker that left", 12*time.Second, func() bool { return site.startCount(lost) == 2 })
	})
}
