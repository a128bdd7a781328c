package placement

import (
	"heatherhub.example/heatherhub"
)

// capacityScope tells which part of a worker a task may use.
type capacityScope int

const (
	// scopeBatch is the preset's batch share of a worker.
	scopeBatch capacityScope = iota
	// scopeFull is the whole worker, for services and urgent work.
	scopeFull
	scopeCount
)

const maxAcceleratorGrid = 16

// index finds workers by free capacity. Workers without accelerators, the spare
// part of accelerator workers and the workers by number of free accelerators
// are kept apart.
type index struct {
	withoutAccelerators [scopeCount]grid
	unreserved          [scopeCount]grid
	// byFreeAccelerators is indexed by the number of free accelerators.
	byFreeAccelerators [scopeCount][maxAcceleratorGrid + 1]grid
}

// indexPosition is the position of one node in the index.
type indexPosition struct {
	general            [scopeCount]member
	byFreeAccelerators [scopeCount]member
}

func newIndexPosition(n *node) indexPosition {
	var p indexPosition
	for l := range scopeCount {
		p.general[l].node = n
		p.byFreeAccelerators[l].node = n
	}
	return p
}

// update files a node by its free capacity.
func (x *index) update(n *node) {
	for l := range scopeCount {
		free := n.free(l)
		if !n.open(l) {
			n.indexPosition.general[l].update(nil, free)
			n.indexPosition.byFreeAccelerators[l].update(nil, free)
			continue
		}
		if n.host.Capacity.Accelerators == 0 || !n.reservesAccelerators {
			n.indexPosition.general[l].update(&x.withoutAccelerators[l], free)
		} else {
			n.indexPosition.general[l].update(&x.unreserved[l], n.unreserved(free))
		}
		n.indexPosition.byFreeAccelerators[l].update(x.acceleratorGrid(l, free.Accelerators), free)
	}
}

func (x *index) acceleratorGrid(l capacityScope, free heatherhub.Accelerators) *grid {
	if free <= 0 {
		return nil
	}
	return &x.byFreeAccelerators[l][min(free, maxAcceleratorGrid)]
}

func (x *index) remove(n *node) {
	for l := range scopeCount {
		n.indexPosition.general[l].remove()
		n.indexPosition.byFreeAccelerators[l].remove()
	}
}

// findBestFit visits open nodes that hold need. Work without accelerators sees the
// workers without accelerators first. It reports whether all were looked at.
func (x *index) findBestFit(l capacityScope, need heatherhub.Resources, visit func(*node) bool) bool {
	if need.Accelerators == 0 {
		return x.findGeneral(l, need, visit)
	}
	complete, stopped := true, false
	for k := min(need.Accelerators, maxAcceleratorGrid); k <= maxAcceleratorGrid && !stopped; k++ {
		all := x.byFreeAccelerators[l][k].findBestFit(need, func(n *node) bool {
			stopped = !visit(n)
			return !stopped
		})
		complete = complete && all
	}
	return complete
}

// findAcceleratorNodes visits accelerator workers for work that needs no accelerators,
// those with the fewest idle accelerators first.
func (x *index) findAcceleratorNodes(l capacityScope, need heatherhub.Resources, visit func(*node) bool) {
	stopped := false
	for k := 1; k <= maxAcceleratorGrid && !stopped; k++ {
		x.byFreeAccelerators[l][k].findBestFit(need, func(n *node) bool {
			stopped = !visit(n)
			return !stopped
		})
	}
}

func (x *index) findGeneral(l capacityScope, need heatherhub.Resources, visit func(*node) bool) bool {
	stopped := false
	wrapped := func(n *node) bool {
		stopped = !visit(n)
		return !stopped
	}
	complete := x.withoutAccelerators[l].findBestFit(need, wrapped)
	if stopped {
		return complete
	}
	return x.unreserved[l].findBestFit(need, wrapped) && complete
}

// findWorstFit visits open nodes that hold need, those with most room first.
func (x *index) findWorstFit(l capacityScope, need heatherhub.Resources, visit func(*node) bool) {
	if need.Accelerators == 0 {
		x.withoutAccelerators[l].findWorstFit(need, visit)
		return
	}
	x.byFreeAccelerators[l][min(need.Accelerators, maxAcceleratorGrid)].findWorstFit(need, visit)
}
