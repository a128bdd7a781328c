package owner_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
)

// TestStrongHostTakesTheShard replays the death of an owner on a site with weak hosts, one of
// them in the failure domain of the shard, and one strong host elsewhere.
func TestStrongHostTakesTheShard(t *testing.T) {
	runTestOn(t, func(t *testing.T) *simSite {
		site := newSimSite(t, 1)
		// A host of a hundredth of a core carries four workers.
		site.cores = map[heatherhub.HostID]float64{"h0": 1, "h1": 0.01, "h2": 1}
		for k := range 4 {
			site.cores[heatherhub.HostID(fmt.Sprintf("weak%d", k))] = 0.01
		}
		site = startWorkersAndHosts(site, 4)
		for k := range 4 {
			site.startHost(heatherhub.HostID(fmt.Sprintf("weak%d", k)), "d0")
		}
		return site
	}, func(site *simSite) {
		for range 3 {
			former := site.currentOwner()
			if site.cores[former] < 1 {
				t.Errorf("got the weak owner %s, want a strong one", former)
			}
			site.kill(former)
			site.await("a new owner", 4*time.Second, func() bool { return site.currentOwner() != "" && site.currentOwner() != former })
			site.startHost(former, "d0")
			time.Sleep(2 * time.Second)
		}
	})
}
