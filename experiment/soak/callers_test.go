package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// Timeouts and intervals of the callers.
const (
	// callTimeout is the timeout of an HTTP request.
	callTimeout = 3 * time.Second
	// callerCount is the number of callers that submit jobs at a time. A caller waits while
	// its host is paused.
	callerCount = 3
	// jobGap is the mean time between job submissions.
	jobGap = 120 * time.Millisecond
	// longTaskInterval is the mean number of steps from one with a task of several seconds to the
	// next, in runs with workers that hold starts.
	longTaskInterval = 12
	// completionTimeout is how long jobs may take to end once the faults have ended.
	completionTimeout = 30 * time.Second
)

// Shape of long-running jobs.
const (
	longRunningTasks = 4
	longRunningCPU   = 1500
	// longRunningPart is the part of the site's capacity for such jobs: one in longRunningPart.
	longRunningPart = 2
)

// job is the state of a job as its caller knows it.
type job struct {
	id        heatherhub.JobID
	accepted  bool
	cancelled bool
	// isCancelAcknowledged is set if the cancellation was acknowledged.
	isCancelAcknowledged bool
	// uncertain is set if the outcome of a submission or cancellation is unknown.
	uncertain bool
	// isLongRunning is set if the tasks run until the job is cancelled.
	isLongRunning bool
	// isDeadly is set if its first task crashes each worker that starts it.
	isDeadly bool
}

// mayRun reports whether tasks of the job may run: it may have been accepted, and no
// cancellation was acknowledged.
func (j *job) mayRun() bool {
	return !j.isCancelAcknowledged && (j.accepted || j.uncertain)
}

// isWanted reports whether the caller expects the job's tasks to run or to have run.
func (j *job) isWanted() bool {
	return j.accepted && !j.cancelled
}

// counts are the numbers of responses and of jobs.
type counts struct{ Accepted, Refused, Unknown, Cancelled int }

// caller submits and cancels jobs, one request at a time, and checks that accepted jobs end.
type caller struct {
	site       *site
	client     *http.Client
	index      int
	rng        *rand.Rand
	jobs       []*job
	counts     counts
	violations []string
}

// callers are all callers of a run.
type callers []*caller

func newCallers(s *site) callers {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}
	out := make(callers, callerCount)
	for i := range out {
		out[i] = &caller{site: s, client: client, index: i, rng: rand.New(rand.NewPCG(s.opts.Seed, uint64(100+i)))}
	}
	return out
}

// run submits jobs, and cancels some of the latest, until ctx is canceled.
func (cs callers) run(ctx context.Context) {
	var g conc.WaitGroup
	for _, c := range cs {
		g.Go(func() { c.run(ctx) })
	}
	g.Wait()
}

// waitForJobs waits until the jobs of all callers are where they have to get after the faults.
func (cs callers) waitForJobs(ctx context.Context) {
	var g conc.WaitGroup
	for _, c := range cs {
		g.Go(func() { c.waitForJobs(ctx) })
	}
	g.Wait()
}

// total returns the sums of the callers' counts.
func (cs callers) total() counts {
	var n counts
	for _, c := range cs {
		n.Accepted += c.counts.Accepted
		n.Refused += c.counts.Refused
		n.Unknown += c.counts.Unknown
		n.Cancelled += c.counts.Cancelled
	}
	return n
}

// violations returns the violations that the callers have found.
func (cs callers) violations() []string {
	var out []string
	for _, c := range cs {
		out = append(out, c.violations...)
	}
	return out
}

// longRunning returns the number of accepted long-running jobs.
func (cs callers) longRunning() int {
	n := 0
	for _, c := range cs {
		for _, j := range c.jobs {
			if j.isLongRunning && j.accepted {
				n++
			}
		}
	}
	return n
}

// waitUntilAccepted submits jobs until one is accepted. It returns false if none is
// accepted within startTimeout.
func (c *caller) waitUntilAccepted(ctx context.Context) bool {
	for limit := time.Now().Add(startTimeout); time.Now().Before(limit) && ctx.Err() == nil; {
		c.submit(ctx)
		if c.counts.Accepted > 0 {
			return true
		}
	}
	return false
}

// run submits jobs, and cancels some of the latest, until ctx is canceled.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.submit(ctx)
		if len(c.jobs) > 3 && c.rng.IntN(12) == 0 {
			c.cancel(ctx, c.jobs[len(c.jobs)-1-c.rng.IntN(3)])
		}
		if c.rng.IntN(40) == 0 {
			c.cancelLongRunning(ctx)
		}
		ledger.Sleep(ctx, time.Duration(c.rng.Int64N(int64(2*callerCount*jobGap))))
	}
}

// url returns the URL of a job at a random host.
func (c *caller) url(id heatherhub.JobID) string {
	return fmt.Sprintf("http://%s:%s/soak/%s", c.site.hosts[c.rng.IntN(len(c.site.hosts))].ip, frontPort, id)
}

// call sends a request for a job to a random host and returns the status and body.
func (c *caller) call(ctx context.Context, method string, id heatherhub.JobID, body []byte) (int, []byte, error) {
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

// newJob returns a job with an unused ID.
func (c *caller) newJob() *job {
	return &job{id: heatherhub.JobID(fmt.Sprintf("%016x", c.site.opts.Seed<<32+uint64(c.index)<<24+uint64(len(c.jobs))))}
}

// submit submits a job. Unless it is accepted, it tries again with the same ID, at most
// three times and each time at a random host.
func (c *caller) submit(ctx context.Context) {
	j := c.newJob()
	j.isDeadly = c.site.takeDeadlyJob(j.id)
	j.isLongRunning = !j.isDeadly && c.needsLongRunning()
	c.send(ctx, j, c.newSteps(j))
}

// send submits a job with the given steps, as submit does.
func (c *caller) send(ctx context.Context, j *job, steps []heatherhub.Step) {
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

// needsLongRunning reports whether fewer long-running jobs of the caller may run than there
// should be.
func (c *caller) needsLongRunning() bool {
	n := 0
	for _, j := range c.jobs {
		if j.isLongRunning && j.mayRun() {
			n++
		}
	}
	return n < max(len(c.site.machines)*workerCPU/(longRunningPart*longRunningTasks*longRunningCPU*callerCount), 1)
}

// newSteps returns random steps for a job.
func (c *caller) newSteps(j *job) []heatherhub.Step {
	if j.isLongRunning {
		return []heatherhub.Step{{Tasks: longRunningTasks, Need: heatherhub.Resources{CPU: longRunningCPU, Memory: 10}, LongRunning: true, MaxPerWorker: 1}}
	}
	steps := []heatherhub.Step{c.newStep()}
	if c.rng.IntN(2) == 0 {
		steps = append(steps, c.newStep(0))
	}
	return steps
}

// newStep returns a random step that depends on the steps with the given indexes.
func (c *caller) newStep(after ...int) heatherhub.Step {
	if slices.Contains(c.site.opts.faultKinds, workerHoldsStarts) && c.rng.IntN(longTaskInterval) == 0 {
		return heatherhub.Step{
			Tasks: 1, Need: heatherhub.Resources{CPU: 1000, Memory: 10},
			Estimate: time.Duration(4000+c.rng.IntN(4000)) * time.Millisecond, After: after,
		}
	}
	return heatherhub.Step{
		Tasks: 1 + c.rng.IntN(4), Need: heatherhub.Resources{CPU: 1000 + 500*heatherhub.MilliCPU(c.rng.IntN(3)), Memory: 10},
		Estimate: time.Duration(100+c.rng.IntN(1500)) * time.Millisecond, After: after,
	}
}

// encodeSteps converts steps to their JSON form in a job submission.
func encodeSteps(steps []heatherhub.Step) []map[string]any {
	var out []map[string]any
	for _, s := range steps {
		out = append(out, map[string]any{
			"count": s.Tasks, "cpu": int64(s.Need.CPU), "mem_mb": int64(s.Need.Memory), "estimated_ms": s.Estimate.Milliseconds(),
			"after": append([]int{}, s.After...), "long_running": s.LongRunning, "anti_affinity": s.MaxPerWorker,
		})
	}
	return out
}

// cancel cancels an accepted job once.
func (c *caller) cancel(ctx context.Context, j *job) {
	if j.cancelled || !j.accepted || j.isDeadly {
		return
	}
	j.cancelled = true
	c.counts.Cancelled++
	if status, _, err := c.call(ctx, http.MethodDelete, j.id, nil); err != nil || status != http.StatusOK {
		j.uncertain = true
		return
	}
	j.isCancelAcknowledged = true
}

// cancelLongRunning cancels a long-running job, if there is one, so that another follows.
func (c *caller) cancelLongRunning(ctx context.Context) {
	for _, j := range c.jobs {
		if j.isLongRunning && j.isWanted() {
			c.cancel(ctx, j)
			return
		}
	}
}

// state asks a host for the state of a job. The state is "" if it gives none.
func (c *caller) state(ctx context.Context, j *job) (string, int) {
	status, data, err := c.call(ctx, http.MethodGet, j.id, nil)
	var out struct {
		State string `json:"state"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(data, &out) != nil {
		return "", status
	}
	return out.State, status
}

// waitForJobs waits until all accepted jobs have ended, and all tasks of accepted
// long-running jobs run, which are then cancelled. It reports as violations the jobs that do
// not get there within completionTimeout, fail, or are cancelled without a request.
func (c *caller) waitForJobs(ctx context.Context) {
	limit := time.Now().Add(completionTimeout)
	// Long-running jobs that are not wanted, but may run, would take the room of others.
	c.endLongRunning(ctx, limit, func(j *job) bool { return !j.isWanted() })
	for _, j := range c.jobs {
		switch {
		case j.isLongRunning && j.isWanted():
			c.waitUntilRunning(ctx, j, limit)
		case !j.isLongRunning && j.accepted:
			c.waitUntilEnded(ctx, j, limit)
		}
	}
	c.endLongRunning(ctx, time.Now().Add(completionTimeout), (*job).isWanted)
}

// waitUntil polls until isReached returns true, and reports false if it doesn't by limit.
func waitUntil(ctx context.Context, limit time.Time, isReached func() bool) bool {
	for !isReached() {
		if ctx.Err() != nil || time.Now().After(limit) {
			return false
		}
		ledger.Sleep(ctx, 100*time.Millisecond)
	}
	return true
}

// waitUntilEnded waits until an accepted job has ended.
func (c *caller) waitUntilEnded(ctx context.Context, j *job, limit time.Time) {
	var state string
	var status int
	waitUntil(ctx, limit, func() bool {
		state, status = c.state(ctx, j)
		return isFinal(state)
	})
	switch {
	case ctx.Err() != nil, state == "completed" && !j.isDeadly, state == "cancelled" && j.cancelled, state == "failed" && j.isDeadly:
	default:
		c.violations = append(c.violations, fmt.Sprintf("accepted job %s has state %q (HTTP status %d), expected to end as it should (deadly: %v) within %s after the faults", j.id, state, status, j.isDeadly, completionTimeout))
	}
	if n := c.site.audit.StartsOf(heatherhub.StepTask{Job: j.id}); j.isDeadly && n > maxDeadlyStarts {
		c.violations = append(c.violations, fmt.Sprintf("the deadly task of job %s was started %d times, expected at most %d", j.id, n, maxDeadlyStarts))
	}
}

// maxDeadlyStarts is the number of starts that a task may have if it crashes its workers.
const maxDeadlyStarts = 5

// waitUntilRunning waits until all tasks of a long-running job run.
func (c *caller) waitUntilRunning(ctx context.Context, j *job, limit time.Time) {
	if !waitUntil(ctx, limit, func() bool { return c.site.audit.RunningTasks(j.id) == longRunningTasks }) && ctx.Err() == nil {
		state, status := c.state(ctx, j)
		c.violations = append(c.violations, fmt.Sprintf("long-running job %s has state %q (HTTP status %d) and %d tasks at work, expected %d within %s after the faults",
			j.id, state, status, c.site.audit.RunningTasks(j.id), longRunningTasks, completionTimeout))
	}
}

// endLongRunning cancels the selected long-running jobs that may run, and waits until none of
// their tasks runs.
func (c *caller) endLongRunning(ctx context.Context, limit time.Time, isSelected func(*job) bool) {
	for _, j := range c.jobs {
		if !j.isLongRunning || !isSelected(j) || !(j.accepted || j.uncertain) {
			continue
		}
		var status int
		hasEnded := waitUntil(ctx, limit, func() bool {
			status, _, _ = c.call(ctx, http.MethodDelete, j.id, nil)
			return (status == http.StatusOK || status == http.StatusGone) && c.site.audit.RunningTasks(j.id) == 0
		})
		if !hasEnded && ctx.Err() == nil {
			c.violations = append(c.violations, fmt.Sprintf("long-running job %s has %d tasks at work after its cancellation (HTTP status %d), expected none within %s",
				j.id, c.site.audit.RunningTasks(j.id), status, completionTimeout))
		}
	}
}

// isFinal reports whether a job in this state has ended.
func isFinal(state string) bool {
	return state == "completed" || state == "cancelled" || state == "failed"
}
