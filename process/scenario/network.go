package scenario

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"heatherhub.example/heatherhub"
)

// network is an in-memory network. Hosts of an isolated failure domain reach only
// each other.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	isolated  map[heatherhub.FailureDomain]bool
	// peerBytes counts the bytes sent between entry hosts.
	peerBytes atomic.Int64
}

func newNetwork() *network {
	return &network{
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]bool),
		isolated:  make(map[heatherhub.FailureDomain]bool),
	}
}

// address is a listener's address: a host ID followed by a port.
type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// listener accepts the connections to one address.
type listener struct {
	network *network
	address address
	domain  heatherhub.FailureDomain
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// listen opens a listener in a failure domain.
func (n *network) listen(a string, d heatherhub.FailureDomain) net.Listener {
	l := &listener{network: n, address: address(a), domain: d, queue: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[a] = l
	return l
}

// Accept waits for the next connection, or returns net.ErrClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops the listener. Accepted connections stay open.
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

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.address }

// conn is the dialing end of a connection. Isolating the failure domain of either
// end closes it.
type conn struct {
	net.Conn
	network  *network
	from, to heatherhub.FailureDomain
	isPeer   bool
}

// Read reads from the connection and counts the bytes of peer connections.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write writes to the connection and counts the bytes of peer connections.
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

// Close closes the connection for both ends.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// dialer returns a function that dials from a failure domain. The empty domain is
// the platform and the callers.
func (n *network) dialer(from heatherhub.FailureDomain) func(ctx context.Context, a string) (net.Conn, error) {
	return func(ctx context.Context, a string) (net.Conn, error) {
		n.mu.Lock()
		l, ok := n.listeners[a]
		isPartitioned := ok && n.isPartitioned(from, l.domain)
		n.mu.Unlock()
		if !ok || isPartitioned {
			return nil, &net.OpError{Op: "dial", Net: "memory", Addr: address(a), Err: net.ErrClosed}
		}
		dialed, accepted := net.Pipe()
		c := &conn{Conn: dialed, network: n, from: from, to: l.domain, isPeer: strings.HasSuffix(a, peerPort)}
		select {
		case l.queue <- accepted:
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

// isPartitioned reports whether two failure domains cannot reach each other. The
// empty domain is the platform and the callers. The caller holds n.mu.
func (n *network) isPartitioned(a, b heatherhub.FailureDomain) bool {
	return a != b && (n.isolated[a] || n.isolated[b])
}

// canReach reports whether two failure domains can reach each other. Unlike
// isPartitioned it takes the lock itself.
func (n *network) canReach(a, b heatherhub.FailureDomain) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isPartitioned(a, b)
}

// setIsolated isolates exactly the given failure domains and closes the connections
// that now cross a partition.
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
