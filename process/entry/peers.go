package entry

import (
	"context"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/process/shard"
)

// relayTimeout bounds the exchange of a configuration with one peer.
const relayTimeout = 2 * time.Second

// registerPeerHandlers registers the methods of the peer protocol.
func (e *Entry) registerPeerHandlers() {
	e.peerServer.Handle(peer.MethodServe, e.owner.Handler())
	e.peerServer.Handle(peer.MethodHeartbeat, peer.NewHandler(e.handleHeartbeat))
	e.peerServer.Handle(peer.MethodSnapshot, peer.NewHandler(e.handleSnapshot))
	e.peerServer.Handle(peer.MethodJobAdd, peer.NewHandler(e.handleJobAdd))
	e.peerServer.Handle(peer.MethodJobCancel, peer.NewHandler(e.handleJobCancel))
	e.peerServer.Handle(peer.MethodJobList, peer.NewHandler(e.handleJobList))
	e.peerServer.Handle(peer.MethodWorkerList, peer.NewHandler(e.handleWorkerList))
	e.peerServer.Handle(peer.MethodStatus, peer.NewHandler(e.handleStatus))
}

// handleHeartbeat passes a heartbeat to the shard runtime and fetches the sender's
// configuration if it is newer.
func (e *Entry) handleHeartbeat(_ context.Context, from heatherhub.HostID, b shard.Heartbeat) (shard.Heartbeat, error) {
	if b.Version > e.keeper.Current().Version {
		e.group.Go(func() { e.exchangeSnapshot(from) })
	}
	return e.runtime.ReceiveHeartbeat(from, b), nil
}

// handleSnapshot accepts a relayed configuration if it is newer, and replies with
// this host's configuration if that is newer than the sender's.
func (e *Entry) handleSnapshot(_ context.Context, _ heatherhub.HostID, m snapshotMessage) (snapshotMessage, error) {
	if m.Snapshot != nil {
		e.keeper.Offer(m.Snapshot)
	}
	return e.snapshotFor(m.Version), nil
}

// snapshotFor returns the version in force, with the configuration itself only if
// it is newer than the receiver's version.
func (e *Entry) snapshotFor(receiver heatherhub.Version) snapshotMessage {
	current := e.keeper.Current()
	m := snapshotMessage{Version: current.Version}
	if current.Version > receiver {
		m.Snapshot = current
	}
	return m
}

// exchangeSnapshot sends the configuration in force to a peer and accepts the
// peer's if that is newer. Errors are ignored: the heartbeats carry the version, so
// a missed exchange is repeated.
func (e *Entry) exchangeSnapshot(to heatherhub.HostID) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	current := e.keeper.Current()
	m := snapshotMessage{Snapshot: current, Version: current.Version}
	if current.Version == 0 {
		m.Snapshot = nil
	}
	answer, err := peer.Call[snapshotMessage](ctx, e.peerClient, to, peer.MethodSnapshot, m)
	if err == nil && answer.Snapshot != nil {
		e.keeper.Offer(answer.Snapshot)
	}
}

// relaySnapshot sends a new configuration to every peer of this failure domain and
// to one host of each other domain, which relays it there in turn.
func (e *Entry) relaySnapshot(_ *heatherhub.Snapshot) {
	if e.isLeaving.Load() {
		return
	}
	for _, to := range e.relayTargets() {
		e.group.Go(func() { e.exchangeSnapshot(to) })
	}
}

func (e *Entry) relayTargets() []heatherhub.HostID {
	var targets []heatherhub.HostID
	covered := make(map[heatherhub.FailureDomain]bool)
	for _, h := range e.hostList.entryHosts() {
		id := heatherhub.HostID(h.ID)
		if id == e.cfg.Self || h.Domain != e.cfg.Domain && covered[h.Domain] {
			continue
		}
		covered[h.Domain] = true
		targets = append(targets, id)
	}
	return targets
}
