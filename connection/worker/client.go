package worker

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/platform"
)

const (
	// DefaultCommandTimeout bounds one command.
	DefaultCommandTimeout = 3 * time.Second
	// RequestIdleTimeout is how long an idle connection for requests is kept open.
	RequestIdleTimeout = 5 * time.Second
	// CommandIdleTimeout is how long an idle connection for commands is kept open. It
	// is longer than RenewInterval, so that renewals reuse the connection.
	CommandIdleTimeout = 10 * time.Second
	// CommandPingAfter is how long a connection for commands may receive nothing
	// before it is pinged.
	CommandPingAfter = 2 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Platform configures the connections to each worker; its Address is ignored.
	Platform platform.Config
	// CommandTimeout bounds one command; zero for DefaultCommandTimeout.
	CommandTimeout time.Duration
	// RequestTraffic counts the bytes of requests; Platform.Traffic those of commands.
	RequestTraffic *platform.Traffic
	// RequestProtocol is the protocol of requests; ProtocolHTTP1 if empty.
	RequestProtocol platform.Protocol
}

// Client sends commands and requests to workers over HTTP. Commands to a worker share
// one HTTP/2 connection. Each request uses an HTTP/1.1 connection of its own, up to the
// slots of the worker; further requests wait before they are sent. It is safe for
// concurrent use.
type Client struct {
	cfg ClientConfig
	// mu serializes SetHosts. Calls load the map without it.
	mu      sync.Mutex
	workers atomic.Pointer[map[heatherhub.WorkerID]*workerConn]
}

// workerConn holds the HTTP clients of one worker and its last report.
type workerConn struct {
	address  string
	slots    int
	commands *platform.Client
	requests *platform.Client
	// last is the worker's last report, or nil if a full one is needed. A stored
	// report is never modified.
	last atomic.Pointer[Report]
}

func (wc *workerConn) close() {
	wc.commands.Close()
	wc.requests.Close()
}

var (
	_ Controller = (*Client)(nil)
	_ Server     = (*Client)(nil)
)

// NewClient returns a client without workers; see SetHosts.
func NewClient(cfg ClientConfig) *Client {
	if cfg.CommandTimeout <= 0 {
		cfg.CommandTimeout = DefaultCommandTimeout
	}
	if cfg.RequestProtocol == "" {
		cfg.RequestProtocol = platform.ProtocolHTTP1
	}
	if cfg.Platform.PingAfter <= 0 {
		cfg.Platform.PingAfter = CommandPingAfter
	}
	if cfg.Platform.IdleTimeout <= 0 {
		cfg.Platform.IdleTimeout = CommandIdleTimeout
	}
	if cfg.Platform.MaxResponseBytes <= 0 {
		cfg.Platform.MaxResponseBytes = MaxRequestBytes
	}
	c := &Client{cfg: cfg}
	c.workers.Store(&map[heatherhub.WorkerID]*workerConn{})
	return c
}

// SetHosts replaces the workers. Connections to workers with the same address and
// slots are kept.
func (c *Client) SetHosts(hosts []hostlist.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.workers.Load()
	next := make(map[heatherhub.WorkerID]*workerConn, len(hosts))
	for _, h := range hosts {
		if h.Role == hostlist.RoleWorker {
			id := heatherhub.WorkerID(h.ID)
			next[id] = c.connect(old[id], h)
		}
	}
	c.workers.Store(&next)
	for id, w := range old {
		if next[id] != w {
			w.close()
		}
	}
}

// connect returns the current connection of a worker if its address and slots are
// unchanged, and a new one otherwise.
func (c *Client) connect(current *workerConn, h hostlist.Host) *workerConn {
	if current != nil && current.address == h.Address && current.slots == h.Slots {
		return current
	}
	cfg := c.cfg.Platform
	cfg.Address = h.Address
	requests := cfg
	requests.Protocol = c.cfg.RequestProtocol
	requests.MaxConnections = h.Slots
	requests.IdleTimeout = RequestIdleTimeout
	requests.Traffic = c.cfg.RequestTraffic
	return &workerConn{address: h.Address, slots: h.Slots, commands: platform.NewClient(cfg), requests: platform.NewClient(requests)}
}

// Close removes all workers and closes idle connections.
func (c *Client) Close() {
	c.SetHosts(nil)
}

func (c *Client) conn(id heatherhub.WorkerID) (*workerConn, error) {
	wc, ok := (*c.workers.Load())[id]
	if !ok {
		return nil, heatherhub.ErrUnavailable.New("worker %s is not in the host list: choose another worker", id)
	}
	return wc, nil
}

// Start starts a task.
func (c *Client) Start(ctx context.Context, id heatherhub.WorkerID, cmd StartCommand) error {
	return c.command(ctx, id, PathStart, cmd, nil)
}

// Checkpoint saves a checkpoint of a running task and returns its reference.
func (c *Client) Checkpoint(ctx context.Context, id heatherhub.WorkerID, t heatherhub.TaskID) (heatherhub.CheckpointRef, error) {
	var r CheckpointReply
	err := c.command(ctx, id, PathCheckpoint, TaskCall{Task: t}, &r)
	return r.Checkpoint, err
}

// Throttle limits a task to a share of its CPUs.
func (c *Client) Throttle(ctx context.Context, id heatherhub.WorkerID, t heatherhub.TaskID, share heatherhub.Percent) error {
	return c.command(ctx, id, PathThrottle, ThrottleCall{Task: t, Share: share}, nil)
}

// Stop stops a task.
func (c *Client) Stop(ctx context.Context, id heatherhub.WorkerID, t heatherhub.TaskID) error {
	return c.command(ctx, id, PathStop, TaskCall{Task: t}, nil)
}

func (c *Client) command(ctx context.Context, id heatherhub.WorkerID, path string, in, out any) error {
	wc, err := c.conn(id)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	return wc.commands.Call(ctx, platform.Msgpack, http.MethodPost, path, in, out)
}

// Serve sends a request to a replica and returns its complete answer.
func (c *Client) Serve(ctx context.Context, id heatherhub.WorkerID, r Request) (Answer, error) {
	wc, err := c.conn(id)
	if err != nil {
		return Answer{}, asNotRun(err)
	}
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout)
		defer cancel()
	}
	reply, err := wc.requests.Send(ctx, platform.Request{Method: http.MethodPost, Path: PathServe, Header: r.header(), Body: r.Body})
	if err != nil {
		return Answer{}, asNotRun(err)
	}
	if reply.Header.Get(platform.HeaderCode) != "" {
		return Answer{}, asNotRun(reply.Err())
	}
	return ReadAnswer(r.ID, reply.Status, reply.Header, reply.Body)
}

// asNotRun returns an error that proves that nothing ran as ErrNotRun, with its retry
// hint. Other errors are returned unchanged.
func asNotRun(err error) error {
	if !heatherhub.DidNotRun(err) {
		return err
	}
	retryAfter := heatherhub.RetryAfter(err)
	return heatherhub.WithRetryAfter(heatherhub.ErrNotRun.Wrap(err, "the replica did not run the request: choose another replica"), retryAfter)
}
