package owner

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/record"
)

// campaign claims shards without an owner until ctx ends.
func (h *Host) campaign(ctx context.Context) {
	next := campaignInterval
	for {
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-h.campaignWake:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
		h.releaseOrphans(ctx)
		var shards []record.ShardSize
		if shards, next = h.claimableShards(); len(shards) > 0 {
			// One claim at a time: each owned shard raises claimDelay for the next one.
			h.acquireShard(ctx, shards[0])
		}
	}
}

// releaseOrphans deletes this host's owner keys of shards that it does not run: the
// answer to a claim was lost and the claim took effect later, or a term ended before
// the lease. The lease is renewed for the other shards, so such a key would not expire.
func (h *Host) releaseOrphans(ctx context.Context) {
	if h.session.sinceContact() > maxOrphanCheckSilence {
		return
	}
	for s, o := range h.view.Load().Owners {
		h.mu.Lock()
		isRunning := h.terms[s] != nil
		h.mu.Unlock()
		if o.Host != h.cfg.Self || isRunning {
			continue
		}
		if err := h.releaseOrphan(ctx, s); err != nil {
			h.cfg.Log.Info("orphaned shard not released", zap.Stringer("shard", s), zap.Error(err))
			continue
		}
		h.cfg.Log.Info("orphaned shard released", zap.Stringer("shard", s))
	}
}

// releaseOrphan deletes the owner key of a shard if it still names this host.
func (h *Host) releaseOrphan(ctx context.Context, s heatherhub.ShardID) error {
	key := record.OwnerKey(s)
	it, err := h.cfg.Store.Get(ctx, key)
	if err != nil || it.Revision == 0 {
		return err
	}
	var o record.Owner
	if err := heatherhub.Unmarshal(it.Value, &o); err != nil {
		return err
	}
	if o.Host != h.cfg.Self {
		return nil
	}
	_, err = h.cfg.Store.Commit(ctx, ledger.Txn{Preconditions: []ledger.Precondition{{Key: key, Revision: it.Revision}}, Deletes: []string{key}})
	return err
}

// claimableShards returns the shards that have had no owner for at least this host's
// claim delay, and the time until the next look at them.
func (h *Host) claimableShards() ([]record.ShardSize, time.Duration) {
	v := h.view.Load()
	now := h.cfg.Clock.Now().Steady
	next := campaignInterval
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []record.ShardSize
	for _, s := range v.Layout.Shards {
		if _, ok := v.Owners[s.Shard]; ok || h.terms[s.Shard] != nil {
			delete(h.ownerlessSince, s.Shard)
			continue
		}
		since, ok := h.ownerlessSince[s.Shard]
		if !ok {
			since = now
			h.ownerlessSince[s.Shard] = now
		}
		if left := since + h.claimDelay(s) - now; left > 0 {
			next = min(next, left)
			continue
		}
		out = append(out, s)
	}
	return out, next
}

// claimDelay returns how long this host waits before it claims an ownerless shard, so
// that hosts that can carry it, are in its failure domain or own less claim it first. Hosts
// that are equal in that are spread by a hash, so that they do not all claim at once. The
// caller holds h.mu.
func (h *Host) claimDelay(s record.ShardSize) time.Duration {
	layout := &h.view.Load().Layout
	workers := s.Workers
	for owned := range h.terms {
		workers += layout.WorkersOf(owned)
	}
	load := float64(workers) / float64(h.carriedWorkers())
	d := time.Duration(min(load, 1)*float64(claimDelayAtCapacity)) + h.claimSpread(s.Shard)
	if load > 1 {
		d += min(time.Duration((load-1)*float64(claimDelayPerOverload)), maxOverloadDelay)
	}
	if s.Shard.Domain != h.cfg.Domain && s.Shard.Domain != record.SiteDomain {
		d += claimDelayOtherDomain
	}
	return d
}

// claimSpread returns a part of maxClaimSpread that depends on the host and the shard.
func (h *Host) claimSpread(s heatherhub.ShardID) time.Duration {
	f := fnv.New32a()
	_, _ = f.Write([]byte(string(h.cfg.Self) + "/" + s.String()))
	return maxClaimSpread * time.Duration(f.Sum32()%spreadSteps) / spreadSteps
}

// acquireShard claims a shard and, if that succeeds, runs a term of it.
func (h *Host) acquireShard(ctx context.Context, size record.ShardSize) {
	s := size.Shard
	lease, err := h.session.ensureLease(ctx)
	if err != nil {
		h.cfg.Log.Warn("no session", zap.Stringer("shard", s), zap.Error(err))
		return
	}
	h.claimAttempts++
	owner := record.Owner{Host: h.cfg.Self, Address: h.cfg.Address, Nonce: string(h.cfg.Self) + "/" + strconv.Itoa(h.claimAttempts) + "/" + strconv.FormatInt(int64(h.cfg.Clock.Now().Wall.UnixNano()), 36)}
	claimedAt := h.cfg.Clock.Now().Steady
	rev, err := h.claim(ctx, s, owner, lease)
	if err != nil {
		h.cfg.Log.Info("shard not taken", zap.Stringer("shard", s), zap.Error(err))
		return
	}
	t := newTerm(h, s, rev, claimedAt)
	h.mu.Lock()
	h.terms[s] = t
	delete(h.ownerlessSince, s)
	h.mu.Unlock()
	h.metrics.takeovers.Inc()
	h.cfg.Log.Info("shard taken", zap.Stringer("shard", s), zap.Uint64("token", uint64(t.token)), zap.Int("workers", size.Workers), zap.Int("carries", h.carriedWorkers()))
	h.group.Go(func() {
		t.run()
		h.mu.Lock()
		if h.terms[s] == t {
			delete(h.terms, s)
		}
		h.mu.Unlock()
		h.wakeCampaign()
		t.leaveLeases(ctx)
	})
}

// claim creates the owner key of a shard and returns the revision of its creation. If
// the answer to the commit is lost, claim reads the key to learn whether it took effect.
func (h *Host) claim(ctx context.Context, s heatherhub.ShardID, o record.Owner, lease ledger.LeaseID) (ledger.Revision, error) {
	value, err := record.Encode(o)
	if err != nil {
		return 0, err
	}
	key := record.OwnerKey(s)
	rev, err := h.cfg.Store.Commit(ctx, ledger.Txn{
		Preconditions: []ledger.Precondition{{Key: key}},
		Puts:          []ledger.Put{{Key: key, Value: value, Lease: lease}},
	})
	if err == nil {
		return rev, nil
	}
	if heatherhub.CodeOf(err) == heatherhub.CodeNotFound {
		h.session.clearLease(lease)
		return 0, err
	}
	if heatherhub.DidNotRun(err) {
		return 0, err
	}
	it, getErr := h.cfg.Store.Get(ctx, key)
	if getErr != nil {
		return 0, getErr
	}
	if it.Revision > 0 && string(it.Value) == string(value) {
		return it.Created, nil
	}
	return 0, err
}
