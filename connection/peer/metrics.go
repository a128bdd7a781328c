package peer

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"

	"heatherhub.example/heatherhub"
)

// Metrics are the Prometheus metrics of peer connections. A Client and a Server may
// share them.
type Metrics struct {
	calls        *prometheus.CounterVec
	connections  prometheus.Gauge
	accepted     prometheus.Gauge
	pongTimeouts prometheus.Counter
	malformed    prometheus.Counter
	sent         prometheus.Counter
	received     prometheus.Counter
}

// NewMetrics returns the metrics and registers them, unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_peer_calls_total",
			Help: "Calls sent to peers, by method and code of the outcome.",
		}, []string{"method", "code"}),
		connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "heatherhub_peer_connections", Help: "Open connections to peers.",
		}),
		accepted: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "heatherhub_peer_accepted_connections", Help: "Open connections from peers.",
		}),
		pongTimeouts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherhub_peer_silent_connections_total", Help: "Connections replaced for silence.",
		}),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherhub_peer_malformed_total", Help: "Connections closed for a malformed frame.",
		}),
	}
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "heatherhub_peer_bytes_total", Help: "Bytes exchanged with peers, as they are on the connections.",
	}, []string{"direction"})
	m.sent = bytes.WithLabelValues("sent")
	m.received = bytes.WithLabelValues("received")
	if r != nil {
		r.MustRegister(m.calls, m.connections, m.accepted, m.pongTimeouts, m.malformed, bytes)
	}
	return m
}

// countedConn counts the bytes read and written, including TLS overhead.
type countedConn struct {
	net.Conn
	metrics *Metrics
}

// Read adds the bytes read to the received counter.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.metrics.received.Add(float64(n))
	return n, err
}

// Write adds the bytes written to the sent counter.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.metrics.sent.Add(float64(n))
	return n, err
}

func (m *Metrics) countCall(method Method, code heatherhub.Code) {
	if code == heatherhub.CodeOK {
		code = "ok"
	}
	m.calls.WithLabelValues(string(method), string(code)).Inc()
}
