// Package ledger is what the scheduler knows of the platform's transactional
// store: reads, watches, leases, and transactions with preconditions. All that
// must outlive a host lies there.
//
// # Usage
//
//	rev, err := s.Commit(ctx, ledger.Txn{
//		Require: []ledger.Require{{Key: "owner/gent/0"}}, // must be absent
//		Puts:    []ledger.Put{{Key: "owner/gent/0", Value: v, Lease: lease}},
//	})
//
// A commit ends in one of four ways. Success returns the revision of the change.
// A *ConflictError says that a precondition failed, and has the items as they
// are now; nothing changed. heatherhub.ErrUnavailable says that nothing changed.
// heatherhub.ErrUnknown says that the answer was lost: the commit may have taken
// effect, or may still do so while its preconditions hold.
package ledger

import (
	"context"
	"fmt"
	"time"
)

// Revision counts the changes of the store. Zero means that a key is absent.
type Revision uint64

// LeaseID names a lease. Zero means none.
type LeaseID uint64

// MaxTxnEntries is the largest number of preconditions, puts and deletes of one
// transaction together; the platform refuses more.
const MaxTxnEntries = 32

// Item is one key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change; Created that of the creation.
	Revision Revision
	Created  Revision
	Lease    LeaseID
}

// Event is one change of a key.
type Event struct {
	Item
	// Deleted says that the key is gone.
	Deleted bool
}

// Precondition is a precondition: a key has this revision. Zero requires its absence.
type Precondition struct {
	Key      string
	Revision Revision
}

// Put sets a key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a change that happens as a whole or not at all.
type Txn struct {
	Preconditions []Precondition
	Puts          []Put
	Deletes       []string
}

// ConflictError says that a precondition did not hold. Items has the keys of the
// preconditions as they are; absent keys are missing.
type ConflictError struct {
	Items []Item
}

// Error tells the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a precondition on %d present keys failed: read them and decide again", len(e.Items))
}

// Find returns the item with a key, or one with revision zero.
func (e *ConflictError) Find(key string) Item {
	for _, it := range e.Items {
		if it.Key == key {
			return it
		}
	}
	return Item{Key: key}
}

// Snapshot is the result of a range read. It may mix revisions if it took several
// pages, but has every change up to Revision.
type Snapshot struct {
	Items    []Item
	Revision Revision
}

// Changes is the result of a watch.
type Changes struct {
	Events []Event
	// Revision is where the next watch goes on.
	Revision Revision
}

// Store is the platform's transactional store. Each method is one or more calls
// of its budget.
type Store interface {
	// Get reads one key. An absent key has revision zero and is no error.
	Get(ctx context.Context, key string) (Item, error)
	// Range reads all keys with a prefix.
	Range(ctx context.Context, prefix string) (Snapshot, error)
	// RangeStale reads all keys with a prefix as they were at some time in the last
	// seconds, for a tenth of the price. The snapshot's revision is no start of a
	// watch.
	RangeStale(ctx context.Context, prefix string) (Snapshot, error)
	// Watch waits for changes after a revision, at most for wait.
	// heatherhub.ErrNotFound says that the history is gone: read the range again.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit makes a change.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// GrantLease makes a lease and returns the time to live that applies.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// RenewLease starts the time to live anew. heatherhub.ErrNotFound says that
	// the lease has ended.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease removes the lease and its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
}
