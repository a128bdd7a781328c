package entry_test

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/entry"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/connection/operatorapi"
	"heatherhub.example/heatherhub/process/standin"
)

// waitTimeout bounds the waits for entry hosts. It is generous, as a machine under load
// is slow; no assertion depends on it.
const waitTimeout = 30 * time.Second

const operatorToken = "a-token-of-some-length"

// writeKeys writes a self-signed certificate and its key, and returns the flags that use
// it as certificate and CA, and a pool with it.
func writeKeys(t *testing.T) (string, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for name, b := range map[string]*pem.Block{certFile: {Type: "CERTIFICATE", Bytes: cert}, keyFile: {Type: "EC PRIVATE KEY", Bytes: der}} {
		if err := os.WriteFile(name, pem.EncodeToMemory(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	parsed, err := x509.ParseCertificate(cert)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(parsed)
	return fmt.Sprintf("--peer-cert %[1]s --peer-key %[2]s --peer-ca %[1]s --operator-cert %[1]s --operator-key %[2]s", certFile, keyFile), roots
}

// servingLine is the log line with the listening addresses of an entry host.
type servingLine struct {
	Msg       string
	Operators string
}

// startEntry runs an entry host until ctx ends and returns its operator address.
func startEntry(ctx context.Context, t *testing.T, group *conc.WaitGroup, args string) string {
	t.Helper()
	var o entry.Options
	p, err := arg.NewParser(arg.Config{IgnoreEnv: true}, &o)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Parse(strings.Fields(args)); err != nil {
		t.Fatal(err)
	}
	lines, errOut := io.Pipe()
	address := make(chan string, 1)
	group.Go(func() {
		scan := bufio.NewScanner(lines)
		for scan.Scan() {
			var s servingLine
			if json.Unmarshal(scan.Bytes(), &s) == nil && s.Msg == "entry host serves" {
				address <- s.Operators
			}
		}
	})
	group.Go(func() {
		defer errOut.Close()
		if err := o.Run(ctx, &factory.Factory{IO: &streams.IO{Out: io.Discard, Err: errOut}}); err != nil {
			t.Errorf("got %v from the entry host, want a graceful shutdown", err)
		}
	})
	select {
	case a := <-address:
		return a
	case <-time.After(waitTimeout):
		t.Fatal("got no log line with the addresses, want the entry host to serve")
		return ""
	}
}

// startPlatform runs a stand-in for the platform until the test ends.
func startPlatform(t *testing.T) *standin.Standin {
	t.Helper()
	platform, err := standin.New(standin.Config{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = platform.Run(ctx) })
	t.Cleanup(func() {
		stop()
		group.Wait()
	})
	return platform
}

func commonFlags(platform *standin.Standin) string {
	return fmt.Sprintf("--store http://%s --entry-hosts 3 --drain-timeout 5s --caller-listen 127.0.0.1:0 "+
		"--operator-listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 ", platform.Address())
}

// TestStatusCountsUnownedShards stops the only host of a failure domain, whose shards no
// host of another domain takes over.
func TestStatusCountsUnownedShards(t *testing.T) {
	platform := startPlatform(t)
	ctx, stop := context.WithCancel(t.Context())
	leuven, stopLeuven := context.WithCancel(ctx)
	defer stopLeuven()
	var group conc.WaitGroup
	defer group.Wait()
	defer stop()
	common := commonFlags(platform) + "--shards gent=2,leuven=3 "
	client := newClient(t, operatorapi.Config{Address: startEntry(ctx, t, &group, common+"--id e1 --domain gent")})
	startEntry(leuven, t, &group, common+"--id e2 --domain leuven")
	for _, want := range []int{0, 3} {
		got := -1
		for end := time.Now().Add(waitTimeout); got != want && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			s, err := client.Status(ctx)
			if err != nil {
				t.Fatal(err)
			}
			got = s.UnownedShards
		}
		if got != want {
			t.Errorf("got %d unowned shards, want %d", got, want)
		}
		stopLeuven()
	}
}

// TestEntryHostsRequireMutualTLS runs two hosts with keys and one without, and asks the
// first which hosts it reaches. It also checks that operators need the token and that
// the client verifies the certificate.
func TestEntryHostsRequireMutualTLS(t *testing.T) {
	platform := startPlatform(t)
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer stop()

	common := commonFlags(platform) + "--domain gent --shards gent=2 "
	keyFlags, roots := writeKeys(t)
	secured := common + "--operator-token " + operatorToken + " " + keyFlags
	address := startEntry(ctx, t, &group, secured+" --id e1")
	startEntry(ctx, t, &group, secured+" --id e2")
	startEntry(ctx, t, &group, common+" --id intruder")

	client := newClient(t, operatorapi.Config{Address: "https://" + address, Token: operatorToken, Roots: roots})
	got := reachable(ctx, t, client, 3)
	want := map[heatherhub.HostID]bool{"e1": true, "e2": true, "intruder": false}
	for id, reached := range want {
		if got[id] != reached {
			t.Errorf("%s: got reachable %v, want %v", id, got[id], reached)
		}
	}
	_, err := newClient(t, operatorapi.Config{Address: "https://" + address, Roots: roots}).Status(ctx)
	if got, want := heatherhub.CodeOf(err), heatherhub.CodeDenied; got != want {
		t.Errorf("got %v without a token, want code %q", err, want)
	}
	_, err = newClient(t, operatorapi.Config{Address: "https://" + address, Token: operatorToken}).Status(ctx)
	if got, want := heatherhub.CodeOf(err), heatherhub.CodeDenied; got != want {
		t.Errorf("got %v from a port whose certificate is not signed by a known CA, want code %q", err, want)
	}
}

func newClient(t *testing.T, cfg operatorapi.Config) *operatorapi.Client {
	t.Helper()
	c, err := operatorapi.NewClient(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// reachable returns for each host whether it is reachable, as soon as n hosts are listed
// and two reachable, or the last state after waitTimeout.
func reachable(ctx context.Context, t *testing.T, c *operatorapi.Client, n int) map[heatherhub.HostID]bool {
	t.Helper()
	var got map[heatherhub.HostID]bool
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		list, err := c.Hosts(ctx)
		if err != nil {
			continue
		}
		got = make(map[heatherhub.HostID]bool)
		reached := 0
		for _, h := range list.Hosts {
			got[h.ID] = h.Reachable
			if h.Reachable {
				reached++
			}
		}
		if len(got) == n && reached >= 2 {
			return got
		}
	}
	return got
}
