package placement

import (
	"heatherhub.example/heatherhub"
)

// team is the batch queue of one team and what its tasks hold.
type team struct {
	id    heatherhub.TeamID
	queue *queue
	quota heatherhub.Resources
	used  heatherhub.Resources
}

// entitlement returns the part of the shard's batch capacity that the team's
// quota stands for.
func (t *team) entitlement(total, capacity heatherhub.Resources) heatherhub.Resources {
	return heatherhub.Resources{
		CPU:          proportion(t.quota.CPU, total.CPU, capacity.CPU),
		Memory:       proportion(t.quota.Memory, total.Memory, capacity.Memory),
		Accelerators: proportion(t.quota.Accelerators, total.Accelerators, capacity.Accelerators),
	}
}

func proportion[T ~int64](quota, total, capacity T) T {
	if total <= 0 {
		return 0
	}
	return T(float64(capacity) * (float64(quota) / float64(total)))
}

// dominantShare returns the team's largest share of its entitlement, 1 at the quota.
func dominantShare(used, entitled heatherhub.Resources) float64 {
	r := fraction(used.CPU, entitled.CPU)
	r = max(r, fraction(used.Memory, entitled.Memory))
	return max(r, fraction(used.Accelerators, entitled.Accelerators))
}

func fraction[T ~int64](used, entitled T) float64 {
	if used <= 0 {
		return 0
	}
	return float64(used) / float64(max(entitled, 1))
}

// batchCapacity is what the preset's share leaves to batch on all live workers.
func (c *Colocator) batchCapacity() heatherhub.Resources {
	r := percentOf(c.capacity, c.batchShare())
	r.Accelerators = c.capacity.Accelerators
	return r
}

func (c *Colocator) teamOf(id heatherhub.TeamID) *team {
	if t, ok := c.teams[id]; ok {
		return t
	}
	t := &team{id: id, queue: newQueue()}
	c.teams[id] = t
	c.teamOrder = append(c.teamOrder, t)
	return t
}

func (c *Colocator) dominantShareOf(t *team) float64 {
	return dominantShare(t.used, t.entitlement(c.quotaTotal, c.batchCapacity()))
}

// nextByShare returns the first startable unit of the team that uses the least of
// its entitlement, or nil.
func (c *Colocator) nextByShare() *unit {
	var best *unit
	var least float64
	for _, t := range c.teamOrder {
		if t.queue.waiting == 0 {
			continue
		}
		u := t.queue.first(c.capacityVersion)
		if u == nil {
			continue
		}
		r := c.dominantShareOf(t)
		if best == nil || r < least || r == least && startsBefore(u, best) {
			best, least = u, r
		}
	}
	return best
}

// nextByDeadline returns the startable batch unit with the earliest virtual deadline.
func (c *Colocator) nextByDeadline() *unit {
	var best *unit
	for _, t := range c.teamOrder {
		if t.queue.waiting == 0 {
			continue
		}
		if u := t.queue.first(c.capacityVersion); u != nil && (best == nil || startsBefore(u, best)) {
			best = u
		}
	}
	return best
}
