package caller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the counts and durations of callers' requests.
type Metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// NewMetrics returns metrics that are registered with r, unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_caller_requests_total",
			Help: "Requests of callers, by service and outcome.",
		}, []string{"workload", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "heatherhub_caller_request_seconds",
			Help:    "Time from the arrival of a request to its final answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"workload", "outcome"}),
	}
	if r != nil {
		r.MustRegister(m.requests, m.seconds)
	}
	return m
}

// observe records a finished request.
func (m *Metrics) observe(workload string, o Outcome, d time.Duration) {
	m.requests.WithLabelValues(workload, string(o)).Inc()
	m.seconds.WithLabelValues(workload, string(o)).Observe(d.Seconds())
}
