package owner_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub/connection/agent"
)

// TestStartsInPlaceAfterAFailureRunOnce guards against two runs of a task on one worker: of two copies of a start one
// is carried out, the run fails and starts again there under a new number without an answer, and the next
// incarnation carries out that start and the other copy.
func TestStartsInPlaceAfterAFailureRunOnce(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		time.Sleep(15 * time.Second)
		site.delaysCallsInNetwork.Store(true)
		site.delaysStartsOnly.Store(true)
		site.mu.Lock()
		site.fixedDelay = 11 * time.Second
		site.mu.Unlock()
		site.setDelayedShare(1)
		workers := site.livingWorkers()
		site.submit("lasting", newLongRunningStep(1))
		time.Sleep(600 * time.Millisecond)
		site.setDelayedShare(0)
		time.Sleep(2500 * time.Millisecond)
		site.setDelayedShare(1)
		for _, w := range workers {
			w.mu.Lock()
			for id, r := range w.running {
				w.finish(id, r, agent.EndFailed)
			}
			w.mu.Unlock()
		}
		time.Sleep(4 * time.Second)
		site.setDelayedShare(0)
		for _, w := range workers {
			w.leave(false)
		}
		time.Sleep(300 * time.Millisecond)
		for _, w := range workers {
			next := site.startUnregistered(w, func(m *fakeWorker) { m.cutOffs++ })
			site.register(next)
			site.after(14*time.Second, func() { next.addCutOffs(-1) })
		}
		time.Sleep(40 * time.Second)
	})
}
