// Package scenario runs a complete small site in one process: the platform, the
// entry hosts of process/entry, callers and operators, connected by an in-memory
// network. Inside a testing/synctest bubble time is virtual, so a scenario
// of several minutes runs in seconds. The package is meant for scripted fault
// scenarios, not for the simulation of a large fleet.
//
// # Usage
//
//	cl, err := scenario.New(scenario.Config{Domains: domains, EntryHosts: 6, Workers: 12, Snapshot: s})
//	if err != nil {
//		return err
//	}
//	defer cl.Close()
//	counts := cl.SendRequests(scenario.RequestBatch{Workload: "compile", Count: 100, Interval: 10 * time.Millisecond})
//	cl.SetStoreFaults(memory.Faults{Down: true})
//	audit := cl.Audit()
package scenario

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	hostmemory "heatherhub.example/heatherhub/connection/hostlist/memory"
	"heatherhub.example/heatherhub/connection/operatorapi"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/process/entry"
	"heatherhub.example/heatherhub/process/shard"
	"heatherhub.example/heatherhub/process/standin"
	"heatherhub.example/heatherhub/process/standin/model"
)

// Timing and size of the simulated site.
const (
	// hostListLag is the delay until a change of the host list becomes visible.
	hostListLag = time.Second
	// deadHostRemovalDelay is the time after which the host list drops a dead host.
	deadHostRemovalDelay = 20 * time.Second
	// usageLag is the age of the resource usage that workers report.
	usageLag        = 2 * time.Second
	shardsPerDomain = 2
	// rackSize is the number of workers per rack.
	rackSize = 4
	// balancerDelay is the time until the load balancer notices a failing health
	// check.
	balancerDelay = 2 * time.Second
)

// Ports of an entry host, appended to its ID to form an address.
const (
	callerPort   = ":1"
	operatorPort = ":2"
	peerPort     = ":3"
)

// Config describes the site.
type Config struct {
	Domains []heatherhub.FailureDomain
	// EntryHosts is the number of entry hosts over all failure domains.
	EntryHosts int
	// Workers is the number of workers over all failure domains.
	Workers int
	// Capacity is the capacity of each worker.
	Capacity heatherhub.Resources
	// Snapshot is the configuration that New applies.
	Snapshot *heatherhub.Snapshot
	// RequestDurations is how long a worker takes to process a request.
	RequestDurations map[heatherhub.WorkloadID]time.Duration
	Seed             uint64
	// Log receives the entry hosts' logs; nil discards them.
	Log *zap.Logger
}

// Cluster is a running site. Close must be called to release its goroutines.
type Cluster struct {
	cfg          Config
	network      *network
	store        *memory.Store
	hostList     *hostmemory.List
	fleet        *fleet
	group        conc.WaitGroup
	hostsStarted int
	outcomes     map[heatherhub.RequestID]callerOutcome

	// mu guards the fields below.
	mu         sync.Mutex
	entryHosts []*host
	jobs       []heatherhub.Job
	// healthyAddresses are the caller addresses that passed the last health check.
	healthyAddresses []string
	lastHealthCheck  time.Time
}

// host is a running entry host. done is closed when its Run has returned.
type host struct {
	id     heatherhub.HostID
	domain heatherhub.FailureDomain
	entry  *entry.Entry
	stop   context.CancelFunc
	done   chan struct{}
}

// New starts the platform and the entry hosts, and applies the snapshot.
func New(cfg Config) (*Cluster, error) {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	cl := &Cluster{
		cfg: cfg, network: newNetwork(), store: memory.New(memory.Config{Seed: cfg.Seed}),
		outcomes: make(map[heatherhub.RequestID]callerOutcome),
	}
	cl.newFleet()
	for i := range cfg.EntryHosts {
		if err := cl.StartHost(cfg.Domains[i%len(cfg.Domains)]); err != nil {
			cl.Close()
			return nil, err
		}
	}
	if err := cl.applySnapshot(); err != nil {
		cl.Close()
		return nil, err
	}
	return cl, nil
}

func (cl *Cluster) newFleet() {
	workers := standin.Fleet(standin.FleetConfig{
		Workers: cl.cfg.Workers, Domains: cl.cfg.Domains, RackSize: rackSize,
		Capacity: cl.cfg.Capacity, Slots: 8, Connections: 60,
	})
	cl.fleet = &fleet{network: cl.network, requestDurations: cl.cfg.RequestDurations, workers: make(map[heatherhub.WorkerID]*model.Worker)}
	checkpoints := model.NewCheckpoints()
	for i := range workers {
		workers[i].Address = workers[i].ID
		cl.fleet.workers[heatherhub.WorkerID(workers[i].ID)] = model.New(model.Config{
			Host: workers[i], Seed: cl.cfg.Seed, UsageLag: usageLag, Checkpoints: checkpoints,
		})
	}
	cl.hostList = hostmemory.New(hostmemory.Config{Lag: hostListLag, Hosts: workers})
}

func (cl *Cluster) layout() shard.Layout {
	shards := make(map[heatherhub.FailureDomain]int)
	for _, d := range cl.cfg.Domains {
		shards[d] = shardsPerDomain
	}
	return shard.Layout{Shards: shards}
}

// announce returns the function with which hosts of a failure domain register in
// the host list. It fails while the domain is isolated.
func (cl *Cluster) announce(d heatherhub.FailureDomain) func(context.Context, hostlist.Host) error {
	return func(_ context.Context, h hostlist.Host) error {
		if !cl.network.canReach(d, "") {
			return heatherhub.ErrUnavailable.New("the host list cannot be reached")
		}
		cl.hostList.Put(h)
		return nil
	}
}

// liveHosts returns the running entry hosts, including those that are shutting down.
func (cl *Cluster) liveHosts() []*host {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.Clone(cl.entryHosts)
}

// Owner returns the owner of a shard as seen by the first live host of the shard's
// failure domain that knows one.
func (cl *Cluster) Owner(s heatherhub.ShardID) (heatherhub.HostID, error) {
	for _, h := range cl.liveHosts() {
		if h.domain != s.Domain {
			continue
		}
		if owner, ok := h.entry.Runtime().Owner(s); ok {
			return owner, nil
		}
	}
	return "", heatherhub.ErrNotFound.New("shard %s has no owner", s)
}

// SetIsolatedDomains isolates the given failure domains from everything outside them
// and reconnects all others.
func (cl *Cluster) SetIsolatedDomains(domains ...heatherhub.FailureDomain) {
	cl.network.setIsolated(domains)
}

// SetStoreFaults replaces the injected faults of the store.
func (cl *Cluster) SetStoreFaults(f memory.Faults) {
	cl.store.SetFaults(f)
}

// Worker returns the model of a worker, or ErrNotFound.
func (cl *Cluster) Worker(id heatherhub.WorkerID) (*model.Worker, error) {
	m, ok := cl.fleet.workers[id]
	if !ok {
		return nil, heatherhub.ErrNotFound.New("worker %s does not exist", id)
	}
	return m, nil
}

// SetWorkerState sets the state of a worker in the host list.
func (cl *Cluster) SetWorkerState(id heatherhub.WorkerID, s hostlist.State) error {
	m, err := cl.Worker(id)
	if err != nil {
		return err
	}
	listed := m.Host()
	listed.State = s
	cl.hostList.Put(listed)
	return nil
}

// transport returns an HTTP transport that connects from outside all failure
// domains and opens a new connection for each request.
func (cl *Cluster) transport() *http.Transport {
	dial := cl.network.dialer("")
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address)
		},
		DisableKeepAlives: true,
	}
}

// OperatorClient returns a client of the first reachable entry host.
func (cl *Cluster) OperatorClient() (*operatorapi.Client, error) {
	for _, h := range cl.liveHosts() {
		if cl.network.canReach("", h.domain) {
			return operatorapi.NewClient(operatorapi.Config{
				Address: string(h.id) + operatorPort, Transport: cl.transport(),
			})
		}
	}
	return nil, heatherhub.ErrUnavailable.New("no entry host can be reached")
}

// applySnapshot puts the snapshot in force.
func (cl *Cluster) applySnapshot() error {
	c, err := cl.OperatorClient()
	if err != nil {
		return err
	}
	_, err = c.Apply(context.Background(), operatorapi.ApplyRequest{EditID: "start", Snapshot: *cl.cfg.Snapshot})
	return err
}

// Close aborts all entry hosts and waits until they have ended.
func (cl *Cluster) Close() {
	hosts := cl.liveHosts()
	for _, h := range hosts {
		h.entry.Abort()
	}
	for _, h := range hosts {
		<-h.done
		h.stop()
	}
	cl.group.Wait()
}
