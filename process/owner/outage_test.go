package owner_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
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

// TestEndedJobsAreRemovedAfterLostAnswers guards against records of ended jobs that stay in the store, since the
// write that was to delete them got no answer or failed.
func TestEndedJobsAreRemovedAfterLostAnswers(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		s := site.store
		var ids []heatherhub.JobID
		for i := range 24 {
			ids = append(ids, heatherhub.JobID(fmt.Sprintf("j%02d", i)))
			site.submit(ids[i], newStep(1, 100*time.Millisecond))
		}
		site.await("the jobs", 20*time.Second, func() bool { return site.isCompleted(ids...) })
		loseAnswers := func(share float64) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lostAnswerShare = share
		}
		time.Sleep(145 * time.Second)
		loseAnswers(1)
		time.Sleep(8 * time.Second)
		loseAnswers(0)
		time.Sleep(20 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		left := 0
		for _, id := range ids {
			if s.items[record.JobKey(id)].Revision > 0 {
				left++
			}
		}
		if left > 0 {
			t.Errorf("got the records of %d ended jobs in the store, want none", left)
		}
	})
}
