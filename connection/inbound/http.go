package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

type connKey struct{}

// Attach makes a server report the progress of its requests to the gate. It replaces ConnContext
// and ConnState of the server and wraps its handler. Call it before Serve.
func (g *Gate) Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, gateConn(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			gateConn(c).Rest()
		}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(connKey{}).(*Conn); c != nil {
			c.beginBody()
			r.Body = newBody(r, c)
		}
		next.ServeHTTP(w, r)
	})
}

// gateConn returns the connection that counts at a gate, or nil if there is none.
func gateConn(c net.Conn) *Conn {
	if tls, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = tls.NetConn()
	}
	own, _ := c.(*Conn)
	return own
}

// body is the body of a request. It counts the bytes that are read.
type body struct {
	io.ReadCloser
	conn *Conn
	end  sync.Once
}

// newBody returns the body of a request. A request without a body is complete.
func newBody(r *http.Request, c *Conn) io.ReadCloser {
	if r.Body == http.NoBody {
		c.Complete()
		return r.Body
	}
	return &body{ReadCloser: r.Body, conn: c}
}

// Read reads from the body. At its end the request is complete.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if chargeErr := b.conn.Charge(int64(n) * bodyCost); chargeErr != nil {
			return 0, chargeErr
		}
	}
	if errors.Is(err, io.EOF) {
		b.end.Do(b.conn.Complete)
	}
	return n, err
}
