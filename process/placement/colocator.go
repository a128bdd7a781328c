package placement

import (
	"time"

	"github.com/tidwall/btree"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
)

// Colocator is the Scheduler of the product: it places services and batch tasks
// on the same workers under hard limits.
type Colocator struct {
	cfg      Config
	disabled map[Mechanism]bool
	snapshot *heatherhub.Snapshot
	preset   *heatherhub.Preset

	nodes     map[heatherhub.WorkerID]*node
	nodeOrder []*node
	racks     map[heatherhub.Rack]*rackGroup
	capacity  heatherhub.Resources
	// workersByCapacity counts the live workers of each capacity.
	workersByCapacity map[heatherhub.Resources]int
	// maxCapacity is the maxCapacity amount of each resource of any worker.
	maxCapacity heatherhub.Resources
	index       index
	// capacityVersion changes whenever a worker gets more capacityVersion.
	capacityVersion uint64

	entries    map[heatherhub.TaskID]*entry
	jobs       map[heatherhub.JobID]*job
	services   *queue
	urgent     *queue
	teams      map[heatherhub.TeamID]*team
	teamOrder  []*team
	quotaTotal heatherhub.Resources
	// evictable holds the running ordinary batch tasks by their last kept work.
	evictable        *btree.BTreeG[*entry]
	unschedulable    []*entry
	servicesReserved heatherhub.Resources
	profiles         map[heatherhub.WorkloadID]*profile
	slowdownModels   map[heatherhub.WorkloadID]*slowdownModel
	spreads          map[heatherhub.WorkloadID]*rackSpread

	evictionBudget evictionBudget
	// evictionCounts counts the evictions of unfinished tasks.
	evictionCounts map[heatherhub.TaskID]int
	evicting       []*entry
	// heldUnits lists the units for which workers are kept.
	heldUnits []*unit
	// sheddingNodes lists the nodes with tasks to shed.
	sheddingNodes  []*node
	movingReplicas map[heatherhub.WorkloadID]time.Time
	// reportedNodes lists the nodes with new usage; changing has the times of the
	// last measures against interference.
	reportedNodes []*node
	// toThrottle lists the tasks that have started and may need a throttle.
	toThrottle        []*entry
	recentMitigations []time.Time
	// suspendedNodes lists the nodes that are paused or quarantined.
	suspendedNodes []*node
	failedJobs     []*job
	jobsToPark     []*job

	actions       []Action
	nextNodeOrder int
	starts        int
	lastRetry     time.Time
}

var _ Scheduler = (*Colocator)(nil)

// New returns a Colocator without workers, tasks or configuration.
func New(cfg Config) *Colocator {
	c := &Colocator{
		cfg:               cfg.withDefaults(),
		disabled:          make(map[Mechanism]bool),
		snapshot:          &heatherhub.Snapshot{},
		nodes:             make(map[heatherhub.WorkerID]*node),
		racks:             make(map[heatherhub.Rack]*rackGroup),
		workersByCapacity: make(map[heatherhub.Resources]int),
		entries:           make(map[heatherhub.TaskID]*entry),
		jobs:              make(map[heatherhub.JobID]*job),
		profiles:          make(map[heatherhub.WorkloadID]*profile),
		slowdownModels:    make(map[heatherhub.WorkloadID]*slowdownModel),
		spreads:           make(map[heatherhub.WorkloadID]*rackSpread),
		evictionCounts:    make(map[heatherhub.TaskID]int),
		movingReplicas:    make(map[heatherhub.WorkloadID]time.Time),
		services:          newQueue(),
		urgent:            newQueue(),
		teams:             make(map[heatherhub.TeamID]*team),
		evictable:         btree.NewBTreeGOptions(latestCheckpointFirst, btree.Options{NoLocks: true, Degree: 16}),
		capacityVersion:   1,
	}
	for _, m := range cfg.Disabled {
		c.disabled[m] = true
	}
	return c
}

func (c *Colocator) enabled(m Mechanism) bool {
	return !c.disabled[m]
}

// SetSnapshot implements Scheduler.
func (c *Colocator) SetSnapshot(_ time.Time, s *heatherhub.Snapshot) {
	if s == c.snapshot {
		return
	}
	c.snapshot = s
	c.preset = s.PresetInForce()
	c.quotaTotal = heatherhub.Resources{}
	for _, t := range c.teamOrder {
		t.quota = heatherhub.Resources{}
	}
	for _, t := range s.Teams {
		c.teamOf(t.ID).quota = t.Quota
		c.quotaTotal = c.quotaTotal.Add(t.Quota)
	}
	for _, n := range c.nodeOrder {
		c.applyPreset(n)
	}
	c.reorderServices()
	c.capacityVersion++
	c.retryUnschedulable()
}

// PutWorker implements Scheduler.
func (c *Colocator) PutWorker(_ time.Time, h hostlist.Host) {
	id := heatherhub.WorkerID(h.ID)
	n, ok := c.nodes[id]
	if !ok {
		n = &node{id: id, order: c.nextNodeOrder, reservesAccelerators: c.enabled(MechanismAccelerators)}
		n.indexPosition = newIndexPosition(n)
		c.nextNodeOrder++
		c.nodes[id] = n
		c.nodeOrder = append(c.nodeOrder, n)
	} else {
		if n.host == h {
			return
		}
		c.subtractCapacity(n)
	}
	n.host = h
	c.setRack(n)
	c.addCapacity(n)
	c.applyPreset(n)
	c.capacityVersion++
	c.retryUnschedulable()
}

func (c *Colocator) setRack(n *node) {
	if n.rack != nil && n.rack.name == n.host.Rack {
		return
	}
	g, ok := c.racks[n.host.Rack]
	if !ok {
		g = &rackGroup{name: n.host.Rack}
		c.racks[n.host.Rack] = g
		for _, s := range c.spreads {
			s.order.Set(s.key(g))
		}
	}
	c.moveRack(n, g)
}

// moveRack takes a node, and the counts of its replicas, to another rack.
func (c *Colocator) moveRack(n *node, g *rackGroup) {
	for _, e := range n.services {
		s := c.spreadOf(e.task.Workload)
		s.adjust(n.rack, -1)
		s.adjust(g, 1)
	}
	if n.rack != nil {
		c.leaveRack(n)
	}
	g.nodes = append(g.nodes, n)
	n.rack = g
}

// leaveRack takes a node out of its rack, and forgets an empty rack.
func (c *Colocator) leaveRack(n *node) {
	g := n.rack
	g.remove(n)
	if len(g.nodes) > 0 {
		return
	}
	for _, s := range c.spreads {
		s.order.Delete(s.key(g))
		delete(s.counts, g)
	}
	delete(c.racks, g.name)
}

func (c *Colocator) addCapacity(n *node) {
	c.capacity = c.capacity.Add(n.host.Capacity)
	c.workersByCapacity[n.host.Capacity]++
	c.maxCapacity = maxResources(c.maxCapacity, n.host.Capacity)
}

func (c *Colocator) subtractCapacity(n *node) {
	c.capacity = c.capacity.Sub(n.host.Capacity)
	c.workersByCapacity[n.host.Capacity]--
	if c.workersByCapacity[n.host.Capacity] == 0 {
		delete(c.workersByCapacity, n.host.Capacity)
	}
	c.maxCapacity = heatherhub.Resources{}
	for capacity := range c.workersByCapacity {
		c.maxCapacity = maxResources(c.maxCapacity, capacity)
	}
}

// RemoveWorker implements Scheduler.
func (c *Colocator) RemoveWorker(now time.Time, id heatherhub.WorkerID) {
	n, ok := c.nodes[id]
	if !ok {
		return
	}
	for len(n.tasks) > 0 {
		c.Ended(now, n.tasks[0].task.ID, EndLost)
	}
	c.releaseHold(n)
	c.index.remove(n)
	c.subtractCapacity(n)
	c.leaveRack(n)
	delete(c.nodes, id)
	for i, o := range c.nodeOrder {
		if o == n {
			c.nodeOrder = append(c.nodeOrder[:i], c.nodeOrder[i+1:]...)
			break
		}
	}
}

// reindex files a node anew after its room or its state changed.
func (c *Colocator) reindex(n *node) {
	if c.nodes[n.id] == n {
		c.index.update(n)
	}
}
