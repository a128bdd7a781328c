package core

import (
	"time"

	"heatherhub.example/heatherhub"
)

// withSlot runs f under the lock of a shard's slot and returns the shard's output. It
// does nothing if the host has no slot for the shard, and gives up ownership if f
// found a higher epoch.
func (n *Node) withSlot(now time.Time, id heatherhub.ShardID, f func(*slot)) Output {
	sl := n.slot(id)
	if sl == nil {
		return Output{}
	}
	sl.mu.Lock()
	f(sl)
	var out Output
	superseded := false
	if sl.shard != nil {
		out = sl.shard.takeOutput()
		superseded = sl.shard.superseded
		sl.isBusy.Store(sl.shard.isBusy())
	}
	sl.mu.Unlock()
	if superseded {
		n.mu.Lock()
		n.host.lose(id)
		n.mu.Unlock()
		out.Calls = nil
		out.add(n.applyChanges(now))
	}
	return out
}

func (n *Node) slot(id heatherhub.ShardID) *slot {
	n.slotsMu.RLock()
	defer n.slotsMu.RUnlock()
	return n.slots[id]
}

// applyChanges creates, updates and removes slots for the pending changes of
// ownership.
func (n *Node) applyChanges(now time.Time) Output {
	n.mu.Lock()
	changes := n.host.takeChanges()
	n.mu.Unlock()
	var out Output
	for _, c := range changes {
		switch c.kind {
		case changeAcquired:
			n.setSlot(c.shard, &slot{shard: newShard(&n.cfg, c, now), createdAt: now})
		case changeReclaimed:
			n.withSlot(now, c.shard, func(sl *slot) { sl.shard.setEpoch(c.epoch) })
		case changeRenewerStarted:
			n.setSlot(c.shard, &slot{renewer: newRenewer(c.shard, c.epoch), createdAt: now})
		case changeLost, changeRenewerStopped:
			out.add(n.dropSlot(c))
		}
	}
	return out
}

func (n *Node) setSlot(id heatherhub.ShardID, sl *slot) {
	n.slotsMu.Lock()
	defer n.slotsMu.Unlock()
	n.slots[id] = sl
	n.active = sortedShards(n.slots)
}

func (n *Node) dropSlot(c change) Output {
	n.slotsMu.Lock()
	sl, ok := n.slots[c.shard]
	isRenewer := ok && sl.renewer != nil
	if !ok || isRenewer != (c.kind == changeRenewerStopped) {
		n.slotsMu.Unlock()
		return Output{}
	}
	delete(n.slots, c.shard)
	n.active = sortedShards(n.slots)
	n.slotsMu.Unlock()
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.shard == nil {
		return Output{}
	}
	sl.shard.failWaiting()
	return Output{Replies: sl.shard.takeOutput().Replies}
}

// Active returns the shards that this host owns or renews, in order. The caller must
// not modify the list.
func (n *Node) Active() []heatherhub.ShardID {
	n.slotsMu.RLock()
	defer n.slotsMu.RUnlock()
	return n.active
}

// TickGroups divides the active shards into groups that may be ticked concurrently. A
// busy shard has a group of its own, so that no other shard waits for it. All others
// share one group, since their ticks are short.
func (n *Node) TickGroups() [][]heatherhub.ShardID {
	n.slotsMu.RLock()
	defer n.slotsMu.RUnlock()
	var groups [][]heatherhub.ShardID
	var shared []heatherhub.ShardID
	for _, id := range n.active {
		if n.slots[id].isBusy.Load() {
			groups = append(groups, []heatherhub.ShardID{id})
		} else {
			shared = append(shared, id)
		}
	}
	if len(shared) > 0 {
		groups = append(groups, shared)
	}
	return groups
}
