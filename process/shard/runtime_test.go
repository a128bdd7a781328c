package shard_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard"
	"heatherhub.example/heatherhub/process/shard/core"
	"heatherhub.example/heatherhub/process/standin/model"
	"heatherhub.example/heatherhub/request/route"
)

const domain heatherhub.FailureDomain = "gent"

// platform implements the worker controller and the host list with models of workers.
type platform struct {
	clock  clockwork.Clock
	models map[heatherhub.WorkerID]*model.Worker
}

func (p *platform) Start(_ context.Context, id heatherhub.WorkerID, c worker.StartCommand) error {
	return p.models[id].Start(p.clock.Now(), c)
}

func (p *platform) Renew(_ context.Context, id heatherhub.WorkerID, c worker.RenewCommand) (worker.Report, error) {
	return p.models[id].Renew(p.clock.Now(), c)
}

func (p *platform) Checkpoint(_ context.Context, id heatherhub.WorkerID, t heatherhub.TaskID) (heatherhub.CheckpointRef, error) {
	return p.models[id].Checkpoint(p.clock.Now(), t)
}

func (p *platform) Throttle(_ context.Context, id heatherhub.WorkerID, t heatherhub.TaskID, share heatherhub.Percent) error {
	return p.models[id].Throttle(p.clock.Now(), t, share)
}

func (p *platform) Stop(_ context.Context, id heatherhub.WorkerID, t heatherhub.TaskID) error {
	return p.models[id].Stop(p.clock.Now(), t)
}

// Hosts lists the workers and two entry hosts.
func (p *platform) Hosts(context.Context) ([]hostlist.Host, error) {
	hosts := []hostlist.Host{
		{ID: "e1", Role: hostlist.RoleEntry, Domain: domain, State: hostlist.StateLive},
		{ID: "e2", Role: hostlist.RoleEntry, Domain: domain, State: hostlist.StateLive},
	}
	for i := range len(p.models) {
		hosts = append(hosts, p.models[workerID(i)].Host())
	}
	return hosts, nil
}

func workerID(i int) heatherhub.WorkerID { return heatherhub.WorkerID(fmt.Sprintf("w%d", i)) }

// network carries heartbeats between the runtimes of a site and counts them.
type network struct {
	mu       sync.Mutex
	runtimes map[heatherhub.HostID]*shard.Runtime
	// bytes is the size of all heartbeats.
	bytes      int
	heartbeats int
}

// networkPeer is the peer.Caller of one host. It fails if either host has stopped.
type networkPeer struct {
	*network
	id heatherhub.HostID
}

func (n *network) heartbeatCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heartbeats
}

// find returns the runtime of a host, or nil if the host has stopped.
func (n *network) find(id heatherhub.HostID) *shard.Runtime {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runtimes[id]
}

func (p networkPeer) Call(_ context.Context, to heatherhub.HostID, _ peer.Method, body []byte) ([]byte, error) {
	rt := p.find(to)
	if rt == nil || p.find(p.id) == nil {
		return nil, heatherhub.ErrUnavailable.New("host %s cannot be reached", to)
	}
	var b shard.Heartbeat
	if err := msgpack.Unmarshal(body, &b); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.heartbeats++
	p.bytes += len(body)
	p.mu.Unlock()
	return msgpack.Marshal(rt.ReceiveHeartbeat(p.id, b))
}

// site has four workers, a store in memory and a fake clock.
type site struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	store    *memory.Store
	platform *platform
	network  *network
	group    conc.WaitGroup
}

func newSite(t *testing.T) *site {
	t.Helper()
	clock := clockwork.NewFakeClock()
	s := &site{t: t, clock: clock, store: memory.New(memory.Config{Clock: clock})}
	s.network = &network{runtimes: make(map[heatherhub.HostID]*shard.Runtime)}
	t.Cleanup(s.group.Wait)
	s.platform = &platform{clock: clock, models: make(map[heatherhub.WorkerID]*model.Worker)}
	for i := range 4 {
		s.platform.models[workerID(i)] = model.New(model.Config{Seed: 1, Host: hostlist.Host{
			ID: string(workerID(i)), Role: hostlist.RoleWorker, Domain: domain, State: hostlist.StateLive,
			Capacity: heatherhub.Resources{CPU: 8000, Memory: 8000}, Slots: 8, Connections: 60,
		}})
	}
	return s
}

// snapshot returns a configuration with a service of 3 replicas and a batch workload.
func snapshot() *heatherhub.Snapshot {
	size := heatherhub.Resources{CPU: 1000, Memory: 1000}
	return &heatherhub.Snapshot{
		Version: 1, InForce: "day",
		Teams: []heatherhub.Team{{ID: "a", Quota: heatherhub.Resources{CPU: 1e6, Memory: 1e6}}},
		Workloads: []heatherhub.Workload{
			{ID: "push", Kind: heatherhub.KindService, Team: "a", Size: size, Deadline: time.Second, Concurrency: 4},
			{ID: "letter", Kind: heatherhub.KindBatch, Team: "a", Size: size, RunTime: 4 * time.Second},
		},
		Presets: []heatherhub.Preset{{
			ID: "day", BatchShare: 100, Services: []heatherhub.ServiceSetting{{Workload: "push", Replicas: 3}},
		}},
	}
}

// start runs a runtime until the test ends or the returned function is called.
func (s *site) start(id heatherhub.HostID, shards int) (*shard.Runtime, context.CancelFunc) {
	rt := shard.NewRuntime(shard.Config{
		Self: id, Domain: domain, Layout: shard.Layout{Shards: map[heatherhub.FailureDomain]int{domain: shards}},
		Store: s.store, Hosts: s.platform, Workers: s.platform, Clock: s.clock, Snapshot: snapshot,
		NewScheduler: func() placement.Scheduler { return placement.New(placement.Config{}) },
		Peers:        networkPeer{s.network, id},
	})
	s.network.mu.Lock()
	s.network.runtimes[id] = rt
	s.network.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	s.group.Go(func() {
		if err := rt.Run(ctx); err != nil {
			s.t.Errorf("%s: %v", id, err)
		}
	})
	s.t.Cleanup(cancel)
	return rt, func() {
		s.network.mu.Lock()
		delete(s.network.runtimes, id)
		s.network.mu.Unlock()
		cancel()
	}
}

// until advances the clock until a condition holds. The short real sleeps let the
// goroutines of the runtimes run.
func (s *site) until(what string, f func() bool) {
	s.t.Helper()
	const maxTicks = 4000
	for range maxTicks {
		if f() {
			return
		}
		s.clock.Advance(20 * time.Millisecond)
		time.Sleep(200 * time.Microsecond)
	}
	s.t.Fatalf("got no %s after %d ticks, want it", what, maxTicks)
}

// advanceDuring runs a request and advances the clock until it returns.
func advanceDuring[T any](s *site, f func() (T, error)) (T, error) {
	s.t.Helper()
	var out T
	var err error
	done := make(chan struct{})
	s.group.Go(func() {
		out, err = f()
		close(done)
	})
	s.until("answer", func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	})
	return out, err
}

// TestRuntimeRunsJobsAndServices runs a job and a service on one host, from the
// acquisition of the shards to the end of the job.
func TestRuntimeRunsJobsAndServices(t *testing.T) {
	s := newSite(t)
	rt, _ := s.start("e1", 2)
	s.until("ownership", func() bool { return len(rt.Owned()) == 2 })
	s.until("replicas", func() bool { return len(rt.Replicas("push")) == 3 })
	ctx := context.Background()
	job, err := advanceDuring(s, func() (heatherhub.Job, error) {
		return rt.AddJob(ctx, heatherhub.Job{ID: "j1", Workload: "letter", Tasks: 3, State: heatherhub.JobQueued})
	})
	if err != nil || job.State != heatherhub.JobQueued {
		t.Fatalf("got job %v and error %v, want it queued", job, err)
	}
	s.until("end of the job", func() bool { return rt.Jobs()[0].Job.State == heatherhub.JobDone })
	job, err = advanceDuring(s, func() (heatherhub.Job, error) { return rt.CancelJob(ctx, "j1") })
	if err != nil || job.State != heatherhub.JobDone {
		t.Errorf("cancel of a done job: got %v and error %v, want it done", job, err)
	}
	if _, err = rt.CancelJob(ctx, "missing"); heatherhub.CodeOf(err) != heatherhub.CodeNotFound {
		t.Errorf("cancel of an unknown job: got %v, want not found", err)
	}
}

// TestKeyIsGrantedOnceAcrossHandover guards against a second run of an idempotency key
// at the next owner of its shard.
func TestKeyIsGrantedOnceAcrossHandover(t *testing.T) {
	s := newSite(t)
	first, stop := s.start("e1", 1)
	s.until("ownership", func() bool { return len(first.Owned()) == 1 })
	s.until("replicas", func() bool { return len(first.Replicas("push")) == 3 })
	shardID := first.KeyShard("push", "k")
	claim := func(rt *shard.Runtime) route.ClaimState {
		var c route.Claim
		s.until("claim", func() bool {
			var err error
			c, err = advanceDuring(s, func() (route.Claim, error) { return rt.Claim(context.Background(), shardID, "push", "k") })
			if err != nil && heatherhub.CodeOf(err) != heatherhub.CodeUnavailable {
				t.Fatal(err)
			}
			return err == nil
		})
		return c.State
	}
	if got, want := claim(first), route.ClaimGranted; got != want {
		t.Fatalf("first claim: got %s, want %s", got, want)
	}
	if got, want := claim(first), route.ClaimRunning; got != want {
		t.Errorf("claim while it runs: got %s, want %s", got, want)
	}
	first.Settle(shardID, "push", "k", worker.Answer{Status: 200, Body: []byte("sent")})
	second, _ := s.start("e2", 1)
	_, err := advanceDuring(s, func() (bool, error) { return true, first.Drain(context.Background()) })
	if err != nil {
		t.Fatal(err)
	}
	stop()
	s.until("takeover", func() bool { return len(second.Owned()) == 1 && len(second.Replicas("push")) == 3 })
	if got, want := claim(second), route.ClaimAnswered; got != want {
		t.Errorf("claim at the next owner: got %s, want %s", got, want)
	}
}

// TestRuntimeTakesOverFromStoppedHost guards against jobs and replicas that are lost, or
// tasks that run twice, when a host stops without handing over its shards.
func TestRuntimeTakesOverFromStoppedHost(t *testing.T) {
	s := newSite(t)
	first, kill := s.start("e1", 2)
	s.until("ownership", func() bool { return len(first.Owned()) == 2 })
	second, _ := s.start("e2", 2)
	s.until("heartbeats", func() bool { return s.network.heartbeatCount() > 20 })
	s.until("replicas", func() bool { return len(first.Replicas("push"))+len(second.Replicas("push")) == 3 })
	job := heatherhub.Job{ID: "kept", Workload: "letter", Tasks: 4, State: heatherhub.JobQueued}
	owner, ok := first.Owner(first.JobShard(job.ID))
	if !ok {
		t.Fatal("got no owner of the job's shard, want one")
	}
	rt := map[heatherhub.HostID]*shard.Runtime{"e1": first, "e2": second}[owner]
	if _, err := advanceDuring(s, func() (heatherhub.Job, error) { return rt.AddJob(context.Background(), job) }); err != nil {
		t.Fatal(err)
	}
	kill()
	if _, err := first.AddJob(context.Background(), heatherhub.Job{ID: "late", Workload: "letter", Tasks: 1}); err == nil {
		t.Error("add a job at a stopped host: got no error, want one")
	}
	s.until("takeover", func() bool { return len(second.Owned()) == 2 })
	s.until("end of the job", func() bool {
		for _, j := range second.Jobs() {
			if j.Job.ID == job.ID && j.Job.State == heatherhub.JobDone {
				return true
			}
		}
		return false
	})
	s.until("replicas", func() bool { return len(second.Replicas("push")) == 3 })
	var ledgers []model.History
	for _, w := range s.platform.models {
		ledgers = append(ledgers, w.History())
	}
	r := model.Audit(ledgers)
	if !r.IsClean() {
		t.Errorf("got audit violations %+v, want none", r)
	}
	t.Logf("%d heartbeats of %d bytes on average", s.network.heartbeats, s.network.bytes/max(1, s.network.heartbeats))
}

// TestHeartbeatsReportRemoteOwners guards against a late heartbeat of another failure
// domain that replaces an owner with a higher epoch.
func TestHeartbeatsReportRemoteOwners(t *testing.T) {
	rt := shard.NewRuntime(shard.Config{
		Self: "e1", Domain: domain, Layout: shard.Layout{Shards: map[heatherhub.FailureDomain]int{domain: 1, "leuven": 2}},
	})
	remote := heatherhub.ShardID{Domain: "leuven", Index: 1}
	if got, ok := rt.Owner(remote); ok {
		t.Errorf("before a heartbeat: got owner %s, want none", got)
	}
	tests := []struct {
		epoch heatherhub.Epoch
		owner heatherhub.HostID
		want  heatherhub.HostID
	}{
		{2, "l1", "l1"},
		{3, "l2", "l2"},
		{2, "l1", "l2"}, // a late heartbeat
	}
	for _, tt := range tests {
		rt.ReceiveHeartbeat("l9", shard.Heartbeat{Domain: "leuven", HeldShards: []shard.HeldShard{{Index: 1, Epoch: tt.epoch, Owner: tt.owner}}})
		if got, _ := rt.Owner(remote); got != tt.want {
			t.Errorf("after epoch %d of %s: got owner %s, want %s", tt.epoch, tt.owner, got, tt.want)
		}
	}
}

// TestHeartbeatEchoesThatOfThePeer guards against heartbeats whose age a peer cannot tell.
func TestHeartbeatEchoesThatOfThePeer(t *testing.T) {
	rt := shard.NewRuntime(shard.Config{
		Self: "e1", Domain: domain, Layout: shard.Layout{Shards: map[heatherhub.FailureDomain]int{domain: 1}},
	})
	first := rt.ReceiveHeartbeat("e2", shard.Heartbeat{Domain: domain, Stamp: 7})
	if got, want := first.Echo, core.Stamp(7); got != want {
		t.Errorf("got stamp %d echoed, want %d", got, want)
	}
	if second := rt.Heartbeat("e2"); second.Stamp <= first.Stamp {
		t.Errorf("got stamp %d after %d, want a higher one", second.Stamp, first.Stamp)
	}
}

// TestRuntimeRejectsDifferentLayout guards against hosts that assign workers, jobs and
// keys to different shards.
func TestRuntimeRejectsDifferentLayout(t *testing.T) {
	s := newSite(t)
	rt, _ := s.start("e1", 2)
	s.until("ownership", func() bool { return len(rt.Owned()) == 2 })
	different := shard.NewRuntime(shard.Config{
		Self: "e2", Domain: domain, Store: s.store, Hosts: s.platform, Workers: s.platform, Clock: s.clock,
		Layout: shard.Layout{Shards: map[heatherhub.FailureDomain]int{domain: 3}},
	})
	if got, want := heatherhub.CodeOf(different.Run(context.Background())), heatherhub.CodeInvalid; got != want {
		t.Errorf("start with a different layout: got %q, want %q", got, want)
	}
}
