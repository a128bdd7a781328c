package core

import (
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/shard/ledger"
	"heatherhub.example/heatherhub/request/route"
)

// JobSummary is a job with the number of its tasks in each state.
type JobSummary struct {
	Job      heatherhub.Job
	Shard    heatherhub.ShardID
	Running  int
	Queued   int
	Finished int
}

// WorkerSummary is the state of a worker as the owner of its shard knows it.
type WorkerSummary struct {
	Host     hostlist.Host
	Shard    heatherhub.ShardID
	Reserved heatherhub.Resources
	Tasks    []heatherhub.TaskID
	// Reachable means that the worker answered within the last task lease.
	Reachable bool
	// Quarantined means that the worker gets no work because tasks failed on it.
	Quarantined bool
}

// quarantiner is implemented by schedulers that quarantine workers.
type quarantiner interface {
	Quarantined(id heatherhub.WorkerID) bool
}

func sortedShards[V any](m map[heatherhub.ShardID]V) []heatherhub.ShardID {
	return slices.SortedFunc(maps.Keys(m), heatherhub.ShardID.Compare)
}

// Owned returns the shards that this host owns.
func (n *Node) Owned() []heatherhub.ShardID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return sortedShards(n.host.owned)
}

// CountOwned returns the number of shards that this host owns.
func (n *Node) CountOwned() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.host.owned)
}

// HasValidSession reports whether the host's session allows it to act on its shards.
func (n *Node) HasValidSession(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.host.session.isValid(now)
}

// IsDrained reports whether a drain has handed over all shards and ended the
// session.
func (n *Node) IsDrained() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	hasNoSession := n.host.session.stage == sessionEnded || n.host.session.stage == sessionNone
	return n.host.stopping && len(n.host.owned) == 0 && hasNoSession
}

// Owner returns the owner of a shard, or the host that renews it for a silent owner,
// if one is known.
func (n *Node) Owner(now time.Time, id heatherhub.ShardID) (heatherhub.HostID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.host.owner(now, id)
}

// ShardOwner is the owner of a shard at an epoch.
type ShardOwner struct {
	Shard heatherhub.ShardID
	Owner heatherhub.HostID
	Epoch heatherhub.Epoch
}

// DomainOwners returns the owners of the shards of this host's failure domain.
func (n *Node) DomainOwners(now time.Time) []ShardOwner {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []ShardOwner
	for _, s := range n.cfg.Layout.DomainShards(n.cfg.Domain) {
		if id, ok := n.host.owner(now, s); ok {
			epoch := n.host.listing.owners[s].Epoch
			if o, owns := n.host.owned[s]; owns {
				epoch = o.record.Epoch
			}
			list = append(list, ShardOwner{Shard: s, Owner: id, Epoch: epoch})
		}
	}
	return list
}

// UpdateRemoteOwners records the owners of another failure domain's shards. It ignores
// owners with a lower epoch than the known one.
func (n *Node) UpdateRemoteOwners(list []ShardOwner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range list {
		n.host.updateRemoteOwner(o.Shard, ownerRecord{Owner: o.Owner, Epoch: o.Epoch})
	}
}

// eachSlot calls f for each active shard, in order, under the lock of its slot.
func (n *Node) eachSlot(f func(heatherhub.ShardID, *slot)) {
	for _, id := range n.Active() {
		if sl := n.slot(id); sl != nil {
			sl.mu.Lock()
			f(id, sl)
			sl.mu.Unlock()
		}
	}
}

// Jobs returns the jobs of the owned shards, sorted by id.
func (n *Node) Jobs() []JobSummary {
	var list []JobSummary
	n.eachSlot(func(_ heatherhub.ShardID, sl *slot) {
		if sl.shard != nil {
			list = append(list, sl.shard.jobs()...)
		}
	})
	slices.SortFunc(list, func(a, b JobSummary) int {
		return compareText(a.Job.ID, b.Job.ID)
	})
	return list
}

func compareText[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (s *shard) jobs() []JobSummary {
	running := make(map[heatherhub.JobID]int)
	for _, p := range s.tasks {
		if p.phase != phaseEnded {
			running[p.task.Job]++
		}
	}
	var list []JobSummary
	for id, job := range s.log.State().Jobs {
		c := JobSummary{Job: cloneJob(job), Shard: s.id, Running: running[id], Finished: len(job.Finished)}
		switch job.State {
		case heatherhub.JobDone:
			c.Finished = job.Tasks
		case heatherhub.JobQueued:
			c.Queued = max(0, job.Tasks-c.Finished-c.Running)
		}
		list = append(list, c)
	}
	return list
}

// Workers returns the workers of the owned shards, sorted by id.
func (n *Node) Workers(now time.Time) []WorkerSummary {
	var list []WorkerSummary
	n.eachSlot(func(id heatherhub.ShardID, sl *slot) {
		if sl.shard == nil {
			return
		}
		q, canQuarantine := sl.shard.sched.(quarantiner)
		for workerID, w := range sl.shard.workers {
			list = append(list, WorkerSummary{
				Host:        w.host,
				Shard:       id,
				Reserved:    w.reserved(),
				Tasks:       sortedKeys(w.tasks),
				Reachable:   w.isReachable(now),
				Quarantined: canQuarantine && q.Quarantined(workerID),
			})
		}
	})
	slices.SortFunc(list, func(a, b WorkerSummary) int { return compareText(a.Host.ID, b.Host.ID) })
	return list
}

// Replicas returns the running replicas of a service in the shards that this host owns
// or renews, sorted by task id. It leaves out shards in which a predecessor may still
// route requests.
func (n *Node) Replicas(now time.Time, id heatherhub.WorkloadID) []route.Replica {
	var list []route.Replica
	n.eachSlot(func(s heatherhub.ShardID, sl *slot) {
		if sl.renewer != nil {
			if now.Sub(sl.createdAt) >= n.cfg.serveWait() {
				list = append(list, sl.renewer.replicas(id, sl.createdAt)...)
			}
			return
		}
		list = append(list, sl.shard.serviceReplicas(now, s, id)...)
	})
	slices.SortFunc(list, func(a, b route.Replica) int { return compareText(a.Task, b.Task) })
	return list
}

func (s *shard) serviceReplicas(now time.Time, shard heatherhub.ShardID, id heatherhub.WorkloadID) []route.Replica {
	if now.Before(s.serveNotBefore) {
		return nil
	}
	var list []route.Replica
	for _, p := range s.tasks {
		isServing := p.phase == phaseRunning || p.phase == phaseDraining
		if p.task.Workload != id || p.task.Kind != heatherhub.KindService || !isServing {
			continue
		}
		w := s.workers[p.worker]
		r := newReplica(p.task.ID, w.host, shard, p.runningSince)
		r.Draining = r.Draining || p.phase == phaseDraining || !w.isReachable(now)
		list = append(list, r)
	}
	return list
}

func newReplica(t heatherhub.TaskID, h hostlist.Host, s heatherhub.ShardID, since time.Time) route.Replica {
	return route.Replica{
		Task:        t,
		Worker:      heatherhub.WorkerID(h.ID),
		Shard:       s,
		Domain:      h.Domain,
		Slots:       h.Slots,
		Connections: h.Connections,
		FirstSeen:   since,
		Draining:    h.State == hostlist.StateLeaving,
	}
}

func (r *renewer) replicas(id heatherhub.WorkloadID, since time.Time) []route.Replica {
	var list []route.Replica
	for _, w := range r.workers {
		for _, st := range w.tasks {
			if st.Task.Workload == id && st.Task.Kind == heatherhub.KindService && st.State == worker.TaskRunning {
				list = append(list, newReplica(st.Task.ID, w.host, r.shard, since))
			}
		}
	}
	return list
}

// setEpoch sets a new epoch of the same, uninterrupted ownership.
func (s *shard) setEpoch(e heatherhub.Epoch) {
	s.epoch = e
	s.log.SetEpoch(e)
}

// ownsCall reports whether a call was made by this ownership, and not by an earlier
// one of the same shard on this host.
func (s *shard) ownsCall(c Call) bool {
	return c.owner == s
}

// Key identifies an idempotency key of a workload.
type Key = ledger.Key
