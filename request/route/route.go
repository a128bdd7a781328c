// Package route carries a caller's request from the entry host that received it
// to a replica. The Router at the entry host finds a shard and its owner. The Owner
// at that host chooses the replica, and makes sure that a request that is not
// idempotent runs at most once.
//
// This file declares what the package needs from the rest of the process. The
// shard runtime and adapters implement these interfaces.
//
// # Usage
//
//	places := directory.Places("compile") // unordered: the Router prefers its own failure domain
//	for _, r := range replicas.Replicas("compile") {
//		send(r.Worker, r.Task)
//	}
package route

import (
	"context"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

// Place is a shard that should hold replicas of a service, with its owner.
type Place struct {
	Shard heatherhub.ShardID
	Owner heatherhub.HostID
	// Replicas is the shard's number of replicas in the preset in force.
	Replicas int
}

// Directory is this host's view of shards, owners and configuration, which may be
// out of date.
type Directory interface {
	// Self returns this host and its failure domain.
	Self() (heatherhub.HostID, heatherhub.FailureDomain)
	// Places returns the shards with replicas of a service whose owner is known.
	Places(w heatherhub.WorkloadID) []Place
	// Owner returns the owner of a shard, if one is known.
	Owner(s heatherhub.ShardID) (heatherhub.HostID, bool)
	// KeyShard returns the shard that arbitrates an idempotency key. It depends on
	// neither the preset nor the live hosts, so that all hosts agree on it.
	KeyShard(w heatherhub.WorkloadID, key heatherhub.IdempotencyKey) heatherhub.ShardID
	// Snapshot returns the configuration in force on this host.
	Snapshot() *heatherhub.Snapshot
}

// Refresher is a Directory that can ask other hosts for the owner of a shard.
type Refresher interface {
	// Refresh looks up the owner of a shard at other hosts. It returns when one has
	// answered or ctx has ended. The failed host is the supposed owner that could
	// not be reached or did not own the shard.
	Refresh(ctx context.Context, s heatherhub.ShardID, failed heatherhub.HostID)
}

// Replica is one running replica in a shard that this host owns.
type Replica struct {
	Task   heatherhub.TaskID
	Worker heatherhub.WorkerID
	Shard  heatherhub.ShardID
	Domain heatherhub.FailureDomain
	// Slots and Connections are the limits of the worker, shared by all of its
	// replicas.
	Slots       int
	Connections int
	// FirstSeen is when this host first saw the replica run.
	FirstSeen time.Time
	// Draining means that the replica gets no new requests: it is drained, or its worker
	// is leaving or unreachable.
	Draining bool
}

// ReplicaLister lists the running replicas of the shards that this host owns.
type ReplicaLister interface {
	Replicas(w heatherhub.WorkloadID) []Replica
}

// ClaimState is the outcome of a claim of an idempotency key.
type ClaimState string

// Outcomes of a claim.
const (
	// ClaimGranted grants the run: the claim is durable and the request has not
	// been sent before.
	ClaimGranted ClaimState = "fresh"
	// ClaimAnswered returns the recorded answer of the granted run.
	ClaimAnswered ClaimState = "answered"
	// ClaimUnknown means that the request was granted its run before, but no answer
	// is recorded: it may have run.
	ClaimUnknown ClaimState = "unknown"
	// ClaimRunning means that the granted run is in progress on this host.
	ClaimRunning ClaimState = "running"
)

// Claim is the result of a claim of an idempotency key.
type Claim struct {
	State ClaimState
	// Answer is set if State is ClaimAnswered.
	Answer worker.Answer
}

// KeyTTL is how long an idempotency key is kept after its claim.
const KeyTTL = 10 * time.Minute

// IdempotencyStore records which idempotency keys of the shards that this host
// owns were granted a run, and the answers of these runs.
type IdempotencyStore interface {
	// Claim grants at most one run to a key. It returns only when the claim is
	// durable in the store. Its errors, ErrNotOwner and ErrUnavailable, prove that
	// nothing ran.
	Claim(ctx context.Context, s heatherhub.ShardID, w heatherhub.WorkloadID, key heatherhub.IdempotencyKey) (Claim, error)
	// Settle records the answer of a granted run.
	Settle(s heatherhub.ShardID, w heatherhub.WorkloadID, key heatherhub.IdempotencyKey, a worker.Answer)
	// Release withdraws a grant whose run provably did not happen, so that the key
	// can be granted again.
	Release(s heatherhub.ShardID, w heatherhub.WorkloadID, key heatherhub.IdempotencyKey)
}
