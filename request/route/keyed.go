package route

import (
	"context"
	"sync"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/connection/worker"
)

// keyedRequest identifies a request by its workload and idempotency key.
type keyedRequest struct {
	workload heatherhub.WorkloadID
	key      heatherhub.IdempotencyKey
}

// keyedRun is the only run of a keyed request, while this host handles it. Repeated
// requests with the key wait for its result.
type keyedRun struct {
	// bodyDigest is the digest of the request's body.
	bodyDigest uint64
	// done is closed once reply and err are set.
	done  chan struct{}
	reply ServeReply
	err   error

	mu      sync.Mutex
	waiters int
	// sent means that the request may have been sent, cancelled that it never will
	// be. At most one of them is set.
	sent      bool
	cancelled bool
}

// keyedRunTable holds the keyed runs that this host handles.
type keyedRunTable struct {
	mu   sync.Mutex
	runs map[keyedRequest]*keyedRun
}

func newKeyedRunTable() keyedRunTable {
	return keyedRunTable{runs: make(map[keyedRequest]*keyedRun)}
}

// join returns the run of a key, and whether it is new, so that the caller has to
// carry it out. It returns nil if the key is in use for another body.
func (t *keyedRunTable) join(key keyedRequest, body uint64) (*keyedRun, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runs[key]
	isFirst := r == nil
	if isFirst {
		r = &keyedRun{bodyDigest: body, done: make(chan struct{})}
		t.runs[key] = r
	}
	if r.bodyDigest != body {
		return nil, false
	}
	r.mu.Lock()
	r.waiters++
	r.mu.Unlock()
	return r, isFirst
}

// finish publishes the result of a run and removes it from the table.
func (t *keyedRunTable) finish(key keyedRequest, r *keyedRun, reply ServeReply, err error) {
	t.mu.Lock()
	delete(t.runs, key)
	t.mu.Unlock()
	r.reply, r.err = reply, err
	close(r.done)
}

// markSent marks the run as sent. It returns false if the run was cancelled and
// must not be sent.
func (r *keyedRun) markSent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled {
		return false
	}
	r.sent = true
	return true
}

// abandon ends the wait of one request before the run is done, and returns its
// error. The last waiter cancels a run that was not sent yet; only then is it
// certain that the request does not run.
func (r *keyedRun) abandon() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters--
	if !r.sent && r.waiters == 0 {
		r.cancelled = true
		return heatherhub.ErrNotRun.New("the request was cancelled before it was sent: allow more time")
	}
	return heatherhub.ErrUnknown.New("the request is still under way: ask again with the same key for its answer")
}

// serveKeyed starts the run of a key, or joins it, and waits for its result.
func (o *Owner) serveKeyed(ctx context.Context, c ServeCall) (ServeReply, error) {
	key := keyedRequest{c.Workload, c.Key}
	r, isFirst := o.runs.join(key, worker.Digest(c.Body))
	if r == nil {
		return ServeReply{}, errKeyReused(c)
	}
	if isFirst {
		deadline, ok := ctx.Deadline()
		if !ok {
			deadline = time.Now().Add(defaultDeadline)
		}
		detached := context.WithoutCancel(ctx)
		o.wg.Go(func() {
			reply, err := o.claimAndRun(detached, c, deadline, r)
			o.runs.finish(key, r, reply, err)
		})
	}
	select {
	case <-r.done:
		return r.reply, r.err
	case <-ctx.Done():
		return ServeReply{}, r.abandon()
	}
}

// claimAndRun claims the run of a key, carries it out if it is granted, and records
// its answer.
func (o *Owner) claimAndRun(ctx context.Context, c ServeCall, deadline time.Time, r *keyedRun) (ServeReply, error) {
	claimCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	claim, err := o.cfg.Keys.Claim(claimCtx, c.Shard, c.Workload, c.Key)
	if err != nil {
		return ServeReply{}, err
	}
	switch claim.State {
	case ClaimGranted:
	case ClaimAnswered:
		return recordedReply(c, claim.Answer)
	default:
		return ServeReply{}, heatherhub.ErrUnknown.New("the request with this key was sent before and has no recorded answer: it may have run")
	}
	runCtx, stop := context.WithTimeout(ctx, max(time.Until(deadline), 0)+o.cfg.RunGracePeriod)
	defer stop()
	reply, err := o.runOrForward(runCtx, c, deadline, r)
	switch {
	case err == nil:
		a := reply.answer()
		a.Digest ^= worker.Digest(c.Body) // see recordedReply
		o.cfg.Keys.Settle(c.Shard, c.Workload, c.Key, a)
	case heatherhub.DidNotRun(err):
		o.cfg.Keys.Release(c.Shard, c.Workload, c.Key)
	}
	return reply, err
}

// recordedReply returns the recorded answer of a key. The recorded digest is that of
// the answer XOR that of the request's body, so a request with another body is
// detected.
func recordedReply(c ServeCall, a worker.Answer) (ServeReply, error) {
	digest := a.Digest ^ worker.Digest(c.Body)
	if digest != worker.Digest(a.Body) {
		return ServeReply{}, errKeyReused(c)
	}
	return ServeReply{Status: a.Status, Digest: digest, RetryAfter: a.RetryAfter, Body: a.Body}, nil
}

// errKeyReused returns ErrUnknown, since the first request with the key may have
// run.
func errKeyReused(c ServeCall) error {
	return heatherhub.ErrUnknown.New("idempotency key %q was used with another body, which may have run: send a new key for a new request", c.Key)
}

// runOrForward runs a request with a new grant on this host, or at another owner if
// this host has no replica of the service.
func (o *Owner) runOrForward(ctx context.Context, c ServeCall, deadline time.Time, r *keyedRun) (ServeReply, error) {
	c.Granted = true
	self, domain := o.cfg.Directory.Self()
	places := o.cfg.Directory.Places(c.Workload)
	for _, p := range append([]Place{{Shard: c.Shard, Owner: self}}, places...) {
		if p.Owner == self && o.poolOf(p.Shard).hasReplica(c.Workload) {
			c.Shard = p.Shard
			return o.execute(ctx, c, deadline, r.markSent)
		}
	}
	next, ok := forwardPlace(places, self, domain)
	if !ok {
		err := heatherhub.ErrUnavailable.New("no reachable host holds replicas of %q: retry later", c.Workload)
		return ServeReply{}, heatherhub.WithRetryAfter(err, noPlaceRetryAfter)
	}
	if time.Until(deadline) < minAttemptTime || !r.markSent() {
		return ServeReply{}, heatherhub.ErrNotRun.New("the request was cancelled before it was sent: allow more time")
	}
	c.Shard, c.Remaining = next.Shard, time.Until(deadline)
	reply, err := peer.Call[ServeReply](ctx, o.cfg.Peers, next.Owner, peer.MethodServe, c)
	if err != nil {
		return ServeReply{}, err
	}
	return reply, CheckAnswer(c.ID, reply.answer())
}

// forwardPlace returns a place with another owner, in this host's failure domain if
// there is one.
func forwardPlace(places []Place, self heatherhub.HostID, domain heatherhub.FailureDomain) (Place, bool) {
	var best Place
	found := false
	for _, p := range places {
		if p.Owner == self {
			continue
		}
		if !found || p.Shard.Domain == domain && best.Shard.Domain != domain {
			best, found = p, true
		}
	}
	return best, found
}

// runGranted runs a request whose run was granted and forwarded by the owner of its
// key. Once sent, it continues even if the call is cancelled.
func (o *Owner) runGranted(ctx context.Context, c ServeCall) (ServeReply, error) {
	remaining := c.Remaining
	if remaining <= 0 {
		return ServeReply{}, heatherhub.ErrNotRun.New("the request was cancelled before it was sent: allow more time")
	}
	deadline := time.Now().Add(remaining)
	runCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), remaining+o.cfg.RunGracePeriod)
	defer stop()
	return o.execute(runCtx, c, deadline, func() bool { return ctx.Err() == nil })
}
