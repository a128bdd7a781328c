package shard

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/process/shard/core"
)

// maxHeartbeatShards is the maximum number of shards in a heartbeat.
const maxHeartbeatShards = 4096

// HeldShard is a shard in a heartbeat.
type HeldShard struct {
	Index int              `msgpack:"i"`
	Epoch heatherhub.Epoch `msgpack:"e"`
	// Owner is set in heartbeats to other failure domains, where the shard may belong to
	// another host than the sender.
	Owner heatherhub.HostID `msgpack:"o,omitempty"`
	// RenewOnly means that the sender does not own the shard but renews its tasks for a
	// silent owner.
	RenewOnly bool `msgpack:"k,omitempty"`
}

// Heartbeat is a heartbeat between entry hosts. To a peer of the same failure domain it
// lists the shards that the sender holds, to other peers the owners of all shards of the
// sender's failure domain.
type Heartbeat struct {
	Domain     heatherhub.FailureDomain `msgpack:"d"`
	Version    heatherhub.Version       `msgpack:"v"`
	HeldShards []HeldShard              `msgpack:"h,omitempty"`
	// Leaving means that the sender hands over its shards.
	Leaving bool `msgpack:"l,omitempty"`
	// OwnersUnread means that the sender has not read the owners of the shards yet.
	OwnersUnread bool `msgpack:"b,omitempty"`
	// Flapping lists the hosts that started too many sessions lately.
	Flapping []heatherhub.HostID `msgpack:"f,omitempty"`
	// Stamp identifies the heartbeat, and Echo names the last one that the sender received
	// from the receiver.
	Stamp core.Stamp `msgpack:"s,omitempty"`
	Echo  core.Stamp `msgpack:"e,omitempty"`
}

// DecodeMsgpack decodes a heartbeat and checks it.
func (b *Heartbeat) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire Heartbeat
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	if len(w.HeldShards) > maxHeartbeatShards {
		return heatherhub.ErrInvalid.New("heartbeat has %d shards: send at most %d", len(w.HeldShards), maxHeartbeatShards)
	}
	*b = Heartbeat(w)
	return nil
}

// Heartbeat returns this host's heartbeat to a peer of its own failure domain.
func (rt *Runtime) Heartbeat(to heatherhub.HostID) Heartbeat {
	own := rt.node.Heartbeat(rt.clock.Now(), to)
	b := Heartbeat{
		Domain: rt.cfg.Domain, Version: rt.configVersion(), Leaving: own.Leaving, OwnersUnread: own.OwnersUnread, Flapping: own.Flapping,
		Stamp: own.Stamp, Echo: own.Echo,
	}
	for _, h := range own.HeldShards {
		b.HeldShards = append(b.HeldShards, HeldShard{Index: h.Shard.Index, Epoch: h.Epoch, RenewOnly: h.RenewOnly})
	}
	return b
}

// domainHeartbeat returns this host's heartbeat to peers of other failure domains.
func (rt *Runtime) domainHeartbeat() Heartbeat {
	b := Heartbeat{Domain: rt.cfg.Domain, Version: rt.configVersion()}
	for _, o := range rt.node.DomainOwners(rt.clock.Now()) {
		b.HeldShards = append(b.HeldShards, HeldShard{Index: o.Shard.Index, Epoch: o.Epoch, Owner: o.Owner})
	}
	return b
}

// configVersion returns the version of the configuration in force, or 0 without one.
func (rt *Runtime) configVersion() heatherhub.Version {
	if rt.cfg.Snapshot == nil {
		return 0
	}
	s := rt.cfg.Snapshot()
	if s == nil {
		return 0
	}
	return s.Version
}

// ReceiveHeartbeat applies a peer's heartbeat and returns this host's in answer.
func (rt *Runtime) ReceiveHeartbeat(from heatherhub.HostID, b Heartbeat) Heartbeat {
	if b.Domain != rt.cfg.Domain {
		var owners []core.ShardOwner
		for _, h := range b.HeldShards {
			s := heatherhub.ShardID{Domain: b.Domain, Index: h.Index}
			owners = append(owners, core.ShardOwner{Shard: s, Owner: h.Owner, Epoch: h.Epoch})
		}
		rt.node.UpdateRemoteOwners(owners)
		return rt.domainHeartbeat()
	}
	received := core.Heartbeat{Leaving: b.Leaving, OwnersUnread: b.OwnersUnread, Flapping: b.Flapping, Stamp: b.Stamp, Echo: b.Echo}
	for _, h := range b.HeldShards {
		s := heatherhub.ShardID{Domain: b.Domain, Index: h.Index}
		received.HeldShards = append(received.HeldShards, core.HeldShard{Shard: s, Epoch: h.Epoch, RenewOnly: h.RenewOnly})
	}
	rt.handleOutput(rt.node.ReceiveHeartbeat(rt.clock.Now(), from, received))
	return rt.Heartbeat(from)
}

// entryHost is an entry host in the host list.
type entryHost struct {
	id     heatherhub.HostID
	domain heatherhub.FailureDomain
}

// setEntryHosts sets the peers to the entry hosts in the host list, without this host.
func (rt *Runtime) setEntryHosts(hosts []hostlist.Host) {
	var entries []entryHost
	for _, h := range hosts {
		if h.Role == hostlist.RoleEntry && h.ID != string(rt.cfg.Self) {
			entries = append(entries, entryHost{heatherhub.HostID(h.ID), h.Domain})
		}
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.entryHosts = entries
}

// sendHeartbeats sends a heartbeat to every peer of this failure domain and, in turn, to
// one peer of the others.
func (rt *Runtime) sendHeartbeats(ctx context.Context) {
	if rt.cfg.Peers == nil {
		return
	}
	rt.mu.Lock()
	rt.heartbeatRound++
	var others []entryHost
	for _, e := range rt.entryHosts {
		if e.domain != rt.cfg.Domain {
			others = append(others, e)
			continue
		}
		rt.group.Go(func() { rt.exchangeHeartbeats(ctx, e.id, rt.Heartbeat(e.id)) })
	}
	round := rt.heartbeatRound
	rt.mu.Unlock()
	if len(others) > 0 {
		rt.group.Go(func() { rt.exchangeHeartbeats(ctx, others[round%len(others)].id, rt.domainHeartbeat()) })
	}
}

// Refresh exchanges heartbeats with a host of the shard's failure domain and so learns
// the owners that this host knows. It is meant for callers that were sent to a wrong
// owner. The failed host is asked only if no other host of the failure domain is listed.
func (rt *Runtime) Refresh(ctx context.Context, s heatherhub.ShardID, failed heatherhub.HostID) {
	to := failed
	rt.mu.Lock()
	for _, e := range rt.entryHosts {
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
		rt.exchangeHeartbeats(ctx, to, rt.Heartbeat(to))
		return
	}
	rt.exchangeHeartbeats(ctx, to, rt.domainHeartbeat())
}

// exchangeHeartbeats sends a heartbeat and applies the one in the answer. Errors are
// ignored, since the next round sends another heartbeat.
func (rt *Runtime) exchangeHeartbeats(ctx context.Context, to heatherhub.HostID, b Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, core.DefaultHeartbeatInterval)
	defer cancel()
	answer, err := peer.Call[Heartbeat](ctx, rt.cfg.Peers, to, peer.MethodHeartbeat, b)
	if err != nil {
		return
	}
	rt.ReceiveHeartbeat(to, answer)
}
