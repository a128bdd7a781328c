package owner_test

import (
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
