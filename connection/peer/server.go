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
	// DefaultMaxConnections is the largest number of peer connections.
	DefaultMaxConnections = 512
	// DefaultMaxCalls is the largest number of calls under way.
	DefaultMaxCalls = 4096
	// DefaultIdleTimeout is the silence after which a server closes a connection.
	DefaultIdleTimeout = 20 * time.Second
	// busyRetryAfter is the wait that a refused call is told.
	busyRetryAfter = 200 * time.Millisecond
)

// ServerConfig configures a Server. Zero values mean the defaults.
type ServerConfig struct {
	// Self names this host.
	Self heatherhub.HostID
	// TLS protects connections if set; let it demand client certificates for
	// mutual TLS.
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

// Server answers calls of peers.
type Server struct {
	cfg       ServerConfig
	wg        conc.WaitGroup
	calls     *pool.Pool
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

// Handle sets the handler of a method.
func (s *Server) Handle(m Method, h Handler) {
	s.handlers.Store(m, h)
}

// Serve accepts connections until the listener is closed. It returns nil after
// Drain or Close.
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
		s.accept(&countedConn{Conn: conn, metrics: s.cfg.Metrics})
	}
}

func (s *Server) accept(conn net.Conn) {
	sc := newServerConn(s, conn)
	s.mu.Lock()
	refused := s.closed || len(s.conns) >= s.cfg.MaxConnections
	if !refused {
		s.conns[sc] = true
		s.cfg.Metrics.accepted.Inc()
		s.wg.Go(sc.run)
	}
	s.mu.Unlock()
	if refused {
		s.cfg.Log.Warn("a peer connection was refused: raise the limit or close unused ones",
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

// Drain stops accepting connections and refuses new calls as not sent; the calls
// under way go on. It returns when they have ended or ctx ends.
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
			return heatherhub.ErrUnavailable.New("%d calls were under way at the end of the drain: allow more time", s.cfg.MaxCalls-i)
		}
	}
	return nil
}

// Close ends all connections and cancels their calls.
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

// admit takes a place for a call, or says why it is refused.
func (s *Server) admit() error {
	if s.draining.Load() {
		return heatherhub.ErrUnavailable.New("host %q is stopping: retry through another host", s.cfg.Self)
	}
	select {
	case s.callSlots <- struct{}{}:
		return nil
	default:
		err := heatherhub.ErrUnavailable.New("host %q has too many calls under way: retry later", s.cfg.Self)
		return heatherhub.WithRetryAfter(err, busyRetryAfter)
	}
}

// handle runs the handler of a method. A handler that panics leaves the outcome
// unknown.
func (s *Server) handle(ctx context.Context, from heatherhub.HostID, m Method, body []byte) (out []byte, err error) {
	h, ok := s.handlers.Load(m)
	if !ok {
		return nil, heatherhub.ErrNotFound.New("host %q has no method %q: check that both run the same version", s.cfg.Self, m)
	}
	var catcher panics.Catcher
	catcher.Try(func() { out, err = h.(Handler)(ctx, from, body) })
	if p := catcher.Recovered(); p != nil {
		s.cfg.Log.Error("a peer call panicked", zap.String("method", string(m)), zap.String("panic", p.String()))
		return nil, heatherhub.ErrUnknown.New("the call %s failed inside host %q: see its log", m, s.cfg.Self)
	}
	return out, err
}

// callLocal answers a call of this same process.
func (s *Server) callLocal(ctx context.Context, from heatherhub.HostID, m Method, body []byte) ([]byte, error) {
	return s.handle(ctx, from, m, body)
}
