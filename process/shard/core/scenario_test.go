package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/shard/core"
	"heatherhub.example/heatherhub/process/standin/model"
	"heatherhub.example/heatherhub/request/route"
)

// newSettledSimulation returns a simulation without operators that has run until all
// replicas are up.
func newSettledSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	cfg := defaultSim(seed)
	cfg.withoutOperators = true
	cfg.scheduler = newFirstFit(0)
	sim := newSimulation(cfg)
	sim.run(20 * time.Second)
	if got, want := sim.replicas(), cfg.serviceReplicas; got != want {
		t.Fatalf("got %d replicas before the fault, want %d", got, want)
	}
	return sim
}

// runs returns all runs of tasks that the workers recorded.
func (sim *simulation) runs() []model.Run {
	var runs []model.Run
	for _, wk := range sim.workers {
		wk.model.Advance(sim.now)
		runs = append(runs, wk.model.History().Runs...)
	}
	return runs
}

// replicas returns the number of service tasks that run now.
func (sim *simulation) replicas() int {
	n := 0
	for _, r := range sim.runs() {
		if r.Workload == "compile" && r.To.IsZero() {
			n++
		}
	}
	return n
}

// ownerOf returns the live owner of a shard. It fails the test if there is none.
func (sim *simulation) ownerOf(t *testing.T, s heatherhub.ShardID) *simHost {
	t.Helper()
	for _, h := range sim.hosts {
		for _, o := range h.node.Owned() {
			if o == s && !h.dead {
				return h
			}
		}
	}
	t.Fatalf("shard %s has no owner", s)
	return nil
}

// addJobAtOwner adds a job at the owner of its shard, waits 5 s and returns the error of
// the reply.
func (sim *simulation) addJobAtOwner(t *testing.T, id heatherhub.JobID, tasks int) error {
	t.Helper()
	s := sim.layout.ShardOfJob(id)
	h := sim.ownerOf(t, s)
	err := fmt.Errorf("no reply")
	ticket := h.node.NewTicket()
	h.tickets[ticket] = func(r core.Reply) { err = r.Err }
	job := heatherhub.Job{ID: id, Workload: "letter", Tasks: tasks, State: heatherhub.JobQueued}
	sim.handleOutput(h, h.node.AddJob(sim.now, ticket, job))
	sim.run(5 * time.Second)
	if err == nil {
		sim.requests.accepted[id] = true
	}
	return err
}

// claimAtOwner claims a key at the owner of its shard, waits 5 s and returns the error of
// the reply.
func (sim *simulation) claimAtOwner(t *testing.T, key heatherhub.IdempotencyKey) error {
	t.Helper()
	s := sim.layout.ShardOfKey("compile", key)
	h := sim.ownerOf(t, s)
	err := fmt.Errorf("no reply")
	ticket := h.node.NewTicket()
	h.tickets[ticket] = func(r core.Reply) { err = r.Err }
	sim.handleOutput(h, h.node.Claim(sim.now, ticket, s, core.Key{Workload: "compile", Key: key}))
	sim.run(5 * time.Second)
	return err
}

// converge runs until the simulation has converged. It fails the test after limit or at
// a violation.
func (sim *simulation) converge(t *testing.T, limit time.Duration) {
	t.Helper()
	for end := sim.now.Add(limit); sim.unfinished() != ""; {
		if sim.now.After(end) {
			t.Fatalf("got %q after %s, want convergence", sim.unfinished(), limit)
		}
		sim.run(time.Second)
		sim.checkNoViolations(t)
	}
}

func (sim *simulation) checkNoViolations(t *testing.T) {
	t.Helper()
	if len(sim.violations) > 0 {
		t.Fatal(sim.violations[0])
	}
}

// TestOneHourOutage checks that replicas run on and stay reachable while the store is
// down, that new work is refused, and that it is accepted 20 s after the outage.
func TestOneHourOutage(t *testing.T) {
	sim := newSettledSimulation(t, 1)
	sim.storeDownUntil = sim.now.Add(time.Hour)
	sim.run(time.Minute)
	if got, want := heatherhub.DidNotRun(sim.addJobAtOwner(t, "refused", 1)), true; got != want {
		t.Errorf("job during the outage: got refused %v, want %v", got, want)
	}
	if got, want := heatherhub.CodeOf(sim.claimAtOwner(t, "key")), heatherhub.CodeUnavailable; got != want {
		t.Errorf("claim during the outage: got %q, want %q, which proves that nothing ran", got, want)
	}
	for end := sim.storeDownUntil.Add(20 * time.Second); sim.now.Before(end); {
		sim.run(5 * time.Second)
		if got, want := sim.replicas(), 3; got != want {
			t.Fatalf("got %d replicas at %s, want %d", got, sim.now.Sub(simStart), want)
		}
		served := 0
		for _, h := range sim.hosts {
			served += len(h.node.Replicas(sim.now, "compile"))
		}
		if got, want := served, 3; got != want {
			t.Fatalf("got %d replicas that requests can reach at %s, want %d", got, sim.now.Sub(simStart), want)
		}
	}
	if err := sim.addJobAtOwner(t, "after", 1); err != nil {
		t.Errorf("job 20 s after the outage: got %v, want it accepted", err)
	}
	sim.converge(t, 2*time.Minute)
	for _, r := range sim.runs() {
		if r.Workload == "compile" && !r.To.IsZero() {
			t.Errorf("replica %s ended at %s, want it to run on", r.Task, r.To.Sub(simStart))
		}
	}
}

// TestStoreRecoveryIsNotOverloaded checks that hosts spread their retries, so that the
// store gets few calls in the first second after an outage.
func TestStoreRecoveryIsNotOverloaded(t *testing.T) {
	sim := newSettledSimulation(t, 9)
	sim.storeDownUntil = sim.now.Add(10 * time.Minute)
	sim.run(10 * time.Minute)
	before := sim.store.Counts().Total()
	sim.run(time.Second)
	const perSecond = 100
	if got := sim.store.Counts().Total() - before; got > perSecond {
		t.Errorf("got %d calls in the first second after the outage, want at most %d", got, perSecond)
	}
	sim.run(9 * time.Second)
	if err := sim.addJobAtOwner(t, "after", 1); err != nil {
		t.Errorf("job 10 s after the outage: got %v, want it accepted", err)
	}
	sim.converge(t, time.Minute)
}

// TestOwnerDiesDuringOutage checks that another host renews the replicas of an owner
// that dies while no shard can be claimed in the store.
func TestOwnerDiesDuringOutage(t *testing.T) {
	sim := newSettledSimulation(t, 2)
	s := heatherhub.ShardID{Domain: simDomain, Index: 0}
	if err := sim.addJobAtOwner(t, jobInShard(sim, s), 2); err != nil {
		t.Fatal(err)
	}
	sim.storeDownUntil = sim.now.Add(time.Minute)
	sim.run(12 * time.Second)
	sim.killHost(sim.ownerOf(t, s), time.Hour)
	for range 48 {
		sim.run(time.Second)
		if got, want := sim.replicas(), 3; got != want {
			t.Fatalf("got %d replicas at %s, want %d", got, sim.now.Sub(simStart), want)
		}
	}
	recovered := sim.now
	sim.converge(t, 2*time.Minute)
	t.Logf("all shards owned and all jobs finished %s after the store recovered", sim.now.Sub(recovered))
	if got, want := sim.replicas(), 3; got != want {
		t.Errorf("got %d replicas after the outage, want %d", got, want)
	}
}

// jobInShard returns the id of a job that belongs to a shard.
func jobInShard(sim *simulation, s heatherhub.ShardID) heatherhub.JobID {
	for i := 0; ; i++ {
		if id := heatherhub.JobID(fmt.Sprintf("long-%d", i)); sim.layout.ShardOfJob(id) == s {
			return id
		}
	}
}

// TestTakeoverTime bounds the times until a dead owner's shard has a new owner and until
// that owner starts tasks, which must not be before the task leases have ended.
func TestTakeoverTime(t *testing.T) {
	sim := newSettledSimulation(t, 3)
	s := heatherhub.ShardID{Domain: simDomain, Index: 0}
	died := sim.now
	sim.killHost(sim.ownerOf(t, s), time.Hour)
	owned, served := time.Duration(0), time.Duration(0)
	for served == 0 || owned == 0 {
		sim.run(tickInterval)
		for _, h := range sim.hosts {
			for _, o := range h.node.Owned() {
				if o == s && !h.dead && owned == 0 {
					owned = sim.now.Sub(died)
				}
			}
			if got := h.node.Replicas(sim.now, "compile"); !h.dead && served == 0 && hasShard(got, s) {
				served = sim.now.Sub(died)
			}
		}
	}
	if err := sim.addJobAtOwner(t, jobInShard(sim, s), 1); err != nil {
		t.Fatal(err)
	}
	for len(sim.runsOf("letter")) == 0 {
		sim.run(tickInterval)
		sim.checkNoViolations(t)
	}
	started := sim.runsOf("letter")[0].From.Sub(died)
	t.Logf("after the owner died: replicas reachable %s, shard owned %s, first start %s", served, owned, started)
	ttl := sim.cfg.sessionTTL
	if limit := ttl + 5*time.Second; owned > limit {
		t.Errorf("got a new owner after %s, want at most %s", owned, limit)
	}
	if limit := ttl + worker.TaskLease + 10*time.Second; started > limit {
		t.Errorf("got a start after %s, want at most %s", started, limit)
	}
	if minimum := worker.TaskLease; started < minimum {
		t.Errorf("got a start after %s, want none before the task leases end after %s", started, minimum)
	}
}

// TestHandoverNeedsNoLeaseWait checks that the successor of a drained owner starts tasks
// without waiting for the task leases to end.
func TestHandoverNeedsNoLeaseWait(t *testing.T) {
	sim := newSettledSimulation(t, 4)
	s := heatherhub.ShardID{Domain: simDomain, Index: 0}
	h := sim.ownerOf(t, s)
	h.node.Drain()
	began := sim.now
	for len(h.node.Owned()) > 0 {
		sim.run(tickInterval)
	}
	released := sim.now.Sub(began)
	for !sim.isOwned(s) {
		sim.run(tickInterval)
	}
	sim.run(time.Second)
	if err := sim.addJobAtOwner(t, jobInShard(sim, s), 1); err != nil {
		t.Fatal(err)
	}
	for len(sim.runsOf("letter")) == 0 && sim.now.Sub(began) < time.Minute {
		sim.run(tickInterval)
	}
	started := sim.runsOf("letter")[0].From.Sub(began)
	t.Logf("planned handover: released after %s, first start after %s", released, started)
	if limit := worker.TaskLease; started > limit {
		t.Errorf("got a start after %s, want at most %s", started, limit)
	}
	if got, want := sim.replicas(), 3; got != want {
		t.Errorf("got %d replicas, want %d", got, want)
	}
}

func (sim *simulation) isOwned(s heatherhub.ShardID) bool {
	for _, h := range sim.hosts {
		if !h.dead && slices.Contains(h.node.Owned(), s) {
			return true
		}
	}
	return false
}

func (sim *simulation) runsOf(id heatherhub.WorkloadID) []model.Run {
	var runs []model.Run
	for _, r := range sim.runs() {
		if r.Workload == id {
			runs = append(runs, r)
		}
	}
	return runs
}

// TestEvictionInterruptedAtEveryStep kills the owner at several times after the start of
// an eviction, 15 ms apart, while a part of the answers is lost.
func TestEvictionInterruptedAtEveryStep(t *testing.T) {
	for step := range 8 {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			cfg := defaultSim(uint64(20 + step))
			cfg.withoutOperators = true
			cfg.scheduler = newFirstFit(4)
			sim := newSimulation(cfg)
			sim.run(20 * time.Second)
			s := heatherhub.ShardID{Domain: simDomain, Index: 0}
			id := jobInShard(sim, s)
			if err := sim.addJobAtOwner(t, id, 3); err != nil {
				t.Fatal(err)
			}
			h := sim.ownerOf(t, s)
			for sim.effects["eviction"] == 0 {
				sim.run(10 * time.Millisecond)
			}
			sim.answersLostUntil = sim.now.Add(time.Second)
			sim.run(time.Duration(step) * 15 * time.Millisecond)
			sim.killHost(h, time.Minute)
			sim.converge(t, 4*time.Minute)
			if got, want := finishedRuns(sim.runsOf("letter")), 3; got != want {
				t.Errorf("got %d finished runs, want %d", got, want)
			}
		})
	}
}

func finishedRuns(runs []model.Run) int {
	n := 0
	for _, r := range runs {
		if r.End == worker.TaskFinished {
			n++
		}
	}
	return n
}

func hasShard(list []route.Replica, s heatherhub.ShardID) bool {
	for _, r := range list {
		if r.Shard == s {
			return true
		}
	}
	return false
}

// TestSplitDomain cuts an owner and half of the workers off from the store and the other
// hosts, for shorter and for longer than the time after which a silent peer counts as
// gone.
func TestSplitDomain(t *testing.T) {
	for _, duration := range []time.Duration{30 * time.Second, 80 * time.Second, 200 * time.Second} {
		t.Run(duration.String(), func(t *testing.T) {
			cfg := defaultSim(31)
			cfg.scheduler = newFirstFit(0)
			sim := newSimulation(cfg)
			sim.run(20 * time.Second)
			s := heatherhub.ShardID{Domain: simDomain, Index: 0}
			owner := sim.ownerOf(t, s)
			sim.split(owner, duration)
			sim.run(duration + 10*time.Second)
			sim.cfg.withoutOperators = true
			sim.converge(t, 3*time.Minute)
		})
	}
}

// split cuts a host and every second worker off from the store and from all other hosts
// and workers.
func (sim *simulation) split(h *simHost, duration time.Duration) {
	end := sim.now.Add(duration)
	sim.cutUntil[cutKey(string(h.id), "store")] = end
	for _, o := range sim.hosts {
		sim.cutUntil[cutKey(string(h.id), string(o.id))] = end
	}
	for i, wk := range sim.workers {
		for _, o := range sim.hosts {
			if (i%2 == 0) != (o == h) {
				sim.cutUntil[cutKey(string(o.id), string(wk.id))] = end
			}
		}
	}
}

// TestOwnerRestartsDuringOutage checks that the replicas of an owner that restarts while
// the store is down are renewed, although the new process cannot reclaim its shards.
func TestOwnerRestartsDuringOutage(t *testing.T) {
	sim := newSettledSimulation(t, 5)
	sim.storeDownUntil = sim.now.Add(time.Minute)
	sim.run(15 * time.Second)
	sim.killHost(sim.ownerOf(t, heatherhub.ShardID{Domain: simDomain, Index: 0}), time.Second)
	for sim.now.Before(sim.storeDownUntil) {
		sim.run(time.Second)
		if got, want := sim.replicas(), 3; got != want {
			t.Fatalf("got %d replicas at %s, want %d", got, sim.now.Sub(simStart), want)
		}
	}
	sim.converge(t, time.Minute)
}

// TestFlappingHostGetsNoShards checks that shards do not move back to a host that keeps
// restarting.
func TestFlappingHostGetsNoShards(t *testing.T) {
	sim := newSettledSimulation(t, 6)
	s := heatherhub.ShardID{Domain: simDomain, Index: 0}
	h := sim.ownerOf(t, s)
	for range 4 {
		sim.killHost(h, time.Second)
		sim.run(15 * time.Second)
	}
	sim.run(10 * time.Second)
	if got, want := len(h.node.Owned()), 0; got != want {
		t.Errorf("got %d shards at a host that restarted four times, want %d", got, want)
	}
	if !sim.isOwned(s) {
		t.Error("got no owner of its shard, want another host")
	}
}

// TestIntermittentStore checks that repeated short outages of the store end no replicas.
func TestIntermittentStore(t *testing.T) {
	sim := newSettledSimulation(t, 7)
	for range 5 {
		sim.storeDownUntil = sim.now.Add(12 * time.Second)
		sim.run(20 * time.Second)
		if got, want := sim.replicas(), 3; got != want {
			t.Fatalf("got %d replicas, want %d", got, want)
		}
	}
	sim.converge(t, 30*time.Second)
}

// TestDeadWorkerTakesNoStarts keeps a dead worker in the platform's list as live. Tasks
// go to the other workers even if the scheduler prefers the dead one.
func TestDeadWorkerTakesNoStarts(t *testing.T) {
	cfg := defaultSim(8)
	cfg.withoutOperators = true
	cfg.scheduler = newFirstFit(-1)
	sim := newSimulation(cfg)
	sim.run(20 * time.Second)
	s := heatherhub.ShardID{Domain: simDomain, Index: 0}
	for _, wk := range sim.workers {
		if sim.layout.ShardOfWorker(simDomain, wk.id) == s {
			wk.model.Kill(sim.now)
			wk.deadAt = sim.now.Add(time.Hour)
			break
		}
	}
	sim.run(15 * time.Second)
	began := sim.now
	if err := sim.addJobAtOwner(t, jobInShard(sim, s), 24); err != nil {
		t.Fatal(err)
	}
	sim.converge(t, time.Minute)
	t.Logf("24 tasks of 8 s done after %s", sim.now.Sub(began))
}
