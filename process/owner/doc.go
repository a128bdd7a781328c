// Package owner runs the shards of one host: it takes shards over that have no
// owner, keeps the lease on them, tells the workers what the dispatch engine
// decides, and makes the progress of jobs durable.
//
// # Usage
//
//	h := owner.New(owner.Config{Self: id, Store: store, Dial: dial, ...})
//	h.Run(ctx) // until ctx ends; then the shards are handed over
//
// An owner is known by a key in the store that lives as long as the host's lease.
// The revision at which the key was created is its fencing token. A lost lease
// proves nothing to others, so the token does: a new owner first polls every
// worker with its own, higher token, which ends all influence of the earlier
// owner there, and learns what runs. Workers out of reach are waited out.
//
// While the store is away the owner goes on for a while with the jobs that it
// knows: nobody can take over without the store, and whoever does is noticed at
// the next poll.
package owner
