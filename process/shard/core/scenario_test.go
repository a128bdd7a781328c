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

// newSettledSimulation makes a world without operators, settled and with its replicas running.
func newSettledSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	cfg := defaultSim(seed)
	cfg.withoutOps = true
	cfg.scheduler = newFirstFit(0)
	w := newSimulation(cfg)
	w.run(20 * time.Second)
	if got, want := w.replicas(), cfg.serviceCopies; got != want {
		t.Fatalf("got %d replicas before the fault, want %d", got, want)
	}
	return w
}

func (w *simulation) runs() []model.Run {
	var runs []model.Run
	for _, wk := range w.workers {
		wk.model.Advance(w.now)
		runs = append(runs, wk.model.Ledger().Runs...)
	}
	return runs
}

// replicas counts the service tasks that run now.
func (w *simulation) replicas() int {
	n := 0
	for _, r := range w.runs() {
		if r.Workload == "compile" && r.To.IsZero() {
			n++
		}
	}
	return n
}

func (w *simulation) ownerOf(t *testing.T, s heatherhub.ShardID) *simHost {
	t.Helper()
	for _, h := range w.hosts {
		for _, o := range h.node.Owned() {
			if o == s && !h.dead {
				return h
			}
		}
	}
	t.Fatalf("shard %s has no owner", s)
	return nil
}

// addJobAtOwner adds a job at the owner of its shard and returns the outcome.
func (w *simulation) addJobAtOwner(t *testing.T, id heatherhub.JobID, tasks int) error {
	t.Helper()
	s := w.layout.OfJob(id)
	h := w.ownerOf(t, s)
	err := fmt.Errorf("no reply")
	ticket := h.node.NewTicket()
	h.tickets[ticket] = func(r core.Reply) { err = r.Err }
	job := heatherhub.Job{ID: id, Workload: "letter", Tasks: tasks, State: heatherhub.JobQueued}
	w.handleOutput(h, h.node.AddJob(w.now, ticket, job))
	w.run(5 * time.Second)
	if err == nil {
		w.requests.accepted[id] = true
	}
	return err
}

// claimAtOwner claims a key at the owner of its shard and returns the error.
func (w *simulation) claimAtOwner(t *testing.T, key heatherhub.IdempotencyKey) error {
	t.Helper()
	s := w.layout.OfKey("compile", key)
	h := w.ownerOf(t, s)
	err := fmt.Errorf("no reply")
	ticket := h.node.NewTicket()
	h.tickets[ticket] = func(r core.Reply) { err = r.Err }
	w.handleOutput(h, h.node.Claim(w.now, ticket, s, core.Key{Workload: "compile", Key: key}))
	w.run(5 * time.Second)
	return err
}

func (w *simulation) converge(t *testing.T, most time.Duration) {
	t.Helper()
	for end := w.now.Add(most); w.unfinished() != ""; {
		if w.now.After(end) {
			t.Fatalf("got %q after %s, want convergence", w.unfinished(), most)
		}
		w.run(time.Second)
		w.checkNoViolations(t)
	}
}

func (w *simulation) checkNoViolations(t *testing.T) {
	t.Helper()
	if len(w.violations) > 0 {
		t.Fatal(w.violations[0])
	}
}

func TestOutageOfAnHour(t *testing.T) {
	w := newSettledSimulation(t, 1)
	w.storeDownUntil = w.now.Add(time.Hour)
	w.run(time.Minute)
	if got, want := heatherhub.DidNotRun(w.addJobAtOwner(t, "refused", 1)), true; got != want {
		t.Errorf("job during the outage: got refused %v, want %v", got, want)
	}
	if got, want := heatherhub.CodeOf(w.claimAtOwner(t, "key")), heatherhub.CodeUnavailable; got != want {
		t.Errorf("claim during the outage: got %q, want %q, which proves that nothing ran", got, want)
	}
	for end := w.storeDownUntil.Add(20 * time.Second); w.now.Before(end); {
		w.run(5 * time.Second)
		if got, want := w.replicas(), 3; got != want {
			t.Fatalf("got %d replicas at %s, want %d", got, w.now.Sub(simStart), want)
		}
		served := 0
		for _, h := range w.hosts {
			served += len(h.node.Replicas(w.now, "compile"))
		}
		if got, want := served, 3; got != want {
			t.Fatalf("got %d replicas that requests can reach at %s, want %d", got, w.now.Sub(simStart), want)
		}
	}
	if err := w.addJobAtOwner(t, "after", 1); err != nil {
		t.Errorf("job 20 s after the outage: got %v, want it accepted", err)
	}
	w.converge(t, 2*time.Minute)
	for _, r := range w.runs() {
		if r.Workload == "compile" && !r.To.IsZero() {
			t.Errorf("replica %s ended at %s, want it to run on", r.Task, r.To.Sub(simStart))
		}
	}
}

func TestReturnOfTheStoreIsNoStampede(t *testing.T) {
	w := newSettledSimulation(t, 9)
	w.storeDownUntil = w.now.Add(10 * time.Minute)
	w.run(10 * time.Minute)
	before := w.store.Counts().Total()
	w.run(time.Second)
	const perSecond = 100
	if got := w.store.Counts().Total() - before; got > perSecond {
		t.Errorf("got %d calls in the first second after the outage, want at most %d", got, perSecond)
	}
	w.run(9 * time.Second)
	if err := w.addJobAtOwner(t, "after", 1); err != nil {
		t.Errorf("job 10 s after the outage: got %v, want it accepted", err)
	}
	w.converge(t, time.Minute)
}

func TestOwnerDiesDuringAnOutage(t *testing.T) {
	w := newSettledSimulation(t, 2)
	s := heatherhub.ShardID{Domain: simDomain, Index: 0}
	if err := w.addJobAtOwner(t, jobInShard(w, s), 2); err != nil {
		t.Fatal(err)
	}
	w.storeDownUntil = w.now.Add(time.Minute)
	w.run(12 * time.Second)
	w.killHost(w.ownerOf(t, s), time.Hour)
	for range 48 {
		w.run(time.Second)
		if got, want := w.replicas(), 3; got != want {
			t.Fatalf("got %d replicas at %s, want %d", got, w.now.Sub(simStart), want)
		}
	}
	back := w.now
	w.converge(t, 2*time.Minute)
	t.Logf("all shards owned and all jobs finished %s after the store's return", w.now.Sub(back))
	if got, want := w.replicas(), 3; got != want {
		t.Errorf("got %d replicas after the outage, want %d", got, want)
	}
}

// jobInShard returns an id of a job in a shard.
func jobInShard(w *simulation, s heatherhub.ShardID) heatherhub.JobID {
	for i := 0; ; i++ {
		if id := heatherhub.JobID(fmt.Sprintf("long-%d", i)); w.layout.OfJob(id) == s {
			return id
		}
	}
}

func TestTakeoverTime(t *testing.T) {
	w := newSettledSimulation(t, 3)
	s := heatherhub.ShardID{Domain: simDomain, Index: 0}
	died := w.now
	w.killHost(w.ownerOf(t, s), time.Hour)
	owned, served := time.Duration(0), time.Duration(0)
	for served == 0 || owned == 0 {
		w.run(tickInterval)
		for _, h := range w.hosts {
			for _, o := range h.node.Owned() {
				if o == s && !h.dead && owned == 0 {
					owned = w.now.Sub(died)
				}
			}
			if got := h.node.Replicas(w.now, "compile"); !h.dead && served == 0 && hasShard(got, s) {
				served = w.now.Sub(died)
			}
		}
	}
	if err := w.addJobAtOwner(t, jobInShard(w, s), 1); err != nil {
		t.Fatal(err)
	}
	for len(w.runsOf("letter")) == 0 {
		w.run(tickInterval)
		w.checkNoViolations(t)
	}
	started := w.runsOf("letter")[0].From.Sub(died)
	t.Logf("after the death of an owner: served %s, owned %s, starts %s", served, owned, started)
	ttl := w.cfg.sessionTTL
	if most := ttl + 5*time.Second; owned > most {
		t.Errorf("got a new owner after %s, want at most %s", owned, most)
	}
	if most := ttl + worker.TaskLease + 10*time.Second; started > most {
		t.Errorf("got a start after %s, want at most %s", started, most)
	}
	if least := worker.TaskLease; started < least {
		t.Errorf("got a start after %s, want none before the task leases end after %s", started, least)
	}
}

func TestHandoverNeedsNoLeaseWait(t *testing.T) {
	w := newSettledSimulation(t, 4)
	s := heatherhub.ShardID{Domain: simDomain, Index: 0}
	h := w.ownerOf(t, s)
	h.node.Drain()
	began := w.now
	for len(h.node.Owned()) > 0 {
		w.run(tickInterval)
	}
	released := w.now.Sub(began)
	for !w.isOwned(s) {
		w.run(tickInterval)
	}
	w.run(time.Second)
	if err := w.addJobAtOwner(t, jobInShard(w, s), 1); err != nil {
		t.Fatal(err)
	}
	for len(w.runsOf("letter")) == 0 && w.now.Sub(began) < time.Minute {
		w.run(tickInterval)
	}
	started := w.runsOf("letter")[0].From.Sub(began)
	t.Logf("planned handover: released %s, starts %s", released, started)
	if most := worker.TaskLease; started > most {
		t.Errorf("got a start after %s, want at most %s", started, most)
	}
	if got, want := w.replicas(), 3; got != want {
		t.Errorf("got %d replicas, want %d", got, want)
	}
}

func (w *simulation) isOwned(s heatherhub.ShardID) bool {
	for _, h := range w.hosts {
		if !h.dead && slices.Contains(h.node.Owned(), s) {
			return true
		}
	}
	return false
}

func (w *simulation) runsOf(id heatherhub.WorkloadID) []model.Run {
	var runs []model.Run
	for _, r := range w.runs() {
		if r.Workload == id {
			runs = append(runs, r)
		}
	}
	return runs
}

// TestEvictionInterruptedAtEveryStep kills the owner after each call of an
// eviction, and loses that call's answer.
func TestEvictionInterruptedAtEveryStep(t *testing.T) {
	for step := range 8 {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			cfg := defaultSim(uint64(20 + step))
			cfg.withoutOps = true
			cfg.scheduler = newFirstFit(4)
			w := newSimulation(cfg)
			w.run(20 * time.Second)
			s := heatherhub.ShardID{Domain: simDomain, Index: 0}
			id := jobInShard(w, s)
			if err := w.addJobAtOwner(t, id, 3); err != nil {
				t.Fatal(err)
			}
			h := w.ownerOf(t, s)
			for w.effects["eviction"] == 0 {
				w.run(10 * time.Millisecond)
			}
			w.answersLostUntil = w.now.Add(time.Second)
			w.run(time.Duration(step) * 15 * time.Millisecond)
			w.killHost(h, time.Minute)
			w.converge(t, 4*time.Minute)
			if got, want := finishedRuns(w.runsOf("letter")), 3; got != want {
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

// TestSplitDomain cuts an owner with a part of the workers off from the store and
// from the other hosts, for shorter and longer than a silent peer counts as there.
func TestSplitDomain(t *testing.T) {
	for _, long := range []time.Duration{30 * time.Second, 80 * time.Second, 200 * time.Second} {
		t.Run(long.String(), func(t *testing.T) {
			cfg := defaultSim(31)
			cfg.scheduler = newFirstFit(0)
			w := newSimulation(cfg)
			w.run(20 * time.Second)
			s := heatherhub.ShardID{Domain: simDomain, Index: 0}
			owner := w.ownerOf(t, s)
			w.split(owner, long)
			w.run(long + 10*time.Second)
			w.cfg.withoutOps = true
			w.converge(t, 3*time.Minute)
		})
	}
}

// split cuts a host and every second worker off from everything else.
func (w *simulation) split(h *simHost, long time.Duration) {
	end := w.now.Add(long)
	w.cutUntil[cutKey(string(h.id), "store")] = end
	for _, o := range w.hosts {
		w.cutUntil[cutKey(string(h.id), string(o.id))] = end
	}
	for i, wk := range w.workers {
		for _, o := range w.hosts {
			if (i%2 == 0) != (o == h) {
				w.cutUntil[cutKey(string(o.id), string(wk.id))] = end
			}
		}
	}
}

func TestOwnerRestartsDuringAnOutage(t *testing.T) {
	w := newSettledSimulation(t, 5)
	w.storeDownUntil = w.now.Add(time.Minute)
	w.run(15 * time.Second)
	w.killHost(w.ownerOf(t, heatherhub.ShardID{Domain: simDomain, Index: 0}), time.Second)
	for w.now.Before(w.storeDownUntil) {
		w.run(time.Second)
		if got, want := w.replicas(), 3; got != want {
			t.Fatalf("got %d replicas at %s, want %d", got, w.now.Sub(simStart), want)
		}
	}
	w.converge(t, time.Minute)
}

func TestFlappingHostGetsNoShards(t *testing.T) {
	w := newSettledSimulation(t, 6)
	s := heatherhub.ShardID{Domain: simDomain, Index: 0}
	h := w.ownerOf(t, s)
	for range 4 {
		w.killHost(h, time.Second)
		w.run(15 * time.Second)
	}
	w.run(10 * time.Second)
	if got, want := len(h.node.Owned()), 0; got != want {
		t.Errorf("got %d shards at a host that restarted four times, want %d", got, want)
	}
	if !w.isOwned(s) {
		t.Error("got no owner of its shard, want another host")
	}
}

func TestStoreThatComesAndGoes(t *testing.T) {
	w := newSettledSimulation(t, 7)
	for range 5 {
		w.storeDownUntil = w.now.Add(12 * time.Second)
		w.run(20 * time.Second)
		if got, want := w.replicas(), 3; got != want {
			t.Fatalf("got %d replicas, want %d", got, want)
		}
	}
	w.converge(t, 30*time.Second)
}

// TestDeadWorkerTakesNoStarts lists a dead worker as live for long. Work goes to
// the others, even if the scheduler likes the dead one best.
func TestDeadWorkerTakesNoStarts(t *testing.T) {
	cfg := defaultSim(8)
	cfg.withoutOps = true
	cfg.scheduler = newFirstFit(-1)
	w := newSimulation(cfg)
	w.run(20 * time.Second)
	s := heatherhub.ShardID{Domain: simDomain, Index: 0}
	for _, wk := range w.workers {
		if w.layout.OfWorker(simDomain, wk.id) == s {
			wk.model.Kill(w.now)
			wk.deadAt = w.now.Add(time.Hour)
			break
		}
	}
	w.run(15 * time.Second)
	began := w.now
	if err := w.addJobAtOwner(t, jobInShard(w, s), 24); err != nil {
		t.Fatal(err)
	}
	w.converge(t, time.Minute)
	t.Logf("24 tasks of 8 s done after %s", w.now.Sub(began))
}
