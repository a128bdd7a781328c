package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// connFaults lets the connections of a worker be frozen together, or silenced for good
// one by one while new ones work, and counts them.
type connFaults struct {
	onOpen func(open int)

	mu     sync.Mutex
	conns  map[*faultConn]bool
	thawed chan struct{}
}

func newConnFaults(observe func(int)) *connFaults {
	open := make(chan struct{})
	close(open)
	return &connFaults{onOpen: observe, conns: make(map[*faultConn]bool), thawed: open}
}

// freeze holds all reads and writes back.
func (g *connFaults) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.thawed:
		g.thawed = make(chan struct{})
	default:
	}
}

// thaw lets reads and writes go on.
func (g *connFaults) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.thawed:
	default:
		close(g.thawed)
	}
}

// silenceOpen makes the present connections lose everything that passes.
func (g *connFaults) silenceOpen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.isSilenced.Store(true)
	}
}

func (g *connFaults) waitThawed(closed <-chan struct{}) {
	g.mu.Lock()
	thawed := g.thawed
	g.mu.Unlock()
	select {
	case <-thawed:
	case <-closed:
	}
}

func (g *connFaults) wrapListener(l net.Listener) net.Listener {
	return &faultListener{Listener: l, faults: g}
}

type faultListener struct {
	net.Listener
	faults *connFaults
}

// Accept returns the next connection behind the gate.
func (l *faultListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	gated := &faultConn{Conn: c, faults: l.faults, closed: make(chan struct{})}
	l.faults.mu.Lock()
	l.faults.conns[gated] = true
	open := len(l.faults.conns)
	l.faults.mu.Unlock()
	l.faults.onOpen(open)
	return gated, nil
}

type faultConn struct {
	net.Conn
	faults     *connFaults
	isSilenced atomic.Bool
	once       sync.Once
	closed     chan struct{}
}

// Read returns what passes the gate.
func (c *faultConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return n, err
		}
		c.faults.waitThawed(c.closed)
		if !c.isSilenced.Load() {
			return n, nil
		}
	}
}

// Write sends what passes the gate. A silent connection loses it.
func (c *faultConn) Write(b []byte) (int, error) {
	c.faults.waitThawed(c.closed)
	if c.isSilenced.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close ends the connection.
func (c *faultConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.faults.mu.Lock()
		delete(c.faults.conns, c)
		c.faults.mu.Unlock()
	})
	return c.Conn.Close()
}
