// Package ledger defines the interface of the platform's transactional store: reads,
// watches, leases, and transactions with preconditions. All state that must survive
// the failure of a host is kept there.
//
// # Usage
//
//	rev, err := s.Commit(ctx, ledger.Txn{
//		Preconditions: []ledger.Precondition{{Key: "owner/gent/0"}}, // must be absent
//		Puts:          []ledger.Put{{Key: "owner/gent/0", Value: v, Lease: lease}},
//	})
//
// A commit ends in one of four ways. Success returns the revision of the change.
// A *ConflictError means that a precondition failed and nothing changed; it contains
// the current items. heatherhub.ErrUnavailable means that nothing changed.
// heatherhub.ErrUnknown means that the response was lost: the commit may have taken
// effect, or may still take effect while its preconditions hold.
package ledger

import (
	"context"
	"fmt"
	"time"
)

// Revision numbers the changes of the store. As the revision of a key, zero means that
// the key is absent.
type Revision uint64

// LeaseID identifies a lease. Zero means none.
type LeaseID uint64

// MaxTxnEntries is the maximum total number of preconditions, puts and deletes in one
// transaction; the platform rejects larger ones.
const MaxTxnEntries = 32

// Item is one key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change of the key.
	Revision Revision
	// Created is the revision at which the key was created.
	Created Revision
	// Lease is the lease whose end removes the key.
	Lease LeaseID
}

// Event is one change of a key.
type Event struct {
	Item
	// Deleted means that the key was removed.
	Deleted bool
}

// Precondition requires that a key has this revision, or is absent if it is zero.
type Precondition struct {
	Key      string
	Revision Revision
}

// Put sets the value of a key and attaches the key to a lease, unless that is zero.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic change: all puts and deletes are made if all preconditions hold,
// otherwise none.
type Txn struct {
	Preconditions []Precondition
	Puts          []Put
	Deletes       []string
	// MaxConflictBytes is the size up to which the current items are read if a precondition
	// fails. Zero means that they are always read.
	MaxConflictBytes int64
}

// ConflictError means that a precondition did not hold. Items contains the current
// items of the keys in the preconditions, without the absent ones.
type ConflictError struct {
	Items []Item
	// IsIncomplete means that the items exceed Txn.MaxConflictBytes and were not read.
	IsIncomplete bool
}

// Error returns a message with the number of existing keys and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a precondition failed (%d of the checked keys exist): read the keys and decide again", len(e.Items))
}

// Find returns the item with a key, or an item with revision zero if the key is absent.
func (e *ConflictError) Find(key string) Item {
	for _, it := range e.Items {
		if it.Key == key {
			return it
		}
	}
	return Item{Key: key}
}

// Snapshot is the result of a range read. It contains every change up to Revision. If
// the read took several pages, it may also contain some later changes.
type Snapshot struct {
	Items    []Item
	Revision Revision
}

// Changes is the result of a watch.
type Changes struct {
	Events []Event
	// Revision is the revision to pass to the next watch.
	Revision Revision
}

// Store is the platform's transactional store. Each method makes one or more calls. The
// platform charges each call, at a price that depends on its kind, to a budget.
type Store interface {
	// Get reads one key. An absent key has revision zero and is not an error.
	Get(ctx context.Context, key string) (Item, error)
	// Range reads all keys with a prefix.
	Range(ctx context.Context, prefix string) (Snapshot, error)
	// RangeStale reads all keys with a prefix. The result may be a few seconds old, and
	// its price is a tenth of that of Range. A watch must not start from its revision.
	RangeStale(ctx context.Context, prefix string) (Snapshot, error)
	// Watch returns the changes after a revision. It blocks until there are some, at
	// most for wait. heatherhub.ErrNotFound means that the store no longer keeps the
	// history from that revision: read the range again.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit executes a transaction and returns its revision. See the package comment
	// for the errors.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// GrantLease creates a lease and returns the time to live that the store granted.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// RenewLease restarts the time to live. heatherhub.ErrNotFound means that the
	// lease has ended.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and removes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
}
