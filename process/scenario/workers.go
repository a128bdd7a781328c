package scenario

import (
	"context"
	"net/http"
	"sync"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin/model"
)

// networkLatency is the one-way latency of a message.
const networkLatency = 500 * time.Microsecond

// fleet holds the workers of the site and the faults injected into their answers.
type fleet struct {
	network          *network
	requestDurations map[heatherhub.WorkloadID]time.Duration
	workers          map[heatherhub.WorkerID]*model.Worker

	mu sync.Mutex
	// answersToLose is the number of answers still to be dropped.
	answersToLose int
	// answersToSwap is the number of answers still to be replaced by the previous
	// answer.
	answersToSwap int
	// answersToTruncate is the number of answers still to be truncated.
	answersToTruncate int
	previousAnswer    worker.Answer
}

// workerClient implements entry.Workers for the entry hosts of one failure domain.
type workerClient struct {
	*fleet
	from heatherhub.FailureDomain
}

// SetHosts does nothing: workers are looked up in the fleet.
func (workerClient) SetHosts([]hostlist.Host) {}

// deliver carries a message to a worker. ErrUnavailable means that it did not
// arrive; ErrUnknown that the worker was frozen until ctx ended.
func (r workerClient) deliver(ctx context.Context, id heatherhub.WorkerID) (*model.Worker, error) {
	w, ok := r.workers[id]
	if !ok {
		return nil, heatherhub.ErrNotFound.New("worker %s does not exist", id)
	}
	if w.IsDead() || !r.network.canReach(r.from, w.Host().Domain) {
		return nil, heatherhub.ErrUnavailable.New("no connection to worker %s", id)
	}
	if err := sleep(ctx, networkLatency); err != nil {
		return nil, heatherhub.ErrUnavailable.Wrap(err, "the message was not sent to worker %s", id)
	}
	for w.IsFrozen() {
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return nil, heatherhub.ErrUnknown.Wrap(err, "worker %s does not answer", id)
		}
	}
	return w, nil
}

// returnAnswer carries a worker's answer back. ErrUnknown means that it was lost.
func (r workerClient) returnAnswer(ctx context.Context, w *model.Worker) error {
	if err := sleep(ctx, networkLatency); err != nil {
		return heatherhub.ErrUnknown.Wrap(err, "the worker did not answer in time")
	}
	if w.IsDead() || !r.network.canReach(r.from, w.Host().Domain) {
		return heatherhub.ErrUnknown.New("the connection broke before the answer")
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// execute runs a command on a worker, with the network latency in both directions.
func execute[T any](ctx context.Context, r workerClient, id heatherhub.WorkerID, do func(*model.Worker, time.Time) (T, error)) (T, error) {
	var zero T
	w, err := r.deliver(ctx, id)
	if err != nil {
		return zero, err
	}
	out, err := do(w, time.Now())
	if lostErr := r.returnAnswer(ctx, w); lostErr != nil {
		return zero, lostErr
	}
	return out, err
}

// run is execute for commands without a result.
func (r workerClient) run(ctx context.Context, id heatherhub.WorkerID, do func(*model.Worker, time.Time) error) error {
	_, err := execute(ctx, r, id, func(w *model.Worker, now time.Time) (struct{}, error) {
		return struct{}{}, do(w, now)
	})
	return err
}

// Start starts a task.
func (r workerClient) Start(ctx context.Context, id heatherhub.WorkerID, c worker.StartCommand) error {
	return r.run(ctx, id, func(w *model.Worker, now time.Time) error { return w.Start(now, c) })
}

// Renew renews task leases and returns a report of all tasks.
func (r workerClient) Renew(ctx context.Context, id heatherhub.WorkerID, c worker.RenewCommand) (worker.Report, error) {
	return execute(ctx, r, id, func(w *model.Worker, now time.Time) (worker.Report, error) { return w.Renew(now, c) })
}

// Checkpoint saves a checkpoint of a task.
func (r workerClient) Checkpoint(ctx context.Context, id heatherhub.WorkerID, t heatherhub.TaskID) (heatherhub.CheckpointRef, error) {
	return execute(ctx, r, id, func(w *model.Worker, now time.Time) (heatherhub.CheckpointRef, error) {
		return w.Checkpoint(now, t)
	})
}

// Throttle limits a task to a share of its CPUs.
func (r workerClient) Throttle(ctx context.Context, id heatherhub.WorkerID, t heatherhub.TaskID, share heatherhub.Percent) error {
	return r.run(ctx, id, func(w *model.Worker, now time.Time) error { return w.Throttle(now, t, share) })
}

// Stop ends a task.
func (r workerClient) Stop(ctx context.Context, id heatherhub.WorkerID, t heatherhub.TaskID) error {
	return r.run(ctx, id, func(w *model.Worker, now time.Time) error { return w.Stop(now, t) })
}

// Serve runs a request. Once begun, it runs to completion even if ctx ends.
func (r workerClient) Serve(ctx context.Context, id heatherhub.WorkerID, req worker.Request) (worker.Answer, error) {
	w, err := r.deliver(ctx, id)
	if err != nil {
		return worker.Answer{}, heatherhub.ErrNotRun.Wrap(err, "the replica did not run the request")
	}
	duration, err := w.BeginRequest(time.Now(), req, r.requestDurations[req.Workload])
	if err != nil {
		return worker.Answer{}, err
	}
	_ = sleep(context.WithoutCancel(ctx), duration)
	if err := w.EndRequest(time.Now(), req.ID); err != nil {
		return worker.Answer{}, err
	}
	if err := r.returnAnswer(ctx, w); err != nil {
		return worker.Answer{}, err
	}
	a := worker.Answer{ID: req.ID, Status: http.StatusOK, Body: req.Body, Digest: worker.Digest(req.Body)}
	return r.injectFault(a)
}

// injectFault drops, swaps or truncates an answer if such a fault is pending.
func (f *fleet) injectFault(a worker.Answer) (worker.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.previousAnswer
	f.previousAnswer = a
	switch {
	case f.answersToLose > 0:
		f.answersToLose--
		return worker.Answer{}, heatherhub.ErrUnknown.New("the answer was lost")
	case f.answersToSwap > 0 && previous.ID != "":
		f.answersToSwap--
		return previous, nil
	case f.answersToTruncate > 0:
		f.answersToTruncate--
		a.Body = a.Body[:len(a.Body)/2]
	}
	return a, nil
}
