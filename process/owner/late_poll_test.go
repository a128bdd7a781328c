package owner_test

import (
	"testing"
	"time"
)

// TestLateAcknowledgementOfFormerLifeHidesNoEnd guards against a second run of a task whose start got
// no answer: a later incarnation of the worker carries the start out, and then a poll that acknowledges
// the ends of the former one. That makes it forget the end of the run.
func TestLateAcknowledgementOfFormerLifeHidesNoEnd(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		time.Sleep(15 * time.Second)
		// Ends with which the workers number theirs up to 4 or more.
		site.submit("before", newStep(24, 100*time.Millisecond))
		site.await("the first job", 10*time.Second, func() bool { return site.isCompleted("before") })
		time.Sleep(time.Second)
		site.delaysCallsInNetwork.Store(true)
		site.mu.Lock()
		site.fixedDelay = 3 * time.Second
		site.mu.Unlock()
		workers := site.livingWorkers()[:2]
		site.setDelayedShare(1)
		site.pollDelay.Store(int64(6 * time.Second))
		site.submit("held", newStep(12, 500*time.Millisecond))
		time.Sleep(1300 * time.Millisecond)
		site.setDelayedShare(0)
		site.pollDelay.Store(0)
		for _, w := range workers {
			w.leave(false)
		}
		time.Sleep(300 * time.Millisecond)
		for _, w := range workers {
			next := site.startUnregistered(w, func(m *fakeWorker) { m.cutOffs++ })
			site.register(next)
			site.after(13*time.Second, func() { next.addCutOffs(-1) })
		}
		time.Sleep(45 * time.Second)
	})
}
