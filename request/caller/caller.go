// Package caller is the HTTP interface for callers of services. It checks and
// bounds a request, passes it to the router and turns the outcome into one of
// three answers that are never blurred: answered, not run (certain) and unknown.
//
// # Usage
//
//	h := caller.New(caller.Config{Router: router, Directory: directory})
//	mux := httprouter.New()
//	h.Register(mux)
//	// on a planned stop
//	h.Drain() // the balancer's health check fails at once, requests go on
//
// A caller sends
//
//	POST /v1/services/compile
//	Idempotency-Key: 7c1e     (needed unless the service is idempotent)
//	Request-Deadline-Ms: 800  (optional; the service's deadline is the default)
//	X-Request-Id: a-17        (optional; it comes back with the answer)
//
// and reads the header Heatherhub-Outcome: answered, not-run or unknown. Errors
// have a JSON body with outcome, code, message and retryAfterMs.
package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/request/route"
)

// Paths of the interface.
const (
	PathServices = "/v1/services/:workload"
	PathHealth   = "/healthz"
)

// Headers of the interface.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderDeadline  = "Request-Deadline-Ms"
	HeaderRequestID = "X-Request-Id"
	HeaderCaller    = "Heatherhub-Caller"
	HeaderOutcome   = "Heatherhub-Outcome"
)

// Limits of the interface.
const (
	// DefaultMaxBody is the largest request body, in bytes.
	DefaultMaxBody = 1 << 20
	// DefaultMaxInFlight is the largest number of requests under way.
	DefaultMaxInFlight = 4096
	// MaxDeadline is the longest deadline that a caller may ask for.
	MaxDeadline = 5 * time.Minute
)

// Router takes a request to a replica.
type Router interface {
	Serve(ctx context.Context, r route.Request) (worker.Answer, error)
}

// Config configures a Handler. Zero values mean the defaults.
type Config struct {
	Router    Router
	Directory route.Directory
	Log       *zap.Logger
	Tracer    trace.Tracer
	Metrics   *Metrics
	MaxBody   int64
	// MaxInFlight bounds the requests under way; more are refused as not run.
	MaxInFlight int
	// Ready reports whether requests can be served; nil for always. While it
	// does not, the health check fails.
	Ready func() bool
}

// Handler serves callers and the balancer's health check.
type Handler struct {
	cfg      Config
	mux      *httprouter.Router
	inFlight atomic.Int64
	draining atomic.Bool
}

// New returns a handler.
func New(cfg Config) *Handler {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(nil)
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = DefaultMaxBody
	}
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	h := &Handler{cfg: cfg, mux: httprouter.New()}
	h.Register(h.mux)
	return h
}

// Register adds the routes to a router.
func (h *Handler) Register(mux *httprouter.Router) {
	mux.POST(PathServices, h.serve)
	mux.GET(PathHealth, h.health)
}

// ServeHTTP serves the routes alone.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// Drain makes the health check fail at once. Requests are still served, so that
// none is cut off before the balancer has noticed.
func (h *Handler) Drain() {
	h.draining.Store(true)
}

// InFlight returns the number of requests under way.
func (h *Handler) InFlight() int {
	return int(h.inFlight.Load())
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if h.cfg.Ready != nil && !h.cfg.Ready() {
		http.Error(w, "starting: wait until the owners of all services are known", http.StatusServiceUnavailable)
		return
	}
	if h.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte("ok\n"))
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	start := time.Now()
	defer h.inFlight.Add(-1)
	isFull := h.inFlight.Add(1) > int64(h.cfg.MaxInFlight)
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.cfg.Tracer.Start(ctx, "caller.serve", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	workload := heatherhub.WorkloadID(p.ByName("workload"))
	answer, err := h.forward(ctx, w, r, workload, isFull)
	if err != nil {
		span.RecordError(err)
		writeError(w, err)
	} else {
		writeAnswer(w, answer)
	}
	h.cfg.Metrics.observe(h.metricLabel(workload), outcomeOf(err), time.Since(start))
}

// label bounds the metric labels to declared workloads.
func (h *Handler) metricLabel(id heatherhub.WorkloadID) string {
	if s := h.cfg.Directory.Snapshot(); s == nil || s.Workload(id) == nil {
		return "undeclared"
	}
	return string(id)
}

// pass checks a request, and passes it on with its deadline.
func (h *Handler) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, id heatherhub.WorkloadID, isFull bool) (worker.Answer, error) {
	if isFull {
		err := heatherhub.ErrNotRun.New("this host has too many requests under way: retry later")
		return worker.Answer{}, heatherhub.WithRetryAfter(err, overloadRetryAfter)
	}
	req, timeout, err := h.readRequest(w, r, id)
	w.Header().Set(HeaderRequestID, string(req.ID))
	if err != nil {
		return worker.Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.cfg.Router.Serve(ctx, req)
}

// fullRetryAfter is the wait told to a caller of a full host.
const overloadRetryAfter = 500 * time.Millisecond
