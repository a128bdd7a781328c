package owner_test

import (
	"encoding/json"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

// TestEntryThatNobodyAnswersDelaysNoTakeover guards against a new owner that starts nothing for seconds, since
// it waits for the runs on a worker that has never answered anyone: another program has left its entry.
func TestEntryThatNobodyAnswersDelaysNoTakeover(t *testing.T) {
	testOnSite(t, 4, func(site *simSite) {
		entry := agent.Worker{
			ID: "nobody", Pool: testPool, Address: "127.0.0.1:9", Domain: "d0", Rack: "d0",
			Capacity: heatherhub.Resources{CPU: 10_000, Memory: 10_000},
		}
		value, err := json.Marshal(fakeEntry{Worker: entry, Life: 7})
		if err != nil {
			t.Fatal(err)
		}
		site.store.set(workerPrefix+"nobody", value)
		time.Sleep(2 * time.Second)
		site.submit("backlog", newStep(600, 500*time.Millisecond))
		time.Sleep(time.Second)
		site.kill(site.currentOwner())
		n := site.totalStarts()
		took := site.await("the first start by the new owner", 20*time.Second, func() bool { return site.totalStarts() > n })
		if limit := 3 * time.Second; took > limit {
			t.Errorf("got the first start %s after the owner's death, want at most %s", took, limit)
		}
		site.await("the backlog", 20*time.Second, func() bool { return site.isCompleted("backlog") })
	})
}

// TestTaskWaitsNoLongerThanItsStartMayBeCarriedOut guards against a task that waits for up to two polls more than
// the 12 s for which its start without an answer may be carried out. The second start is the same whenever in the
// rhythm of the polls the first one was sent.
func TestTaskWaitsNoLongerThanItsStartMayBeCarriedOut(t *testing.T) {
	const phases = 10
	for i := range phases {
		testOnSite(t, 1, func(site *simSite) {
			time.Sleep(15*time.Second + time.Duration(i)*time.Second/phases)
			o := string(site.currentOwner())
			for _, w := range site.livingWorkers() {
				site.setPartitioned(o, string(w.entry.ID.Name()), true)
			}
			site.submit("unanswered", newStep(1, time.Second))
			time.Sleep(300 * time.Millisecond)
			for _, w := range site.livingWorkers() {
				site.setPartitioned(o, string(w.entry.ID.Name()), false)
			}
			// The call itself takes half a second to fail.
			limit := dispatch.DefaultLateCallTime + time.Second - 300*time.Millisecond
			site.await("the second start", limit, func() bool { return site.startCount(heatherhub.StepTask{Job: "unanswered"}) == 1 })
		})
	}
}
