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

// execute answers a request from a replica of the call's shard. The deadline is that
// of the caller; ctx may end later for a granted execute. Sent, if given, is asked
// right before the request is sent, and false stops it.
func (o *Owner) execute(ctx context.Context, c ServeCall, deadline time.Time, sent func() bool) (ServeReply, error) {
	p := o.poolOf(c.Shard)
	waitCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	d := p.acquire(waitCtx, c, time.Until(deadline))
	if d.Kind == endpoint.Refuse {
		o.cfg.Metrics.countRefused(c.Workload, d.Reason)
		return ServeReply{}, refusalError(c, d)
	}
	if err := o.checkBeforeSend(waitCtx, c, sent); err != nil {
		p.done(d.Ticket, endpoint.Result{Outcome: endpoint.Unsent})
		return ServeReply{}, err
	}
	if c.Granted {
		return o.sendAndRecord(ctx, p, c, d, deadline)
	}
	return o.sendDetached(ctx, p, c, d, deadline)
}

// sendResult is the end of a request at its replica.
type sendResult struct {
	reply ServeReply
	err   error
}

// sendDetached sends an idempotent request and waits for the answer as long as the
// caller does. The connection is kept a while longer, since its end is the proof
// that the worker's slot is free.
func (o *Owner) sendDetached(ctx context.Context, p *shardPool, c ServeCall, d endpoint.Decision, deadline time.Time) (ServeReply, error) {
	start := o.cfg.Clock.Now()
	result := make(chan sendResult, 1)
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(o.lostSlotTimeout()))
	// After Close nobody waits for the proof any more.
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

func (o *Owner) lostSlotTimeout() time.Duration {
	if o.cfg.Endpoint.LostSlotTimeout > 0 {
		return o.cfg.Endpoint.LostSlotTimeout
	}
	return endpoint.DefaultLostSlotTimeout
}

// sendAndRecord sends a request, waits for its end and tells the pool.
func (o *Owner) sendAndRecord(ctx context.Context, p *shardPool, c ServeCall, d endpoint.Decision, deadline time.Time) (ServeReply, error) {
	start := o.cfg.Clock.Now()
	a, err := o.send(ctx, c, d, deadline)
	p.done(d.Ticket, endpoint.Result{Outcome: outcomeOf(a, err), Elapsed: o.cfg.Clock.Since(start)})
	if err != nil {
		return ServeReply{}, err
	}
	return ServeReply{ID: a.ID, Task: d.Task, Status: a.Status, Digest: a.Digest, RetryAfter: a.RetryAfter, Body: a.Body}, nil
}

// checkBeforeSend is the last check before a request is sent.
func (o *Owner) checkBeforeSend(ctx context.Context, c ServeCall, sent func() bool) error {
	if err := o.checkOwner(c.Shard); err != nil {
		return err
	}
	if ctx.Err() != nil || sent != nil && !sent() {
		return heatherhub.ErrNotRun.New("the request was given up before it started: allow more time")
	}
	return nil
}

// send passes the request to the replica and proves that the answer is whole
// and its own. The worker's time is that of ctx, which ends after the caller's.
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

func outcomeOf(a worker.Answer, err error) endpoint.Outcome {
	switch {
	case err == nil && isFailure(a):
		return endpoint.Failed
	case err == nil:
		return endpoint.Succeeded
	case heatherhub.DidNotRun(err):
		return endpoint.Rejected
	default:
		return endpoint.Lost
	}
}

func refusalError(c ServeCall, d endpoint.Decision) error {
	switch d.Reason {
	case endpoint.ReasonNoReplica:
		err := heatherhub.ErrUnavailable.New("shard %s has no replica of %q that takes requests: retry later", c.Shard, c.Workload)
		return heatherhub.WithRetryAfter(err, d.RetryAfter)
	case endpoint.ReasonQueueFull:
		err := heatherhub.ErrNotRun.New("the queue of shard %s is full: retry later", c.Shard)
		return heatherhub.WithRetryAfter(err, d.RetryAfter)
	default:
		err := heatherhub.ErrNotRun.New("service %q would answer after the deadline: retry later or allow more time", c.Workload)
		return heatherhub.WithRetryAfter(err, d.RetryAfter)
	}
}
