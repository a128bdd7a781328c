package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// connFaults injects faults into the accepted connections of a worker: it pauses
// all of them, or makes the open ones drop their data while new ones work.
type connFaults struct {
	// onOpen is called with the number of open connections after each accept.
	onOpen func(open int)

	mu    sync.Mutex
	conns map[*faultConn]bool
	// thawed is closed while the connections are not frozen.
	thawed chan struct{}
}

func newConnFaults(onOpen func(int)) *connFaults {
	thawed := make(chan struct{})
	close(thawed)
	return &connFaults{onOpen: onOpen, conns: make(map[*faultConn]bool), thawed: thawed}
}

// freeze blocks all reads and writes until thaw.
func (f *connFaults) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.thawed:
		f.thawed = make(chan struct{})
	default:
	}
}

// thaw unblocks reads and writes.
func (f *connFaults) thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.thawed:
	default:
		close(f.thawed)
	}
}

// silenceOpen makes the open connections drop all data that is read or written.
func (f *connFaults) silenceOpen() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.isSilenced.Store(true)
	}
}

// waitThawed blocks while the connections are frozen, or until closed is closed.
func (f *connFaults) waitThawed(closed <-chan struct{}) {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	select {
	case <-thawed:
	case <-closed:
	}
}

// wrapListener returns a listener whose connections are subject to the faults.
func (f *connFaults) wrapListener(l net.Listener) net.Listener {
	return &faultListener{Listener: l, faults: f}
}

// faultListener wraps the accepted connections in faultConn.
type faultListener struct {
	net.Listener
	faults *connFaults
}

// Accept returns the next connection, subject to the faults.
func (l *faultListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &faultConn{Conn: c, faults: l.faults, closed: make(chan struct{})}
	l.faults.mu.Lock()
	l.faults.conns[conn] = true
	open := len(l.faults.conns)
	l.faults.mu.Unlock()
	l.faults.onOpen(open)
	return conn, nil
}

// faultConn is a connection that can be frozen with all others or silenced for good.
type faultConn struct {
	net.Conn
	faults     *connFaults
	isSilenced atomic.Bool
	once       sync.Once
	// closed is closed by Close.
	closed chan struct{}
}

// Read blocks while the connection is frozen and never returns data of a silenced
// one.
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

// Write blocks while the connection is frozen. On a silenced connection it drops
// the data and reports success.
func (c *faultConn) Write(b []byte) (int, error) {
	c.faults.waitThawed(c.closed)
	if c.isSilenced.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and ends reads and writes that wait for a thaw.
func (c *faultConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.faults.mu.Lock()
		delete(c.faults.conns, c)
		c.faults.mu.Unlock()
	})
	return c.Conn.Close()
}
