// Package scenario runs a whole small site in one process: the platform, the
// entry hosts as process/entry runs them, callers and operators, joined by a
// network in memory. Inside a testing/synctest bubble its time is virtual, so a
// scenario of minutes takes moments. It is for scripted scenarios of faults; it
// is no simulator of a fleet.
//
// # Usage
//
//	cl, err := scenario.New(scenario.Config{Hosts: 6, Workers: 12, Snapshot: s})
//	if err != nil {
//		return err
//	}
//	defer cl.Close()
//	sum := cl.Call(scenario.Calls{Workload: "compile", Count: 100, Every: 10 * time.Millisecond})
//	cl.SetStoreFaults(memory.Faults{Down: true})
//	report := cl.Audit()
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

// Times and sizes of the site.
const (
	hostListLag = time.Second
	// deadHostRemovalDelay is the time until the platform's list drops a dead host.
	deadHostRemovalDelay = 20 * time.Second
	usageLag             = 2 * time.Second
	shardsPerDomain      = 2
	rackSize             = 4
	balancerDelay        = 2 * time.Second
)

// Ports of an entry host.
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
	Workers    int
	// Capacity is what each worker holds.
	Capacity heatherhub.Resources
	// Snapshot is applied at the start.
	Snapshot         *heatherhub.Snapshot
	RequestDurations map[heatherhub.WorkloadID]time.Duration
	Seed             uint64
	Log              *zap.Logger
}

// Cluster is the running site.
type Cluster struct {
	cfg          Config
	network      *network
	store        *memory.Store
	hostList     *hostmemory.List
	fleet        *fleet
	group        conc.WaitGroup
	hostsStarted int
	outcomes     map[heatherhub.RequestID]callerOutcome

	// mu guards what follows.
	mu         sync.Mutex
	entryHosts []*host
	jobs       []heatherhub.Job
	// healthyAddresses are the callers' ports that passed the last health check.
	healthyAddresses []string
	lastHealthCheck  time.Time
}

// host is one entry host.
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
	lines := standin.Fleet(standin.FleetConfig{
		Workers: cl.cfg.Workers, Domains: cl.cfg.Domains, RackSize: rackSize,
		Capacity: cl.cfg.Capacity, Slots: 8, Connections: 60,
	})
	cl.fleet = &fleet{network: cl.network, requestDurations: cl.cfg.RequestDurations, workers: make(map[heatherhub.WorkerID]*model.Worker)}
	checkpoints := model.NewCheckpoints()
	for i := range lines {
		lines[i].Address = lines[i].ID
		cl.fleet.workers[heatherhub.WorkerID(lines[i].ID)] = model.New(model.Config{
			Host: lines[i], Seed: cl.cfg.Seed, UsageLag: usageLag, Checkpoints: checkpoints,
		})
	}
	cl.hostList = hostmemory.New(hostmemory.Config{Lag: hostListLag, Hosts: lines})
}

func (cl *Cluster) layout() shard.Layout {
	shards := make(map[heatherhub.FailureDomain]int)
	for _, d := range cl.cfg.Domains {
		shards[d] = shardsPerDomain
	}
	return shard.Layout{Shards: shards}
}

// announce puts a host into the platform's list unless its domain is cut off.
func (cl *Cluster) announce(d heatherhub.FailureDomain) func(context.Context, hostlist.Host) error {
	return func(_ context.Context, h hostlist.Host) error {
		if !cl.network.canReach(d, "") {
			return heatherhub.ErrUnavailable.New("the host list cannot be reached")
		}
		cl.hostList.Put(h)
		return nil
	}
}

// liveHosts returns the entry hosts that run.
func (cl *Cluster) liveHosts() []*host {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.Clone(cl.entryHosts)
}

// Owner returns the entry host that a live host of the domain takes for the
// owner of a shard.
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

// SetIsolatedDomains cuts off failure domains, and heals all others.
func (cl *Cluster) SetIsolatedDomains(domains ...heatherhub.FailureDomain) {
	cl.network.setIsolated(domains)
}

// SetStoreFaults sets the faults of the store.
func (cl *Cluster) SetStoreFaults(f memory.Faults) {
	cl.store.SetFaults(f)
}

// Worker returns the model of a worker, or an error that names it.
func (cl *Cluster) Worker(id heatherhub.WorkerID) (*model.Worker, error) {
	m, ok := cl.fleet.workers[id]
	if !ok {
		return nil, heatherhub.ErrNotFound.New("no worker %s", id)
	}
	return m, nil
}

// SetWorkerState sets the state of a worker in the platform's list.
func (cl *Cluster) SetWorkerState(id heatherhub.WorkerID, s hostlist.State) error {
	m, err := cl.Worker(id)
	if err != nil {
		return err
	}
	line := m.Host()
	line.State = s
	cl.hostList.Put(line)
	return nil
}

// transport makes HTTP connections from outside of all failure domains, one for
// each request.
func (cl *Cluster) transport() *http.Transport {
	dial := cl.network.dialer("")
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address)
		},
		DisableKeepAlives: true,
	}
}

// OperatorClient returns a client of the first entry host that can be reached.
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

// Close ends everything.
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
