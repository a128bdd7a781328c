// Package memory is an in-memory host list that lags, for the stand-in and for
// tests.
//
// # Usage
//
//	l := memory.New(memory.Config{Clock: clock, Lag: 5 * time.Second, Hosts: hosts})
//	l.Put(hostlist.Host{ID: "entry-1", Role: hostlist.RoleEntry, State: hostlist.StateLive})
//	hosts, err := l.Hosts(ctx) // without entry-1 for five seconds
package memory

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
)

// Config describes the list.
type Config struct {
	// Clock is nil for the real one.
	Clock clockwork.Clock
	// Lag is the age of what readers see.
	Lag time.Duration
	// Hosts are listed from the start.
	Hosts []hostlist.Host
}

// change is one change of a host's line.
type change struct {
	// number is the change's place in the order of all changes, from 1.
	number uint64
	at     time.Time
	host   hostlist.Host
	isGone bool
}

// List is the list. It is safe for concurrent use.
type List struct {
	clock clockwork.Clock
	name  string

	mu      sync.Mutex
	lag     time.Duration
	isDown  bool
	last    uint64
	changes map[string][]change
}

var _ hostlist.List = (*List)(nil)

// New makes a list.
func New(cfg Config) *List {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	l := &List{clock: cfg.Clock, name: uuid.NewString(), lag: cfg.Lag, changes: make(map[string][]change)}
	for _, h := range cfg.Hosts {
		l.add(h.ID, change{host: h})
	}
	return l
}

// SetLag changes the lag.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// SetDown makes the list fail, or ends that.
func (l *List) SetDown(isDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown = isDown
}

// Put adds a host or changes its line. Readers see it after the lag.
func (l *List) Put(h hostlist.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(h.ID, change{at: l.clock.Now(), host: h})
}

// Remove takes a host off the list. Readers see it after the lag.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(id, change{at: l.clock.Now(), host: hostlist.Host{ID: id}, isGone: true})
}

// add appends a change, unless it changes nothing.
func (l *List) add(id string, c change) {
	known := l.changes[id]
	if n := len(known); n > 0 && known[n-1].host == c.host && known[n-1].isGone == c.isGone {
		return
	}
	l.last++
	c.number = l.last
	l.changes[id] = append(known, c)
}

// lastSeen returns the place of the newest change that readers see, or -1.
func (l *List) lastSeen(changes []change) int {
	limit := l.clock.Now().Add(-l.lag)
	for i := len(changes) - 1; i >= 0; i-- {
		if !changes[i].at.After(limit) {
			return i
		}
	}
	return -1
}

// Hosts returns the hosts as they were one lag ago, in order of id.
func (l *List) Hosts(_ context.Context) ([]hostlist.Host, error) {
	c, err := l.Changes("", 0)
	return c.Hosts, err
}

// Changes returns what readers see to have changed since a revision of the list,
// or all hosts if the revision is of another list or was taken back by a longer
// lag. Hosts are in order of id.
func (l *List) Changes(list string, after uint64) (hostlist.Changes, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDown {
		return hostlist.Changes{}, heatherhub.ErrUnavailable.New("the host list is down: go on with the last one")
	}
	seen := l.allSeen()
	out := hostlist.Changes{ListID: l.name, Hosts: []hostlist.Host{}}
	for _, c := range seen {
		out.Revision = max(out.Revision, c.number)
	}
	out.IsWhole = list != l.name || after > out.Revision
	for _, c := range seen {
		switch {
		case !out.IsWhole && c.number <= after:
		case !c.isGone:
			out.Hosts = append(out.Hosts, c.host)
		case !out.IsWhole:
			out.Removed = append(out.Removed, c.host.ID)
		}
	}
	return out, nil
}

// allSeen returns the newest change of each host that readers see, in order of id.
func (l *List) allSeen() []change {
	var seen []change
	for _, id := range slices.Sorted(maps.Keys(l.changes)) {
		changes := l.changes[id]
		if i := l.lastSeen(changes); i >= 0 {
			seen = append(seen, changes[i])
		}
	}
	return seen
}
