package entry

import (
	"context"
	"sync"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
)

// hostListCache keeps the last reading of the platform's list and passes each one on.
// It is the list that the rest of the process reads.
type hostListCache struct {
	source hostlist.List

	mu          sync.Mutex
	hosts       []hostlist.Host
	subscribers []func([]hostlist.Host)
}

func newHostListCache(list hostlist.List) *hostListCache {
	return &hostListCache{source: list}
}

// subscribe adds a function that gets each reading.
func (v *hostListCache) subscribe(f func([]hostlist.Host)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscribers = append(v.subscribers, f)
}

// Hosts reads the list and passes it on.
func (v *hostListCache) Hosts(ctx context.Context) ([]hostlist.Host, error) {
	hosts, err := v.source.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	v.mu.Lock()
	v.hosts = hosts
	listeners := v.subscribers
	v.mu.Unlock()
	for _, f := range listeners {
		f(hosts)
	}
	return hosts, nil
}

// entryHosts returns the entry hosts of the last reading.
func (v *hostListCache) entryHosts() []hostlist.Host {
	return v.withRole(hostlist.RoleEntry)
}

func (v *hostListCache) withRole(role hostlist.Role) []hostlist.Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	var found []hostlist.Host
	for _, h := range v.hosts {
		if h.Role == role {
			found = append(found, h)
		}
	}
	return found
}

// otherEntryHosts returns the ids of the listed entry hosts other than self.
func (v *hostListCache) otherEntryHosts(self heatherhub.HostID) []heatherhub.HostID {
	var ids []heatherhub.HostID
	for _, h := range v.entryHosts() {
		if id := heatherhub.HostID(h.ID); id != self {
			ids = append(ids, id)
		}
	}
	return ids
}
