package owner_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub/process/record"
)

// TestStopsGoBeforeWaitingStarts replays a cancel while each worker has many start orders
// waiting, as on a host that is slow to send them.
func TestStopsGoBeforeWaitingStarts(t *testing.T) {
	testOnSite(t, 1, func(site *simSite) {
		site.submit("cancelled", newStep(1, 30*time.Second))
		time.Sleep(500 * time.Millisecond)
		if got, want := site.runningTasks("cancelled"), 1; got != want {
			t.Fatalf("got %d running tasks, want %d", got, want)
		}
		const orderTime = 150 * time.Millisecond
		site.orderTime.Store(int64(orderTime))
		small := newStep(60, 30*time.Second)
		small.Need.CPU = 100
		site.submit("waiting", small)
		time.Sleep(50 * time.Millisecond)
		site.store.set(record.CancelKey("cancelled"), nil)
		took := site.await("the end of the cancelled tasks", 3*time.Second, func() bool { return site.runningTasks("cancelled") == 0 })
		// The order under way, the stop and the end of the run, and a watch of the jobs.
		if limit := 2*orderTime + stopDuration + 100*time.Millisecond; took > limit {
			t.Errorf("got %s from the cancel to the end of the tasks, want at most %s", took, limit)
		}
	})
}
