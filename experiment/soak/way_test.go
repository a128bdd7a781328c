package soak_test

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
)

// wayState says what happens to the bytes of a way.
type wayState int

const (
	// open passes all bytes.
	open wayState = iota
	// slow passes them late.
	slow
	// silent keeps connections and passes nothing, deaf nothing of the answers.
	silent
	deaf
	// reset breaks all connections.
	reset
)

// slowness is the delay of a slow way, in each direction.
const slowness = 150 * time.Millisecond

// way is a loopback proxy in front of one address.
type way struct {
	listener net.Listener
	target   string
	group    *conc.WaitGroup

	mu      sync.Mutex
	state   wayState
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

func newWay(g *conc.WaitGroup, target string) (*way, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, heatherhub.ErrUnavailable.Wrap(err, "cannot listen on the loopback address")
	}
	w := &way{listener: l, target: target, group: g, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	g.Go(w.accept)
	return w, nil
}

func (w *way) address() string {
	return w.listener.Addr().String()
}

// set changes the state. A reset breaks what is connected.
func (w *way) set(state wayState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
	close(w.changed)
	w.changed = make(chan struct{})
	if state == reset {
		for c := range w.conns {
			_ = c.Close()
		}
	}
}

func (w *way) current() (wayState, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state, w.changed
}

func (w *way) close() {
	_ = w.listener.Close()
	w.set(reset)
}

func (w *way) keep(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == reset {
		_ = c.Close()
		return false
	}
	w.conns[c] = struct{}{}
	return true
}

func (w *way) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.group.Go(func() { w.serve(c) })
	}
}

func (w *way) serve(in net.Conn) {
	if !w.keep(in) {
		return
	}
	out, err := net.Dial("tcp4", w.target)
	if err != nil || !w.keep(out) {
		w.drop(in)
		return
	}
	var g conc.WaitGroup
	g.Go(func() { w.pass(out, in, silent) })
	g.Go(func() { w.pass(in, out, deaf) })
	g.Wait()
	w.drop(in)
	w.drop(out)
}

func (w *way) drop(c net.Conn) {
	_ = c.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// pass copies bytes in one direction as the state says. The state hold stops it.
func (w *way) pass(to, from net.Conn, hold wayState) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			w.await(hold)
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

// await waits while a direction is held, and for the delay of a slow way.
func (w *way) await(hold wayState) {
	for {
		state, changed := w.current()
		switch {
		case state == slow:
			time.Sleep(slowness)
			return
		case state != hold && state != silent:
			return
		}
		<-changed
	}
}
