package shard

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/codes"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/process/shard/core"
)

// execute makes a call. Its NotAfter time is checked immediately before the call is sent
// and bounds its duration. Calls to workers are traced, except renewals.
func (rt *Runtime) execute(ctx context.Context, c core.Call) core.Answer {
	sent := rt.clock.Now()
	if c.Expired(sent) {
		return core.ExpiredAnswer(c, sent)
	}
	timeout := callTimeout
	if !c.NotAfter.IsZero() {
		timeout = min(timeout, c.NotAfter.Sub(sent))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if rt.cfg.Tracer != nil && c.TargetsWorker() && c.Kind != core.CallRenewTasks {
		spanCtx, span := rt.cfg.Tracer.Start(ctx, "worker "+string(c.Kind))
		defer span.End()
		a := rt.callTarget(spanCtx, c)
		if a.Err != nil {
			span.SetStatus(codes.Error, heatherhub.Message(a.Err))
		}
		a.SentAt = sent
		return a
	}
	a := rt.callTarget(ctx, c)
	a.SentAt = sent
	return a
}

// callTarget makes a call to the store or to a worker.
func (rt *Runtime) callTarget(ctx context.Context, c core.Call) core.Answer {
	if c.TargetsWorker() {
		return rt.callWorker(ctx, c)
	}
	a := core.Answer{Call: c}
	s := rt.cfg.Store
	ctx = store.WithPriority(ctx, c.Priority())
	switch c.Kind {
	case core.CallGet:
		var e store.Entry
		e, a.Err = s.Get(ctx, c.Key)
		a.Entries = []store.Entry{e}
	case core.CallList:
		a.Entries, a.Err = s.List(ctx, c.Key)
	case core.CallWrite:
		a.Revision, a.Err = s.CompareAndSwap(ctx, c.Write)
	case core.CallGrantLease:
		a.Lease, a.Err = s.GrantLease(ctx, c.TTL)
	case core.CallRenewLease:
		a.Err = s.RenewLease(ctx, c.Lease)
	case core.CallRevokeLease:
		a.Err = s.RevokeLease(ctx, c.Lease)
	}
	return a
}

func (rt *Runtime) callWorker(ctx context.Context, c core.Call) core.Answer {
	a := core.Answer{Call: c}
	w := rt.cfg.Workers
	switch c.Kind {
	case core.CallStart:
		a.Err = w.Start(ctx, c.Worker, c.Start)
	case core.CallRenewTasks:
		a.Report, a.Err = w.Renew(ctx, c.Worker, c.Renew)
	case core.CallCheckpoint:
		a.Checkpoint, a.Err = w.Checkpoint(ctx, c.Worker, c.Task)
	case core.CallThrottle:
		a.Err = w.Throttle(ctx, c.Worker, c.Task, c.Share)
	case core.CallStop:
		a.Err = w.Stop(ctx, c.Worker, c.Task)
	}
	return a
}

// workerQueues makes the calls to each worker one at a time, in order, and a bounded
// number of calls to all workers concurrently.
type workerQueues struct {
	execute  func(core.Call)
	inFlight chan struct{}

	mu sync.Mutex
	// waiting holds the queued calls of each worker. A worker has an entry, possibly an
	// empty one, while a goroutine makes its calls.
	waiting map[heatherhub.WorkerID][]core.Call
}

func newWorkerQueues(n int, execute func(core.Call)) *workerQueues {
	return &workerQueues{
		execute:  execute,
		inFlight: make(chan struct{}, n),
		waiting:  make(map[heatherhub.WorkerID][]core.Call),
	}
}

// add queues a call to a worker and starts a goroutine for the worker if it has none.
func (q *workerQueues) add(start func(func()), c core.Call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	calls, isSending := q.waiting[c.Worker]
	q.waiting[c.Worker] = append(calls, c)
	if !isSending {
		start(func() { q.executeQueued(c.Worker) })
	}
}

// executeQueued makes the queued calls of a worker until none is left.
func (q *workerQueues) executeQueued(id heatherhub.WorkerID) {
	for {
		c, ok := q.next(id)
		if !ok {
			return
		}
		q.inFlight <- struct{}{}
		q.execute(c)
		<-q.inFlight
	}
}

// next removes the first queued call of a worker. Without one, it removes the worker's
// entry and returns false.
func (q *workerQueues) next(id heatherhub.WorkerID) (core.Call, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	calls := q.waiting[id]
	if len(calls) == 0 {
		delete(q.waiting, id)
		return core.Call{}, false
	}
	q.waiting[id] = calls[1:]
	return calls[0], true
}
