package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// Timeouts and intervals of the callers.
const (
	// callTimeout is the timeout of an HTTP request.
	callTimeout = 3 * time.Second
	// jobGap is the mean time between job submissions.
	jobGap = 120 * time.Millisecond
	// completionTimeout is how long jobs may take to end once the faults have ended.
	completionTimeout = 30 * time.Second
)

// job is the state of a job as its caller knows it.
type job struct {
	id        heatherhub.JobID
	accepted  bool
	cancelled bool
	// uncertain is set if the outcome of a submission or cancellation is unknown.
	uncertain bool
}

// callers submits and cancels jobs and checks that accepted jobs end.
type callers struct {
	site       *site
	client     *http.Client
	jobs       []*job
	counts     struct{ Accepted, Refused, Unknown, Cancelled int }
	violations []string
}

func newCallers(s *site) *callers {
	return &callers{site: s, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// waitUntilAccepted submits jobs until one is accepted. It returns false if none is
// accepted within startTimeout.
func (c *callers) waitUntilAccepted(ctx context.Context) bool {
	for limit := time.Now().Add(startTimeout); time.Now().Before(limit) && ctx.Err() == nil; {
		c.submit(ctx)
		if c.counts.Accepted > 0 {
			return true
		}
	}
	return false
}

// run submits jobs, and cancels some of the latest, until ctx is canceled.
func (c *callers) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.submit(ctx)
		if len(c.jobs) > 3 && c.randInt(12) == 0 {
			c.cancel(ctx, c.jobs[len(c.jobs)-1-c.randInt(3)])
		}
		ledger.Sleep(ctx, time.Duration(c.randInt(int(2*jobGap))))
	}
}

// randInt returns a random number in [0, n).
func (c *callers) randInt(n int) int {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	return c.site.rng.IntN(n)
}

// url returns the URL of a job at a random host.
func (c *callers) url(id heatherhub.JobID) string {
	return fmt.Sprintf("http://%s:%s/soak/%s", c.site.hosts[c.randInt(len(c.site.hosts))].ip, frontPort, id)
}

// call sends a request for a job to a random host and returns the status and body.
func (c *callers) call(ctx context.Context, method string, id heatherhub.JobID, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.url(id), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = routeHost
	r, err := c.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	return r.StatusCode, data, err
}

// submit submits a job. Unless it is accepted, it tries again with the same ID, at most
// three times and each time at a random host.
func (c *callers) submit(ctx context.Context) {
	j := &job{id: heatherhub.JobID(fmt.Sprintf("%016x", c.site.opts.Seed<<32+uint64(len(c.jobs))))}
	steps := []heatherhub.Step{c.newStep()}
	if c.randInt(2) == 0 {
		steps = append(steps, c.newStep(0))
	}
	c.site.mu.Lock()
	c.site.jobSteps[j.id] = steps
	c.site.mu.Unlock()
	c.jobs = append(c.jobs, j)
	body, err := json.Marshal(map[string]any{"spec": "soak", "steps": encodeSteps(steps)})
	if err != nil {
		c.violations = append(c.violations, err.Error())
		return
	}
	for range 3 {
		status, _, err := c.call(ctx, http.MethodPost, j.id, body)
		switch {
		case err == nil && status == http.StatusOK:
			j.accepted = true
			c.counts.Accepted++
			return
		case err == nil && status == http.StatusServiceUnavailable:
			c.counts.Refused++
		default:
			j.uncertain = true
			c.counts.Unknown++
		}
		ledger.Sleep(ctx, 300*time.Millisecond)
	}
}

// newStep returns a random step that depends on the steps with the given indexes.
func (c *callers) newStep(after ...int) heatherhub.Step {
	return heatherhub.Step{
		Tasks: 1 + c.randInt(4), Need: heatherhub.Resources{CPU: 1000 + 500*heatherhub.MilliCPU(c.randInt(3)), Memory: 10},
		Estimate: time.Duration(100+c.randInt(1500)) * time.Millisecond, After: after,
	}
}

// encodeSteps converts steps to their JSON form in a job submission.
func encodeSteps(steps []heatherhub.Step) []map[string]any {
	var out []map[string]any
	for _, s := range steps {
		out = append(out, map[string]any{
			"count": s.Tasks, "cpu": int64(s.Need.CPU), "mem_mb": int64(s.Need.Memory), "estimated_ms": s.Estimate.Milliseconds(),
			"after": append([]int{}, s.After...),
		})
	}
	return out
}

// cancel cancels an accepted job once.
func (c *callers) cancel(ctx context.Context, j *job) {
	if j.cancelled || !j.accepted {
		return
	}
	j.cancelled = true
	c.counts.Cancelled++
	if status, _, err := c.call(ctx, http.MethodDelete, j.id, nil); err != nil || status != http.StatusOK {
		j.uncertain = true
	}
}

// state asks a host for the state of a job. The state is "" if it gives none.
func (c *callers) state(ctx context.Context, j *job) (string, int) {
	status, data, err := c.call(ctx, http.MethodGet, j.id, nil)
	var out struct {
		State string `json:"state"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(data, &out) != nil {
		return "", status
	}
	return out.State, status
}

// waitForJobs waits until all accepted jobs have ended. It reports as violations the jobs
// that do not end within completionTimeout, fail, or are cancelled without a request.
func (c *callers) waitForJobs(ctx context.Context) {
	limit := time.Now().Add(completionTimeout)
	for _, j := range c.jobs {
		if !j.accepted {
			continue
		}
		state, status := c.state(ctx, j)
		for !isFinal(state) && time.Now().Before(limit) && ctx.Err() == nil {
			ledger.Sleep(ctx, 100*time.Millisecond)
			state, status = c.state(ctx, j)
		}
		switch {
		case ctx.Err() != nil:
			return
		case state == "completed", state == "cancelled" && j.cancelled:
		default:
			c.violations = append(c.violations, fmt.Sprintf("accepted job %s has state %q (HTTP status %d), expected to complete within %s after the faults", j.id, state, status, completionTimeout))
		}
	}
}

// isFinal reports whether a job in this state has ended.
func isFinal(state string) bool {
	return state == "completed" || state == "cancelled" || state == "failed"
}
