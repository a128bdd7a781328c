// Package standin implements a fake platform, the stand-in, for tests and for
// running the scheduler locally. It serves the key-value service and the lagging
// host list on one port and each worker on its own port, and switches injected
// faults by HTTP while it runs. The workers are those of package model; the store
// is that of package connection/store/memory. The stand-in is meant for a small
// number of workers; it is not a simulator of a large fleet.
//
// # Usage
//
//	s, err := standin.New(standin.Config{Listen: "127.0.0.1:7400", Hosts: standin.Fleet(standin.FleetConfig{Workers: 50})})
//	if err != nil {
//		return err
//	}
//	return s.Run(ctx)
//
// The store and the host list use the paths of packages store and hostlist. The
// stand-in also serves:
//
//	POST /faults   switches the faults of a JSON Faults; absent fields stay as they are
//	GET  /audit    checks the workers' histories for violations and returns an
//	               AuditReply; ?idempotent=ID names workloads whose requests may
//	               run twice
//	GET  /workers  lists the workers and their tasks
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

// DefaultWork is the time that one request takes on an idle worker.
const DefaultWork = 5 * time.Millisecond

// Config configures the stand-in.
type Config struct {
	// Listen is the IP and port of the store, the host list and the fault
	// switches; port 0 takes a free one. Workers without an address listen on free
	// ports of the same IP.
	Listen string
	// Hosts is the initial host list: the workers, which the stand-in starts, and
	// entry hosts, which it only lists.
	Hosts []hostlist.Host
	// HostListLag is the age of the host list that readers get.
	HostListLag time.Duration
	// Store configures the key-value service; its clock is replaced by Clock.
	Store memory.Config
	// Worker configures every worker; its host is taken from Hosts.
	Worker model.Config
	// Work is the time that one request takes on an idle worker, by workload;
	// others take DefaultWork.
	Work map[heatherhub.WorkloadID]time.Duration
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Log and Tracer default to none.
	Log    *zap.Logger
	Tracer trace.TracerProvider
}

// Standin is a running fake platform. Its methods may be called concurrently.
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

// New opens all ports and serves the workers. Run serves the store and the host
// list; Close releases the ports of a stand-in that never ran.
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

// Address returns the IP and port of the store and the host list.
func (s *Standin) Address() string {
	return s.listener.Addr().String()
}

// Store returns the store behind the key-value service.
func (s *Standin) Store() *memory.Store {
	return s.store
}

// HostList returns the lagging host list.
func (s *Standin) HostList() *hostmemory.List {
	return s.hosts
}

// Worker returns the model of a worker, or nil if there is no such worker.
func (s *Standin) Worker(id heatherhub.WorkerID) *model.Worker {
	w, ok := s.workers[id]
	if !ok {
		return nil
	}
	return w.model
}

// Run serves until ctx ends and waits for the workers' servers. It returns
// ErrUnavailable if the platform's port fails earlier.
func (s *Standin) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	s.cfg.Log.Info("stand-in platform started", zap.String("address", s.Address()), zap.Int("workers", len(s.workers)))
	err := s.server.Serve(s.listener)
	s.Close()
	s.group.Wait()
	if !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return heatherhub.ErrUnavailable.Wrap(err, "the stand-in's port failed: start it again")
	}
	return nil
}

// Close closes all servers and their connections.
func (s *Standin) Close() {
	if s.server != nil {
		_ = s.server.Close()
	}
	_ = s.listener.Close()
	for _, w := range s.workers {
		w.close()
	}
}

// startWorkers opens and serves the port of each worker in the configuration.
func (s *Standin) startWorkers() error {
	ip, _, err := net.SplitHostPort(s.Address())
	if err != nil {
		return heatherhub.ErrInvalid.Wrap(err, "invalid listen address %s", s.Address())
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

// listedHosts returns the configured hosts with the addresses that the workers
// listen on.
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
