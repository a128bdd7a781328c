package operatorapi

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"heatherhub.example/heatherhub"
)

// Limits of the protocol and its client.
const (
	// MaxBodyBytes is the largest body of a request or a response.
	MaxBodyBytes = 8_000_000
	// DefaultTimeout bounds one call.
	DefaultTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = time.Minute
	// maxChangeAttempts bounds how often a change is sent while its answers are lost.
	maxChangeAttempts = 3
)

// Config configures a Client.
type Config struct {
	// Address is the IP and port of the host's operator port, or its URL.
	Address string
	// Token is sent as a bearer token unless empty.
	Token string
	// Roots are the CAs of an https address; nil for those of the system.
	Roots *x509.CertPool
	// Timeout bounds one call; zero for DefaultTimeout.
	Timeout time.Duration
	// Transport replaces the HTTP transport in tests; nil for the default.
	Transport http.RoundTripper
}

// Client calls the operator port of one entry host. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client. It connects on the first call. An invalid address is
// ErrInvalid.
func NewClient(cfg Config) (*Client, error) {
	base := cfg.Address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return nil, heatherhub.ErrInvalid.New("address %q is invalid: use an IP and a port, for example 127.0.0.1:7102", cfg.Address)
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Transport == nil {
		cfg.Transport = newTransport(cfg.Roots)
	}
	return &Client{
		base:  strings.TrimSuffix(base, "/"),
		token: cfg.Token,
		http:  &http.Client{Timeout: cfg.Timeout, Transport: cfg.Transport},
	}, nil
}

func newTransport(roots *x509.CertPool) *http.Transport {
	return &http.Transport{
		Proxy:               http.ProxyFromEnvironment,
		TLSClientConfig:     &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots},
		TLSHandshakeTimeout: DefaultTimeout,
		IdleConnTimeout:     idleTimeout,
	}
}

// Snapshot returns the configuration in force on the host.
func (c *Client) Snapshot(ctx context.Context) (*heatherhub.Snapshot, error) {
	return get[heatherhub.Snapshot](ctx, c, "/v1/snapshot")
}

// Apply replaces the teams, the workloads and the presets.
func (c *Client) Apply(ctx context.Context, r ApplyRequest) (*heatherhub.Snapshot, error) {
	return post[heatherhub.Snapshot](ctx, c, "/v1/snapshot", r)
}

// SwitchPreset activates a preset.
func (c *Client) SwitchPreset(ctx context.Context, id heatherhub.PresetID, r SwitchRequest) (*heatherhub.Snapshot, error) {
	return post[heatherhub.Snapshot](ctx, c, "/v1/presets/"+url.PathEscape(string(id))+"/switch", r)
}

// AddJob adds a job. Repeated calls with the same id add it once.
func (c *Client) AddJob(ctx context.Context, r JobRequest) (*JobView, error) {
	return post[JobView](ctx, c, "/v1/jobs", r)
}

// CancelJob cancels a job. A cancelled job stays cancelled, and cancelling it again has
// no effect.
func (c *Client) CancelJob(ctx context.Context, id heatherhub.JobID) (*JobView, error) {
	return post[JobView](ctx, c, "/v1/jobs/"+url.PathEscape(string(id))+"/cancel", struct{}{})
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id heatherhub.JobID) (*JobView, error) {
	return get[JobView](ctx, c, "/v1/jobs/"+url.PathEscape(string(id)))
}

// Jobs returns the jobs that match the filter.
func (c *Client) Jobs(ctx context.Context, f JobFilter) (*JobList, error) {
	q := url.Values{}
	if f.Workload != "" {
		q.Set("workload", string(f.Workload))
	}
	if f.State != "" {
		q.Set("state", string(f.State))
	}
	if f.Limit > 0 {
		q.Set("limit", strconv.Itoa(f.Limit))
	}
	return get[JobList](ctx, c, "/v1/jobs?"+q.Encode())
}

// Workers returns the workers that match the filter.
func (c *Client) Workers(ctx context.Context, f WorkerFilter) (*WorkerList, error) {
	q := url.Values{}
	if f.Domain != "" {
		q.Set("domain", string(f.Domain))
	}
	if f.WithTasks {
		q.Set("tasks", "true")
	}
	return get[WorkerList](ctx, c, "/v1/workers?"+q.Encode())
}

// Domains returns the failure domains.
func (c *Client) Domains(ctx context.Context) (*DomainList, error) {
	return get[DomainList](ctx, c, "/v1/domains")
}

// Hosts returns all entry hosts.
func (c *Client) Hosts(ctx context.Context) (*HostList, error) {
	return get[HostList](ctx, c, "/v1/hosts")
}

// Status returns the status of the host.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	return get[Status](ctx, c, "/v1/status")
}

func get[Out any](ctx context.Context, c *Client, path string) (*Out, error) {
	var out Out
	if err := c.call(ctx, http.MethodGet, path, nil, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// post sends a change and repeats it if the answer was lost. This is safe because the
// change has an id by which it takes effect once. If a repetition was only temporarily
// rejected, the outcome of the first attempt stays unknown, so ErrUnknown is returned.
func post[Out any](ctx context.Context, c *Client, path string, in any) (*Out, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot encode the change")
	}
	var out Out
	var lost error
	for range maxChangeAttempts {
		err = c.call(ctx, http.MethodPost, path, body, &out)
		if err == nil {
			return &out, nil
		}
		if !errors.Is(err, errLostAnswer) {
			break
		}
		lost = err
		if ctx.Err() != nil {
			break
		}
	}
	if lost != nil && isTemporaryRefusal(err) {
		return nil, lost
	}
	return nil, err
}

// isTemporaryRefusal reports whether an error rejects a call because of the state of
// the host or the owner, and not because of the call itself.
func isTemporaryRefusal(err error) bool {
	switch heatherhub.CodeOf(err) {
	case heatherhub.CodeUnavailable, heatherhub.CodeNotRun, heatherhub.CodeNotOwner:
		return true
	default:
		return false
	}
}

// errLostAnswer marks errors of calls that were sent but not answered.
var errLostAnswer = errors.New("no answer")

// lostAnswer is an ErrUnknown that also matches errLostAnswer.
type lostAnswer struct{ error }

// Is reports whether the target is errLostAnswer.
func (lostAnswer) Is(target error) bool { return target == errLostAnswer }

// Unwrap returns the ErrUnknown.
func (l lostAnswer) Unwrap() error { return l.error }

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return heatherhub.ErrInvalid.Wrap(err, "cannot make the request")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.transportError(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err != nil || len(data) > MaxBodyBytes {
		return lostAnswer{heatherhub.ErrUnknown.New("the answer of %s is incomplete: check whether the change took effect", c.base)}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return heatherhub.ErrUnknown.New("the answer of %s is not JSON: check that the address is an operator port", c.base)
	}
	return nil
}

// transportError returns ErrDenied or ErrUnavailable if the host was not reached, and a
// lostAnswer otherwise.
func (c *Client) transportError(err error) error {
	var certificate *tls.CertificateVerificationError
	if errors.As(err, &certificate) {
		return heatherhub.ErrDenied.New("the certificate of %s cannot be verified: %s: name its CA with --ca", c.base, certificate.Err)
	}
	var record tls.RecordHeaderError
	if errors.As(err, &record) {
		return heatherhub.ErrUnavailable.New("%s does not use TLS: use http:// instead of https://", c.base)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return heatherhub.ErrUnavailable.New("cannot reach the entry host at %s: check --entry, or name another entry host", c.base)
	}
	return lostAnswer{heatherhub.ErrUnknown.New("no answer from %s: check whether the change took effect, or repeat it with the same id", c.base)}
}

// responseError returns the typed error of a response. A response without an Error
// body, for example from a proxy, is ErrUnknown.
func responseError(resp *http.Response, data []byte) error {
	var e Error
	if err := json.Unmarshal(data, &e); err != nil || e.Code == heatherhub.CodeOK {
		return heatherhub.ErrUnknown.New("status %d without an error body: check that the address is an operator port", resp.StatusCode)
	}
	return heatherhub.ErrorFromCode(e.Code, e.Message, time.Duration(e.RetryAfterMs)*time.Millisecond)
}
