package placement

import (
	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
)

// acceleratorReserve is the percentage of each idle accelerator's proportional share of
// processors and memory that is reserved for tasks with accelerators.
const acceleratorReserve = heatherhub.Percent(100)

// resourceTotals sums the sizes of tasks on a node.
type resourceTotals struct {
	// reserved sums the declared sizes.
	reserved heatherhub.Resources
	// planned sums the planned sizes.
	planned heatherhub.Resources
}

func (t *resourceTotals) add(e *entry) {
	t.reserved = t.reserved.Add(e.task.Size)
	t.planned = t.planned.Add(e.planned)
}

func (t *resourceTotals) sub(e *entry) {
	t.reserved = t.reserved.Sub(e.task.Size)
	t.planned = t.planned.Sub(e.planned)
}

// committed returns the larger of both sums for each resource.
func (t *resourceTotals) committed() heatherhub.Resources {
	return maxResources(t.reserved, t.planned)
}

// node is the scheduler's record of one worker.
type node struct {
	host  hostlist.Host
	id    heatherhub.WorkerID
	order int
	rack  *rackGroup
	// all covers all tasks on the node, batch those that are no replicas.
	all   resourceTotals
	batch resourceTotals
	// tasks holds the entries with a reservation, in no particular order.
	tasks []*entry
	// services holds the replicas among tasks.
	services      []*entry
	indexPosition indexPosition
	batchShare    heatherhub.Percent
	// reservesAccelerators reserves resources for idle accelerators.
	reservesAccelerators bool
	// drained means that the preset drains the node's rack or domain.
	drained bool
	// hold is the unit for which the node is held, or nil.
	hold *unit
	// isShedding means that the node is in Colocator.sheddingNodes.
	isShedding bool
	health     health
	mitigation mitigation
}

// live reports whether the worker is live and not drained by the preset.
func (n *node) live() bool {
	return n.host.State == hostlist.StateLive && !n.drained
}

// open reports whether tasks of a scope may start on the node. A node that is held for
// a batch task stays open to services and urgent tasks.
func (n *node) open(scope capacityScope) bool {
	isHeld := n.hold != nil && (scope == scopeBatch || n.hold.shape.scope == scopeFull)
	return n.live() && !isHeld && n.health.admits(len(n.tasks))
}

// free returns the resources that tasks of a scope can still use, by planned sizes. It
// can be negative.
func (n *node) free(scope capacityScope) heatherhub.Resources {
	free := n.host.Capacity.Sub(n.all.committed())
	if scope == scopeFull {
		return free
	}
	limit := percentOf(n.host.Capacity, n.batchShare)
	batchFree := limit.Sub(n.batch.committed())
	free.CPU = min(free.CPU, batchFree.CPU)
	free.Memory = min(free.Memory, batchFree.Memory)
	return free
}

// unreserved returns the part of free that is not reserved for idle accelerators.
func (n *node) unreserved(free heatherhub.Resources) heatherhub.Resources {
	if !n.reservesAccelerators {
		return free
	}
	idle := n.host.Capacity.Accelerators - n.all.reserved.Accelerators
	reserve := percentOf(n.host.Capacity, acceleratorReserve*heatherhub.Percent(idle)/heatherhub.Percent(n.host.Capacity.Accelerators))
	free.CPU -= reserve.CPU
	free.Memory -= reserve.Memory
	return free
}

// declaredFree returns the resources that tasks of a scope can still reserve, by
// declared sizes.
func (n *node) declaredFree(scope capacityScope) heatherhub.Resources {
	free := n.host.Capacity.Sub(n.all.reserved)
	if scope == scopeFull {
		return free
	}
	batchFree := percentOf(n.host.Capacity, n.batchShare).Sub(n.batch.reserved)
	free.CPU = min(free.CPU, batchFree.CPU)
	free.Memory = min(free.Memory, batchFree.Memory)
	return free
}

// available returns the free resources for a request: all of them if it includes
// accelerators, otherwise without those reserved for idle accelerators.
func (n *node) available(scope capacityScope, request heatherhub.Resources) heatherhub.Resources {
	free := n.free(scope)
	if request.Accelerators == 0 && n.host.Capacity.Accelerators > 0 {
		return n.unreserved(free)
	}
	return free
}

// add places an entry on the node and counts its sizes.
func (n *node) add(e *entry) {
	e.node = n
	e.taskIndex = len(n.tasks)
	n.tasks = append(n.tasks, e)
	n.all.add(e)
	if !e.isService() {
		n.batch.add(e)
		return
	}
	e.serviceIndex = len(n.services)
	n.services = append(n.services, e)
}

// drop removes an entry from the node and frees its sizes.
func (n *node) drop(e *entry) {
	last := n.tasks[len(n.tasks)-1]
	n.tasks[e.taskIndex] = last
	last.taskIndex = e.taskIndex
	n.tasks[len(n.tasks)-1] = nil
	n.tasks = n.tasks[:len(n.tasks)-1]
	n.all.sub(e)
	e.node = nil
	if !e.isService() {
		n.batch.sub(e)
		return
	}
	last = n.services[len(n.services)-1]
	n.services[e.serviceIndex] = last
	last.serviceIndex = e.serviceIndex
	n.services = n.services[:len(n.services)-1]
}

// rackGroup holds the nodes in one rack.
type rackGroup struct {
	name  heatherhub.Rack
	nodes []*node
}

func (g *rackGroup) remove(n *node) {
	for i, o := range g.nodes {
		if o == n {
			g.nodes = append(g.nodes[:i], g.nodes[i+1:]...)
			return
		}
	}
}

func maxResources(a, b heatherhub.Resources) heatherhub.Resources {
	return heatherhub.Resources{
		CPU:          max(a.CPU, b.CPU),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func percentOf(r heatherhub.Resources, p heatherhub.Percent) heatherhub.Resources {
	return heatherhub.Resources{
		CPU:          r.CPU * heatherhub.MilliCPU(p) / 100,
		Memory:       r.Memory * heatherhub.Megabytes(p) / 100,
		Accelerators: r.Accelerators * heatherhub.Accelerators(p) / 100,
	}
}
