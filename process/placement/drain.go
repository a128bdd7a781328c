package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// maxFinishWait is the estimated remaining time up to which a task may finish
	// instead of being evicted by a drain or a smaller batch share.
	maxFinishWait = 45 * time.Second
	// moveTimeout limits how long a moving replica delays the next one of its
	// service, and how long a replica waits for a worker to move to.
	moveTimeout = 30 * time.Second
)

// markShedding adds a node to sheddingNodes if it is no longer live or its batch
// tasks exceed the batch share.
func (c *Colocator) markShedding(n *node) {
	if n.isShedding || n.live() && !n.exceedsBatchShare() {
		return
	}
	n.isShedding = true
	c.sheddingNodes = append(c.sheddingNodes, n)
}

// exceedsBatchShare reports whether batch tasks reserve more than the node's batch
// share.
func (n *node) exceedsBatchShare() bool {
	limit := percentOf(n.host.Capacity, n.batchShare)
	return n.batch.reserved.CPU > limit.CPU || n.batch.reserved.Memory > limit.Memory
}

// shed removes tasks from leaving and drained nodes and from nodes that exceed their
// batch share, at the eviction rate that the preset allows.
func (c *Colocator) shed(now time.Time) {
	kept := c.sheddingNodes[:0]
	for _, n := range c.sheddingNodes {
		if c.nodes[n.id] != n || n.live() && !n.exceedsBatchShare() || !n.live() && len(n.tasks) == 0 {
			n.isShedding = false
			continue
		}
		kept = append(kept, n)
		c.shedNode(now, n)
	}
	c.sheddingNodes = kept
}

func (c *Colocator) shedNode(now time.Time, n *node) {
	if n.live() {
		c.shedBatchExcess(now, n)
		return
	}
	for _, e := range n.tasks {
		switch {
		case e.state != stateReserved:
		case e.isService():
			c.moveReplica(now, e)
		case c.remaining(now, e) > maxFinishWait:
			c.shedTask(now, e, "the worker is draining")
		}
	}
}

// shedBatchExcess evicts at most one task per Decide from a node that exceeds its batch
// share.
func (c *Colocator) shedBatchExcess(now time.Time, n *node) {
	e := c.cheapestVictim(now, n, nil, func(e *entry) bool { return c.remaining(now, e) > maxFinishWait })
	if e != nil {
		c.shedTask(now, e, "batch tasks on the worker exceed the preset's batch share")
	}
}

func (c *Colocator) shedTask(now time.Time, e *entry, reason string) {
	if c.evictionBudget.remaining(now, c.evictionLimit(), false) > 0 {
		c.evict(now, e, reason)
	}
}

// moveReplica stops a replica on a draining node, one per service at a time. The owner
// then queues the replica again. It waits for a worker with enough free resources, but
// no longer than moveTimeout.
func (c *Colocator) moveReplica(now time.Time, e *entry) {
	if until, ok := c.movingReplicas[e.task.Workload]; ok && now.Before(until) {
		return
	}
	if e.leavingSince.IsZero() {
		e.leavingSince = now
	}
	if !c.fitsElsewhere(&e.task) && now.Sub(e.leavingSince) < moveTimeout {
		return
	}
	e.state = stateStopping
	e.leavingSince = now
	c.movingReplicas[e.task.Workload] = now.Add(moveTimeout)
	c.emit(Action{Kind: ActionStop, Task: e.task, Worker: e.node.id, Reason: "the worker is draining"})
}

func (c *Colocator) fitsElsewhere(t *heatherhub.Task) bool {
	found := false
	c.index.findBestFit(scopeFull, c.plannedSize(t), func(*node) bool {
		found = true
		return false
	})
	return found
}
