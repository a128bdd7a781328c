package placement

import (
	"heatherhub.example/heatherhub"
)

// team holds the batch queue, quota and usage of one team.
type team struct {
	id    heatherhub.TeamID
	queue *queue
	quota heatherhub.Resources
	// used is the declared size of the team's batch and urgent tasks with a reservation.
	used heatherhub.Resources
}

// entitlement returns the team's share of the shard's batch capacity, in proportion to
// its quota. total is the sum of all quotas.
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

// dominantShare returns the largest ratio of used to entitled amounts of any resource, as
// in dominant resource fairness; 1 means that the entitlement is used up.
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

// batchCapacity returns what batch can use of the capacity of all workers under the
// preset's batch share.
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

// nextByShare returns the first unit that is not blocked of the team with the lowest
// dominant share, or nil.
func (c *Colocator) nextByShare() *unit {
	var best *unit
	var lowest float64
	for _, t := range c.teamOrder {
		if t.queue.waiting == 0 {
			continue
		}
		u := t.queue.first(c.capacityVersion)
		if u == nil {
			continue
		}
		r := c.dominantShareOf(t)
		if best == nil || r < lowest || r == lowest && startsBefore(u, best) {
			best, lowest = u, r
		}
	}
	return best
}

// nextByDeadline returns the batch unit with the earliest virtual deadline among those
// that are not blocked, or nil.
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
