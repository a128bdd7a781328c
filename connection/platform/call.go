package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"go.opentelemetry.io/otel/propagation"

	"heatherhub.example/heatherhub"
)

// Client sends requests to one address. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport *http.Transport
}

// NewClient returns a client. It connects on the first request.
func NewClient(cfg Config) *Client {
	cfg.setDefaults()
	return &Client{cfg: cfg, transport: newTransport(cfg)}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Request is one HTTP request.
type Request struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
}

// Send sends one request and reads the complete response, whatever its status. The
// trace context of ctx is propagated in the headers, which Send adds to r.Header.
//
// net/http retries a request on its own only if the service has read no byte of it.
// Do not set the header Idempotency-Key: net/http would then retry any request.
func (c *Client) Send(ctx context.Context, r Request) (Response, error) {
	var isSent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { isSent.Store(true) },
	})
	req, err := http.NewRequestWithContext(traced, r.Method, "http://"+c.cfg.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, heatherhub.ErrInvalid.Wrap(err, "cannot create a request to %s: check the address", c.cfg.Address)
	}
	if r.Header != nil {
		req.Header = r.Header
	}
	if c.cfg.Domain != "" {
		req.Header.Set(HeaderDomain, string(c.cfg.Domain))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return Response{}, c.sendError(err, isSent.Load())
	}
	defer resp.Body.Close()
	return c.readResponse(resp)
}

// sendError returns ErrUnavailable if the request was not given to a connection, and
// ErrUnknown otherwise, since the service may have run the request.
func (c *Client) sendError(err error, isSent bool) error {
	if !isSent {
		return heatherhub.ErrUnavailable.Wrap(err, "cannot connect to %s: check that it runs, or try another address", c.cfg.Address)
	}
	// Other idle connections may have stopped responding too.
	c.transport.CloseIdleConnections()
	return heatherhub.ErrUnknown.Wrap(err, "%s did not respond to a request: check whether it took effect", c.cfg.Address)
}

func (c *Client) readResponse(resp *http.Response) (Response, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxResponseBytes+1))
	if err != nil {
		return Response{}, heatherhub.ErrUnknown.Wrap(err, "the response of %s is incomplete: check whether the request took effect", c.cfg.Address)
	}
	if int64(len(body)) > c.cfg.MaxResponseBytes {
		return Response{}, heatherhub.ErrUnknown.New("the response of %s is larger than %d bytes: raise the limit", c.cfg.Address, c.cfg.MaxResponseBytes)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// Call sends in as the request body and decodes the response body into out; either may
// be nil. An error that the service returned keeps its code.
func (c *Client) Call(ctx context.Context, codec Codec, method, path string, in, out any) error {
	r := Request{Method: method, Path: path, Header: make(http.Header, 4)}
	if in != nil {
		body, err := codec.marshal(in)
		if err != nil {
			return heatherhub.ErrInvalid.Wrap(err, "cannot encode the request %s", path)
		}
		r.Body = body
		r.Header.Set("Content-Type", codec.contentType)
	}
	resp, err := c.Send(ctx, r)
	if err != nil {
		return err
	}
	if err := resp.Err(); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := codec.unmarshal(resp.Body, out); err != nil {
		return heatherhub.ErrUnknown.Wrap(err, "cannot decode the response of %s to %s: check that both run the same version", c.cfg.Address, path)
	}
	return nil
}
