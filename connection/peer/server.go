package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/sourcegraph/conc/pool"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
)

// Defaults of the server.
const (
	// DefaultMaxConnections is the largest number of accepted connections.
	DefaultMaxConnections = 512
	// DefaultMaxCalls is the largest number of concurrent calls.
	DefaultMaxCalls = 4096
	// DefaultIdleTimeout is how long a connection may receive nothing before the
	// server closes it. It is longer than DefaultIdlePingInterval.
	DefaultIdleTimeout = 20 * time.Second
	// busyRetryAfter is the retry hint of a call rejected at MaxCalls.
	busyRetryAfter = 200 * time.Millisecond
)

// ServerConfig configures a Server. Zero values mean the defaults.
type ServerConfig struct {
	// Self is the id of this host.
	Self heatherhub.HostID
	// TLS, if set, encrypts connections. For mutual TLS it must require client
	// certificates.
	TLS            *tls.Config
	Clock          clockwork.Clock
	Log            *zap.Logger
	Tracer         trace.Tracer
	Metrics        *Metrics
	MaxFrameBytes  int
	MaxConnections int
	MaxCalls       int
	IdleTimeout    time.Duration
}

func (cfg ServerConfig) withDefaults() ServerConfig {
	setCommonDefaults(&cfg.Clock, &cfg.Log, &cfg.Tracer, &cfg.Metrics)
	heatherhub.SetDefault(&cfg.MaxFrameBytes, DefaultMaxFrameBytes)
	heatherhub.SetDefault(&cfg.MaxConnections, DefaultMaxConnections)
	heatherhub.SetDefault(&cfg.MaxCalls, DefaultMaxCalls)
	heatherhub.SetDefault(&cfg.IdleTimeout, DefaultIdleTimeout)
	return cfg
}

// Server handles calls of peers. It is safe for concurrent use.
type Server struct {
	cfg   ServerConfig
	wg    conc.WaitGroup
	calls *pool.Pool
	// callSlots holds one element per running call. Drain fills it up.
	callSlots chan struct{}
	handlers  sync.Map
	draining  atomic.Bool

	mu        sync.Mutex
	listeners map[net.Listener]bool
	conns     map[*serverConn]bool
	closed    bool
}

// NewServer returns a server without handlers.
func NewServer(cfg ServerConfig) *Server {
	cfg = cfg.withDefaults()
	return &Server{
		cfg:       cfg,
		calls:     pool.New().WithMaxGoroutines(cfg.MaxCalls),
		callSlots: make(chan struct{}, cfg.MaxCalls),
		listeners: make(map[net.Listener]bool),
		conns:     make(map[*serverConn]bool),
	}
}

// Handle sets the handler of a method and replaces an earlier one.
func (s *Server) Handle(m Method, h Handler) {
	s.handlers.Store(m, h)
}

// Serve accepts connections until the listener is closed. It returns nil after
// Drain or Close. If the connections count at a gate, those that have not said hello and those
// within a frame make way at its limits.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed || s.draining.Load() {
		s.mu.Unlock()
		return l.Close()
	}
	s.listeners[l] = true
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || s.draining.Load() {
				return nil
			}
			return heatherhub.ErrUnavailable.Wrap(err, "cannot accept peer connections: check the listen address")
		}
		s.accept(conn)
	}
}

func (s *Server) accept(conn net.Conn) {
	sc := newServerConn(s, conn)
	s.mu.Lock()
	rejected := s.closed || len(s.conns) >= s.cfg.MaxConnections
	if !rejected {
		s.conns[sc] = true
		s.cfg.Metrics.accepted.Inc()
		s.wg.Go(sc.run)
	}
	s.mu.Unlock()
	if rejected {
		s.cfg.Log.Warn("peer connection rejected, the limit is reached: raise it or close unused connections",
			zap.Int("maxConnections", s.cfg.MaxConnections))
		_ = conn.Close()
	}
}

func (s *Server) release(sc *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[sc] {
		delete(s.conns, sc)
		s.cfg.Metrics.accepted.Dec()
	}
}

// Drain stops accepting connections and rejects new calls with ErrUnavailable. It
// returns when the running calls have ended or ctx is done.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.mu.Lock()
	for l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Unlock()
	for i := range s.cfg.MaxCalls {
		select {
		case s.callSlots <- struct{}{}:
		case <-ctx.Done():
			return heatherhub.ErrUnavailable.New("%d calls were still running at the end of the drain: allow more time", s.cfg.MaxCalls-i)
		}
	}
	return nil
}

// Close closes all connections, cancels their calls and waits for them.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for l := range s.listeners {
		_ = l.Close()
	}
	for sc := range s.conns {
		sc.close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	s.calls.Wait()
}

// admit reserves a call slot, or returns ErrUnavailable if the server is draining or
// at MaxCalls.
func (s *Server) admit() error {
	if s.draining.Load() {
		return heatherhub.ErrUnavailable.New("host %q is stopping: retry through another host", s.cfg.Self)
	}
	select {
	case s.callSlots <- struct{}{}:
		return nil
	default:
		err := heatherhub.ErrUnavailable.New("host %q has too many running calls: retry later", s.cfg.Self)
		return heatherhub.WithRetryAfter(err, busyRetryAfter)
	}
}

// handle runs the handler of a method. A panic in the handler is logged and returned
// as ErrUnknown.
func (s *Server) handle(ctx context.Context, from heatherhub.HostID, m Method, body []byte) (out []byte, err error) {
	h, ok := s.handlers.Load(m)
	if !ok {
		return nil, heatherhub.ErrNotFound.New("host %q has no method %q: check that both run the same version", s.cfg.Self, m)
	}
	var catcher panics.Catcher
	catcher.Try(func() { out, err = h.(Handler)(ctx, from, body) })
	if p := catcher.Recovered(); p != nil {
		s.cfg.Log.Error("peer call handler panicked", zap.String("method", string(m)), zap.String("panic", p.String()))
		return nil, heatherhub.ErrUnknown.New("call %s failed on host %q with an internal error: see its log", m, s.cfg.Self)
	}
	return out, err
}

// callLocal handles a call from this process.
func (s *Server) callLocal(ctx context.Context, from heatherhub.HostID, m Method, body []byte) ([]byte, error) {
	return s.handle(ctx, from, m, body)
}
