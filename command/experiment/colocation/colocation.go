// Package colocation implements "heatherhub experiment colocation", which compares the
// placement with baselines, or with variants that each lack one mechanism, in
// simulation and writes tables, JSON and plots.
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

// Options are the command-line options.
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

// Run runs the experiment and writes the result to stdout, the elapsed time to stderr.
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

// rows runs the experiment, or reads the result rows of earlier runs if --from is given.
func (o *Options) rows(ctx context.Context, cfg colocation.Config) ([]colocation.Row, error) {
	if len(o.ResultFiles) == 0 {
		return colocation.Run(ctx, cfg)
	}
	var rows []colocation.Row
	for _, name := range o.ResultFiles {
		f, err := os.Open(name)
		if err != nil {
			return nil, heatherhub.ErrNotFound.Wrap(err, "cannot read %s: name a file written with --json", name)
		}
		fileRows, err := colocation.ReadJSON(f)
		if err := errors.Join(err, f.Close()); err != nil {
			return nil, err
		}
		rows = append(rows, fileRows...)
	}
	return rows, nil
}

// config validates the options and builds the configuration, including the snapshots of
// the selected sites.
func (o *Options) config() (colocation.Config, error) {
	cfg := colocation.Config{Duration: o.Duration, Parallelism: o.Threads, Snapshots: make(map[string]*heatherhub.Snapshot)}
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
		return cfg, heatherhub.ErrInvalid.New("no site, scenario or policy has the given name: omit the option to run all")
	}
	return cfg, o.readSnapshots(&cfg)
}

// readSnapshots reads the declarations of each site and puts its initial preset in
// force.
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

// plot writes one SVG file per site if --plot is given.
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

// filterByName returns the values with the given names, or all if no names are given.
func filterByName[T any](all []T, names []string, name func(T) string) []T {
	if len(names) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(v T) bool { return !slices.Contains(names, name(v)) })
}
