package placement

import (
	"time"

	"github.com/tidwall/btree"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
)

// Colocator is the Scheduler used in production. It places services and batch tasks
// on the same workers without exceeding the capacity of a worker or the preset's batch
// share.
type Colocator struct {
	cfg      Config
	disabled map[Mechanism]bool
	snapshot *heatherhub.Snapshot
	preset   *heatherhub.Preset

	nodes     map[heatherhub.WorkerID]*node
	nodeOrder []*node
	racks     map[heatherhub.Rack]*rackGroup
	capacity  heatherhub.Resources
	// workersByCapacity counts the known workers of each capacity.
	workersByCapacity map[heatherhub.Resources]int
	// maxCapacity is the largest amount of each resource on any worker.
	maxCapacity heatherhub.Resources
	index       index
	// capacityVersion increases whenever a worker may have more free resources, so
	// that blocked shapes are tried again.
	capacityVersion uint64

	entries    map[heatherhub.TaskID]*entry
	jobs       map[heatherhub.JobID]*job
	services   *queue
	urgent     *queue
	teams      map[heatherhub.TeamID]*team
	teamOrder  []*team
	quotaTotal heatherhub.Resources
	// evictable holds the running preemptible tasks outside of gangs, latest
	// checkpoint first.
	evictable     *btree.BTreeG[*entry]
	unschedulable []*entry
	// servicesReserved is the declared size of all placed replicas.
	servicesReserved heatherhub.Resources
	profiles         map[heatherhub.WorkloadID]*profile
	slowdownModels   map[heatherhub.WorkloadID]*slowdownModel
	spreads          map[heatherhub.WorkloadID]*rackSpread

	evictionBudget evictionBudget
	// evictionCounts counts the evictions of each unfinished task.
	evictionCounts map[heatherhub.TaskID]int
	// evicting holds the evicted tasks that may not have ended yet.
	evicting []*entry
	// heldUnits holds the units for which nodes are held.
	heldUnits []*unit
	// sheddingNodes holds the nodes from which tasks have to be removed.
	sheddingNodes []*node
	// movingReplicas holds, for each service, the time until which the move of one
	// replica delays the next move.
	movingReplicas map[heatherhub.WorkloadID]time.Time
	// reportedNodes holds the nodes with usage reports since the last Decide.
	reportedNodes []*node
	// toThrottle holds the tasks that have started since the last Decide and may
	// have to be throttled.
	toThrottle []*entry
	// recentMitigations holds the times of mitigations within the cooldown.
	recentMitigations []time.Time
	// suspendedNodes holds the nodes that are paused, quarantined or on probation.
	suspendedNodes []*node
	// failedJobs holds the jobs whose record is kept for failureRetention.
	failedJobs []*job
	jobsToPark []*job

	// actions and starts are the results of the current Decide.
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
		c.forgetFormerIncarnation(n, h.Incarnation)
	}
	n.host = h
	c.setRack(n)
	c.addCapacity(n)
	c.applyPreset(n)
	c.capacityVersion++
	c.retryUnschedulable()
}

// forgetFormerIncarnation drops what was learnt of a worker that has started again.
func (c *Colocator) forgetFormerIncarnation(n *node, next heatherhub.Incarnation) {
	if n.host.Incarnation != 0 && n.host.Incarnation != next {
		n.health, n.mitigation = health{}, mitigation{}
	}
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

// moveRack moves a node and its replica counts to another rack.
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

// leaveRack removes a node from its rack and deletes the rack if it is empty.
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

// reindex updates the index after a node's free resources or state changed. It
// ignores nodes that were removed.
func (c *Colocator) reindex(n *node) {
	if c.nodes[n.id] == n {
		c.index.update(n)
	}
}
