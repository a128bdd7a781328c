package core

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// trackSessions records when each session was first seen and when the sessions of each
// host began, to detect flapping hosts.
func (h *host) trackSessions(now time.Time) {
	for id, owner := range h.listing.sessions {
		if _, ok := h.sessionSeenAt[id]; !ok {
			h.sessionSeenAt[id] = now
			h.sessionStarts[owner] = append(h.sessionStarts[owner], now)
		}
	}
	for id := range h.sessionSeenAt {
		if _, ok := h.listing.sessions[id]; !ok {
			delete(h.sessionSeenAt, id)
		}
	}
	for owner, times := range h.sessionStarts {
		h.sessionStarts[owner] = slices.DeleteFunc(times, func(t time.Time) bool { return now.Sub(t) > flapWindow+flapPause })
	}
}

// candidates returns the hosts that may get shards: their session is alive and older
// than MinSessionAge, and they are neither leaving nor flapping. If half of the hosts
// or more flap, the store is the likely cause and flapping is ignored.
func (h *host) candidates(now time.Time) []heatherhub.HostID {
	var all, stable []heatherhub.HostID
	for id, owner := range h.listing.sessions {
		oldEnough := now.Sub(h.sessionSeenAt[id]) >= h.cfg.MinSessionAge
		leaving := h.peers.isLeaving(owner) || owner == h.cfg.Self && h.isDraining()
		if !oldEnough || leaving || slices.Contains(all, owner) {
			continue
		}
		all = append(all, owner)
		if !h.isFlapping(owner) && !h.peers.isReportedFlapping(now, owner) {
			stable = append(stable, owner)
		}
	}
	if 2*len(stable) <= len(all) {
		stable = all
	}
	slices.Sort(stable)
	return stable
}

// isFlapping reports whether a host has started too many sessions lately.
func (h *host) isFlapping(id heatherhub.HostID) bool {
	return len(h.sessionStarts[id]) >= flapLimit
}

// shardsToHandOver returns the owned shards that should move to another host: all of
// them while this host drains, otherwise at most one at a time for balance.
func (h *host) shardsToHandOver(now time.Time) []heatherhub.ShardID {
	if !h.session.isValid(now) || now.Sub(h.listingSentAt) > 2*h.cfg.PollInterval {
		return nil
	}
	if !h.isDraining() && !h.allSessionsSettled(now) {
		return nil
	}
	preferred := h.preferredOwners(h.candidates(now))
	var out []heatherhub.ShardID
	for i, s := range h.shards {
		o, ok := h.owned[s]
		if !ok {
			continue
		}
		if o.releasing && !h.isDraining() {
			return nil
		}
		shouldMove := preferred[i] != "" && preferred[i] != h.cfg.Self && !now.Before(o.startNotBefore)
		if h.isDraining() || shouldMove && h.mayHandOver(now, s) {
			out = append(out, s)
		} else if preferred[i] == h.cfg.Self {
			delete(h.handoverBegan, s)
		}
	}
	if len(out) > 1 && !h.isDraining() {
		return out[:1]
	}
	return out
}

// allSessionsSettled reports whether every session has reached MinSessionAge. After an
// outage of the store, sessions are established one after the other; until all are,
// no shard moves for balance.
func (h *host) allSessionsSettled(now time.Time) bool {
	for _, since := range h.sessionSeenAt {
		if now.Sub(since) < h.cfg.MinSessionAge {
			return false
		}
	}
	return len(h.sessionSeenAt) > 0
}

// mayHandOver reports whether a shard may be handed over for balance now. A draining
// shard starts no tasks, so an attempt is limited to handoverTimeout and repeated
// only after handoverPause.
func (h *host) mayHandOver(now time.Time, s heatherhub.ShardID) bool {
	began, ok := h.handoverBegan[s]
	if !ok || now.Sub(began) > handoverTimeout+handoverPause {
		h.handoverBegan[s] = now
		return true
	}
	return now.Sub(began) <= handoverTimeout
}
