package keys_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/peer/keys"
)

// certificateAuthority is a self-signed CA of a test.
type certificateAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	a := &certificateAuthority{key: newKey(t)}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "CA"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// write creates a key and a certificate for name, signed by a, and writes them to dir
// with the CA certificate of trusted.
func (a *certificateAuthority) write(t *testing.T, dir, name string, trusted *certificateAuthority) keys.Files {
	t.Helper()
	key := newKey(t)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	f := keys.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	writePEM(t, f.Cert, "CERTIFICATE", der)
	writePEM(t, f.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, f.CA, "CERTIFICATE", trusted.cert.Raw)
	return f
}

func writePEM(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func load(t *testing.T, f keys.Files, clock clockwork.Clock) *keys.Keys {
	t.Helper()
	k, err := keys.Load(f, clock)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// handshake connects client and server and returns the common name of the server's
// certificate and the errors of both sides.
func handshake(t *testing.T, client, server *tls.Config) (name string, clientErr, serverErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	clientEnd, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	serverEnd, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c, s := tls.Client(clientEnd, client), tls.Server(serverEnd, server)
	var group conc.WaitGroup
	group.Go(func() {
		if serverErr = s.HandshakeContext(t.Context()); serverErr == nil {
			_, serverErr = s.Write([]byte("x"))
		}
		_ = serverEnd.Close()
	})
	if clientErr = c.HandshakeContext(t.Context()); clientErr == nil {
		name = c.ConnectionState().PeerCertificates[0].Subject.CommonName
		_, clientErr = c.Read(make([]byte, 1))
	}
	_ = clientEnd.Close()
	group.Wait()
	return name, clientErr, serverErr
}

func TestBothSidesNeedACertificateOfTheCA(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	clock := clockwork.NewFakeClock()
	good := load(t, ours.write(t, t.TempDir(), "e1", ours), clock)
	other := load(t, ours.write(t, t.TempDir(), "e2", ours), clock)
	foreign := load(t, theirs.write(t, t.TempDir(), "x", ours), clock)
	old := other.Server()
	old.GetConfigForClient, old.MinVersion, old.MaxVersion = nil, tls.VersionTLS12, tls.VersionTLS12
	tests := []struct {
		name           string
		client, server *tls.Config
		want           bool
	}{
		{"two entry hosts", good.Client(), other.Server(), true},
		{"foreign client", foreign.Client(), other.Server(), false},
		{"foreign server", good.Client(), foreign.Server(), false},
		{"client without a certificate", &tls.Config{InsecureSkipVerify: true}, other.Server(), false},
		{"server with TLS 1.2", good.Client(), old, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, clientErr, serverErr := handshake(t, tt.client, tt.server)
			if got := clientErr == nil && serverErr == nil; got != tt.want {
				t.Errorf("got %v and %v, want success %v", clientErr, serverErr, tt.want)
			}
		})
	}
}

func TestChangedFilesAreReloaded(t *testing.T) {
	ca := newAuthority(t)
	clock := clockwork.NewFakeClock()
	dir := t.TempDir()
	server := load(t, ca.write(t, dir, "first", ca), clock)
	client := load(t, ca.write(t, t.TempDir(), "client", ca), clock)
	name := func() string {
		name, clientErr, serverErr := handshake(t, client.Client(), server.Server())
		if clientErr != nil || serverErr != nil {
			t.Fatalf("got %v and %v, want a handshake", clientErr, serverErr)
		}
		return name
	}
	if got, want := name(), "first"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	f := ca.write(t, dir, "second host", ca)
	clock.Advance(keys.CheckInterval)
	if got, want := name(), "second host"; got != want {
		t.Errorf("got %q after the change, want %q", got, want)
	}
	if err := os.WriteFile(f.Key, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	clock.Advance(keys.CheckInterval)
	if got, want := name(), "second host"; got != want {
		t.Errorf("got %q with a malformed file, want the last valid certificate %q", got, want)
	}
	if got, want := heatherhub.CodeOf(server.Err()), heatherhub.CodeInvalid; got != want {
		t.Errorf("got %v, want an error with code %q", server.Err(), want)
	}
}

func TestLoadNamesTheFile(t *testing.T) {
	ca := newAuthority(t)
	f := ca.write(t, t.TempDir(), "e1", ca)
	other := ca.write(t, t.TempDir(), "e2", ca)
	for _, wrong := range []keys.Files{
		{Cert: f.Cert, Key: f.Key, CA: "none.pem"},
		{Cert: f.Cert, Key: f.Key, CA: f.Key},
		{Cert: f.Cert, Key: other.Key, CA: f.CA},
		{Cert: f.Key, Key: f.Key, CA: f.CA},
	} {
		if _, err := keys.Load(wrong, clockwork.NewFakeClock()); heatherhub.CodeOf(err) != heatherhub.CodeInvalid {
			t.Errorf("got %v for %+v, want an error with code invalid", err, wrong)
		}
	}
}
