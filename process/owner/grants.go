package owner

import (
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/record"
)

// An owner that dies hands no leases over, so its successor would count the leases of workers that are out of reach from its own
// claim. If owners follow one another within the time of a lease, that would never end. So the list of workers bounds, for each
// worker that an owner has inherited and that has not answered it, when the last lease was granted there: some time after a claim,
// its own or, if it has inherited such a bound, an earlier one. Each host notes when it sees a claim, which is not before the
// claim was made, and counts the bound from there. No clock is read by another host.
//
// The bound is a promise. Once a list may be stored that has it, the writer grants the worker no lease after the bound until
// it has written a list without it. An owner in between that has written no list need not keep the promise, so a list counts only
// if its writer was the last owner before, as for leases that are handed over (release.go).

// maxClaimSightings bounds the claims of a shard that a host remembers.
const maxClaimSightings = 16

// claimSighting is the steady time at which a host has seen the owner key of a revision.
type claimSighting struct {
	claim ledger.Revision
	at    time.Duration
}

// sightings are the last claims of a shard that a host has seen, in order.
type sightings []claimSighting

// with returns the sightings with that of a claim at now added, unless it or a later one is known.
func (s sightings) with(claim ledger.Revision, now time.Duration) sightings {
	if n := len(s); n > 0 && s[n-1].claim >= claim {
		return s
	}
	if len(s) >= maxClaimSightings {
		s = s[1:]
	}
	return append(s, claimSighting{claim: claim, at: now})
}

// madeBy returns a steady time by which a claim had been made. It reports false if neither it nor a later one was seen.
func (s sightings) madeBy(claim ledger.Revision) (time.Duration, bool) {
	for _, c := range s {
		if c.claim >= claim {
			return c.at, true
		}
	}
	return 0, false
}

// grantBound says that no owner has granted a worker a lease later than after, on any host's clock, from a claim.
type grantBound struct {
	claim ledger.Revision
	after time.Duration
}

// grants are what an owner knows, and has written, of the leases of the workers that it has inherited.
type grants struct {
	// answered holds the workers that have answered this owner, which may have granted them leases.
	answered members
	// inherited holds the bounds that the former owner has written.
	inherited map[heatherhub.WorkerID]grantBound
	// promised holds, for the workers of which a list of this owner that may be stored has a bound, the steady time up to which
	// this owner may grant them leases.
	promised map[heatherhub.WorkerID]time.Duration
}

func newGrants() grants {
	return grants{answered: make(members), inherited: make(map[heatherhub.WorkerID]grantBound), promised: make(map[heatherhub.WorkerID]time.Duration)}
}

// mayGrant reports whether this owner may grant a worker a lease at now. The caller holds t.mu.
func (t *term) mayGrant(id heatherhub.WorkerID, now time.Duration) bool {
	until, ok := t.fleet.grants.promised[id]
	return !ok || now < until
}

// recordAnswer records that a worker has answered this owner. The list that bounds its leases is written anew. The caller holds t.mu.
func (t *term) recordAnswer(id heatherhub.WorkerID) {
	g := &t.fleet.grants
	if _, ok := g.answered[id]; !ok {
		g.answered[id] = struct{}{}
		if _, ok := g.promised[id]; ok {
			t.rewriteFleet()
		}
	}
	if _, ok := g.promised[id]; ok {
		// The last write may have failed.
		signal(t.wakeCommit)
	}
}

// isSilentSinceClaim reports whether a worker that an earlier owner has used has not answered this one. The caller holds t.mu.
func (t *term) isSilentSinceClaim(id heatherhub.WorkerID) bool {
	_, hasAnswered := t.fleet.grants.answered[id]
	_, isReached := t.fleet.reached[id]
	return isReached && !hasAnswered && t.workers[id] != nil
}

// promiseGrants returns the bound for a worker in a list that is written at now, and keeps the promise from then on. It reports
// false if the list has none. The caller holds t.mu.
func (t *term) promiseGrants(id heatherhub.WorkerID, now time.Duration) (grantBound, bool) {
	if !t.isSilentSinceClaim(id) {
		return grantBound{}, false
	}
	g := &t.fleet.grants
	if b, ok := g.inherited[id]; ok {
		// When that claim was made is only known to be no later than some time, so none is certain to be left.
		g.promised[id] = never
		return b, true
	}
	if now < t.startedAt+overdueAnswer {
		return grantBound{}, false
	}
	// A worker that answers soon keeps its lease for as long, also if no list can be written meanwhile.
	ownUntil := t.claimedAt + t.host.cfg.WorkerLease
	if _, ok := g.promised[id]; !ok {
		g.promised[id] = ownUntil
	}
	return grantBound{claim: t.ownerRevision, after: max(ownUntil, t.formerStopsAt()) - t.claimedAt}, true
}

// updatePromised forgets the promises that the stored list no longer has.
func (g *grants) updatePromised(list record.Fleet) {
	kept := make(map[heatherhub.WorkerID]time.Duration)
	for _, w := range list.Workers {
		if until, ok := g.promised[w.ID]; ok && w.GrantsClaim > 0 {
			kept[w.ID] = until
		}
	}
	g.promised = kept
}

// boundSilentWorkers has the list written with the bounds of workers that have not answered for some time after the claim.
func (t *term) boundSilentWorkers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	for id := range t.workers {
		if t.isSilentSinceClaim(id) {
			t.rewriteFleet()
			return
		}
	}
}

// inheritGrants applies the bounds of a list whose writer was the last owner before this one. The caller holds t.mu.
func (t *term) inheritGrants(list *record.Fleet, seen sightings) {
	now := t.now().Steady
	count, over := 0, 0
	for _, f := range list.Workers {
		w := t.workers[f.ID]
		madeBy, ok := seen.madeBy(f.GrantsClaim)
		if w == nil || f.GrantsClaim == 0 || f.GrantsEnd < 0 || !ok {
			continue
		}
		w.mu.Lock()
		w.grantsEnd = madeBy + onSlowestClock(f.GrantsEnd)
		w.mu.Unlock()
		t.fleet.grants.inherited[f.ID] = grantBound{claim: f.GrantsClaim, after: f.GrantsEnd}
		count++
		if w.longRunningExpiry() <= now {
			over++
		}
	}
	if count == 0 {
		return
	}
	t.rewriteFleet()
	t.log.Info("silent workers inherited", zap.Int("workers", count), zap.Int("over", over), zap.Duration("after", now-t.startedAt))
}
