// Package entry assembles the process of one entry host: it serves callers,
// operators and peers, holds the configuration in force, owns shards and shuts
// down gracefully.
//
// # Usage
//
//	e, err := entry.New(entry.Config{Self: "e1", Domain: "gent", Platform: p, ...})
//	if err != nil {
//		return err
//	}
//	err = e.Run(ctx) // shuts down gracefully when ctx is cancelled
//
// The platform is used only through interfaces, so a port to another platform
// needs only another Platform value.
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
	"heatherhub.example/heatherhub/connection/inbound"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard"
	"heatherhub.example/heatherhub/request/caller"
	"heatherhub.example/heatherhub/request/route"
	"heatherhub.example/heatherhub/version/config"
)

// Timeouts of startup and shutdown.
const (
	// DefaultDrainTimeout bounds a graceful shutdown.
	DefaultDrainTimeout = 30 * time.Second
	// DefaultBalancerDelay is the time that the load balancer needs to notice a
	// failing health check.
	DefaultBalancerDelay = 2 * time.Second
	// readyTimeout bounds how long a starting host waits until every shard has a
	// known owner.
	readyTimeout = 20 * time.Second
)

// Workers sends task commands and service requests to the workers.
type Workers interface {
	worker.Controller
	worker.Server
	// SetHosts replaces the list from which worker addresses are resolved.
	SetHosts(hosts []hostlist.Host)
}

// Platform holds the external services that an entry host depends on.
type Platform struct {
	Store   store.Store
	Hosts   hostlist.List
	Workers Workers
	// Announce registers this host in the platform's host list; nil if the
	// platform lists hosts by itself.
	Announce func(ctx context.Context, h hostlist.Host) error
}

// Listeners holds the open ports of the process. Run closes them.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Config configures an Entry. Zero durations and nil Clock, Log, Tracer, Registry
// and NewScheduler select defaults.
type Config struct {
	Self   heatherhub.HostID
	Domain heatherhub.FailureDomain
	Layout shard.Layout
	// Advertise is the IP address and port at which peers reach this host.
	Advertise string
	Listeners Listeners
	Platform  Platform
	// OperatorToken is required on the operator port unless it is empty.
	OperatorToken string
	// PeerServerTLS and PeerClientTLS secure peer connections; nil disables TLS.
	PeerServerTLS *tls.Config
	PeerClientTLS *tls.Config
	// OperatorTLS secures the operator port; nil disables TLS.
	OperatorTLS *tls.Config
	// Machine has the limits of the process. Zero values mean DefaultMachine.
	Machine inbound.Machine
	// PeerDial opens peer connections; nil dials TCP.
	PeerDial peer.DialFunc
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// BalancerDelay is how long a shutdown waits for the load balancer to stop
	// sending requests to this host.
	BalancerDelay time.Duration
	NewScheduler  func() placement.Scheduler
	Clock         clockwork.Clock
	Log           *zap.Logger
	Tracer        trace.Tracer
	// Registry receives the metrics; entry hosts in one process can't share it.
	Registry *prometheus.Registry
}

// DefaultMachine has the default limits of a process.
var DefaultMachine = inbound.Machine{MemoryBytes: 1024e6, Sockets: 4100 - inbound.FileDescriptors}

func (cfg *Config) setDefaults() {
	if cfg.Machine.MemoryBytes == 0 {
		cfg.Machine.MemoryBytes = DefaultMachine.MemoryBytes
	}
	if cfg.Machine.Sockets == 0 {
		cfg.Machine.Sockets = DefaultMachine.Sockets
	}
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

// Entry is one entry host. Run may be called once.
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

// New creates an entry host, which serves nothing before Run. It fails if the
// layout is invalid or the registry belongs to another entry host.
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
			return heatherhub.ErrInvalid.Wrap(err, "the metrics registry is already used by another entry host: give each host its own")
		}
	}
	return nil
}

func (e *Entry) newPeerPorts() {
	metrics := peer.NewMetrics(e.cfg.Registry)
	e.peerServer = peer.NewServer(peer.ServerConfig{
		Self: e.cfg.Self, TLS: e.cfg.PeerServerTLS, Clock: e.cfg.Clock,
		Log: e.cfg.Log, Tracer: e.cfg.Tracer, Metrics: metrics,
		// The gate of the port closes connections first. The server forgets them a moment later.
		MaxConnections: 2 * e.maxPeers(),
	})
	e.peerClient = peer.NewClient(peer.ClientConfig{
		Self: e.cfg.Self, Local: e.peerServer, Dial: e.cfg.PeerDial, TLS: e.cfg.PeerClientTLS, Clock: e.cfg.Clock,
		Log: e.cfg.Log, Tracer: e.cfg.Tracer, Metrics: metrics,
	})
	e.hostList.subscribe(e.setPeerAddresses)
	e.hostList.subscribe(e.cfg.Platform.Workers.SetHosts)
}

// setPeerAddresses updates the peer client with the addresses of the other listed
// entry hosts.
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
// every shard. Shards without a known owner, such as those of an isolated failure
// domain, delay readiness by readyTimeout at most. Once ready, a host stays ready:
// it rejects requests that it cannot serve as not run, and serves the others.
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

// Keeper returns the holder of the configuration in force on this host.
func (e *Entry) Keeper() *config.Keeper {
	return e.keeper
}

// Runtime returns the runtime of the shards on this host.
func (e *Entry) Runtime() *shard.Runtime {
	return e.runtime
}
