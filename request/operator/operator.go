// Package operator implements the HTTP API for operators of an entry host: the
// configuration, presets, jobs, workers and hosts. It authorizes and validates requests,
// limits their size and encodes replies and errors; a Backend does the work.
//
// # Usage
//
//	h := operator.New(operator.Config{Backend: b, Configuration: keeper, Token: token, Metrics: promhttp.Handler()})
//	srv := operator.NewServer(h)
//	err := srv.Serve(listener)
//
// Errors are returned as operatorapi.Error with a status by their type: 400 invalid, 401
// denied, 404 notFound, 409 conflict, 413 body too large, 503 for notRun, unavailable and
// notOwner, which mean that nothing was done, and 502 if the outcome is unknown.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/operatorapi"
	"heatherhub.example/heatherhub/version/config"
)

// Limits of the HTTP server.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 30 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
)

// Backend handles validated requests. A method may forward its call to the owner of a
// shard. Errors have the types of package heatherhub. All methods must be safe for
// concurrent use.
type Backend interface {
	// AddJob returns when the record of the job is durable. If a job with the same id
	// exists, AddJob returns it if it has the same workload and tasks, and ErrConflict
	// otherwise.
	AddJob(ctx context.Context, j heatherhub.Job) (operatorapi.JobView, error)
	// CancelJob returns when the cancel is durable.
	CancelJob(ctx context.Context, id heatherhub.JobID) (operatorapi.JobView, error)
	Job(ctx context.Context, id heatherhub.JobID) (operatorapi.JobView, error)
	Jobs(ctx context.Context, f operatorapi.JobFilter) (operatorapi.JobList, error)
	Workers(ctx context.Context) (operatorapi.WorkerList, error)
	Hosts(ctx context.Context) (operatorapi.HostList, error)
	Status(ctx context.Context) (operatorapi.Status, error)
}

// Configuration reads and edits the configuration. config.Keeper implements it.
type Configuration interface {
	Current() *heatherhub.Snapshot
	EditAs(ctx context.Context, id config.EditID, expect heatherhub.Version, change func(*heatherhub.Snapshot) error) (*heatherhub.Snapshot, error)
}

// Config configures the API. Backend and Configuration are required.
type Config struct {
	Backend       Backend
	Configuration Configuration
	// Domains lists the failure domains. It is nil where presets express their evacuation.
	Domains func(context.Context) (operatorapi.DomainList, error)
	// Token is the bearer token that every request must have. If it is empty, requests
	// need none.
	Token string
	// Metrics serves /metrics, which requires the token too. If it is nil, there is no
	// such path.
	Metrics http.Handler
	Log     *zap.Logger
	Tracer  trace.Tracer
	// Registerer registers the metrics of the API. If it is nil, they are not exported.
	Registerer prometheus.Registerer
}

// handler handles a request of one route and returns the value to encode as JSON.
type handler func(r *http.Request, params httprouter.Params) (any, error)

// api is the http.Handler of the operator API.
type api struct {
	cfg Config
	// token is the digest of Config.Token.
	token    [sha256.Size]byte
	router   *httprouter.Router
	requests *prometheus.CounterVec
}

// New returns the handler of the operator API.
func New(cfg Config) http.Handler {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider().Tracer("")
	}
	a := &api{cfg: cfg, token: sha256.Sum256([]byte(cfg.Token)), router: httprouter.New(), requests: newRequestCounter(cfg.Registerer)}
	a.router.RedirectFixedPath = false
	a.router.RedirectTrailingSlash = false
	a.router.NotFound = errorHandler(heatherhub.ErrNotFound.New("no such path: see docs/operate for the paths of the operator port"))
	a.router.MethodNotAllowed = errorHandler(heatherhub.ErrInvalid.New("the path does not support this method: use GET to read and POST to change"))
	a.routes()
	return a
}

// newRequestCounter returns the counter of requests, registered with r unless r is nil.
func newRequestCounter(r prometheus.Registerer) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "heatherhub_operator_requests_total",
		Help: "Requests of operators, by route and outcome; ok for those that were done.",
	}, []string{"method", "route", "outcome"})
	if r != nil {
		r.MustRegister(c)
	}
	return c
}

// NewServer returns a server with the timeouts and the header limit of the operator API.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (a *api) routes() {
	a.get("/v1/snapshot", a.snapshot)
	a.post("/v1/snapshot", a.apply)
	a.get("/v1/presets", a.presets)
	a.get("/v1/presets/:id", a.preset)
	a.post("/v1/presets/:id/switch", a.switchPreset)
	a.get("/v1/workloads", a.workloads)
	a.get("/v1/workloads/:id", a.workload)
	a.get("/v1/jobs", a.jobs)
	a.post("/v1/jobs", a.addJob)
	a.get("/v1/jobs/:id", a.job)
	a.post("/v1/jobs/:id/cancel", a.cancelJob)
	a.get("/v1/workers", a.workers)
	a.get("/v1/domains", a.domains)
	a.get("/v1/hosts", a.hosts)
	a.get("/v1/status", a.status)
	if a.cfg.Metrics != nil {
		a.router.Handler(http.MethodGet, "/metrics", a.cfg.Metrics)
	}
}

func (a *api) get(path string, h handler) {
	a.router.GET(path, a.serve(path, h))
}

func (a *api) post(path string, h handler) {
	a.router.POST(path, a.serve(path, h))
}

// ServeHTTP checks the token, limits the body and routes the request. The routes match
// the escaped path, because ids may contain slashes.
func (a *api) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := a.authorize(r); err != nil {
		writeError(w, err)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, operatorapi.MaxBodyBytes)
	r2 := r.Clone(r.Context())
	r2.URL.Path = r.URL.EscapedPath()
	a.router.ServeHTTP(w, r2)
}

// authorize returns ErrDenied unless the request has the token. It compares digests, so
// that the time of the comparison reveals neither the token nor its length.
func (a *api) authorize(r *http.Request) error {
	if a.cfg.Token == "" {
		return nil
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	if !ok || subtle.ConstantTimeCompare(sum[:], a.token[:]) != 1 {
		return heatherhub.ErrDenied.New("the token is missing or wrong: give it with --token or HEATHERHUB_TOKEN")
	}
	return nil
}

// serve wraps a handler with tracing, metrics, logging and the encoding of its result.
func (a *api) serve(route string, h handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := a.cfg.Tracer.Start(ctx, "operator "+r.Method+" "+route, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		v, err := h(r.WithContext(ctx), unescape(params))
		a.requests.WithLabelValues(r.Method, route, outcome(err)).Inc()
		if err != nil {
			span.SetAttributes(attribute.String("heatherhub.code", string(heatherhub.CodeOf(err))))
			a.cfg.Log.Warn("operator request refused", zap.String("route", route), zap.String("method", r.Method), zap.Error(err))
			writeError(w, err)
			return
		}
		if r.Method == http.MethodPost {
			a.cfg.Log.Info("operator request done", zap.String("route", route), zap.String("path", r.URL.Path))
		}
		writeJSON(w, http.StatusOK, v)
	}
}

// outcome returns the value of the outcome label: "ok" or the code of the error.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return string(heatherhub.CodeOf(err))
}

// unescape decodes the path parameters in place. ServeHTTP routes by the escaped path.
func unescape(params httprouter.Params) httprouter.Params {
	for i := range params {
		if v, err := url.PathUnescape(params[i].Value); err == nil {
			params[i].Value = v
		}
	}
	return params
}
