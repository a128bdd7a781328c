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

// Client makes calls to one address. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport *http.Transport
}

// NewClient returns a client. It makes no connection yet.
func NewClient(cfg Config) *Client {
	cfg.setDefaults()
	return &Client{cfg: cfg, transport: newTransport(cfg)}
}

// Close ends idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Request is one call.
type Request struct {
	Method string
	// Path has the query too.
	Path   string
	Header http.Header
	Body   []byte
}

// Send makes one call and reads the whole answer, whatever its status. The trace
// context of ctx goes along.
//
// The library repeats a call by itself only if it knows that no byte of it was
// read by the service. Do not send a header named Idempotency-Key: it would let
// the library repeat any call.
func (c *Client) Send(ctx context.Context, m Request) (Response, error) {
	var isSent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { isSent.Store(true) },
	})
	req, err := http.NewRequestWithContext(traced, m.Method, "http://"+c.cfg.Address+m.Path, bytes.NewReader(m.Body))
	if err != nil {
		return Response{}, heatherhub.ErrInvalid.Wrap(err, "cannot make a call to %s: check the address", c.cfg.Address)
	}
	if m.Header != nil {
		req.Header = m.Header
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
	return c.readReply(resp)
}

func (c *Client) sendError(err error, isSent bool) error {
	if !isSent {
		return heatherhub.ErrUnavailable.Wrap(err, "no connection to %s: check that it runs, or try another one", c.cfg.Address)
	}
	// Other idle connections may be as silent as this one.
	c.transport.CloseIdleConnections()
	return heatherhub.ErrUnknown.Wrap(err, "%s got the call and did not answer: look what took effect", c.cfg.Address)
}

func (c *Client) readReply(resp *http.Response) (Response, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxResponseBytes+1))
	if err != nil {
		return Response{}, heatherhub.ErrUnknown.Wrap(err, "the answer of %s is not whole: look what took effect", c.cfg.Address)
	}
	if int64(len(body)) > c.cfg.MaxResponseBytes {
		return Response{}, heatherhub.ErrUnknown.New("the answer of %s has more than %d bytes: raise the limit", c.cfg.Address, c.cfg.MaxResponseBytes)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// Call sends in and decodes the answer into out, each unless it is nil. An error
// that the service answered keeps its code.
func (c *Client) Call(ctx context.Context, codec Codec, method, path string, in, out any) error {
	m := Request{Method: method, Path: path, Header: make(http.Header, 4)}
	if in != nil {
		body, err := codec.marshal(in)
		if err != nil {
			return heatherhub.ErrInvalid.Wrap(err, "cannot encode the call %s", path)
		}
		m.Body = body
		m.Header.Set("Content-Type", codec.contentType)
	}
	reply, err := c.Send(ctx, m)
	if err != nil {
		return err
	}
	if err := reply.Err(); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := codec.unmarshal(reply.Body, out); err != nil {
		return heatherhub.ErrUnknown.Wrap(err, "cannot decode the answer of %s to %s: check that both run the same version", c.cfg.Address, path)
	}
	return nil
}
