package scenario

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/request/caller"
)

const (
	// healthTimeout bounds one health check of the simulated load balancer.
	healthTimeout = time.Second
	// healthInterval is how long the results of the health checks are cached.
	healthInterval = 100 * time.Millisecond
)

// RequestBatch describes a series of requests to one service.
type RequestBatch struct {
	Workload heatherhub.WorkloadID
	Count    int
	// Interval is the time between the starts of two requests. Requests run
	// concurrently.
	Interval time.Duration
	// Key is the idempotency key of every request. If it is empty, each request uses
	// its own ID as the key.
	Key heatherhub.IdempotencyKey
	// Host is the entry host that receives the requests; empty distributes them
	// round-robin over the healthy hosts.
	Host heatherhub.HostID
}

// callerOutcome is the outcome that a caller received for one request.
type callerOutcome struct {
	workload heatherhub.WorkloadID
	outcome  caller.Outcome
}

// OutcomeCounts counts the outcomes of a batch.
type OutcomeCounts struct {
	Answered int
	// Late counts answers that arrived after the workload's deadline.
	Late    int
	NotRun  int
	Unknown int
	// Unreachable counts requests whose entry host could not be reached.
	Unreachable int
	// WrongAnswers counts answers that belong to another request or are truncated.
	WrongAnswers int
	// FirstError is the first error message of a request that was not answered.
	FirstError string
}

// String returns the counts in the format that scripts match.
func (s OutcomeCounts) String() string {
	text := fmt.Sprintf("answered %d late %d not-run %d unknown %d refused %d wrong %d",
		s.Answered, s.Late, s.NotRun, s.Unknown, s.Unreachable, s.WrongAnswers)
	if s.FirstError != "" {
		text += "\nrefusal: " + s.FirstError
	}
	return text
}

// SendRequests sends a batch and waits for all outcomes.
func (cl *Cluster) SendRequests(b RequestBatch) OutcomeCounts {
	var (
		mu     sync.Mutex
		counts OutcomeCounts
		group  conc.WaitGroup
	)
	client := &http.Client{Transport: cl.transport()}
	for n := range b.Count {
		group.Go(func() {
			single, id, outcome := cl.sendRequest(client, b, n)
			mu.Lock()
			defer mu.Unlock()
			counts.add(single)
			cl.outcomes[id] = outcome
		})
		time.Sleep(b.Interval)
	}
	group.Wait()
	return counts
}

func (s *OutcomeCounts) add(o OutcomeCounts) {
	s.Answered += o.Answered
	s.Late += o.Late
	s.NotRun += o.NotRun
	s.Unknown += o.Unknown
	s.Unreachable += o.Unreachable
	s.WrongAnswers += o.WrongAnswers
	if s.FirstError == "" {
		s.FirstError = o.FirstError
	}
}

// callerAddress returns the address for the n-th request. Without a healthy host it
// returns an address on which nothing listens.
func (cl *Cluster) callerAddress(b RequestBatch, n int) string {
	if b.Host != "" {
		return string(b.Host) + callerPort
	}
	healthy := cl.healthyCallerAddresses()
	if len(healthy) == 0 {
		return callerPort
	}
	return healthy[n%len(healthy)]
}

// healthyCallerAddresses returns the caller addresses of the hosts that pass the
// health check, cached for healthInterval.
func (cl *Cluster) healthyCallerAddresses() []string {
	cl.mu.Lock()
	isFresh := time.Since(cl.lastHealthCheck) < healthInterval
	addresses := cl.healthyAddresses
	cl.mu.Unlock()
	if isFresh {
		return addresses
	}
	addresses = nil
	for _, h := range cl.liveHosts() {
		if cl.isHealthy(h) {
			addresses = append(addresses, string(h.id)+callerPort)
		}
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.healthyAddresses = addresses
	cl.lastHealthCheck = time.Now()
	return addresses
}

// isHealthy runs the health check of an entry host, as a load balancer does.
func (cl *Cluster) isHealthy(h *host) bool {
	client := &http.Client{Transport: cl.transport(), Timeout: healthTimeout}
	resp, err := client.Get("http://" + string(h.id) + callerPort + caller.PathHealth)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// sendRequest sends the n-th request of a batch and classifies its outcome.
func (cl *Cluster) sendRequest(client *http.Client, b RequestBatch, n int) (OutcomeCounts, heatherhub.RequestID, callerOutcome) {
	started := time.Now()
	id := heatherhub.RequestID(fmt.Sprintf("r-%s-%d-%d", b.Workload, started.UnixNano(), n))
	received := callerOutcome{workload: b.Workload, outcome: caller.OutcomeUnknown}
	body := "body of " + string(b.keyFor(id))
	url := "http://" + cl.callerAddress(b, n) + strings.Replace(caller.PathServices, ":workload", string(b.Workload), 1)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return OutcomeCounts{Unreachable: 1}, id, received
	}
	req.Header.Set(caller.HeaderRequestID, string(id))
	req.Header.Set(caller.HeaderKey, string(b.keyFor(id)))
	resp, err := client.Do(req)
	if err != nil {
		return OutcomeCounts{Unreachable: 1}, id, received
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return OutcomeCounts{Unknown: 1}, id, received
	}
	received.outcome = caller.Outcome(resp.Header.Get(caller.HeaderOutcome))
	counts := cl.classify(b, received.outcome, time.Since(started), bytes.Equal(answer, []byte(body)))
	if counts.Answered == 0 {
		counts.FirstError = string(answer)
	}
	return counts, id, received
}

func (b *RequestBatch) keyFor(id heatherhub.RequestID) heatherhub.IdempotencyKey {
	if b.Key != "" {
		return b.Key
	}
	return heatherhub.IdempotencyKey(id)
}

// classify returns the counts of a single request.
func (cl *Cluster) classify(b RequestBatch, o caller.Outcome, took time.Duration, isOwn bool) OutcomeCounts {
	switch o {
	case caller.OutcomeNotRun:
		return OutcomeCounts{NotRun: 1}
	case caller.OutcomeUnknown:
		return OutcomeCounts{Unknown: 1}
	}
	counts := OutcomeCounts{Answered: 1}
	// Requests with a shared key receive the answer of the first of them.
	if !isOwn && b.Key == "" {
		counts.WrongAnswers = 1
	}
	if took > cl.cfg.Snapshot.Workload(b.Workload).Deadline {
		counts.Late = 1
	}
	return counts
}
