// Package memory implements an in-memory host list with a configurable lag, for the
// stand-in platform and for tests.
//
// # Usage
//
//	l := memory.New(memory.Config{Clock: clock, Lag: 5 * time.Second, Hosts: hosts})
//	l.Put(hostlist.Host{ID: "entry-1", Role: hostlist.RoleEntry, State: hostlist.StateLive})
//	hosts, err := l.Hosts(ctx) // does not contain entry-1 for five seconds
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

// Config holds the settings of a list.
type Config struct {
	// Clock is the list's clock; nil for the real one.
	Clock clockwork.Clock
	// Lag is the delay until readers see a change.
	Lag time.Duration
	// Hosts is the initial content, visible immediately.
	Hosts []hostlist.Host
}

// change is one update or removal of a host.
type change struct {
	// revision numbers the changes of the list, from 1.
	revision  uint64
	at        time.Time
	host      hostlist.Host
	isRemoved bool
}

// List is a lagging host list. It is safe for concurrent use.
type List struct {
	clock clockwork.Clock
	// id is the ListID of the changes.
	id string

	mu     sync.Mutex
	lag    time.Duration
	isDown bool
	// lastRevision is the revision of the newest change, visible or not.
	lastRevision uint64
	// changes holds all changes of each host id, oldest first.
	changes map[string][]change
}

var _ hostlist.List = (*List)(nil)

// New returns a list with the hosts of cfg.
func New(cfg Config) *List {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	l := &List{clock: cfg.Clock, id: uuid.NewString(), lag: cfg.Lag, changes: make(map[string][]change)}
	for _, h := range cfg.Hosts {
		l.add(h.ID, change{host: h})
	}
	return l
}

// SetLag sets the lag. A longer lag hides recent changes again.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// SetDown sets whether reads fail.
func (l *List) SetDown(isDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown = isDown
}

// Put adds or updates a host. Readers see the change after the lag.
func (l *List) Put(h hostlist.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(h.ID, change{at: l.clock.Now(), host: h})
}

// Remove removes a host. Readers see the change after the lag.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(id, change{at: l.clock.Now(), host: hostlist.Host{ID: id}, isRemoved: true})
}

// add appends a change unless it repeats the previous one of the host.
func (l *List) add(id string, c change) {
	previous := l.changes[id]
	if n := len(previous); n > 0 && previous[n-1].host == c.host && previous[n-1].isRemoved == c.isRemoved {
		return
	}
	l.lastRevision++
	c.revision = l.lastRevision
	l.changes[id] = append(previous, c)
}

// newestVisible returns the index of the newest change that readers see, or -1.
func (l *List) newestVisible(changes []change) int {
	visibleUntil := l.clock.Now().Add(-l.lag)
	for i := len(changes) - 1; i >= 0; i-- {
		if !changes[i].at.After(visibleUntil) {
			return i
		}
	}
	return -1
}

// Hosts returns the hosts as they were one lag ago, sorted by id.
func (l *List) Hosts(_ context.Context) ([]hostlist.Host, error) {
	c, err := l.Changes("", 0)
	return c.Hosts, err
}

// Changes returns the visible changes since a revision. It returns the complete list
// if listID names another list, or if the revision is no longer visible because the
// lag has grown. Hosts are sorted by id.
func (l *List) Changes(listID string, after uint64) (hostlist.Changes, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDown {
		return hostlist.Changes{}, heatherhub.ErrUnavailable.New("the host list is down: keep using the last known list")
	}
	visible := l.visibleChanges()
	out := hostlist.Changes{ListID: l.id, Hosts: []hostlist.Host{}}
	for _, c := range visible {
		out.Revision = max(out.Revision, c.revision)
	}
	out.IsWhole = listID != l.id || after > out.Revision
	for _, c := range visible {
		switch {
		case !out.IsWhole && c.revision <= after:
		case !c.isRemoved:
			out.Hosts = append(out.Hosts, c.host)
		case !out.IsWhole:
			out.Removed = append(out.Removed, c.host.ID)
		}
	}
	return out, nil
}

// visibleChanges returns the newest visible change of each host, sorted by id.
func (l *List) visibleChanges() []change {
	var visible []change
	for _, id := range slices.Sorted(maps.Keys(l.changes)) {
		changes := l.changes[id]
		if i := l.newestVisible(changes); i >= 0 {
			visible = append(visible, changes[i])
		}
	}
	return visible
}
