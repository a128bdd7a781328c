package owner

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/version/evacuation"
)

// evacuationCheckInterval is the time between two looks at the tasks that run in evacuated
// domains. They end within seconds.
const evacuationCheckInterval = 250 * time.Millisecond

// unknownDomainDelay is how long a domain has had no worker when it counts as unknown. The entries
// of living workers may lapse for as long.
const unknownDomainDelay = 5 * time.Second

// minEvacuationAge is the least value of maxEvacuationAge. Starts are held back after this time in
// any case, since the entries of the workers are too old then.
const minEvacuationAge = maxEntryAge

// evacuationSlack is the time for the orders of a decision to be queued, and for the readings of
// the clocks.
const evacuationSlack = 100 * time.Millisecond

// maxEvacuationAge returns how long after the store's last answer about the evacuation requests
// tasks are started. A request may have been acknowledged right after that answer, and a worker may
// accept a start for startValidity after it was sent.
func (l *Limits) maxEvacuationAge() time.Duration {
	return max(l.Tuning.EvacuateTime-onSlowestClock(startValidity)-evacuationSlack, minEvacuationAge)
}

// evacuated returns the set of evacuated domains; a host without a watch of them has none.
func (h *Host) evacuated() evacuation.Set {
	if h.cfg.Evacuated == nil {
		return evacuation.NewSet()
	}
	return h.cfg.Evacuated.Load()
}

// isEvacuationStale reports whether a request to evacuate a domain may be in force, or about to
// be, that this host has not read.
func (h *Host) isEvacuationStale(now time.Duration) bool {
	c := h.cfg.Evacuated
	return c != nil && (!c.Load().IsKnown() || now-c.ReadAt() > h.cfg.maxEvacuationAge())
}

// updateEvacuationStale reports whether starts are held back since the requests are not known well
// enough, and logs when that changes. The caller holds t.mu.
func (t *term) updateEvacuationStale(now time.Duration) bool {
	isStale := t.host.isEvacuationStale(now)
	if isStale != t.isEvacuationStale {
		t.isEvacuationStale = isStale
		t.log.Warn("evacuations not known", zap.Bool("stale", isStale), zap.Duration("age", now-t.host.cfg.Evacuated.ReadAt()))
	}
	return isStale
}

// syncEvacuated passes the evacuated domains to the engine if they have changed, and drops the
// starts that wait to be sent to their workers. The next load is published at once, unless it
// would be the first one, which waits for the workers to answer. The caller holds t.mu.
func (t *term) syncEvacuated(now dispatch.Moment) {
	set := t.host.evacuated()
	if set.Equal(t.evacuated) {
		return
	}
	old := t.evacuated
	t.evacuated = set
	t.engine.SetEvacuated(set)
	for _, w := range t.workers {
		if !t.engine.IsEvacuated(w.id) {
			continue
		}
		for _, o := range w.dropStarts() {
			t.engine.OrderResult(now, o.Order, dispatch.Withdrawn)
		}
	}
	t.recordEvacuations(now.Steady, old)
	signal(t.wakeDecide)
	if t.isResolved {
		signal(t.wakePublish)
	}
}

// dropStarts removes and returns the starts that wait to be sent.
func (w *workerLoop) dropStarts() []timedOrder {
	w.mu.Lock()
	defer w.mu.Unlock()
	var dropped, kept []timedOrder
	for _, o := range w.queue {
		if o.Kind == dispatch.StartTask {
			dropped = append(dropped, o)
		} else {
			kept = append(kept, o)
		}
	}
	w.queue = kept
	return dropped
}

// mayStartOn reports whether a start may be sent to a worker at now. The caller holds t.mu.
func (t *term) mayStartOn(now dispatch.Moment, id heatherhub.WorkerID) bool {
	t.syncEvacuated(now)
	return !t.engine.IsEvacuated(id) && !t.host.isEvacuationStale(now.Steady)
}

// evacuationState is what was logged of an evacuated domain.
type evacuationState struct {
	// since is the steady time at which the term has read the request.
	since                          time.Duration
	hasBegun, isEmptied, isUnknown bool
}

// recordEvacuations logs the evacuations of a former set that are over, and keeps a state for those
// in force. The caller holds t.mu.
func (t *term) recordEvacuations(now time.Duration, old evacuation.Set) {
	for _, r := range old.Requests() {
		if t.evacuated.Has(r.Domain) {
			continue
		}
		if s := t.evacuations[r.Domain]; s.hasBegun {
			t.log.Info("evacuation is over", zap.String("failureDomain", string(r.Domain)), zap.Duration("lasted", now-s.since), zap.Bool("emptied", s.isEmptied))
		}
		delete(t.evacuations, r.Domain)
		t.host.metrics.forgetEvacuated(t.shard, r.Domain)
	}
	for _, r := range t.evacuated.Requests() {
		if t.evacuations[r.Domain] == nil {
			t.evacuations[r.Domain] = &evacuationState{since: now}
		}
	}
	t.evacuatedCheckedAt = now - evacuationCheckInterval
}

// hasNoWorkers reports whether the site has no worker in a domain, as far as this term can tell:
// the layout has a shard for each domain, or one shard for all. The caller holds t.mu.
func (t *term) hasNoWorkers(d heatherhub.FailureDomain) bool {
	for _, w := range t.workers {
		if w.entry.Domain == d {
			return false
		}
	}
	if t.shard.Domain == record.SiteDomain {
		return true
	}
	for _, s := range t.host.View().Layout.Shards {
		if s.Shard.Domain == d {
			return false
		}
	}
	return true
}

// checkEvacuated logs, once for each evacuated domain, that its evacuation begins and that its last
// batch task has ended, or that the site has no such domain. It sets the gauges. The caller holds
// t.mu.
func (t *term) checkEvacuated(now dispatch.Moment) {
	if t.evacuated.Len() == 0 || now.Steady-t.evacuatedCheckedAt < evacuationCheckInterval {
		return
	}
	t.evacuatedCheckedAt = now.Steady
	for _, d := range t.engine.EvacuatedDomains() {
		s, name := t.evacuations[d.Domain], zap.String("failureDomain", string(d.Domain))
		if d.Workers == 0 {
			if !s.isUnknown && !s.hasBegun && t.isResolved && now.Steady-s.since > unknownDomainDelay && t.hasNoWorkers(d.Domain) {
				s.isUnknown = true
				t.log.Warn("evacuated domain has no workers: check its name", name)
			}
			continue
		}
		t.host.metrics.setEvacuated(t.shard, d)
		if !s.hasBegun {
			s.hasBegun = true
			t.log.Info("evacuation begins", name, zap.Int("workers", d.Workers), zap.Int("running", d.Batch), zap.Int("longRunning", d.LongRunning), zap.Bool("usable", t.engine.IsUsable(now)))
		}
		if d.Batch == 0 && !s.isEmptied && t.isResolved {
			s.isEmptied = true
			t.log.Info("evacuated domain has no batch task", name, zap.Int("longRunning", d.LongRunning))
		}
	}
}

// poolsInService returns the pools for a load record. There are none while no domain is evacuated.
// The caller holds t.mu.
func (t *term) poolsInService() (inService, evacuated []heatherhub.PoolID) {
	if t.evacuated.Len() == 0 {
		return nil, nil
	}
	return t.engine.PoolsInService()
}

// dropEvacuated removes the loads of other shards whose failure domain is evacuated: no work moves
// there, and their records may be older than the evacuation.
func (t *term) dropEvacuated(loads map[heatherhub.ShardID]record.Load) {
	set := t.host.evacuated()
	maps.DeleteFunc(loads, func(id heatherhub.ShardID, _ record.Load) bool { return id != t.shard && set.Has(id.Domain) })
}
