// Package load is the command that sends an open-loop load to running entry hosts
// and checks every answer.
//
// # Usage
//
//	heatherhub load --target 10.0.1.1:7101 --target 10.0.2.1:7101 \
//	    --rate 200 --duration 30s --mix compile=3,simulation=1
//
// Requests are sent at times that do not depend on the answers, and a latency
// counts from the intended time, so a slow system does not slow the load down.
// Every body has a token of its own. The answer must contain the whole body, as
// the stand-in's workers send it back: an answer without it is foreign, one with
// a part of it truncated, and one with the token twice doubled. Each of these
// makes the exit status 6.
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
	// token is unique over all runs.
	token string
	// intended is when the request should have been sent.
	intended time.Time
}

// run is one run of the load.
type run struct {
	cfg     Config
	clock   clockwork.Clock
	random  *rand.Rand
	targets *targets

	mu     sync.Mutex
	result *Result
}

// Config says what to send, and where.
type Config struct {
	// Targets are the caller addresses of entry hosts, IP and port.
	Targets []string
	// Rate is the mean number of requests a second.
	Rate float64
	// Duration and Requests bound the run; the first to be reached ends it.
	Duration    time.Duration
	MaxRequests int
	Mix         []MixEntry
	// Deadline is the time within which a request must be answered.
	Deadline time.Duration
	// MaxAttempts bounds how often one request is sent, with the same key.
	MaxAttempts int
	BodyBytes   int
	// InFlight bounds the requests under way. What waits for room counts from its
	// intended time.
	InFlight int
	Seed     uint64
	// RunID makes the tokens of this run its own.
	RunID string
	Clock clockwork.Clock
}

// MixEntry is one workload of the mix.
type MixEntry struct {
	Workload heatherhub.WorkloadID
	Weight   float64
}

// Run sends the load and returns what came of it. It ends early with ctx.
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

// send starts each request at its time. Arrivals are a Poisson process.
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

// waitUntil reports whether the time came before the end of ctx.
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

// pick draws a workload by its weight.
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
