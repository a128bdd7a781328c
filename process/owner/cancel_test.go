package owner_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/record"
)

// TestJobStoredWithItsCancelDoesNotStart guards against starts of a job that was written together with
// its cancel, whichever of the two the store lists first: an owner forgets the cancel of a job that it
// does not know.
func TestJobStoredWithItsCancelDoesNotStart(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		for _, isCancelFirst := range []bool{false, true} {
			id := heatherhub.JobID("job-first")
			if isCancelFirst {
				id = "cancel-first"
			}
			flow := &heatherhub.Workflow{ID: id, Queue: testQueue, Steps: []heatherhub.Step{newStep(2, time.Second)}, Accepted: time.Now(), Shard: site.jobShard}
			value, err := record.Encode(flow)
			if err != nil {
				t.Fatal(err)
			}
			site.mu.Lock()
			site.jobs[id] = flow
			site.mu.Unlock()
			puts := []ledger.Put{{Key: record.JobKey(id), Value: value}, {Key: record.CancelKey(id)}}
			if isCancelFirst {
				puts[0], puts[1] = puts[1], puts[0]
			}
			if _, err := site.store.apply(ledger.Txn{Puts: puts}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			if got, want := site.jobState(id), heatherhub.WorkflowCancelled; got != want {
				t.Errorf("%s: got state %q, want %q", id, got, want)
			}
			if n := site.startCount(heatherhub.StepTask{Job: id}); n > 0 {
				t.Errorf("%s: got %d starts of its first task, want none", id, n)
			}
		}
	})
}
