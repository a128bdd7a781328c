package placement

import (
	"heatherhub.example/heatherhub"
)

// capacityScope is the part of a node's capacity that a task may use.
type capacityScope int

const (
	// scopeBatch is the preset's batch share of a node.
	scopeBatch capacityScope = iota
	// scopeFull is the whole node, for services and urgent tasks.
	scopeFull
	scopeCount
)

// maxAcceleratorGrid is the number of free accelerators from which nodes share a grid.
const maxAcceleratorGrid = 16

// index finds nodes by free resources. Its grids hold only the nodes that are open for
// their scope.
type index struct {
	// withoutAccelerators holds the nodes without accelerators, and all others if
	// MechanismAccelerators is disabled.
	withoutAccelerators [scopeCount]grid
	// unreserved holds accelerator nodes by the resources that are not reserved for
	// their idle accelerators.
	unreserved [scopeCount]grid
	// byFreeAccelerators is indexed by the number of free accelerators.
	byFreeAccelerators [scopeCount][maxAcceleratorGrid + 1]grid
}

// indexPosition is the membership of one node in the grids of the index.
type indexPosition struct {
	general            [scopeCount]member
	byFreeAccelerators [scopeCount]member
}

func newIndexPosition(n *node) indexPosition {
	var p indexPosition
	for scope := range scopeCount {
		p.general[scope].node = n
		p.byFreeAccelerators[scope].node = n
	}
	return p
}

// update moves a node to the grids and cells that match its free resources.
func (x *index) update(n *node) {
	for scope := range scopeCount {
		free := n.free(scope)
		if !n.open(scope) {
			n.indexPosition.general[scope].update(nil, free)
			n.indexPosition.byFreeAccelerators[scope].update(nil, free)
			continue
		}
		if n.host.Capacity.Accelerators == 0 || !n.reservesAccelerators {
			n.indexPosition.general[scope].update(&x.withoutAccelerators[scope], free)
		} else {
			n.indexPosition.general[scope].update(&x.unreserved[scope], n.unreserved(free))
		}
		n.indexPosition.byFreeAccelerators[scope].update(x.acceleratorGrid(scope, free.Accelerators), free)
	}
}

func (x *index) acceleratorGrid(scope capacityScope, free heatherhub.Accelerators) *grid {
	if free <= 0 {
		return nil
	}
	return &x.byFreeAccelerators[scope][min(free, maxAcceleratorGrid)]
}

func (x *index) remove(n *node) {
	for scope := range scopeCount {
		n.indexPosition.general[scope].remove()
		n.indexPosition.byFreeAccelerators[scope].remove()
	}
}

// findBestFit visits open nodes on which request fits, best fit first, until visit
// returns false. With requested accelerators it visits nodes with the fewest free
// accelerators first; without, it visits nodes without accelerators before the
// unreserved part of the others. It reports whether no node was left out by maxCellScan.
func (x *index) findBestFit(scope capacityScope, request heatherhub.Resources, visit func(*node) bool) bool {
	if request.Accelerators == 0 {
		return x.findGeneral(scope, request, visit)
	}
	complete, stopped := true, false
	for k := min(request.Accelerators, maxAcceleratorGrid); k <= maxAcceleratorGrid && !stopped; k++ {
		all := x.byFreeAccelerators[scope][k].findBestFit(request, func(n *node) bool {
			stopped = !visit(n)
			return !stopped
		})
		complete = complete && all
	}
	return complete
}

// findAcceleratorNodes visits open accelerator nodes on which a request without
// accelerators fits, those with the fewest free accelerators first, until visit returns
// false. It ignores the resources that are reserved for idle accelerators.
func (x *index) findAcceleratorNodes(scope capacityScope, request heatherhub.Resources, visit func(*node) bool) {
	stopped := false
	for k := 1; k <= maxAcceleratorGrid && !stopped; k++ {
		x.byFreeAccelerators[scope][k].findBestFit(request, func(n *node) bool {
			stopped = !visit(n)
			return !stopped
		})
	}
}

func (x *index) findGeneral(scope capacityScope, request heatherhub.Resources, visit func(*node) bool) bool {
	stopped := false
	wrapped := func(n *node) bool {
		stopped = !visit(n)
		return !stopped
	}
	complete := x.withoutAccelerators[scope].findBestFit(request, wrapped)
	if stopped {
		return complete
	}
	return x.unreserved[scope].findBestFit(request, wrapped) && complete
}

// findWorstFit visits open nodes on which request fits, those with the most free
// resources first, until visit returns false. It leaves out the nodes with accelerators
// if none are requested, and those with more free accelerators than requested if some
// are.
func (x *index) findWorstFit(scope capacityScope, request heatherhub.Resources, visit func(*node) bool) {
	if request.Accelerators == 0 {
		x.withoutAccelerators[scope].findWorstFit(request, visit)
		return
	}
	x.byFreeAccelerators[scope][min(request.Accelerators, maxAcceleratorGrid)].findWorstFit(request, visit)
}
