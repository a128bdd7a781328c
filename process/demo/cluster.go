package demo

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/operatorapi"
	"heatherhub.example/heatherhub/process/entry"
	"heatherhub.example/heatherhub/process/standin"
	"heatherhub.example/heatherhub/process/standin/model"
)

// Cluster is one site in one process: the fake platform and the entry hosts, each
// with its own ports. Its methods may be called concurrently, except that only one
// goroutine may kill or replace hosts.
type Cluster struct {
	site     Site
	seed     uint64
	log      *zap.Logger
	platform *standin.Standin
	group    conc.WaitGroup
	ctx      context.Context
	stop     context.CancelFunc

	mu    sync.Mutex
	hosts []*entryHost
	// started is the number of entry hosts that were ever started, for their ids.
	started int
}

// entryHost is an entry host of the cluster.
type entryHost struct {
	id              heatherhub.HostID
	domain          heatherhub.FailureDomain
	entry           *entry.Entry
	callerAddress   string
	operatorAddress string
	// stop stops the entry host gracefully; done is closed when it has ended.
	stop context.CancelFunc
	done chan struct{}
}

// StartCluster starts the platform and all entry hosts of a site.
func StartCluster(ctx context.Context, site Site, seed uint64, log *zap.Logger) (*Cluster, error) {
	ctx, stop := context.WithCancel(ctx)
	c := &Cluster{site: site, seed: seed, log: log, ctx: ctx, stop: stop}
	var err error
	c.platform, err = standin.New(standin.Config{
		Hosts: standin.Fleet(site.Fleet), Work: site.Work, HostListLag: hostListLag,
		Worker: model.Config{
			Seed: seed, UsageLag: usageLag, Interference: site.Interference,
			SizeError: sizeError, RunTimeError: runTimeError,
		},
	})
	if err != nil {
		stop()
		return nil, err
	}
	c.group.Go(func() {
		if err := c.platform.Run(ctx); err != nil {
			log.Error("stand-in platform failed", zap.Error(err))
		}
	})
	for i := range site.EntryHosts {
		if err := c.StartHost(ctx, site.Fleet.Domains[i%len(site.Fleet.Domains)]); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// StartHost starts another entry host in a failure domain. It runs until ctx ends or
// the host is killed or replaced.
func (c *Cluster) StartHost(ctx context.Context, domain heatherhub.FailureDomain) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	id := heatherhub.HostID(fmt.Sprintf("%s-e%d", domain, c.started))
	h := &entryHost{id: id, domain: domain, done: make(chan struct{})}
	cfg, err := c.entryConfig(h, domain)
	if err != nil {
		return err
	}
	if h.entry, err = entry.New(cfg); err != nil {
		return err
	}
	ctx, h.stop = context.WithCancel(ctx)
	c.hosts = append(c.hosts, h)
	c.group.Go(func() {
		defer close(h.done)
		if err := h.entry.Run(ctx); err != nil {
			c.log.Warn("entry host failed", zap.String("id", string(h.id)), zap.Error(err))
		}
	})
	return nil
}

// entryConfig opens the ports of an entry host and returns its configuration.
func (c *Cluster) entryConfig(h *entryHost, domain heatherhub.FailureDomain) (entry.Config, error) {
	listeners, err := listen()
	if err != nil {
		return entry.Config{}, err
	}
	h.callerAddress = listeners.Callers.Addr().String()
	h.operatorAddress = listeners.Operators.Addr().String()
	registry := prometheus.NewRegistry()
	url := "http://" + c.platform.Address()
	platform, err := entry.ConnectHTTP(entry.HTTPConfig{
		Store: url, HostList: url, Domain: domain, EntryHosts: c.site.EntryHosts, Registerer: registry,
		Log: c.log.With(zap.String("host", string(h.id))),
	})
	if err != nil {
		return entry.Config{}, err
	}
	return entry.Config{
		Self: h.id, Domain: domain, Layout: c.site.layout(),
		Advertise: listeners.Peers.Addr().String(), Listeners: listeners, Platform: platform,
		BalancerDelay: balancerDelay, Registry: registry,
		Log: c.log.With(zap.String("host", string(h.id))),
	}, nil
}

// listen opens the three ports of an entry host on free ports of the loopback.
func listen() (entry.Listeners, error) {
	var open [3]net.Listener
	for i := range open {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return entry.Listeners{}, heatherhub.ErrUnavailable.Wrap(err, "cannot listen on a free port of 127.0.0.1: stop other processes")
		}
		open[i] = l
	}
	return entry.Listeners{Callers: open[0], Operators: open[1], Peers: open[2]}, nil
}

// Platform returns the fake platform.
func (c *Cluster) Platform() *standin.Standin {
	return c.platform
}

// OperatorClient returns a client of a running entry host's operator port. It
// returns ErrUnavailable if there is none.
func (c *Cluster) OperatorClient() (*operatorapi.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.hosts) == 0 {
		return nil, heatherhub.ErrUnavailable.New("no entry host is running")
	}
	return operatorapi.NewClient(operatorapi.Config{Address: c.hosts[0].operatorAddress})
}

// CallerAddresses returns the addresses of the caller ports of the running hosts.
func (c *Cluster) CallerAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	for _, h := range c.hosts {
		addresses = append(addresses, h.callerAddress)
	}
	return addresses
}

// removeLast removes the host that was started last from hosts and returns it.
func (c *Cluster) removeLast() *entryHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[len(c.hosts)-1]
	c.hosts = c.hosts[:len(c.hosts)-1]
	return h
}

// KillHost aborts an entry host as if its machine had failed. The platform's host
// list drops it after deadHostListDelay.
func (c *Cluster) KillHost() heatherhub.HostID {
	h := c.removeLast()
	h.entry.Abort()
	<-h.done
	h.stop()
	c.unlistLater(h.id)
	return h.id
}

// unlistLater removes a host from the platform's host list after deadHostListDelay.
func (c *Cluster) unlistLater(id heatherhub.HostID) {
	c.group.Go(func() {
		if sleepUntil(c.ctx, time.Now().Add(deadHostListDelay)) {
			c.platform.HostList().Remove(string(id))
		}
	})
}

// ReplaceHost stops an entry host gracefully and starts another in its failure
// domain. It returns the id of the one that was stopped.
func (c *Cluster) ReplaceHost(ctx context.Context) (heatherhub.HostID, error) {
	c.mu.Lock()
	h := c.hosts[len(c.hosts)-1]
	c.mu.Unlock()
	h.stop()
	<-h.done
	c.removeLast()
	c.unlistLater(h.id)
	return h.id, c.StartHost(ctx, h.domain)
}

// Close aborts the entry hosts, stops the platform and waits for both.
func (c *Cluster) Close() {
	c.mu.Lock()
	hosts := c.hosts
	c.hosts = nil
	c.mu.Unlock()
	for _, h := range hosts {
		h.entry.Abort()
	}
	for _, h := range hosts {
		<-h.done
		h.stop()
	}
	c.stop()
	c.group.Wait()
}
