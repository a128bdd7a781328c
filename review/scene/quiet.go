//go:build review

package main

import (
	"net"
	"sync"
)

// quietListener accepts connections that silence makes go silent for good, without a reset. Later ones
// work.
type quietListener struct {
	net.Listener

	mu    sync.Mutex
	epoch int
	open  int
}

// Accept returns the next connection.
func (l *quietListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	return &quietConn{Conn: c, listener: l, epoch: l.epoch}, nil
}

// silence makes the open connections go silent, and returns their number.
func (l *quietListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch++
	return l.open
}

// quietConn is a connection of a quietListener.
type quietConn struct {
	net.Conn
	listener *quietListener
	epoch    int
	once     sync.Once
}

func (c *quietConn) isSilent() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.listener.epoch != c.epoch
}

// Read drops what arrives once the connection is silent.
func (c *quietConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write sends nothing once the connection is silent.
func (c *quietConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *quietConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		c.listener.open--
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
