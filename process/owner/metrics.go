package owner

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
)

// metrics holds the Prometheus metrics of a host's shards.
type metrics struct {
	events     *prometheus.CounterVec
	takeovers  prometheus.Counter
	shardsLost prometheus.Counter
	commits    *prometheus.CounterVec
	commitTime prometheus.Histogram
	// announcements counts the writes of announced starts by outcome, heldStarts the starts that waited for one, and
	// announceTime is the time of a write.
	announcements *prometheus.CounterVec
	heldStarts    prometheus.Counter
	announceTime  prometheus.Histogram
	stepWait      prometheus.Histogram
	// openStarts is how long starts without an answer were waited for, by the evidence that ended them.
	openStarts *prometheus.HistogramVec
	jobTime    prometheus.Histogram
	workers    *prometheus.GaugeVec
	// forecastError is the measured error of the forecasts, by shard, pool and priority.
	forecastError *prometheus.GaugeVec
	// workersGone counts workers on which no task runs any more, by evidence.
	workersGone *prometheus.CounterVec
	// workerRestarts counts workers that were seen in another incarnation.
	workerRestarts prometheus.Counter
	// workerClocksBack counts the readings of workers' clocks that were behind what earlier ones allow, and foreignStarts
	// the starts that were answered with such a reading.
	workerClocksBack, foreignStarts prometheus.Counter
	// evacuatedTasks counts the tasks that run in evacuated domains, by shard, domain and kind.
	evacuatedTasks *prometheus.GaugeVec
	// suspectedRuns counts the lost runs that are held against their tasks, by evidence and loss.
	suspectedRuns *prometheus.CounterVec
	// moves counts the moves of work to other shards, by kind.
	moves *prometheus.CounterVec
	// preemptedWork counts the work that runs repeat after they were stopped for urgent jobs.
	preemptedWork prometheus.Counter
	// locationWaits counts the waits of steps for their rack by outcome, and locationWaitTime
	// sums the seconds that they gained and lost.
	locationWaits, locationWaitTime *prometheus.CounterVec
}

// waitBuckets are the histogram buckets of waiting times, in seconds. Most starts take
// milliseconds; service objectives are seconds.
var waitBuckets = []float64{0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30}

// openStartBuckets are the histogram buckets of the waits for open starts, in seconds. Without other evidence a poll after 12 s ends one,
// and the longest lease 10.4 s later.
var openStartBuckets = []float64{0.3, 1, 3, 6, 10, 12, 13, 16, 20, 25, 40}

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
		announcements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_start_announcements_total", Help: "Writes of announced starts alone by outcome; most are part of a commit.",
		}, []string{"outcome"}),
		heldStarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherhub_starts_held_for_store_total", Help: "Starts that waited for their announcement in the store.",
		}),
		announceTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "heatherhub_start_announcement_seconds", Help: "Time of a write of announced starts.", Buckets: []float64{0.005, 0.01, 0.03, 0.1, 0.3, 1},
		}),
		stepWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "heatherhub_step_wait_seconds", Help: "Time from a step's turn to its starts.", Buckets: waitBuckets,
		}),
		openStarts: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "heatherhub_open_start_seconds", Help: "Time for which starts without an answer were open, by the evidence that ended them.", Buckets: openStartBuckets,
		}, []string{"evidence"}),
		jobTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "heatherhub_job_seconds", Help: "Time from acceptance to the end of a job.", Buckets: waitBuckets,
		}),
		workers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "heatherhub_workers", Help: "Workers of this host's shards by state.",
		}, []string{"state"}),
		forecastError: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "heatherhub_forecast_error_seconds", Help: "Mean difference between the expected and the seen first start of jobs.",
		}, []string{"shard", "pool", "priority", "filler"}),
		workersGone: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_workers_gone_total", Help: "Workers on which no task runs any more, by evidence.",
		}, []string{"evidence"}),
		suspectedRuns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_suspected_runs_total", Help: "Runs lost with their workers that are held against their tasks, by evidence and by how the worker was lost.",
		}, []string{"evidence", "loss"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_moves_total", Help: "Moves of waiting work to other shards by kind: tasks, job, or begun job.",
		}, []string{"kind"}),
		workerRestarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherhub_worker_restarts_total", Help: "Workers that started again under their ID.",
		}),
		workerClocksBack: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherhub_worker_clocks_back_total", Help: "Readings of workers' clocks that were behind what earlier ones allow.",
		}),
		foreignStarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherhub_foreign_starts_total", Help: "Starts that were answered by another clock than the one that their lease was derived from.",
		}),
		evacuatedTasks: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "heatherhub_evacuated_tasks", Help: "Tasks that run in evacuated failure domains, in this host's shards.",
		}, []string{"shard", "domain", "kind"}),
		preemptedWork: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherhub_preempted_work_seconds_total", Help: "Work that runs repeat which were stopped for urgent jobs.",
		}),
		locationWaits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_location_waits_total", Help: "Waits of steps for a place in their rack by outcome.",
		}, []string{"outcome"}),
		locationWaitTime: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_location_wait_seconds_total", Help: "Seconds that steps gained or lost by waiting for their rack.",
		}, []string{"outcome"}),
	}
	if r != nil {
		r.MustRegister(m.events, m.takeovers, m.shardsLost, m.commits, m.commitTime, m.announcements, m.heldStarts, m.announceTime, m.stepWait, m.openStarts, m.jobTime, m.workers, m.workersGone, m.workerRestarts, m.workerClocksBack, m.foreignStarts, m.evacuatedTasks, m.moves, m.forecastError, m.suspectedRuns, m.preemptedWork, m.locationWaits, m.locationWaitTime)
	}
	return m
}

// recordEvent updates the metrics with an event of a dispatch engine.
func (m *metrics) recordEvent(n dispatch.EventRecord) {
	m.events.WithLabelValues(string(n.Event), n.Reason).Add(float64(max(n.Count, 1)))
	switch n.Event {
	case dispatch.EventTasksStarted:
		m.stepWait.Observe(n.Waited.Seconds())
	case dispatch.EventUnansweredStartOver, dispatch.EventOpenStartListed:
		m.openStarts.WithLabelValues(n.Reason).Observe(n.Waited.Seconds())
	case dispatch.EventRunEnded:
		if n.Evidence != "" {
			m.suspectedRuns.WithLabelValues(n.Evidence, n.Loss).Inc()
		}
	case dispatch.EventJobEnded:
		m.jobTime.Observe(n.Waited.Seconds())
	case dispatch.EventRunPreempted:
		m.preemptedWork.Add(n.Lost.Seconds())
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

// recordAnnouncement records a write of announced starts alone.
func (m *metrics) recordAnnouncement(err error, took time.Duration) {
	m.announceTime.Observe(took.Seconds())
	if err != nil {
		m.announcements.WithLabelValues("failed").Inc()
		return
	}
	m.announcements.WithLabelValues("done").Inc()
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

// registerEvacuated registers the gauge of evacuated domains with r unless r is nil.
func (m *metrics) registerEvacuated(r prometheus.Registerer, count func() float64) {
	if r != nil {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "heatherhub_evacuated_domains", Help: "Evacuated failure domains.",
		}, count))
	}
}

// Values of the label "kind" of evacuatedTasks.
const (
	batchTasks       = "batch"
	longRunningTasks = "longRunning"
)

// setEvacuated sets the gauges of a shard's tasks in an evacuated domain.
func (m *metrics) setEvacuated(s heatherhub.ShardID, d dispatch.EvacuatedDomain) {
	m.evacuatedTasks.WithLabelValues(s.String(), string(d.Domain), batchTasks).Set(float64(d.Batch))
	m.evacuatedTasks.WithLabelValues(s.String(), string(d.Domain), longRunningTasks).Set(float64(d.LongRunning))
}

// forgetEvacuated removes the gauges of a shard's tasks in some domains, or in all if none is given.
func (m *metrics) forgetEvacuated(s heatherhub.ShardID, domains ...heatherhub.FailureDomain) {
	labels := prometheus.Labels{"shard": s.String()}
	if len(domains) == 0 {
		m.evacuatedTasks.DeletePartialMatch(labels)
	}
	for _, d := range domains {
		labels["domain"] = string(d)
		m.evacuatedTasks.DeletePartialMatch(labels)
	}
}

// reportForecast sets the gauges of the measured errors of a shard's forecasts. A nil forecast
// removes them.
func (m *metrics) reportForecast(shard heatherhub.ShardID, f *dispatch.Forecast) {
	m.forecastError.DeletePartialMatch(prometheus.Labels{"shard": shard.String()})
	if f == nil {
		return
	}
	for pool, p := range f.Pools {
		for i := range p.Lanes {
			l := &p.Lanes[i]
			m.forecastError.WithLabelValues(shard.String(), string(pool), strconv.Itoa(l.Priority), strconv.FormatBool(l.IsFiller)).Set(l.Error.Seconds())
		}
	}
}
