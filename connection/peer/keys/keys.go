// Package keys makes TLS 1.3 configurations of key files, and reads the files
// again when they change, so that certificates are replaced without a restart.
//
// # Usage
//
//	k, err := keys.Load(keys.Files{Cert: "host.pem", Key: "host-key.pem", CA: "ca.pem"}, clock)
//	if err != nil {
//		return err // names the file and the remedy
//	}
//	server := k.Server() // demands a client certificate of the CA
//	client := k.Client() // shows its certificate, demands one of the CA
//
// Between entry hosts the CA says who is an entry host: hosts are addressed by IP
// and replaced at any time, so the name in a certificate is not compared. Issue
// certificates of this CA to entry hosts alone.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherhub.example/heatherhub"
)

// CheckInterval is the shortest time between two looks at the files.
const CheckInterval = 10 * time.Second

// Files are the names of PEM files.
type Files struct {
	Cert string
	Key  string
	// CA holds the certificates that sign the other side's; empty if the other
	// side shows none.
	CA string
}

// keyMaterial is what one reading of the files gave.
type keyMaterial struct {
	cert tls.Certificate
	ca   *x509.CertPool
	// versions are the sizes and times of the files.
	versions []fileVersion
}

// fileVersion tells two states of a file apart.
type fileVersion struct {
	size     int64
	modified time.Time
}

// Keys holds the last good keys. It is safe for concurrent use.
type Keys struct {
	files Files
	clock clockwork.Clock

	mu        sync.Mutex
	current   *keyMaterial
	lastCheck time.Time
	// reloadErr is why the last reading of changed files failed, or nil.
	reloadErr error
}

// Load reads the files. ErrInvalid names the file that is wrong.
func Load(f Files, clock clockwork.Clock) (*Keys, error) {
	m, err := readFiles(f)
	if err != nil {
		return nil, err
	}
	return &Keys{files: f, clock: clock, current: m, lastCheck: clock.Now()}, nil
}

// Server returns the configuration of the accepting side.
func (k *Keys) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.latest().serverConfig(), nil
		},
	}
}

// Client returns the configuration of the dialling side.
func (k *Keys) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.latest().cert, nil
		},
		// The chain is verified below, against the CA alone and not a name.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return k.latest().verifyServer(s)
		},
	}
}

// Err returns why changed files could not be read, while older keys are in use.
func (k *Keys) Err() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reloadErr
}

// latest returns the keys, read again if the files have changed. Files that are
// wrong leave the last good keys in use.
func (k *Keys) latest() *keyMaterial {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if now.Sub(k.lastCheck) < CheckInterval {
		return k.current
	}
	k.lastCheck = now
	versions, err := statFiles(k.files)
	if err == nil && sameVersions(versions, k.current.versions) {
		k.reloadErr = nil
		return k.current
	}
	m, err := readFiles(k.files)
	k.reloadErr = err
	if err == nil {
		k.current = m
	}
	return k.current
}

func (m *keyMaterial) serverConfig() *tls.Config {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert}}
	if m.ca != nil {
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
		cfg.ClientCAs = m.ca
	}
	return cfg
}

func (m *keyMaterial) verifyServer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return heatherhub.ErrDenied.New("the peer shows no certificate: give it one of the CA")
	}
	opts := x509.VerifyOptions{Roots: m.ca, Intermediates: x509.NewCertPool()}
	for _, c := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(opts); err != nil {
		return heatherhub.ErrDenied.Wrap(err, "the peer's certificate is not of the CA: issue it a new one")
	}
	return nil
}

func readFiles(f Files) (*keyMaterial, error) {
	versions, err := statFiles(f)
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, heatherhub.ErrInvalid.New("%s and %s are no certificate and key: %s: give PEM files that belong together", f.Cert, f.Key, err)
	}
	m := &keyMaterial{cert: cert, versions: versions}
	if f.CA == "" {
		return m, nil
	}
	data, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, heatherhub.ErrInvalid.New("cannot read the CA: %s: name a readable PEM file", err)
	}
	m.ca = x509.NewCertPool()
	if !m.ca.AppendCertsFromPEM(data) {
		return nil, heatherhub.ErrInvalid.New("%s holds no certificate: name a PEM file with the CA's certificates", f.CA)
	}
	return m, nil
}

func statFiles(f Files) ([]fileVersion, error) {
	var versions []fileVersion
	for _, name := range []string{f.Cert, f.Key, f.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return nil, heatherhub.ErrInvalid.New("cannot read a key file: %s: name a readable PEM file", err)
		}
		versions = append(versions, fileVersion{size: info.Size(), modified: info.ModTime()})
	}
	return versions, nil
}

func sameVersions(a, b []fileVersion) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].size != b[i].size || !a[i].modified.Equal(b[i].modified) {
			return false
		}
	}
	return true
}
