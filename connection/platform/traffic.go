package platform

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Traffic counts the bytes of connections, including headers and pings. It is safe for
// concurrent use.
type Traffic struct {
	sent, received, connections atomic.Int64
}

// NewTraffic returns a counter that is exported as metrics of the named service; with a
// nil registerer it is not exported.
func NewTraffic(service string, r prometheus.Registerer) *Traffic {
	t := &Traffic{}
	if r == nil {
		return t
	}
	register := func(name, help string, labels prometheus.Labels, n *atomic.Int64) {
		labels["service"] = service
		opts := prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}
		r.MustRegister(prometheus.NewCounterFunc(opts, func() float64 { return float64(n.Load()) }))
	}
	const bytesName, bytesHelp = "heatherhub_platform_bytes_total", "Bytes exchanged with a service of the platform."
	register(bytesName, bytesHelp, prometheus.Labels{"direction": "sent"}, &t.sent)
	register(bytesName, bytesHelp, prometheus.Labels{"direction": "received"}, &t.received)
	register("heatherhub_platform_connections_total", "Connections made to a service of the platform.", prometheus.Labels{}, &t.connections)
	return t
}

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Connections returns the number of connections established.
func (t *Traffic) Connections() int64 { return t.connections.Load() }

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func countTraffic(dial dialFunc, t *Traffic) dialFunc {
	if t == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		t.connections.Add(1)
		return &countedConn{Conn: c, traffic: t}, nil
	}
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
