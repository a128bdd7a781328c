// Package demo runs a day of both sites in one process: the platform's stand-in,
// the entry hosts, callers and operators. A worker and an entry host are lost on
// the way, another entry host is replaced. The account at the end is computed
// from what the workers and the callers saw, not from the entry hosts' counters.
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
// The day's load, its switches and its faults are compressed into Config.Day; the
// run times of batch tasks are divided by Config.Speed. The scheduler's own times
// (leases, heartbeats) are the real ones.
package demo

import (
	"context"
	"io"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"
)

// Defaults and times of the demo.
const (
	DefaultDay   = 30 * time.Second
	DefaultSpeed = 120
	// startTimeout is the longest time until every service runs.
	startTimeout = time.Minute
	// finishTimeout is the longest time until the last batch task has finished:
	// twice the 90 s that the work of a worker may rest that is lost together with
	// an entry host.
	finishTimeout = 180 * time.Second
	hostListLag   = time.Second
	// deadHostListDelay is the time until the platform's list drops a dead host.
	deadHostListDelay = 5 * time.Second
	usageLag          = 2 * time.Second
	balancerDelay     = 500 * time.Millisecond
)

// Largest relative errors of what the sites declare.
const (
	sizeError    = 1.0
	runTimeError = 1.0
)

// Config configures a run.
type Config struct {
	// Sites is nil for both sites.
	Sites []Site
	// Day is the length of the compressed day; zero for DefaultDay.
	Day time.Duration
	// Speed divides the run times of batch tasks; zero for DefaultSpeed.
	Speed int
	Seed  uint64
	// Progress gets a line for each event.
	Progress io.Writer
	Log      *zap.Logger
	// Midday is called in the middle of the day; nil for nothing. Tests break a
	// promise with it.
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

// Run runs the day of every site, all at the same time.
func Run(ctx context.Context, cfg Config) ([]Result, error) {
	cfg.setDefaults()
	p := pool.NewWithResults[Result]().WithErrors()
	for _, site := range cfg.Sites {
		p.Go(func() (Result, error) { return runSite(ctx, cfg, site) })
	}
	return p.Wait()
}

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
	d := &siteRun{cfg: cfg, cluster: c, site: site}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.prepare(startCtx, snapshot); err != nil {
		return Result{}, err
	}
	callers := newLoadGenerator(c, snapshot, cfg.Seed)
	if err := d.runWithLoad(ctx, callers); err != nil {
		return Result{}, err
	}
	finishCtx, cancelFinish := context.WithTimeout(ctx, finishTimeout)
	defer cancelFinish()
	result := func() Result {
		return buildResult(site, snapshot, c.platform.Histories(), callers.stats, &d.jobs)
	}
	d.waitForJobs(finishCtx, func() bool { r := result(); return r.Batch.Finished == r.Batch.Jobs })
	r := result()
	d.logEvent("%d of %d jobs finished", r.Batch.Finished, r.Batch.Jobs)
	if r.Batch.Finished < r.Batch.Jobs {
		d.logUnfinishedJobs(ctx)
	}
	r.Events = d.events
	return r, nil
}

// runWithLoad runs callers and events at the same time.
func (d *siteRun) runWithLoad(ctx context.Context, load *loadGenerator) error {
	p := pool.New().WithErrors()
	p.Go(func() error { load.run(ctx, d.cfg.Day); return nil })
	p.Go(func() error { return d.run(ctx) })
	if d.cfg.Midday != nil {
		p.Go(func() error {
			if sleepUntil(ctx, time.Now().Add(d.cfg.Day/2)) {
				d.cfg.Midday(ctx, d.cluster)
			}
			return nil
		})
	}
	return p.Wait()
}
