package core

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
)

// HeldShard is one shard in a heartbeat.
type HeldShard struct {
	Shard heatherhub.ShardID
	Epoch heatherhub.Epoch
	// RenewOnly says that the sender only renews the tasks of a silent owner.
	RenewOnly bool
}

// Heartbeat is what a peer of the same failure domain says of itself.
type Heartbeat struct {
	HeldShards []HeldShard
	Leaving    bool
	// OwnersUnread says that the sender has not read the owners of the shards yet.
	OwnersUnread bool
	// Flapping has the hosts whose sessions came and went too often lately. A host
	// that was restarted does not remember it itself.
	Flapping []heatherhub.HostID
}

type peerState struct {
	lastHeardAt time.Time
	heartbeat   Heartbeat
	listed      bool
	state       hostlist.State
}

// peers is what the host knows of the entry hosts of its failure domain.
type peers struct {
	self      heatherhub.HostID
	known     map[heatherhub.HostID]*peerState
	startedAt time.Time
}

func newPeers(self heatherhub.HostID) *peers {
	return &peers{self: self, known: make(map[heatherhub.HostID]*peerState)}
}

func (p *peers) getOrAdd(now time.Time, id heatherhub.HostID) *peerState {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	s, ok := p.known[id]
	if !ok {
		s = &peerState{lastHeardAt: now.Add(-heartbeatTimeout), state: hostlist.StateLive}
		p.known[id] = s
	}
	return s
}

func (p *peers) setHosts(now time.Time, hosts []hostlist.Host, domain heatherhub.FailureDomain) {
	for _, s := range p.known {
		s.listed = false
	}
	for _, h := range hosts {
		if h.Role == hostlist.RoleEntry && h.Domain == domain && h.ID != string(p.self) {
			s := p.getOrAdd(now, heatherhub.HostID(h.ID))
			s.listed = true
			s.state = h.State
		}
	}
	for id, s := range p.known {
		if !s.listed && now.Sub(s.lastHeardAt) > peerGoneAfter {
			delete(p.known, id)
		}
	}
}

func (p *peers) receive(now time.Time, id heatherhub.HostID, b Heartbeat) {
	s := p.getOrAdd(now, id)
	s.lastHeardAt = now
	s.heartbeat = b
}

func (s *peerState) isFresh(now time.Time) bool {
	return now.Sub(s.lastHeardAt) <= heartbeatTimeout
}

func (p *peers) isFresh(now time.Time, id heatherhub.HostID) bool {
	s, ok := p.known[id]
	return id == p.self || ok && s.isFresh(now)
}

func (p *peers) isLeaving(id heatherhub.HostID) bool {
	s, ok := p.known[id]
	return ok && (s.heartbeat.Leaving || s.state == hostlist.StateLeaving)
}

// exclusivity tells which tasks of a shard no other host can be renewing.
type exclusivity struct {
	// batch: each peer is heard and holds nothing of the shard, or has been silent
	// until it must have given up batch tasks.
	batch bool
	// services: a host never gives up replicas by itself, so a silent peer counts
	// only when the platform's list has dropped it as well.
	services bool
}

func (p *peers) exclusive(now time.Time, s heatherhub.ShardID) exclusivity {
	q := exclusivity{batch: true, services: true}
	for _, peer := range p.known {
		switch {
		case peer.isFresh(now):
			if slices.ContainsFunc(peer.heartbeat.HeldShards, func(h HeldShard) bool { return h.Shard == s }) {
				return exclusivity{}
			}
		case now.Sub(peer.lastHeardAt) <= peerGoneAfter:
			return exclusivity{}
		case peer.listed:
			q.services = false
		}
	}
	return q
}

// allHeardRecently reports whether every listed peer has been heard within the hold
// bound, so that none can take this host for gone.
func (p *peers) allHeardRecently(now time.Time) bool {
	for _, peer := range p.known {
		if peer.listed && now.Sub(peer.lastHeardAt) > maxBatchHold {
			return false
		}
	}
	return true
}

// isReportedFlapping reports whether a peer that is heard says that a host flaps.
func (p *peers) isReportedFlapping(now time.Time, id heatherhub.HostID) bool {
	for _, s := range p.known {
		if s.isFresh(now) && slices.Contains(s.heartbeat.Flapping, id) {
			return true
		}
	}
	return false
}

// renewerCandidates returns this host and the peers that are heard and know the owners, in
// order of id.
func (p *peers) renewerCandidates(now time.Time) []heatherhub.HostID {
	ids := []heatherhub.HostID{p.self}
	for id, s := range p.known {
		if s.isFresh(now) && !s.heartbeat.OwnersUnread {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
