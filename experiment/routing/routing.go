// Package routing compares the routing of request/endpoint with baseline policies. A
// seeded discrete-event simulation sends requests through a real endpoint.Pool to
// simulated workers, under load, bursts and faults.
//
// # Usage
//
//	result, err := routing.Run(routing.Config{Seeds: []uint64{1, 2, 3, 4, 5}})
//	err = routing.WriteMarkdown(w, result)
//
// Results are deterministic: equal configurations give equal results.
package routing

import (
	"runtime"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"heatherhub.example/heatherhub"
)

// Duration and concurrency of the runs.
const (
	// DefaultDuration is the simulated duration of one run.
	DefaultDuration = 20 * time.Second
	// warmUp is the initial part of a run, whose requests are not counted.
	warmUp = 2 * time.Second
	// maxParallel is the maximum number of concurrent runs.
	maxParallel = 4
)

// Config configures an experiment. Zero values select the defaults.
type Config struct {
	// Seeds has one entry per repetition; the default is 1 to 5.
	Seeds []uint64
	// Duration is the simulated duration of one run; the default is DefaultDuration.
	Duration time.Duration
	// Scenarios and Policies select by name; empty selects all.
	Scenarios []string
	Policies  []string
}

// Result holds the results of an experiment, in order of scenario and policy.
type Result struct {
	Seeds    []uint64      `json:"seeds"`
	Duration time.Duration `json:"duration"`
	Rows     []Row         `json:"rows"`
}

// Row holds the measurements of one policy in one scenario, over all seeds.
type Row struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	// OnTime is the share of requests that were answered before their deadline.
	OnTime Spread `json:"onTime"`
	// P50, P99 and P999 are latency quantiles of the requests answered on time, in
	// milliseconds.
	P50  Spread `json:"p50Ms"`
	P99  Spread `json:"p99Ms"`
	P999 Spread `json:"p999Ms"`
	// Late, Refused and Failed are the shares of requests whose deadline passed after
	// they were sent, that the pool refused, and that a worker failed.
	Late    Spread `json:"late"`
	Refused Spread `json:"refused"`
	Failed  Spread `json:"failed"`
	// Wasted is the share of the requests' total time at workers that was spent on
	// requests that were not answered on time.
	Wasted Spread `json:"wasted"`
	// OthersOnTime is OnTime without the requests of the greedy caller.
	OthersOnTime Spread `json:"others"`
	// Recovery is the time in seconds from the end of the burst or fault to the first
	// interval of 500 ms in which 99% of the requests are on time.
	Recovery Spread `json:"recoverySeconds"`
	// Violations is the number of times that a worker had more requests than slots,
	// summed over the seeds.
	Violations int `json:"violations"`
}

// Spread is the median, minimum and maximum over the seeds.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// newSpread sorts values in place.
func newSpread(values []float64) Spread {
	slices.Sort(values)
	return Spread{Median: values[len(values)/2], Min: values[0], Max: values[len(values)-1]}
}

// Run runs every selected policy in every selected scenario with every seed. It returns
// ErrInvalid if a scenario or policy is unknown.
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

// selectByName returns the values with the given names, or all if no names are given.
func selectByName[T any](all []T, names []string, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var out []T
	for _, n := range names {
		i := slices.IndexFunc(all, func(v T) bool { return name(v) == n })
		if i < 0 {
			return nil, heatherhub.ErrInvalid.New("unknown scenario or policy %q: run without names to see all", n)
		}
		out = append(out, all[i])
	}
	return out, nil
}

// runSeeds runs one policy in one scenario with every seed.
func runSeeds(cfg Config, sc Scenario, p NamedPolicy) Row {
	runs := make([]*stats, 0, len(cfg.Seeds))
	for _, seed := range cfg.Seeds {
		runs = append(runs, newSimulation(cfg, sc, p, seed).run())
	}
	spreadOver := func(f func(s *stats) float64) Spread {
		values := make([]float64, 0, len(runs))
		for _, s := range runs {
			values = append(values, f(s))
		}
		return newSpread(values)
	}
	row := Row{Scenario: sc.Name, Policy: p.Name}
	row.OnTime = spreadOver(func(s *stats) float64 { return s.share(s.onTime) })
	row.P50 = spreadOver(func(s *stats) float64 { return s.quantile(50) })
	row.P99 = spreadOver(func(s *stats) float64 { return s.quantile(99) })
	row.P999 = spreadOver(func(s *stats) float64 { return s.quantile(99.9) })
	row.Late = spreadOver(func(s *stats) float64 { return s.share(s.late) })
	row.Refused = spreadOver(func(s *stats) float64 { return s.share(s.refused) })
	row.Failed = spreadOver(func(s *stats) float64 { return s.share(s.failed) })
	row.Wasted = spreadOver(func(s *stats) float64 { return s.wastedShare() })
	row.OthersOnTime = spreadOver(func(s *stats) float64 { return s.othersShare() })
	row.Recovery = spreadOver(func(s *stats) float64 { return s.recovery(sc.RecoveryFrom).Seconds() })
	for _, s := range runs {
		row.Violations += s.violations
	}
	return row
}
