package config

import (
	"github.com/prometheus/client_golang/prometheus"

	"heatherhub.example/heatherhub"
)

// Values of the label "source".
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// metrics holds the metrics of a Keeper.
type metrics struct {
	version prometheus.Gauge
	invalid *prometheus.CounterVec
	edits   *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) metrics {
	m := metrics{
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "heatherhub_config_version",
			Help: "Version of the configuration in force on this host.",
		}),
		invalid: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_config_invalid_total",
			Help: "Configurations that were invalid and changed nothing, by source.",
		}, []string{"source"}),
		edits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_config_edits_total",
			Help: "Edits by operators on this host, by outcome; ok for those in force.",
		}, []string{"outcome"}),
	}
	if r != nil {
		r.MustRegister(m.version, m.invalid, m.edits)
	}
	return m
}

// countEdit counts an edit by its outcome; err is nil for a successful one.
func (m *metrics) countEdit(err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(heatherhub.CodeOf(err))
	}
	m.edits.WithLabelValues(outcome).Inc()
}
