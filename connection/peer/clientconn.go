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

// clientConn is the client side of one connection.
type clientConn struct {
	cfg  *ClientConfig
	peer heatherhub.HostID
	conn net.Conn
	w    *writer
	// clientClosed is closed by Client.Close.
	clientClosed <-chan struct{}

	mu      sync.Mutex
	pending map[uint64]*pendingCall
	// lastNumber is the number of the last call that was queued.
	lastNumber uint64
	// err is why the connection was closed; nil while it is open.
	err error
	// draining is set when the connection accepts no new calls and closes after the
	// last pending one.
	draining bool
	// lastReceived is when the last frame arrived; pingSent is when the unanswered ping
	// was sent, or zero.
	lastReceived time.Time
	pingSent     time.Time
}

// pendingCall is a call without an answer. The channel holds one frame, so the
// reader never blocks on it.
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

func (cn *clientConn) isOpen() bool {
	select {
	case <-cn.w.done:
		return false
	default:
		return true
	}
}

// closeWithError closes the connection, which ends its pending calls. Only the first
// error is kept and logged.
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
	cn.cfg.Log.Info("peer connection closed", zap.String("peer", string(cn.peer)), zap.Error(err))
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

// send numbers and queues a call. Both happen under the lock because the server
// requires increasing numbers.
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
		return 0, nil, heatherhub.ErrUnavailable.New("the connection to %q is closed or closing, or its queue is full: retry through another host", cn.peer)
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

// errDrained closes a connection after drain.
var errDrained = heatherhub.ErrUnavailable.New("the host was removed or its address changed: use another host")

// drain stops new calls and closes the connection once no call is pending.
func (cn *clientConn) drain() {
	cn.mu.Lock()
	cn.draining = true
	isIdle := len(cn.pending) == 0
	cn.mu.Unlock()
	if isIdle {
		cn.closeWithError(errDrained)
	}
}

// abandon ends a call whose context is done. A call that was already written is
// cancelled on the server, and its outcome is unknown.
func (cn *clientConn) abandon(number uint64, p *pendingCall, m Method) error {
	if p.frame.cancel() {
		return heatherhub.ErrUnavailable.New("call %s was cancelled or timed out before it was sent: allow more time", m)
	}
	data, err := EncodeFrame(&Frame{Kind: FrameCancel, Number: number}, cn.cfg.MaxFrameBytes)
	if err == nil {
		cn.w.tryEnqueue(&outFrame{data: data})
	}
	return heatherhub.ErrUnknown.New("host %q did not answer %s in time: it may have run", cn.peer, m)
}

// resultAfterClose returns the outcome of a call whose connection was closed. An
// answer received before that is still returned.
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

// receive delivers an answer to its call. An answer without a pending call, such as a
// late or repeated one, is dropped.
func (cn *clientConn) receive(f Frame) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.lastReceived = cn.cfg.Clock.Now()
	cn.pingSent = time.Time{}
	if f.Kind == FrameHello && f.Code != heatherhub.CodeOK {
		cn.cfg.Log.Error("peer rejected the connection", zap.String("peer", string(cn.peer)), zap.String("message", f.Message))
	}
	if f.Kind != FrameAnswer {
		return
	}
	if p := cn.pending[f.Number]; p != nil {
		delete(cn.pending, f.Number)
		p.answer <- f
	}
}

// monitor sends pings and closes the connection when a pong times out or the client
// is closed.
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

// heartbeat sends a ping if one is due, or closes the connection if the last one was
// not answered within PongTimeout. Any received frame counts as an answer.
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
		cn.closeWithError(heatherhub.ErrUnavailable.New("no pong from %q before the timeout", cn.peer))
		return
	}
	if !due {
		return
	}
	if data, err := EncodeFrame(&Frame{Kind: FramePing}, cn.cfg.MaxFrameBytes); err == nil {
		cn.w.tryEnqueue(&outFrame{data: data})
	}
}
