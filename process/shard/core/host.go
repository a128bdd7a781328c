package core

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/store"
)

// changeKind tells how this host's role for a shard changed.
type changeKind int

const (
	changeAcquired changeKind = iota
	// changeReclaimed means that the same owner has a new epoch, with no other owner
	// in between.
	changeReclaimed
	changeLost
	changeRenewerStarted
	changeRenewerStopped
)

// change is a change of this host's role for a shard. The Node applies it to the
// shard's slot.
type change struct {
	kind  changeKind
	shard heatherhub.ShardID
	epoch heatherhub.Epoch
	// startNotBefore is the time from which no start by a predecessor can take effect.
	startNotBefore time.Time
	// serveNotBefore is the time by which a predecessor that still renews has seen
	// this host's epoch at every worker that it reaches.
	serveNotBefore time.Time
}

// ownedShard is a shard that this host owns.
type ownedShard struct {
	record ownerRecord
	// releasing is set once the shard has ended its work for a handover; the owner
	// record is released next.
	releasing bool
	// hadOwner means that another process may have owned the shard before this one.
	hadOwner bool
	// startNotBefore is that of the change that acquired the shard. The shard is not handed
	// over before.
	startNotBefore time.Time
}

// host decides which shards this host owns. It performs no I/O and is not safe for
// concurrent use.
type host struct {
	cfg           Config
	session       session
	peers         *peers
	listing       ownerListing
	listingSentAt time.Time
	owned         map[heatherhub.ShardID]*ownedShard
	// renewingSince is when this host began to renew a shard for its silent owner.
	renewingSince map[heatherhub.ShardID]time.Time
	// writesInFlight holds the shards whose owner record is being written.
	writesInFlight map[heatherhub.ShardID]bool
	// lastWriteAt is when the last write of a shard's owner record was answered.
	lastWriteAt map[heatherhub.ShardID]time.Time
	// sessionSeenAt is when each session was first listed, and sessionStarts holds the
	// same times for each host, to detect flapping.
	sessionSeenAt map[store.LeaseID]time.Time
	sessionStarts map[heatherhub.HostID][]time.Time
	// lapsedSince is when this host, as the preferred owner, first saw that the
	// session of a shard's owner has lapsed.
	lapsedSince map[heatherhub.ShardID]time.Time
	// unheldSince is the time since which no heartbeat of an owner names the shard.
	unheldSince map[heatherhub.ShardID]time.Time
	// handingOver lists the owned shards that should move to another host.
	handingOver []heatherhub.ShardID
	// handoverBegan is when the last attempt to hand a shard over for balance began.
	handoverBegan map[heatherhub.ShardID]time.Time
	nextPoll      time.Time
	pollInFlight  bool
	// remoteOwners holds the owner records of other failure domains. They come from
	// heartbeats and from a listing every remoteInterval.
	remoteOwners   map[heatherhub.ShardID]ownerRecord
	nextRemotePoll time.Time
	// stopping means that the process is shutting down, and leaving that the platform
	// lists the host as leaving. Either makes the host hand over its shards.
	stopping bool
	leaving  bool
	changes  []change
	// shards lists the shards of this host's failure domain in order.
	shards []heatherhub.ShardID
	// preferred caches the preferred owner of each of shards, by its position, among
	// the hosts in preferredAmong.
	preferred      []heatherhub.HostID
	preferredAmong []heatherhub.HostID
}

func newHost(cfg Config) *host {
	h := &host{
		cfg:            cfg,
		peers:          newPeers(&cfg),
		owned:          make(map[heatherhub.ShardID]*ownedShard),
		renewingSince:  make(map[heatherhub.ShardID]time.Time),
		writesInFlight: make(map[heatherhub.ShardID]bool),
		lastWriteAt:    make(map[heatherhub.ShardID]time.Time),
		lapsedSince:    make(map[heatherhub.ShardID]time.Time),
		unheldSince:    make(map[heatherhub.ShardID]time.Time),
		handoverBegan:  make(map[heatherhub.ShardID]time.Time),
		sessionSeenAt:  make(map[store.LeaseID]time.Time),
		sessionStarts:  make(map[heatherhub.HostID][]time.Time),
		remoteOwners:   make(map[heatherhub.ShardID]ownerRecord),
		shards:         cfg.Layout.DomainShards(cfg.Domain),
	}
	h.session = session{cfg: &h.cfg, seed: cfg.Seed}
	return h
}

// validUntil returns when the right to act on a shard ends; zero if the host has
// none.
func (h *host) validUntil(s heatherhub.ShardID) time.Time {
	o, ok := h.owned[s]
	if !ok || h.session.stage != sessionHeld || o.record.Session != h.session.id {
		return time.Time{}
	}
	return h.session.validUntil
}

// isDraining reports whether the host hands over all its shards.
func (h *host) isDraining() bool {
	return h.stopping || h.leaving
}

func (h *host) tick(now time.Time) []Call {
	calls := h.session.tick(now)
	if h.stopping && len(h.owned)+len(h.writesInFlight) == 0 {
		calls = append(calls, h.session.end()...)
	}
	if !h.pollInFlight && !now.Before(h.nextPoll) {
		h.pollInFlight = true
		h.nextPoll = now.Add(h.cfg.PollInterval)
		calls = append(calls, Call{Kind: CallList, Key: domainPrefix(h.cfg.Domain), purpose: purposePoll})
	}
	if len(h.cfg.Layout.Shards) > 1 && !now.Before(h.nextRemotePoll) {
		h.nextRemotePoll = now.Add(remoteInterval)
		calls = append(calls, Call{Kind: CallList, Key: ownPrefix, purpose: purposeRemote})
	}
	for _, s := range h.shards {
		if o, ok := h.owned[s]; ok && o.releasing && !h.writesInFlight[s] && h.session.isValid(now) {
			calls = append(calls, h.releaseRecord(s, o))
		}
	}
	h.tickRenewers(now)
	h.handingOver = h.shardsToHandOver(now)
	return calls
}

func (h *host) answer(now time.Time, a Answer) []Call {
	switch a.Call.purpose {
	case purposeSession:
		h.session.answer(now, a)
	case purposePoll:
		h.pollInFlight = false
		if a.Err == nil {
			return h.handleListing(now, a)
		}
	case purposeRemote:
		for s, r := range parseListing(a.Entries).owners {
			h.updateRemoteOwner(s, r)
		}
	case purposeAcquire, purposeReclaim, purposeRelease:
		h.recordWritten(now, a)
	}
	return nil
}

// updateRemoteOwner records the owner of a shard of another failure domain, unless a
// record with a higher epoch is known.
func (h *host) updateRemoteOwner(s heatherhub.ShardID, r ownerRecord) {
	if s.Domain != h.cfg.Domain && r.Epoch >= h.remoteOwners[s].Epoch {
		h.remoteOwners[s] = r
	}
}

// handleListing applies a listing of the failure domain's sessions and owner records
// and claims shards that this host should own. It skips shards whose record is being
// written, or was written after the listing was requested, since the listing may be
// older than that write.
func (h *host) handleListing(now time.Time, a Answer) []Call {
	h.listing = parseListing(a.Entries)
	h.listingSentAt = a.SentAt
	h.trackSessions(now)
	var calls []Call
	preferred := h.preferredOwners(h.candidates(now))
	for i, s := range h.shards {
		if h.writesInFlight[s] || a.SentAt.Before(h.lastWriteAt[s]) {
			continue
		}
		r, ok := h.listing.owners[s]
		h.reconcileRecord(now, s, r)
		calls = append(calls, h.claimOrReclaim(now, s, r, ok, preferred[i])...)
	}
	return calls
}

// heartbeat returns this host's heartbeat, which is sent to a peer now.
func (h *host) heartbeat(now time.Time, to heatherhub.HostID) Heartbeat {
	b := Heartbeat{HeldShards: h.heldShards(), Leaving: h.isDraining(), OwnersUnread: h.listingSentAt.IsZero()}
	for id := range h.sessionStarts {
		if h.isFlapping(id) {
			b.Flapping = append(b.Flapping, id)
		}
	}
	slices.Sort(b.Flapping)
	h.peers.stamp(now, to, &b)
	return b
}

// receiveHeartbeat applies a peer's heartbeat. A higher epoch of a shard ends this
// host's ownership of it.
func (h *host) receiveHeartbeat(now time.Time, from heatherhub.HostID, b Heartbeat) {
	h.peers.receive(now, from, b)
	for _, held := range b.HeldShards {
		o, ok := h.owned[held.Shard]
		if ok && !held.RenewOnly && held.Epoch > o.record.Epoch && !h.cfg.Unsafe.SkipEpochCheck {
			h.lose(held.Shard)
		}
		if !held.RenewOnly {
			h.stopRenewing(held.Shard)
		}
	}
}

func (h *host) setHosts(now time.Time, hosts []hostlist.Host) {
	h.peers.setHosts(now, hosts, h.cfg.Domain)
	h.leaving = slices.ContainsFunc(hosts, func(entry hostlist.Host) bool {
		return entry.Role == hostlist.RoleEntry && entry.ID == string(h.cfg.Self) && entry.State == hostlist.StateLeaving
	})
}

func (h *host) takeChanges() []change {
	c := h.changes
	h.changes = nil
	return c
}

// heldShards lists the shards that this host owns or renews, for its heartbeat.
func (h *host) heldShards() []HeldShard {
	var list []HeldShard
	for _, s := range h.shards {
		if o, ok := h.owned[s]; ok {
			list = append(list, HeldShard{Shard: s, Epoch: o.record.Epoch})
		} else if h.isRenewing(s) {
			list = append(list, HeldShard{Shard: s, Epoch: h.listing.owners[s].Epoch, RenewOnly: true})
		}
	}
	return list
}

// preferredOwners returns the preferred owner of each of h.shards among the live
// hosts. The result is cached until the hosts change.
func (h *host) preferredOwners(live []heatherhub.HostID) []heatherhub.HostID {
	if h.preferred == nil || !slices.Equal(live, h.preferredAmong) {
		h.preferred = h.cfg.Layout.PreferredOwners(h.cfg.Domain, live)
		h.preferredAmong = live
	}
	return h.preferred
}

// owner returns the host that serves a shard, as far as this host knows: itself, the
// sender of the heartbeat with the highest epoch, or else the owner in the store. For
// a shard of another failure domain it is the last known record.
func (h *host) owner(now time.Time, s heatherhub.ShardID) (heatherhub.HostID, bool) {
	if s.Domain != h.cfg.Domain {
		r := h.remoteOwners[s]
		return r.Owner, r.Owner != "" && !r.Released
	}
	if _, ok := h.owned[s]; ok || h.isRenewing(s) {
		return h.cfg.Self, true
	}
	best, epoch := heatherhub.HostID(""), heatherhub.Epoch(0)
	for id, p := range h.peers.known {
		for _, held := range p.heartbeat.HeldShards {
			if held.Shard == s && p.isFresh(now) && (held.Epoch > epoch || held.Epoch == epoch && !held.RenewOnly) {
				best, epoch = id, held.Epoch
			}
		}
	}
	if r := h.listing.owners[s]; best == "" && r.Owner != h.cfg.Self && !r.Released {
		best = r.Owner
	}
	return best, best != ""
}
