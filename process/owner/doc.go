// Package owner runs the shards that one host owns. It claims shards without an
// owner, renews the lease behind the claims, sends the dispatch engine's orders to
// the workers, and writes the progress of jobs to the store.
//
// # Usage
//
//	h := owner.New(owner.Config{Self: id, Store: store, Dial: dial, ...})
//	h.Run(ctx) // until ctx ends, then hands the shards over
//
// Ownership is a key in the store, attached to the host's lease. The revision at
// which the key was created is the owner's fencing token. An owner may not notice at
// once that its lease has expired, so workers enforce the token: a new owner first
// polls every worker with its own, higher token. From then on the worker refuses the
// earlier owner, and its answer lists the tasks that run there. For a worker that
// cannot be reached, the new owner waits until the worker's lease must have expired.
//
// During a store outage the owner keeps running the jobs that it knows, for at most
// Limits.MaxStoreSilence. No other host can claim the shard without the store. If one
// claims it while only this host is cut off, the next poll returns a fencing error.
package owner
