package owner_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/owner"
	"heatherhub.example/heatherhub/process/record"
)

// startSite starts a site of three failure domains with a host and workers each and one
// shard, and waits until a first job is completed.
func startSite(t *testing.T, seed uint64, workersPerDomain int) *simSite {
	return startWorkersAndHosts(newSimSite(t, seed), workersPerDomain)
}

// startShardedSite is startSite with a shard for each failure domain. New jobs go to the
// shard of d0.
func startShardedSite(t *testing.T, seed uint64, workersPerDomain int) *simSite {
	site := newSimSite(t, seed)
	site.workersPerShard, site.jobShard = workersPerDomain, heatherhub.ShardID{Domain: "d0"}
	return startWorkersAndHosts(site, workersPerDomain)
}

// startWorkersAndHosts adds three failure domains to a site and waits until a first job is
// completed.
func startWorkersAndHosts(site *simSite, workersPerDomain int) *simSite {
	for d := range 3 {
		domain := heatherhub.FailureDomain(fmt.Sprintf("d%d", d))
		for i := range workersPerDomain {
			site.addWorker(heatherhub.WorkerID(fmt.Sprintf("w%d-%d", d, i)), domain)
		}
	}
	for d := range 3 {
		site.startHost(heatherhub.HostID(fmt.Sprintf("h%d", d)), heatherhub.FailureDomain(fmt.Sprintf("d%d", d)))
	}
	site.submit("first", newStep(1, 100*time.Millisecond))
	site.await("the first job", 5*time.Second, func() bool { return site.isCompleted("first") })
	return site
}

// testOnSite runs a test on a site of one shard and expects no violation.
func testOnSite(t *testing.T, workersPerDomain int, run func(*simSite)) {
	runTestOn(t, func(t *testing.T) *simSite { return startSite(t, 1, workersPerDomain) }, run)
}

// testOnShardedSite is testOnSite with a shard for each failure domain.
func testOnShardedSite(t *testing.T, workersPerDomain int, run func(*simSite)) {
	runTestOn(t, func(t *testing.T) *simSite { return startShardedSite(t, 1, workersPerDomain) }, run)
}

func runTestOn(t *testing.T, create func(*testing.T) *simSite, run func(*simSite)) {
	synctest.Test(t, func(t *testing.T) {
		site := create(t)
		defer site.checkViolations()
		defer site.shutdown()
		run(site)
	})
}

// domainNumber returns the number of a host's failure domain.
func domainNumber(id heatherhub.HostID) int {
	return int(id[1] - '0')
}

func TestStepsRunInOrderAndOnce(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		site.submit("chain", newStep(5, 300*time.Millisecond), newStep(8, 200*time.Millisecond, 0), newStep(1, 100*time.Millisecond, 0, 1))
		site.await("the chain", 5*time.Second, func() bool { return site.isCompleted("chain") })
		if got, want := site.totalStarts(), 1+5+8+1; got != want {
			t.Errorf("got %d starts, want %d", got, want)
		}
	})
}

// TestFirstStartAfterOwnersDeath measures a takeover on virtual time. A task that can start
// has to do so within 3 s, so a new owner has to start tasks within 2.2 s.
func TestFirstStartAfterOwnersDeath(t *testing.T) {
	testOnSite(t, 4, func(site *simSite) {
		site.submit("running", newStep(10, 8*time.Second))
		time.Sleep(time.Second)
		site.kill(site.currentOwner())
		site.submit("waiting", newStep(3, 100*time.Millisecond))
		took := site.await("the first start by the new owner", 3*time.Second, func() bool { return site.lastStartedJob() == "waiting" })
		t.Logf("first start %s after the owner's death", took)
		if limit := 2200 * time.Millisecond; took > limit {
			t.Errorf("got %s, want at most %s", took, limit)
		}
		site.await("both jobs", 12*time.Second, func() bool { return site.isCompleted("running", "waiting") })
		if got, want := site.totalStarts(), 1+10+3; got != want {
			t.Errorf("got %d starts, want %d: running tasks continue under a new owner", got, want)
		}
	})
}

// TestCutOffOwnerRestartsNothing cuts the owner's failure domain off from the store and the
// other domains until the leases that it granted have expired. Another host has renewed
// them meanwhile, so the former owner must not start the tasks again.
func TestCutOffOwnerRestartsNothing(t *testing.T) {
	testOnSite(t, 4, func(site *simSite) {
		site.submit("long", newStep(30, 20*time.Second))
		time.Sleep(2 * time.Second)
		former := site.currentOwner()
		site.setDomainPartitioned(domainNumber(former), true)
		time.Sleep(9 * time.Second)
		if got := site.currentOwner(); got == former || got == "" {
			t.Errorf("got owner %q, want another one than %q", got, former)
		}
		site.setDomainPartitioned(domainNumber(former), false)
		site.await("the job", 40*time.Second, func() bool { return site.isCompleted("long") })
	})
}

// setDomainPartitioned cuts a failure domain off from the store and the other domains, or
// reconnects it.
func (site *simSite) setDomainPartitioned(d int, isPartitioned bool) {
	for h := range 3 {
		host := fmt.Sprintf("h%d", h)
		if h == d {
			site.setPartitioned(host, storeName, isPartitioned)
		}
		site.mu.Lock()
		var ids []string
		for id, m := range site.workers {
			if (m.entry.Domain == heatherhub.FailureDomain(fmt.Sprintf("d%d", d))) != (h == d) {
				ids = append(ids, string(id))
			}
		}
		site.mu.Unlock()
		for _, id := range ids {
			site.setPartitioned(host, id, isPartitioned)
		}
	}
}

// TestDepartedWorkersTasksStartElsewhere stops a worker without a drain. Its tasks start
// elsewhere within 9 s: the lease of 6 s and the delay of noticing its end.
func TestDepartedWorkersTasksStartElsewhere(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		site.submit("lasting", newLongRunningStep(6))
		time.Sleep(2 * time.Second)
		stopped := site.busyWorker()
		stopped.mu.Lock()
		stopped.isGone = true
		lost := len(stopped.running)
		stopped.mu.Unlock()
		before := site.totalStarts()
		site.store.removeKey(workerPrefix + string(stopped.entry.ID))
		site.await("new starts", 9*time.Second, func() bool { return site.totalStarts() >= before+lost })
	})
}

// TestRevokedOwnerStartsNoTaskTwice deletes the owner key every few jobs. An owner may have
// started a job that the next one has not read yet; the next one must not start it again.
func TestRevokedOwnerStartsNoTaskTwice(t *testing.T) {
	testOnSite(t, 3, func(site *simSite) {
		for i := range 20 {
			site.submit(heatherhub.JobID(fmt.Sprintf("j%d", i)), newStep(3, 700*time.Millisecond))
			if i%5 == 4 {
				site.store.removeKey(record.OwnerKey(heatherhub.ShardID{Domain: record.SiteDomain}))
			}
			time.Sleep(150 * time.Millisecond)
		}
		site.await("all jobs", 20*time.Second, func() bool {
			for i := range 20 {
				if !site.isCompleted(heatherhub.JobID(fmt.Sprintf("j%d", i))) {
					return false
				}
			}
			return true
		})
	})
}

// TestNewOwnerOvercommitsUnknownRuns guards against starts of a new owner in the room of
// runs whose job it has not read, or whose job has no record any more.
func TestNewOwnerOvercommitsUnknownRuns(t *testing.T) {
	for name, forget := range map[string]func(*fakeStore, string){
		"job not read": func(s *fakeStore, key string) { s.hide(key) },
		"job deleted":  (*fakeStore).removeKey,
	} {
		t.Run(name, func(t *testing.T) {
			testOnSite(t, 1, func(site *simSite) {
				site.submit("full", newStep(15, 4*time.Second))
				site.await("full workers", 3*time.Second, func() bool { return site.runningTasks("full") == 15 })
				site.submit("waiting", newStep(5, time.Second))
				time.Sleep(time.Second)
				forget(site.store, record.JobKey("full"))
				site.store.removeKey(record.OwnerKey(site.jobShard))
				site.await("the waiting job", 10*time.Second, func() bool { return site.isCompleted("waiting") })
			})
		})
	}
}

// TestCancelledWorkIsGoneInTime checks that the tasks of a cancelled job end within 3.9 s
// when the owner dies just before the cancel.
func TestCancelledWorkIsGoneInTime(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		site.submit("cancelled", newStep(4, 30*time.Second))
		time.Sleep(time.Second)
		site.kill(site.currentOwner())
		site.store.set(record.CancelKey("cancelled"), nil)
		site.await("the end of its tasks", 3900*time.Millisecond, func() bool { return site.totalRunning() == 0 })
		if got, want := site.jobState("cancelled"), heatherhub.WorkflowCancelled; got != want {
			t.Errorf("got state %q, want %q", got, want)
		}
	})
}

// busyWorker returns a worker on which tasks run. It fails the test if there is none.
func (site *simSite) busyWorker() *fakeWorker {
	for _, m := range site.allWorkers() {
		m.mu.Lock()
		n := len(m.running)
		m.mu.Unlock()
		if n > 0 {
			return m
		}
	}
	site.t.Fatal("no task runs on any worker")
	return nil
}

// totalRunning counts the running tasks on all workers.
func (site *simSite) totalRunning() int {
	n := 0
	for _, m := range site.allWorkers() {
		m.mu.Lock()
		m.advance()
		n += len(m.running)
		m.mu.Unlock()
	}
	return n
}

// TestTasksOfShutDownWorkerStartElsewhereAtOnce shuts down a draining worker in the planned
// way. From the notice until a second after the worker is gone, none of its long-running tasks
// may be without a run for longer than a second.
func TestTasksOfShutDownWorkerStartElsewhereAtOnce(t *testing.T) {
	for name, remaining := range map[string]time.Duration{"at once": 0, "after 2 s": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			testOnSite(t, 2, func(site *simSite) {
				site.submit("lasting", newLongRunningStep(6))
				time.Sleep(2 * time.Second)
				stopped := site.busyWorker()
				stopped.mu.Lock()
				tasks := slices.Collect(maps.Keys(stopped.running))
				stopped.mu.Unlock()
				stopped.entry.DrainRemaining = remaining
				site.drain(stopped)
				site.after(2*time.Second, func() {
					stopped.mu.Lock()
					stopped.isGone = true
					stopped.mu.Unlock()
					site.store.removeKey(workerPrefix + string(stopped.entry.ID))
				})
				if got, limit := site.longestGap(tasks, 3*time.Second), time.Second; got > limit {
					t.Errorf("got a task without a run for %s, want at most %s", got, limit)
				}
				for _, lost := range tasks {
					if w := site.workerOf(lost); w == nil || w == stopped {
						t.Errorf("task %v does not run elsewhere", lost)
					}
				}
			})
		})
	}
}

// longestGap watches tasks for d and returns the longest time that one of them ran nowhere.
func (site *simSite) longestGap(tasks []heatherhub.StepTask, d time.Duration) time.Duration {
	const interval = 10 * time.Millisecond
	longest := time.Duration(0)
	gaps := make([]time.Duration, len(tasks))
	for start := time.Now(); time.Since(start) < d; time.Sleep(interval) {
		for i, t := range tasks {
			gaps[i] += interval
			if site.workerOf(t) != nil {
				gaps[i] = 0
			}
			longest = max(longest, gaps[i])
		}
	}
	return longest
}

// TestPartitionedWorkerIsNotTakenAsShutDown cuts a worker off just after a heartbeat was due:
// its entry is removed two heartbeats after its last answer, while its tasks run on until
// the lease expires. The audit fails if one of them starts elsewhere before.
func TestPartitionedWorkerIsNotTakenAsShutDown(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		site.submit("lasting", newLongRunningStep(6))
		time.Sleep(2 * time.Second)
		cut := site.busyWorker()
		for h := range 3 {
			site.setPartitioned(fmt.Sprintf("h%d", h), string(cut.entry.ID), true)
		}
		time.Sleep(2 * time.Second)
		site.store.removeKey(workerPrefix + string(cut.entry.ID))
		time.Sleep(10 * time.Second)
	})
}

// TestUnreadJobRunsOnce has workers report running and ended runs of jobs that a new owner
// has not read: the jobs were accepted after its first read, started by the old owner, and
// end before the watch answers. Their tasks must not start again.
func TestUnreadJobRunsOnce(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		old := site.currentOwner()
		site.submit("short", newStep(2, 300*time.Millisecond))
		site.submit("long", newStep(2, 4*time.Second))
		time.Sleep(100 * time.Millisecond)
		site.store.hide(record.JobKey("short"), record.JobKey("long"))
		site.store.setSilentPrefix(record.JobPrefix)
		site.kill(old)
		site.await("a new owner", 5*time.Second, func() bool { o := site.currentOwner(); return o != old && o != "" })
		time.Sleep(3 * time.Second)
		site.store.hide()
		site.store.setSilentPrefix("")
		site.await("both jobs", 10*time.Second, func() bool { return site.isCompleted("short", "long") })
		if got, want := site.totalStarts(), 1+2+2; got != want {
			t.Errorf("got %d starts, want %d", got, want)
		}
	})
}

// hide makes ranges answer as of a revision before keys were written. A later call replaces
// the keys.
func (s *fakeStore) hide(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hiddenKeys = keys
}

// TestLateClaimIsNotOrphaned delays a claim until its host has given it up. The host renews
// its lease, which keeps the owner key, but runs no term, so it has to release the key or
// the shard stays without an owner.
func TestLateClaimIsNotOrphaned(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		site.store.setDelayedKey(record.OwnerKey(site.jobShard))
		site.kill(site.currentOwner())
		site.submit("waiting", newStep(1, 100*time.Millisecond))
		time.Sleep(3 * time.Second)
		site.store.setDelayedKey("")
		site.await("the job", 5*time.Second, func() bool { return site.isCompleted("waiting") })
	})
}

func (s *fakeStore) setDelayedKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayedKey = key
}

// TestUnreadableLearntRecordDoesNotBlockTakeover overwrites the learnt interference estimates,
// which owners hand on, with bytes that cannot be decoded.
func TestUnreadableLearntRecordDoesNotBlockTakeover(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		time.Sleep(6 * time.Second)
		site.store.mu.Lock()
		revision := site.store.items[record.InterferenceKey(site.jobShard)].Revision
		site.store.mu.Unlock()
		if revision == 0 {
			t.Error("got no learnt record after 6 s, want one")
		}
		site.kill(site.currentOwner())
		site.store.set(record.InterferenceKey(site.jobShard), []byte{0xc1, 0xff})
		site.submit("waiting", newStep(1, 100*time.Millisecond))
		site.await("the job", 3*time.Second, func() bool { return site.isCompleted("waiting") })
	})
}

// TestShardWithoutItsJobsIsNotListed guards against a list of jobs that counts a shard as
// answered although its new owner has not read the jobs yet.
func TestShardWithoutItsJobsIsNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSimSite(t, 1)
		defer site.checkViolations()
		defer site.shutdown()
		site.addWorker("w0", "d0")
		site.submit("waiting", newStep(1, time.Second))
		site.store.mu.Lock()
		site.store.beforePut = func(key string) {
			if key == record.OwnerKey(site.jobShard) {
				site.store.setDown(true)
			}
		}
		site.store.mu.Unlock()
		h := site.startHost("h0", "d0")
		site.await("the claim", 5*time.Second, func() bool { return site.currentOwner() == "h0" })
		time.Sleep(100 * time.Millisecond)
		if got := h.Overview(owner.OverviewQuery{MaxJobs: 9}); len(got.Shards) != 0 {
			t.Errorf("got overview %+v before the jobs were read, want no shard", got)
		}
		site.store.setDown(false)
		site.await("the job", 3*time.Second, func() bool {
			got := h.Overview(owner.OverviewQuery{MaxJobs: 9})
			return len(got.Shards) == 1 && len(got.Jobs) == 1
		})
	})
}

// TestLateWriteOfALoadIsDropped guards against an old load that replaces a newer one: the store
// may carry out a write without an answer seconds later.
func TestLateWriteOfALoadIsDropped(t *testing.T) {
	testOnSite(t, 2, func(site *simSite) {
		key := record.LoadKey(site.jobShard)
		site.store.setDelayedKey(key)
		time.Sleep(1500 * time.Millisecond)
		site.store.setDelayedKey("")
		last, start := time.Time{}, time.Now()
		for time.Since(start) < 12*time.Second {
			l, _ := site.storedLoad(site.jobShard)
			if l.At.Before(last) {
				t.Errorf("got a load taken at %s after one taken at %s", l.At, last)
				break
			}
			last = l.At
			time.Sleep(5 * time.Millisecond)
		}
		if age := time.Since(last); age > 2*time.Second {
			t.Errorf("got a load that is %s old, want at most 2 s", age)
		}
	})
}
