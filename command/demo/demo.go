// Package demo implements "heatherhub demo", which simulates a day of both sites in one
// process and checks the guarantees against what the simulated workers recorded.
//
// # Usage
//
//	heatherhub demo
//	heatherhub demo --json --site vanroosbroeck --day 20s
//
// Progress goes to standard error. The exit status is 6 if a guarantee was violated.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/output"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/process/demo"
	"heatherhub.example/heatherhub/process/logs"
)

// Limits of the options.
const (
	minDay   = 5 * time.Second
	maxDay   = 10 * time.Minute
	maxSpeed = 100_000
)

// Options are the command-line options.
type Options struct {
	Site     string        `arg:"--site,env:HEATHERHUB_DEMO_SITE" placeholder:"NAME" help:"run one site alone: vanroosbroeck or abayskyclaim"`
	Day      time.Duration `arg:"--day,env:HEATHERHUB_DEMO_DAY" default:"30s" placeholder:"TIME" help:"length of the compressed day"`
	Speed    int           `arg:"--speed,env:HEATHERHUB_DEMO_SPEED" default:"120" placeholder:"N" help:"divide the run times of batch tasks by N"`
	Seed     uint64        `arg:"--seed,env:HEATHERHUB_DEMO_SEED" default:"1" placeholder:"N" help:"seed of loads and true sizes"`
	JSON     bool          `arg:"--json" help:"print the account as JSON"`
	LogLevel string        `arg:"--log-level,env:HEATHERHUB_DEMO_LOG_LEVEL" default:"off" placeholder:"LEVEL" help:"log of the entry hosts: off, debug, info, warn or error"`
}

// runFunc has the signature of demo.Run.
type runFunc func(ctx context.Context, cfg demo.Config) ([]demo.Result, error)

// Run runs the demo and prints its results. It returns an error with the status
// GuaranteeViolated if a site violated a guarantee.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	return o.run(ctx, f.IO, demo.Run)
}

func (o *Options) run(ctx context.Context, s *streams.IO, run runFunc) error {
	cfg, err := o.config(s)
	if err != nil {
		return err
	}
	results, err := run(ctx, cfg)
	if err != nil {
		return err
	}
	if err := o.print(s, results); err != nil {
		return err
	}
	return CheckGuarantees(results)
}

func (o *Options) config(s *streams.IO) (demo.Config, error) {
	cfg := demo.Config{Day: o.Day, Speed: o.Speed, Seed: o.Seed, Progress: &lockedWriter{w: s.Err}}
	if o.Day < minDay || o.Day > maxDay {
		return cfg, exitcode.UsageErrorf("--day %s is not from %s to %s", o.Day, minDay, maxDay)
	}
	if o.Speed < 1 || o.Speed > maxSpeed {
		return cfg, exitcode.UsageErrorf("--speed %d is not from 1 to %d", o.Speed, maxSpeed)
	}
	for _, site := range demo.Sites() {
		if o.Site == "" || o.Site == site.Name {
			cfg.Sites = append(cfg.Sites, site)
		}
	}
	if len(cfg.Sites) == 0 {
		return cfg, exitcode.UsageErrorf("--site %q does not exist: use vanroosbroeck or abayskyclaim", o.Site)
	}
	if o.LogLevel == "off" {
		cfg.Log = zap.NewNop()
		return cfg, nil
	}
	var err error
	cfg.Log, err = logs.New(logs.Config{Out: s.Err, Level: o.LogLevel})
	return cfg, err
}

// lockedWriter serializes the progress lines of sites that run concurrently.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// print writes the results to standard output and the findings, one line per violation,
// to standard error. JSON has the findings within the results.
func (o *Options) print(s *streams.IO, results []demo.Result) error {
	if o.JSON {
		encoder := json.NewEncoder(s.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	for i := range results {
		printResult(w, &results[i])
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for i := range results {
		for _, finding := range results[i].Findings {
			fmt.Fprintln(s.Err, results[i].Site, finding)
		}
	}
	return nil
}

func printResult(w io.Writer, r *demo.Result) {
	fmt.Fprintf(w, "%s\n\n", r.Site)
	fmt.Fprintln(w, "SERVICE\tSENT\tANSWERED\tON TIME\tNOT RUN\tUNKNOWN\tP50\tP99")
	for _, s := range r.Services {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", s.Workload, s.Sent, s.Answered, s.OnTime,
			s.NotRun, s.Unknown, output.Duration(s.P50), output.Duration(s.P99))
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "JOBS\tFINISHED\tREFUSED\tTASKS\tEVICTED\tRESUMED")
	b := r.Batch
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\n\n", b.Jobs, b.Finished, b.Refused, b.Tasks, b.Evicted, b.Resumed)
	fmt.Fprintln(w, "LOST\tDOUBLED\tOVERCOMMITTED\tBLURRED\tFOREIGN\tCUT OFF")
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\n\n", r.Lost, r.Duplicates, r.Overcommits, r.RefusedButRan, r.WrongAnswers, r.CutOff)
}

// CheckGuarantees returns an error with the status GuaranteeViolated for the first site
// that violated a guarantee.
func CheckGuarantees(results []demo.Result) error {
	for i := range results {
		r := &results[i]
		if !r.IsClean() {
			return exitcode.ViolationErrorf("%s: a guarantee was violated: lost %d, doubled %d, overcommitted %d, blurred %d, foreign %d, cut off %d: run again with --log-level info and see docs/operate/faults.md",
				r.Site, r.Lost, r.Duplicates, r.Overcommits, r.RefusedButRan, r.WrongAnswers, r.CutOff)
		}
	}
	return nil
}
