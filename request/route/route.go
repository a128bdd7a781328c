// Package route takes a caller's request from the entry host that received it to
// a replica: it finds the shard and its owner, grants a non-idempotent request
// its one run, and chooses the replica at the owner.
//
// This file has what the package needs from the rest of the process. The shard
// runtime and the adapters satisfy these interfaces; tests use small fakes.
//
// # Usage
//
//	places := directory.Places("compile") // own failure domain first is the router's choice
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

// Place is a shard that should hold replicas of a service, and its owner.
type Place struct {
	Shard heatherhub.ShardID
	Owner heatherhub.HostID
	// Replicas is the number that the preset in force gives the shard.
	Replicas int
}

// Directory tells where things are, as far as this host knows.
type Directory interface {
	// Self returns this host and its failure domain.
	Self() (heatherhub.HostID, heatherhub.FailureDomain)
	// Places returns the shards with replicas of a service whose owner is known.
	Places(w heatherhub.WorkloadID) []Place
	// Owner returns the owner of a shard, if one is known.
	Owner(s heatherhub.ShardID) (heatherhub.HostID, bool)
	// KeyShard returns the shard that arbitrates an idempotency key. It does not
	// depend on the preset or on live hosts.
	KeyShard(w heatherhub.WorkloadID, key heatherhub.IdempotencyKey) heatherhub.ShardID
	// Snapshot returns the configuration in force on this host.
	Snapshot() *heatherhub.Snapshot
}

// Refresher is a Directory that can ask other hosts who owns a shard.
type Refresher interface {
	// Refresh returns when a host has answered or ctx has ended. The failed host
	// is the one that was taken for the owner.
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
	// Draining says that the worker gets no new requests.
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
	// ClaimGranted grants the one run: the claim is durable and the request has
	// not been sent before.
	ClaimGranted ClaimState = "fresh"
	// ClaimAnswered returns the recorded answer of the first run.
	ClaimAnswered ClaimState = "answered"
	// ClaimUnknown says that the request was granted its run before and that no
	// answer is recorded.
	ClaimUnknown ClaimState = "unknown"
	// ClaimRunning says that the first run is under way on this host.
	ClaimRunning ClaimState = "running"
)

// Claim is the answer to a claim.
type Claim struct {
	State  ClaimState
	Answer worker.Answer
}

// KeyTTL is how long an idempotency key is kept after its claim.
const KeyTTL = 10 * time.Minute

// IdempotencyStore arbitrates idempotency keys of the shards that this host owns.
type IdempotencyStore interface {
	// Claim grants a key its one run. It returns only when the claim is durable
	// in the store. Errors prove that nothing ran: ErrNotOwner, ErrUnavailable.
	Claim(ctx context.Context, s heatherhub.ShardID, w heatherhub.WorkloadID, key heatherhub.IdempotencyKey) (Claim, error)
	// Settle records the answer of a granted run.
	Settle(s heatherhub.ShardID, w heatherhub.WorkloadID, key heatherhub.IdempotencyKey, a worker.Answer)
	// Release gives a grant back after a run that provably did not happen.
	Release(s heatherhub.ShardID, w heatherhub.WorkloadID, key heatherhub.IdempotencyKey)
}
