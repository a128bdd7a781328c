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
	// RequestIdleTimeout is how long a connection for requests is kept idle.
	RequestIdleTimeout = 5 * time.Second
	// CommandIdleTimeout is how long a connection for commands is kept idle. It is
	// longer than RenewInterval, so an owner keeps its connections.
	CommandIdleTimeout = 10 * time.Second
	// CommandPingAfter is the silence on a connection for commands after which it
	// is pinged.
	CommandPingAfter = 2 * time.Second
)

// ClientConfig describes the connections to the workers.
type ClientConfig struct {
	// Platform is used for each worker, with the worker's address.
	Platform platform.Config
	// CommandTimeout bounds one command; zero for DefaultCommandTimeout.
	CommandTimeout time.Duration
	// RequestTraffic counts the bytes of requests; Platform.Traffic those of commands.
	RequestTraffic *platform.Traffic
	// RequestProtocol carries requests; ProtocolHTTP1 if empty.
	RequestProtocol platform.Protocol
}

// Client reaches the workers by the HTTP protocol. Commands to a worker share one
// HTTP/2 connection. Requests take an HTTP/1.1 connection each, as many as the
// worker has slots; one more waits, unsent. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig
	// mu guards changes; calls read the map without it.
	mu      sync.Mutex
	workers atomic.Pointer[map[heatherhub.WorkerID]*link]
}

// link is the way to one worker.
type link struct {
	address  string
	slots    int
	commands *platform.Client
	requests *platform.Client
	// last is the worker's last report; it is never changed.
	last atomic.Pointer[Report]
}

func (l *link) close() {
	l.commands.Close()
	l.requests.Close()
}

var (
	_ Controller = (*Client)(nil)
	_ Server     = (*Client)(nil)
)

// NewClient returns a client that knows no worker yet.
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
	c.workers.Store(&map[heatherhub.WorkerID]*link{})
	return c
}

// SetHosts replaces the known workers. Connections to workers that stay are kept.
func (c *Client) SetHosts(hosts []hostlist.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.workers.Load()
	next := make(map[heatherhub.WorkerID]*link, len(hosts))
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

// connect returns the present link of a worker if it still fits.
func (c *Client) connect(present *link, h hostlist.Host) *link {
	if present != nil && present.address == h.Address && present.slots == h.Slots {
		return present
	}
	cfg := c.cfg.Platform
	cfg.Address = h.Address
	requests := cfg
	requests.Protocol = c.cfg.RequestProtocol
	requests.MaxConnections = h.Slots
	requests.IdleTimeout = RequestIdleTimeout
	requests.Traffic = c.cfg.RequestTraffic
	return &link{address: h.Address, slots: h.Slots, commands: platform.NewClient(cfg), requests: platform.NewClient(requests)}
}

// Close ends idle connections.
func (c *Client) Close() {
	c.SetHosts(nil)
}

func (c *Client) link(id heatherhub.WorkerID) (*link, error) {
	l, ok := (*c.workers.Load())[id]
	if !ok {
		return nil, heatherhub.ErrUnavailable.New("worker %s is not in the host list: choose another one", id)
	}
	return l, nil
}

// Start runs a task.
func (c *Client) Start(ctx context.Context, id heatherhub.WorkerID, cmd StartCommand) error {
	return c.command(ctx, id, PathStart, cmd, nil)
}

// Checkpoint keeps a checkpoint of a running task.
func (c *Client) Checkpoint(ctx context.Context, id heatherhub.WorkerID, t heatherhub.TaskID) (heatherhub.CheckpointRef, error) {
	var r CheckpointReply
	err := c.command(ctx, id, PathCheckpoint, TaskCall{Task: t}, &r)
	return r.Checkpoint, err
}

// Throttle limits a task to a share of its processors.
func (c *Client) Throttle(ctx context.Context, id heatherhub.WorkerID, t heatherhub.TaskID, share heatherhub.Percent) error {
	return c.command(ctx, id, PathThrottle, ThrottleCall{Task: t, Share: share}, nil)
}

// Stop ends a task.
func (c *Client) Stop(ctx context.Context, id heatherhub.WorkerID, t heatherhub.TaskID) error {
	return c.command(ctx, id, PathStop, TaskCall{Task: t}, nil)
}

func (c *Client) command(ctx context.Context, id heatherhub.WorkerID, path string, in, out any) error {
	l, err := c.link(id)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	return l.commands.Call(ctx, platform.Msgpack, http.MethodPost, path, in, out)
}

// Serve sends a request to a replica and returns its whole answer.
func (c *Client) Serve(ctx context.Context, id heatherhub.WorkerID, r Request) (Answer, error) {
	l, err := c.link(id)
	if err != nil {
		return Answer{}, notRun(err)
	}
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout)
		defer cancel()
	}
	reply, err := l.requests.Send(ctx, platform.Request{Method: http.MethodPost, Path: PathServe, Header: r.header(), Body: r.Body})
	if err != nil {
		return Answer{}, notRun(err)
	}
	if reply.Header.Get(platform.HeaderCode) != "" {
		return Answer{}, notRun(reply.Err())
	}
	return ReadAnswer(r.ID, reply.Status, reply.Header, reply.Body)
}

// notRun gives an error that proves that nothing ran its one code.
func notRun(err error) error {
	if !heatherhub.DidNotRun(err) {
		return err
	}
	wait := heatherhub.RetryAfter(err)
	return heatherhub.WithRetryAfter(heatherhub.ErrNotRun.Wrap(err, "the replica did not run the request: choose another one"), wait)
}
