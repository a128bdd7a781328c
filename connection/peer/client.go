package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
)

// Defaults of the client.
const (
	// DefaultDialTimeout bounds dialing and the TLS handshake.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultBusyPingInterval is the time between pings while a call is pending.
	DefaultBusyPingInterval = 250 * time.Millisecond
	// DefaultIdlePingInterval is the time between pings on an idle connection.
	DefaultIdlePingInterval = 5 * time.Second
	// DefaultPongTimeout is how long a ping may stay unanswered before the
	// connection is closed. The next call dials a new one.
	DefaultPongTimeout = 750 * time.Millisecond
)

// DialFunc opens a connection to an address. It must return when ctx ends.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// ClientConfig configures a Client. Zero values mean the defaults.
type ClientConfig struct {
	// Self is the host id sent to peers in the hello frame.
	Self heatherhub.HostID
	// Local, if set, handles calls to Self in this process without a connection.
	Local *Server
	// Dial opens connections; nil dials TCP.
	Dial DialFunc
	// TLS, if set, encrypts connections. Mutual TLS needs a certificate in it.
	TLS              *tls.Config
	Clock            clockwork.Clock
	Log              *zap.Logger
	Tracer           trace.Tracer
	Metrics          *Metrics
	MaxFrameBytes    int
	DialTimeout      time.Duration
	BusyPingInterval time.Duration
	IdlePingInterval time.Duration
	PongTimeout      time.Duration
}

func (cfg ClientConfig) withDefaults() ClientConfig {
	if cfg.Dial == nil {
		var d net.Dialer
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	setCommonDefaults(&cfg.Clock, &cfg.Log, &cfg.Tracer, &cfg.Metrics)
	heatherhub.SetDefault(&cfg.MaxFrameBytes, DefaultMaxFrameBytes)
	heatherhub.SetDefault(&cfg.DialTimeout, DefaultDialTimeout)
	heatherhub.SetDefault(&cfg.BusyPingInterval, DefaultBusyPingInterval)
	heatherhub.SetDefault(&cfg.IdlePingInterval, DefaultIdlePingInterval)
	heatherhub.SetDefault(&cfg.PongTimeout, DefaultPongTimeout)
	return cfg
}

// setCommonDefaults replaces nil values that ClientConfig and ServerConfig share.
func setCommonDefaults(clock *clockwork.Clock, log **zap.Logger, tracer *trace.Tracer, metrics **Metrics) {
	if *clock == nil {
		*clock = clockwork.NewRealClock()
	}
	if *log == nil {
		*log = zap.NewNop()
	}
	if *tracer == nil {
		*tracer = noop.NewTracerProvider().Tracer("")
	}
	if *metrics == nil {
		*metrics = NewMetrics(nil)
	}
}

// Client sends calls to entry hosts over one connection per host. It is safe for
// concurrent use.
type Client struct {
	cfg ClientConfig
	wg  conc.WaitGroup

	mu      sync.Mutex
	remotes map[heatherhub.HostID]*remote
	closed  bool
	// done is closed by Close and closes all connections.
	done chan struct{}
}

// remote holds the address of one host and its connection, if there is one.
type remote struct {
	mu      sync.Mutex
	address string
	conn    *clientConn
	// dialDone is closed when the dial in progress ends; nil if there is none.
	dialDone chan struct{}
	// draining is set when the host was removed or its address changed.
	draining bool
	// dialFailed is set if the last dial failed, so that repeated failures are
	// logged once.
	dialFailed bool
}

// NewClient returns a client without addresses; see SetAddresses.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg.withDefaults(), remotes: make(map[heatherhub.HostID]*remote), done: make(chan struct{})}
}

// SetAddresses replaces the addresses of the hosts. A connection to a host that was
// removed or whose address changed accepts no new calls and is closed after its last
// pending call.
func (c *Client) SetAddresses(addresses map[heatherhub.HostID]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.remotes {
		if address, ok := addresses[id]; !ok || address != r.address {
			r.drain()
			delete(c.remotes, id)
		}
	}
	for id, address := range addresses {
		if c.remotes[id] == nil {
			c.remotes[id] = &remote{address: address}
		}
	}
}

// Close closes all connections and waits for their goroutines.
func (c *Client) Close() {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.done)
	}
	c.mu.Unlock()
	c.wg.Wait()
}

func (r *remote) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	if r.conn != nil {
		r.conn.drain()
	}
}

// Call sends one call and waits for its answer or until ctx is done.
//
// ErrUnavailable means that the call was not sent or that the peer did not run it;
// ErrUnknown means that it may have run. Other errors come from the peer, except
// ErrInvalid for a frame above MaxFrameBytes.
func (c *Client) Call(ctx context.Context, to heatherhub.HostID, m Method, body []byte) ([]byte, error) {
	ctx, span := c.cfg.Tracer.Start(ctx, "peer.call "+string(m), trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	out, err := c.call(ctx, to, m, body)
	if err != nil {
		span.RecordError(err)
	}
	c.cfg.Metrics.countCall(m, heatherhub.CodeOf(err))
	return out, err
}

func (c *Client) call(ctx context.Context, to heatherhub.HostID, m Method, body []byte) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, heatherhub.ErrUnavailable.New("call %s was cancelled or timed out before it was sent: allow more time", m)
	}
	if to == c.cfg.Self && c.cfg.Local != nil {
		return c.cfg.Local.callLocal(ctx, to, m, body)
	}
	cn, err := c.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	return cn.call(ctx, m, body)
}

// connect returns the open connection to a host, or dials one. Concurrent callers
// share one dial.
func (c *Client) connect(ctx context.Context, to heatherhub.HostID) (*clientConn, error) {
	r, cn, dialDone, err := c.lookUp(to)
	if err != nil {
		return nil, err
	}
	if cn != nil {
		return cn, nil
	}
	select {
	case <-dialDone:
	case <-ctx.Done():
		return nil, heatherhub.ErrUnavailable.New("no connection to host %q in time: retry", to)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn == nil || !r.conn.isOpen() {
		return nil, heatherhub.ErrUnavailable.New("host %q cannot be reached: retry through another host", to)
	}
	return r.conn, nil
}

// lookUp returns a remote with its open connection, or with a channel that is closed
// when the dial in progress ends. c.mu is held throughout so that Close waits for
// every dial that was started.
func (c *Client) lookUp(to heatherhub.HostID) (*remote, *clientConn, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, nil, heatherhub.ErrUnavailable.New("the peer client is closed: this host is stopping")
	}
	r := c.remotes[to]
	if r == nil {
		return nil, nil, nil, heatherhub.ErrUnavailable.New("host %q has no known address: wait for the host list", to)
	}
	cn, dialDone := c.connOrDial(r, to)
	return r, cn, dialDone, nil
}

// connOrDial returns the open connection, or starts or joins a dial and returns a
// channel that is closed when the dial ends.
func (c *Client) connOrDial(r *remote, to heatherhub.HostID) (*clientConn, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil && r.conn.isOpen() {
		return r.conn, nil
	}
	if r.dialDone != nil {
		return nil, r.dialDone
	}
	r.dialDone = make(chan struct{})
	done, address := r.dialDone, r.address
	c.wg.Go(func() {
		cn, err := c.dial(to, address)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.conn, r.dialDone = cn, nil
		if r.draining && cn != nil {
			cn.drain()
		}
		if err != nil && !r.dialFailed {
			c.cfg.Log.Warn("cannot connect to a peer", zap.String("peer", string(to)), zap.Error(err))
		}
		r.dialFailed = err != nil
		close(done)
	})
	return nil, done
}

func (c *Client) dial(to heatherhub.HostID, address string) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.DialTimeout)
	defer cancel()
	conn, err := c.cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn = &countedConn{Conn: conn, metrics: c.cfg.Metrics}
	if c.cfg.TLS != nil {
		secure := tls.Client(conn, c.cfg.TLS)
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, heatherhub.ErrDenied.Wrap(err, "the TLS handshake with %q failed: check both certificates", to)
		}
		conn = secure
	}
	hello, err := EncodeFrame(&Frame{Kind: FrameHello, From: c.cfg.Self}, c.cfg.MaxFrameBytes)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	cn := newClientConn(&c.cfg, to, conn, c.done)
	cn.w.tryEnqueue(&outFrame{data: hello})
	c.wg.Go(cn.readLoop)
	c.wg.Go(cn.writeLoop)
	c.wg.Go(cn.monitor)
	return cn, nil
}
