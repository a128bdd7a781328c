// Package colocation compares the scheduler of process/placement with its baselines
// when services and batch tasks share workers. Each scheduler runs in a discrete-event
// simulation of a site, with the site's declarations, one shard and owner per failure
// domain, and simulated workers.
//
// # Usage
//
//	result, err := colocation.Run(ctx, colocation.Config{
//		Sites: colocation.Sites(), Snapshots: snapshots, Seeds: []uint64{1, 2, 3, 4, 5},
//		Policies: colocation.Policies(), Duration: 15 * time.Minute, Parallelism: 4,
//	})
//	err = colocation.WriteMarkdown(w, result)
//
// The result of a run depends only on its configuration and seed. With the same seed, all
// policies see the same times and sizes of jobs, true sizes and scenario faults. Between
// policies there are differences in the request arrivals, because the choice of replicas
// draws from the same random numbers, in the shards of jobs, because job IDs contain the
// number of scheduled events, and in which checkpoints fail.
package colocation

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/placement/baseline"
)

// Config configures the experiment.
type Config struct {
	Sites []Site
	// Snapshots maps the name of each site to its declarations.
	Snapshots map[string]*heatherhub.Snapshot
	Scenarios []Scenario
	Policies  []Policy
	Seeds     []uint64
	// Duration is the simulated duration of one run.
	Duration time.Duration
	// Parallelism is the maximum number of concurrent runs; values below 1 mean 1.
	Parallelism int
}

// Policy is a named scheduler under test.
type Policy struct {
	Name string
	New  func(seed uint64) placement.Scheduler
}

// Policies returns the production scheduler and the baselines.
func Policies() []Policy {
	policies := []Policy{newColocatorPolicy("colocator")}
	for _, p := range baseline.Policies() {
		policies = append(policies, Policy{
			Name: string(p),
			New:  func(seed uint64) placement.Scheduler { return baseline.New(baseline.Config{Policy: p, Seed: seed}) },
		})
	}
	return policies
}

// Ablations returns the production scheduler, and variants that each have one mechanism
// disabled.
func Ablations() []Policy {
	policies := []Policy{newColocatorPolicy("colocator")}
	for _, m := range placement.Mechanisms() {
		policies = append(policies, newColocatorPolicy("without "+string(m), m))
	}
	return policies
}

func newColocatorPolicy(name string, disabled ...placement.Mechanism) Policy {
	return Policy{
		Name: name,
		New:  func(uint64) placement.Scheduler { return placement.New(placement.Config{Disabled: disabled}) },
	}
}

// Row holds the results of one policy in one scenario at one site, one result per seed.
type Row struct {
	Site     string   `json:"site"`
	Scenario Scenario `json:"scenario"`
	Policy   string   `json:"policy"`
	Results  []Result `json:"results"`
}

// Run runs all combinations of site, scenario, policy and seed. It returns the rows in
// order of site, scenario and policy. Canceling ctx prevents further runs from starting; a
// run in progress is completed. It returns ErrNotFound if a site has no snapshot.
func Run(ctx context.Context, cfg Config) ([]Row, error) {
	var rows []Row
	for _, site := range cfg.Sites {
		for _, sc := range cfg.Scenarios {
			for _, p := range cfg.Policies {
				rows = append(rows, Row{Site: site.Name, Scenario: sc, Policy: p.Name, Results: make([]Result, len(cfg.Seeds))})
			}
		}
	}
	runs := pool.New().WithMaxGoroutines(max(cfg.Parallelism, 1)).WithContext(ctx)
	for i := range rows {
		for k, seed := range cfg.Seeds {
			runs.Go(func(ctx context.Context) error {
				return cfg.runSeed(ctx, &rows[i], k, seed)
			})
		}
	}
	return rows, runs.Wait()
}

// runSeed runs the seed with index k and stores its result in the row.
func (cfg *Config) runSeed(ctx context.Context, row *Row, k int, seed uint64) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	site := cfg.Sites[slices.IndexFunc(cfg.Sites, func(s Site) bool { return s.Name == row.Site })]
	policy := cfg.Policies[slices.IndexFunc(cfg.Policies, func(p Policy) bool { return p.Name == row.Policy })]
	snapshot := cfg.Snapshots[site.Name]
	if snapshot == nil {
		return heatherhub.ErrNotFound.New("site %s has no declarations: give the directory that contains them", site.Name)
	}
	row.Results[k] = newSimulation(&site, snapshot, row.Scenario, policy, seed, cfg.Duration).run()
	return nil
}
