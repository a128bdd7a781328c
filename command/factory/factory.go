// Package factory provides the dependencies of the commands: the standard streams
// and the client of an entry host. Tests pass buffers as streams.
//
// # Usage
//
//	func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
//		client, err := f.Client()
//		if err != nil {
//			return err
//		}
//		return o.run(ctx, f.IO, client)
//	}
package factory

import (
	"crypto/x509"
	"os"
	"strings"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/connection/operatorapi"
)

// Target holds the global options that select and authenticate the entry host of the
// operator commands.
type Target struct {
	Entry     string        `arg:"--entry,env:HEATHERHUB_ENTRY" default:"127.0.0.1:7102" placeholder:"IP:PORT" help:"operator port of an entry host"`
	Token     string        `arg:"--token,env:HEATHERHUB_TOKEN" placeholder:"TOKEN" help:"token of the operator port"`
	TokenFile string        `arg:"--token-file,env:HEATHERHUB_TOKEN_FILE" placeholder:"FILE" help:"file that holds the token"`
	CA        string        `arg:"--ca,env:HEATHERHUB_CA" placeholder:"FILE" help:"certificates that sign the operator port's, PEM [default: those of the machine]"`
	Timeout   time.Duration `arg:"--timeout,env:HEATHERHUB_TIMEOUT" default:"10s" help:"longest time of one call"`
}

// Factory creates the dependencies of a command.
type Factory struct {
	IO     *streams.IO
	Target Target
}

// Client returns a client of the entry host. Errors are usage errors: a token or CA
// file that cannot be read, or an invalid address.
func (f *Factory) Client() (*operatorapi.Client, error) {
	token := f.Target.Token
	if f.Target.TokenFile != "" {
		data, err := os.ReadFile(f.Target.TokenFile)
		if err != nil {
			return nil, exitcode.UsageErrorf("cannot read the token: %s: name a readable file with --token-file", err)
		}
		token = strings.TrimSpace(string(data))
	}
	roots, err := f.Target.roots()
	if err != nil {
		return nil, err
	}
	return operatorapi.NewClient(operatorapi.Config{Address: f.Target.Entry, Token: token, Roots: roots, Timeout: f.Target.Timeout})
}

// roots returns the certificates of the CA file, or nil to use the system's.
func (t *Target) roots() (*x509.CertPool, error) {
	if t.CA == "" {
		return nil, nil
	}
	data, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, exitcode.UsageErrorf("cannot read the CA: %s: name a readable file with --ca", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, exitcode.UsageErrorf("%s contains no certificate: name a PEM file with --ca", t.CA)
	}
	return pool, nil
}

// CheckComplete returns ErrUnavailable if owners of some shards did not answer, so that
// a list lacks their entries. Callers print the partial list first.
func CheckComplete(missing []heatherhub.ShardID) error {
	if len(missing) == 0 {
		return nil
	}
	names := make([]string, len(missing))
	for i, s := range missing {
		names[i] = s.String()
	}
	return heatherhub.ErrUnavailable.New("the list is incomplete: no answer for shards %s: try again", strings.Join(names, ", "))
}
