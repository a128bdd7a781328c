package placement

import (
	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
)

// acceleratorReserve is the part of the processors and memory of idle
// accelerators that is kept for work that uses them.
const acceleratorReserve = heatherhub.Percent(100)

// resourceTotals is what the tasks of a node hold and are expected to use.
type resourceTotals struct {
	reserved heatherhub.Resources
	planned  heatherhub.Resources
}

func (t *resourceTotals) add(e *entry) {
	t.reserved = t.reserved.Add(e.task.Size)
	t.planned = t.planned.Add(e.planned)
}

func (t *resourceTotals) sub(e *entry) {
	t.reserved = t.reserved.Sub(e.task.Size)
	t.planned = t.planned.Sub(e.planned)
}

// committed returns the larger of both amounts for each resource.
func (t *resourceTotals) committed() heatherhub.Resources {
	return maxResources(t.reserved, t.planned)
}

// node is one worker and what is reserved on it.
type node struct {
	host  hostlist.Host
	id    heatherhub.WorkerID
	order int
	rack  *rackGroup
	all   resourceTotals
	batch resourceTotals
	// tasks lists the entries that hold a reservation.
	tasks []*entry
	// services lists the service replicas among them.
	services      []*entry
	indexPosition indexPosition
	batchShare    heatherhub.Percent
	// reservesAccelerators keeps the share of idle accelerators from other work.
	reservesAccelerators bool
	drained              bool
	// hold is the unit that the node is kept for, or nil.
	hold *unit
	// isShedding says that the node is on the list of those with tasks to shed.
	isShedding bool
	health     health
	mitigation mitigation
}

func (n *node) live() bool {
	return n.host.State == hostlist.StateLive && !n.drained
}

// open reports whether a lane may start tasks on the node. A node that is kept
// for a batch task stays open to services and urgent work.
func (n *node) open(l capacityScope) bool {
	isKept := n.hold != nil && (l == scopeBatch || n.hold.shape.scope == scopeFull)
	return n.live() && !isKept && n.health.admits(len(n.tasks))
}

// free returns what a lane may still reserve.
func (n *node) free(l capacityScope) heatherhub.Resources {
	free := n.host.Capacity.Sub(n.all.committed())
	if l == scopeFull {
		return free
	}
	limit := percentOf(n.host.Capacity, n.batchShare)
	left := limit.Sub(n.batch.committed())
	free.CPU = min(free.CPU, left.CPU)
	free.Memory = min(free.Memory, left.Memory)
	return free
}

// unreserved returns the part of free that is not kept for idle accelerators.
func (n *node) unreserved(free heatherhub.Resources) heatherhub.Resources {
	if !n.reservesAccelerators {
		return free
	}
	idle := n.host.Capacity.Accelerators - n.all.reserved.Accelerators
	kept := percentOf(n.host.Capacity, acceleratorReserve*heatherhub.Percent(idle)/heatherhub.Percent(n.host.Capacity.Accelerators))
	free.CPU -= kept.CPU
	free.Memory -= kept.Memory
	return free
}

// declaredFree returns what a lane may still reserve by declared sizes alone.
func (n *node) declaredFree(l capacityScope) heatherhub.Resources {
	free := n.host.Capacity.Sub(n.all.reserved)
	if l == scopeFull {
		return free
	}
	left := percentOf(n.host.Capacity, n.batchShare).Sub(n.batch.reserved)
	free.CPU = min(free.CPU, left.CPU)
	free.Memory = min(free.Memory, left.Memory)
	return free
}

// available returns what a lane may reserve without the share of idle accelerators.
func (n *node) available(l capacityScope, need heatherhub.Resources) heatherhub.Resources {
	free := n.free(l)
	if need.Accelerators == 0 && n.host.Capacity.Accelerators > 0 {
		return n.unreserved(free)
	}
	return free
}

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

// rackGroup is the set of nodes in one rack.
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
