package placement

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"

	"heatherhub.example/heatherhub"
)

// maxRacksTried limits the racks that are considered for one replica.
const maxRacksTried = 64

// rackCount is the number of replicas of one service in one rack.
type rackCount struct {
	replicas int
	// tie orders racks with equal counts, differently for each service, so that
	// services do not all prefer the same racks.
	tie  uint64
	rack *rackGroup
}

func fewerReplicas(a, b rackCount) bool {
	switch {
	case a.replicas != b.replicas:
		return a.replicas < b.replicas
	case a.tie != b.tie:
		return a.tie < b.tie
	}
	return strings.Compare(string(a.rack.name), string(b.rack.name)) < 0
}

// rackSpread orders the racks by the number of replicas of one service.
type rackSpread struct {
	workload heatherhub.WorkloadID
	counts   map[*rackGroup]int
	order    *btree.BTreeG[rackCount]
}

func (c *Colocator) spreadOf(id heatherhub.WorkloadID) *rackSpread {
	if s, ok := c.spreads[id]; ok {
		return s
	}
	s := &rackSpread{
		workload: id,
		counts:   make(map[*rackGroup]int),
		order:    btree.NewBTreeGOptions(fewerReplicas, btree.Options{NoLocks: true, Degree: 16}),
	}
	for _, g := range c.racks {
		s.order.Set(s.key(g))
	}
	c.spreads[id] = s
	return s
}

func (s *rackSpread) key(g *rackGroup) rackCount {
	tie := xxhash.Sum64String(string(s.workload) + "/" + string(g.name))
	return rackCount{replicas: s.counts[g], tie: tie, rack: g}
}

// adjust adds by to the number of replicas in a rack.
func (s *rackSpread) adjust(g *rackGroup, by int) {
	s.order.Delete(s.key(g))
	s.counts[g] += by
	s.order.Set(s.key(g))
}

// selectSpread returns a node for a replica in the rack with the fewest replicas of its
// service in which one fits, or nil.
func (c *Colocator) selectSpread(u *unit, e *entry, request heatherhub.Resources) *node {
	var best *node
	tried := 0
	c.spreadOf(e.task.Workload).order.Scan(func(k rackCount) bool {
		tried++
		best = c.bestInRack(k.rack, u, e, request)
		return best == nil && tried < maxRacksTried
	})
	return best
}

func (c *Colocator) bestInRack(g *rackGroup, u *unit, e *entry, request heatherhub.Resources) *node {
	var best *node
	var lowest serviceCost
	for _, n := range g.nodes {
		if !n.open(u.shape.scope) || !request.Fits(n.available(u.shape.scope, request)) {
			continue
		}
		if cost := c.serviceCost(n, e); best == nil || cost.less(lowest) {
			best, lowest = n, cost
		}
	}
	return best
}

// serviceCost orders the nodes of one rack for a replica: by replicas of the same
// service, then expected interference, then reserved processors.
type serviceCost struct {
	replicas     int
	interference float64
	reserved     heatherhub.MilliCPU
}

func (a serviceCost) less(b serviceCost) bool {
	switch {
	case a.replicas != b.replicas:
		return a.replicas < b.replicas
	case a.interference != b.interference:
		return a.interference < b.interference
	}
	return a.reserved < b.reserved
}

func (c *Colocator) serviceCost(n *node, e *entry) serviceCost {
	cost := serviceCost{reserved: n.all.reserved.CPU}
	for _, o := range n.services {
		if o.task.Workload == e.task.Workload {
			cost.replicas++
		}
	}
	if c.enabled(MechanismAvoidance) {
		cost.interference = c.interferenceOn(n, e.task.Workload)
	}
	return cost
}
