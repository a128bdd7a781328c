// Package load implements "heatherhub load", which sends an open-loop load to running
// entry hosts and checks every answer.
//
// # Usage
//
//	heatherhub load --target 10.0.1.1:7101 --target 10.0.2.1:7101 \
//	    --rate 200 --duration 30s --mix compile=3,simulation=1
//
// Request times do not depend on the answers, and latency is measured from the
// intended send time, which avoids coordinated omission: a slow system neither slows
// the load down nor hides its delays. Every body starts with a unique token, and the
// workers of the stand-in echo the body. An answer without the token is foreign, one
// with only a part of the body is truncated, and one with the token twice is doubled.
// Any of these makes the exit status 6.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"heatherhub.example/heatherhub"
)

// request is one request of the load.
type request struct {
	workload heatherhub.WorkloadID
	// token identifies the request. It is unique over all runs and is also the
	// idempotency key.
	token string
	// intended is the scheduled send time, from which latency is measured.
	intended time.Time
}

// run is the state of one load run. mu guards result.
type run struct {
	cfg     Config
	clock   clockwork.Clock
	random  *rand.Rand
	targets *targets

	mu     sync.Mutex
	result *Result
}

// Config configures a load run.
type Config struct {
	// Targets are the caller addresses of entry hosts, as IP:port.
	Targets []string
	// Rate is the mean number of requests per second.
	Rate float64
	// Duration and MaxRequests bound the run; it ends at the first to be reached.
	Duration    time.Duration
	MaxRequests int
	Mix         []MixEntry
	// Deadline is the time from the intended send time to the answer.
	Deadline time.Duration
	// MaxAttempts bounds the attempts per request, all with the same idempotency key.
	MaxAttempts int
	BodyBytes   int
	// InFlight bounds the concurrent requests. The wait of a request for a free place
	// counts towards its latency.
	InFlight int
	Seed     uint64
	// RunID is the prefix of this run's tokens; it must be unique per run.
	RunID string
	Clock clockwork.Clock
}

// MixEntry is a workload with its relative share of the requests.
type MixEntry struct {
	Workload heatherhub.WorkloadID
	Weight   float64
}

// Run sends the load, waits for all requests and returns their statistics. Cancelling
// ctx ends it early.
func Run(ctx context.Context, cfg Config) *Result {
	r := &run{
		cfg:     cfg,
		clock:   cfg.Clock,
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		targets: newTargets(cfg),
		result:  newResult(cfg.Mix),
	}
	healthCtx, stopHealthChecks := context.WithCancel(ctx)
	var group conc.WaitGroup
	group.Go(func() { r.targets.checkHealth(healthCtx) })
	start := r.clock.Now()
	r.sendAll(ctx, start)
	r.result.Elapsed = r.clock.Since(start)
	stopHealthChecks()
	group.Wait()
	return r.result
}

// sendAll starts each request at its scheduled time. Arrivals are a Poisson process.
func (r *run) sendAll(ctx context.Context, start time.Time) {
	workers := pool.New().WithMaxGoroutines(r.cfg.InFlight)
	defer workers.Wait()
	sendAt := start
	for n := range r.cfg.MaxRequests {
		sendAt = sendAt.Add(time.Duration(r.random.ExpFloat64() / r.cfg.Rate * float64(time.Second)))
		if sendAt.Sub(start) > r.cfg.Duration || !r.waitUntil(ctx, sendAt) {
			return
		}
		req := request{workload: r.pickWorkload(), token: fmt.Sprintf("%s-%d", r.cfg.RunID, n), intended: sendAt}
		workers.Go(func() { r.record(req, r.sendWithRetries(ctx, req)) })
	}
}

// waitUntil waits until t. It returns false if ctx ends first.
func (r *run) waitUntil(ctx context.Context, t time.Time) bool {
	d := t.Sub(r.clock.Now())
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-r.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// pickWorkload draws a random workload in proportion to the weights.
func (r *run) pickWorkload() heatherhub.WorkloadID {
	total := 0.0
	for _, s := range r.cfg.Mix {
		total += s.Weight
	}
	x := r.random.Float64() * total
	for _, s := range r.cfg.Mix {
		if x -= s.Weight; x < 0 {
			return s.Workload
		}
	}
	return r.cfg.Mix[len(r.cfg.Mix)-1].Workload
}

func (r *run) record(req request, e exchange) {
	latency := r.clock.Since(req.intended)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.add(req.workload, e, latency, r.cfg.Deadline)
}
