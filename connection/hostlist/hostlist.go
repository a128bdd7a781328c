// Package hostlist defines the platform's list of hosts and a client for it. The list
// contains the workers and entry hosts that are live or leaving.
//
// # Usage
//
//	hosts, err := list.Hosts(ctx)
//	for _, h := range hosts {
//		if h.Role == hostlist.RoleWorker && h.State == hostlist.StateLive {
//			use(h)
//		}
//	}
//
// The list is eventually consistent: a host that is listed as live may be dead, and a
// new host may be missing for some time. Do not use it as proof that a host is alive
// or gone.
package hostlist

import (
	"context"

	"heatherhub.example/heatherhub"
)

// Role is the function of a host.
type Role string

// Roles of hosts.
const (
	RoleWorker Role = "worker"
	RoleEntry  Role = "entry"
)

// State is whether a host may get new work.
type State string

// States of hosts.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	// ID is a WorkerID or a HostID, depending on the role.
	ID     string                   `json:"id"`
	Role   Role                     `json:"role"`
	Domain heatherhub.FailureDomain `json:"domain"`
	Rack   heatherhub.Rack          `json:"rack,omitempty"`
	// Address is the IP and port of a worker's control and request port, or of
	// an entry host's peer port.
	Address  string               `json:"address"`
	State    State                `json:"state"`
	Capacity heatherhub.Resources `json:"capacity"`
	// Slots is the maximum number of concurrent requests of a worker.
	Slots int `json:"slots,omitempty"`
	// Incarnation tells the lives of a worker apart, as its reports state it.
	Incarnation heatherhub.Incarnation `json:"incarnation,omitempty"`
	// Connections is the maximum number of connections of a worker.
	Connections int `json:"connections,omitempty"`
}

// List is the platform's list of hosts.
type List interface {
	// Hosts returns all listed hosts, sorted by id. It returns
	// heatherhub.ErrUnavailable if the list cannot be read; callers then keep using
	// the last known list.
	Hosts(ctx context.Context) ([]Host, error)
}
