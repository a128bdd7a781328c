package soak_test

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
)

// proxyState says what happens to the bytes of a way.
type proxyState int

const (
	// passing passes all bytes.
	passing proxyState = iota
	// delayed passes them late.
	delayed
	// blocked keeps connections and passes nothing, deaf nothing of the answers.
	blocked
	responsesBlocked
	// reset breaks all connections.
	reset
)

// slowness is the delay of a slow way, in each direction.
const proxyDelay = 150 * time.Millisecond

// faultProxy is a loopback proxy in front of one address.
type faultProxy struct {
	listener net.Listener
	target   string
	group    *conc.WaitGroup

	mu      sync.Mutex
	state   proxyState
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

func newFaultProxy(g *conc.WaitGroup, target string) (*faultProxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, heatherhub.ErrUnavailable.Wrap(err, "cannot listen on the loopback address")
	}
	p := &faultProxy{listener: l, target: target, group: g, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	g.Go(p.accept)
	return p, nil
}

func (p *faultProxy) address() string {
	return p.listener.Addr().String()
}

// setState changes the state. A reset breaks what is connected.
func (p *faultProxy) setState(state proxyState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	close(p.changed)
	p.changed = make(chan struct{})
	if state == reset {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *faultProxy) currentState() (proxyState, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.changed
}

func (p *faultProxy) close() {
	_ = p.listener.Close()
	p.setState(reset)
}

func (p *faultProxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == reset {
		_ = c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *faultProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.serve(c) })
	}
}

func (p *faultProxy) serve(in net.Conn) {
	if !p.track(in) {
		return
	}
	out, err := net.Dial("tcp4", p.target)
	if err != nil || !p.track(out) {
		p.closeConn(in)
		return
	}
	var g conc.WaitGroup
	g.Go(func() { p.forward(out, in, blocked) })
	g.Go(func() { p.forward(in, out, responsesBlocked) })
	g.Wait()
	p.closeConn(in)
	p.closeConn(out)
}

func (p *faultProxy) closeConn(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// forward copies bytes in one direction as the state says. The state hold stops it.
func (p *faultProxy) forward(to, from net.Conn, hold proxyState) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.waitUntilAllowed(hold)
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_, _ = io.Copy(io.Discard, from)
}

// waitUntilAllowed waits while a direction is held, and for the delay of a slow way.
func (p *faultProxy) waitUntilAllowed(hold proxyState) {
	for {
		state, changed := p.currentState()
		switch {
		case state == delayed:
			time.Sleep(proxyDelay)
			return
		case state != hold && state != blocked:
			return
		}
		<-changed
	}
}
