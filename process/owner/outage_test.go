package owner_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub/process/record"
)

// TestOwnerlessShardIsClaimedAfterASilentOutage guards against hosts that notice the return of a
// silent store only when a long watch has timed out.
func TestOwnerlessShardIsClaimedAfterASilentOutage(t *testing.T) {
	for _, outage := range []time.Duration{5 * time.Second, 5700 * time.Millisecond, 6400 * time.Millisecond} {
		t.Run(outage.String(), func(t *testing.T) {
			testOnSite(t, 2, func(site *simSite) {
				former := site.currentOwner()
				site.store.setSilentPrefix(record.ShardPrefix)
				site.kill(former)
				time.Sleep(outage)
				site.store.setSilentPrefix("")
				took := site.await("a new owner", 4*time.Second, func() bool { o := site.currentOwner(); return o != former && o != "" })
				if limit := 1200 * time.Millisecond; took > limit {
					t.Errorf("got a new owner %s after the outage, want at most %s", took, limit)
				}
			})
		})
	}
}
