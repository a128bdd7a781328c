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

// TestLateAcknowledgementBesideOpenStartHidesNoEnd guards against the same if the former life's ends are
// acknowledged for the first time: a start and the poll are under way together, and the next life carries out
// the start first.
func TestLateAcknowledgementBesideOpenStartHidesNoEnd(t *testing.T) {
	for name, startAt := range map[string]time.Duration{"start sent first": 480 * time.Millisecond, "poll sent first": 560 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			testOnSite(t, 2, func(site *simSite) {
				time.Sleep(15 * time.Second)
				site.delaysCallsInNetwork.Store(true)
				site.mu.Lock()
				site.fixedDelay = 3 * time.Second
				site.mu.Unlock()
				workers := site.livingWorkers()
				site.submit("before", newStep(24, 500*time.Millisecond))
				site.after(startAt, func() {
					site.setDelayedShare(1)
					site.submit("held", newStep(12, 500*time.Millisecond))
				})
				// The polls that are held by then list the ends, and the next ones acknowledge them.
				time.Sleep(490 * time.Millisecond)
				site.pollDelay.Store(int64(6 * time.Second))
				time.Sleep(210 * time.Millisecond)
				site.pollDelay.Store(0)
				site.setDelayedShare(0)
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
		})
	}
}
