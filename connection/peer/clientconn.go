package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
)

// clientConn is the calling side of one connection.
type clientConn struct {
	cfg  *ClientConfig
	peer heatherhub.HostID
	conn net.Conn
	w    *writer
	// stop is closed when the client is.
	clientClosed <-chan struct{}

	mu         sync.Mutex
	pending    map[uint64]*pendingCall
	lastNumber uint64
	err        error
	// draining says that the connection ends with its last call.
	draining bool
	// lastReceived is when the last frame arrived; pingSent is when the unanswered ping
	// was sent, or zero.
	lastReceived time.Time
	pingSent     time.Time
}

// pendingCall waits for the answer to one call.
type pendingCall struct {
	frame  *outFrame
	answer chan Frame
}

func newClientConn(cfg *ClientConfig, peer heatherhub.HostID, conn net.Conn, clientClosed <-chan struct{}) *clientConn {
	cfg.Metrics.connections.Inc()
	return &clientConn{
		cfg:          cfg,
		peer:         peer,
		conn:         conn,
		clientClosed: clientClosed,
		w:            newWriter(conn),
		pending:      make(map[uint64]*pendingCall),
		lastReceived: cfg.Clock.Now(),
	}
}

func (cn *clientConn) alive() bool {
	select {
	case <-cn.w.done:
		return false
	default:
		return true
	}
}

// closeWithError ends the connection; the calls that wait on it learn why. Only the first
// failure counts.
func (cn *clientConn) closeWithError(err error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.err != nil {
		return
	}
	cn.err = err
	close(cn.w.done)
	_ = cn.conn.Close()
	cn.cfg.Metrics.connections.Dec()
	cn.cfg.Log.Info("a peer connection ended", zap.String("peer", string(cn.peer)), zap.Error(err))
}

func (cn *clientConn) call(ctx context.Context, m Method, body []byte) ([]byte, error) {
	number, p, err := cn.send(ctx, m, body)
	if err != nil {
		return nil, err
	}
	defer cn.removeCall(number)
	select {
	case f := <-p.answer:
		return f.result()
	case <-ctx.Done():
		return nil, cn.abandon(number, p, m)
	case <-cn.w.done:
		return cn.resultAfterClose(p, m)
	}
}

func (f *Frame) result() ([]byte, error) {
	if f.Code != heatherhub.CodeOK {
		return nil, heatherhub.ErrorFromCode(f.Code, f.Message, f.RetryAfter)
	}
	return f.Body, nil
}

// send numbers and queues a call. Both happen under the lock, so that numbers
// rise on the wire.
func (cn *clientConn) send(ctx context.Context, m Method, body []byte) (uint64, *pendingCall, error) {
	f := Frame{Kind: FrameCall, Method: m, Body: body}
	if end, ok := ctx.Deadline(); ok {
		f.Timeout = max(time.Until(end), time.Nanosecond)
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	f.Trace = carrier
	cn.mu.Lock()
	defer cn.mu.Unlock()
	f.Number = cn.lastNumber + 1
	data, err := EncodeFrame(&f, cn.cfg.MaxFrameBytes)
	if err != nil {
		return 0, nil, err
	}
	p := &pendingCall{frame: &outFrame{data: data}, answer: make(chan Frame, 1)}
	if cn.err != nil || cn.draining || !cn.w.tryEnqueue(p.frame) {
		return 0, nil, heatherhub.ErrUnavailable.New("the connection to %q takes no call now: retry through another host", cn.peer)
	}
	cn.lastNumber = f.Number
	cn.pending[f.Number] = p
	return f.Number, p, nil
}

func (cn *clientConn) removeCall(number uint64) {
	cn.mu.Lock()
	delete(cn.pending, number)
	isLast := cn.draining && len(cn.pending) == 0
	cn.mu.Unlock()
	if isLast {
		cn.closeWithError(errDrained)
	}
}

// errDrained ends a connection that is no longer used.
var errDrained = heatherhub.ErrUnavailable.New("the host has left: use another one")

// drain ends the connection as soon as no call waits on it.
func (cn *clientConn) drain() {
	cn.mu.Lock()
	cn.draining = true
	isIdle := len(cn.pending) == 0
	cn.mu.Unlock()
	if isIdle {
		cn.closeWithError(errDrained)
	}
}

// abandon ends a call whose caller waits no longer.
func (cn *clientConn) abandon(number uint64, p *pendingCall, m Method) error {
	if p.frame.cancel() {
		return heatherhub.ErrUnavailable.New("the call %s was given up before it was sent: allow more time", m)
	}
	data, err := EncodeFrame(&Frame{Kind: FrameCancel, Number: number}, cn.cfg.MaxFrameBytes)
	if err == nil {
		cn.w.tryEnqueue(&outFrame{data: data})
	}
	return heatherhub.ErrUnknown.New("host %q did not answer %s in time: it may have run", cn.peer, m)
}

// resultAfterClose is the outcome of a call whose connection ended. An answer that arrived
// before the end still counts.
func (cn *clientConn) resultAfterClose(p *pendingCall, m Method) ([]byte, error) {
	select {
	case f := <-p.answer:
		return f.result()
	default:
	}
	if p.frame.cancel() {
		return nil, heatherhub.ErrUnavailable.New("the connection to %q ended before %s was sent: retry", cn.peer, m)
	}
	return nil, heatherhub.ErrUnknown.New("the connection to %q ended while %s was under way: it may have run", cn.peer, m)
}

func (cn *clientConn) writeLoop() {
	if err := cn.w.run(); err != nil {
		cn.closeWithError(heatherhub.ErrUnavailable.Wrap(err, "cannot write to %q", cn.peer))
	}
}

func (cn *clientConn) readLoop() {
	r := bufio.NewReader(cn.conn)
	for {
		f, err := ReadFrame(r, cn.cfg.MaxFrameBytes)
		if err != nil {
			cn.closeWithError(heatherhub.ErrUnavailable.Wrap(err, "cannot read from %q", cn.peer))
			return
		}
		cn.receive(f)
	}
}

// receive hands an answer to its call. An answer without a waiting call, late
// or repeated, is dropped.
func (cn *clientConn) receive(f Frame) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.lastReceived = cn.cfg.Clock.Now()
	cn.pingSent = time.Time{}
	if f.Kind == FrameHello && f.Code != heatherhub.CodeOK {
		cn.cfg.Log.Error("a peer refused the connection", zap.String("peer", string(cn.peer)), zap.String("message", f.Message))
	}
	if f.Kind != FrameAnswer {
		return
	}
	if p := cn.pending[f.Number]; p != nil {
		delete(cn.pending, f.Number)
		p.answer <- f
	}
}

// monitor sends heartbeats and ends the connection when it has gone silent.
func (cn *clientConn) monitor() {
	ticker := cn.cfg.Clock.NewTicker(cn.cfg.BusyPingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-cn.w.done:
			return
		case <-cn.clientClosed:
			cn.closeWithError(heatherhub.ErrUnavailable.New("the peer client is closed: this host is stopping"))
			return
		case <-ticker.Chan():
			cn.heartbeat()
		}
	}
}

func (cn *clientConn) heartbeat() {
	now := cn.cfg.Clock.Now()
	cn.mu.Lock()
	timedOut := !cn.pingSent.IsZero() && now.Sub(cn.pingSent) >= cn.cfg.PongTimeout
	due := len(cn.pending) > 0 || now.Sub(cn.lastReceived) >= cn.cfg.IdlePingInterval
	due = due && cn.pingSent.IsZero()
	if due {
		cn.pingSent = now
	}
	cn.mu.Unlock()
	if timedOut {
		cn.cfg.Metrics.pongTimeouts.Inc()
		cn.closeWithError(heatherhub.ErrUnavailable.New("the connection to %q has gone silent", cn.peer))
		return
	}
	if !due {
		return
	}
	if data, err := EncodeFrame(&Frame{Kind: FramePing}, cn.cfg.MaxFrameBytes); err == nil {
		cn.w.tryEnqueue(&outFrame{data: data})
	}
}
