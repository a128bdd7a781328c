// Package keys builds TLS 1.3 configurations from PEM files and reloads the files
// when they change, so that certificates are replaced without a restart.
//
// # Usage
//
//	k, err := keys.Load(keys.Files{Cert: "host.pem", Key: "host-key.pem", CA: "ca.pem"}, clock)
//	if err != nil {
//		return err // names the file and the remedy
//	}
//	server := k.Server() // requires a client certificate signed by the CA
//	client := k.Client() // sends its certificate, requires one signed by the CA
//
// Any holder of a certificate of the CA is trusted as an entry host: hosts are
// addressed by IP and replaced at any time, so host names are not verified. Issue
// certificates of this CA to entry hosts only.
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

// CheckInterval is the shortest time between two checks of the files for changes.
const CheckInterval = 10 * time.Second

// Files holds the paths of PEM files.
type Files struct {
	Cert string
	Key  string
	// CA is the file of the certificate authorities that sign the certificates of
	// the other side; empty if the other side has no certificate.
	CA string
}

// keyMaterial holds the parsed files. It is never modified after loading.
type keyMaterial struct {
	cert tls.Certificate
	ca   *x509.CertPool
	// versions identify the files that were read, for the detection of changes.
	versions []fileVersion
}

// fileVersion identifies the contents of a file by its size and modification time.
type fileVersion struct {
	size     int64
	modified time.Time
}

// Keys holds the last key material that was loaded without an error. It is safe for
// concurrent use.
type Keys struct {
	files Files
	clock clockwork.Clock

	mu        sync.Mutex
	current   *keyMaterial
	lastCheck time.Time
	// reloadErr is the error of the last reload, or nil.
	reloadErr error
}

// Load reads the files. A missing or malformed file is ErrInvalid, which names the
// file.
func Load(f Files, clock clockwork.Clock) (*Keys, error) {
	m, err := readFiles(f)
	if err != nil {
		return nil, err
	}
	return &Keys{files: f, clock: clock, current: m, lastCheck: clock.Now()}, nil
}

// Server returns the TLS configuration of a server.
func (k *Keys) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.latest().serverConfig(), nil
		},
	}
}

// Client returns the TLS configuration of a client.
func (k *Keys) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.latest().cert, nil
		},
		// VerifyConnection verifies the chain against the CA, without the host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return k.latest().verifyServer(s)
		},
	}
}

// Err returns the error of the last reload, or nil. After a failed reload the previous
// keys stay in use.
func (k *Keys) Err() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reloadErr
}

// latest returns the current keys. At most once per CheckInterval it reloads changed
// files; if that fails, the previous keys stay in use.
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
		return heatherhub.ErrDenied.New("the peer sent no certificate: issue it one signed by the CA")
	}
	opts := x509.VerifyOptions{Roots: m.ca, Intermediates: x509.NewCertPool()}
	for _, c := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(opts); err != nil {
		return heatherhub.ErrDenied.Wrap(err, "the peer's certificate cannot be verified with the CA: issue it a new one")
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
		return nil, heatherhub.ErrInvalid.New("cannot load certificate %s with key %s: %s: name PEM files that belong together", f.Cert, f.Key, err)
	}
	m := &keyMaterial{cert: cert, versions: versions}
	if f.CA == "" {
		return m, nil
	}
	data, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, heatherhub.ErrInvalid.New("cannot read the CA file: %s: name a readable PEM file", err)
	}
	m.ca = x509.NewCertPool()
	if !m.ca.AppendCertsFromPEM(data) {
		return nil, heatherhub.ErrInvalid.New("%s contains no certificate: name a PEM file with the CA certificates", f.CA)
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
