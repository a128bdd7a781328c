package route

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/connection/worker"
)

// Limits of a Router.
const (
	// DefaultMaxAttempts is the largest number of attempts for one request.
	DefaultMaxAttempts = 3
	// DefaultRetryRatio is the number of retries allowed for each request of a
	// workload.
	DefaultRetryRatio = 0.2
	// minAttemptTime is the least time before the deadline at which another attempt
	// or a forwarded run is still started.
	minAttemptTime = 2 * time.Millisecond
)

// RouterConfig configures a Router. Zero values mean the defaults.
type RouterConfig struct {
	Directory Directory
	// Peers calls the owners, including this host.
	Peers       peer.Caller
	Clock       clockwork.Clock
	Log         *zap.Logger
	Tracer      trace.Tracer
	Metrics     *Metrics
	MaxAttempts int
	// RetryRatio is the number of retries allowed for each request of a workload.
	RetryRatio float64
}

// Router handles requests at the entry host. It is the only layer that retries, so
// that attempts don't multiply across hops. It is safe for concurrent use.
type Router struct {
	cfg      RouterConfig
	budgets  *retryBudgets
	backoffs *backoffTable
}

// NewRouter returns a router.
func NewRouter(cfg RouterConfig) *Router {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(nil)
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = DefaultMaxAttempts
	}
	if cfg.RetryRatio == 0 {
		cfg.RetryRatio = DefaultRetryRatio
	}
	return &Router{cfg: cfg, budgets: newRetryBudgets(cfg.RetryRatio), backoffs: newBackoffTable()}
}

// Request is one request of a caller. Its deadline is that of the context passed to
// Serve.
type Request struct {
	ID       heatherhub.RequestID
	Workload heatherhub.WorkloadID
	// Key is required for workloads that are not idempotent.
	Key heatherhub.IdempotencyKey
	// Caller is the unit of fair queuing at the owner. It may be empty.
	Caller string
	Body   []byte
}

// Serve sends a request to a replica and returns its complete answer.
//
// ErrUnknown means that the request may have run. Every other error type proves
// that this request did not run; heatherhub.RetryAfter returns when to retry.
func (r *Router) Serve(ctx context.Context, req Request) (worker.Answer, error) {
	ctx, span := r.cfg.Tracer.Start(ctx, "route.serve", trace.WithAttributes(
		attribute.String("workload", string(req.Workload)), attribute.String("request", string(req.ID))))
	defer span.End()
	w := r.cfg.Directory.Snapshot().Workload(req.Workload)
	if w == nil || w.Kind != heatherhub.KindService {
		return worker.Answer{}, heatherhub.ErrNotFound.New("service %q is not declared: list the services with: heatherhub workload list", req.Workload)
	}
	if !w.Idempotent && req.Key == "" {
		return worker.Answer{}, heatherhub.ErrInvalid.New("service %q is not idempotent: send an Idempotency-Key header", req.Workload)
	}
	r.budgets.deposit(req.Workload)
	s := routedRequest{router: r, req: req, keyed: !w.Idempotent}
	a, err := s.serve(ctx)
	if err != nil {
		span.RecordError(err)
	}
	return a, err
}

// routedRequest is the state of one request at the entry host, over all of its
// attempts.
type routedRequest struct {
	router      *Router
	req         Request
	keyed       bool
	avoid       []heatherhub.TaskID
	triedShards map[heatherhub.ShardID]bool
	// isBroken means that the connection of an attempt to its replica ended before its answer.
	isBroken bool
	// failedAnswer is the last answer that reports a failure of the replica. It is
	// returned if no later attempt succeeds.
	failedAnswer *worker.Answer
	// unknownErr is the error of the last attempt that may have run, or nil.
	unknownErr error
	// ownerLookups counts the repeated lookups of the owner of a key.
	ownerLookups int
}

// serve makes attempts until one succeeds, or no other one is allowed.
func (s *routedRequest) serve(ctx context.Context) (worker.Answer, error) {
	var last error
	for attempt := 0; attempt < s.router.cfg.MaxAttempts; attempt++ {
		if attempt > 0 && !s.mayRetry(ctx, last) {
			break
		}
		p, ok := s.nextPlace()
		if !ok {
			break
		}
		s.router.cfg.Metrics.countAttempt(s.req.Workload, attempt)
		a, err := s.attempt(ctx, p)
		if err == nil && !isFailure(a) {
			return a, nil
		}
		if err == nil {
			s.failedAnswer = &a
		}
		if err != nil && !heatherhub.DidNotRun(err) {
			s.unknownErr = err
			s.isBroken = ctx.Err() == nil
		}
		last = err
		if s.refreshOwner(ctx, p, err) {
			attempt--
		}
	}
	return s.outcome(last)
}

// isFailure reports whether an answer reports a failure of the replica.
func isFailure(a worker.Answer) bool {
	return a.Status >= 500
}

// outcome returns the final outcome after a last unsuccessful attempt, if any. It
// returns an error that proves that the request did not run only if that holds for
// all attempts.
func (s *routedRequest) outcome(last error) (worker.Answer, error) {
	switch {
	case s.failedAnswer != nil:
		return *s.failedAnswer, nil
	case s.unknownErr != nil:
		return worker.Answer{}, s.unknownErr
	case last != nil:
		return worker.Answer{}, last
	}
	err := heatherhub.ErrUnavailable.New("no reachable host holds replicas of %q: retry later", s.req.Workload)
	if s.keyed {
		err = heatherhub.ErrUnavailable.New("no host can grant the idempotency key at present: retry later with the same key")
	}
	return worker.Answer{}, heatherhub.WithRetryAfter(err, noPlaceRetryAfter)
}

// ownerChangeDelay is how long a keyed request waits for a shard that is handed
// over to get its next owner.
const ownerChangeDelay = 200 * time.Millisecond

// maxOwnerLookups is how often one request may look up the owner of its key again
// without using up an attempt.
const maxOwnerLookups = 10

// noPlaceRetryAfter is the retry-after time if no owner with replicas, or no owner
// of the key, is known.
const noPlaceRetryAfter = time.Second

// mayRetry reports whether another attempt is safe and useful, and takes it out of
// the retry budget. A keyed request is retried only if it provably did not run.
func (s *routedRequest) mayRetry(ctx context.Context, last error) bool {
	if s.keyed && (last == nil || !heatherhub.DidNotRun(last)) {
		return false
	}
	switch heatherhub.CodeOf(last) {
	case heatherhub.CodeInvalid, heatherhub.CodeNotFound, heatherhub.CodeConflict, heatherhub.CodeDenied:
		return false // another attempt would fail the same way
	}
	if heatherhub.RetryAfter(last) > 0 && !s.hasUntriedPlace() {
		return false // the owner asked for a delay, and there is no other one to ask
	}
	if end, ok := ctx.Deadline(); ctx.Err() != nil || ok && time.Until(end) < minAttemptTime {
		return false
	}
	return s.router.budgets.withdraw(s.req.Workload)
}

// refreshOwner looks up the owner of a shard again if the host that was asked does
// not own it or cannot be reached. It reports whether the attempt of a keyed
// request doesn't count towards the limit: it reached no replica, and the next one
// may reach another owner.
func (s *routedRequest) refreshOwner(ctx context.Context, p Place, err error) bool {
	code := heatherhub.CodeOf(err)
	if code != heatherhub.CodeNotOwner && code != heatherhub.CodeUnavailable {
		return false
	}
	if s.keyed && code == heatherhub.CodeNotOwner {
		s.waitForNextOwner(ctx)
	}
	if f, ok := s.router.cfg.Directory.(Refresher); ok {
		f.Refresh(ctx, p.Shard, p.Owner)
	}
	if !s.keyed || s.ownerLookups >= maxOwnerLookups || ctx.Err() != nil {
		return false
	}
	s.ownerLookups++
	next, ok := s.router.cfg.Directory.Owner(p.Shard)
	return code == heatherhub.CodeNotOwner || ok && next != p.Owner
}

// waitForNextOwner waits for ownerChangeDelay, but at most a quarter of the
// remaining time.
func (s *routedRequest) waitForNextOwner(ctx context.Context) {
	wait := ownerChangeDelay
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(end)/4)
	}
	select {
	case <-ctx.Done():
	case <-s.router.cfg.Clock.After(wait):
	}
}

// nextPlace returns where to send the next attempt: the first place that was not
// tried yet, or else the first one. A keyed request goes to the owner of its key.
func (s *routedRequest) nextPlace() (Place, bool) {
	d := s.router.cfg.Directory
	if s.keyed {
		shard := d.KeyShard(s.req.Workload, s.req.Key)
		owner, ok := d.Owner(shard)
		return Place{Shard: shard, Owner: owner}, ok
	}
	places := s.router.orderPlaces(s.req.Workload)
	for _, p := range places {
		if !s.triedShards[p.Shard] {
			return p, true
		}
	}
	if len(places) > 0 {
		return places[0], true
	}
	return Place{}, false
}

// hasUntriedPlace reports whether there is a place that was not tried yet. A keyed
// request can only go to the owner of its key.
func (s *routedRequest) hasUntriedPlace() bool {
	if s.keyed {
		return false
	}
	for _, p := range s.router.cfg.Directory.Places(s.req.Workload) {
		if !s.triedShards[p.Shard] {
			return true
		}
	}
	return false
}

// attempt sends the request to the owner of a place and records the result for the
// choice of later places and replicas.
func (s *routedRequest) attempt(ctx context.Context, p Place) (worker.Answer, error) {
	if s.triedShards == nil {
		s.triedShards = make(map[heatherhub.ShardID]bool)
	}
	s.triedShards[p.Shard] = true
	s.router.backoffs.beginProbe(s.router.cfg.Clock.Now(), p.Owner)
	reply, err := peer.Call[ServeReply](ctx, s.router.cfg.Peers, p.Owner, peer.MethodServe, ServeCall{
		ID: s.req.ID, Workload: s.req.Workload, Shard: p.Shard,
		Key: s.req.Key, Caller: s.req.Caller, Avoid: s.avoid, Broken: s.isBroken, Body: s.req.Body,
	})
	if !s.keyed { // a claim can also fail because of the store, which is no fault of the owner
		s.router.backoffs.record(s.router.cfg.Clock.Now(), placeKey{p.Shard, s.req.Workload}, p.Owner, err)
	}
	if err != nil {
		return worker.Answer{}, err
	}
	a := reply.answer()
	if err := CheckAnswer(s.req.ID, a); err != nil {
		return worker.Answer{}, err
	}
	if isFailure(a) && len(s.avoid) < MaxAvoid {
		s.avoid = append(s.avoid, reply.Task)
	}
	return a, nil
}
