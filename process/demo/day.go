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

// submittedJobs is what the operators added.
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

// siteRun is one site's siteRun.
type siteRun struct {
	cfg     Config
	cluster *Cluster
	site    Site
	jobs    submittedJobs
	events  []string
	start   time.Time
}

// event is one thing that happens in the course of the day.
type event struct {
	at   float64
	name string
	do   func(context.Context) error
}

// logEvent reports progress and keeps it for the result.
func (d *siteRun) logEvent(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.events = append(d.events, text)
	fmt.Fprintf(d.cfg.Progress, "%-14s %s\n", d.site.Name, text)
}

// prepare puts the declarations in force and waits until every service has its
// replicas.
func (d *siteRun) prepare(ctx context.Context, s *heatherhub.Snapshot) error {
	if err := d.retry(ctx, func(c *operatorapi.Client) error {
		_, err := c.Apply(ctx, operatorapi.ApplyRequest{EditID: "demo-apply", Snapshot: *s})
		return err
	}); err != nil {
		return err
	}
	d.logEvent("declarations applied, preset %s in force", s.InForce)
	want := 0
	for _, setting := range s.PresetInForce().Services {
		want += setting.Replicas
	}
	for d.runningReplicas() < want {
		if !sleepUntil(ctx, time.Now().Add(retryDelay)) {
			return heatherhub.ErrUnavailable.New("%d of %d replicas run: give the demo more time", d.runningReplicas(), want)
		}
	}
	d.logEvent("%d replicas run", want)
	return nil
}

// runningReplicas counts the replicas that the workers run.
func (d *siteRun) runningReplicas() int {
	n := 0
	for _, h := range d.workers() {
		for _, t := range d.cluster.platform.Worker(h).Tasks(time.Now()) {
			if t.State == worker.TaskRunning && t.Task.Kind == heatherhub.KindService {
				n++
			}
		}
	}
	return n
}

func (d *siteRun) workers() []heatherhub.WorkerID {
	var ids []heatherhub.WorkerID
	for _, h := range standin.Fleet(d.site.Fleet) {
		ids = append(ids, heatherhub.WorkerID(h.ID))
	}
	return ids
}

// retry calls an entry host until it succeeds, proves a mistake or ctx ends.
func (d *siteRun) retry(ctx context.Context, call func(*operatorapi.Client) error) error {
	for {
		c, err := d.cluster.OperatorClient()
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

// run lets the day's events happen.
func (d *siteRun) run(ctx context.Context) error {
	d.start = time.Now()
	events := append(d.faultEvents(), d.switchEvents()...)
	events = append(events, d.jobEvents()...)
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for _, e := range events {
		if !sleepUntil(ctx, d.start.Add(time.Duration(e.at*float64(d.cfg.Day)))) {
			return ctx.Err()
		}
		if err := e.do(ctx); err != nil {
			return heatherhub.ErrUnavailable.Wrap(err, "%s: %s", d.site.Name, e.name)
		}
	}
	return nil
}

func (d *siteRun) switchEvents() []event {
	return []event{
		{0.3, "switch to peak", func(ctx context.Context) error { return d.switchPreset(ctx, d.site.Peak) }},
		{0.65, "switch back", func(ctx context.Context) error { return d.switchPreset(ctx, d.site.Ordinary) }},
	}
}

func (d *siteRun) switchPreset(ctx context.Context, id heatherhub.PresetID) error {
	edit := fmt.Sprintf("demo-%s-%d", id, time.Since(d.start))
	err := d.retry(ctx, func(c *operatorapi.Client) error {
		current, err := c.Snapshot(ctx)
		if err != nil {
			return err
		}
		_, err = c.SwitchPreset(ctx, id, operatorapi.SwitchRequest{EditID: edit, ExpectVersion: current.Version})
		return err
	})
	if err == nil {
		d.logEvent("preset %s in force", id)
	}
	return err
}

func (d *siteRun) faultEvents() []event {
	return []event{
		{0.4, "lose a worker", func(context.Context) error {
			id := d.busiestWorker()
			d.logEvent("worker %s lost", id)
			return d.cluster.platform.ApplyFaults(standin.Faults{
				Workers: []standin.WorkerFault{{ID: id, Action: standin.ActionKill}},
			})
		}},
		{0.48, "lose an entry host", func(context.Context) error {
			d.logEvent("entry host %s lost", d.cluster.KillHost())
			return nil
		}},
		{0.75, "replace an entry host", func(ctx context.Context) error {
			id, err := d.cluster.ReplaceHost(ctx)
			d.logEvent("entry host %s stopped gracefully and replaced", id)
			return err
		}},
	}
}

// busiestWorker returns the worker with the most running tasks.
func (d *siteRun) busiestWorker() heatherhub.WorkerID {
	var busiest heatherhub.WorkerID
	most := -1
	for _, id := range d.workers() {
		if n := len(d.cluster.platform.Worker(id).Tasks(time.Now())); n > most {
			busiest, most = id, n
		}
	}
	return busiest
}

// jobEvents spreads the day's jobs over its first two thirds.
func (d *siteRun) jobEvents() []event {
	var events []event
	for _, p := range d.site.Jobs {
		for n := range p.Jobs {
			job := heatherhub.Job{
				ID:       heatherhub.JobID(fmt.Sprintf("%s-%d", p.Workload, n)),
				Workload: p.Workload, Tasks: p.Tasks,
			}
			at := 0.05 + 0.6*float64(n)/float64(p.Jobs)
			events = append(events, event{at, "add a job", func(ctx context.Context) error {
				return d.addJob(ctx, job)
			}})
		}
	}
	return events
}

func (d *siteRun) addJob(ctx context.Context, job heatherhub.Job) error {
	request := operatorapi.JobRequest{ID: job.ID, Workload: job.Workload, Tasks: job.Tasks}
	err := d.retry(ctx, func(c *operatorapi.Client) error {
		_, err := c.AddJob(ctx, request)
		if heatherhub.DidNotRun(err) {
			d.jobs.countRefusal()
		}
		return err
	})
	if err == nil {
		d.jobs.add(job)
	}
	return err
}

// waitForJobs waits until the workers have finished every accepted task.
func (d *siteRun) waitForJobs(ctx context.Context, isDone func() bool) {
	for !isDone() {
		if !sleepUntil(ctx, time.Now().Add(healthInterval)) {
			return
		}
	}
}

// logUnfinishedJobs notes what the scheduler says of each job that is not done.
func (d *siteRun) logUnfinishedJobs(ctx context.Context) {
	c, err := d.cluster.OperatorClient()
	if err != nil {
		d.logEvent("cannot ask for the jobs that are not done: %s", heatherhub.Message(err))
		return
	}
	for _, job := range d.jobs.accepted {
		v, err := c.Job(ctx, job.ID)
		if err != nil {
			d.logEvent("job %s: %s", job.ID, heatherhub.Message(err))
			continue
		}
		if v.Job.State != heatherhub.JobDone {
			d.logEvent("job %s in shard %s is %s: %d running, %d queued, %d finished %s", job.ID, v.Shard, v.Job.State,
				v.Running, v.Queued, v.Finished, v.Job.Reason)
		}
	}
}
