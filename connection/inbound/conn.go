package inbound

import (
	"container/list"
	"net"
	"time"
)

// Conn is a connection that counts at a gate. A nil *Conn counts nowhere: its methods Begin,
// Charge, Complete, Keep and Rest do nothing.
type Conn struct {
	net.Conn
	gate *Gate

	// The fields below are guarded by gate.mu.

	// held is the memory of the request, in bytes.
	held int64
	// leaving is the memory that the reader of a connection which made way may still have, in bytes.
	leaving int64
	// list and element are the place of the connection, nil if its request is complete. order
	// compares places of different lists.
	list    *list.List
	element *list.Element
	order   uint64
	// isOpen is set until the connection is closed. isVictim means that it made way for others.
	isOpen, isVictim bool
	// readsBody means that the header of the request has been read.
	readsBody bool
}

// Read reads from the connection and counts the bytes if they may be of a header.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.release()
	}
	if n > 0 && c.gate.cfg.HeaderCost > 0 {
		if chargeErr := c.chargeHeader(n); chargeErr != nil {
			return 0, chargeErr
		}
	}
	return n, err
}

// Write writes to the connection. A client that does not read fails it after the write timeout.
func (c *Conn) Write(p []byte) (int, error) {
	if timeout := c.gate.cfg.WriteTimeout; timeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// Close closes the connection and releases what it holds.
func (c *Conn) Close() error {
	c.gate.mu.Lock()
	c.gate.forget(c)
	c.gate.released(c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// release says that the reader has been told that the connection is closed.
func (c *Conn) release() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.released(c)
}

// chargeHeader counts bytes that were read, unless the header is complete.
func (c *Conn) chargeHeader(n int) error {
	c.gate.mu.Lock()
	isBody, isNew := c.readsBody, c.list == c.gate.resting
	c.gate.mu.Unlock()
	if isBody {
		return nil
	}
	if isNew {
		c.Begin()
	}
	return c.Charge(int64(n) * c.gate.cfg.HeaderCost)
}

// Begin says that the first byte of a request has arrived. From then on the connection waits for
// the rest of it.
func (c *Conn) Begin() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.isOpen {
		return
	}
	c.gate.enqueue(c, c.gate.receiving)
	c.held += requestCost
	c.gate.held += requestCost
}

// Charge adds memory to the request, in bytes. If the gate then holds more than it may, it closes
// the connections that have waited for the rest of their requests for longest, and waits until their
// readers have released what they have. It returns heatherhub.ErrUnavailable if this one was closed.
func (c *Conn) Charge(n int64) error {
	if c == nil {
		return nil
	}
	g := c.gate
	g.mu.Lock()
	if c.isOpen {
		c.held += n
		g.held += n
	}
	var victims []*Conn
	for g.held > g.cfg.MaxBytes {
		v := front(g.receiving)
		if v == nil {
			// All others are being served, so this one has to go.
			v = c
		}
		if !v.isOpen {
			break
		}
		g.makeWay(v)
		victims = append(victims, v)
	}
	g.mu.Unlock()
	if len(victims) > 0 {
		g.closeVictims(LimitBytes, victims...)
	}
	if !c.awaitRoom() {
		c.release()
		return errClosed
	}
	return nil
}

// awaitRoom waits while the gate holds more than it may, as connections that made way have not released
// their memory. It reports false if this connection made way itself.
func (c *Conn) awaitRoom() bool {
	g := c.gate
	var timeout <-chan time.Time
	for {
		g.mu.Lock()
		isVictim, changed := c.isVictim, g.changed
		isLate := c.isOpen && g.leaving > 0 && g.held+g.leaving > g.cfg.MaxBytes
		g.mu.Unlock()
		if isVictim || !isLate {
			return !isVictim
		}
		if timeout == nil {
			timer := time.NewTimer(maxReleaseWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
		case <-timeout:
			return true
		}
	}
}

// Complete says that the request has been received. The connection is not closed in favour of
// others until it rests.
func (c *Conn) Complete() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.isOpen {
		c.gate.enqueue(c, nil)
	}
}

// Keep says that the connection rests and is one of those that are not closed in favour of others. It
// releases the memory of the request.
func (c *Conn) Keep() {
	if c == nil {
		return
	}
	c.Rest()
	c.Complete()
}

// Rest says that the request has been answered, and releases its memory.
func (c *Conn) Rest() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.isOpen {
		return
	}
	c.gate.held -= c.held
	c.held = 0
	c.readsBody = false
	c.gate.enqueue(c, c.gate.resting)
}

// beginBody says that the header has been read, so bytes that are read later belong to a body.
func (c *Conn) beginBody() {
	c.gate.mu.Lock()
	c.readsBody = true
	// The whole header may have arrived with the request before.
	isNew := c.list == c.gate.resting
	c.gate.mu.Unlock()
	if isNew {
		c.Begin()
	}
}
