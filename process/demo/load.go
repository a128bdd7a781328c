package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/request/caller"
)

// Limits of the demo's callers.
const (
	maxAttempts    = 4
	healthInterval = 200 * time.Millisecond
	retryDelay     = 50 * time.Millisecond
	maxAnswerBytes = 1 << 20
)

// loadGenerator sends requests to the entry hosts of a cluster, as a balancer in front
// of them would, at times that do not depend on the answers.
type loadGenerator struct {
	cluster  *Cluster
	snapshot *heatherhub.Snapshot
	client   *http.Client
	healthy  atomic.Pointer[[]string]
	next     atomic.Uint64
	stats    *callerStats
	seed     uint64
	start    time.Time
	group    conc.WaitGroup
}

func newLoadGenerator(c *Cluster, s *heatherhub.Snapshot, seed uint64) *loadGenerator {
	addresses := c.CallerAddresses()
	g := &loadGenerator{
		cluster: c, snapshot: s, seed: seed, stats: newCallerStats(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	g.healthy.Store(&addresses)
	return g
}

// run sends the day's requests and waits for their answers.
func (g *loadGenerator) run(ctx context.Context, day time.Duration) {
	g.start = time.Now()
	ctx, stop := context.WithCancel(ctx)
	var health conc.WaitGroup
	health.Go(func() { g.watchHealth(ctx) })
	for id, rate := range g.cluster.site.Rates {
		g.group.Go(func() { g.sendRequests(ctx, id, rate, day) })
	}
	g.group.Wait()
	stop()
	health.Wait()
	g.client.CloseIdleConnections()
}

// watchHealth drops the entry hosts whose health check fails.
func (g *loadGenerator) watchHealth(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var healthy []string
		for _, a := range g.cluster.CallerAddresses() {
			if g.isHealthy(ctx, a) {
				healthy = append(healthy, a)
			}
		}
		if len(healthy) > 0 {
			g.healthy.Store(&healthy)
		}
	}
}

func (g *loadGenerator) isHealthy(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+caller.PathHealth, nil)
	if err != nil {
		return false
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// sendRequests sends one service's requests over the day.
func (g *loadGenerator) sendRequests(ctx context.Context, id heatherhub.WorkloadID, rate float64, day time.Duration) {
	w := g.snapshot.Workload(id)
	random := rand.New(rand.NewPCG(g.seed, uint64(len(id))<<8|uint64(id[0])))
	at := time.Duration(0)
	for n := 0; ; n++ {
		share := relativeLoad(float64(at) / float64(day))
		at += time.Duration(random.ExpFloat64() / (rate * share) * float64(time.Second))
		if at >= day || !sleepUntil(ctx, g.start.Add(at)) {
			return
		}
		intended := g.start.Add(at)
		g.group.Go(func() { g.sendWithRetries(ctx, w, n, intended) })
	}
}

// relativeLoad is the share of the busiest hour's load at a point of the day, 0 to 1:
// quiet at night, busiest in the morning.
func relativeLoad(point float64) float64 {
	switch {
	case point < 0.2:
		return 0.2
	case point < 0.35:
		return 0.6
	case point < 0.55:
		return 1
	case point < 0.8:
		return 0.6
	default:
		return 0.25
	}
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// outcome is what a caller knows of one request in the end.
type outcome struct {
	kind        caller.Outcome
	isOwnAnswer bool
	elapsed     time.Duration
}

// sendWithRetries sends one request, and again with the same key while it is refused as not
// run and there is time.
func (g *loadGenerator) sendWithRetries(ctx context.Context, w *heatherhub.Workload, n int, intended time.Time) {
	key := heatherhub.IdempotencyKey(fmt.Sprintf("%s-%s-%d", g.cluster.site.Name, w.ID, n))
	deadline := intended.Add(w.Deadline)
	var last outcome
	mayHaveRun := false
	for attempt := range maxAttempts {
		var pause time.Duration
		last, pause = g.attempt(ctx, w, key, attempt, deadline)
		if last.kind == caller.OutcomeAnswered {
			break
		}
		mayHaveRun = mayHaveRun || last.kind != caller.OutcomeNotRun
		if !sleepUntil(ctx, time.Now().Add(max(pause, retryDelay))) || !time.Now().Before(deadline) {
			break
		}
	}
	if mayHaveRun && last.kind == caller.OutcomeNotRun {
		// A refusal speaks of its own attempt; an earlier one may have run.
		last.kind = caller.OutcomeUnknown
	}
	last.elapsed = time.Since(intended)
	g.stats.record(w, key, last)
}

func (g *loadGenerator) attempt(ctx context.Context, w *heatherhub.Workload, key heatherhub.IdempotencyKey, attempt int, deadline time.Time) (outcome, time.Duration) {
	left := time.Until(deadline)
	ctx, cancel := context.WithTimeout(ctx, left+w.Deadline)
	defer cancel()
	hosts := *g.healthy.Load()
	address := hosts[g.next.Add(1)%uint64(len(hosts))]
	// All attempts of a key have one body; the request id tells them apart.
	token := fmt.Sprintf("%s/%d", key, attempt)
	url := "http://" + address + "/v1/services/" + string(w.ID)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(string(key)+"/"))
	if err != nil {
		return outcome{kind: caller.OutcomeNotRun}, 0
	}
	if !w.Idempotent {
		req.Header.Set(caller.HeaderKey, string(key))
	}
	req.Header.Set(caller.HeaderRequestID, token)
	req.Header.Set(caller.HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	resp, err := g.client.Do(req)
	if err != nil {
		return outcome{kind: caller.OutcomeUnknown}, 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return outcome{kind: caller.OutcomeUnknown}, 0
	}
	kind := caller.Outcome(resp.Header.Get(caller.HeaderOutcome))
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	// A repeated key gets the answer of its first run.
	isOwn := bytes.Contains(body, []byte(string(key)+"/"))
	return outcome{kind: kind, isOwnAnswer: isOwn}, time.Duration(seconds) * time.Second
}
