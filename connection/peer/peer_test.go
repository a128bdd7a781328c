package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/peer"
)

const (
	echo = peer.Method("echo")
	wait = peer.Method("wait")
)

// newServer serves on a loopback port until the test ends.
func newServer(t *testing.T, cfg peer.ServerConfig) (*peer.Server, string) {
	t.Helper()
	cfg.Self = "server"
	s := peer.NewServer(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() {
		s.Close()
		wg.Wait()
	})
	s.Handle(echo, func(_ context.Context, from heatherhub.HostID, body []byte) ([]byte, error) {
		return append([]byte(string(from)+":"), body...), nil
	})
	return s, l.Addr().String()
}

func newClient(t *testing.T, cfg peer.ClientConfig, address string) *peer.Client {
	t.Helper()
	cfg.Self = "client"
	c := peer.NewClient(cfg)
	c.SetAddresses(map[heatherhub.HostID]string{"server": address})
	t.Cleanup(c.Close)
	return c
}

func TestCallReturnsOwnAnswer(t *testing.T) {
	_, address := newServer(t, peer.ServerConfig{})
	c := newClient(t, peer.ClientConfig{}, address)
	var wg conc.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			body := bytes.Repeat([]byte{byte(i)}, 1000+i)
			got, err := c.Call(t.Context(), "server", echo, body)
			if err != nil {
				t.Errorf("call %d: got error %v, want none", i, err)
			}
			if want := append([]byte("client:"), body...); !bytes.Equal(got, want) {
				t.Errorf("call %d: got the answer of another call with %d bytes, want its own with %d", i, len(got), len(want))
			}
		})
	}
	wg.Wait()
}

func TestCallErrors(t *testing.T) {
	s, address := newServer(t, peer.ServerConfig{MaxFrameBytes: 1 << 16})
	s.Handle("refuse", func(context.Context, heatherhub.HostID, []byte) ([]byte, error) {
		return nil, heatherhub.WithRetryAfter(heatherhub.ErrNotRun.New("full"), time.Second)
	})
	s.Handle("panic", func(context.Context, heatherhub.HostID, []byte) ([]byte, error) { panic("broken") })
	c := newClient(t, peer.ClientConfig{}, address)
	tests := []struct {
		name   string
		to     heatherhub.HostID
		method peer.Method
		body   []byte
		want   heatherhub.Code
	}{
		{"typed error", "server", "refuse", nil, heatherhub.CodeNotRun},
		{"panic", "server", "panic", nil, heatherhub.CodeUnknown},
		{"no method", "server", "absent", nil, heatherhub.CodeNotFound},
		{"no address", "nobody", echo, nil, heatherhub.CodeUnavailable},
		{"too large", "server", echo, make([]byte, 8<<20), heatherhub.CodeInvalid},
		{"valid call after the errors", "server", echo, nil, heatherhub.CodeOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := c.Call(t.Context(), tt.to, tt.method, tt.body)
			if got := heatherhub.CodeOf(err); got != tt.want {
				t.Errorf("got code %q (%v), want %q", got, err, tt.want)
			}
		})
	}
	_, err := c.Call(t.Context(), "server", "refuse", nil)
	if got, want := heatherhub.RetryAfter(err), time.Second; got != want {
		t.Errorf("got retry after %v, want %v", got, want)
	}
}

func TestCancelReachesHandler(t *testing.T) {
	s, address := newServer(t, peer.ServerConfig{})
	started, ended := make(chan struct{}), make(chan error, 1)
	s.Handle(wait, func(ctx context.Context, _ heatherhub.HostID, _ []byte) ([]byte, error) {
		close(started)
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, ctx.Err()
	})
	c := newClient(t, peer.ClientConfig{}, address)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		<-started
		cancel()
	})
	_, err := c.Call(ctx, "server", wait, nil)
	if got, want := heatherhub.CodeOf(err), heatherhub.CodeUnknown; got != want {
		t.Errorf("got code %q, want %q", got, want)
	}
	if got, want := <-ended, context.Canceled; !errors.Is(got, want) {
		t.Errorf("handler: got %v, want %v", got, want)
	}
	wg.Wait()
}

func TestDrainRefusesNewCallsAndFinishesOthers(t *testing.T) {
	s, address := newServer(t, peer.ServerConfig{MaxCalls: 4})
	started, release := make(chan struct{}), make(chan struct{})
	s.Handle(wait, func(context.Context, heatherhub.HostID, []byte) ([]byte, error) {
		close(started)
		<-release
		return []byte("done"), nil
	})
	c := newClient(t, peer.ClientConfig{}, address)
	var wg conc.WaitGroup
	wg.Go(func() {
		got, err := c.Call(t.Context(), "server", wait, nil)
		if err != nil || string(got) != "done" {
			t.Errorf("running call: got %q, %v, want done", got, err)
		}
	})
	<-started
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := s.Drain(ended); err == nil {
		t.Error("drain with a running call and an ended context: got no error, want one")
	}
	_, err := c.Call(t.Context(), "server", echo, nil)
	if got, want := heatherhub.CodeOf(err), heatherhub.CodeUnavailable; got != want {
		t.Errorf("new call: got code %q, want %q", got, want)
	}
	close(release)
	wg.Wait()
}

func TestMalformedInputEndsOnlyItsConnection(t *testing.T) {
	s, address := newServer(t, peer.ServerConfig{MaxFrameBytes: 1 << 12})
	// The call lasts as long as its connection, so it still runs when it is repeated.
	s.Handle("hold", func(ctx context.Context, _ heatherhub.HostID, _ []byte) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	c := newClient(t, peer.ClientConfig{}, address)
	if _, err := c.Call(t.Context(), "server", echo, nil); err != nil {
		t.Fatal(err)
	}
	call := func(n uint64) *peer.Frame { return &peer.Frame{Kind: peer.FrameCall, Number: n, Method: "hold"} }
	hello := &peer.Frame{Kind: peer.FrameHello, From: "x"}
	tests := []struct {
		name  string
		bytes []byte
	}{
		{"oversized", binary.BigEndian.AppendUint32(nil, 1<<13)},
		{"garbage", append(binary.BigEndian.AppendUint32(nil, 4), 0xc1, 0xff, 0x00, 0x01)},
		{"no hello", encode(t, call(1))},
		{"repeated call", append(encode(t, hello), append(encode(t, call(1)), encode(t, call(1))...)...)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write(tt.bytes); err != nil {
				t.Fatal(err)
			}
			last := readToEnd(conn)
			if last.Code != heatherhub.CodeInvalid || last.Message == "" {
				t.Errorf("got last frame %+v, want an error with a message", last)
			}
			if _, err := c.Call(t.Context(), "server", echo, nil); err != nil {
				t.Errorf("other connection: got %v, want no error", err)
			}
		})
	}
}

func encode(t *testing.T, f *peer.Frame) []byte {
	t.Helper()
	data, err := peer.EncodeFrame(f, peer.DefaultMaxFrameBytes)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// readToEnd reads until the connection is closed and returns the last frame.
func readToEnd(r io.Reader) peer.Frame {
	var last peer.Frame
	for {
		f, err := peer.ReadFrame(r, peer.DefaultMaxFrameBytes)
		if err != nil {
			return last
		}
		last = f
	}
}

func TestRemovedHostFinishesPendingCalls(t *testing.T) {
	s, address := newServer(t, peer.ServerConfig{})
	started, release := make(chan struct{}), make(chan struct{})
	s.Handle(wait, func(context.Context, heatherhub.HostID, []byte) ([]byte, error) {
		close(started)
		<-release
		return []byte("done"), nil
	})
	c := newClient(t, peer.ClientConfig{}, address)
	var wg conc.WaitGroup
	wg.Go(func() {
		got, err := c.Call(t.Context(), "server", wait, nil)
		if err != nil || string(got) != "done" {
			t.Errorf("running call: got %q, %v, want done", got, err)
		}
	})
	<-started
	c.SetAddresses(nil)
	_, err := c.Call(t.Context(), "server", echo, nil)
	if got, want := heatherhub.CodeOf(err), heatherhub.CodeUnavailable; got != want {
		t.Errorf("new call: got code %q, want %q", got, want)
	}
	close(release)
	wg.Wait()
}
