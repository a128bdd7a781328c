package inbound

import "github.com/prometheus/client_golang/prometheus"

// gateMetrics are the Prometheus metrics of a gate.
type gateMetrics struct {
	closed *prometheus.CounterVec
}

// newGateMetrics returns the metrics and registers them, unless the gate has no registry.
func newGateMetrics(g *Gate) gateMetrics {
	labels := prometheus.Labels{"port": g.cfg.Name}
	m := gateMetrics{closed: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "heatherhub_inbound_closed_total", Help: "Connections closed in favour of others, by the limit that was reached.", ConstLabels: labels,
	}, []string{"limit"})}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return value()
		})
	}
	if g.cfg.Registry != nil {
		g.cfg.Registry.MustRegister(m.closed,
			gauge("heatherhub_inbound_connections", "Open connections from clients.", func() float64 { return float64(g.open) }),
			gauge("heatherhub_inbound_receiving", "Connections whose request is not complete.", func() float64 { return float64(g.receiving.Len()) }),
			gauge("heatherhub_inbound_held_bytes", "Memory for requests that are received or served, in bytes.", func() float64 { return float64(g.held) }),
			gauge("heatherhub_inbound_max_bytes", "Limit of heatherhub_inbound_held_bytes.", func() float64 { return float64(g.cfg.MaxBytes) }),
			gauge("heatherhub_inbound_max_connections", "Limit of heatherhub_inbound_connections.", func() float64 { return float64(g.cfg.MaxConnections) }),
		)
	}
	return m
}
