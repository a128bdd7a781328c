package route

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/request/endpoint"
)

// execute waits for a replica of the call's shard and sends it the request. The
// deadline is that of the caller; ctx may end later for a granted run. A maySend
// that is not nil is called right before the request is sent; if it returns false,
// the request is cancelled.
func (o *Owner) execute(ctx context.Context, c ServeCall, deadline time.Time, maySend func() bool) (ServeReply, error) {
	p := o.poolOf(c.Shard)
	waitCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	d := p.acquire(waitCtx, c, time.Until(deadline))
	if d.Kind == endpoint.Refuse {
		o.cfg.Metrics.countRefused(c.Workload, d.Reason)
		return ServeReply{}, refusalError(c, d)
	}
	if err := o.checkBeforeSend(waitCtx, c, maySend); err != nil {
		p.done(d.Ticket, endpoint.Result{Outcome: endpoint.Unsent})
		return ServeReply{}, err
	}
	if c.Granted {
		return o.sendAndRecord(ctx, p, c, d, deadline)
	}
	return o.sendDetached(ctx, p, c, d, deadline)
}

// sendResult is what sendAndRecord returned.
type sendResult struct {
	reply ServeReply
	err   error
}

// sendDetached sends an idempotent request and waits for the answer as long as the
// caller does. The connection to the worker stays open for lostSlotTimeout longer,
// since only its end proves that the worker's slot is free.
func (o *Owner) sendDetached(ctx context.Context, p *shardPool, c ServeCall, d endpoint.Decision, deadline time.Time) (ServeReply, error) {
	start := o.cfg.Clock.Now()
	result := make(chan sendResult, 1)
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(o.lostSlotTimeout()))
	// After Close the proof is no longer needed.
	release := context.AfterFunc(o.closing, func() {
		if ctx.Err() != nil {
			cancel()
		}
	})
	o.wg.Go(func() {
		defer cancel()
		defer release()
		reply, err := o.sendAndRecord(sendCtx, p, c, d, deadline)
		result <- sendResult{reply, err}
	})
	select {
	case r := <-result:
		return r.reply, r.err
	case <-ctx.Done():
		p.done(d.Ticket, endpoint.Result{Outcome: endpoint.Lost, Elapsed: o.cfg.Clock.Since(start)})
		return ServeReply{}, heatherhub.ErrUnknown.New("the replica did not answer request %q in time: it may have run", c.ID)
	}
}

// lostSlotTimeout returns the setting of the pools, or its default.
func (o *Owner) lostSlotTimeout() time.Duration {
	if o.cfg.Endpoint.LostSlotTimeout > 0 {
		return o.cfg.Endpoint.LostSlotTimeout
	}
	return endpoint.DefaultLostSlotTimeout
}

// sendAndRecord sends a request, waits for its end and reports it to the pool.
func (o *Owner) sendAndRecord(ctx context.Context, p *shardPool, c ServeCall, d endpoint.Decision, deadline time.Time) (ServeReply, error) {
	start := o.cfg.Clock.Now()
	a, err := o.send(ctx, c, d, deadline)
	p.done(d.Ticket, endpoint.Result{Outcome: outcomeOf(ctx, a, err), Elapsed: o.cfg.Clock.Since(start)})
	if err != nil {
		return ServeReply{}, err
	}
	return ServeReply{ID: a.ID, Task: d.Task, Status: a.Status, Digest: a.Digest, RetryAfter: a.RetryAfter, Body: a.Body}, nil
}

// checkBeforeSend checks right before the send that this host still owns the shard
// and that the request was not cancelled while it was queued.
func (o *Owner) checkBeforeSend(ctx context.Context, c ServeCall, maySend func() bool) error {
	if err := o.checkOwner(c.Shard); err != nil {
		return err
	}
	if ctx.Err() != nil || maySend != nil && !maySend() {
		return heatherhub.ErrNotRun.New("the request was cancelled before it was sent: allow more time")
	}
	return nil
}

// send sends the request to the replica and checks that the answer is complete and
// belongs to it. The worker gets the time until ctx ends, which is later than the
// caller's deadline.
func (o *Owner) send(ctx context.Context, c ServeCall, d endpoint.Decision, deadline time.Time) (worker.Answer, error) {
	ctx, span := o.cfg.Tracer.Start(ctx, "worker.serve", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("worker", string(d.Worker)), attribute.String("task", string(d.Task))))
	defer span.End()
	if end, ok := ctx.Deadline(); ok {
		deadline = end
	}
	a, err := o.cfg.Workers.Serve(ctx, d.Worker, worker.Request{
		ID: c.ID, Workload: c.Workload, Task: d.Task, Key: c.Key, Body: c.Body, Timeout: time.Until(deadline),
	})
	if err == nil {
		err = CheckAnswer(c.ID, a)
	}
	if err != nil {
		span.RecordError(err)
	}
	return a, err
}

// outcomeOf returns the outcome of a send to record in the pool.
func outcomeOf(ctx context.Context, a worker.Answer, err error) endpoint.Outcome {
	switch {
	case err == nil && isFailure(a):
		return endpoint.Failed
	case err == nil:
		return endpoint.Succeeded
	case heatherhub.DidNotRun(err):
		return endpoint.Rejected
	case ctx.Err() == nil && a.ID == "":
		// Nothing came, and not for want of time.
		return endpoint.Broken
	default:
		return endpoint.Lost
	}
}

// refusalError returns the error of a refused call. All of them prove that the
// request did not run.
func refusalError(c ServeCall, d endpoint.Decision) error {
	switch d.Reason {
	case endpoint.ReasonNoReplica:
		err := heatherhub.ErrUnavailable.New("shard %s has no replica of %q that takes requests: retry later", c.Shard, c.Workload)
		return heatherhub.WithRetryAfter(err, d.RetryAfter)
	case endpoint.ReasonHarmful:
		err := heatherhub.ErrNotRun.New("requests to %q with this body have ended the replicas that they were sent to: change the request, or ask the service's team to look at it", c.Workload)
		return heatherhub.WithRetryAfter(err, d.RetryAfter)
	case endpoint.ReasonQueueFull:
		err := heatherhub.ErrNotRun.New("the queue of shard %s is full: retry later", c.Shard)
		return heatherhub.WithRetryAfter(err, d.RetryAfter)
	default:
		err := heatherhub.ErrNotRun.New("service %q would answer after the deadline: retry later or allow more time", c.Workload)
		return heatherhub.WithRetryAfter(err, d.RetryAfter)
	}
}
