package owner_test

import (
	"testing"
	"time"
)

// TestStartOfADrainedLifeRunsOnce guards against a second run of a long-running task: its worker has announced that
// it leaves and refuses the start without an answer, so the task starts elsewhere; then the worker is back
// under its ID, as in a rolling restart, and the next incarnation carries the start out.
func TestStartOfADrainedLifeRunsOnce(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		time.Sleep(15 * time.Second)
		site.delaysCallsInNetwork.Store(true)
		site.delaysStartsOnly.Store(true)
		site.mu.Lock()
		site.fixedDelay = 9 * time.Second
		site.mu.Unlock()
		site.setDelayedShare(1)
		workers := site.livingWorkers()[:2]
		site.submit("lasting", newLongRunningStep(4))
		time.Sleep(300 * time.Millisecond)
		for _, w := range workers {
			w.mu.Lock()
			w.entry.Draining, w.entry.DrainRemaining = true, 3*time.Second
			w.mu.Unlock()
			site.register(w)
		}
		time.Sleep(600 * time.Millisecond)
		site.setDelayedShare(0)
		time.Sleep(4 * time.Second)
		for _, w := range workers {
			w.leave(false)
		}
		time.Sleep(300 * time.Millisecond)
		for _, w := range workers {
			next := site.startUnregistered(w, func(m *fakeWorker) { m.cutOffs++ })
			site.register(next)
			site.after(9*time.Second, func() { next.addCutOffs(-1) })
		}
		time.Sleep(40 * time.Second)
	})
}
