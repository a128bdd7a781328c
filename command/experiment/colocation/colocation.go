// Package colocation is the command "heatherhub experiment colocation": it
// measures the placement against its baselines, or with each mechanism off, and
// writes tables, JSON and plots.
//
// # Usage
//
//	err := colocation.Run(ctx, stdout, stderr, &colocation.Options{SitesDir: "sites", Seeds: 5})
package colocation

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/experiment/colocation"
	"heatherhub.example/heatherhub/version/declaration"
)

// Options are the settings of the command.
type Options struct {
	SitesDir    string        `arg:"--sites,env:HEATHERHUB_EXPERIMENT_SITES" default:"sites" help:"directory with a directory of declarations for each site"`
	SiteNames   []string      `arg:"--site,separate" help:"site by name; both if none is given"`
	Scenarios   []string      `arg:"--scenario,separate" help:"scenario by name; all if none is given"`
	Policies    []string      `arg:"--policy,separate" help:"policy by name; all if none is given"`
	Ablations   bool          `arg:"--ablations" help:"switch each mechanism off in turn in place of the baselines"`
	Seeds       int           `arg:"--seeds,env:HEATHERHUB_EXPERIMENT_SEEDS" default:"5" help:"number of seeds"`
	FirstSeed   uint64        `arg:"--first-seed" default:"11" help:"first seed; the others follow it"`
	Duration    time.Duration `arg:"--duration,env:HEATHERHUB_EXPERIMENT_DURATION" default:"12m" help:"virtual time of one run"`
	Threads     int           `arg:"--threads" default:"3" help:"number of runs at once"`
	JSON        bool          `arg:"--json" help:"write JSON in place of tables"`
	ResultFiles []string      `arg:"--from,separate" help:"file with the JSON of an earlier run; reports it in place of running"`
	PlotDir     string        `arg:"--plot" help:"directory for a plot of each site"`
}

// Run carries out the experiment and writes its result to stdout.
func Run(ctx context.Context, stdout, stderr io.Writer, o *Options) error {
	cfg, err := o.config()
	if err != nil {
		return err
	}
	start := time.Now()
	rows, err := o.rows(ctx, cfg)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(stderr, "%d rows over %d seeds in %s\n", len(rows), o.Seeds, time.Since(start).Round(time.Second)); err != nil {
		return err
	}
	if err := o.plot(cfg.Sites, rows); err != nil {
		return err
	}
	if o.JSON {
		return colocation.WriteJSON(stdout, rows)
	}
	if err := colocation.WriteSummary(stdout, rows); err != nil {
		return err
	}
	return colocation.WriteMarkdown(stdout, rows)
}

// rows runs the experiment, or reads the rows of earlier runs.
func (o *Options) rows(ctx context.Context, cfg colocation.Config) ([]colocation.Row, error) {
	if len(o.ResultFiles) == 0 {
		return colocation.Run(ctx, cfg)
	}
	var rows []colocation.Row
	for _, name := range o.ResultFiles {
		f, err := os.Open(name)
		if err != nil {
			return nil, heatherhub.ErrNotFound.Wrap(err, "cannot read %s: name a file that --json wrote", name)
		}
		fileRows, err := colocation.ReadJSON(f)
		if err := errors.Join(err, f.Close()); err != nil {
			return nil, err
		}
		rows = append(rows, fileRows...)
	}
	return rows, nil
}

func (o *Options) config() (colocation.Config, error) {
	cfg := colocation.Config{Duration: o.Duration, Threads: o.Threads, Snapshots: make(map[string]*heatherhub.Snapshot)}
	if o.Seeds < 1 || o.Duration < time.Minute {
		return cfg, heatherhub.ErrInvalid.New("seeds %d and duration %s: use at least 1 seed and 1m", o.Seeds, o.Duration)
	}
	for i := range o.Seeds {
		cfg.Seeds = append(cfg.Seeds, o.FirstSeed+uint64(i))
	}
	policies := colocation.Policies()
	if o.Ablations {
		policies = colocation.Ablations()
	}
	cfg.Sites = filterByName(colocation.Sites(), o.SiteNames, func(s colocation.Site) string { return s.Name })
	cfg.Scenarios = filterByName(colocation.Scenarios(), o.Scenarios, func(s colocation.Scenario) string { return string(s) })
	cfg.Policies = filterByName(policies, o.Policies, func(p colocation.Policy) string { return p.Name })
	if len(cfg.Sites) == 0 || len(cfg.Scenarios) == 0 || len(cfg.Policies) == 0 {
		return cfg, heatherhub.ErrInvalid.New("no site, scenario or policy has the given name: leave the option out to run all")
	}
	return cfg, o.readSnapshots(&cfg)
}

func (o *Options) readSnapshots(cfg *colocation.Config) error {
	for _, s := range cfg.Sites {
		set, err := declaration.ReadDir(os.DirFS(filepath.Join(o.SitesDir, s.Name)))
		if err != nil {
			return err
		}
		snapshot := set.Snapshot()
		snapshot.InForce = set.Initial
		cfg.Snapshots[s.Name] = snapshot
	}
	return nil
}

func (o *Options) plot(sites []colocation.Site, rows []colocation.Row) error {
	if o.PlotDir == "" {
		return nil
	}
	for _, s := range sites {
		path := filepath.Join(o.PlotDir, "colocation-"+s.Name+".svg")
		if err := colocation.WritePlot(path, s.Name, rows); err != nil {
			return err
		}
	}
	return nil
}

func filterByName[T any](all []T, names []string, name func(T) string) []T {
	if len(names) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(v T) bool { return !slices.Contains(names, name(v)) })
}
