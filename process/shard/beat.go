package shard

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/process/shard/core"
)

// maxBeatShards bounds the shards that one heartbeat may name.
const maxBeatShards = 4096

// Held is one shard in a heartbeat.
type Held struct {
	Index int              `msgpack:"i"`
	Epoch heatherhub.Epoch `msgpack:"e"`
	// Owner is set when the sender names another host's shard.
	Owner heatherhub.HostID `msgpack:"o,omitempty"`
	// Kept says that the sender only renews the tasks of a silent owner.
	Kept bool `msgpack:"k,omitempty"`
}

// Beat is a heartbeat between entry hosts. To a peer of the same failure domain
// it names the sender's own shards, to others the owners of the whole domain.
type Beat struct {
	Domain  heatherhub.FailureDomain `msgpack:"d"`
	Version heatherhub.Version       `msgpack:"v"`
	Held    []Held                   `msgpack:"h,omitempty"`
	// Leaving says that the sender hands its shards over.
	Leaving bool `msgpack:"l,omitempty"`
	// Blind says that the sender has not read the owners of the shards yet.
	Blind bool `msgpack:"b,omitempty"`
	// Damped has the hosts whose sessions came and went too often lately.
	Damped []heatherhub.HostID `msgpack:"f,omitempty"`
}

// DecodeMsgpack decodes a heartbeat and checks it.
func (b *Beat) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire Beat
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	if len(w.Held) > maxBeatShards {
		return heatherhub.ErrInvalid.New("heartbeat names %d shards: use at most %d", len(w.Held), maxBeatShards)
	}
	*b = Beat(w)
	return nil
}

// Beat returns the heartbeat of this host for peers of its own failure domain.
func (rt *Runtime) Beat() Beat {
	own := rt.node.Heartbeat()
	b := Beat{Domain: rt.cfg.Domain, Version: rt.version(), Leaving: own.Leaving, Blind: own.OwnersUnread, Damped: own.Flapping}
	for _, h := range own.HeldShards {
		b.Held = append(b.Held, Held{Index: h.Shard.Index, Epoch: h.Epoch, Kept: h.RenewOnly})
	}
	return b
}

// domainBeat returns the heartbeat for peers of other failure domains.
func (rt *Runtime) domainBeat() Beat {
	b := Beat{Domain: rt.cfg.Domain, Version: rt.version()}
	for _, o := range rt.node.DomainOwners(rt.clock.Now()) {
		b.Held = append(b.Held, Held{Index: o.Shard.Index, Epoch: o.Epoch, Owner: o.Owner})
	}
	return b
}

func (rt *Runtime) version() heatherhub.Version {
	if rt.cfg.Snapshot == nil {
		return 0
	}
	s := rt.cfg.Snapshot()
	if s == nil {
		return 0
	}
	return s.Version
}

// TakeBeat takes a peer's heartbeat and returns this host's.
func (rt *Runtime) TakeBeat(from heatherhub.HostID, b Beat) Beat {
	if b.Domain != rt.cfg.Domain {
		var owners []core.ShardOwner
		for _, h := range b.Held {
			s := heatherhub.ShardID{Domain: b.Domain, Index: h.Index}
			owners = append(owners, core.ShardOwner{Shard: s, Owner: h.Owner, Epoch: h.Epoch})
		}
		rt.node.UpdateRemoteOwners(owners)
		return rt.domainBeat()
	}
	taken := core.Heartbeat{Leaving: b.Leaving, OwnersUnread: b.Blind, Flapping: b.Damped}
	for _, h := range b.Held {
		s := heatherhub.ShardID{Domain: b.Domain, Index: h.Index}
		taken.HeldShards = append(taken.HeldShards, core.HeldShard{Shard: s, Epoch: h.Epoch, RenewOnly: h.Kept})
	}
	rt.carry(rt.node.ReceiveHeartbeat(rt.clock.Now(), from, taken))
	return rt.Beat()
}

// entryHost is one listed entry host.
type entryHost struct {
	id     heatherhub.HostID
	domain heatherhub.FailureDomain
}

func (rt *Runtime) noteEntries(hosts []hostlist.Host) {
	var entries []entryHost
	for _, h := range hosts {
		if h.Role == hostlist.RoleEntry && h.ID != string(rt.cfg.Self) {
			entries = append(entries, entryHost{heatherhub.HostID(h.ID), h.Domain})
		}
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.entries = entries
}

// sendBeats sends a heartbeat to every peer of the failure domain, and to one
// host of the others in turn.
func (rt *Runtime) sendBeats(ctx context.Context) {
	if rt.cfg.Peers == nil {
		return
	}
	rt.mu.Lock()
	rt.round++
	var others []entryHost
	for _, e := range rt.entries {
		if e.domain != rt.cfg.Domain {
			others = append(others, e)
			continue
		}
		rt.group.Go(func() { rt.sendBeat(ctx, e.id, rt.Beat()) })
	}
	round := rt.round
	rt.mu.Unlock()
	if len(others) > 0 {
		rt.group.Go(func() { rt.sendBeat(ctx, others[round%len(others)].id, rt.domainBeat()) })
	}
}

// Refresh exchanges heartbeats with a host of the shard's failure domain at once
// and so learns the owners that it knows. It is for callers that found an owner
// to be out of date; the host that failed them is asked last.
func (rt *Runtime) Refresh(ctx context.Context, s heatherhub.ShardID, failed heatherhub.HostID) {
	to := failed
	rt.mu.Lock()
	for _, e := range rt.entries {
		if e.domain == s.Domain && e.id != failed {
			to = e.id
			break
		}
	}
	rt.mu.Unlock()
	if rt.cfg.Peers == nil || to == rt.cfg.Self {
		return
	}
	if s.Domain == rt.cfg.Domain {
		rt.sendBeat(ctx, to, rt.Beat())
		return
	}
	rt.sendBeat(ctx, to, rt.domainBeat())
}

func (rt *Runtime) sendBeat(ctx context.Context, to heatherhub.HostID, b Beat) {
	ctx, cancel := context.WithTimeout(ctx, core.DefaultHeartbeatInterval)
	defer cancel()
	answer, err := peer.Call[Beat](ctx, rt.cfg.Peers, to, peer.MethodHeartbeat, b)
	if err != nil {
		return
	}
	rt.TakeBeat(to, answer)
}
