// Package operator serves the operators' port of an entry host: configuration,
// presets, jobs, and what hosts and workers do. It checks the token, bounds every
// input and turns errors into answers; the work is done by a Backend.
//
// # Usage
//
//	h := operator.New(operator.Config{Backend: b, Configuration: keeper, Token: token, Metrics: promhttp.Handler()})
//	srv := operator.NewServer(h)
//	err := srv.Serve(listener)
//
// Errors are answered as operatorapi.Error with a status that fits the type:
// 400 invalid, 401 denied, 404 notFound, 409 conflict, 413 too large, 503 for the
// errors that prove that nothing was done, 502 for an unknown outcome.
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

// Limits of the port.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 30 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
)

// Backend does the work behind the port. Every method may pass its call on to the
// owner of a shard. Errors have the types of the root package.
type Backend interface {
	// AddJob accepts a job when its record is durable. A job with the same id,
	// workload and tasks is returned as it is; another is ErrConflict.
	AddJob(ctx context.Context, j heatherhub.Job) (operatorapi.JobView, error)
	// CancelJob returns when the cancellation is durable.
	CancelJob(ctx context.Context, id heatherhub.JobID) (operatorapi.JobView, error)
	Job(ctx context.Context, id heatherhub.JobID) (operatorapi.JobView, error)
	Jobs(ctx context.Context, f operatorapi.JobFilter) (operatorapi.JobList, error)
	Workers(ctx context.Context) (operatorapi.WorkerList, error)
	Hosts(ctx context.Context) (operatorapi.HostList, error)
	Status(ctx context.Context) (operatorapi.Status, error)
}

// Configuration is what is in force; config.Keeper satisfies it.
type Configuration interface {
	Current() *heatherhub.Snapshot
	EditAs(ctx context.Context, id config.EditID, expect heatherhub.Version, change func(*heatherhub.Snapshot) error) (*heatherhub.Snapshot, error)
}

// Config is what the port needs.
type Config struct {
	Backend       Backend
	Configuration Configuration
	// Token is demanded from every caller if it is not empty.
	Token string
	// Metrics serves /metrics; nil for none. It needs the token too.
	Metrics http.Handler
	Log     *zap.Logger
	Tracer  trace.Tracer
	// Registerer takes the port's own metrics; nil for none.
	Registerer prometheus.Registerer
}

// handler answers one route with a value or an error.
type handler func(r *http.Request, params httprouter.Params) (any, error)

// port is the operators' port.
type api struct {
	cfg      Config
	token    [sha256.Size]byte
	router   *httprouter.Router
	requests *prometheus.CounterVec
}

// New returns the handler of the port.
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
	a.router.MethodNotAllowed = errorHandler(heatherhub.ErrInvalid.New("the path does not take this method: use GET to read and POST to change"))
	a.routes()
	return a
}

// newRequests makes the count of requests.
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

// NewServer returns a server with the limits of the port.
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

// ServeHTTP checks the token and passes the request to its route. Ids may hold
// slashes, so the routes match the escaped path.
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

// authorize compares digests, so that neither the token nor its length shows in
// the time that the comparison takes.
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

func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return string(heatherhub.CodeOf(err))
}

func unescape(params httprouter.Params) httprouter.Params {
	for i := range params {
		if v, err := url.PathUnescape(params[i].Value); err == nil {
			params[i].Value = v
		}
	}
	return params
}
