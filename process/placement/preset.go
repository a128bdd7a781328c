package placement

import (
	"slices"

	"heatherhub.example/heatherhub"
)

// fullShare is the whole of a capacity, and the share of a task without a throttle.
const fullShare = heatherhub.Percent(100)

func (c *Colocator) batchShare() heatherhub.Percent {
	if c.preset == nil {
		return fullShare
	}
	return c.preset.BatchShare
}

// batchFloor returns the percentage of the shard's capacity that is kept for batch.
func (c *Colocator) batchFloor() heatherhub.Percent {
	if c.preset == nil {
		return 0
	}
	return c.preset.BatchFloor
}

// maxBatchShare is the largest batch share of any declared preset.
func (c *Colocator) maxBatchShare() heatherhub.Percent {
	if len(c.snapshot.Presets) == 0 {
		return fullShare
	}
	var largest heatherhub.Percent
	for i := range c.snapshot.Presets {
		largest = max(largest, c.snapshot.Presets[i].BatchShare)
	}
	return largest
}

// applyPreset updates a node to the preset in force: its batch share and whether it is
// drained.
func (c *Colocator) applyPreset(n *node) {
	n.batchShare = c.batchShare()
	n.drained = c.isDrained(n)
	if !n.live() {
		c.releaseHold(n)
	}
	c.reindex(n)
	c.markShedding(n)
}

func (c *Colocator) isDrained(n *node) bool {
	if c.preset == nil {
		return false
	}
	return slices.Contains(c.preset.DrainDomains, n.host.Domain) ||
		slices.Contains(c.preset.DrainRacks, n.host.Rack)
}

// reorderServices updates the priority of waiting replicas after a preset switch.
func (c *Colocator) reorderServices() {
	for _, s := range slices.Clone(c.services.ordered) {
		units := s.units.Items()
		s.units.Clear()
		for _, u := range units {
			u.priority = c.servicePriority(u.entries[0].task.Workload)
			s.units.Set(u)
		}
	}
}

// servicePriority returns the priority of a service in the preset in force, or 0.
func (c *Colocator) servicePriority(id heatherhub.WorkloadID) heatherhub.Priority {
	if c.preset == nil {
		return 0
	}
	s, _ := c.preset.Service(id)
	return s.Priority
}
