package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/platform"
)

// Paths of the HTTP protocol. Bodies are JSON.
const (
	// PathKey returns the Entry of ?key to GET, and takes a Write and returns a
	// WriteReply for POST.
	PathKey = "/store/key"
	// PathList returns the entries with ?prefix. GET.
	PathList = "/store/list"
	// PathLeases grants a lease: it takes a LeaseCall and returns a LeaseReply. POST.
	PathLeases = "/store/leases"
	// PathRenew and PathRevoke take a LeaseCall. POST.
	PathRenew  = "/store/leases/renew"
	PathRevoke = "/store/leases/revoke"
	// PathWatch waits for entries with ?prefix above revision ?after. GET.
	PathWatch = "/store/watch"
)

// MaxCallBytes bounds the body of a call, in bytes: a value in base64 and its key.
const MaxCallBytes = 2 * MaxValueBytes

// WriteReply is the answer to a write.
type WriteReply struct {
	Revision Revision `json:"revision"`
}

// LeaseCall grants, renews or revokes a lease. A grant sets TTLMs, in milliseconds; the
// others set ID.
type LeaseCall struct {
	ID    LeaseID `json:"id,omitempty"`
	TTLMs int64   `json:"ttlMs,omitempty"`
}

// LeaseReply is the answer to the grant of a lease.
type LeaseReply struct {
	ID LeaseID `json:"id"`
}

// Client is a Store that calls the key-value service over HTTP.
type Client struct {
	http *platform.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It connects on the first call.
func NewClient(cfg platform.Config) *Client {
	return &Client{http: platform.NewClient(cfg)}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	return read[Entry](ctx, c, PathKey+"?"+url.Values{"key": {key}}.Encode())
}

// List reads all keys with a prefix, in order of key.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	return read[[]Entry](ctx, c, PathList+"?"+url.Values{"prefix": {prefix}}.Encode())
}

// Watch waits for changes of keys with a prefix above a revision.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision) ([]Entry, error) {
	q := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(uint64(after), 10)}}
	return read[[]Entry](ctx, c, PathWatch+"?"+q.Encode())
}

// CompareAndSwap writes a key if it still has the expected revision.
func (c *Client) CompareAndSwap(ctx context.Context, w Write) (Revision, error) {
	if err := w.Check(); err != nil {
		return 0, err
	}
	var reply WriteReply
	err := c.http.Call(ctx, platform.JSON, http.MethodPost, PathKey, w, &reply)
	return reply.Revision, err
}

// GrantLease creates a lease. ttl is rounded down to milliseconds.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var reply LeaseReply
	err := c.http.Call(ctx, platform.JSON, http.MethodPost, PathLeases, LeaseCall{TTLMs: ttl.Milliseconds()}, &reply)
	return reply.ID, err
}

// RenewLease restarts the TTL of a lease.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) error {
	return c.http.Call(ctx, platform.JSON, http.MethodPost, PathRenew, LeaseCall{ID: id}, nil)
}

// RevokeLease ends a lease and deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	return c.http.Call(ctx, platform.JSON, http.MethodPost, PathRevoke, LeaseCall{ID: id}, nil)
}

// read sends a read. A lost answer is ErrUnavailable and not ErrUnknown, since a read
// changes nothing.
func read[Out any](ctx context.Context, c *Client, path string) (Out, error) {
	var out Out
	err := c.http.Call(ctx, platform.JSON, http.MethodGet, path, nil, &out)
	if isUnknown(err) {
		err = heatherhub.ErrUnavailable.Wrap(err, "the store's answer was lost: read again")
	}
	return out, err
}
