package entry

import (
	"context"
	"sync"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
)

// hostListCache keeps the last result of reading the platform's host list and
// passes each result to its subscribers. The process reads the list only through
// it. It is safe for concurrent use.
type hostListCache struct {
	source hostlist.List

	mu          sync.Mutex
	hosts       []hostlist.Host
	subscribers []func([]hostlist.Host)
}

func newHostListCache(list hostlist.List) *hostListCache {
	return &hostListCache{source: list}
}

// subscribe registers a function that is called with each list that is read.
func (c *hostListCache) subscribe(f func([]hostlist.Host)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, f)
}

// Hosts reads the platform's host list, caches it and calls the subscribers.
func (c *hostListCache) Hosts(ctx context.Context) ([]hostlist.Host, error) {
	hosts, err := c.source.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.hosts = hosts
	subscribers := c.subscribers
	c.mu.Unlock()
	for _, f := range subscribers {
		f(hosts)
	}
	return hosts, nil
}

// entryHosts returns the entry hosts of the cached list.
func (c *hostListCache) entryHosts() []hostlist.Host {
	return c.withRole(hostlist.RoleEntry)
}

func (c *hostListCache) withRole(role hostlist.Role) []hostlist.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []hostlist.Host
	for _, h := range c.hosts {
		if h.Role == role {
			found = append(found, h)
		}
	}
	return found
}

// otherEntryHosts returns the IDs of the listed entry hosts except self.
func (c *hostListCache) otherEntryHosts(self heatherhub.HostID) []heatherhub.HostID {
	var ids []heatherhub.HostID
	for _, h := range c.entryHosts() {
		if id := heatherhub.HostID(h.ID); id != self {
			ids = append(ids, id)
		}
	}
	return ids
}
