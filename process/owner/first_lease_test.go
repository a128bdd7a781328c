package owner_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
)

// TestLeaseOfLatePollIsWaitedFor guards against a second run of a task on a worker that is cut off: a poll
// of the previous owner to a former life has given it the longest lease, which the owner does not know of,
// as the former life had left the fleet before.
func TestLeaseOfLatePollIsWaitedFor(t *testing.T) {
	testLeaseOfLatePoll(t, 0)
}

// TestLeaseOfLatePollIsWaitedForIfClocksAreSetBack guards against the same on a worker whose time of day was
// set back before it started again, so that it seems to have started long ago.
func TestLeaseOfLatePollIsWaitedForIfClocksAreSetBack(t *testing.T) {
	testLeaseOfLatePoll(t, time.Minute)
}

// testLeaseOfLatePoll has the time of day of the worker set back by setBack.
func testLeaseOfLatePoll(t *testing.T, setBack time.Duration) {
	testOnSite(t, 2, func(site *simSite) {
		time.Sleep(15 * time.Second)
		site.delaysCallsInNetwork.Store(true)
		w := site.livingWorkers()[0]
		// One poll of each worker is carried out late.
		site.pollDelay.Store(int64(8500 * time.Millisecond))
		time.Sleep(1200 * time.Millisecond)
		site.pollDelay.Store(0)
		w.leave(false)
		site.store.removeKey(workerPrefix + string(w.entry.ID))
		time.Sleep(7 * time.Second)
		next := site.startUnregistered(w, func(m *fakeWorker) { m.incarnation -= heatherhub.Incarnation(setBack.Milliseconds()) })
		time.Sleep(400 * time.Millisecond)
		site.kill(site.currentOwner())
		site.register(next)
		site.submit("long", newStep(28, 15*time.Second))
		site.await("a start on the next incarnation", 10*time.Second, func() bool {
			next.mu.Lock()
			defer next.mu.Unlock()
			return len(next.running) > 0
		})
		time.Sleep(1100 * time.Millisecond)
		next.addCutOffs(1)
		site.addWorker("spare", next.entry.Domain)
		time.Sleep(20 * time.Second)
	})
}
