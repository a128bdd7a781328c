package owner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/record"
)

// site starts three failure domains with a host and workers each, and waits for an
// owner that has all workers.
func site(t *testing.T, seed uint64, workersPerDomain int) *world {
	return populate(newWorld(t, seed), workersPerDomain)
}

// divided is site with a shard for each failure domain. New jobs go to the first.
func divided(t *testing.T, seed uint64, workersPerDomain int) *world {
	w := newWorld(t, seed)
	w.perShard, w.home = workersPerDomain, heatherhub.ShardID{Domain: "d0"}
	return populate(w, workersPerDomain)
}

func populate(w *world, workersPerDomain int) *world {
	for d := range 3 {
		domain := heatherhub.FailureDomain(fmt.Sprintf("d%d", d))
		for i := range workersPerDomain {
			w.addWorker(heatherhub.WorkerID(fmt.Sprintf("w%d-%d", d, i)), domain)
		}
	}
	for d := range 3 {
		w.startHost(heatherhub.HostID(fmt.Sprintf("h%d", d)), heatherhub.FailureDomain(fmt.Sprintf("d%d", d)))
	}
	w.submit("first", step(1, 100*time.Millisecond))
	w.await("the first job", 5*time.Second, func() bool { return w.isCompleted("first") })
	return w
}

// onSite plays a test on a site and expects that no promise is broken.
func onSite(t *testing.T, workersPerDomain int, play func(*world)) {
	onWorld(t, func(t *testing.T) *world { return site(t, 1, workersPerDomain) }, play)
}

// onDividedSite is onSite with a shard for each failure domain.
func onDividedSite(t *testing.T, workersPerDomain int, play func(*world)) {
	onWorld(t, func(t *testing.T) *world { return divided(t, 1, workersPerDomain) }, play)
}

func onWorld(t *testing.T, create func(*testing.T) *world, play func(*world)) {
	synctest.Test(t, func(t *testing.T) {
		w := create(t)
		defer w.check()
		defer w.shutdown()
		play(w)
	})
}

// domainOf returns the number of a host's failure domain.
func domainOf(id heatherhub.HostID) int {
	return int(id[1] - '0')
}

func TestStepsRunInOrderAndOnce(t *testing.T) {
	onSite(t, 2, func(w *world) {
		w.submit("chain", step(5, 300*time.Millisecond), step(8, 200*time.Millisecond, 0), step(1, 100*time.Millisecond, 0, 1))
		w.await("the chain", 5*time.Second, func() bool { return w.isCompleted("chain") })
		if got, want := w.startCount(), 1+5+8+1; got != want {
			t.Errorf("got %d starts, want %d", got, want)
		}
	})
}

// TestFirstStartAfterOwnersDeath measures a takeover on virtual time. A task whose
// turn has come may rest for 3 s, so a new owner has to start tasks in about 2 s.
func TestFirstStartAfterOwnersDeath(t *testing.T) {
	onSite(t, 4, func(w *world) {
		w.submit("running", step(10, 8*time.Second))
		time.Sleep(time.Second)
		w.kill(w.owner())
		w.submit("waiting", step(3, 100*time.Millisecond))
		took := w.await("the first start by the new owner", 3*time.Second, func() bool { return w.lastStarted() == "waiting" })
		t.Logf("first start %s after the owner's death", took)
		if limit := 2200 * time.Millisecond; took > limit {
			t.Errorf("got %s, want at most %s", took, limit)
		}
		w.await("both jobs", 12*time.Second, func() bool { return w.isCompleted("running", "waiting") })
		if got, want := w.startCount(), 1+10+3; got != want {
			t.Errorf("got %d starts, want %d: runs go on under a new owner", got, want)
		}
	})
}

// TestCutOffOwnerRestartsNothing cuts the owner's failure domain off from the store
// and the other domains, long enough for the leases that it gave to end. Another
// host renews them meanwhile.
func TestCutOffOwnerRestartsNothing(t *testing.T) {
	onSite(t, 4, func(w *world) {
		w.submit("long", step(30, 20*time.Second))
		time.Sleep(2 * time.Second)
		former := w.owner()
		w.cutDomain(domainOf(former), true)
		time.Sleep(9 * time.Second)
		if got := w.owner(); got == former || got == "" {
			t.Errorf("got owner %q, want another one than %q", got, former)
		}
		w.cutDomain(domainOf(former), false)
		w.await("the job", 40*time.Second, func() bool { return w.isCompleted("long") })
	})
}

// cutDomain separates a failure domain from the store and all others.
func (w *world) cutDomain(d int, isCut bool) {
	for h := range 3 {
		host := fmt.Sprintf("h%d", h)
		if h == d {
			w.cut(host, storeName, isCut)
		}
		w.mu.Lock()
		var ids []string
		for id, m := range w.workers {
			if (m.entry.Domain == heatherhub.FailureDomain(fmt.Sprintf("d%d", d))) != (h == d) {
				ids = append(ids, string(id))
			}
		}
		w.mu.Unlock()
		for _, id := range ids {
			w.cut(host, id, isCut)
		}
	}
}

// TestDepartedWorkersTasksStartElsewhere takes a worker away without a word. Its
// tasks start elsewhere when its lease is over, not later.
func TestDepartedWorkersTasksStartElsewhere(t *testing.T) {
	onSite(t, 2, func(w *world) {
		w.submit("lasting", lasting(6))
		time.Sleep(2 * time.Second)
		gone := w.busyWorker()
		gone.mu.Lock()
		gone.isGone = true
		lost := len(gone.running)
		gone.mu.Unlock()
		before := w.startCount()
		w.store.revoke(workerPrefix + string(gone.entry.ID))
		w.await("new starts", 9*time.Second, func() bool { return w.startCount() >= before+lost })
	})
}

// TestNewOwnerKeepsRunsOfUnreadJobs lets an owner start a job that the next owner
// has not read: its key is revoked and the news of the job reaches it late.
func TestRevokedOwnerIsFollowedWithoutDoubles(t *testing.T) {
	onSite(t, 3, func(w *world) {
		for i := range 20 {
			w.submit(heatherhub.JobID(fmt.Sprintf("j%d", i)), step(3, 700*time.Millisecond))
			if i%5 == 4 {
				w.store.revoke(record.OwnerKey(heatherhub.ShardID{Domain: record.SiteDomain}))
			}
			time.Sleep(150 * time.Millisecond)
		}
		w.await("all jobs", 20*time.Second, func() bool {
			for i := range 20 {
				if !w.isCompleted(heatherhub.JobID(fmt.Sprintf("j%d", i))) {
					return false
				}
			}
			return true
		})
	})
}

// TestCancelledWorkIsGoneInTime checks that runs of a cancelled job end, also under
// an owner that took over after the cancel.
func TestCancelledWorkIsGoneInTime(t *testing.T) {
	onSite(t, 2, func(w *world) {
		w.submit("doomed", step(4, 30*time.Second))
		time.Sleep(time.Second)
		w.kill(w.owner())
		w.store.set(record.CancelKey("doomed"), nil)
		w.await("the end of its runs", 3900*time.Millisecond, func() bool { return w.running() == 0 })
		if got, want := w.stateOf("doomed"), heatherhub.WorkflowCancelled; got != want {
			t.Errorf("got state %q, want %q", got, want)
		}
	})
}

// busyWorker returns a worker on which tasks run.
func (w *world) busyWorker() *memoryWorker {
	for _, m := range w.workers {
		m.mu.Lock()
		n := len(m.running)
		m.mu.Unlock()
		if n > 0 {
			return m
		}
	}
	w.t.Fatal("no task runs on any worker")
	return nil
}

// running counts the runs on all workers.
func (w *world) running() int {
	n := 0
	for _, m := range w.workers {
		m.mu.Lock()
		m.advance()
		n += len(m.running)
		m.mu.Unlock()
	}
	return n
}

// TestWorkerThatLeftIsNotWaitedOut takes a draining worker away in the planned way:
// its entry goes while it still answers. Its lasting tasks start elsewhere at once.
func TestWorkerThatLeftIsNotWaitedOut(t *testing.T) {
	onSite(t, 2, func(w *world) {
		w.submit("lasting", lasting(6))
		time.Sleep(2 * time.Second)
		gone := w.busyWorker()
		gone.entry.Draining = true
		w.register(gone)
		time.Sleep(2 * time.Second)
		gone.mu.Lock()
		gone.isGone = true
		lost := len(gone.running)
		gone.mu.Unlock()
		before := w.startCount()
		w.store.revoke(workerPrefix + string(gone.entry.ID))
		w.await("new starts", time.Second, func() bool { return w.startCount() >= before+lost })
	})
}

// TestCutOffWorkerHasNotLeft cuts a worker off just after a heartbeat was due: its
// entry goes two heartbeats after its last answer, while its tasks run on until their
// lease is over.
func TestCutOffWorkerHasNotLeft(t *testing.T) {
	onSite(t, 2, func(w *world) {
		w.submit("lasting", lasting(6))
		time.Sleep(2 * time.Second)
		cut := w.busyWorker()
		for h := range 3 {
			w.cut(fmt.Sprintf("h%d", h), string(cut.entry.ID), true)
		}
		time.Sleep(2 * time.Second)
		w.store.revoke(workerPrefix + string(cut.entry.ID))
		time.Sleep(10 * time.Second)
	})
}

// TestUnreadJobRunsOnce lets a new owner meet the runs and ends of jobs that its watch
// has not brought yet: they were accepted after its first read of the jobs, started by
// the old owner and done before the watch answers.
func TestUnreadJobRunsOnce(t *testing.T) {
	onSite(t, 2, func(w *world) {
		old := w.owner()
		w.submit("short", step(2, 300*time.Millisecond))
		w.submit("long", step(2, 4*time.Second))
		time.Sleep(100 * time.Millisecond)
		w.store.hide(record.JobKey("short"), record.JobKey("long"))
		w.store.setSilent(record.JobPrefix)
		w.kill(old)
		w.await("a new owner", 5*time.Second, func() bool { o := w.owner(); return o != old && o != "" })
		time.Sleep(3 * time.Second)
		w.store.hide()
		w.store.setSilent("")
		w.await("both jobs", 10*time.Second, func() bool { return w.isCompleted("short", "long") })
		if got, want := w.startCount(), 1+2+2; got != want {
			t.Errorf("got %d starts, want %d", got, want)
		}
	})
}

// hide leaves keys out of ranges: these are as they were before the keys were written.
func (s *memoryStore) hide(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hidden = keys
}

// TestLateClaimIsNotOrphaned lets a claim of the shard take effect seconds after its
// host has given it up. The host's lease lives on, and the key with it: the shard
// must not stay without an owner.
func TestLateClaimIsNotOrphaned(t *testing.T) {
	onSite(t, 2, func(w *world) {
		w.store.setLate(record.OwnerKey(w.home))
		w.kill(w.owner())
		w.submit("waiting", step(1, 100*time.Millisecond))
		time.Sleep(3 * time.Second)
		w.store.setLate("")
		w.await("the job", 5*time.Second, func() bool { return w.isCompleted("waiting") })
	})
}

func (s *memoryStore) setLate(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateKey = key
}

// TestUnreadableHintsHinderNoTakeover has another writer leave bytes where owners hand on
// what they have learnt.
func TestUnreadableHintsHinderNoTakeover(t *testing.T) {
	onSite(t, 2, func(w *world) {
		time.Sleep(6 * time.Second)
		w.store.mu.Lock()
		revision := w.store.items[record.InterferenceKey(w.home)].Revision
		w.store.mu.Unlock()
		if revision == 0 {
			t.Error("got nothing handed on after 6 s")
		}
		w.kill(w.owner())
		w.store.set(record.InterferenceKey(w.home), []byte{0xc1, 0xff})
		w.submit("waiting", step(1, 100*time.Millisecond))
		w.await("the job", 3*time.Second, func() bool { return w.isCompleted("waiting") })
	})
}
