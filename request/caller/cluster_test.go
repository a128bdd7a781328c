package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/request/caller"
	"heatherhub.example/heatherhub/request/endpoint"
	"heatherhub.example/heatherhub/request/route"
)

// cluster runs three entry hosts with real routers, owners and peer connections. The
// store and the workers are fakes. It records the messages of each hop.
type cluster struct {
	t     testing.TB
	clock *clockwork.FakeClock
	hosts map[heatherhub.HostID]*entryHost
	wg    conc.WaitGroup

	// body replaces the default body of the next requests unless it is empty.
	body string
	// skipRecording turns off the transcript.
	skipRecording bool

	mu    sync.Mutex
	lines []string
	keys  map[heatherhub.IdempotencyKey]route.Claim
	// serve is the behaviour of all replicas. Tests replace it.
	serve func(ctx context.Context, id heatherhub.WorkerID, r worker.Request) (worker.Answer, error)
	// settledKeys receives the key of each answer that is recorded in the store.
	settledKeys chan heatherhub.IdempotencyKey
}

// entryHost is an entry host of the cluster and its view of the cluster.
type entryHost struct {
	cluster *cluster
	id      heatherhub.HostID
	domain  heatherhub.FailureDomain
	handler *caller.Handler
	owner   *route.Owner
	client  *peer.Client
	// blackhole makes the open connections of client drop all data.
	blackhole func()
}

var (
	gent   = heatherhub.ShardID{Domain: "gent"}
	leuven = heatherhub.ShardID{Domain: "leuven"}
	owners = map[heatherhub.ShardID]heatherhub.HostID{gent: "e1", leuven: "e3"}
)

var snapshot = &heatherhub.Snapshot{
	Workloads: []heatherhub.Workload{
		{ID: "compile", Kind: heatherhub.KindService, Deadline: 20 * time.Second, Idempotent: true, Concurrency: 1},
		{ID: "firmware-push", Kind: heatherhub.KindService, Deadline: 20 * time.Second, Concurrency: 1},
	},
	Presets: []heatherhub.Preset{{ID: "ordinary"}},
	InForce: "ordinary",
}

// newCluster starts e1 and e2 in the domain gent and e3 in leuven. e1 owns the shard of
// gent and e3 that of leuven.
func newCluster(t testing.TB) *cluster {
	c := &cluster{
		t: t, clock: clockwork.NewFakeClock(), hosts: make(map[heatherhub.HostID]*entryHost),
		keys: make(map[heatherhub.IdempotencyKey]route.Claim), settledKeys: make(chan heatherhub.IdempotencyKey, 8),
	}
	c.serve = func(_ context.Context, id heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
		return answerOf(r.ID, string(id)+" did "+string(r.Body)), nil
	}
	t.Cleanup(c.wg.Wait) // runs after the cleanups that stop the servers
	addresses := make(map[heatherhub.HostID]string)
	for id, domain := range map[heatherhub.HostID]heatherhub.FailureDomain{"e1": "gent", "e2": "gent", "e3": "leuven"} {
		addresses[id] = c.addHost(id, domain)
	}
	for _, h := range c.hosts {
		h.client.SetAddresses(addresses)
	}
	return c
}

// addHost starts an entry host and returns the address of its peer port.
func (c *cluster) addHost(id heatherhub.HostID, domain heatherhub.FailureDomain) string {
	h := &entryHost{cluster: c, id: id, domain: domain}
	server := peer.NewServer(peer.ServerConfig{Self: id, MaxCalls: 64})
	dial := &blackholeDialer{}
	h.blackhole = dial.blackhole
	h.client = peer.NewClient(peer.ClientConfig{Self: id, Local: server, Clock: c.clock, Dial: dial.dial})
	peers := &recordingCaller{cluster: c, from: id, next: h.client}
	h.owner = route.NewOwner(route.OwnerConfig{
		Directory: h, Replicas: h, Keys: h, Workers: h, Peers: peers, Clock: c.clock,
		Endpoint: endpoint.Config{LostSlotTimeout: time.Millisecond},
	})
	server.Handle(peer.MethodServe, h.owner.Handler())
	router := route.NewRouter(route.RouterConfig{Directory: h, Peers: peers, Clock: c.clock})
	h.handler = caller.New(caller.Config{Router: router, Directory: h})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	c.wg.Go(func() { _ = server.Serve(l) })
	c.t.Cleanup(func() {
		h.owner.Close()
		h.client.Close()
		server.Close()
	})
	c.hosts[id] = h
	return l.Addr().String()
}

// answerOf returns a complete answer with status 200.
func answerOf(id heatherhub.RequestID, body string) worker.Answer {
	return worker.Answer{ID: id, Status: http.StatusOK, Body: []byte(body), Digest: worker.Digest([]byte(body))}
}

// record appends a line to the transcript.
func (c *cluster) record(format string, args ...any) {
	if c.skipRecording {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = append(c.lines, fmt.Sprintf(format, args...))
}

// post sends a caller's request to a host and records the request and the response. An
// empty key or a zero deadline sends no such header.
func (c *cluster) post(id heatherhub.HostID, workload, key, request string, deadline time.Duration) *httptest.ResponseRecorder {
	c.record("caller -> %s POST %s request=%s key=%s", id, workload, request, key)
	r := httptest.NewRequest(http.MethodPost, "/v1/services/"+workload, strings.NewReader(c.bodyOf(key, request)))
	r.Header.Set(caller.HeaderRequestID, request)
	if key != "" {
		r.Header.Set(caller.HeaderKey, key)
	}
	if deadline > 0 {
		r.Header.Set(caller.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	}
	rec := httptest.NewRecorder()
	c.hosts[id].handler.ServeHTTP(rec, r)
	c.record("caller <- %s %d %s retryAfter=%t %s", id, rec.Code, rec.Header().Get(caller.HeaderOutcome),
		rec.Header().Get("Retry-After") != "", normalize(rec.Body.String()))
	return rec
}

// bodyOf returns the body of a request. It is the same for all attempts with one key.
func (c *cluster) bodyOf(key, request string) string {
	switch {
	case c.body != "":
		return c.body
	case key != "":
		return "work for " + key
	}
	return "work of " + request
}

// normalize replaces retryAfterMs, which varies between runs, by N.
func normalize(body string) string {
	head, tail, ok := strings.Cut(strings.TrimSpace(body), `"retryAfterMs":`)
	if !ok {
		return head
	}
	return head + `"retryAfterMs":N` + strings.TrimLeft(tail, "0123456789")
}

// health records the response of a host to the load balancer's health check.
func (c *cluster) health(id heatherhub.HostID) {
	rec := httptest.NewRecorder()
	c.hosts[id].handler.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, caller.PathHealth, nil))
	c.record("balancer <- %s %d %s", id, rec.Code, strings.TrimSpace(rec.Body.String()))
}

func (h *entryHost) Self() (heatherhub.HostID, heatherhub.FailureDomain) { return h.id, h.domain }

func (h *entryHost) Places(heatherhub.WorkloadID) []route.Place {
	return []route.Place{{Shard: gent, Owner: "e1", Replicas: 2}, {Shard: leuven, Owner: "e3", Replicas: 1}}
}

func (h *entryHost) Owner(s heatherhub.ShardID) (heatherhub.HostID, bool) {
	id, ok := owners[s]
	return id, ok
}

// KeyShard assigns keys that begin with "far" to leuven, which has no replica of
// firmware-push.
func (h *entryHost) KeyShard(_ heatherhub.WorkloadID, key heatherhub.IdempotencyKey) heatherhub.ShardID {
	if strings.HasPrefix(string(key), "far") {
		return leuven
	}
	return gent
}

func (h *entryHost) Snapshot() *heatherhub.Snapshot { return snapshot }

// Replicas returns two replicas of each service in gent, and one in leuven of compile only.
func (h *entryHost) Replicas(workload heatherhub.WorkloadID) []route.Replica {
	replica := func(s heatherhub.ShardID, worker heatherhub.WorkerID) route.Replica {
		return route.Replica{Task: heatherhub.TaskID(string(workload) + ":" + string(worker)), Worker: worker, Shard: s, Slots: 1, Connections: 60}
	}
	switch {
	case h.id == "e1":
		return []route.Replica{replica(gent, "w1"), replica(gent, "w2")}
	case h.id == "e3" && workload == "compile":
		return []route.Replica{replica(leuven, "w3")}
	}
	return nil
}

func (h *entryHost) Claim(_ context.Context, _ heatherhub.ShardID, _ heatherhub.WorkloadID, key heatherhub.IdempotencyKey) (route.Claim, error) {
	h.cluster.mu.Lock()
	c, ok := h.cluster.keys[key]
	if !ok {
		h.cluster.keys[key] = route.Claim{State: route.ClaimUnknown}
		c = route.Claim{State: route.ClaimGranted}
	}
	h.cluster.mu.Unlock()
	h.cluster.record("%s -> store claim key=%s: %s", h.id, key, c.State)
	return c, nil
}

func (h *entryHost) Settle(_ heatherhub.ShardID, _ heatherhub.WorkloadID, key heatherhub.IdempotencyKey, a worker.Answer) {
	h.cluster.mu.Lock()
	h.cluster.keys[key] = route.Claim{State: route.ClaimAnswered, Answer: a}
	h.cluster.mu.Unlock()
	h.cluster.record("%s -> store settle key=%s", h.id, key)
	h.cluster.settledKeys <- key
}

func (h *entryHost) Release(_ heatherhub.ShardID, _ heatherhub.WorkloadID, key heatherhub.IdempotencyKey) {
	h.cluster.mu.Lock()
	delete(h.cluster.keys, key)
	h.cluster.mu.Unlock()
	h.cluster.record("%s -> store release key=%s", h.id, key)
}

// Serve sends a request from the owner on this host to a worker.
func (h *entryHost) Serve(ctx context.Context, id heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
	h.cluster.record("%s -> %s serve request=%s task=%s", h.id, id, r.ID, r.Task)
	a, err := h.cluster.serve(ctx, id, r)
	h.cluster.record("%s <- %s %s", h.id, id, outcome(err))
	return a, err
}

// outcome returns "answered" or the code of the error.
func outcome(err error) string {
	if err == nil {
		return "answered"
	}
	return string(heatherhub.CodeOf(err))
}

// recordingCaller records the calls from a host to others.
type recordingCaller struct {
	cluster *cluster
	from    heatherhub.HostID
	next    peer.Caller
}

func (r *recordingCaller) Call(ctx context.Context, to heatherhub.HostID, m peer.Method, body []byte) ([]byte, error) {
	r.cluster.record("%s -> %s %s", r.from, to, m)
	out, err := r.next.Call(ctx, to, m, body)
	r.cluster.record("%s <- %s %s", r.from, to, outcome(err))
	return out, err
}

// blackholeDialer dials connections that can be made to drop all data.
type blackholeDialer struct {
	mu    sync.Mutex
	conns []*blackholeConn
}

// blackholeConn discards writes and blocks reads until Close once dropped is closed.
type blackholeConn struct {
	net.Conn
	dropped chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func (d *blackholeDialer) dial(_ context.Context, address string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &blackholeConn{Conn: conn, dropped: make(chan struct{}), closed: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, c)
	return c, nil
}

// blackhole makes all connections that were dialed so far drop all data.
func (d *blackholeDialer) blackhole() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		close(c.dropped)
	}
	d.conns = nil
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	select {
	case <-c.dropped:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

func (c *blackholeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.dropped:
		<-c.closed
		return 0, io.EOF
	default:
		return n, err
	}
}

func (c *blackholeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// transcript returns the recorded lines.
func (c *cluster) transcript() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b bytes.Buffer
	for _, line := range c.lines {
		b.WriteString(line + "\n")
	}
	return b.Bytes()
}
