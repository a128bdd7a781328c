package owner_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
)

// pauseStore takes the store down for d. Its leases pause meanwhile.
func (site *simSite) pauseStore(d time.Duration) {
	const step = 10 * time.Millisecond
	site.store.setDown(true)
	for range d / step {
		time.Sleep(step)
		site.store.mu.Lock()
		for _, l := range site.store.leases {
			l.expires = l.expires.Add(step)
		}
		site.store.mu.Unlock()
	}
	site.store.setDown(false)
}

// TestMovedTaskRunsOnceWhenItsNewWorkerIsLost guards against a start that waits in an owner without
// authority, and is sent to a worker that was lost meanwhile.
func TestMovedTaskRunsOnceWhenItsNewWorkerIsLost(t *testing.T) {
	for phase := 580 * time.Millisecond; phase < 720*time.Millisecond; phase += 20 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			testOwnedSite(t, 4, nil, func(site *simSite) {
				for _, id := range []heatherhub.WorkerID{"zz0", "zz1", "zz2"} {
					site.addWorker(id, onlyDomain)
				}
				busy := site.worker(busyID)
				time.Sleep(time.Second)
				busy.entry.DrainRemaining = 5400 * time.Millisecond
				site.drain(busy)
				time.Sleep(500 * time.Millisecond)
				for _, id := range []string{"w2", "w3", "zz1", "zz2"} {
					site.setPartitioned(string(formerHost), id, true)
				}
				site.after(2900*time.Millisecond+phase, func() { site.setPartitioned(string(formerHost), "w1", true) })
				site.after(9420*time.Millisecond, func() { site.setPartitioned(string(formerHost), "w1", false) })
				site.pauseStore(9400 * time.Millisecond)
				time.Sleep(5 * time.Second)
			})
		})
	}
}
