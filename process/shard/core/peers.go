package core

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
)

// HeldShard is a shard that the sender of a heartbeat serves.
type HeldShard struct {
	Shard heatherhub.ShardID
	Epoch heatherhub.Epoch
	// RenewOnly means that the sender does not own the shard but renews its tasks for
	// a silent owner.
	RenewOnly bool
}

// Heartbeat is the state that an entry host sends to the peers of its failure domain.
type Heartbeat struct {
	HeldShards []HeldShard
	// Leaving means that the sender hands over its shards.
	Leaving bool
	// OwnersUnread means that the sender has not read the owners of the shards yet.
	OwnersUnread bool
	// Flapping lists the hosts that started too many sessions lately. It is shared with
	// the peers because a restarted host does not remember its own sessions.
	Flapping []heatherhub.HostID
	// Stamp identifies the heartbeat. Later heartbeats of a process have higher stamps.
	Stamp Stamp
	// Echo is the stamp of the last heartbeat that the sender received from the receiver.
	Echo Stamp
}

// Stamp identifies a heartbeat of a host. It is its time on the host's wall clock, in
// nanoseconds since 1970, so that another process of the host uses other stamps.
type Stamp int64

// peerState is what the host knows of one peer.
type peerState struct {
	lastHeardAt time.Time
	// heartbeat is the last heartbeat received.
	heartbeat Heartbeat
	// statement is the heartbeat that was certainly sent last, and statedAfter a time
	// before which it was not sent: when the heartbeat left that it echoes. A heartbeat may
	// arrive long after it was sent, for example at a host that was paused.
	statement   Heartbeat
	statedAfter time.Time
	listed      bool
	state       hostlist.State
}

// sentHeartbeat is a heartbeat that this host has sent.
type sentHeartbeat struct {
	stamp Stamp
	at    time.Time
}

// peers holds the state of the other entry hosts of the failure domain.
type peers struct {
	self   heatherhub.HostID
	unsafe Unsafe
	known  map[heatherhub.HostID]*peerState
	// sent holds the heartbeats of the last heartbeatTimeout, in order.
	sent []sentHeartbeat
	// listeningSince is when this process read its first host list, from which on a peer
	// that it does not know can have been silent.
	listeningSince time.Time
}

func newPeers(cfg *Config) *peers {
	return &peers{self: cfg.Self, unsafe: cfg.Unsafe, known: make(map[heatherhub.HostID]*peerState)}
}

// getOrAdd returns the state of a peer. A new peer counts as last heard
// heartbeatTimeout ago, so that it is silent until its first heartbeat.
func (p *peers) getOrAdd(now time.Time, id heatherhub.HostID) *peerState {
	s, ok := p.known[id]
	if !ok {
		s = &peerState{lastHeardAt: now.Add(-heartbeatTimeout), state: hostlist.StateLive}
		p.known[id] = s
	}
	return s
}

func (p *peers) setHosts(now time.Time, hosts []hostlist.Host, domain heatherhub.FailureDomain) {
	if p.listeningSince.IsZero() {
		p.listeningSince = now
	}
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
	after, ok := p.sentAt(b.Echo)
	if p.unsafe.TrustArrival {
		after, ok = now, true
	}
	if !ok || after.Before(s.statedAfter) || after.Equal(s.statedAfter) && b.Stamp < s.statement.Stamp {
		return
	}
	s.statement, s.statedAfter = b, after
}

// sentAt returns when the heartbeat with a stamp was sent. It reports false for one that
// this process has not sent or that is older than heartbeatTimeout.
func (p *peers) sentAt(s Stamp) (time.Time, bool) {
	for _, b := range p.sent {
		if b.stamp == s {
			return b.at, true
		}
	}
	return time.Time{}, false
}

// stamp completes a heartbeat that is sent to a peer now.
func (p *peers) stamp(now time.Time, to heatherhub.HostID, b *Heartbeat) {
	p.sent = slices.DeleteFunc(p.sent, func(o sentHeartbeat) bool { return now.Sub(o.at) > heartbeatTimeout })
	b.Stamp = Stamp(now.UnixNano())
	if n := len(p.sent); n > 0 {
		b.Stamp = max(b.Stamp, p.sent[n-1].stamp+1)
	}
	p.sent = append(p.sent, sentHeartbeat{stamp: b.Stamp, at: now})
	if s, ok := p.known[to]; ok {
		b.Echo = s.heartbeat.Stamp
	}
}

// isFresh reports whether the peer was heard within heartbeatTimeout.
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

// holds reports whether the heartbeat names a shard as held.
func (b *Heartbeat) holds(s heatherhub.ShardID) bool {
	return slices.ContainsFunc(b.HeldShards, func(h HeldShard) bool { return h.Shard == s })
}

// exclusivity states for which kinds of tasks of a shard no other host can be renewing
// leases.
type exclusivity struct {
	// batch is set if each peer either does not hold the shard, as it said after it heard
	// this host lately, or has been silent for so long that it has stopped renewing batch
	// tasks.
	batch bool
	// services is set under the same condition, except that a silent peer must also
	// be missing from the platform's host list, since a host never stops renewing
	// replicas by itself.
	services bool
}

// exclusive tells whether other hosts can renew tasks of a shard. A shard that had an
// owner before may be held by a host that this process does not know, if that host was cut
// off and dropped from the list before the process started.
func (p *peers) exclusive(now time.Time, s heatherhub.ShardID, hadOwner bool) exclusivity {
	if hadOwner && !p.unsafe.TrustKnownPeers && (p.listeningSince.IsZero() || now.Sub(p.listeningSince) <= peerGoneAfter) {
		return exclusivity{}
	}
	q := exclusivity{batch: true, services: true}
	for _, peer := range p.known {
		switch {
		case now.Sub(peer.statedAfter) <= heartbeatTimeout:
			if peer.statement.holds(s) || peer.heartbeat.holds(s) {
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

// allHeardRecently reports whether every listed peer has been heard within
// maxBatchHold, so that none can consider this host gone.
func (p *peers) allHeardRecently(now time.Time) bool {
	for _, peer := range p.known {
		if peer.listed && now.Sub(peer.lastHeardAt) > maxBatchHold {
			return false
		}
	}
	return true
}

// isReportedFlapping reports whether a peer that is heard lists a host as flapping.
func (p *peers) isReportedFlapping(now time.Time, id heatherhub.HostID) bool {
	for _, s := range p.known {
		if s.isFresh(now) && slices.Contains(s.heartbeat.Flapping, id) {
			return true
		}
	}
	return false
}

// renewerCandidates returns the hosts that may renew a shard for a silent owner: this
// host and the peers that are heard and know the owners, sorted by id.
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
