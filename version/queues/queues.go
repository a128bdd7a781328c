// Package queues holds the operators' routing table. It maps a caller's request to a
// queue, which defines the pool of workers and the policy. One version of the table is
// active at a time, and the active version never decreases.
//
// # Usage
//
//	var t queues.Current
//	t.Offer(table) // ignored if it is older than the active table
//	q, rest, ok := t.Load().Match(host, path)
//
// Before a table is put in force, it can be checked and compared with the one in force:
//
//	c := queues.Candidate{Table: table, InForce: inForce, Pools: pools}
//	for _, p := range c.Check() {
//		fmt.Println(p.Queue, p.Field, p.Message)
//	}
//	changes := queues.Diff(inForce, table)
package queues

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// Queue accepts workflows from callers.
type Queue struct {
	ID heatherhub.QueueID
	// Host is the host name in the requests of the queue.
	Host string
	// Prefix is the prefix of the paths of the queue.
	Prefix string
	heatherhub.QueuePolicy
	// Timeout limits a caller's request.
	Timeout time.Duration
}

// Limits are the limits on requests of callers.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
}

// Table is one version of the routing table. It must not be changed after Offer.
type Table struct {
	Version heatherhub.Version
	// Revision is the store's revision of this version.
	Revision ledger.Revision
	Queues   []Queue
	Limits   Limits
}

// Match returns the queue of the host whose prefix is the longest match of the path, and
// the rest of the path. It reports false if no queue matches.
func (t *Table) Match(host, path string) (*Queue, string, bool) {
	var longest *Queue
	for i := range t.Queues {
		q := &t.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (longest == nil || len(q.Prefix) > len(longest.Prefix)) {
			longest = q
		}
	}
	if longest == nil {
		return nil, "", false
	}
	return longest, path[len(longest.Prefix):], true
}

// Queue returns the queue with an id, or nil if there is none.
func (t *Table) Queue(id heatherhub.QueueID) *Queue {
	for i := range t.Queues {
		if t.Queues[i].ID == id {
			return &t.Queues[i]
		}
	}
	return nil
}

// Current holds the active table. The zero value holds none. It is safe for concurrent
// use.
type Current struct {
	mu    sync.Mutex // serializes Offer
	table atomic.Pointer[Table]
}

// Load returns the active table, or nil before the first call of Offer.
func (c *Current) Load() *Table {
	return c.table.Load()
}

// Offer makes a table the active one unless the active one has a higher version. It
// reports whether it did.
func (c *Current) Offer(t *Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.table.Load(); old != nil && t.Version < old.Version {
		return false
	}
	c.table.Store(t)
	return true
}
