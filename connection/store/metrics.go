package store

import (
	"github.com/prometheus/client_golang/prometheus"

	"heatherhub.example/heatherhub"
)

// metrics are the Prometheus metrics of a Limiter.
type metrics struct {
	calls          *prometheus.CounterVec
	notSent        prometheus.Counter
	bytesRead      prometheus.Counter
	bytesWritten   prometheus.Counter
	waitingWatches prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_store_calls_total",
			Help: "Calls sent to the store by kind and outcome.",
		}, []string{"call", "outcome"}),
		notSent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherhub_store_held_back_total",
			Help: "Calls that were not sent, for want of budget or in an outage.",
		}),
		bytesRead: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherhub_store_read_bytes_total",
			Help: "Bytes of values read from the store.",
		}),
		bytesWritten: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherhub_store_written_bytes_total",
			Help: "Bytes of values sent to the store.",
		}),
		waitingWatches: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "heatherhub_store_waiting_watches",
			Help: "Watches that wait now.",
		}),
	}
	if r != nil {
		r.MustRegister(m.calls, m.notSent, m.bytesRead, m.bytesWritten, m.waitingWatches)
	}
	return m
}

func (m *metrics) count(call string, err error) {
	outcome := string(heatherhub.CodeOf(err))
	if err == nil {
		outcome = "ok"
	}
	m.calls.WithLabelValues(call, outcome).Inc()
}

func (m *metrics) countEntries(entries []Entry) {
	for i := range entries {
		m.bytesRead.Add(float64(len(entries[i].Value)))
	}
}
