package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
)

// tickRenewers begins and ends the keeping of shards that nobody is heard to hold. A keeper
// only renews the leases of tasks that run already. It claims nothing in the
// store, and it stops when the owner or a successor is heard or when this host
// owns the shard.
func (h *host) tickRenewers(now time.Time) {
	silent := h.silentShards(now)
	if len(silent)+len(h.renewingSince) == 0 {
		return
	}
	preferred := h.cfg.Layout.Owners(h.cfg.Domain, h.peers.renewerCandidates(now))
	for i, s := range h.shards {
		r, ok := silent[s]
		if ok && preferred[i] == h.cfg.Self && !h.isDraining() && !h.heldByPeer(now, s) {
			h.startRenewing(now, s, r.Epoch)
			continue
		}
		h.stopRenewing(s)
	}
}

// silentShards returns the records of the shards that nobody has been heard to
// hold for a while: their owner is silent, or its process is a new one.
func (h *host) silentShards(now time.Time) map[heatherhub.ShardID]ownerRecord {
	silent := make(map[heatherhub.ShardID]ownerRecord)
	for s, r := range h.listing.owners {
		_, owns := h.owned[s]
		if owns || r.Released || h.heldByPeer(now, s) {
			delete(h.unheldSince, s)
			continue
		}
		since, ok := h.unheldSince[s]
		if !ok {
			h.unheldSince[s] = now
			continue
		}
		if now.Sub(since) >= unheldTimeout {
			silent[s] = r
		}
	}
	return silent
}

func (h *host) heldByPeer(now time.Time, s heatherhub.ShardID) bool {
	for _, p := range h.peers.known {
		for _, held := range p.heartbeat.HeldShards {
			if held.Shard == s && !held.RenewOnly && p.isFresh(now) {
				return true
			}
		}
	}
	return false
}

func (h *host) startRenewing(now time.Time, s heatherhub.ShardID, e heatherhub.Epoch) {
	if _, owns := h.owned[s]; owns || h.isRenewing(s) {
		return
	}
	h.renewingSince[s] = now
	h.changes = append(h.changes, change{kind: changeRenewerStarted, shard: s, epoch: e})
}

func (h *host) isRenewing(s heatherhub.ShardID) bool {
	_, ok := h.renewingSince[s]
	return ok
}

func (h *host) stopRenewing(s heatherhub.ShardID) {
	if !h.isRenewing(s) {
		return
	}
	delete(h.renewingSince, s)
	h.changes = append(h.changes, change{kind: changeRenewerStopped, shard: s})
}

// renewer renews the running tasks of a shard whose owner is silent.
type renewer struct {
	shard   heatherhub.ShardID
	epoch   heatherhub.Epoch
	workers map[heatherhub.WorkerID]*renewerWorker
	// servicesOnly leaves batch tasks to lapse.
	servicesOnly bool
	superseded   bool
}

type renewerWorker struct {
	host          hostlist.Host
	tasks         []worker.TaskStatus
	nextRenew     time.Time
	renewInFlight bool
}

func newRenewer(s heatherhub.ShardID, e heatherhub.Epoch) *renewer {
	return &renewer{shard: s, epoch: e, workers: make(map[heatherhub.WorkerID]*renewerWorker)}
}

func (k *renewer) setWorkers(hosts []hostlist.Host) {
	for _, h := range hosts {
		id := heatherhub.WorkerID(h.ID)
		w, ok := k.workers[id]
		if !ok {
			w = &renewerWorker{}
			k.workers[id] = w
		}
		w.host = h
	}
}

func (k *renewer) tick(now time.Time) []Call {
	var calls []Call
	for _, id := range sortedKeys(k.workers) {
		w := k.workers[id]
		if w.renewInFlight || now.Before(w.nextRenew) || k.superseded {
			continue
		}
		w.renewInFlight = true
		w.nextRenew = now.Add(worker.RenewInterval)
		until := now.Add(worker.TaskLease)
		calls = append(calls, Call{
			Kind:     CallRenewTasks,
			Shard:    k.shard,
			Worker:   id,
			NotAfter: until,
			Renew:    worker.RenewCommand{Epoch: k.epoch, LeaseUntil: until, Tasks: k.renewable(w)},
			purpose:  purposeRenewer,
		})
	}
	return calls
}

func (k *renewer) renewable(w *renewerWorker) []heatherhub.TaskID {
	var ids []heatherhub.TaskID
	for _, st := range w.tasks {
		if st.State == worker.TaskRunning && (!k.servicesOnly || st.Task.Kind == heatherhub.KindService) {
			ids = append(ids, st.Task.ID)
		}
	}
	return ids
}

func (k *renewer) answer(now time.Time, a Answer) {
	w, ok := k.workers[a.Call.Worker]
	if !ok {
		return
	}
	w.renewInFlight = false
	if a.Err != nil {
		return
	}
	isFirst := w.tasks == nil
	w.tasks = a.Report.Tasks
	for _, st := range w.tasks {
		if st.Epoch > k.epoch {
			k.superseded = true
		}
	}
	if isFirst && len(w.tasks) > 0 {
		w.nextRenew = now
	}
}
