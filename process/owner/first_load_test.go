package owner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/record"
)

// TestFirstLoadHasTheRoomOfAllWorkers guards against a first load that is published when few
// workers have answered: for a second, callers' jobs went to the other shards only.
func TestFirstLoadHasTheRoomOfAllWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 40
		site := newSimSite(t, 1)
		defer site.checkViolations()
		defer site.shutdown()
		for i := range workers {
			site.addWorker(heatherhub.WorkerID(fmt.Sprintf("w%d", i)), "d0")
		}
		loads := make(chan record.Load, 100)
		site.store.mu.Lock()
		site.store.beforePut = func(key string) {
			if key == record.LoadKey(site.jobShard) {
				site.after(time.Millisecond, func() {
					if l, ok := site.storedLoad(site.jobShard); ok {
						loads <- l
					}
				})
			}
		}
		site.store.mu.Unlock()
		site.startHost("h0", "d0")
		if got, want := (<-loads).Capacity, heatherhub.MilliCPU(workers*10_000); got != want {
			t.Errorf("got a first load with %d processors, want %d", got, want)
		}
	})
}
