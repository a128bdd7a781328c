package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
)

// tickRenewers starts and stops renewers for shards whose owner is silent. Of the hosts
// that are heard, the preferred one renews the leases of tasks that already run. It
// does not claim the shard in the store, and it stops once the owner or a successor
// is heard or this host owns the shard.
func (h *host) tickRenewers(now time.Time) {
	silent := h.silentShards(now)
	if len(silent)+len(h.renewingSince) == 0 {
		return
	}
	preferred := h.cfg.Layout.PreferredOwners(h.cfg.Domain, h.peers.renewerCandidates(now))
	for i, s := range h.shards {
		r, ok := silent[s]
		if ok && preferred[i] == h.cfg.Self && !h.isDraining() && !h.heldByPeer(now, s) {
			h.startRenewing(now, s, r.Epoch)
			continue
		}
		h.stopRenewing(s)
	}
}

// silentShards returns the owner records of the shards that no heartbeat has claimed
// for unheldTimeout: the owner is silent, or it has restarted and holds nothing yet.
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

// heldByPeer reports whether a recent heartbeat of a peer names it as the owner of
// the shard.
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

// renewer renews the leases of the running tasks of a shard whose owner is silent. It
// uses the epoch of that owner.
type renewer struct {
	shard   heatherhub.ShardID
	epoch   heatherhub.Epoch
	workers map[heatherhub.WorkerID]*renewerWorker
	// servicesOnly lets the leases of batch tasks lapse.
	servicesOnly bool
	// superseded means that a task of a higher epoch was seen.
	superseded bool
}

// renewerWorker is what a renewer knows of one worker.
type renewerWorker struct {
	host hostlist.Host
	// tasks is the list of the last report.
	tasks         []worker.TaskStatus
	nextRenew     time.Time
	renewInFlight bool
}

func newRenewer(s heatherhub.ShardID, e heatherhub.Epoch) *renewer {
	return &renewer{shard: s, epoch: e, workers: make(map[heatherhub.WorkerID]*renewerWorker)}
}

func (r *renewer) setWorkers(hosts []hostlist.Host) {
	for _, h := range hosts {
		id := heatherhub.WorkerID(h.ID)
		w, ok := r.workers[id]
		if !ok {
			w = &renewerWorker{}
			r.workers[id] = w
		}
		w.host = h
	}
}

func (r *renewer) tick(now time.Time) []Call {
	var calls []Call
	for _, id := range sortedKeys(r.workers) {
		w := r.workers[id]
		if w.renewInFlight || now.Before(w.nextRenew) || r.superseded {
			continue
		}
		w.renewInFlight = true
		w.nextRenew = now.Add(worker.RenewInterval)
		until := now.Add(worker.TaskLease)
		calls = append(calls, Call{
			Kind:     CallRenewTasks,
			Shard:    r.shard,
			Worker:   id,
			NotAfter: until,
			Renew:    worker.RenewCommand{Epoch: r.epoch, LeaseUntil: until, Tasks: r.renewable(w)},
			purpose:  purposeRenewer,
		})
	}
	return calls
}

// renewable returns the tasks of a worker whose leases are to be renewed.
func (r *renewer) renewable(w *renewerWorker) []heatherhub.TaskID {
	var ids []heatherhub.TaskID
	for _, st := range w.tasks {
		if st.State == worker.TaskRunning && (!r.servicesOnly || st.Task.Kind == heatherhub.KindService) {
			ids = append(ids, st.Task.ID)
		}
	}
	return ids
}

// answer applies a worker's report. The first report only lists the running tasks, so
// the next renewal, which extends their leases, is due at once.
func (r *renewer) answer(now time.Time, a Answer) {
	w, ok := r.workers[a.Call.Worker]
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
		if st.Epoch > r.epoch {
			r.superseded = true
		}
	}
	if isFirst && len(w.tasks) > 0 {
		w.nextRenew = now
	}
}
