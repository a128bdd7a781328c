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

// Limits of the entry side.
const (
	// DefaultMaxAttempts is the largest number of owners asked for one request.
	DefaultMaxAttempts = 3
	// DefaultRetryRatio is the share of a workload's requests that may be
	// followed by another attempt.
	DefaultRetryRatio = 0.2
	// minAttemptTime is the least remaining time for which an attempt is made.
	minAttemptTime = 2 * time.Millisecond
)

// RouterConfig configures a Router. Zero values mean the defaults.
type RouterConfig struct {
	Directory Directory
	// Peers reaches the owners, this host included.
	Peers       peer.Caller
	Clock       clockwork.Clock
	Log         *zap.Logger
	Tracer      trace.Tracer
	Metrics     *Metrics
	MaxAttempts int
	RetryRatio  float64
}

// Router is the entry side of the request path. It is the only layer that
// retries.
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

// Request is one request of a caller. Its deadline is that of the context.
type Request struct {
	ID       heatherhub.RequestID
	Workload heatherhub.WorkloadID
	// Key is needed for workloads that are not idempotent.
	Key heatherhub.IdempotencyKey
	// Caller is the customer for fairness, or empty.
	Caller string
	Body   []byte
}

// Serve takes a request to a replica and returns its whole answer.
//
// Errors: ErrUnknown says that it may have run. Every other type proves that
// this request did not run; heatherhub.RetryAfter says when to come back.
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

// routedRequest is the handling of one request at the entry host.
type routedRequest struct {
	router      *Router
	req         Request
	keyed       bool
	avoid       []heatherhub.TaskID
	triedShards map[heatherhub.ShardID]bool
	// failedAnswer is an answer that reports a failure of the replica; it is returned
	// if no other attempt does better.
	failedAnswer *worker.Answer
	// unknownErr is set once an attempt may have run.
	unknownErr error
	// ownerLookups counts the further ownerLookups for the owner of a key.
	ownerLookups int
}

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
		}
		last = err
		if s.refreshOwner(ctx, p, err) {
			attempt--
		}
	}
	return s.outcome(last)
}

// isFailure reports whether the replica answered that it failed.
func isFailure(a worker.Answer) bool {
	return a.Status >= 500
}

// outcome chooses the final outcome. Not run is said only if no attempt may
// have run.
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

// ownerChangeDelay is the time in which a shard that is handed over gets its next owner.
const ownerChangeDelay = 200 * time.Millisecond

// maxOwnerLookups bounds the further looks of one request for the owner of its key.
const maxOwnerLookups = 10

// noPlaceRetryAfter is the wait told to callers of a service without a place.
const noPlaceRetryAfter = time.Second

// mayRetry reports whether another attempt is safe, in time and in budget.
func (s *routedRequest) mayRetry(ctx context.Context, last error) bool {
	if s.keyed && (last == nil || !heatherhub.DidNotRun(last)) {
		return false
	}
	switch heatherhub.CodeOf(last) {
	case heatherhub.CodeInvalid, heatherhub.CodeNotFound, heatherhub.CodeConflict, heatherhub.CodeDenied:
		return false // it would end the same again
	}
	if heatherhub.RetryAfter(last) > 0 && !s.hasUntriedPlace() {
		return false // asked to come back later, and there is nowhere else to go
	}
	if end, ok := ctx.Deadline(); ctx.Err() != nil || ok && time.Until(end) < minAttemptTime {
		return false
	}
	return s.router.budgets.withdraw(s.req.Workload)
}

// refreshOwner finds the owner of a shard anew when the host that was asked does not
// own it or cannot be reached. It reports whether a keyed request shall look
// again for the owner of its key: such a look-up reached no replica and is no
// attempt.
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

// waitForNextOwner waits ownerChangeDelay, or less if the deadline is near.
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

// nextPlace returns the place of the nextPlace attempt. A keyed request goes to the
// owner of its key.
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

// hasUntriedPlace reports whether a place was not asked yet. A keyed request has
// only the owner of its key.
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

func (s *routedRequest) attempt(ctx context.Context, p Place) (worker.Answer, error) {
	if s.triedShards == nil {
		s.triedShards = make(map[heatherhub.ShardID]bool)
	}
	s.triedShards[p.Shard] = true
	s.router.backoffs.beginProbe(s.router.cfg.Clock.Now(), p.Owner)
	reply, err := peer.Ask[ServeReply](ctx, s.router.cfg.Peers, p.Owner, peer.MethodServe, ServeCall{
		ID: s.req.ID, Workload: s.req.Workload, Shard: p.Shard,
		Key: s.req.Key, Caller: s.req.Caller, Avoid: s.avoid, Body: s.req.Body,
	})
	if !s.keyed { // a claim can fail for the store's sake
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
