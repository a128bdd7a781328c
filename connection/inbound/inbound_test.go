package inbound_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub/connection/inbound"
)

// testTimeout only ends a test that hangs.
const testTimeout = 10 * time.Second

// port is a listener with a gate.
type port struct {
	t        *testing.T
	listener net.Listener
}

func newPort(t *testing.T, cfg inbound.Config) *port {
	l, err := inbound.Listen(context.Background(), "127.0.0.1:0", zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	cfg.Name = "test"
	return &port{t: t, listener: inbound.NewGate(cfg).Listener(l)}
}

// dial connects a client.
func (p *port) dial() net.Conn {
	p.t.Helper()
	client, err := net.Dial("tcp4", p.listener.Addr().String())
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = client.Close() })
	_ = client.SetDeadline(time.Now().Add(testTimeout))
	return client
}

// connect connects a client and returns both sides.
func (p *port) connect() (client net.Conn, conn *inbound.Conn) {
	p.t.Helper()
	client = p.dial()
	accepted, err := p.listener.Accept()
	if err != nil {
		p.t.Fatal(err)
	}
	return client, accepted.(*inbound.Conn)
}

// isClosed reports whether the server has closed the connection of a client.
func isClosed(client net.Conn) bool {
	_ = client.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := client.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err != nil && (!ok || !timeout.Timeout())
}

func expectClosed(t *testing.T, name string, client net.Conn, want bool) {
	t.Helper()
	if got := isClosed(client); got != want {
		t.Errorf("%s: got closed %t, want %t", name, got, want)
	}
}

func TestLongestWaitingConnectionMakesWay(t *testing.T) {
	p := newPort(t, inbound.Config{MaxConnections: 3, MaxBytes: 1 << 20})
	resting, _ := p.connect()
	served, servedConn := p.connect()
	servedConn.Begin()
	servedConn.Complete()
	receiving, receivingConn := p.connect()
	receivingConn.Begin()
	fourth, _ := p.connect()
	expectClosed(t, "resting for longest", resting, true)
	expectClosed(t, "served", served, false)
	expectClosed(t, "receiving", receiving, false)
	fifth, _ := p.connect()
	expectClosed(t, "receiving for longest", receiving, true)
	expectClosed(t, "new", fourth, false)
	expectClosed(t, "newest", fifth, false)
	servedConn.Rest()
	_, _ = p.connect()
	expectClosed(t, "fourth", fourth, true)
	expectClosed(t, "rests again", served, false)
}

func TestNewConnectionIsClosedIfAllAreServed(t *testing.T) {
	p := newPort(t, inbound.Config{MaxConnections: 1, MaxBytes: 1 << 20})
	served, conn := p.connect()
	conn.Begin()
	conn.Complete()
	refused := p.dial()
	var group conc.WaitGroup
	group.Go(func() { _, _ = p.listener.Accept() })
	expectClosed(t, "new", refused, true)
	expectClosed(t, "served", served, false)
	_ = p.listener.Close()
	group.Wait()
}

func TestClosedConnectionsCountNoLonger(t *testing.T) {
	p := newPort(t, inbound.Config{MaxConnections: 2, MaxBytes: 1 << 20})
	first, _ := p.connect()
	_, conn := p.connect()
	_ = conn.Close()
	_ = conn.Close()
	_, _ = p.connect()
	expectClosed(t, "first", first, false)
}

func TestLongestReceivingRequestMakesWay(t *testing.T) {
	const room = 100_000
	p := newPort(t, inbound.Config{MaxConnections: 10, MaxBytes: room})
	resting, _ := p.connect()
	oldest, oldestConn := p.connect()
	oldestConn.Begin()
	served, servedConn := p.connect()
	servedConn.Begin()
	newest, newestConn := p.connect()
	newestConn.Begin()
	for _, c := range []*inbound.Conn{oldestConn, servedConn} {
		if err := c.Charge(room / 4); err != nil {
			t.Fatalf("got %v, want room", err)
		}
	}
	servedConn.Complete()
	if err := newestConn.Charge(room / 2); err != nil {
		t.Errorf("got %v, want the oldest request to make way", err)
	}
	expectClosed(t, "oldest", oldest, true)
	expectClosed(t, "resting", resting, false)
	if err := oldestConn.Charge(1); err == nil {
		t.Error("got no error for a closed connection, want one")
	}
	if err := newestConn.Charge(room / 2); err == nil {
		t.Error("got room beyond the limit beside a served request, want an error")
	}
	expectClosed(t, "newest", newest, true)
	expectClosed(t, "served", served, false)
	// The memory of the closed connections can be used again.
	_, next := p.connect()
	next.Begin()
	if err := next.Charge(room / 2); err != nil {
		t.Errorf("got %v, want room", err)
	}
}

func TestRestReleasesMemory(t *testing.T) {
	const room = 100_000
	p := newPort(t, inbound.Config{MaxConnections: 10, MaxBytes: room})
	client, conn := p.connect()
	for range 10 {
		conn.Begin()
		if err := conn.Charge(room / 2); err != nil {
			t.Fatalf("got %v, want room", err)
		}
		conn.Complete()
		conn.Rest()
	}
	expectClosed(t, "client", client, false)
}

// TestServerServesBesideStalledBodies drives an HTTP server: bodies and headers that stop short
// make way, and what is complete is answered.
func TestServerServesBesideStalledBodies(t *testing.T) {
	registry := prometheus.NewRegistry()
	gate := inbound.NewGate(inbound.Config{Name: "test", MaxConnections: 20, MaxBytes: 1 << 20, HeaderCost: inbound.HTTPHeaderCost, WriteTimeout: testTimeout, Registry: registry})
	s := &http.Server{MaxHeaderBytes: inbound.MaxHeaderBytes, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, len(data))
	})}
	gate.Attach(s)
	l, err := inbound.Listen(context.Background(), "127.0.0.1:0", zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() { _ = s.Serve(gate.Listener(l)) })
	p := &port{t: t, listener: l}
	const size = 200_000
	header := fmt.Sprintf("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n", size)
	const stalled = 50
	for i := range stalled {
		client := p.dial()
		if _, err := io.WriteString(client, header); err != nil {
			t.Fatal(err)
		}
		if i%2 == 0 {
			// The connection may have been closed.
			_, _ = client.Write(append([]byte("\r\n"), make([]byte, size-1)...))
		}
	}
	awaitStalled(t, registry, stalled)
	client := p.dial()
	answers := bufio.NewReader(client)
	for range 30 {
		if _, err := client.Write(append([]byte(header+"\r\n"), make([]byte, size)...)); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("got %v, want an answer", err)
		}
		data, _ := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if got, want := string(data), fmt.Sprint(size); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got := gaugeValue(t, registry, "heatherhub_inbound_connections"); got < 1 || got > 20 {
		t.Errorf("got %v connections, want 1 to 20", got)
	}
	if got := gaugeValue(t, registry, "heatherhub_inbound_held_bytes"); got < 0 || got > 1<<20 {
		t.Errorf("got %v bytes held, want at most %d", got, 1<<20)
	}
	_ = s.Close()
	group.Wait()
	if got := gaugeValue(t, registry, "heatherhub_inbound_held_bytes"); got != 0 {
		t.Errorf("got %v bytes held by a closed server, want 0", got)
	}
	if got := gaugeValue(t, registry, "heatherhub_inbound_connections"); got != 0 {
		t.Errorf("got %v connections of a closed server, want 0", got)
	}
}

// TestClientThatDoesNotReadIsClosed guards against clients that keep their connections by not
// reading the answers.
func TestClientThatDoesNotReadIsClosed(t *testing.T) {
	registry := prometheus.NewRegistry()
	gate := inbound.NewGate(inbound.Config{Name: "test", MaxConnections: 2, MaxBytes: 1 << 20, HeaderCost: inbound.HTTPHeaderCost, WriteTimeout: 50 * time.Millisecond, Registry: registry})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 1<<20))
	})}
	gate.Attach(s)
	l, err := inbound.Listen(context.Background(), "127.0.0.1:0", zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() { _ = s.Serve(gate.Listener(l)) })
	p := &port{t: t, listener: l}
	client := p.dial()
	if err := client.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	const requests = 40
	if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: test\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	// From its first byte on, the answer is being sent.
	if _, err := client.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	for range requests {
		if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: test\r\n\r\n"); err != nil {
			break
		}
	}
	for limit := time.Now().Add(testTimeout); gaugeValue(t, registry, "heatherhub_inbound_connections") > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("got an open connection of a client that does not read, want it to be closed")
		}
	}
	_ = s.Close()
	group.Wait()
}

// gaugeValue returns the value of a gauge.
// awaitStalled waits until the port has read the first bytes of n connections, or has closed them. A connection that is read
// later counts as one that has kept the port waiting for less time.
func awaitStalled(t *testing.T, r *prometheus.Registry, n float64) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		open, receiving, closed := gaugeValue(t, r, "heatherhub_inbound_connections"), gaugeValue(t, r, "heatherhub_inbound_receiving"), closedConnections(t, r)
		if open+closed == n && receiving == open {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got %v open, %v receiving and %v closed connections, want all of %v receiving or closed", open, receiving, closed, n)
		}
	}
}

// closedConnections returns the number of connections that were closed in favour of others.
func closedConnections(t *testing.T, r *prometheus.Registry) float64 {
	t.Helper()
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() != "heatherhub_inbound_closed_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue()
		}
	}
	return sum
}

func gaugeValue(t *testing.T, r *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatalf("got no metric %s, want one", name)
	return 0
}

func TestSharesFollowBothLimits(t *testing.T) {
	share := inbound.Share{Sockets: 0.5, ConnectionMemory: 0.25, RequestMemory: 0.125}
	cases := []struct {
		name            string
		machine         inbound.Machine
		wantConnections int
		wantBytes       int64
	}{
		{"descriptors are short", inbound.Machine{MemoryBytes: 1 << 30, Sockets: 500}, 250, 1 << 27},
		{"memory is short", inbound.Machine{MemoryBytes: 64 << 20, Sockets: 100_000}, (16 << 20) / inbound.ConnectionCost, 8 << 20},
		{"both are tiny", inbound.Machine{MemoryBytes: 1 << 20, Sockets: 1}, 8, 1 << 20},
	}
	for _, c := range cases {
		if got := c.machine.MaxConnections(share); got != c.wantConnections {
			t.Errorf("%s: got %d connections, want %d", c.name, got, c.wantConnections)
		}
		if got := c.machine.MaxBytes(share); got != c.wantBytes {
			t.Errorf("%s: got %d bytes, want %d", c.name, got, c.wantBytes)
		}
	}
}

func TestReadAllReturnsWhatWasSent(t *testing.T) {
	for _, size := range []int{0, 1, 16<<10 - 1, 16 << 10, 16<<10 + 1, 100_000} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(i * 31 >> 3)
		}
		for name, r := range map[string]io.Reader{"whole": bytes.NewReader(want), "byte by byte": iotest.OneByteReader(bytes.NewReader(want)), "end with data": iotest.DataErrReader(bytes.NewReader(want))} {
			got, err := inbound.ReadAll(r)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("%s, %d bytes: got %d bytes and %v, want the same bytes", name, size, len(got), err)
			}
		}
		if _, err := inbound.ReadAll(io.MultiReader(bytes.NewReader(want), iotest.ErrReader(io.ErrUnexpectedEOF))); err != io.ErrUnexpectedEOF {
			t.Errorf("%d bytes: got %v, want %v", size, err, io.ErrUnexpectedEOF)
		}
	}
}
