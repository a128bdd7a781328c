package owner_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
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

// TestExpiredLeaseIsNoticedAtOnce guards against tasks that wait, beyond the lease of their lost
// worker, for a poll that fails and another one.
func TestExpiredLeaseIsNoticedAtOnce(t *testing.T) {
	for _, delay := range []time.Duration{0, 150 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			testOnSite(t, 2, func(site *simSite) {
				// Longer leases are possible while late calls for a former incarnation may have given one.
				time.Sleep(40 * time.Second)
				site.submit("lasting", newLongRunningStep(6))
				time.Sleep(2*time.Second + delay)
				lost := site.busyWorker()
				lost.mu.Lock()
				tasks := slices.Collect(maps.Keys(lost.running))
				lost.mu.Unlock()
				site.setPartitioned(anyHost, string(lost.entry.ID), true)
				site.await("the end of the lease", 7*time.Second, func() bool { return !lost.isRunning(tasks[0]) })
				took := site.await("the start elsewhere", time.Second, func() bool { return site.workerOf(tasks[0]) != nil })
				// The lease counts 0.2 s longer for the owner.
				if limit := 500 * time.Millisecond; took > limit {
					t.Errorf("got the start %s after the end of the lease, want at most %s", took, limit)
				}
			})
		})
	}
}

// TestJobIsNotFailedForLapsedLeases guards against a job that is shown as failed although none of its
// runs has failed: the workers of one task are cut off just after each of its starts, and list the
// ends of the runs later.
func TestJobIsNotFailedForLapsedLeases(t *testing.T) {
	const lapses = 7
	for name, step := range map[string]heatherhub.Step{"batch": newStep(1, 2*time.Second), "long-running": newLongRunningStep(1)} {
		for _, isOwnerKilled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s,ownerKilled=%v", name, isOwnerKilled), func(t *testing.T) {
				testOnSite(t, 3, func(site *simSite) {
					task := heatherhub.StepTask{Job: "unlucky"}
					site.submit(task.Job, step)
					for i := range lapses {
						site.await("the next start", 15*time.Second, func() bool { return site.startCount(task) > i && site.workerOf(task) != nil })
						m := site.workerOf(task)
						if m == nil {
							return
						}
						site.setPartitioned(anyHost, string(m.entry.ID), true)
						site.after(8*time.Second, func() { site.setPartitioned(anyHost, string(m.entry.ID), false) })
						if isOwnerKilled && i%2 == 0 {
							host := site.currentOwner()
							site.kill(host)
							site.startHost(heatherhub.HostID(fmt.Sprintf("%s-%d", host[:2], i)), heatherhub.FailureDomain(fmt.Sprintf("d%d", domainNumber(host))))
						}
					}
					site.await("the run after the lapses", 15*time.Second, func() bool { return site.startCount(task) > lapses })
					time.Sleep(5 * time.Second)
					want := heatherhub.WorkflowCompleted
					if step.LongRunning {
						want = heatherhub.WorkflowRunning
					}
					if got := site.jobState(task.Job); got.IsFinal() != want.IsFinal() || (got.IsFinal() && got != want) {
						t.Errorf("got state %q after %d lapsed leases, want %q", got, lapses, want)
					}
				})
			})
		}
	}
}
