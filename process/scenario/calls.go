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

// Times of the balancer's health checks.
const (
	healthTimeout  = time.Second
	healthInterval = 100 * time.Millisecond
)

// RequestBatch describes some requests of one service.
type RequestBatch struct {
	Workload heatherhub.WorkloadID
	Count    int
	// Interval is the time between two requests; they do not wait for each other.
	Interval time.Duration
	// Key is sent with every request if set; otherwise each request of a
	// non-idempotent service gets its own key.
	Key heatherhub.IdempotencyKey
	// Host is the entry host that gets the requests; empty for each in turn.
	Host heatherhub.HostID
}

// callerOutcome is the outcome that a caller received for one request.
type callerOutcome struct {
	workload heatherhub.WorkloadID
	outcome  caller.Outcome
}

// OutcomeCounts counts the outcomes of some requests.
type OutcomeCounts struct {
	Answered int
	Late     int
	NotRun   int
	Unknown  int
	// Unreachable counts requests whose entry host could not be reached.
	Unreachable int
	// WrongAnswers counts answers that are not the caller's own or not whole.
	WrongAnswers int
	// FirstError is the first message of a request that was not answered.
	FirstError string
}

// String returns the sum as scripts compare it.
func (s OutcomeCounts) String() string {
	text := fmt.Sprintf("answered %d late %d not-run %d unknown %d refused %d wrong %d",
		s.Answered, s.Late, s.NotRun, s.Unknown, s.Unreachable, s.WrongAnswers)
	if s.FirstError != "" {
		text += "\nrefusal: " + s.FirstError
	}
	return text
}

// SendRequests sends requests and waits for all outcomes.
func (cl *Cluster) SendRequests(c RequestBatch) OutcomeCounts {
	var (
		mu    sync.Mutex
		sum   OutcomeCounts
		group conc.WaitGroup
	)
	client := &http.Client{Transport: cl.transport()}
	for n := range c.Count {
		group.Go(func() {
			one, id, t := cl.sendRequest(client, c, n)
			mu.Lock()
			defer mu.Unlock()
			sum.add(one)
			cl.outcomes[id] = t
		})
		time.Sleep(c.Interval)
	}
	group.Wait()
	return sum
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

// callerAddress returns the callers' port for the n-th request.
func (cl *Cluster) callerAddress(c RequestBatch, n int) string {
	if c.Host != "" {
		return string(c.Host) + callerPort
	}
	healthy := cl.healthyCallerAddresses()
	if len(healthy) == 0 {
		return callerPort
	}
	return healthy[n%len(healthy)]
}

// healthyCallerAddresses returns the callers' ports whose health check passed at the last
// look.
func (cl *Cluster) healthyCallerAddresses() []string {
	cl.mu.Lock()
	isFresh := time.Since(cl.lastHealthCheck) < healthInterval
	ports := cl.healthyAddresses
	cl.mu.Unlock()
	if isFresh {
		return ports
	}
	ports = nil
	for _, h := range cl.liveHosts() {
		if cl.isHealthy(h) {
			ports = append(ports, string(h.id)+callerPort)
		}
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.healthyAddresses = ports
	cl.lastHealthCheck = time.Now()
	return ports
}

// isHealthy asks the health check of an entry host, as a balancer does.
func (cl *Cluster) isHealthy(h *host) bool {
	client := &http.Client{Transport: cl.transport(), Timeout: healthTimeout}
	resp, err := client.Get("http://" + string(h.id) + callerPort + caller.PathHealth)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (cl *Cluster) sendRequest(client *http.Client, c RequestBatch, n int) (OutcomeCounts, heatherhub.RequestID, callerOutcome) {
	started := time.Now()
	id := heatherhub.RequestID(fmt.Sprintf("r-%s-%d-%d", c.Workload, started.UnixNano(), n))
	t := callerOutcome{workload: c.Workload, outcome: caller.OutcomeUnknown}
	body := "body of " + string(c.keyFor(id))
	url := "http://" + cl.callerAddress(c, n) + strings.Replace(caller.PathServices, ":workload", string(c.Workload), 1)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return OutcomeCounts{Unreachable: 1}, id, t
	}
	req.Header.Set(caller.HeaderRequestID, string(id))
	req.Header.Set(caller.HeaderKey, string(c.keyFor(id)))
	resp, err := client.Do(req)
	if err != nil {
		return OutcomeCounts{Unreachable: 1}, id, t
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return OutcomeCounts{Unknown: 1}, id, t
	}
	t.outcome = caller.Outcome(resp.Header.Get(caller.HeaderOutcome))
	sum := cl.classify(c, t.outcome, time.Since(started), bytes.Equal(answer, []byte(body)))
	if sum.Answered == 0 {
		sum.FirstError = string(answer)
	}
	return sum, id, t
}

func (c *RequestBatch) keyFor(id heatherhub.RequestID) heatherhub.IdempotencyKey {
	if c.Key != "" {
		return c.Key
	}
	return heatherhub.IdempotencyKey(id)
}

func (cl *Cluster) classify(c RequestBatch, o caller.Outcome, took time.Duration, isOwn bool) OutcomeCounts {
	switch o {
	case caller.OutcomeNotRun:
		return OutcomeCounts{NotRun: 1}
	case caller.OutcomeUnknown:
		return OutcomeCounts{Unknown: 1}
	}
	sum := OutcomeCounts{Answered: 1}
	// A repeated key gets the answer of the first request that had it.
	if !isOwn && c.Key == "" {
		sum.WrongAnswers = 1
	}
	if took > cl.cfg.Snapshot.Workload(c.Workload).Deadline {
		sum.Late = 1
	}
	return sum
}
