// Package entry assembles the process of one entry host: it serves callers,
// operators and peers, holds the configuration in force, owns shards and stops
// gracefully.
//
// # Usage
//
//	e, err := entry.New(entry.Config{Self: "e1", Domain: "gent", Platform: p, ...})
//	if err != nil {
//		return err
//	}
//	err = e.Run(ctx) // ends after a graceful stop when ctx ends
//
// The platform is met through interfaces alone, so another platform needs no
// more than another Platform.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard"
	"heatherhub.example/heatherhub/request/caller"
	"heatherhub.example/heatherhub/request/route"
	"heatherhub.example/heatherhub/version/config"
)

// Times of start and stop.
const (
	// DefaultDrainTimeout is the longest time of a planned stop.
	DefaultDrainTimeout = 30 * time.Second
	// DefaultBalancerDelay is the time in which the balancer notices that the
	// health check fails.
	DefaultBalancerDelay = 2 * time.Second
	// readyTimeout bounds the wait for the owners of all shards after a start.
	readyTimeout = 20 * time.Second
)

// Workers commands the workers and sends requests to them.
type Workers interface {
	worker.Controller
	worker.Server
	// SetHosts gives the addresses of the workers.
	SetHosts(hosts []hostlist.Host)
}

// Platform is everything outside that the process meets.
type Platform struct {
	Store   store.Store
	Hosts   hostlist.List
	Workers Workers
	// Announce puts this host into the platform's list; nil where the platform
	// lists hosts by itself.
	Announce func(ctx context.Context, h hostlist.Host) error
}

// Listeners are the open ports of the process.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Config has what an Entry needs.
type Config struct {
	Self   heatherhub.HostID
	Domain heatherhub.FailureDomain
	Layout shard.Layout
	// Advertise is the IP and port at which peers reach this host.
	Advertise string
	Listeners Listeners
	Platform  Platform
	// OperatorToken is demanded on the operator port if it is not empty.
	OperatorToken string
	// PeerServerTLS and PeerClientTLS protect peer connections; nil for none.
	PeerServerTLS *tls.Config
	PeerClientTLS *tls.Config
	// OperatorTLS protects the operator port; nil for none.
	OperatorTLS *tls.Config
	// PeerDial opens peer connections; nil dials TCP.
	PeerDial      peer.DialFunc
	DrainTimeout  time.Duration
	BalancerDelay time.Duration
	NewScheduler  func() placement.Scheduler
	Clock         clockwork.Clock
	Log           *zap.Logger
	Tracer        trace.Tracer
	Registry      *prometheus.Registry
}

func (cfg *Config) setDefaults() {
	if cfg.DrainTimeout == 0 {
		cfg.DrainTimeout = DefaultDrainTimeout
	}
	if cfg.BalancerDelay == 0 {
		cfg.BalancerDelay = DefaultBalancerDelay
	}
	if cfg.NewScheduler == nil {
		cfg.NewScheduler = func() placement.Scheduler { return placement.New(placement.Config{}) }
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if cfg.Registry == nil {
		cfg.Registry = prometheus.NewRegistry()
	}
}

// Entry is one entry host.
type Entry struct {
	cfg        Config
	started    time.Time
	hostList   *hostListCache
	keeper     *config.Keeper
	runtime    *shard.Runtime
	peerClient *peer.Client
	peerServer *peer.Server
	owner      *route.Owner
	callers    *caller.Handler
	group      conc.WaitGroup
	isLeaving  atomic.Bool
	wasReady   atomic.Bool
	aborted    chan struct{}
	abortOnce  sync.Once
}

// New makes an entry host. Nothing is served before Run.
func New(cfg Config) (*Entry, error) {
	cfg.setDefaults()
	if err := cfg.Layout.Check(); err != nil {
		return nil, err
	}
	if err := registerProcessCollectors(cfg.Registry); err != nil {
		return nil, err
	}
	e := &Entry{cfg: cfg, started: cfg.Clock.Now(), aborted: make(chan struct{})}
	e.hostList = newHostListCache(cfg.Platform.Hosts)
	e.keeper = config.New(config.Config{Store: cfg.Platform.Store, Clock: cfg.Clock, Log: cfg.Log, Registerer: cfg.Registry})
	e.newPeerPorts()
	e.newRuntime()
	e.newRequestHandlers()
	e.registerPeerHandlers()
	return e, nil
}

func registerProcessCollectors(r *prometheus.Registry) error {
	for _, c := range []prometheus.Collector{
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	} {
		if err := r.Register(c); err != nil {
			return heatherhub.ErrInvalid.Wrap(err, "the registry is used by another entry host: give each its own")
		}
	}
	return nil
}

func (e *Entry) newPeerPorts() {
	metrics := peer.NewMetrics(e.cfg.Registry)
	e.peerServer = peer.NewServer(peer.ServerConfig{
		Self: e.cfg.Self, TLS: e.cfg.PeerServerTLS, Clock: e.cfg.Clock,
		Log: e.cfg.Log, Tracer: e.cfg.Tracer, Metrics: metrics,
	})
	e.peerClient = peer.NewClient(peer.ClientConfig{
		Self: e.cfg.Self, Local: e.peerServer, Dial: e.cfg.PeerDial, TLS: e.cfg.PeerClientTLS, Clock: e.cfg.Clock,
		Log: e.cfg.Log, Tracer: e.cfg.Tracer, Metrics: metrics,
	})
	e.hostList.subscribe(e.setPeerAddresses)
	e.hostList.subscribe(e.cfg.Platform.Workers.SetHosts)
}

// setPeerAddresses gives the addresses of the listed entry hosts to the peer client.
func (e *Entry) setPeerAddresses(hosts []hostlist.Host) {
	addresses := make(map[heatherhub.HostID]string)
	for _, h := range hosts {
		if h.Role == hostlist.RoleEntry && h.ID != string(e.cfg.Self) {
			addresses[heatherhub.HostID(h.ID)] = h.Address
		}
	}
	e.peerClient.SetAddresses(addresses)
}

func (e *Entry) newRuntime() {
	e.runtime = shard.NewRuntime(shard.Config{
		Self: e.cfg.Self, Domain: e.cfg.Domain,
		Layout: e.cfg.Layout, Store: e.cfg.Platform.Store, Hosts: e.hostList,
		Workers: e.cfg.Platform.Workers, Peers: e.peerClient, Clock: e.cfg.Clock,
		NewScheduler: e.cfg.NewScheduler, Snapshot: e.keeper.Current,
		Logger: e.cfg.Log, Registerer: e.cfg.Registry, Tracer: e.cfg.Tracer,
	})
}

func (e *Entry) newRequestHandlers() {
	d := &directory{Runtime: e.runtime, self: e.cfg.Self, domain: e.cfg.Domain, keeper: e.keeper}
	metrics := route.NewMetrics(e.cfg.Registry)
	e.owner = route.NewOwner(route.OwnerConfig{
		Directory: d, Replicas: e.runtime, Keys: e.runtime, Workers: e.cfg.Platform.Workers,
		Peers: e.peerClient, Clock: e.cfg.Clock, Log: e.cfg.Log, Tracer: e.cfg.Tracer, Metrics: metrics,
	})
	router := route.NewRouter(route.RouterConfig{
		Directory: d, Peers: e.peerClient, Clock: e.cfg.Clock,
		Log: e.cfg.Log, Tracer: e.cfg.Tracer, Metrics: metrics,
	})
	e.callers = caller.New(caller.Config{
		Router: router, Directory: d, Ready: e.isReady, Log: e.cfg.Log, Tracer: e.cfg.Tracer,
		Metrics: caller.NewMetrics(e.cfg.Registry),
	})
}

// isReady reports whether this host has a configuration and knows the owner of
// every shard. Shards that no host can name, for example of a failure domain
// that is cut off, hold a start up for readyTimeout at most. Once ready, a host
// stays so: what it cannot serve is refused as not run, the rest is served.
func (e *Entry) isReady() bool {
	if e.wasReady.Load() {
		return true
	}
	if e.keeper.Current().PresetInForce() == nil {
		return false
	}
	if e.cfg.Clock.Since(e.started) < readyTimeout && !e.knowsAllOwners() {
		return false
	}
	e.wasReady.Store(true)
	return true
}

func (e *Entry) knowsAllOwners() bool {
	for _, s := range e.cfg.Layout.All() {
		if _, ok := e.runtime.Owner(s); !ok {
			return false
		}
	}
	return true
}

// Keeper returns the keeper of the configuration in force on this host.
func (e *Entry) Keeper() *config.Keeper {
	return e.keeper
}

// Runtime returns the shards of this host.
func (e *Entry) Runtime() *shard.Runtime {
	return e.runtime
}
