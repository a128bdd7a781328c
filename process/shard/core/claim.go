package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
)

// firstEpoch is the epoch of a shard's first owner.
const firstEpoch heatherhub.Epoch = 1

// reconcileRecord adapts this host's ownership of a shard to the record in the store.
// It gives up a shard that has another owner, and becomes the owner of one whose
// record names this host, which happens when the answer to the write was lost.
func (h *host) reconcileRecord(now time.Time, s heatherhub.ShardID, r ownerRecord) {
	o, holds := h.owned[s]
	isMine := r.Owner == h.cfg.Self && !r.Released && r.Session == h.session.id && h.session.stage == sessionHeld
	switch {
	case holds && r.Epoch > o.record.Epoch && isMine && r.Epoch == o.record.Epoch+1:
		h.reclaimed(s, r)
	case holds && (r.Epoch > o.record.Epoch || r.Released && r.Epoch == o.record.Epoch):
		h.lose(s)
	case !holds && isMine:
		h.becomeOwner(now, s, r, false)
	}
}

// claimOrReclaim returns the write of a shard's owner record, if one is due: to
// reclaim an owned shard for a new session, or to claim one that has no live owner
// and for which this host is preferred.
func (h *host) claimOrReclaim(now time.Time, s heatherhub.ShardID, r ownerRecord, exists bool, preferred heatherhub.HostID) []Call {
	if !h.session.isValid(now) {
		return nil
	}
	o, holds := h.owned[s]
	_, alive := h.listing.sessions[r.Session]
	if alive || !exists || r.Released {
		delete(h.lapsedSince, s)
	}
	switch {
	case holds && o.record.Session != h.session.id:
		next := ownerRecord{Owner: h.cfg.Self, Epoch: o.record.Epoch + 1, Session: h.session.id}
		return []Call{h.writeRecord(s, next, o.record.revision, purposeReclaim)}
	case holds || preferred != h.cfg.Self || h.isDraining():
		return nil
	case !exists || r.Released || !alive && !h.mayReclaim(now, s):
		next := ownerRecord{Owner: h.cfg.Self, Epoch: r.Epoch + 1, Session: h.session.id}
		return []Call{h.writeRecord(s, next, r.revision, purposeAcquire)}
	}
	return nil
}

// mayReclaim reports whether an owner whose session has lapsed still sends heartbeats
// for its shard and is within reclaimTime, as after an outage of the store.
func (h *host) mayReclaim(now time.Time, s heatherhub.ShardID) bool {
	since, ok := h.lapsedSince[s]
	if !ok {
		h.lapsedSince[s] = now
		since = now
	}
	return h.heldByPeer(now, s) && now.Sub(since) < reclaimTime
}

// writeRecord returns the call that replaces a shard's owner record, provided that
// its revision is still the expected one.
func (h *host) writeRecord(s heatherhub.ShardID, r ownerRecord, expect store.Revision, p purpose) Call {
	h.writesInFlight[s] = true
	return Call{
		Kind:     CallWrite,
		Shard:    s,
		NotAfter: h.session.validUntil,
		Write:    store.Write{Key: ownerKey(s), Value: r.encode(), Expect: expect},
		epoch:    r.Epoch,
		purpose:  p,
	}
}

func (h *host) releaseRecord(s heatherhub.ShardID, o *ownedShard) Call {
	r := ownerRecord{Epoch: o.record.Epoch, Released: true}
	return h.writeRecord(s, r, o.record.revision, purposeRelease)
}

// recordWritten applies the answer to a write of an owner record. After a conflict or
// a lost answer, the next listing shows the record in the store.
func (h *host) recordWritten(now time.Time, a Answer) {
	s := a.Call.Shard
	delete(h.writesInFlight, s)
	h.lastWriteAt[s] = now
	if a.Err != nil {
		return
	}
	r := ownerRecord{Owner: h.cfg.Self, Epoch: a.Call.epoch, Session: h.session.id, revision: a.Revision}
	switch a.Call.purpose {
	case purposeAcquire:
		previous := h.listing.owners[s]
		h.becomeOwner(now, s, r, previous.Epoch == 0 || previous.Released)
	case purposeReclaim:
		h.reclaimed(s, r)
	case purposeRelease:
		h.lose(s)
	}
}

// becomeOwner takes over a shard. After a clean handover, or for a shard without a
// previous owner, it may start tasks at once. Otherwise it first waits until the
// predecessor's leases have ended.
func (h *host) becomeOwner(now time.Time, s heatherhub.ShardID, r ownerRecord, isClean bool) {
	c := change{kind: changeAcquired, shard: s, epoch: r.Epoch, startNotBefore: now, serveNotBefore: now}
	if !isClean {
		c.startNotBefore = now.Add(h.cfg.leaseWait())
		c.serveNotBefore = now.Add(h.cfg.serveWait())
		if since, ok := h.renewingSince[s]; ok {
			c.serveNotBefore = since.Add(h.cfg.serveWait())
		}
	}
	h.stopRenewing(s)
	h.owned[s] = &ownedShard{record: r, hadOwner: r.Epoch > firstEpoch, startNotBefore: c.startNotBefore}
	h.changes = append(h.changes, c)
}

// reclaimed applies a new epoch of a shard that this host owns without interruption.
func (h *host) reclaimed(s heatherhub.ShardID, r ownerRecord) {
	h.owned[s].record = r
	h.changes = append(h.changes, change{kind: changeReclaimed, shard: s, epoch: r.Epoch})
}

// lose ends this host's ownership of a shard.
func (h *host) lose(s heatherhub.ShardID) {
	if _, ok := h.owned[s]; !ok {
		return
	}
	delete(h.owned, s)
	h.changes = append(h.changes, change{kind: changeLost, shard: s})
}
