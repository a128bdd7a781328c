package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/inbound"
)

// serverConn is the server side of one connection.
type serverConn struct {
	server *Server
	conn   net.Conn
	// receipt counts the frames that are received at the gate of the port. It may be nil.
	receipt *inbound.Conn
	w       *writer
	// from and lastNumber belong to the reading goroutine. from is the host of the
	// hello frame, empty before it; lastNumber is the number of the last call.
	from       heatherhub.HostID
	lastNumber uint64

	mu sync.Mutex
	// cancels holds the cancel functions of running calls by call number.
	cancels      map[uint64]context.CancelFunc
	closed       bool
	lastReceived time.Time
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	receipt, _ := conn.(*inbound.Conn)
	conn = &countedConn{Conn: conn, metrics: s.cfg.Metrics}
	if s.cfg.TLS != nil {
		conn = tls.Server(conn, s.cfg.TLS)
	}
	return &serverConn{
		server:       s,
		conn:         conn,
		receipt:      receipt,
		w:            newWriter(conn),
		cancels:      make(map[uint64]context.CancelFunc),
		lastReceived: s.cfg.Clock.Now(),
	}
}

// close closes the connection and cancels its calls. Later calls do nothing.
func (sc *serverConn) close() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.closed {
		return
	}
	sc.closed = true
	close(sc.w.done)
	_ = sc.conn.Close()
	for _, cancel := range sc.cancels {
		cancel()
	}
}

func (sc *serverConn) run() {
	var wg conc.WaitGroup
	wg.Go(func() {
		defer sc.close()
		_ = sc.w.run()
	})
	wg.Go(sc.closeWhenIdle)
	err := sc.readLoop()
	sc.close()
	wg.Wait()
	sc.server.release(sc)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		sc.server.cfg.Log.Warn("peer connection failed", zap.String("peer", string(sc.from)), zap.Error(err))
	}
}

// closeWhenIdle closes the connection when no frame arrived for IdleTimeout.
func (sc *serverConn) closeWhenIdle() {
	ticker := sc.server.cfg.Clock.NewTicker(sc.server.cfg.IdleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-sc.w.done:
			return
		case now := <-ticker.Chan():
			sc.mu.Lock()
			isIdle := now.Sub(sc.lastReceived) >= sc.server.cfg.IdleTimeout
			sc.mu.Unlock()
			if isIdle {
				sc.close()
			}
		}
	}
}

func (sc *serverConn) readLoop() error {
	r := bufio.NewReader(sc.conn)
	for {
		f, err := sc.readFrame(r)
		if err != nil {
			sc.sendProtocolError(err)
			return err
		}
		sc.mu.Lock()
		sc.lastReceived = sc.server.cfg.Clock.Now()
		sc.mu.Unlock()
		if err := sc.receive(f); err != nil {
			sc.sendProtocolError(err)
			return err
		}
		sc.receipt.Keep()
	}
}

// readFrame reads a frame. From its first byte on it counts at the gate of the port.
func (sc *serverConn) readFrame(r *bufio.Reader) (Frame, error) {
	if _, err := r.Peek(1); err != nil {
		return Frame{}, err
	}
	sc.receipt.Begin()
	limit := sc.server.cfg.MaxFrameBytes
	if sc.from == "" {
		limit = min(limit, maxHelloBytes)
	}
	return ReadFrame(&chargedReader{r: r, receipt: sc.receipt}, limit)
}

// chargedReader counts the bytes that are read at the gate of a port.
type chargedReader struct {
	r       io.Reader
	receipt *inbound.Conn
}

// Read reads and counts. It fails if the connection was closed in favour of others.
func (c *chargedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if chargeErr := c.receipt.Charge(int64(n) * frameCost); chargeErr != nil {
		return 0, chargeErr
	}
	return n, err
}

// sendProtocolError tells the peer why its connection is closed if it sent an invalid
// frame. Other errors are not sent.
func (sc *serverConn) sendProtocolError(err error) {
	if heatherhub.CodeOf(err) != heatherhub.CodeInvalid {
		return
	}
	sc.server.cfg.Metrics.malformed.Inc()
	data, encodeErr := EncodeFrame(&Frame{
		Kind: FrameHello, From: sc.server.cfg.Self,
		Code: heatherhub.CodeInvalid, Message: truncate(heatherhub.Message(err)),
	}, sc.server.cfg.MaxFrameBytes)
	if encodeErr == nil {
		_ = sc.conn.SetWriteDeadline(time.Now().Add(protocolErrorWriteTimeout))
		_, _ = sc.conn.Write(data)
	}
}

// protocolErrorWriteTimeout bounds the last write before a connection is closed.
const protocolErrorWriteTimeout = 100 * time.Millisecond

func (sc *serverConn) receive(f Frame) error {
	if sc.from == "" && f.Kind != FrameHello {
		return heatherhub.ErrInvalid.New("the first frame is not a hello frame: check that both run the same version")
	}
	switch f.Kind {
	case FrameHello:
		sc.from = f.From
	case FrameCall:
		return sc.startCall(f)
	case FrameCancel:
		sc.cancel(f.Number)
	case FramePing:
		sc.send(&Frame{Kind: FramePong})
	}
	return nil
}

func (sc *serverConn) cancel(number uint64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if cancel := sc.cancels[number]; cancel != nil {
		cancel()
	}
}

// startCall starts a call in the pool. A number that does not increase is a repeated
// call and closes the connection, so that no call runs twice.
func (sc *serverConn) startCall(f Frame) error {
	if f.Number <= sc.lastNumber {
		return heatherhub.ErrInvalid.New("call number %d follows %d: call numbers must increase", f.Number, sc.lastNumber)
	}
	sc.lastNumber = f.Number
	if err := sc.server.admit(); err != nil {
		sc.sendAnswer(f.Number, nil, err)
		return nil
	}
	ctx, cancel := sc.callContext(f)
	sc.mu.Lock()
	sc.cancels[f.Number] = cancel
	sc.mu.Unlock()
	sc.server.calls.Go(func() {
		defer func() { <-sc.server.callSlots }()
		sc.serve(ctx, f)
	})
	return nil
}

// callContext returns a context with the trace context and the timeout of a call.
func (sc *serverConn) callContext(f Frame) (context.Context, context.CancelFunc) {
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier(f.Trace))
	if f.Timeout > 0 {
		return context.WithTimeout(ctx, f.Timeout)
	}
	return context.WithCancel(ctx)
}

func (sc *serverConn) serve(ctx context.Context, f Frame) {
	ctx, span := sc.server.cfg.Tracer.Start(ctx, "peer.serve "+string(f.Method), trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	defer sc.removeCall(f.Number)
	if ctx.Err() != nil {
		sc.sendAnswer(f.Number, nil, heatherhub.ErrNotRun.New("the call was cancelled or timed out before it started: allow more time"))
		return
	}
	out, err := sc.server.handle(ctx, sc.from, f.Method, f.Body)
	if err != nil {
		span.RecordError(err)
	}
	sc.sendAnswer(f.Number, out, err)
}

func (sc *serverConn) removeCall(number uint64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if cancel := sc.cancels[number]; cancel != nil {
		cancel()
		delete(sc.cancels, number)
	}
}

func (sc *serverConn) sendAnswer(number uint64, out []byte, err error) {
	f := Frame{Kind: FrameAnswer, Number: number, Body: out}
	if err != nil {
		f.Body = nil
		f.Code = heatherhub.CodeOf(err)
		f.Message = truncate(heatherhub.Message(err))
		f.RetryAfter = max(heatherhub.RetryAfter(err), 0)
	}
	sc.send(&f)
}

// send queues a frame. An answer above the frame limit is replaced by ErrUnknown,
// since its call has run.
func (sc *serverConn) send(f *Frame) {
	data, err := EncodeFrame(f, sc.server.cfg.MaxFrameBytes)
	if err != nil {
		data, err = EncodeFrame(&Frame{
			Kind: FrameAnswer, Number: f.Number, Code: heatherhub.CodeUnknown,
			Message: "the call ran, but its answer exceeds the frame limit: raise the limit",
		}, sc.server.cfg.MaxFrameBytes)
	}
	if err == nil {
		sc.w.enqueue(&outFrame{data: data})
	}
}

// truncate cuts a message to MaxMessageBytes.
func truncate(message string) string {
	return message[:min(len(message), MaxMessageBytes)]
}
