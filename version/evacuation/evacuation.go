// Package evacuation holds the failure domains that the operators have evacuated: no task
// may start on a worker of such a domain until it is returned to service. The store has a
// key for each of them, and every host reads these keys by its watch.
//
// # Usage
//
//	var current evacuation.Current
//	reader := evacuation.Reader{Current: &current, Decode: platform.EvacuatedDomain, Log: log}
//	reader.ApplySnapshot(snapshot, time.Now()) // from the watch of the keys
//	reader.ApplyChanges(events, time.Now())
//	if set := current.Load(); set.IsKnown() && !set.Has(worker.Domain) {
//		// a task may start on the worker
//	}
//
// A set is not known before the first snapshot. During an outage of the store the last known
// set stays in force.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// Request is an operator's request to evacuate a failure domain.
type Request struct {
	Domain heatherhub.FailureDomain
	// Revision is the revision of the last change of the request's key, and Created the one
	// at which the key was created. A request that is repeated keeps Created.
	Revision, Created ledger.Revision
	// Since is the time at which this host has first read the request.
	Since time.Time
}

// Set is a set of evacuated failure domains. It is not modified once it was loaded. The zero
// value is empty and not known.
type Set struct {
	requests map[heatherhub.FailureDomain]Request
	isKnown  bool
}

// NewSet returns the known set of the given requests.
func NewSet(requests ...Request) Set {
	s := Set{requests: make(map[heatherhub.FailureDomain]Request, len(requests)), isKnown: true}
	for _, r := range requests {
		s.requests[r.Domain] = r
	}
	return s
}

// IsKnown reports whether the requests have been read.
func (s Set) IsKnown() bool {
	return s.isKnown
}

// Has reports whether a failure domain is evacuated.
func (s Set) Has(d heatherhub.FailureDomain) bool {
	_, ok := s.requests[d]
	return ok
}

// Len returns the number of evacuated domains.
func (s Set) Len() int {
	return len(s.requests)
}

// Requests returns the requests by domain.
func (s Set) Requests() []Request {
	return slices.SortedFunc(maps.Values(s.requests), func(a, b Request) int {
		return strings.Compare(string(a.Domain), string(b.Domain))
	})
}

// Equal reports whether two sets are alike in whether they are known and in their domains.
func (s Set) Equal(o Set) bool {
	return s.isKnown == o.isKnown && maps.EqualFunc(s.requests, o.requests, func(Request, Request) bool { return true })
}

// Change is a request, or the withdrawal of one.
type Change struct {
	Request
	IsWithdrawn bool
}

// Current holds the set in force. The zero value holds one that is not known. It is safe for
// concurrent use.
type Current struct {
	mu  sync.Mutex // serializes changes
	set atomic.Pointer[Set]
	// readAt is the steady time of the store's last answer, as a time.Duration.
	readAt atomic.Int64
}

// Load returns the set in force.
func (c *Current) Load() Set {
	if s := c.set.Load(); s != nil {
		return *s
	}
	return Set{}
}

// MarkRead records that the store has answered about the requests at a steady time.
func (c *Current) MarkRead(now time.Duration) {
	c.readAt.Store(int64(now))
}

// ReadAt returns the steady time of the store's last answer about the requests.
func (c *Current) ReadAt() time.Duration {
	return time.Duration(c.readAt.Load())
}

// Replace puts a complete list of requests in force. Those that were in force already keep the
// time since when they are.
func (c *Current) Replace(requests []Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, old := NewSet(requests...), c.Load()
	for d, r := range next.requests {
		if former, ok := old.requests[d]; ok && former.Created == r.Created {
			r.Since = former.Since
			next.requests[d] = r
		}
	}
	c.set.Store(&next)
}

// Apply applies changes in their order. It ignores changes that are not newer than the set in
// force: a snapshot may contain them already.
func (c *Current) Apply(changes []Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.Load()
	next := Set{requests: maps.Clone(old.requests), isKnown: old.isKnown}
	if next.requests == nil {
		next.requests = make(map[heatherhub.FailureDomain]Request)
	}
	for _, ch := range changes {
		former, ok := next.requests[ch.Domain]
		switch {
		case ok && ch.Revision <= former.Revision:
		case ch.IsWithdrawn:
			delete(next.requests, ch.Domain)
		default:
			r := ch.Request
			if ok && former.Created == r.Created {
				r.Since = former.Since
			}
			next.requests[r.Domain] = r
		}
	}
	c.set.Store(&next)
}
