// Package routing measures the decisions of request/endpoint against the baseline
// policies. A seeded event loop in virtual time sends requests through a real
// endpoint.Pool to the model of a worker, under load, bursts and faults.
//
// # Usage
//
//	result, err := routing.Run(routing.Config{Seeds: []uint64{1, 2, 3, 4, 5}})
//	err = routing.WriteMarkdown(w, result)
//
// Equal configurations give equal results.
package routing

import (
	"runtime"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"heatherhub.example/heatherhub"
)

// Defaults of an experiment.
const (
	// DefaultDuration is the virtual time of one run.
	DefaultDuration = 20 * time.Second
	// warmUp is the first part of a run, which is not counted.
	warmUp = 2 * time.Second
	// maxParallel bounds the runs at one time.
	maxParallel = 4
)

// Config configures an experiment. Zero values mean the defaults.
type Config struct {
	// Seeds has one entry for each repetition; the default is 1 to 5.
	Seeds []uint64
	// Duration is the virtual time of one run.
	Duration time.Duration
	// Scenarios and Policies choose by name; empty means all.
	Scenarios []string
	Policies  []string
}

// Result is the outcome of an experiment.
type Result struct {
	Seeds    []uint64      `json:"seeds"`
	Duration time.Duration `json:"duration"`
	Rows     []Row         `json:"rows"`
}

// Row is one policy in one scenario, over all seeds.
type Row struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	// OnTime is the share of requests with a whole answer on time.
	OnTime Spread `json:"onTime"`
	// P50, P99 and P999 are in milliseconds, of the answered requests.
	P50  Spread `json:"p50Ms"`
	P99  Spread `json:"p99Ms"`
	P999 Spread `json:"p999Ms"`
	// Late, Refused and Failed are shares of all requests.
	Late    Spread `json:"late"`
	Refused Spread `json:"refused"`
	Failed  Spread `json:"failed"`
	// Wasted is the share of the workers' time that went into requests which
	// were not answered on time.
	Wasted Spread `json:"wasted"`
	// OthersOnTime is the on-time share of the callers that are not the greedy one.
	OthersOnTime Spread `json:"others"`
	// Recovery is the time from the end of the burst or fault until 99 of 100
	// requests of a half second are on time, in seconds.
	Recovery Spread `json:"recoverySeconds"`
	// Violations counts slots passed, seen from the workers.
	Violations int `json:"violations"`
}

// Spread is the median over the seeds with the smallest and largest value.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func newSpread(values []float64) Spread {
	slices.Sort(values)
	return Spread{Median: values[len(values)/2], Min: values[0], Max: values[len(values)-1]}
}

// Run carries out the experiment.
func Run(cfg Config) (Result, error) {
	if len(cfg.Seeds) == 0 {
		cfg.Seeds = []uint64{1, 2, 3, 4, 5}
	}
	if cfg.Duration == 0 {
		cfg.Duration = DefaultDuration
	}
	scenarios, err := selectByName(Scenarios(), cfg.Scenarios, func(s Scenario) string { return s.Name })
	if err != nil {
		return Result{}, err
	}
	policies, err := selectByName(Policies(), cfg.Policies, func(p NamedPolicy) string { return p.Name })
	if err != nil {
		return Result{}, err
	}
	res := Result{Seeds: cfg.Seeds, Duration: cfg.Duration, Rows: make([]Row, len(scenarios)*len(policies))}
	group := pool.New().WithMaxGoroutines(min(maxParallel, runtime.GOMAXPROCS(0)))
	for i, s := range scenarios {
		for j, p := range policies {
			group.Go(func() { res.Rows[i*len(policies)+j] = runSeeds(cfg, s, p) })
		}
	}
	group.Wait()
	return res, nil
}

func selectByName[T any](all []T, names []string, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var out []T
	for _, n := range names {
		i := slices.IndexFunc(all, func(v T) bool { return name(v) == n })
		if i < 0 {
			return nil, heatherhub.ErrInvalid.New("%q is not known: run without names to see all", n)
		}
		out = append(out, all[i])
	}
	return out, nil
}

func runSeeds(cfg Config, s Scenario, p NamedPolicy) Row {
	tallies := make([]*stats, 0, len(cfg.Seeds))
	for _, seed := range cfg.Seeds {
		tallies = append(tallies, newSimulation(cfg, s, p, seed).run())
	}
	over := func(f func(t *stats) float64) Spread {
		values := make([]float64, 0, len(tallies))
		for _, t := range tallies {
			values = append(values, f(t))
		}
		return newSpread(values)
	}
	row := Row{Scenario: s.Name, Policy: p.Name}
	row.OnTime = over(func(t *stats) float64 { return t.share(t.onTime) })
	row.P50 = over(func(t *stats) float64 { return t.quantile(50) })
	row.P99 = over(func(t *stats) float64 { return t.quantile(99) })
	row.P999 = over(func(t *stats) float64 { return t.quantile(99.9) })
	row.Late = over(func(t *stats) float64 { return t.share(t.late) })
	row.Refused = over(func(t *stats) float64 { return t.share(t.refused) })
	row.Failed = over(func(t *stats) float64 { return t.share(t.failed) })
	row.Wasted = over(func(t *stats) float64 { return t.wastedShare() })
	row.OthersOnTime = over(func(t *stats) float64 { return t.othersShare() })
	row.Recovery = over(func(t *stats) float64 { return t.recovery(s.RecoveryFrom).Seconds() })
	for _, t := range tallies {
		row.Violations += t.violations
	}
	return row
}
