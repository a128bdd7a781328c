package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/platform"
)

// Paths of the HTTP protocol. Bodies are JSON.
const (
	// PathHosts returns all hosts on GET. PathHosts + "/" + id registers or updates a
	// Host on PUT and removes it on DELETE.
	PathHosts = "/hosts"
	// PathChanges returns the Changes since revision ?after of the list ?list on GET.
	PathChanges = "/hostchanges"
)

// MaxHostBytes is the maximum body size of a PUT of a host, in bytes.
const MaxHostBytes = 10_000

// Changes is the difference between two revisions of the list.
type Changes struct {
	// ListID identifies the list that Revision belongs to. A list that is created
	// again gets another identifier and starts new revision numbers.
	ListID   string `json:"list"`
	Revision uint64 `json:"revision"`
	// IsWhole means that Hosts is the complete list rather than the changed hosts.
	IsWhole bool     `json:"isWhole,omitempty"`
	Hosts   []Host   `json:"hosts,omitempty"`
	Removed []string `json:"removed,omitempty"`
	// Rejected has the errors of the received entries that are invalid. They are not in Hosts.
	Rejected []error `json:"-"`
}

// UnmarshalJSON decodes changes. An entry that is invalid does not affect the others, as any program
// may write to the list.
func (c *Changes) UnmarshalJSON(data []byte) error {
	var v struct {
		ListID   string            `json:"list"`
		Revision uint64            `json:"revision"`
		IsWhole  bool              `json:"isWhole"`
		Hosts    []json.RawMessage `json:"hosts"`
		Removed  []string          `json:"removed"`
	}
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	next := Changes{ListID: v.ListID, Revision: v.Revision, IsWhole: v.IsWhole, Removed: v.Removed}
	for _, raw := range v.Hosts {
		var h Host
		if err := json.Unmarshal(raw, &h); err != nil {
			next.Rejected = append(next.Rejected, err)
			continue
		}
		next.Hosts = append(next.Hosts, h)
	}
	*c = next
	return nil
}

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	Platform platform.Config
	Log      *zap.Logger
}

// maxErrorBytes bounds the logged error of an entry, which may quote the entry.
const maxErrorBytes = 300

// Client is a List that uses the HTTP protocol. It reads the complete list once and
// only changes after that. It is safe for concurrent use.
type Client struct {
	http *platform.Client
	log  *zap.Logger
	// last is the last known state. The state that it points to is immutable.
	last atomic.Pointer[state]
}

// state is the content of the list at one revision.
type state struct {
	list     string
	revision uint64
	// hosts is sorted by id.
	hosts []Host
}

var _ List = (*Client)(nil)

// NewClient returns a client. It connects on the first request.
func NewClient(cfg ClientConfig) *Client {
	return &Client{http: platform.NewClient(cfg.Platform), log: cfg.Log}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// Hosts returns all listed hosts, sorted by id. It returns heatherhub.ErrUnavailable if
// the list cannot be read. The caller owns the returned slice.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	last := c.last.Load()
	path := PathChanges
	if last != nil {
		path += "?" + url.Values{"list": {last.list}, "after": {strconv.FormatUint(last.revision, 10)}}.Encode()
	}
	var changes Changes
	if err := c.http.Call(ctx, platform.JSON, http.MethodGet, path, nil, &changes); err != nil {
		return nil, heatherhub.ErrUnavailable.Wrap(err, "cannot read the host list: keep using the last known list")
	}
	for _, err := range changes.Rejected {
		c.log.Warn("host ignored", zap.String("error", fmt.Sprintf("%.*s", maxErrorBytes, err.Error())))
	}
	next, err := last.apply(&changes)
	if err != nil {
		c.last.Store(nil)
		return nil, err
	}
	c.last.Store(next)
	return slices.Clone(next.hosts), nil
}

// apply returns the state after the changes are applied. The receiver may be nil, which
// requires a complete list.
func (s *state) apply(c *Changes) (*state, error) {
	if !c.IsWhole && (s == nil || s.list != c.ListID) {
		return nil, heatherhub.ErrUnavailable.New("the host list sent changes to a different list: read the complete list again")
	}
	next := &state{list: c.ListID, revision: c.Revision}
	if !c.IsWhole {
		next.hosts = s.hosts
	}
	if len(c.Hosts)+len(c.Removed) > 0 {
		next.hosts = applyChanges(next.hosts, c)
	}
	return next, nil
}

// applyChanges returns a copy of hosts with the changes applied, sorted by id.
func applyChanges(hosts []Host, c *Changes) []Host {
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

// Put registers a host or updates its entry.
func (c *Client) Put(ctx context.Context, h Host) error {
	return c.http.Call(ctx, platform.JSON, http.MethodPut, hostPath(h.ID), h, nil)
}

// Remove removes a host from the list.
func (c *Client) Remove(ctx context.Context, id string) error {
	return c.http.Call(ctx, platform.JSON, http.MethodDelete, hostPath(id), nil, nil)
}

func hostPath(id string) string {
	return PathHosts + "/" + url.PathEscape(id)
}
