package peer_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub/connection/inbound"
	"heatherhub.example/heatherhub/connection/peer"
)

// TestPeerKeepsItsConnectionBesideSilentOnes guards against hosts that lose their connections to a
// crowd that connects and says nothing.
func TestPeerKeepsItsConnectionBesideSilentOnes(t *testing.T) {
	const maxConnections = 4
	gate := inbound.NewGate(inbound.Config{Name: "peers", MaxConnections: maxConnections, MaxBytes: 1 << 20})
	s := peer.NewServer(peer.ServerConfig{Self: "server"})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Serve(gate.Listener(l)) })
	t.Cleanup(func() {
		s.Close()
		wg.Wait()
	})
	dial := func() net.Conn {
		conn, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn
	}
	host := dial()
	in := bufio.NewReader(host)
	exchange := func(frames ...*peer.Frame) {
		t.Helper()
		for _, f := range frames {
			data, err := peer.EncodeFrame(f, peer.DefaultMaxFrameBytes)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := host.Write(data); err != nil {
				t.Fatalf("got %v, want an open connection", err)
			}
		}
		f, err := peer.ReadFrame(in, peer.DefaultMaxFrameBytes)
		if err != nil || f.Kind != peer.FramePong {
			t.Fatalf("got frame %+v and error %v, want a pong", f, err)
		}
	}
	exchange(&peer.Frame{Kind: peer.FrameHello, From: "host"}, &peer.Frame{Kind: peer.FramePing})
	// Some are silent, and some stop within a frame that is not a first one.
	var silent []net.Conn
	for i := range 10 * maxConnections {
		conn := dial()
		if i%2 == 0 {
			_, _ = conn.Write([]byte{0, 0, 1, 0, 1})
		}
		silent = append(silent, conn)
	}
	// The first ones have made way once their connections end.
	for _, conn := range silent[:len(silent)-maxConnections] {
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("got an answer on a connection that says nothing, want its end")
		}
	}
	exchange(&peer.Frame{Kind: peer.FramePing})
}

// TestFirstFrameIsSmall guards against large frames of clients that have not said who they are.
func TestFirstFrameIsSmall(t *testing.T) {
	_, address := newServer(t, peer.ServerConfig{})
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Write([]byte{0, 16, 0, 0}); err != nil {
		t.Fatal(err)
	}
	f, err := peer.ReadFrame(bufio.NewReader(conn), peer.DefaultMaxFrameBytes)
	if err != nil || f.Kind != peer.FrameHello || f.Code == "" {
		t.Errorf("got frame %+v and error %v, want a frame that rejects the connection", f, err)
	}
}
