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
	t.logEvacuations(now, old)
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

// logEvacuations logs how the evacuated domains differ from a former set. The caller holds t.mu.
func (t *term) logEvacuations(now dispatch.Moment, old evacuation.Set) {
	for _, d := range t.engine.EvacuatedDomains() {
		if old.Has(d.Domain) {
			continue
		}
		if t.hasNoWorkers(d.Domain) {
			t.log.Warn("evacuated domain has no workers: check its name", zap.String("domain", string(d.Domain)))
			continue
		}
		if d.Workers > 0 {
			t.log.Info("evacuation begins", zap.String("domain", string(d.Domain)), zap.Int("workers", d.Workers),
				zap.Int("running", d.Batch), zap.Int("longRunning", d.LongRunning), zap.Bool("usable", t.engine.IsUsable(now)))
		}
	}
	for _, r := range old.Requests() {
		if !t.evacuated.Has(r.Domain) {
			t.log.Info("evacuation is over", zap.String("domain", string(r.Domain)), zap.Bool("emptied", t.emptied[r.Domain]))
			delete(t.emptied, r.Domain)
			t.host.metrics.forgetEvacuated(t.shard, r.Domain)
		}
	}
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

// checkEvacuated logs once for each evacuated domain that its last batch task has ended, and sets
// the gauges. The caller holds t.mu.
func (t *term) checkEvacuated(now time.Duration) {
	if t.evacuated.Len() == 0 || now-t.evacuatedCheckedAt < evacuationCheckInterval {
		return
	}
	t.evacuatedCheckedAt = now
	for _, d := range t.engine.EvacuatedDomains() {
		if d.Workers == 0 {
			continue
		}
		t.host.metrics.setEvacuated(t.shard, d)
		if d.Batch == 0 && !t.emptied[d.Domain] && t.isResolved {
			t.emptied[d.Domain] = true
			t.log.Info("evacuated domain has no batch task", zap.String("domain", string(d.Domain)), zap.Int("longRunning", d.LongRunning))
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
