package shard

import (
	"context"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/shard/core"
	"heatherhub.example/heatherhub/process/shard/layout"
	"heatherhub.example/heatherhub/request/route"
)

var (
	_ route.ReplicaLister    = (*Runtime)(nil)
	_ route.IdempotencyStore = (*Runtime)(nil)
)

// Owned returns the shards that this host owns.
func (rt *Runtime) Owned() []heatherhub.ShardID {
	return rt.node.Owned()
}

// Owner returns the host that owns a shard, or that renews its tasks for a silent owner,
// if one is known.
func (rt *Runtime) Owner(s heatherhub.ShardID) (heatherhub.HostID, bool) {
	return rt.node.Owner(rt.clock.Now(), s)
}

// KeyShard returns the shard that arbitrates an idempotency key.
func (rt *Runtime) KeyShard(w heatherhub.WorkloadID, key heatherhub.IdempotencyKey) heatherhub.ShardID {
	return rt.cfg.Layout.ShardOfKey(w, key)
}

// JobShard returns the shard of a job.
func (rt *Runtime) JobShard(id heatherhub.JobID) heatherhub.ShardID {
	return rt.cfg.Layout.ShardOfJob(id)
}

// Places returns the shards with replicas of a service whose owner is known.
func (rt *Runtime) Places(w heatherhub.WorkloadID) []route.Place {
	if rt.cfg.Snapshot == nil {
		return nil
	}
	var places []route.Place
	snapshot := rt.cfg.Snapshot()
	for _, s := range rt.cfg.Layout.All() {
		n := layout.ReplicasFor(snapshot, rt.cfg.Layout, s, w)
		if n == 0 {
			continue
		}
		if owner, ok := rt.Owner(s); ok {
			places = append(places, route.Place{Shard: s, Owner: owner, Replicas: n})
		}
	}
	return places
}

// Replicas lists the running replicas of a service in the shards of this host.
func (rt *Runtime) Replicas(w heatherhub.WorkloadID) []route.Replica {
	return rt.node.Replicas(rt.clock.Now(), w)
}

// AddJob adds a job to an owned shard and returns once the job is durable. If a job with
// the same id exists, AddJob returns it unchanged. Errors other than ErrUnknown prove
// that the job was not added.
func (rt *Runtime) AddJob(ctx context.Context, job heatherhub.Job) (heatherhub.Job, error) {
	return rt.jobRequest(ctx, job.ID, func(now time.Time, t core.Ticket) core.Output {
		return rt.node.AddJob(now, t, job)
	})
}

// CancelJob cancels a job of an owned shard and returns once the cancel is durable.
func (rt *Runtime) CancelJob(ctx context.Context, id heatherhub.JobID) (heatherhub.Job, error) {
	return rt.jobRequest(ctx, id, func(now time.Time, t core.Ticket) core.Output {
		return rt.node.CancelJob(now, t, id)
	})
}

// jobRequest makes a request for a job. If ctx ends before the reply, its outcome is
// unknown.
func (rt *Runtime) jobRequest(ctx context.Context, id heatherhub.JobID, submit func(time.Time, core.Ticket) core.Output) (heatherhub.Job, error) {
	r, ok := rt.request(ctx, submit)
	if !ok {
		return heatherhub.Job{}, heatherhub.ErrUnknown.New("job %s: the store has not answered in time: retry with the same id", id)
	}
	return r.Job, r.Err
}

// Jobs returns the jobs of the owned shards in order of id.
func (rt *Runtime) Jobs() []JobView {
	summaries := rt.node.Jobs()
	views := make([]JobView, len(summaries))
	for i, c := range summaries {
		views[i] = JobView(c)
	}
	return views
}

// Workers returns the workers of the owned shards in order of id.
func (rt *Runtime) Workers() []WorkerView {
	summaries := rt.node.Workers(rt.clock.Now())
	views := make([]WorkerView, len(summaries))
	for i, c := range summaries {
		views[i] = WorkerView(c)
	}
	return views
}

// Claim grants at most one run to an idempotency key and returns once the claim is
// durable. Its errors prove that nothing ran, except for ErrUnknown, with which a waiting
// claim fails when the runtime stops. If ctx ends first, the claim is abandoned, so that
// it is released should it become durable.
func (rt *Runtime) Claim(ctx context.Context, s heatherhub.ShardID, w heatherhub.WorkloadID, key heatherhub.IdempotencyKey) (route.Claim, error) {
	k := core.Key{Workload: w, Key: key}
	r, ok := rt.request(ctx, func(now time.Time, t core.Ticket) core.Output {
		return rt.node.Claim(now, t, s, k)
	})
	if !ok {
		rt.handleOutput(rt.node.AbandonClaim(rt.clock.Now(), r.Ticket, s))
		return route.Claim{}, heatherhub.ErrUnavailable.New("the store has not confirmed the claim in time and nothing ran: retry")
	}
	return r.Claim, r.Err
}

// Settle records the answer of a granted run.
func (rt *Runtime) Settle(s heatherhub.ShardID, w heatherhub.WorkloadID, key heatherhub.IdempotencyKey, a worker.Answer) {
	rt.handleOutput(rt.node.RecordAnswer(rt.clock.Now(), s, core.Key{Workload: w, Key: key}, a))
}

// Release withdraws a grant whose run provably did not happen.
func (rt *Runtime) Release(s heatherhub.ShardID, w heatherhub.WorkloadID, key heatherhub.IdempotencyKey) {
	rt.handleOutput(rt.node.ReleaseClaim(rt.clock.Now(), s, core.Key{Workload: w, Key: key}))
}
