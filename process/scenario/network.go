package scenario

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"heatherhub.example/heatherhub"
)

// network carries connections in memory. Hosts of a failure domain that is cut
// off reach only each other.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	isolated  map[heatherhub.FailureDomain]bool
	// peerBytes counts the bytes on connections between entry hosts.
	peerBytes atomic.Int64
}

func newNetwork() *network {
	return &network{
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]bool),
		isolated:  make(map[heatherhub.FailureDomain]bool),
	}
}

// address is the name of a port.
type address string

// Network returns the kind of network.
func (address) Network() string { return "memory" }

// String returns the name of the port.
func (a address) String() string { return string(a) }

// listener accepts the connections to one port.
type listener struct {
	network *network
	address address
	domain  heatherhub.FailureDomain
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// listen opens a port in a failure domain.
func (n *network) listen(a string, d heatherhub.FailureDomain) net.Listener {
	l := &listener{network: n, address: address(a), domain: d, queue: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[a] = l
	return l
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the port.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[string(l.address)] == l {
			delete(l.network.listeners, string(l.address))
		}
	})
	return nil
}

// Addr returns the name of the port.
func (l *listener) Addr() net.Addr { return l.address }

// conn is the near end of a connection. A cut breaks it.
type conn struct {
	net.Conn
	network  *network
	from, to heatherhub.FailureDomain
	isPeer   bool
}

// Read reads and counts bytes between entry hosts.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write writes and counts bytes between entry hosts.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

func (c *conn) count(n int) {
	if c.isPeer {
		c.network.peerBytes.Add(int64(n))
	}
}

// Close closes both ends.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// dialer opens connections from a failure domain.
func (n *network) dialer(from heatherhub.FailureDomain) func(ctx context.Context, a string) (net.Conn, error) {
	return func(ctx context.Context, a string) (net.Conn, error) {
		n.mu.Lock()
		l, ok := n.listeners[a]
		isCut := ok && n.isPartitioned(from, l.domain)
		n.mu.Unlock()
		if !ok || isCut {
			return nil, &net.OpError{Op: "dial", Net: "memory", Addr: address(a), Err: net.ErrClosed}
		}
		near, far := net.Pipe()
		c := &conn{Conn: near, network: n, from: from, to: l.domain, isPeer: strings.HasSuffix(a, peerPort)}
		select {
		case l.queue <- far:
		case <-l.done:
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		n.conns[c] = true
		n.mu.Unlock()
		return c, nil
	}
}

// isPartitioned reports whether two failure domains cannot reach each other. The empty
// domain is the platform and the callers'.
func (n *network) isPartitioned(a, b heatherhub.FailureDomain) bool {
	return a != b && (n.isolated[a] || n.isolated[b])
}

// canReach is isPartitioned for callers without the lock.
func (n *network) canReach(a, b heatherhub.FailureDomain) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isPartitioned(a, b)
}

// setIsolated cuts off the failure domains, and heals all others.
func (n *network) setIsolated(domains []heatherhub.FailureDomain) {
	n.mu.Lock()
	n.isolated = make(map[heatherhub.FailureDomain]bool)
	for _, d := range domains {
		n.isolated[d] = true
	}
	var broken []*conn
	for c := range n.conns {
		if n.isPartitioned(c.from, c.to) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}
