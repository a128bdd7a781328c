package owner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/owner"
	"heatherhub.example/heatherhub/version/queues"
)

// Hosts of the tests of this file. All are in one failure domain, as are the workers.
const (
	formerHost = heatherhub.HostID("former")
	nextHost   = heatherhub.HostID("next")
	thirdHost  = heatherhub.HostID("third")
	onlyDomain = heatherhub.FailureDomain("d0")
	// busyID is the worker that gets the long-running tasks: they fill one worker after the
	// other.
	busyID = heatherhub.WorkerID("w0")
)

// settleTime is longer than any owner acts without the store, and its leases after that.
const settleTime = 25 * time.Second

// testOwnedSite runs a test on a site of n workers that formerHost owns. As many long-running
// tasks have started. configure, if set, changes the configuration of formerHost.
func testOwnedSite(t *testing.T, n int, configure func(*owner.Config), run func(*simSite)) {
	create := func(t *testing.T) *simSite {
		site := newSimSite(t, 1)
		for i := range n {
			site.addWorker(heatherhub.WorkerID(fmt.Sprintf("w%d", i)), onlyDomain)
		}
		site.startConfiguredHost(formerHost, func(cfg *owner.Config) {
			if configure != nil {
				configure(cfg)
			}
		})
		site.awaitOwner(formerHost)
		time.Sleep(time.Second)
		site.submit("lasting", newLongRunningStep(n))
		site.await("the start of all tasks", 5*time.Second, func() bool { return site.runningTasks("lasting") == n })
		if got := site.workerOf(heatherhub.StepTask{Job: "lasting"}).entry.ID; got != busyID {
			t.Fatalf("got the first task on worker %s, want it on %s", got, busyID)
		}
		time.Sleep(time.Second)
		return site
	}
	runTestOn(t, create, run)
}

// startConfiguredHost is startHost with a function that changes the configuration.
func (site *simSite) startConfiguredHost(id heatherhub.HostID, configure func(*owner.Config)) {
	var tables queues.Current
	tables.Offer(&queues.Table{Version: 1, Queues: []queues.Queue{{ID: testQueue, QueuePolicy: heatherhub.QueuePolicy{Pool: testPool, MaxAttempts: 3, Stretch: 2}}}})
	cfg := owner.Config{
		Self: id, Domain: onlyDomain, Address: string(id), Store: &hostStore{fakeStore: site.store, site: site, host: id},
		Dial: func(worker heatherhub.WorkerID, _ string) agent.Agent {
			return &hostAgent{site: site, host: id, worker: worker}
		},
		WorkerPrefix: workerPrefix, DecodeWorker: decodeWorker, Tables: &tables,
		Clock: testClock{start: time.Now()}, Log: zap.NewNop(),
	}
	configure(&cfg)
	h := owner.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	site.mu.Lock()
	site.dead[id], site.cancelHosts[id], site.hosts[id] = false, cancel, h
	site.mu.Unlock()
	site.tasks.Go(func() { h.Run(ctx) })
}

// startPlainHost starts a host without faults of its own.
func (site *simSite) startPlainHost(id heatherhub.HostID) {
	site.startConfiguredHost(id, func(*owner.Config) {})
}

// awaitOwner waits until a host owns the shard.
func (site *simSite) awaitOwner(id heatherhub.HostID) {
	site.t.Helper()
	site.await("ownership of "+string(id), 6*time.Second, func() bool { return site.currentOwner() == id })
}

// hangingAgent lets the polls of a worker hang for hangTime, without effect, once isHanging is
// set. Answers that arrive then are lost as well.
type hangingAgent struct {
	agent.Agent
	isHanging *atomic.Bool
}

// hangTime is longer than a successor assumes of any call.
const hangTime = 5 * time.Second

func (a *hangingAgent) Poll(ctx context.Context, p agent.Poll) (agent.Report, error) {
	if !a.isHanging.Load() {
		if r, err := a.Agent.Poll(ctx, p); !a.isHanging.Load() {
			return r, err
		}
	}
	ledger.Sleep(ctx, hangTime)
	return agent.Report{}, heatherhub.ErrUnknown.New("no answer from the worker")
}

// TestHangingPollsKeepAuthority guards against an owner that counts a worker as reached because
// its last poll was answered, while the current one has hung for seconds.
func TestHangingPollsKeepAuthority(t *testing.T) {
	var isHanging atomic.Bool
	hang := func(cfg *owner.Config) {
		dial := cfg.Dial
		cfg.Dial = func(id heatherhub.WorkerID, address string) agent.Agent {
			if id == busyID {
				return dial(id, address)
			}
			return &hangingAgent{Agent: dial(id, address), isHanging: &isHanging}
		}
	}
	testOwnedSite(t, 4, hang, func(site *simSite) {
		site.startPlainHost(nextHost)
		site.setPartitioned(string(nextHost), string(busyID), true)
		time.Sleep(time.Second)
		site.setPartitioned(string(formerHost), storeName, true)
		time.Sleep(1200 * time.Millisecond)
		isHanging.Store(true)
		time.Sleep(settleTime)
	})
}

// meteredAgent takes callTime more for each call and counts the polls that renew no lease.
type meteredAgent struct {
	agent.Agent
	callTime     time.Duration
	withoutLease *atomic.Int64
}

func (a *meteredAgent) Poll(ctx context.Context, p agent.Poll) (agent.Report, error) {
	if p.LeaseUntil == 0 {
		a.withoutLease.Add(1)
	}
	ledger.Sleep(ctx, a.callTime)
	return a.Agent.Poll(ctx, p)
}

// TestOwnerReachingAllWorkersLosesAuthority guards against an owner that stops renewing while
// the store is silent although all workers answer it, slowly and with ended runs that cannot be
// made durable.
func TestOwnerReachingAllWorkersLosesAuthority(t *testing.T) {
	var withoutLease atomic.Int64
	meter := func(cfg *owner.Config) {
		dial := cfg.Dial
		cfg.Dial = func(id heatherhub.WorkerID, address string) agent.Agent {
			return &meteredAgent{Agent: dial(id, address), callTime: 300 * time.Millisecond, withoutLease: &withoutLease}
		}
	}
	testOwnedSite(t, 4, meter, func(site *simSite) {
		site.submit("short", newStep(8, 3*time.Second))
		site.await("its start", 3*time.Second, func() bool { return site.runningTasks("short") == 8 })
		withoutLease.Store(0)
		before := site.totalStarts()
		site.setPartitioned(string(formerHost), storeName, true)
		time.Sleep(9 * time.Second)
		if got := withoutLease.Load(); got != 0 {
			t.Errorf("got %d polls without a lease, want none", got)
		}
		if got := site.runningTasks("lasting"); got != 4 {
			t.Errorf("got %d long-running tasks after the outage, want 4", got)
		}
		if got := site.totalStarts(); got != before {
			t.Errorf("got %d starts in the outage, want none", got-before)
		}
	})
}
