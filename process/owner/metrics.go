package owner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"heatherhub.example/heatherhub/process/dispatch"
)

// metrics holds the Prometheus metrics of a host's shards.
type metrics struct {
	events     *prometheus.CounterVec
	takeovers  prometheus.Counter
	shardsLost prometheus.Counter
	commits    *prometheus.CounterVec
	commitTime prometheus.Histogram
	stepWait   prometheus.Histogram
	jobTime    prometheus.Histogram
	workers    *prometheus.GaugeVec
	// workersGone counts workers on which no task runs any more, by evidence.
	workersGone *prometheus.CounterVec
	// workerRestarts counts workers that were seen in another incarnation.
	workerRestarts prometheus.Counter
	// locationWaits counts the waits of steps for their rack by outcome, and locationWaitTime
	// sums the seconds that they gained and lost.
	locationWaits, locationWaitTime *prometheus.CounterVec
}

// waitBuckets are the histogram buckets of waiting times, in seconds. Most starts take
// milliseconds; service objectives are seconds.
var waitBuckets = []float64{0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30}

// newMetrics returns the metrics, registered with r unless r is nil.
func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_dispatch_events_total", Help: "Tasks, runs, jobs and workers by event and reason.",
		}, []string{"event", "reason"}),
		takeovers:  prometheus.NewCounter(prometheus.CounterOpts{Name: "heatherhub_takeovers_total", Help: "Shards taken over."}),
		shardsLost: prometheus.NewCounter(prometheus.CounterOpts{Name: "heatherhub_shards_lost_total", Help: "Shards lost to another owner or for want of the store."}),
		commits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_commits_total", Help: "Commits of progress by outcome.",
		}, []string{"outcome"}),
		commitTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "heatherhub_commit_seconds", Help: "Time of a commit of progress.", Buckets: []float64{0.005, 0.01, 0.03, 0.1, 0.3, 1},
		}),
		stepWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "heatherhub_step_wait_seconds", Help: "Time from a step's turn to its starts.", Buckets: waitBuckets,
		}),
		jobTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "heatherhub_job_seconds", Help: "Time from acceptance to the end of a job.", Buckets: waitBuckets,
		}),
		workers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "heatherhub_workers", Help: "Workers of this host's shards by state.",
		}, []string{"state"}),
		workersGone: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_workers_gone_total", Help: "Workers on which no task runs any more, by evidence.",
		}, []string{"evidence"}),
		workerRestarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherhub_worker_restarts_total", Help: "Workers that started again under their ID.",
		}),
		locationWaits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_location_waits_total", Help: "Waits of steps for a place in their rack by outcome.",
		}, []string{"outcome"}),
		locationWaitTime: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_location_wait_seconds_total", Help: "Seconds that steps gained or lost by waiting for their rack.",
		}, []string{"outcome"}),
	}
	if r != nil {
		r.MustRegister(m.locationWaits, m.locationWaitTime, m.events, m.takeovers, m.shardsLost, m.commits, m.commitTime, m.stepWait, m.jobTime, m.workers, m.workersGone, m.workerRestarts)
	}
	return m
}

// recordEvent updates the metrics with an event of a dispatch engine.
func (m *metrics) recordEvent(n dispatch.EventRecord) {
	m.events.WithLabelValues(string(n.Event), n.Reason).Add(float64(max(n.Count, 1)))
	switch n.Event {
	case dispatch.EventTasksStarted:
		m.stepWait.Observe(n.Waited.Seconds())
	case dispatch.EventJobEnded:
		m.jobTime.Observe(n.Waited.Seconds())
	case dispatch.EventWaitBegun:
		m.locationWaits.WithLabelValues("begun").Inc()
	case dispatch.EventWaitPaid:
		m.locationWaits.WithLabelValues("paid").Inc()
		m.locationWaitTime.WithLabelValues("gained").Add(n.WaitGained.Seconds())
	case dispatch.EventWaitLost:
		m.locationWaits.WithLabelValues("lost").Inc()
		m.locationWaitTime.WithLabelValues("lost").Add(n.Waited.Seconds())
	}
}

// recordCommit records the duration and outcome of a commit of progress.
func (m *metrics) recordCommit(err error, took time.Duration) {
	m.commitTime.Observe(took.Seconds())
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	m.commits.WithLabelValues(outcome).Inc()
}

// reportWorkers sets the gauges of workers that are up, silent or draining. The caller
// holds t.mu.
func (t *term) reportWorkers() {
	up, silent, draining := 0, 0, 0
	for _, w := range t.workers {
		switch {
		case w.entry.Draining:
			draining++
		case !w.isUp || w.isSilent.Load():
			silent++
		default:
			up++
		}
	}
	g := t.host.metrics.workers
	g.WithLabelValues("up").Set(float64(up))
	g.WithLabelValues("silent").Set(float64(silent))
	g.WithLabelValues("draining").Set(float64(draining))
}
