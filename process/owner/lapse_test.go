package owner_test

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// resetPolls fails the calls from all hosts to a worker for d, while the worker runs on.
func (site *simSite) resetPolls(m *fakeWorker, d time.Duration) {
	site.setPartitioned(anyHost, string(m.entry.ID), true)
	time.Sleep(d)
	site.setPartitioned(anyHost, string(m.entry.ID), false)
}

// TestTaskOfLivingWorkerWithoutEntryRunsOnce guards against a worker that counts as shut down
// because its entry has lapsed and one poll fails.
func TestTaskOfLivingWorkerWithoutEntryRunsOnce(t *testing.T) {
	for name, prepare := range map[string]func(*simSite, *fakeWorker){
		"ready":    func(*simSite, *fakeWorker) {},
		"draining": func(site *simSite, m *fakeWorker) { site.drain(m) },
	} {
		t.Run(name, func(t *testing.T) {
			testOnSite(t, 2, func(site *simSite) {
				site.submit("lasting", newLongRunningStep(6))
				time.Sleep(2 * time.Second)
				lapsed := site.busyWorker()
				prepare(site, lapsed)
				site.store.removeKey(workerPrefix + string(lapsed.entry.ID))
				time.Sleep(1500 * time.Millisecond)
				site.resetPolls(lapsed, 600*time.Millisecond)
				time.Sleep(4 * time.Second)
			})
		})
	}
}

// TestExpiredLeaseIsNoticedAtOnce guards against tasks that wait, beyond the lease of their lost
// worker, for a poll that fails and another one.
func TestExpiredLeaseIsNoticedAtOnce(t *testing.T) {
	for _, delay := range []time.Duration{0, 150 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			testOnSite(t, 2, func(site *simSite) {
				site.submit("lasting", newLongRunningStep(6))
				time.Sleep(2*time.Second + delay)
				lost := site.busyWorker()
				lost.mu.Lock()
				tasks := slices.Collect(maps.Keys(lost.running))
				lost.mu.Unlock()
				site.setPartitioned(anyHost, string(lost.entry.ID), true)
				site.await("the end of the lease", 7*time.Second, func() bool { return !lost.isRunning(tasks[0]) })
				took := site.await("the start elsewhere", time.Second, func() bool { return site.workerOf(tasks[0]) != nil })
				// The lease counts 0.2 s longer for the owner.
				if limit := 500 * time.Millisecond; took > limit {
					t.Errorf("got the start %s after the end of the lease, want at most %s", took, limit)
				}
			})
		})
	}
}
