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
	// maxAttempts is the number of times that a request is sent.
	maxAttempts = 4
	// healthInterval is the time between two health checks, and the timeout of one.
	healthInterval = 200 * time.Millisecond
	// retryDelay is the shortest pause between two attempts.
	retryDelay     = 50 * time.Millisecond
	maxAnswerBytes = 1 << 20
)

// loadGenerator sends the callers' requests to the healthy entry hosts of a cluster
// in turn, as a load balancer would. It is an open loop: the times of the requests
// do not depend on the answers.
type loadGenerator struct {
	cluster  *Cluster
	snapshot *heatherhub.Snapshot
	client   *http.Client
	// healthy is the caller addresses of the entry hosts that pass health checks.
	healthy atomic.Pointer[[]string]
	// next counts attempts, to pick the entry hosts in turn.
	next  atomic.Uint64
	stats *callerStats
	seed  uint64
	// start is the start of the day.
	start time.Time
	group conc.WaitGroup
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

// run sends the requests of the day and waits for their answers.
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

// watchHealth updates the list of healthy entry hosts until ctx ends. If no host is
// healthy, the list stays as it was.
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

// isHealthy reports whether an entry host answers its health check with status 200.
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

// sendRequests sends the requests of one service as a Poisson process whose rate
// follows the time of the day.
func (g *loadGenerator) sendRequests(ctx context.Context, id heatherhub.WorkloadID, rate float64, day time.Duration) {
	w := g.snapshot.Workload(id)
	random := rand.New(rand.NewPCG(g.seed, uint64(len(id))<<8|uint64(id[0])))
	at := time.Duration(0)
	for n := 0; ; n++ {
		load := relativeLoad(float64(at) / float64(day))
		at += time.Duration(random.ExpFloat64() / (rate * load) * float64(time.Second))
		if at >= day || !sleepUntil(ctx, g.start.Add(at)) {
			return
		}
		due := g.start.Add(at)
		g.group.Go(func() { g.sendWithRetries(ctx, w, n, due) })
	}
}

// relativeLoad returns the load at a time of the day as a share of the busiest
// hour's, 0 to 1: lowest at night, highest in the late morning. The time is a share
// of the day, 0 to 1.
func relativeLoad(timeOfDay float64) float64 {
	switch {
	case timeOfDay < 0.2:
		return 0.2
	case timeOfDay < 0.35:
		return 0.6
	case timeOfDay < 0.55:
		return 1
	case timeOfDay < 0.8:
		return 0.6
	default:
		return 0.25
	}
}

// sleepUntil sleeps until t and reports whether ctx was still live.
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

// outcome is the result of a request, or of one attempt, as its caller knows it.
type outcome struct {
	kind caller.Outcome
	// isOwnAnswer says that the answer is complete and belongs to the request.
	isOwnAnswer bool
	// elapsed is the time since the request was due, retries included.
	elapsed time.Duration
}

// sendWithRetries sends a request until it is answered, its deadline has passed or
// maxAttempts is reached, and records its outcome. All attempts use the same
// idempotency key.
func (g *loadGenerator) sendWithRetries(ctx context.Context, w *heatherhub.Workload, n int, due time.Time) {
	key := heatherhub.IdempotencyKey(fmt.Sprintf("%s-%s-%d", g.cluster.site.Name, w.ID, n))
	deadline := due.Add(w.Deadline)
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
		// The refusal covers only the last attempt; an earlier one may have run.
		last.kind = caller.OutcomeUnknown
	}
	last.elapsed = time.Since(due)
	g.stats.record(w, key, last)
}

// attempt sends a request once. It returns the outcome and the pause that a
// Retry-After header asks for.
func (g *loadGenerator) attempt(ctx context.Context, w *heatherhub.Workload, key heatherhub.IdempotencyKey, attempt int, deadline time.Time) (outcome, time.Duration) {
	left := time.Until(deadline)
	ctx, cancel := context.WithTimeout(ctx, left+w.Deadline)
	defer cancel()
	hosts := *g.healthy.Load()
	address := hosts[g.next.Add(1)%uint64(len(hosts))]
	// All attempts of a key send the same body; their request ids differ.
	requestID := fmt.Sprintf("%s/%d", key, attempt)
	url := "http://" + address + "/v1/services/" + string(w.ID)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(string(key)+"/"))
	if err != nil {
		return outcome{kind: caller.OutcomeNotRun}, 0
	}
	if !w.Idempotent {
		req.Header.Set(caller.HeaderKey, string(key))
	}
	req.Header.Set(caller.HeaderRequestID, requestID)
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
	// The workers return the body as the answer. The body holds the key and not the
	// request id, as a repeated key gets the answer of its first run.
	isOwn := bytes.Contains(body, []byte(string(key)+"/"))
	return outcome{kind: kind, isOwnAnswer: isOwn}, time.Duration(seconds) * time.Second
}
