package placement

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"

	"heatherhub.example/heatherhub"
)

// maxRacksTried bounds the racks that are tried for one replica.
const maxRacksTried = 64

// rackCount is the number of replicas of one service in one rack.
type rackCount struct {
	replicas int
	// tie orders racks with the same number, differently for each service.
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

// rackSpread orders the racks by the replicas of one service.
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

// adjust changes the number of replicas in a rack.
func (s *rackSpread) adjust(g *rackGroup, by int) {
	s.order.Delete(s.key(g))
	s.counts[g] += by
	s.order.Set(s.key(g))
}

// selectSpread returns a node in the rack with the fewest replicas that has
// room, or nil.
func (c *Colocator) selectSpread(u *unit, e *entry, need heatherhub.Resources) *node {
	var best *node
	tried := 0
	c.spreadOf(e.task.Workload).order.Scan(func(k rackCount) bool {
		tried++
		best = c.bestInRack(k.rack, u, e, need)
		return best == nil && tried < maxRacksTried
	})
	return best
}

func (c *Colocator) bestInRack(g *rackGroup, u *unit, e *entry, need heatherhub.Resources) *node {
	var best *node
	var least serviceCost
	for _, n := range g.nodes {
		if !n.open(u.shape.scope) || !need.Fits(n.available(u.shape.scope, need)) {
			continue
		}
		if cost := c.serviceCost(n, e); best == nil || cost.less(least) {
			best, least = n, cost
		}
	}
	return best
}

// serviceCost orders the nodes of one rack for a replica.
type serviceCost struct {
	replicas int
	exposure float64
	reserved heatherhub.MilliCPU
}

func (a serviceCost) less(b serviceCost) bool {
	switch {
	case a.replicas != b.replicas:
		return a.replicas < b.replicas
	case a.exposure != b.exposure:
		return a.exposure < b.exposure
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
		cost.exposure = c.interferenceOn(n, e.task.Workload)
	}
	return cost
}
