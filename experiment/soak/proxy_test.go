package soak_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// newEchoServer answers each byte with itself.
func newEchoServer(t *testing.T, g *conc.WaitGroup) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	g.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.Go(func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			})
		}
	})
	return l.Addr().String()
}

// echoByte sends a byte and reports whether it came back in time.
func echoByte(t *testing.T, c net.Conn, limit time.Duration) bool {
	t.Helper()
	if _, err := c.Write([]byte{7}); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	n, err := c.Read(make([]byte, 1))
	return err == nil && n == 1
}

func TestWayDoesWhatItsStateSays(t *testing.T) {
	const patience = 300 * time.Millisecond
	cases := map[string]struct {
		state proxyState
		want  bool
	}{"open": {passing, true}, "silent": {blocked, false}, "deaf": {responsesBlocked, false}, "reset": {reset, false}}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			var g conc.WaitGroup
			w, err := newFaultProxy(&g, newEchoServer(t, &g))
			if err != nil {
				t.Fatal(err)
			}
			defer w.close()
			c, err := net.Dial("tcp4", w.address())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if !echoByte(t, c, 5*time.Second) {
				t.Fatal("got no answer over an open way, want one")
			}
			w.setState(tt.state)
			if got := echoByte(t, c, patience); got != tt.want {
				t.Errorf("got an answer: %v, want %v", got, tt.want)
			}
		})
	}
}
