// Package store is the interface to the platform's key-value service, which holds all
// durable state of the scheduler: compare-and-swap, leases and watches. The package
// has the interface, its typed errors, the HTTP client and a rate limiter with circuit
// breakers.
//
// # Usage
//
//	rev, err := store.Put(ctx, s, store.Write{Key: key, Value: v, Expect: old.Revision})
//	switch heatherhub.CodeOf(err) {
//	case heatherhub.CodeOK: // the key has revision rev
//	case heatherhub.CodeConflict: // another writer was first
//	case heatherhub.CodeUnavailable: // nothing changed
//	case heatherhub.CodeUnknown: // the write may have taken effect
//	}
//
// A write has one of four outcomes. Success returns the new revision.
// heatherhub.ErrConflict: another writer was first and nothing changed.
// heatherhub.ErrUnavailable: the write was not sent or the store rejected it, and
// nothing changed. heatherhub.ErrUnknown: the answer was lost and the write may have
// taken effect; call Resolve before anything else.
package store

import (
	"context"
	"time"
)

// Revision is the store-wide number of a change. Zero means that a key is absent.
type Revision uint64

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// MaxValueBytes is the largest value of one key, in bytes.
const MaxValueBytes = 1_000_000

// Entry is a key with its value and the revision of its last change.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// Write is a compare-and-swap of one key.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expect is the revision that the key must have; zero for an absent key.
	Expect Revision `json:"expect"`
	// Lease attaches the key to a lease: the key is deleted when the lease expires.
	Lease LeaseID `json:"lease,omitempty"`
	// Delete deletes the key; Value must be empty.
	Delete bool `json:"delete,omitempty"`
}

// Store is the platform's key-value service. Each method call counts as one call of its
// rate limit; a watch counts as one call however long it waits.
type Store interface {
	// Get reads one key. An absent key returns an Entry of revision zero.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with a prefix, in order of key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes a key if it still has the expected revision.
	CompareAndSwap(ctx context.Context, w Write) (Revision, error)
	// GrantLease creates a lease that expires after ttl without a renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease restarts the TTL of a lease. ErrNotFound means that it has expired.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease at once and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch waits until a key with the prefix has a revision above after, and
	// returns all such entries; a deleted key has a nil value. If nothing changes
	// before the server ends the wait, it returns no entries and no error.
	Watch(ctx context.Context, prefix string, after Revision) ([]Entry, error)
}
