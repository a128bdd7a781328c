package entry

import (
	"context"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/process/shard"
)

// relayTimeout is the longest time of one relay of a configuration.
const relayTimeout = 2 * time.Second

// registerPeerHandlers sets the handlers of the peer protocol.
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

func (e *Entry) handleHeartbeat(_ context.Context, from heatherhub.HostID, b shard.Heartbeat) (shard.Heartbeat, error) {
	if b.Version > e.keeper.Current().Version {
		e.group.Go(func() { e.exchangeSnapshot(from) })
	}
	return e.runtime.ReceiveHeartbeat(from, b), nil
}

// handleSnapshot takes a relayed configuration if it is newer, and answers with
// this host's if that is newer than the sender's.
func (e *Entry) handleSnapshot(_ context.Context, _ heatherhub.HostID, m snapshotMessage) (snapshotMessage, error) {
	if m.Snapshot != nil {
		e.keeper.Offer(m.Snapshot)
	}
	return e.snapshotFor(m.Version), nil
}

// snapshotFor returns the configuration in force, whole only if it is newer than
// the version that the receiver has.
func (e *Entry) snapshotFor(has heatherhub.Version) snapshotMessage {
	current := e.keeper.Current()
	m := snapshotMessage{Version: current.Version}
	if current.Version > has {
		m.Snapshot = current
	}
	return m
}

// exchangeSnapshot offers the configuration in force to a peer and takes the
// peer's if that is newer.
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

// relaySnapshot passes a new configuration to the peers of the failure domain and to one
// host of each other failure domain.
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
	reached := make(map[heatherhub.FailureDomain]bool)
	for _, h := range e.hostList.entryHosts() {
		id := heatherhub.HostID(h.ID)
		if id == e.cfg.Self || h.Domain != e.cfg.Domain && reached[h.Domain] {
			continue
		}
		reached[h.Domain] = true
		targets = append(targets, id)
	}
	return targets
}
