// Package demo runs a day of one or more sites in one process: the fake platform of
// package standin, the entry hosts, callers and operators. During the day a worker
// and an entry host are killed and another entry host is replaced. The results are
// computed from the histories of the workers and the answers that the callers got,
// not from the entry hosts' own counters.
//
// # Usage
//
//	results, err := demo.Run(ctx, demo.Config{Day: 30 * time.Second, Speed: 60, Progress: os.Stderr})
//	for _, r := range results {
//		if !r.IsClean() {
//			fail(r)
//		}
//	}
//
// The load, the preset switches and the faults of the day are compressed into
// Config.Day; the run times of batch tasks are divided by Config.Speed. The
// scheduler's own times (leases, heartbeats) are not compressed.
package demo

import (
	"context"
	"io"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"
)

// Defaults and times of the demo. DefaultSpeed divides the run times of batch tasks.
const (
	DefaultDay   = 30 * time.Second
	DefaultSpeed = 120
	// startTimeout bounds the time until every replica runs.
	startTimeout = time.Minute
	// finishTimeout bounds the time from the end of the day until the last batch
	// task has finished. If a worker and an entry host are lost together, the tasks
	// of that worker may stall for 90 s; the timeout is twice that.
	finishTimeout = 180 * time.Second
	// hostListLag is the age of the host list that the entry hosts read.
	hostListLag = time.Second
	// deadHostListDelay is the time until the platform's host list drops an entry
	// host that has ended.
	deadHostListDelay = 5 * time.Second
	// usageLag is the age of the usage that the workers report.
	usageLag = 2 * time.Second
	// balancerDelay is how long an entry host that stops gracefully waits until the
	// callers have seen that its health check fails.
	balancerDelay = 500 * time.Millisecond
)

// Largest relative errors of the declared sizes and run times; 1.0 is a factor of
// 1/2 to 2.
const (
	sizeError    = 1.0
	runTimeError = 1.0
)

// Config configures a run.
type Config struct {
	// Sites defaults to Sites().
	Sites []Site
	// Day is the length of the compressed day; it defaults to DefaultDay.
	Day time.Duration
	// Speed divides the run times of batch tasks; it defaults to DefaultSpeed.
	Speed int
	// Seed seeds the load and the true sizes and run times.
	Seed uint64
	// Progress gets a line for each event, from concurrent goroutines if there are
	// several sites.
	Progress io.Writer
	// Log is the log of the entry hosts; it defaults to none.
	Log *zap.Logger
	// Midday, if not nil, is called in the middle of the day. Tests use it to cause
	// a violation.
	Midday func(ctx context.Context, c *Cluster)
}

func (cfg *Config) setDefaults() {
	if cfg.Sites == nil {
		cfg.Sites = Sites()
	}
	if cfg.Day == 0 {
		cfg.Day = DefaultDay
	}
	if cfg.Speed == 0 {
		cfg.Speed = DefaultSpeed
	}
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
}

// Run runs the day of all sites concurrently and returns a result for each. An error
// means that a day could not be run; violations are in the results.
func Run(ctx context.Context, cfg Config) ([]Result, error) {
	cfg.setDefaults()
	p := pool.NewWithResults[Result]().WithErrors()
	for _, site := range cfg.Sites {
		p.Go(func() (Result, error) { return runSite(ctx, cfg, site) })
	}
	return p.Wait()
}

// runSite runs the day of one site and waits until the accepted jobs have finished.
func runSite(ctx context.Context, cfg Config, site Site) (Result, error) {
	snapshot, err := site.snapshot(cfg.Speed)
	if err != nil {
		return Result{}, err
	}
	c, err := StartCluster(ctx, site, cfg.Seed, cfg.Log)
	if err != nil {
		return Result{}, err
	}
	defer c.Close()
	run := &siteRun{cfg: cfg, cluster: c, site: site}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := run.prepare(startCtx, snapshot); err != nil {
		return Result{}, err
	}
	load := newLoadGenerator(c, snapshot, cfg.Seed)
	if err := run.runWithLoad(ctx, load); err != nil {
		return Result{}, err
	}
	finishCtx, cancelFinish := context.WithTimeout(ctx, finishTimeout)
	defer cancelFinish()
	result := func() Result {
		return buildResult(site, snapshot, c.platform.Histories(), load.stats, &run.jobs)
	}
	run.waitForJobs(finishCtx, func() bool { r := result(); return r.Batch.Finished == r.Batch.Jobs })
	r := result()
	run.logEvent("%d of %d jobs finished", r.Batch.Finished, r.Batch.Jobs)
	if r.Batch.Finished < r.Batch.Jobs {
		run.logUnfinishedJobs(ctx)
	}
	r.Events = run.events
	return r, nil
}

// runWithLoad runs the load and the events of the day concurrently.
func (run *siteRun) runWithLoad(ctx context.Context, load *loadGenerator) error {
	p := pool.New().WithErrors()
	p.Go(func() error { load.run(ctx, run.cfg.Day); return nil })
	p.Go(func() error { return run.runEvents(ctx) })
	if run.cfg.Midday != nil {
		p.Go(func() error {
			if sleepUntil(ctx, time.Now().Add(run.cfg.Day/2)) {
				run.cfg.Midday(ctx, run.cluster)
			}
			return nil
		})
	}
	return p.Wait()
}
