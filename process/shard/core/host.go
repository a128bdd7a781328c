package core

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/store"
)

// changeKind tells how the ownership of a shard changed on this host.
type changeKind int

const (
	changeAcquired changeKind = iota
	changeReclaimed
	changeLost
	changeRenewerStarted
	changeRenewerStopped
)

type change struct {
	kind  changeKind
	shard heatherhub.ShardID
	epoch heatherhub.Epoch
	// startNotBefore is when no start of a predecessor can take effect any more.
	startNotBefore time.Time
	// serveNotBefore is when a predecessor that still renews must have seen this host's
	// epoch at each worker that it reaches.
	serveNotBefore time.Time
}

// ownedShard is a shard that this host owns.
type ownedShard struct {
	record ownerRecord
	// releasing is set once the shard has ended its work to be handed over.
	releasing bool
}

// host decides which shards this host owns. It is pure and not safe for
// concurrent use.
type host struct {
	cfg           Config
	session       session
	peers         *peers
	listing       ownerListing
	listingSentAt time.Time
	owned         map[heatherhub.ShardID]*ownedShard
	// renewingSince is since when a shard is renewingSince for a silent owner.
	renewingSince  map[heatherhub.ShardID]time.Time
	writesInFlight map[heatherhub.ShardID]bool
	// lastWriteAt is when the last write of a shard's record was answered.
	lastWriteAt   map[heatherhub.ShardID]time.Time
	sessionSeenAt map[store.LeaseID]time.Time
	sessionStarts map[heatherhub.HostID][]time.Time
	// lapsedSince is since when this host, as the preferred owner, sees that the session
	// of a shard's owner has lapsedSince.
	lapsedSince map[heatherhub.ShardID]time.Time
	// unheldSince is since when nobody has been heard to hold a shard.
	unheldSince map[heatherhub.ShardID]time.Time
	// handingOver has the owned shards that should go to another host.
	handingOver []heatherhub.ShardID
	// handoverBegan is when the present attempt to hand a shard over began.
	handoverBegan map[heatherhub.ShardID]time.Time
	nextPoll      time.Time
	pollInFlight  bool
	// remoteOwners has the owners of other failure domains, from heartbeats and from a
	// sparse listing.
	remoteOwners   map[heatherhub.ShardID]ownerRecord
	nextRemotePoll time.Time
	// stopping says that the process ends; leaving, that the platform lists the
	// host as leaving. Either makes it hand its shards over.
	stopping bool
	leaving  bool
	changes  []change
	// shards are those of this host's failure domain, in order.
	shards []heatherhub.ShardID
	// preferred has the preferred owners among the hosts of preferredAmong.
	preferred      []heatherhub.HostID
	preferredAmong []heatherhub.HostID
}

func newHost(cfg Config) *host {
	h := &host{
		cfg:            cfg,
		peers:          newPeers(cfg.Self),
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
		shards:         cfg.Layout.OfDomain(cfg.Domain),
	}
	h.session = session{cfg: &h.cfg, seed: cfg.Seed}
	return h
}

// validUntil returns the end of the right to act on a shard; zero for none.
func (h *host) validUntil(s heatherhub.ShardID) time.Time {
	o, ok := h.owned[s]
	if !ok || h.session.stage != sessionHeld || o.record.Session != h.session.id {
		return time.Time{}
	}
	return h.session.validUntil
}

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

// updateRemoteOwner takes the owner of a shard of another failure domain.
func (h *host) updateRemoteOwner(s heatherhub.ShardID, r ownerRecord) {
	if s.Domain != h.cfg.Domain && r.Epoch >= h.remoteOwners[s].Epoch {
		h.remoteOwners[s] = r
	}
}

// handleListing compares what the store says with what this host holds. Only a listing
// that was sent after the last change of a shard's record tells about it, so
// shards with a write under way are left alone.
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

// heartbeat returns this host's heartbeat.
func (h *host) heartbeat() Heartbeat {
	b := Heartbeat{HeldShards: h.heldShards(), Leaving: h.isDraining(), OwnersUnread: h.listingSentAt.IsZero()}
	for id := range h.sessionStarts {
		if h.isFlapping(id) {
			b.Flapping = append(b.Flapping, id)
		}
	}
	slices.Sort(b.Flapping)
	return b
}

// receiveHeartbeat takes a peer's heartbeat. A higher epoch ends this host's ownership.
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
	h.leaving = slices.ContainsFunc(hosts, func(line hostlist.Host) bool {
		return line.Role == hostlist.RoleEntry && line.ID == string(h.cfg.Self) && line.State == hostlist.StateLeaving
	})
}

func (h *host) takeChanges() []change {
	c := h.changes
	h.changes = nil
	return c
}

// heldShards lists the shards for this host's heartbeat.
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

// preferredOwners returns the preferred owner of each shard among some hosts. It is worked
// out when the hosts change.
func (h *host) preferredOwners(live []heatherhub.HostID) []heatherhub.HostID {
	if h.preferred == nil || !slices.Equal(live, h.preferredAmong) {
		h.preferred = h.cfg.Layout.Owners(h.cfg.Domain, live)
		h.preferredAmong = live
	}
	return h.preferred
}

// owner returns the owner of a shard, as far as this host knows.
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
