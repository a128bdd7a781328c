package route

import (
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/request/endpoint"
)

// Metrics counts the attempts of routers and the requests at owners, and exports
// the gauges of their pools.
type Metrics struct {
	served   *prometheus.CounterVec
	refused  *prometheus.CounterVec
	attempts *prometheus.CounterVec

	mu     sync.Mutex
	owners []*Owner
}

// Gauges of the pools, which are computed on collection.
var (
	queuedDesc = prometheus.NewDesc("heatherhub_owner_queued",
		"Requests that wait for a replica, by shard.", []string{"shard"}, nil)
	inFlightDesc = prometheus.NewDesc("heatherhub_owner_in_flight",
		"Requests that hold a slot of a worker, by shard.", []string{"shard"}, nil)
	ejectedDesc = prometheus.NewDesc("heatherhub_owner_ejected",
		"Replicas that are ejected, by shard.", []string{"shard"}, nil)
)

// Describe implements prometheus.Collector for the gauges of the pools.
func (m *Metrics) Describe(ch chan<- *prometheus.Desc) {
	ch <- queuedDesc
	ch <- inFlightDesc
	ch <- ejectedDesc
}

// Collect implements prometheus.Collector for the gauges of the pools.
func (m *Metrics) Collect(ch chan<- prometheus.Metric) {
	m.mu.Lock()
	owners := slices.Clone(m.owners)
	m.mu.Unlock()
	for _, o := range owners {
		for _, p := range o.pools() {
			s := p.stats()
			shard := p.id.String()
			ch <- prometheus.MustNewConstMetric(queuedDesc, prometheus.GaugeValue, float64(s.Queued), shard)
			ch <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(s.InFlight), shard)
			ch <- prometheus.MustNewConstMetric(ejectedDesc, prometheus.GaugeValue, float64(s.Ejected), shard)
		}
	}
}

// addOwner adds the pools of an owner to those that Collect reads.
func (m *Metrics) addOwner(o *Owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owners = append(m.owners, o)
}

// NewMetrics returns metrics registered with r, or unregistered ones if r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_owner_requests_total",
			Help: "Requests at the owner, by service and code of the outcome.",
		}, []string{"workload", "code"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_owner_refused_total",
			Help: "Requests that the owner refused as not run, by service and reason.",
		}, []string{"workload", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_entry_attempts_total",
			Help: "Attempts of the entry host, by service and whether first or again.",
		}, []string{"workload", "attempt"}),
	}
	if r != nil {
		r.MustRegister(m, m.served, m.refused, m.attempts)
	}
	return m
}

// countServed counts a request at the owner by the code of its error.
func (m *Metrics) countServed(w heatherhub.WorkloadID, err error) {
	code := heatherhub.CodeOf(err)
	if code == heatherhub.CodeOK {
		code = "ok"
	}
	m.served.WithLabelValues(string(w), string(code)).Inc()
}

func (m *Metrics) countRefused(w heatherhub.WorkloadID, reason endpoint.Reason) {
	m.refused.WithLabelValues(string(w), string(reason)).Inc()
}

// countAttempt counts the attempt with the index n; all but 0 are retries.
func (m *Metrics) countAttempt(w heatherhub.WorkloadID, n int) {
	attempt := "first"
	if n > 0 {
		attempt = "again"
	}
	m.attempts.WithLabelValues(string(w), attempt).Inc()
}
