package demo

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/operatorapi"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin"
)

// submittedJobs records the jobs that the operators added and the additions that
// were refused.
type submittedJobs struct {
	mu       sync.Mutex
	accepted []heatherhub.Job
	refused  int
}

func (j *submittedJobs) add(job heatherhub.Job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.accepted = append(j.accepted, job)
}

func (j *submittedJobs) countRefusal() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refused++
}

// siteRun is a run of the day of one site.
type siteRun struct {
	cfg     Config
	cluster *Cluster
	site    Site
	jobs    submittedJobs
	// events are the texts of logEvent.
	events []string
	start  time.Time
}

// event is a step of the day's script.
type event struct {
	// at is the time of the event as a share of the day, 0 to 1.
	at float64
	// name is used in the error if do fails.
	name string
	do   func(context.Context) error
}

// logEvent writes an event to Progress and adds it to the result.
func (run *siteRun) logEvent(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	run.events = append(run.events, text)
	fmt.Fprintf(run.cfg.Progress, "%-14s %s\n", run.site.Name, text)
}

// prepare applies the declarations and waits until the workers run all replicas of
// the preset in force.
func (run *siteRun) prepare(ctx context.Context, s *heatherhub.Snapshot) error {
	if err := run.retry(ctx, func(c *operatorapi.Client) error {
		_, err := c.Apply(ctx, operatorapi.ApplyRequest{EditID: "demo-apply", Snapshot: *s})
		return err
	}); err != nil {
		return err
	}
	run.logEvent("declarations applied, preset %s in force", s.InForce)
	want := 0
	for _, setting := range s.PresetInForce().Services {
		want += setting.Replicas
	}
	for run.runningReplicas() < want {
		if !sleepUntil(ctx, time.Now().Add(retryDelay)) {
			return heatherhub.ErrUnavailable.New("only %d of %d replicas run: give the demo more time", run.runningReplicas(), want)
		}
	}
	run.logEvent("%d replicas run", want)
	return nil
}

// runningReplicas returns the number of service replicas that run on the workers.
func (run *siteRun) runningReplicas() int {
	n := 0
	for _, h := range run.workers() {
		for _, t := range run.cluster.platform.Worker(h).Tasks(time.Now()) {
			if t.State == worker.TaskRunning && t.Task.Kind == heatherhub.KindService {
				n++
			}
		}
	}
	return n
}

// workers returns the ids of the site's workers, dead ones included.
func (run *siteRun) workers() []heatherhub.WorkerID {
	var ids []heatherhub.WorkerID
	for _, h := range standin.Fleet(run.site.Fleet) {
		ids = append(ids, heatherhub.WorkerID(h.ID))
	}
	return ids
}

// retry repeats call with a client of an entry host until it succeeds, fails with an
// error that a retry cannot fix, or ctx ends.
func (run *siteRun) retry(ctx context.Context, call func(*operatorapi.Client) error) error {
	for {
		c, err := run.cluster.OperatorClient()
		if err == nil {
			err = call(c)
		}
		switch heatherhub.CodeOf(err) {
		case heatherhub.CodeOK:
			return nil
		case heatherhub.CodeInvalid, heatherhub.CodeConflict, heatherhub.CodeDenied:
			return err
		}
		if !sleepUntil(ctx, time.Now().Add(max(retryDelay, heatherhub.RetryAfter(err)))) {
			return err
		}
	}
}

// runEvents runs the events of the day in order of time.
func (run *siteRun) runEvents(ctx context.Context) error {
	run.start = time.Now()
	events := append(run.faultEvents(), run.switchEvents()...)
	events = append(events, run.jobEvents()...)
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for _, e := range events {
		if !sleepUntil(ctx, run.start.Add(time.Duration(e.at*float64(run.cfg.Day)))) {
			return ctx.Err()
		}
		if err := e.do(ctx); err != nil {
			return heatherhub.ErrUnavailable.Wrap(err, "%s: %s", run.site.Name, e.name)
		}
	}
	return nil
}

// switchEvents switches to the peak preset for the busiest part of the day and back.
func (run *siteRun) switchEvents() []event {
	return []event{
		{0.3, "switch to peak", func(ctx context.Context) error { return run.switchPreset(ctx, run.site.Peak) }},
		{0.65, "switch back", func(ctx context.Context) error { return run.switchPreset(ctx, run.site.Ordinary) }},
	}
}

// switchPreset switches the preset. All retries share one edit id, so that a switch
// whose answer was lost is not made twice.
func (run *siteRun) switchPreset(ctx context.Context, id heatherhub.PresetID) error {
	edit := fmt.Sprintf("demo-%s-%d", id, time.Since(run.start))
	err := run.retry(ctx, func(c *operatorapi.Client) error {
		current, err := c.Snapshot(ctx)
		if err != nil {
			return err
		}
		_, err = c.SwitchPreset(ctx, id, operatorapi.SwitchRequest{EditID: edit, ExpectVersion: current.Version})
		return err
	})
	if err == nil {
		run.logEvent("preset %s in force", id)
	}
	return err
}

// faultEvents kills a worker and an entry host and replaces another entry host.
func (run *siteRun) faultEvents() []event {
	return []event{
		{0.4, "lose a worker", func(context.Context) error {
			id := run.busiestWorker()
			run.logEvent("worker %s lost", id)
			return run.cluster.platform.ApplyFaults(standin.Faults{
				Workers: []standin.WorkerFault{{ID: id, Action: standin.ActionKill}},
			})
		}},
		{0.48, "lose an entry host", func(context.Context) error {
			run.logEvent("entry host %s lost", run.cluster.KillHost())
			return nil
		}},
		{0.75, "replace an entry host", func(ctx context.Context) error {
			id, err := run.cluster.ReplaceHost(ctx)
			run.logEvent("entry host %s stopped gracefully and replaced", id)
			return err
		}},
	}
}

// busiestWorker returns the worker with the most tasks.
func (run *siteRun) busiestWorker() heatherhub.WorkerID {
	var busiest heatherhub.WorkerID
	most := -1
	for _, id := range run.workers() {
		if n := len(run.cluster.platform.Worker(id).Tasks(time.Now())); n > most {
			busiest, most = id, n
		}
	}
	return busiest
}

// jobEvents adds the jobs of each plan evenly between 5% and 65% of the day.
func (run *siteRun) jobEvents() []event {
	var events []event
	for _, p := range run.site.Jobs {
		for n := range p.Jobs {
			job := heatherhub.Job{
				ID:       heatherhub.JobID(fmt.Sprintf("%s-%d", p.Workload, n)),
				Workload: p.Workload, Tasks: p.Tasks,
			}
			at := 0.05 + 0.6*float64(n)/float64(p.Jobs)
			events = append(events, event{at, "add a job", func(ctx context.Context) error {
				return run.addJob(ctx, job)
			}})
		}
	}
	return events
}

// addJob submits a job and counts the refusals. All retries share the job's id, so
// that it is added once.
func (run *siteRun) addJob(ctx context.Context, job heatherhub.Job) error {
	request := operatorapi.JobRequest{ID: job.ID, Workload: job.Workload, Tasks: job.Tasks}
	err := run.retry(ctx, func(c *operatorapi.Client) error {
		_, err := c.AddJob(ctx, request)
		if heatherhub.DidNotRun(err) {
			run.jobs.countRefusal()
		}
		return err
	})
	if err == nil {
		run.jobs.add(job)
	}
	return err
}

// waitForJobs polls isDone until it returns true or ctx ends.
func (run *siteRun) waitForJobs(ctx context.Context, isDone func() bool) {
	for !isDone() {
		if !sleepUntil(ctx, time.Now().Add(healthInterval)) {
			return
		}
	}
}

// logUnfinishedJobs logs the scheduler's view of each job that is not done.
func (run *siteRun) logUnfinishedJobs(ctx context.Context) {
	c, err := run.cluster.OperatorClient()
	if err != nil {
		run.logEvent("cannot look up the unfinished jobs: %s", heatherhub.Message(err))
		return
	}
	for _, job := range run.jobs.accepted {
		v, err := c.Job(ctx, job.ID)
		if err != nil {
			run.logEvent("job %s: %s", job.ID, heatherhub.Message(err))
			continue
		}
		if v.Job.State != heatherhub.JobDone {
			run.logEvent("job %s in shard %s is %s: %d running, %d queued, %d finished %s", job.ID, v.Shard, v.Job.State,
				v.Running, v.Queued, v.Finished, v.Job.Reason)
		}
	}
}
