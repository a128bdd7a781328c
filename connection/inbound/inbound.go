// Package inbound limits what the clients of a port make a process hold: connections, and
// memory for requests that are being received or served. If a limit is reached, it closes the
// connection whose client has kept the port waiting for longest. So a slow client is served
// while there is room, and clients that stop short of the end of a request make way for others.
// A connection whose request has been received is never closed.
//
// # Usage
//
//	gate := inbound.NewGate(inbound.Config{Name: "callers", MaxConnections: 1000, MaxBytes: 16e6, HeaderCost: inbound.HTTPHeaderCost})
//	server := &http.Server{Handler: handler, MaxHeaderBytes: inbound.MaxHeaderBytes}
//	gate.Attach(server)
//	l, err := inbound.Listen(ctx, address, log)
//	err = server.Serve(gate.Listener(l))
//
// Servers of other protocols call Begin, Charge, Complete, Keep and Rest of the connections that
// they accept.
package inbound

import (
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
)

const (
	// MaxHeaderBytes is the largest header of an HTTP request, in bytes. The server adds 4 kB to
	// it.
	MaxHeaderBytes = 8 << 10
	// HTTPHeaderCost is the memory that a byte of an HTTP header may take, in bytes: a line of six
	// bytes becomes an entry of a map.
	HTTPHeaderCost = 16
	// ConnectionCost is the memory of a connection, in bytes: its goroutine and buffers, and the
	// bytes that the kernel has received and that the process has not read.
	ConnectionCost = 40 << 10
	// requestCost is the memory of a request besides its header and its body, in bytes.
	requestCost = 8 << 10
	// bodyCost is the memory that a byte of a body takes while it is read and decoded, in bytes: its
	// pages, the copy that joins them and what is decoded of it.
	bodyCost = 3
	// receiveBuffer and sendBuffer are the sizes of the buffers in the kernel that each connection
	// gets, in bytes. Without them the kernel lets the buffers grow to megabytes.
	receiveBuffer, sendBuffer = 16 << 10, 16 << 10
	// maxReleaseWait bounds how long a reader waits for the memory of connections that made way. Their readers have it until they
	// are told, and run on a busy machine only after some time.
	maxReleaseWait = time.Second
	// logInterval is the shortest interval between two log lines on closed connections.
	logInterval = time.Second
)

// Limit names a limit of a gate, in logs and metrics.
type Limit string

// Limits of a gate.
const (
	LimitConnections Limit = "connections"
	LimitBytes       Limit = "bytes"
)

// errClosed is the error of a connection that made way for others.
var errClosed = heatherhub.ErrUnavailable.New("the connection was closed in favour of others: the limit of the port is reached")

// Config configures a Gate. MaxConnections and MaxBytes are required.
type Config struct {
	// Name names the port in logs and metrics.
	Name string
	// MaxConnections is the largest number of open connections.
	MaxConnections int
	// MaxBytes is the memory for requests, in bytes.
	MaxBytes int64
	// HeaderCost is the memory that each byte takes which is read before Complete or the first
	// byte of a body, in bytes. If it is zero, the server calls Begin and Charge itself.
	HeaderCost int64
	// WriteTimeout, if set, bounds each write to a client.
	WriteTimeout time.Duration
	Log          *zap.Logger
	// Registry, if set, has the metrics of the gate.
	Registry prometheus.Registerer
}

// Gate holds the limits of a port. It is safe for concurrent use.
type Gate struct {
	cfg     Config
	metrics gateMetrics

	mu sync.Mutex
	// open is the number of open connections, and held the memory of their requests, in bytes.
	open int
	held int64
	// leaving is the memory of connections that made way and whose readers may still have it, in bytes. changed is closed
	// and replaced when that falls, or a connection makes way.
	leaving int64
	changed chan struct{}
	// resting has the connections without a request, and receiving those whose request is not
	// complete, both in the order in which that began. Values are of type *Conn.
	resting, receiving *list.List
	// order increases with each connection that is put into one of the lists.
	order uint64
	// lastLog is the time of the last log line.
	lastLog time.Time
}

// NewGate returns a gate without connections.
func NewGate(cfg Config) *Gate {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	g := &Gate{cfg: cfg, resting: list.New(), receiving: list.New(), changed: make(chan struct{})}
	g.metrics = newGateMetrics(g)
	return g
}

// Listen listens on a TCP address. Its connections have small receive buffers, also before they
// are accepted. If the buffers cannot be set, it logs that and uses those of the system.
func Listen(ctx context.Context, address string, log *zap.Logger) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err != nil || controlErr != nil {
			log.Warn("receive buffers are not limited", zap.String("address", address), zap.NamedError("control", controlErr), zap.Error(err))
		}
		return nil
	}}
	return cfg.Listen(ctx, "tcp4", address)
}

// Listener returns a listener whose connections count at the gate. They have the type *Conn.
func (g *Gate) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, gate: g}
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept waits for a connection. At the limit it closes the connection that has kept the port
// waiting for longest, or else the new one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			l.gate.setBuffers(tcp)
		}
		if c := l.gate.admit(conn); c != nil {
			return c, nil
		}
	}
}

// setBuffers limits what the kernel keeps for a connection.
func (g *Gate) setBuffers(c *net.TCPConn) {
	if err := errors.Join(c.SetReadBuffer(receiveBuffer), c.SetWriteBuffer(sendBuffer)); err != nil {
		g.cfg.Log.Debug("buffers of a connection are not limited", zap.String("port", g.cfg.Name), zap.Error(err))
	}
}

// admit returns the connection that counts at the gate, or nil if it was closed since no other one
// could make way for it.
func (g *Gate) admit(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, gate: g}
	g.mu.Lock()
	var victim *Conn
	if g.open >= g.cfg.MaxConnections {
		victim = g.longestWaiting()
		if victim == nil {
			g.mu.Unlock()
			g.metrics.closed.WithLabelValues(string(LimitConnections)).Inc()
			_ = conn.Close()
			return nil
		}
		g.makeWay(victim)
	}
	g.open++
	c.isOpen = true
	g.enqueue(c, g.resting)
	g.mu.Unlock()
	if victim != nil {
		g.closeVictims(LimitConnections, victim)
	}
	return c
}

// longestWaiting returns the connection that has rested or received for longest, or nil if there
// is none. The caller holds mu.
func (g *Gate) longestWaiting() *Conn {
	rests, receives := front(g.resting), front(g.receiving)
	if rests == nil || receives != nil && receives.order < rests.order {
		return receives
	}
	return rests
}

// front returns the first connection of a list, or nil.
func front(l *list.List) *Conn {
	if e := l.Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

// enqueue moves a connection to the end of a list, or out of the lists if l is nil. The caller
// holds mu.
func (g *Gate) enqueue(c *Conn, l *list.List) {
	if c.element != nil {
		c.list.Remove(c.element)
		c.element = nil
	}
	c.list = l
	if l == nil {
		return
	}
	g.order++
	c.order = g.order
	c.element = l.PushBack(c)
}

// forget releases what a connection holds. Later calls do nothing. The caller holds mu.
func (g *Gate) forget(c *Conn) {
	if !c.isOpen {
		return
	}
	c.isOpen = false
	g.open--
	g.held -= c.held
	c.held = 0
	g.enqueue(c, nil)
}

// makeWay has a connection make way for others. Its memory is held until released is called. The caller holds mu.
func (g *Gate) makeWay(c *Conn) {
	held := c.held
	g.forget(c)
	c.isVictim, c.leaving = true, held
	g.leaving += held
	g.signalChange()
}

// released says that the reader of a connection no longer has its memory. The caller holds mu.
func (g *Gate) released(c *Conn) {
	if c.leaving == 0 {
		return
	}
	g.leaving -= c.leaving
	c.leaving = 0
	g.signalChange()
}

// signalChange wakes the readers that wait for memory. The caller holds mu.
func (g *Gate) signalChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// closeVictims closes connections that made way for others.
func (g *Gate) closeVictims(l Limit, victims ...*Conn) {
	for _, v := range victims {
		g.metrics.closed.WithLabelValues(string(l)).Inc()
		_ = v.Conn.Close()
	}
	g.mu.Lock()
	now := time.Now()
	isDue := now.Sub(g.lastLog) >= logInterval
	if isDue {
		g.lastLog = now
	}
	open, held := g.open, g.held
	g.mu.Unlock()
	if isDue {
		g.cfg.Log.Warn("connections closed in favour of others", zap.String("port", g.cfg.Name), zap.String("limit", string(l)),
			zap.Int("open", open), zap.Int64("heldBytes", held), zap.Int("maxConnections", g.cfg.MaxConnections), zap.Int64("maxBytes", g.cfg.MaxBytes))
	}
}
