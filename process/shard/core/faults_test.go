package core_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/core"
)

var (
	episodes    = flag.Int("episodes", 0, "number of random episodes; 0 for the default")
	episodeSeed = flag.Uint64("episode-seed", 1, "seed of the random episodes")
)

const (
	ciEpisodes    = 60
	shortEpisodes = 15
	// faultPhase is how long an episode runs before all faults are ended.
	faultPhase = 60 * time.Second
	// convergeTimeout is the longest time after faultPhase until everything that was
	// accepted has finished.
	convergeTimeout = 4 * time.Minute
)

// fault is a fault of an episode. Its targets are indexes of hosts or workers, taken
// modulo their number.
type fault struct {
	Kind                 string
	At                   time.Duration
	Duration             time.Duration
	Target, SecondTarget int
}

func (f fault) String() string {
	return fmt.Sprintf("%s(%d,%d) at %s for %s", f.Kind, f.Target, f.SecondTarget, f.At, f.Duration)
}

// injector starts a fault in a simulation.
type injector func(*simulation, fault)

var faultKinds = map[string]injector{
	"pause host": func(sim *simulation, f fault) {
		h := sim.hosts[f.Target%len(sim.hosts)]
		if len(h.node.Owned()) > 0 {
			sim.countEffect("pause of an owner")
		}
		h.pausedUntil = sim.now.Add(f.Duration)
	},
	"kill host": func(sim *simulation, f fault) { sim.killHost(sim.hosts[f.Target%len(sim.hosts)], f.Duration) },
	"replace host": func(sim *simulation, f fault) {
		h := sim.hosts[f.Target%len(sim.hosts)]
		if h.dead {
			return
		}
		h.leaving = true
		h.node.Drain()
		sim.after(f.Duration, func() { sim.killHost(h, 2*time.Second) })
	},
	"store down":   func(sim *simulation, f fault) { sim.storeDownUntil = sim.now.Add(f.Duration) },
	"store slow":   func(sim *simulation, f fault) { sim.storeSlowUntil = sim.now.Add(f.Duration) },
	"lost answer":  func(sim *simulation, f fault) { sim.answersLostUntil = sim.now.Add(f.Duration) },
	"failed calls": func(sim *simulation, f fault) { sim.callsFailUntil = sim.now.Add(f.Duration) },
	"late beats":   func(sim *simulation, f fault) { sim.heartbeatsLateUntil = sim.now.Add(f.Duration) },
	"late calls":   func(sim *simulation, f fault) { sim.callsLateUntil = sim.now.Add(f.Duration) },
	"cut store": func(sim *simulation, f fault) {
		sim.cutUntil[cutKey(string(sim.hosts[f.Target%len(sim.hosts)].id), "store")] = sim.now.Add(f.Duration)
	},
	// The platform's list loses what it can't reach.
	"unlisted split": func(sim *simulation, f fault) {
		h := sim.hosts[f.Target%len(sim.hosts)]
		sim.split(h, f.Duration)
		sim.unlist(string(h.id), f.Duration)
		for _, wk := range sim.workers {
			if !sim.isCut(string(h.id), string(wk.id)) {
				sim.unlist(string(wk.id), f.Duration)
			}
		}
	},
	"unlist host": func(sim *simulation, f fault) { sim.unlist(string(sim.hosts[f.Target%len(sim.hosts)].id), f.Duration) },
	"unlist workers": func(sim *simulation, f fault) {
		for i, wk := range sim.workers {
			if i%2 == f.Target%2 {
				sim.unlist(string(wk.id), f.Duration)
			}
		}
	},
	// It works on without an entry.
	"drained worker": func(sim *simulation, f fault) {
		wk := sim.workers[f.Target%len(sim.workers)]
		sim.countEffect("worker drains")
		wk.host.State = hostlist.StateLeaving
		sim.after(f.Duration/4, func() { sim.unlist(string(wk.id), f.Duration*3/4) })
		sim.after(f.Duration, func() { wk.host.State = hostlist.StateLive })
	},
	"mute worker": func(sim *simulation, f fault) {
		key := cutKey(string(sim.hosts[f.Target%len(sim.hosts)].id), string(sim.workers[f.SecondTarget%len(sim.workers)].id))
		sim.mutedUntil[key] = sim.now.Add(f.Duration)
	},
	"split domain": func(sim *simulation, f fault) { sim.split(sim.hosts[f.Target%len(sim.hosts)], f.Duration) },
	"cut worker": func(sim *simulation, f fault) {
		key := cutKey(string(sim.hosts[f.Target%len(sim.hosts)].id), string(sim.workers[f.SecondTarget%len(sim.workers)].id))
		sim.cutUntil[key] = sim.now.Add(f.Duration)
	},
	"cut peer": func(sim *simulation, f fault) {
		a, b := sim.hosts[f.Target%len(sim.hosts)], sim.hosts[f.SecondTarget%len(sim.hosts)]
		sim.cutUntil[cutKey(string(a.id), string(b.id))] = sim.now.Add(f.Duration)
	},
	"kill worker": func(sim *simulation, f fault) {
		wk := sim.workers[f.Target%len(sim.workers)]
		sim.countEffect("worker killed")
		wk.deadAt = sim.now
		wk.model.Kill(sim.now)
		sim.after(f.Duration, func() { wk.model.Revive(sim.now) })
	},
	// It is back before anybody notices.
	"restart worker": func(sim *simulation, f fault) {
		wk := sim.workers[f.Target%len(sim.workers)]
		sim.countEffect("worker restarted")
		wk.model.Kill(sim.now)
		wk.model.Revive(sim.now)
		sim.after(f.Duration/3, func() { wk.model.Kill(sim.now); wk.model.Revive(sim.now) })
	},
	"bad worker": func(sim *simulation, f fault) {
		wk := sim.workers[f.Target%len(sim.workers)]
		sim.countEffect("worker fails everything")
		wk.model.SetFailTasks(true)
		sim.after(f.Duration, func() { wk.model.SetFailTasks(false) })
	},
	"leaving worker": func(sim *simulation, f fault) {
		wk := sim.workers[f.Target%len(sim.workers)]
		sim.countEffect("worker leaves")
		wk.host.State = hostlist.StateLeaving
		sim.after(f.Duration, func() { wk.host.State = hostlist.StateLive })
	},
	"switch preset": func(sim *simulation, f fault) {
		sim.countEffect("preset switched")
		next := simSnapshot(f.SecondTarget)
		next.Version = sim.snapshot.Version + 1
		sim.snapshot = next
		for _, h := range sim.hosts {
			incarnation := h.incarnation
			sim.after(time.Duration(sim.rnd.Int64N(int64(3*time.Second))), func() {
				sim.runOn(h, incarnation, func() { h.node.SetSnapshot(next) })
			})
		}
	},
	// A job with a task that crashes each worker that starts it.
	"deadly job": func(sim *simulation, _ fault) {
		sim.countEffect("deadly job")
		id := heatherhub.JobID(fmt.Sprintf("deadly-%d", len(sim.deadlyStarts)))
		sim.deadlyStarts[heatherhub.JobTaskID(id, 0)] = 0
		sim.submit(heatherhub.Job{ID: id, Workload: "letter", Tasks: 1, State: heatherhub.JobQueued}, 2)
	},
	"shrink worker": func(sim *simulation, f fault) {
		wk := sim.workers[f.Target%len(sim.workers)]
		sim.countEffect("worker shrunk")
		former := wk.host.Capacity
		wk.host.Capacity.CPU /= 2
		wk.shrunkAt = sim.now
		sim.after(f.Duration, func() { wk.host.Capacity = former })
	},
	"freeze worker": func(sim *simulation, f fault) {
		wk := sim.workers[f.Target%len(sim.workers)]
		sim.countEffect("worker frozen")
		wk.model.Freeze(sim.now)
		sim.after(f.Duration, func() { wk.model.Thaw(sim.now) })
	},
}

// unlist drops a living host or worker from the platform's list.
func (sim *simulation) unlist(id string, d time.Duration) {
	sim.unlistedUntil[id] = sim.now.Add(d)
}

// killHost ends the process of a host and starts a new one after downtime.
func (sim *simulation) killHost(h *simHost, downtime time.Duration) {
	if h.dead {
		return
	}
	if len(h.node.Owned()) > 0 {
		sim.countEffect("death of an owner")
	} else {
		sim.countEffect("death of another host")
	}
	h.dead, h.deadAt = true, sim.now
	incarnation := h.incarnation
	sim.after(downtime, func() {
		if h.incarnation == incarnation {
			sim.bootHost(h)
		}
	})
}

func kindNames() []string { return slices.Sorted(maps.Keys(faultKinds)) }

func defaultSim(seed uint64) simConfig {
	return simConfig{
		seed: seed, hosts: 3, workers: 7, shards: 2, serviceReplicas: 3,
		scheduler: newFirstFit(40), sessionTTL: 8 * time.Second,
	}
}

// runEpisode runs a simulation with faults, ends them and waits until it converges.
func runEpisode(cfg simConfig, faults []fault) *simulation {
	sim := newSimulation(cfg)
	sim.run(10 * time.Second)
	start := sim.now
	for _, f := range faults {
		sim.at(start.Add(f.At), func() { faultKinds[f.Kind](sim, f) })
	}
	sim.run(faultPhase)
	sim.cfg.withoutOperators = true
	sim.heal()
	for end := sim.now.Add(convergeTimeout); len(sim.violations) == 0; {
		sim.run(5 * time.Second)
		why := sim.unfinished()
		if why == "" {
			break
		}
		if sim.now.After(end) {
			sim.violate("not converged after %s: %s", convergeTimeout, why)
		}
	}
	return sim
}

// heal ends all faults except those that schedule their own end.
func (sim *simulation) heal() {
	sim.isHealed = true
	sim.cutUntil = make(map[string]time.Time)
	sim.unlistedUntil, sim.mutedUntil = make(map[string]time.Time), make(map[string]time.Time)
	sim.storeDownUntil, sim.storeSlowUntil, sim.answersLostUntil, sim.callsLateUntil = sim.now, sim.now, sim.now, sim.now
	sim.heartbeatsLateUntil, sim.callsFailUntil = sim.now, sim.now
	for _, h := range sim.hosts {
		h.pausedUntil = sim.now
	}
}

func randomFaults(rnd *rand.Rand) []fault {
	kinds := kindNames()
	faults := make([]fault, 2+rnd.IntN(2))
	for i := range faults {
		faults[i] = fault{
			Kind:     kinds[rnd.IntN(len(kinds))],
			At:       time.Duration(rnd.Int64N(int64(20 * time.Second))),
			Duration: time.Second + time.Duration(rnd.Int64N(int64(40*time.Second))),
			Target:   rnd.IntN(6), SecondTarget: rnd.IntN(6),
		}
	}
	return faults
}

// drawEpisode draws a seed and its faults. The drawn bytes are hashed to a seed, since
// rapid prefers small numbers and would draw the same few faults again and again.
func drawEpisode(t *rapid.T) (uint64, []fault) {
	bytes := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "bytes")
	seed := xxhash.Sum64(bytes)
	return seed, randomFaults(rand.New(rand.NewPCG(seed, 11)))
}

// TestRandomFaults runs nodes through random episodes of two or three faults and checks
// the invariants. -episodes sets the number of episodes and -episode-seed their seed.
func TestRandomFaults(t *testing.T) {
	n := *episodes
	if n == 0 {
		n = ciEpisodes
		if testing.Short() {
			n = shortEpisodes
		}
	}
	setRapid(t, n, *episodeSeed)
	steps, resumed, runs := 0, 0, 0
	effects := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		seed, faults := drawEpisode(rt)
		cfg := defaultSim(seed)
		if seed%3 == 0 {
			cfg.scheduler = func(*simulation) placement.Scheduler { return placement.New(placement.Config{}) }
		}
		sim := runEpisode(cfg, faults)
		steps += sim.steps
		resumed += sim.requests.resumed
		runs++
		for k, v := range sim.effects {
			effects[k] += v
		}
		if len(sim.violations) > 0 {
			rt.Fatalf("seed %d, faults %v: %s", seed, faults, strings.Join(sim.violations, "\n"))
		}
	})
	t.Logf("%d episodes, %d steps, %d tasks resumed from a checkpoint", runs, steps, resumed)
	for _, k := range slices.Sorted(maps.Keys(effects)) {
		t.Logf("%8d %s", effects[k], k)
	}
	if !testing.Short() && steps < 100_000 {
		t.Errorf("got %d steps, want at least 100000", steps)
	}
	wanted := []string{
		"pause of an owner", "death of an owner", "store down", "lost answer", "late call", "cut e-s", "cut e-w", "worker killed", "eviction",
		"living w unlisted", "living e unlisted", "worker drains", "muted worker", "late heartbeat", "single failed call", "worker restarted", "deadly job", "worker shrunk",
	}
	for _, k := range wanted {
		if effects[k] == 0 && !testing.Short() {
			t.Errorf("got no effect of %q, want some", k)
		}
	}
}

func setRapid(t *testing.T, checks int, seed uint64) {
	t.Helper()
	for name, value := range map[string]string{"rapid.checks": fmt.Sprint(checks), "rapid.seed": fmt.Sprint(seed), "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// TestDisabledSafeguardsAreDetected disables one safeguard at a time and checks that random
// episodes find a violation. Each episode also has the faults against which the safeguard
// protects.
func TestDisabledSafeguardsAreDetected(t *testing.T) {
	const limit = 200
	pauseAndLateCalls := []string{"pause host", "late calls"}
	tests := []struct {
		name   string
		unsafe core.Unsafe
		kinds  []string
	}{
		{"skip the epoch check", core.Unsafe{SkipEpochCheck: true}, pauseAndLateCalls},
		{"skip the lease wait", core.Unsafe{SkipLeaseWait: true}, pauseAndLateCalls},
		{"a lost answer is failure", core.Unsafe{LostAnswerIsFailure: true}, pauseAndLateCalls},
		{"ignore recorded workers", core.Unsafe{IgnoreRecordedWorkers: true}, []string{"unlisted split"}},
		{"trust the list, split", core.Unsafe{TrustHostList: true}, []string{"unlisted split"}},
		{"trust the list, unlisted", core.Unsafe{TrustHostList: true}, []string{"unlist workers"}},
		{"trust the list, drained", core.Unsafe{TrustHostList: true}, []string{"drained worker"}},
		{"trust the list, failed calls", core.Unsafe{TrustHostList: true}, []string{"failed calls", "unlist workers"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			steps := 0
			for seed := range uint64(limit) {
				cfg := defaultSim(seed)
				cfg.unsafe = tt.unsafe
				sim := runEpisode(cfg, faultsWith(seed, tt.kinds...))
				steps += sim.steps
				if len(sim.violations) > 0 {
					t.Logf("violation with seed %d after %d steps in all: %s", seed, steps, sim.violations[0])
					return
				}
			}
			t.Errorf("got no violation in %d episodes and %d steps, want one", limit, steps)
		})
	}
}

// faultsWith returns random faults with some of the given kinds added.
func faultsWith(seed uint64, kinds ...string) []fault {
	rnd := rand.New(rand.NewPCG(seed, 11))
	faults := randomFaults(rnd)
	for _, kind := range kinds {
		f := randomFaults(rnd)[0]
		f.Kind = kind
		faults = append(faults, f)
	}
	return faults
}

// TestSafeguardsPreventViolations runs the episodes of TestDisabledSafeguardsAreDetected
// with all safeguards enabled and expects no violation.
func TestSafeguardsPreventViolations(t *testing.T) {
	n := uint64(30)
	if testing.Short() {
		n = 5
	}
	for seed := range n {
		sets := [][]string{{"pause host", "late calls"}}
		if seed%2 == 1 {
			sets = append(sets, []string{"unlisted split", "failed calls", "mute worker"})
		}
		for _, kinds := range sets {
			sim := runEpisode(defaultSim(seed), faultsWith(seed, kinds...))
			if len(sim.violations) > 0 {
				t.Errorf("seed %d, faults %v: %s", seed, faultsWith(seed, kinds...), sim.violations[0])
			}
		}
	}
}
