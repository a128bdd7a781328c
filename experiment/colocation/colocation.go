// Package colocation measures the placement with services and batch work on the
// same workers: the schedulers of process/placement and its baselines run in
// virtual time over the worker model, with the declarations of a site, its
// layout of shards and its owners' reconciliation of replicas.
//
// # Usage
//
//	result, err := colocation.Run(ctx, colocation.Config{
//		Sites: colocation.Sites(), Snapshots: snapshots, Seeds: []uint64{1, 2, 3, 4, 5},
//		Policies: colocation.Policies(), Duration: 15 * time.Minute, Threads: 4,
//	})
//	err = colocation.WriteMarkdown(w, result)
//
// Every run depends on its seed alone. Policies see the same arrivals, true
// sizes and faults.
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
	// Snapshots holds the declarations of each site by its name.
	Snapshots map[string]*heatherhub.Snapshot
	Scenarios []Scenario
	Policies  []Policy
	Seeds     []uint64
	// Duration is the virtual time of one run.
	Duration time.Duration
	// Parallelism is the number of runs at once.
	Parallelism int
}

// Policy is one scheduler under test.
type Policy struct {
	Name string
	New  func(seed uint64) placement.Scheduler
}

// Policies returns the product's scheduler and the baselines.
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

// Ablations returns the product's scheduler whole and with each mechanism off.
func Ablations() []Policy {
	policies := []Policy{newColocatorPolicy("colocator")}
	for _, m := range placement.Mechanisms() {
		policies = append(policies, newColocatorPolicy("without "+string(m), m))
	}
	return policies
}

func newColocatorPolicy(name string, off ...placement.Mechanism) Policy {
	return Policy{
		Name: name,
		New:  func(uint64) placement.Scheduler { return placement.New(placement.Config{Disabled: off}) },
	}
}

// Row is one policy in one scenario of one site over all seeds.
type Row struct {
	Site     string   `json:"site"`
	Scenario Scenario `json:"scenario"`
	Policy   string   `json:"policy"`
	Results  []Result `json:"results"`
}

// Run carries out all runs. It returns the rows in order of site, scenario and
// policy.
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

func (cfg *Config) runSeed(ctx context.Context, row *Row, k int, seed uint64) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	site := cfg.Sites[slices.IndexFunc(cfg.Sites, func(s Site) bool { return s.Name == row.Site })]
	policy := cfg.Policies[slices.IndexFunc(cfg.Policies, func(p Policy) bool { return p.Name == row.Policy })]
	snapshot := cfg.Snapshots[site.Name]
	if snapshot == nil {
		return heatherhub.ErrNotFound.New("site %s has no declarations: name their directory", site.Name)
	}
	row.Results[k] = newSimulation(&site, snapshot, row.Scenario, policy, seed, cfg.Duration).run()
	return nil
}
