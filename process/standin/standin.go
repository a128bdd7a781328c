// Package standin is a small stand-in for the platform, for tests and for trying
// the scheduler out: the key-value service, the lagging host list and some
// workers, each on its own port, with faults that are switched by HTTP while it
// runs. The workers are the model of package model; the store is the engine of
// package connection/store/memory. It is no simulator.
//
// # Usage
//
//	s, err := standin.New(standin.Config{Listen: "127.0.0.1:7400", Hosts: standin.Fleet(standin.FleetConfig{Workers: 50})})
//	if err != nil {
//		return err
//	}
//	return s.Run(ctx)
//
// The store and the host list answer at the paths of packages store and
// hostlist. Besides them:
//
//	POST /faults   switches faults, a Faults in JSON; what is left out stays
//	GET  /audit    judges the promises by what the workers saw, an AuditReply;
//	               ?idempotent=ID names workloads whose requests may run twice
//	GET  /workers  lists what runs where
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	hostmemory "heatherhub.example/heatherhub/connection/hostlist/memory"
	"heatherhub.example/heatherhub/connection/platform"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/process/standin/model"
)

// DefaultWork is the work of one request on an idle worker.
const DefaultWork = 5 * time.Millisecond

// Config describes the platform.
type Config struct {
	// Listen is the IP and port of the store, the host list and the switches;
	// port 0 takes a free one. Workers take free ports of the same IP.
	Listen string
	// Hosts are the workers, and the entry hosts that are listed from the start.
	Hosts []hostlist.Host
	// HostListLag is the lag of the host list.
	HostListLag time.Duration
	// Store describes the key-value service. Its clock is replaced by Clock.
	Store memory.Config
	// Worker describes every worker; its host is replaced.
	Worker model.Config
	// Work is the work of one request by workload; DefaultWork for others.
	Work map[heatherhub.WorkloadID]time.Duration
	// Clock is nil for the real one.
	Clock  clockwork.Clock
	Log    *zap.Logger
	Tracer trace.TracerProvider
}

// Standin is a running platform.
type Standin struct {
	cfg       Config
	clock     clockwork.Clock
	tracer    trace.Tracer
	store     *memory.Store
	hosts     *hostmemory.List
	listener  net.Listener
	server    *http.Server
	workers   map[heatherhub.WorkerID]*workerServer
	partition *partition
	group     conc.WaitGroup
}

// New opens all ports and starts the workers. Run serves the rest; Close ends a
// platform that never ran.
func New(cfg Config) (*Standin, error) {
	cfg.setDefaults()
	s := &Standin{
		cfg:       cfg,
		clock:     cfg.Clock,
		tracer:    cfg.Tracer.Tracer("heatherhub/standin"),
		store:     memory.New(cfg.Store),
		workers:   make(map[heatherhub.WorkerID]*workerServer),
		partition: newPartition(),
	}
	var err error
	if s.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot listen on %s: choose another address", cfg.Listen)
	}
	if err := s.startWorkers(); err != nil {
		s.Close()
		return nil, err
	}
	s.hosts = hostmemory.New(hostmemory.Config{Clock: cfg.Clock, Lag: cfg.HostListLag, Hosts: s.listedHosts()})
	s.server = platform.NewServer(s.handler())
	return s, nil
}

func (cfg *Config) setDefaults() {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider()
	}
	if cfg.Worker.Checkpoints == nil {
		cfg.Worker.Checkpoints = model.NewCheckpoints()
	}
	cfg.Store.Clock = cfg.Clock
}

// Address is the IP and port of the store and the host list.
func (s *Standin) Address() string {
	return s.listener.Addr().String()
}

// Store returns the engine of the key-value service.
func (s *Standin) Store() *memory.Store {
	return s.store
}

// HostList returns the lagging list.
func (s *Standin) HostList() *hostmemory.List {
	return s.hosts
}

// Worker returns the model of a worker, or nil.
func (s *Standin) Worker(id heatherhub.WorkerID) *model.Worker {
	w, ok := s.workers[id]
	if !ok {
		return nil
	}
	return w.model
}

// Run serves until ctx ends.
func (s *Standin) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	s.cfg.Log.Info("platform is up", zap.String("address", s.Address()), zap.Int("workers", len(s.workers)))
	err := s.server.Serve(s.listener)
	s.Close()
	s.group.Wait()
	if !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return heatherhub.ErrUnavailable.Wrap(err, "the platform's port failed: start it again")
	}
	return nil
}

// Close ends all servers and their connections.
func (s *Standin) Close() {
	if s.server != nil {
		_ = s.server.Close()
	}
	_ = s.listener.Close()
	for _, w := range s.workers {
		w.close()
	}
}

func (s *Standin) startWorkers() error {
	ip, _, err := net.SplitHostPort(s.Address())
	if err != nil {
		return heatherhub.ErrInvalid.Wrap(err, "cannot read the address %s", s.Address())
	}
	for _, h := range s.cfg.Hosts {
		if h.Role != hostlist.RoleWorker {
			continue
		}
		if h.Address == "" {
			h.Address = net.JoinHostPort(ip, "0")
		}
		w, err := s.newWorkerServer(h)
		if err != nil {
			return err
		}
		s.workers[heatherhub.WorkerID(h.ID)] = w
	}
	return nil
}

// listedHosts returns all hosts with the ports that the workers took.
func (s *Standin) listedHosts() []hostlist.Host {
	var hosts []hostlist.Host
	for _, h := range s.cfg.Hosts {
		if w, ok := s.workers[heatherhub.WorkerID(h.ID)]; ok && h.Role == hostlist.RoleWorker {
			h = w.host
		}
		hosts = append(hosts, h)
	}
	return hosts
}
