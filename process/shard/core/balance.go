package core

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// trackSessions records when each session was first seen, to damp hosts whose
// sessions come and go.
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

// candidates returns the hosts that may be given shards: their session is alive
// and has settled, they do not leave and they do not flap. If most hosts flap it is
// the store's doing, and none is left out for it.
func (h *host) candidates(now time.Time) []heatherhub.HostID {
	var all, steady []heatherhub.HostID
	for id, owner := range h.listing.sessions {
		settled := now.Sub(h.sessionSeenAt[id]) >= h.cfg.MinSessionAge
		leaving := h.peers.isLeaving(owner) || owner == h.cfg.Self && h.isDraining()
		if !settled || leaving || slices.Contains(all, owner) {
			continue
		}
		all = append(all, owner)
		if !h.isFlapping(owner) && !h.peers.isReportedFlapping(now, owner) {
			steady = append(steady, owner)
		}
	}
	if 2*len(steady) <= len(all) {
		steady = all
	}
	slices.Sort(steady)
	return steady
}

func (h *host) isFlapping(id heatherhub.HostID) bool {
	return len(h.sessionStarts[id]) >= flapLimit
}

// shardsToHandOver returns an owned shard that should go to another host: all of them
// while this host drains, and otherwise one at a time.
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
		if h.isDraining() || preferred[i] != "" && preferred[i] != h.cfg.Self && h.mayHandOver(now, s) {
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

// allSessionsSettled reports whether every session has settled. After an outage they begin
// anew one after the other, and nothing is moved for balance meanwhile.
func (h *host) allSessionsSettled(now time.Time) bool {
	for _, since := range h.sessionSeenAt {
		if now.Sub(since) < h.cfg.MinSessionAge {
			return false
		}
	}
	return len(h.sessionSeenAt) > 0
}

// mayHandOver bounds the time in which a shard that is handed over for balance
// starts nothing.
func (h *host) mayHandOver(now time.Time, s heatherhub.ShardID) bool {
	began, ok := h.handoverBegan[s]
	if !ok || now.Sub(began) > handoverTimeout+handoverPause {
		h.handoverBegan[s] = now
		return true
	}
	return now.Sub(began) <= handoverTimeout
}
