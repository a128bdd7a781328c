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

	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/core"
)

var (
	episodes    = flag.Int("episodes", 0, "number of random episodes; 0 for the number of CI")
	episodeSeed = flag.Uint64("episode-seed", 1, "seed of the random episodes")
)

const (
	ciEpisodes    = 60
	shortEpisodes = 15
	faultPhase    = 60 * time.Second
	// convergeTimeout is the longest time after the last fault until everything that
	// was accepted has finished.
	convergeTimeout = 4 * time.Minute
)

// fault is one fault of an episode.
type fault struct {
	Kind                 string
	At                   time.Duration
	Duration             time.Duration
	Target, SecondTarget int
}

func (f fault) String() string {
	return fmt.Sprintf("%s(%d,%d) at %s for %s", f.Kind, f.Target, f.SecondTarget, f.At, f.Duration)
}

type injector func(*simulation, fault)

var faultKinds = map[string]injector{
	"pause host": func(w *simulation, f fault) {
		h := w.hosts[f.Target%len(w.hosts)]
		if len(h.node.Owned()) > 0 {
			w.countEffect("pause of an owner")
		}
		h.pausedUntil = w.now.Add(f.Duration)
	},
	"kill host": func(w *simulation, f fault) { w.killHost(w.hosts[f.Target%len(w.hosts)], f.Duration) },
	"replace host": func(w *simulation, f fault) {
		h := w.hosts[f.Target%len(w.hosts)]
		if h.dead {
			return
		}
		h.leaving = true
		h.node.Drain()
		w.after(f.Duration, func() { w.killHost(h, 2*time.Second) })
	},
	"store down":  func(w *simulation, f fault) { w.storeDownUntil = w.now.Add(f.Duration) },
	"store slow":  func(w *simulation, f fault) { w.storeSlowUntil = w.now.Add(f.Duration) },
	"lost answer": func(w *simulation, f fault) { w.answersLostUntil = w.now.Add(f.Duration) },
	"late calls":  func(w *simulation, f fault) { w.callsLateUntil = w.now.Add(f.Duration) },
	"cut store": func(w *simulation, f fault) {
		w.cutUntil[cutKey(string(w.hosts[f.Target%len(w.hosts)].id), "store")] = w.now.Add(f.Duration)
	},
	"split domain": func(w *simulation, f fault) { w.split(w.hosts[f.Target%len(w.hosts)], f.Duration) },
	"cut worker": func(w *simulation, f fault) {
		key := cutKey(string(w.hosts[f.Target%len(w.hosts)].id), string(w.workers[f.SecondTarget%len(w.workers)].id))
		w.cutUntil[key] = w.now.Add(f.Duration)
	},
	"cut peer": func(w *simulation, f fault) {
		a, b := w.hosts[f.Target%len(w.hosts)], w.hosts[f.SecondTarget%len(w.hosts)]
		w.cutUntil[cutKey(string(a.id), string(b.id))] = w.now.Add(f.Duration)
	},
	"kill worker": func(w *simulation, f fault) {
		wk := w.workers[f.Target%len(w.workers)]
		w.countEffect("worker killed")
		wk.deadAt = w.now
		wk.model.Kill(w.now)
		w.after(f.Duration, func() { wk.model.Revive(w.now) })
	},
	"bad worker": func(w *simulation, f fault) {
		wk := w.workers[f.Target%len(w.workers)]
		w.countEffect("worker fails everything")
		wk.model.SetBad(true)
		w.after(f.Duration, func() { wk.model.SetBad(false) })
	},
	"leaving worker": func(w *simulation, f fault) {
		wk := w.workers[f.Target%len(w.workers)]
		w.countEffect("worker leaves")
		wk.host.State = hostlist.StateLeaving
		w.after(f.Duration, func() { wk.host.State = hostlist.StateLive })
	},
	"switch preset": func(w *simulation, f fault) {
		w.countEffect("preset switched")
		next := simSnapshot(f.SecondTarget)
		next.Version = w.snapshot.Version + 1
		w.snapshot = next
		for _, h := range w.hosts {
			life := h.incarnation
			w.after(time.Duration(w.rnd.Int64N(int64(3*time.Second))), func() {
				w.runOn(h, life, func() { h.node.SetSnapshot(next) })
			})
		}
	},
	"freeze worker": func(w *simulation, f fault) {
		wk := w.workers[f.Target%len(w.workers)]
		w.countEffect("worker frozen")
		wk.model.Freeze(w.now)
		w.after(f.Duration, func() { wk.model.Thaw(w.now) })
	},
}

func (w *simulation) killHost(h *simHost, rest time.Duration) {
	if h.dead {
		return
	}
	if len(h.node.Owned()) > 0 {
		w.countEffect("death of an owner")
	} else {
		w.countEffect("death of another host")
	}
	h.dead, h.deadAt = true, w.now
	life := h.incarnation
	w.after(rest, func() {
		if h.incarnation == life {
			w.bootHost(h)
		}
	})
}

func kindNames() []string { return slices.Sorted(maps.Keys(faultKinds)) }

func defaultSim(seed uint64) simConfig {
	return simConfig{
		seed: seed, hosts: 3, workers: 7, shards: 2, serviceCopies: 3,
		scheduler: newFirstFit(40), sessionTTL: 8 * time.Second,
	}
}

// runEpisode runs a world through faults, heals it and waits until it converges.
func runEpisode(cfg simConfig, faults []fault) *simulation {
	w := newSimulation(cfg)
	w.run(10 * time.Second)
	start := w.now
	for _, f := range faults {
		w.at(start.Add(f.At), func() { faultKinds[f.Kind](w, f) })
	}
	w.run(faultPhase)
	w.cfg.withoutOps = true
	w.heal()
	for end := w.now.Add(convergeTimeout); len(w.violations) == 0; {
		w.run(5 * time.Second)
		why := w.unfinished()
		if why == "" {
			break
		}
		if w.now.After(end) {
			w.violate("not converged after %s: %s", convergeTimeout, why)
		}
	}
	return w
}

// heal ends all faults but those with an end of their own.
func (w *simulation) heal() {
	w.isHealed = true
	w.cutUntil = make(map[string]time.Time)
	w.storeDownUntil, w.storeSlowUntil, w.answersLostUntil, w.callsLateUntil = w.now, w.now, w.now, w.now
	for _, h := range w.hosts {
		h.pausedUntil = w.now
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

// drawEpisode draws a seed and its faults. The bytes are hashed, since rapid
// prefers small numbers and would draw the same few faults.
func drawEpisode(t *rapid.T) (uint64, []fault) {
	bytes := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "bytes")
	seed := xxhash.Sum64(bytes)
	return seed, randomFaults(rand.New(rand.NewPCG(seed, 11)))
}

// TestRandomFaults drives the real decision code through pairs and triples of
// faults. -episodes=1000 runs more of them, -episode-seed others.
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
		w := runEpisode(cfg, faults)
		steps += w.steps
		resumed += w.requests.resumed
		runs++
		for k, v := range w.effects {
			effects[k] += v
		}
		if len(w.violations) > 0 {
			rt.Fatalf("seed %d, faults %v: %s", seed, faults, strings.Join(w.violations, "\n"))
		}
	})
	t.Logf("%d episodes, %d steps, %d tasks resumed from a checkpoint", runs, steps, resumed)
	for _, k := range slices.Sorted(maps.Keys(effects)) {
		t.Logf("%8d %s", effects[k], k)
	}
	if !testing.Short() && steps < 100_000 {
		t.Errorf("got %d steps, want at least 100000", steps)
	}
	for _, k := range []string{"pause of an owner", "death of an owner", "store down", "lost answer", "late call", "cut e-s", "cut e-w", "worker killed", "eviction"} {
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

// TestPlantedFaultsAreCaught removes one safeguard at a time and shows that the
// random episodes find it. Pauses and late calls are added to each, since those
// are what the safeguards are for.
func TestPlantedFaultsAreCaught(t *testing.T) {
	const most = 200
	tests := []struct {
		name   string
		unsafe core.Unsafe
	}{
		{"skip the epoch check", core.Unsafe{SkipEpochCheck: true}},
		{"skip the lease wait", core.Unsafe{SkipLeaseWait: true}},
		{"a lost answer is failure", core.Unsafe{LostAnswerIsFailure: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			steps := 0
			for seed := range uint64(most) {
				cfg := defaultSim(seed)
				cfg.unsafe = tt.unsafe
				w := runEpisode(cfg, plantedFaults(seed))
				steps += w.steps
				if len(w.violations) > 0 {
					t.Logf("caught with seed %d after %d steps in all: %s", seed, steps, w.violations[0])
					return
				}
			}
			t.Errorf("got no violation in %d episodes and %d steps, want one", most, steps)
		})
	}
}

func plantedFaults(seed uint64) []fault {
	rnd := rand.New(rand.NewPCG(seed, 11))
	faults := randomFaults(rnd)
	for _, kind := range []string{"pause host", "late calls"} {
		f := randomFaults(rnd)[0]
		f.Kind = kind
		faults = append(faults, f)
	}
	return faults
}

// TestSafeguardsHoldWherePlantedFaultsAreCaught runs the same episodes with all
// safeguards.
func TestSafeguardsHoldWherePlantedFaultsAreCaught(t *testing.T) {
	n := uint64(30)
	if testing.Short() {
		n = 5
	}
	for seed := range n {
		w := runEpisode(defaultSim(seed), plantedFaults(seed))
		if len(w.violations) > 0 {
			t.Errorf("seed %d, faults %v: %s", seed, plantedFaults(seed), w.violations[0])
		}
	}
}
