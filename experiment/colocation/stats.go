package colocation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

// maxLatency is the upper limit of the latency histogram. Longer latencies count as this.
const maxLatency = time.Minute

// Result holds the measurements of one run.
type Result struct {
	// TailLatencyScore is the mean over the services of deadline / p99, each at most 1.
	TailLatencyScore float64 `json:"tailShare"`
	// WorstP99 is the maximum over the services of p99 / deadline.
	WorstP99 float64 `json:"worstP99"`
	// OnTime is the share of requests that were answered before their deadline.
	OnTime float64 `json:"onTime"`
	// Finished is the number of finished batch tasks.
	Finished int `json:"finished"`
	// Throughput is the declared processor time of the finished batch tasks relative to
	// that of all batch tasks, at most 1.
	Throughput float64 `json:"throughput"`
	// Slowdown is the mean time from queuing to finishing a batch task, relative to its
	// declared run time.
	Slowdown float64 `json:"slowdown"`
	// Starts is the number of starts of batch tasks, including restarts.
	Starts    int `json:"starts"`
	Evictions int `json:"evictions"`
	Throttles int `json:"throttles"`
	// LostCPU is the processor time whose work was lost and has to be repeated.
	LostCPU time.Duration `json:"lost"`
	// MaxWait is the longest time that a batch task was queued without running.
	MaxWait time.Duration `json:"starvation"`
	// UrgentLateShare is the share of starts of urgent tasks that took longer than
	// heatherhub.UrgentStartTarget.
	UrgentLateShare float64 `json:"urgentLate"`
	// MissedWindows is the number of batch tasks that finished after they were due.
	MissedWindows int     `json:"windowsMissed"`
	Utilisation   float64 `json:"utilisation"`
	Failures      int     `json:"failures"`
	Parked        int     `json:"parked"`
	// Overcommits is the number of times that a worker had more reserved than its capacity.
	Overcommits int     `json:"overcommits"`
	Score       float64 `json:"score"`
}

// serviceStats collects the measurements of one service.
type serviceStats struct {
	total, onTime int
	latency       *hdrhistogram.Histogram
}

// stats collects the measurements of one run.
type stats struct {
	sim                *simulation
	services           map[heatherhub.WorkloadID]*serviceStats
	finished           int
	starts             int
	finishedCPU        time.Duration
	slowdownSum        float64
	evictions          int
	throttles          int
	failures           int
	parked             int
	lostCPU            time.Duration
	maxWait            time.Duration
	urgentStarts       int
	urgentLateStarts   int
	missedWindows      int
	utilisationSum     float64
	utilisationSamples int
}

func newStats(sim *simulation) *stats {
	return &stats{sim: sim, services: make(map[heatherhub.WorkloadID]*serviceStats)}
}

// recordRequest counts a request that ended d after its arrival. An unanswered request
// counts with a latency of at least twice the deadline.
func (st *stats) recordRequest(s *service, d time.Duration, answered bool) {
	l, ok := st.services[s.traffic.Service]
	if !ok {
		l = &serviceStats{latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
		st.services[s.traffic.Service] = l
	}
	l.total++
	if !answered {
		d = max(d, 2*s.deadline)
	}
	if answered && d <= s.deadline {
		l.onTime++
	}
	_ = l.latency.RecordValue(min(d, maxLatency).Microseconds())
}

// recordStart counts the start of a batch task that was queued at the given time.
func (st *stats) recordStart(task heatherhub.Task, queuedAt time.Time) {
	st.starts++
	waited := st.sim.now.Sub(queuedAt)
	st.maxWait = max(st.maxWait, waited)
	if task.Priority >= heatherhub.PriorityUrgent {
		st.urgentStarts++
		if waited > heatherhub.UrgentStartTarget {
			st.urgentLateStarts++
		}
	}
}

// recordFinish counts a finished batch task.
func (st *stats) recordFinish(task heatherhub.Task) {
	st.finished++
	st.finishedCPU += cpuTime(task, task.RunTime)
	st.slowdownSum += st.sim.now.Sub(task.Queued).Seconds() / task.RunTime.Seconds()
	if !task.Due.IsZero() && st.sim.now.After(task.Due) {
		st.missedWindows++
	}
}

// recordWaits includes the tasks that are still queued in the longest wait.
func (st *stats) recordWaits() {
	for _, o := range st.sim.owners {
		for _, since := range o.queuedSince {
			st.maxWait = max(st.maxWait, st.sim.now.Sub(since))
		}
	}
}

// recordUsage samples the share of a worker's processors that tasks use.
func (st *stats) recordUsage(w *simWorker, u worker.Usage) {
	var cpu heatherhub.MilliCPU
	for _, x := range u.Tasks {
		cpu += x.Used.CPU
	}
	st.utilisationSum += min(float64(cpu)/float64(w.Host().Capacity.CPU), 1)
	st.utilisationSamples++
}

func (st *stats) result() Result {
	r := Result{
		Finished: st.finished, Starts: st.starts, Evictions: st.evictions, Throttles: st.throttles, LostCPU: st.lostCPU,
		MaxWait: st.maxWait, MissedWindows: st.missedWindows, Failures: st.failures, Parked: st.parked,
	}
	r.Throughput = min(st.finishedCPU.Seconds()/max(st.sim.offeredCPU.Seconds(), 1), 1)
	r.Slowdown = st.slowdownSum / float64(max(st.finished, 1))
	r.UrgentLateShare = float64(st.urgentLateStarts) / float64(max(st.urgentStarts, 1))
	r.Utilisation = st.utilisationSum / float64(max(st.utilisationSamples, 1))
	st.addServices(&r)
	for _, w := range st.sim.workers {
		r.Overcommits += len(w.History().Overcommits)
	}
	r.Score = st.sim.site.score(&r)
	return r
}

// addServices sets the measurements of the services in r.
func (st *stats) addServices(r *Result) {
	all, onTime := 0, 0
	for _, s := range st.sim.services {
		l := st.services[s.traffic.Service]
		if l == nil {
			continue
		}
		all += l.total
		onTime += l.onTime
		p99 := time.Duration(l.latency.ValueAtQuantile(99)) * time.Microsecond
		ratio := p99.Seconds() / s.deadline.Seconds()
		r.TailLatencyScore += min(1, 1/ratio) / float64(len(st.sim.services))
		r.WorstP99 = max(r.WorstP99, ratio)
	}
	r.OnTime = float64(onTime) / float64(max(all, 1))
}

// maxEvictionRate is the number of evictions per start of a batch task at which the
// eviction component of the score reaches 0.
const maxEvictionRate = 0.1

// score returns the weighted score of a result at the site, from 0 to 100.
func (s *Site) score(r *Result) float64 {
	evictionPenalty := min(1, float64(r.Evictions)/(maxEvictionRate*float64(max(r.Starts, 1))))
	sum := s.Weights.TailLatency*r.TailLatencyScore + s.Weights.Throughput*r.Throughput + s.Weights.Evictions*(1-evictionPenalty)
	return 100 * sum
}
