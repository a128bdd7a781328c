package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// maxFinishWait is the estimated time below which a task may finish where
	// it is instead of being evicted by a drain or a smaller share.
	maxFinishWait = 45 * time.Second
	// moveTimeout bounds the wait for a moved replica before the next one moves.
	moveTimeout = 30 * time.Second
)

// markShedding files a node whose tasks have to leave.
func (c *Colocator) markShedding(n *node) {
	if n.isShedding || n.live() && !n.exceedsBatchShare() {
		return
	}
	n.isShedding = true
	c.sheddingNodes = append(c.sheddingNodes, n)
}

// exceedsBatchShare reports whether batch holds more than the preset's share.
func (n *node) exceedsBatchShare() bool {
	limit := percentOf(n.host.Capacity, n.batchShare)
	return n.batch.reserved.CPU > limit.CPU || n.batch.reserved.Memory > limit.Memory
}

// shed empties leaving and drained workers and takes back excess batch, at the
// pace that the preset allows.
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
			c.shedTask(now, e, "its worker is being emptied")
		}
	}
}

func (c *Colocator) shedBatchExcess(now time.Time, n *node) {
	e := c.cheapestVictim(now, n, nil, func(e *entry) bool { return c.remaining(now, e) > maxFinishWait })
	if e != nil {
		c.shedTask(now, e, "batch holds more than the preset's share")
	}
}

func (c *Colocator) shedTask(now time.Time, e *entry, reason string) {
	if c.evictionBudget.remaining(now, c.evictionLimit(), false) > 0 {
		c.evict(now, e, reason)
	}
}

// moveReplica stops a replica on a worker that is being emptied, one for each
// service at a time. Its owner queues it again.
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
	c.emit(Action{Kind: ActionStop, Task: e.task, Worker: e.node.id, Reason: "its worker is being emptied"})
}

func (c *Colocator) fitsElsewhere(t *heatherhub.Task) bool {
	found := false
	c.index.findBestFit(scopeFull, c.plannedSize(t), func(*node) bool {
		found = true
		return false
	})
	return found
}
