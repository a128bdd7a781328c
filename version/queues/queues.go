// Package queues is the operators' routing table: which queue a caller's request
// belongs to, which pool of workers runs it, and with which promises. One version
// is in force at a time, and versions only go up.
//
// # Usage
//
//	var t queues.Current
//	t.Offer(table) // ignored if it is not newer
//	q, rest, ok := t.Load().Match(host, path)
package queues

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// Queue takes workflows from callers.
type Queue struct {
	ID     heatherhub.QueueID
	Host   string
	Prefix string
	heatherhub.QueuePolicy
	// Timeout bounds a caller's request.
	Timeout time.Duration
}

// Limits bound what callers send.
type Limits struct {
	MaxBodyBytes int64
}

// Table is one version of the configuration.
type Table struct {
	Version heatherhub.Version
	// Revision is where the store holds this version.
	Revision ledger.Revision
	Queues   []Queue
	Limits   Limits
}

// Match returns the queue with the longest prefix of a path at a host, and the
// rest of the path.
func (t *Table) Match(host, path string) (*Queue, string, bool) {
	var best *Queue
	for i := range t.Queues {
		q := &t.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, "", false
	}
	return best, path[len(best.Prefix):], true
}

// Queue returns a queue by its id, or nil.
func (t *Table) Queue(id heatherhub.QueueID) *Queue {
	for i := range t.Queues {
		if t.Queues[i].ID == id {
			return &t.Queues[i]
		}
	}
	return nil
}

// Current holds the version in force. The zero value holds none.
type Current struct {
	mu    sync.Mutex
	table atomic.Pointer[Table]
}

// Load returns the version in force, or nil before the first one.
func (c *Current) Load() *Table {
	return c.table.Load()
}

// Offer puts a version in force unless a newer one is. It reports whether it did.
func (c *Current) Offer(t *Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.table.Load(); old != nil && t.Version < old.Version {
		return false
	}
	c.table.Store(t)
	return true
}
