package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/peer"
)

// TestUnresponsivePeerIsDisconnected dials a peer that reads frames and never answers:
// the client must close the connection, both idle and with a pending call.
func TestUnresponsivePeerIsDisconnected(t *testing.T) {
	tests := []struct {
		name   string
		isIdle bool
		want   time.Duration
	}{
		{"pending call", false, peer.DefaultPongTimeout},
		{"idle connection", true, peer.DefaultIdlePingInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			clientEnd, serverEnd := net.Pipe()
			var wg conc.WaitGroup
			closed := make(chan struct{})
			wg.Go(func() {
				defer close(closed)
				_, _ = io.Copy(io.Discard, serverEnd) // reads frames, never answers
			})
			c := newClient(t, peer.ClientConfig{
				Clock: clock,
				Dial:  func(context.Context, string) (net.Conn, error) { return clientEnd, nil },
			}, "pipe")
			result := make(chan error, 1)
			ctx, cancel := context.WithCancel(t.Context())
			wg.Go(func() {
				_, err := c.Call(ctx, "server", echo, nil)
				result <- err
			})
			if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			if tt.isIdle {
				cancel()
				<-result
			}
			start := clock.Now()
			for isOpen := true; isOpen; {
				clock.Advance(peer.DefaultBusyPingInterval)
				select {
				case <-closed:
					isOpen = false
				case <-time.After(5 * time.Millisecond):
				}
			}
			if got := clock.Since(start); got < tt.want {
				t.Errorf("got the connection closed after %v, want at least %v", got, tt.want)
			}
			if !tt.isIdle {
				if got, want := heatherhub.CodeOf(<-result), heatherhub.CodeUnknown; got != want {
					t.Errorf("got code %q, want %q", got, want)
				}
			}
			cancel()
			wg.Wait()
		})
	}
}

// faultInjector forwards frames and applies one fault to each: 1 repeats a frame, 2
// holds it back until after the next one, 3 truncates it and closes the connection,
// any other number forwards it unchanged.
type faultInjector struct {
	faults []int
	out    net.Conn
}

func (s *faultInjector) run(in net.Conn) {
	defer func() { _ = s.out.Close() }()
	var held *peer.Frame
	for {
		f, err := peer.ReadFrame(in, peer.DefaultMaxFrameBytes)
		if err != nil {
			return
		}
		data, err := peer.EncodeFrame(&f, peer.DefaultMaxFrameBytes)
		if err != nil {
			return
		}
		fault := 0
		if len(s.faults) > 0 {
			fault, s.faults = s.faults[0], s.faults[1:]
		}
		switch fault {
		case 3:
			_, _ = s.out.Write(data[:len(data)-1])
			return
		case 1:
			_, _ = s.out.Write(data)
		case 2:
			if held == nil {
				held = &f
				continue
			}
		}
		_, _ = s.out.Write(data)
		if held != nil {
			data, _ = peer.EncodeFrame(held, peer.DefaultMaxFrameBytes)
			_, _ = s.out.Write(data)
			held = nil
		}
	}
}

// TestFaultyConnectionNeverMixesAnswers truncates, repeats and reorders the answers of
// a peer: a call must get its own complete answer or an error, and no call may run
// twice.
func TestFaultyConnectionNeverMixesAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 8).Draw(t, "faults")
		s := peer.NewServer(peer.ServerConfig{Self: "server"})
		runs := make(chan string, 64)
		s.Handle(echo, func(_ context.Context, _ heatherhub.HostID, body []byte) ([]byte, error) {
			runs <- string(body)
			return body, nil
		})
		l := &pipeListener{conns: make(chan net.Conn, 1)}
		var wg conc.WaitGroup
		wg.Go(func() { _ = s.Serve(l) })
		clientEnd, mid := net.Pipe()
		back, serverEnd := net.Pipe()
		l.conns <- serverEnd
		wg.Go(func() { _, _ = io.Copy(back, mid); _ = back.Close() })
		wg.Go(func() { (&faultInjector{faults: faults, out: mid}).run(back) })
		c := peer.NewClient(peer.ClientConfig{Self: "client", Dial: func(context.Context, string) (net.Conn, error) { return clientEnd, nil }})
		c.SetAddresses(map[heatherhub.HostID]string{"server": "pipe"})
		n := rapid.IntRange(1, 6).Draw(t, "calls")
		var calls conc.WaitGroup
		for i := range n {
			body := string(rune('a' + i))
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
				defer cancel()
				got, err := c.Call(ctx, "server", echo, []byte(body))
				if err == nil && string(got) != body {
					t.Errorf("call %q: got %q, want its own answer", body, got)
				}
			})
		}
		calls.Wait()
		c.Close()
		_ = l.Close()
		s.Close()
		_ = back.Close()
		_ = mid.Close()
		wg.Wait()
		close(runs)
		seen := make(map[string]int)
		for body := range runs {
			seen[body]++
			if got, want := seen[body], 1; got > want {
				t.Errorf("call %q: got %d runs, want %d", body, got, want)
			}
		}
	})
}

// pipeListener accepts the connections that are sent to its channel.
type pipeListener struct {
	conns chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error {
	defer func() { _ = recover() }() // a second Close panics on the closed channel
	close(l.conns)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestMutualTLS(t *testing.T) {
	cert, roots := newCertificate(t)
	_, address := newServer(t, peer.ServerConfig{TLS: &tls.Config{
		Certificates: []tls.Certificate{cert}, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
	}})
	tests := []struct {
		name  string
		certs []tls.Certificate
		isOK  bool
	}{
		{"with a certificate", []tls.Certificate{cert}, true},
		{"without a certificate", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newClient(t, peer.ClientConfig{TLS: &tls.Config{Certificates: tt.certs, RootCAs: roots, ServerName: "peer"}}, address)
			_, err := c.Call(t.Context(), "server", echo, nil)
			if got := err == nil; got != tt.isOK {
				t.Errorf("got error %v, want success %t", err, tt.isOK)
			}
		})
	}
}

func newCertificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "peer"}, DNSNames: []string{"peer"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, roots
}
