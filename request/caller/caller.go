// Package caller implements the HTTP API for callers of services. It validates a
// request, limits its size and time, forwards it to the router and reports one of
// three outcomes: answered, not run, which is certain, or unknown.
//
// # Usage
//
//	h := caller.New(caller.Config{Router: router, Directory: directory})
//	mux := httprouter.New()
//	h.Register(mux)
//	// on a planned shutdown
//	h.Drain() // fails the load balancer's health check, still serves requests
//
// A caller sends
//
//	POST /v1/services/compile
//	Idempotency-Key: 7c1e     (required unless the service is idempotent)
//	Request-Deadline-Ms: 800  (optional; defaults to the service's deadline)
//	X-Request-Id: a-17        (optional; returned with the response)
//
// and reads the outcome from the response header Heatherhub-Outcome: answered, not-run
// or unknown. Errors have a JSON body with outcome, code, message and retryAfterMs.
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

// Paths of the API.
const (
	PathServices = "/v1/services/:workload"
	PathHealth   = "/healthz"
)

// Headers of the API.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderDeadline  = "Request-Deadline-Ms"
	HeaderRequestID = "X-Request-Id"
	HeaderCaller    = "Heatherhub-Caller"
	HeaderOutcome   = "Heatherhub-Outcome"
)

// Limits of the API.
const (
	// DefaultMaxBody is the default of Config.MaxBody, in bytes.
	DefaultMaxBody = 1 << 20
	// DefaultMaxInFlight is the default of Config.MaxInFlight.
	DefaultMaxInFlight = 4096
	// MaxDeadline is the longest deadline that a caller may request.
	MaxDeadline = 5 * time.Minute
)

// Router sends a request to a replica and returns its answer. It must be safe for
// concurrent use.
type Router interface {
	Serve(ctx context.Context, r route.Request) (worker.Answer, error)
}

// Config configures a Handler. Router and Directory are required; the zero value of any
// other field selects its default.
type Config struct {
	Router    Router
	Directory route.Directory
	Log       *zap.Logger
	Tracer    trace.Tracer
	Metrics   *Metrics
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// MaxInFlight is the maximum number of requests in flight. Further ones are refused
	// as not run.
	MaxInFlight int
	// Ready reports whether requests can be served. The health check fails while it
	// returns false. If it is nil, the handler is always ready.
	Ready func() bool
}

// Handler serves callers and the load balancer's health check. It is safe for concurrent
// use.
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

// ServeHTTP implements http.Handler for the routes of the API only.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// Drain makes the health check fail. Requests are still served, so that none fails
// before the load balancer stops sending them.
func (h *Handler) Drain() {
	h.draining.Store(true)
}

// InFlight returns the number of requests in flight.
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

// metricLabel returns the value of the workload label. All undeclared workloads share one,
// which bounds the number of label values.
func (h *Handler) metricLabel(id heatherhub.WorkloadID) string {
	if s := h.cfg.Directory.Snapshot(); s == nil || s.Workload(id) == nil {
		return "undeclared"
	}
	return string(id)
}

// forward validates a request and sends it to the router with its deadline. If isFull is
// set, it refuses the request unread.
func (h *Handler) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, id heatherhub.WorkloadID, isFull bool) (worker.Answer, error) {
	if isFull {
		err := heatherhub.ErrNotRun.New("this host has too many requests in flight: retry later")
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

// overloadRetryAfter is the retry delay returned while this host is overloaded or has no
// configuration.
const overloadRetryAfter = 500 * time.Millisecond
