package owner_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
)

// TestForecastOutlivesOwner guards against loads without a forecast, without its measured error,
// and against run times that each owner has to learn anew.
func TestForecastOutlivesOwner(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		for i := range 40 {
			site.submit(heatherhub.JobID(fmt.Sprintf("j%d", i)), newStep(3, 500*time.Millisecond))
			time.Sleep(200 * time.Millisecond)
		}
		forecast := func() *dispatch.Forecast {
			l, _ := site.storedLoad(site.jobShard)
			return l.Forecast
		}
		site.await("a forecast with an error", 10*time.Second, func() bool {
			f := forecast()
			for _, p := range f.Pools {
				if p.Room > 0 && len(f.RunTimes) == 1 && len(p.Lanes) > 0 && p.Lanes[0].Samples >= 20 {
					return true
				}
			}
			site.submit(heatherhub.JobID(fmt.Sprintf("k%d", time.Now().UnixNano())), newStep(3, 500*time.Millisecond))
			return false
		})
		before := forecast().RunTimes[testQueue]
		time.Sleep(4 * time.Second)
		old := site.currentOwner()
		site.kill(old)
		site.await("another owner", 10*time.Second, func() bool { return site.currentOwner() != "" && site.currentOwner() != old })
		time.Sleep(2 * time.Second)
		if got := forecast().RunTimes[testQueue]; before == 0 || got < 0.8*before || got > 1.2*before {
			t.Errorf("got a run time of %.2f at the next owner, want about %.2f", got, before)
		}
	})
}
