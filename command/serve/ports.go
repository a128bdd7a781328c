package serve

import (
	"context"
	"net"
	"net/http"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/inbound"
	"heatherhub.example/heatherhub/connection/peer"
)

const (
	// readHeaderTimeout bounds the reading of a request's header.
	readHeaderTimeout = 5 * time.Second
	// probeIdleTimeout closes a connection for readiness checks that is not used. The platform
	// checks once a second.
	probeIdleTimeout = time.Minute
	// writeTimeout bounds each write of a response.
	writeTimeout = 10 * time.Second
)

// machine returns the limits of the host's machine.
func (h *host) machine() inbound.Machine {
	return inbound.Machine{MemoryBytes: h.settings.MemoryMB * 1e6, Sockets: h.settings.MaxSockets}
}

// listen listens on an address of this host.
func (h *host) listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := inbound.Listen(ctx, address, h.log)
	if err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot listen on %s: choose an address of this host and a free port", address)
	}
	return l, nil
}

// limitPeers limits what other hosts make this one hold, and returns the listener to serve.
func (h *host) limitPeers(l net.Listener) net.Listener {
	return inbound.NewGate(inbound.Config{
		Name: "peers", MaxConnections: h.maxPeers(), MaxBytes: h.machine().MaxBytes(inbound.PeerShare), Log: h.log, Registry: h.registry,
	}).Listener(l)
}

// maxPeers returns the largest number of connections from other hosts.
func (h *host) maxPeers() int {
	return min(h.machine().MaxConnections(inbound.PeerShare), peer.DefaultMaxConnections)
}

// limit limits what the clients of an HTTP server make the host hold, and returns the listener to
// serve.
func (h *host) limit(name string, share inbound.Share, s *http.Server, l net.Listener) net.Listener {
	gate := inbound.NewGate(inbound.Config{
		Name: name, MaxConnections: h.machine().MaxConnections(share), MaxBytes: h.machine().MaxBytes(share), HeaderCost: inbound.HTTPHeaderCost,
		WriteTimeout: writeTimeout, Log: h.log, Registry: h.registry,
	})
	s.MaxHeaderBytes = inbound.MaxHeaderBytes
	gate.Attach(s)
	return gate.Listener(l)
}
