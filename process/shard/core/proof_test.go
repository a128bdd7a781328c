package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/core"
)

// shortSessionTTL is that of the random episodes.
const shortSessionTTL = 8 * time.Second

// newProofSimulation returns a simulation without operators that has run until shard 0 has an
// owner, and that owner.
func newProofSimulation(t *testing.T, unsafe core.Unsafe, sessionTTL, settle time.Duration) (*simulation, *simHost) {
	t.Helper()
	cfg := defaultSim(31)
	cfg.withoutOperators, cfg.unsafe, cfg.sessionTTL = true, unsafe, sessionTTL
	cfg.scheduler = newFirstFit(0)
	sim := newSimulation(cfg)
	sim.run(settle)
	return sim, sim.ownerOf(t, heatherhub.ShardID{Domain: simDomain, Index: 0})
}

// runUnlistedSplit cuts the owner and half of the workers off, and drops these workers from the
// list.
func runUnlistedSplit(t *testing.T, unsafe core.Unsafe) *simulation {
	t.Helper()
	const duration = 50 * time.Second
	sim, owner := newProofSimulation(t, unsafe, shortSessionTTL, 20*time.Second)
	sim.split(owner, duration)
	for _, wk := range sim.workers {
		if !sim.isCut(string(owner.id), string(wk.id)) {
			sim.unlist(string(wk.id), duration)
		}
	}
	sim.run(duration + 10*time.Second)
	return sim
}

// runReplacementInSplit cuts the owner and half of the workers off, drops the owner from the list
// and restarts all other hosts.
func runReplacementInSplit(t *testing.T, unsafe core.Unsafe) *simulation {
	t.Helper()
	const duration = 80 * time.Second
	sim, owner := newProofSimulation(t, unsafe, shortSessionTTL, 20*time.Second)
	sim.split(owner, duration)
	sim.unlist(string(owner.id), duration)
	sim.run(5 * time.Second)
	for _, h := range sim.hosts {
		if h != owner {
			sim.killHost(h, time.Second)
		}
	}
	sim.run(duration)
	return sim
}

// runPauseOfOwner pauses the owner 21 s after a worker fell silent to it, and cuts it off from its
// peers during the pause.
func runPauseOfOwner(t *testing.T, unsafe core.Unsafe, offset time.Duration) *simulation {
	t.Helper()
	sim, owner := newProofSimulation(t, unsafe, core.DefaultSessionTTL, 20*time.Second+offset)
	silent := owner.node.Replicas(sim.now, "compile")[0].Worker
	sim.mutedUntil[cutKey(string(owner.id), string(silent))] = sim.now.Add(5 * time.Minute)
	sim.run(21 * time.Second)
	owner.pausedUntil = sim.now.Add(7 * time.Second)
	sim.run(4 * time.Second)
	for _, h := range sim.hosts {
		sim.cutUntil[cutKey(string(owner.id), string(h.id))] = sim.now.Add(30 * time.Second)
	}
	sim.run(30 * time.Second)
	return sim
}

// checkProof checks that a scenario breaks nothing, and that it does without its safeguard.
func checkProof(t *testing.T, planted core.Unsafe, run func(core.Unsafe) *simulation) {
	t.Helper()
	sim := run(core.Unsafe{})
	sim.checkNoViolations(t)
	sim.heal()
	sim.converge(t, 4*time.Minute)
	if got := run(planted); len(got.violations) == 0 {
		t.Errorf("got no violation without the safeguard, want one")
	}
}

// TestSuccessorKnowsUnlistedWorkers guards against a second run of the tasks of a living worker
// that the platform's list lacks when a successor takes over, while the former owner renews
// them.
func TestSuccessorKnowsUnlistedWorkers(t *testing.T) {
	checkProof(t, core.Unsafe{IgnoreRecordedWorkers: true}, func(u core.Unsafe) *simulation { return runUnlistedSplit(t, u) })
}

// TestNewProcessWaitsForUnheardHolders guards against a second run of tasks that a host renews of
// which the successor's process, started after the cut, has never heard.
func TestNewProcessWaitsForUnheardHolders(t *testing.T) {
	checkProof(t, core.Unsafe{TrustKnownPeers: true}, func(u core.Unsafe) *simulation { return runReplacementInSplit(t, u) })
}

// TestWokenOwnerDistrustsBufferedHeartbeats guards against a second run of tasks that a peer began
// to renew while the owner was paused, which then reads heartbeats from before that.
func TestWokenOwnerDistrustsBufferedHeartbeats(t *testing.T) {
	for offset := range 20 {
		sim := runPauseOfOwner(t, core.Unsafe{}, time.Duration(offset)*150*time.Millisecond)
		if len(sim.violations) > 0 {
			t.Errorf("offset %d: %s", offset, sim.violations[0])
		}
	}
	checkProof(t, core.Unsafe{TrustArrival: true}, func(u core.Unsafe) *simulation { return runPauseOfOwner(t, u, 0) })
}

// TestUnlistedWorkerIsNotQuarantined guards against living workers that get no work for minutes
// after the platform's list lacked them, because their owner held starts back.
func TestUnlistedWorkerIsNotQuarantined(t *testing.T) {
	cfg := defaultSim(31)
	cfg.withoutOperators = true
	cfg.scheduler = func(*simulation) placement.Scheduler { return placement.New(placement.Config{}) }
	sim := newSimulation(cfg)
	sim.run(20 * time.Second)
	s := heatherhub.ShardID{Domain: simDomain, Index: 0}
	ids := jobsInShard(sim, s, 8)
	for _, wk := range sim.workers {
		sim.unlist(string(wk.id), 40*time.Second)
	}
	for i := range 8 {
		if err := sim.addJobAtOwner(t, ids[i], 1); err != nil {
			t.Fatal(err)
		}
	}
	for _, w := range sim.ownerOf(t, s).node.Workers(sim.now) {
		if w.Quarantined {
			t.Errorf("got worker %s quarantined, want it open", w.Host.ID)
		}
	}
	sim.converge(t, 3*time.Minute)
}

// TestRestartedWorkerIsNotQuarantined guards against a worker that gets no work for minutes, since a
// former incarnation of it failed whatever it started.
func TestRestartedWorkerIsNotQuarantined(t *testing.T) {
	cfg := defaultSim(31)
	cfg.withoutOperators = true
	cfg.scheduler = func(*simulation) placement.Scheduler { return placement.New(placement.Config{}) }
	sim := newSimulation(cfg)
	sim.run(20 * time.Second)
	s := heatherhub.ShardID{Domain: simDomain, Index: 0}
	var bad *simWorker
	for _, wk := range sim.workers {
		if sim.layout.ShardOfWorker(simDomain, wk.id) == s {
			bad = wk
		}
	}
	bad.model.SetFailTasks(true)
	isQuarantined := func() bool {
		for _, w := range sim.ownerOf(t, s).node.Workers(sim.now) {
			if w.Host.ID == string(bad.id) {
				return w.Quarantined
			}
		}
		return false
	}
	ids := jobsInShard(sim, s, 40)
	for i := 0; i < len(ids) && !isQuarantined(); i++ {
		if err := sim.addJobAtOwner(t, ids[i], 8); err != nil {
			t.Fatal(err)
		}
	}
	if !isQuarantined() {
		t.Fatal("got no quarantine of a worker that fails everything, want one")
	}
	bad.model.SetFailTasks(false)
	bad.model.Kill(sim.now)
	bad.model.Revive(sim.now)
	sim.run(2 * worker.RenewInterval)
	if isQuarantined() {
		t.Errorf("got worker %s quarantined after it has started again, want it open", bad.id)
	}
	sim.converge(t, 5*time.Minute)
}

// jobsInShard returns the ids of n jobs of a shard.
func jobsInShard(sim *simulation, s heatherhub.ShardID, n int) []heatherhub.JobID {
	var ids []heatherhub.JobID
	for i := 0; len(ids) < n; i++ {
		if id := heatherhub.JobID(fmt.Sprintf("job-%d", i)); sim.layout.ShardOfJob(id) == s {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestReplicaIsRoutedToByOneHost guards against a replica whose slots two hosts count, because the
// successor reaches its worker only after it has waited for the former owner to meet its epoch.
func TestReplicaIsRoutedToByOneHost(t *testing.T) {
	sim, owner := newProofSimulation(t, core.Unsafe{}, shortSessionTTL, 20*time.Second)
	sim.split(owner, 70*time.Second)
	sim.run(45 * time.Second)
	for _, h := range sim.hosts {
		for _, wk := range sim.workers {
			if h != owner {
				delete(sim.cutUntil, cutKey(string(h.id), string(wk.id)))
			}
		}
	}
	for range 200 {
		sim.run(tickInterval)
		routes := make(map[heatherhub.TaskID]heatherhub.HostID)
		for _, h := range sim.hosts {
			for _, r := range h.node.Replicas(sim.now, "compile") {
				if r.Draining {
					continue
				}
				if other, ok := routes[r.Task]; ok {
					t.Fatalf("%s: got %s routed to by %s and %s, want one host", sim.now.Sub(simStart), r.Task, other, h.id)
				}
				routes[r.Task] = h.id
			}
		}
	}
}

// TestHandoverWaitsForLateStarts guards against a second run of a task whose start by a dead owner
// arrives after its successor has handed the shard on.
func TestHandoverWaitsForLateStarts(t *testing.T) {
	for offset := range 14 {
		sim, owner := newProofSimulation(t, core.Unsafe{}, shortSessionTTL, 20*time.Second+time.Duration(offset)*tickInterval)
		s := heatherhub.ShardID{Domain: simDomain, Index: 0}
		job := heatherhub.Job{ID: jobInShard(sim, s), Workload: "letter", Tasks: 1, State: heatherhub.JobQueued}
		sim.startDelay = worker.TaskLease - 200*time.Millisecond
		sim.handleOutput(owner, owner.node.AddJob(sim.now, owner.node.NewTicket(), job))
		sim.run(time.Second)
		sim.startDelay = 0
		sim.killHost(owner, time.Second)
		var successor *simHost
		for range 200 {
			sim.run(tickInterval)
			for _, h := range sim.hosts {
				if successor == nil && !h.dead && slices.Contains(h.node.Owned(), s) {
					successor = h
					h.leaving = true
					h.node.Drain()
				}
			}
		}
		if len(sim.violations) > 0 {
			t.Errorf("offset %d: %s", offset, sim.violations[0])
		}
	}
}

// TestReplicaOfAnUnlistedHolderRunsOnce guards against a second replica of a service whose holder is
// cut off, missing from the platform's list, and silent for longer than a peer is waited for.
func TestReplicaOfAnUnlistedHolderRunsOnce(t *testing.T) {
	const d = 200 * time.Second
	sim, owner := newProofSimulation(t, core.Unsafe{}, shortSessionTTL, 20*time.Second)
	sim.split(owner, d)
	sim.unlist(string(owner.id), d)
	sim.run(d + 10*time.Second)
	sim.checkNoViolations(t)
}
