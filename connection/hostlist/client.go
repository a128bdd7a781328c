package hostlist

import (
	"context"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/platform"
)

// Paths of the HTTP protocol. Bodies are JSON.
const (
	// PathHosts answers GET with all hosts. PathHosts + "/" + id takes PUT of a
	// Host that announces itself, and DELETE of one that has left.
	PathHosts = "/hosts"
	// PathChanges answers GET with the Changes of the list that ?list names since
	// its revision ?after.
	PathChanges = "/hostchanges"
)

// MaxHostBytes bounds the body of an announcement.
const MaxHostBytes = 10_000

// Changes leads from one revision of the list to the next.
type Changes struct {
	// ListID names the list that the revision counts in. A list that is made anew
	// has another name.
	ListID   string `json:"list"`
	Revision uint64 `json:"revision"`
	// IsWhole says that Hosts are all hosts.
	IsWhole bool     `json:"isWhole,omitempty"`
	Hosts   []Host   `json:"hosts,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// Client is the List behind the HTTP protocol. It reads the list once and its
// changes from then on.
type Client struct {
	http *platform.Client
	// last is the last state; it is never changed.
	last atomic.Pointer[state]
}

// state is the list at one revision.
type state struct {
	list     string
	revision uint64
	// hosts are in order of id.
	hosts []Host
}

var _ List = (*Client)(nil)

// NewClient returns a client. It makes no connection yet.
func NewClient(cfg platform.Config) *Client {
	return &Client{http: platform.NewClient(cfg)}
}

// Close ends idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// Hosts returns all listed hosts in order of id.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	last := c.last.Load()
	path := PathChanges
	if last != nil {
		path += "?" + url.Values{"list": {last.list}, "after": {strconv.FormatUint(last.revision, 10)}}.Encode()
	}
	var changes Changes
	if err := c.http.Call(ctx, platform.JSON, http.MethodGet, path, nil, &changes); err != nil {
		return nil, heatherhub.ErrUnavailable.Wrap(err, "cannot read the host list: go on with the last one")
	}
	next, err := last.apply(&changes)
	if err != nil {
		c.last.Store(nil)
		return nil, err
	}
	c.last.Store(next)
	return slices.Clone(next.hosts), nil
}

// apply returns the state after some changes.
func (s *state) apply(c *Changes) (*state, error) {
	if !c.IsWhole && (s == nil || s.list != c.ListID) {
		return nil, heatherhub.ErrUnavailable.New("the host list sent changes of another list: read it again")
	}
	next := &state{list: c.ListID, revision: c.Revision}
	if !c.IsWhole {
		next.hosts = s.hosts
	}
	if len(c.Hosts)+len(c.Removed) > 0 {
		next.hosts = merge(next.hosts, c)
	}
	return next, nil
}

// merge returns the hosts after some changes, in order of id.
func merge(hosts []Host, c *Changes) []Host {
	byID := make(map[string]Host, len(hosts)+len(c.Hosts))
	for _, h := range hosts {
		byID[h.ID] = h
	}
	for _, h := range c.Hosts {
		byID[h.ID] = h
	}
	for _, id := range c.Removed {
		delete(byID, id)
	}
	merged := slices.Collect(maps.Values(byID))
	slices.SortFunc(merged, func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
	return merged
}

// Put announces a host, or changes its state.
func (c *Client) Put(ctx context.Context, h Host) error {
	return c.http.Call(ctx, platform.JSON, http.MethodPut, hostPath(h.ID), h, nil)
}

// Remove takes a host off the list.
func (c *Client) Remove(ctx context.Context, id string) error {
	return c.http.Call(ctx, platform.JSON, http.MethodDelete, hostPath(id), nil, nil)
}

func hostPath(id string) string {
	return PathHosts + "/" + url.PathEscape(id)
}
