package colocation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

// maxLatency bounds the histogram; anything longer counts as this.
const maxLatency = time.Minute

// Result is what one run measured.
type Result struct {
	// TailLatencyScore is the mean over the services of deadline by p99, at most 1.
	TailLatencyScore float64 `json:"tailShare"`
	// WorstP99 is the largest p99 relative to its service's deadline.
	WorstP99 float64 `json:"worstP99"`
	// OnTime is the share of requests that were answered within the deadline.
	OnTime float64 `json:"onTime"`
	// Finished counts batch tasks; Throughput is their declared processor time
	// relative to the offered one.
	Finished   int     `json:"finished"`
	Throughput float64 `json:"throughput"`
	// Slowdown is the mean time from queue to end relative to the declared run
	// time.
	Slowdown float64 `json:"slowdown"`
	// Starts counts the starts of batch tasks.
	Starts    int `json:"starts"`
	Evictions int `json:"evictions"`
	Throttles int `json:"throttles"`
	// LostCPU is processor time that was done and has to be done again.
	LostCPU time.Duration `json:"lost"`
	// MaxWait is the longest wait of a batch task without running.
	MaxWait time.Duration `json:"starvation"`
	// UrgentLateShare is the share of urgent tasks that started later than the target.
	UrgentLateShare float64 `json:"urgentLate"`
	// MissedWindows counts the filing windows that closed before the task was done.
	MissedWindows int     `json:"windowsMissed"`
	Utilisation   float64 `json:"utilisation"`
	Failures      int     `json:"failures"`
	Parked        int     `json:"parked"`
	// Overcommits counts moments with more reserved than a worker holds.
	Overcommits int     `json:"overcommits"`
	Score       float64 `json:"score"`
}

type serviceStats struct {
	total, onTime int
	latency       *hdrhistogram.Histogram
}

// stats counts what happens in one run.
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

func (t *stats) recordRequest(s *service, d time.Duration, whole bool) {
	l, ok := t.services[s.traffic.Service]
	if !ok {
		l = &serviceStats{latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
		t.services[s.traffic.Service] = l
	}
	l.total++
	if !whole {
		d = max(d, 2*s.deadline)
	}
	if whole && d <= s.deadline {
		l.onTime++
	}
	_ = l.latency.RecordValue(min(d, maxLatency).Microseconds())
}

func (t *stats) recordStart(task heatherhub.Task, since time.Time) {
	t.starts++
	waited := t.sim.now.Sub(since)
	t.maxWait = max(t.maxWait, waited)
	if task.Priority >= heatherhub.PriorityUrgent {
		t.urgentStarts++
		if waited > heatherhub.UrgentStartTarget {
			t.urgentLateStarts++
		}
	}
}

func (t *stats) recordFinish(task heatherhub.Task) {
	t.finished++
	t.finishedCPU += cpuTime(task, task.RunTime)
	t.slowdownSum += t.sim.now.Sub(task.Queued).Seconds() / task.RunTime.Seconds()
	if !task.Due.IsZero() && t.sim.now.After(task.Due) {
		t.missedWindows++
	}
}

// recordWaits notes the age of the tasks that still wait.
func (t *stats) recordWaits() {
	for _, o := range t.sim.owners {
		for _, since := range o.queuedSince {
			t.maxWait = max(t.maxWait, t.sim.now.Sub(since))
		}
	}
}

func (t *stats) recordUsage(m *simWorker, u worker.Usage) {
	var cpu heatherhub.MilliCPU
	for _, x := range u.Tasks {
		cpu += x.Used.CPU
	}
	t.utilisationSum += min(float64(cpu)/float64(m.Host().Capacity.CPU), 1)
	t.utilisationSamples++
}

func (t *stats) result() Result {
	r := Result{
		Finished: t.finished, Starts: t.starts, Evictions: t.evictions, Throttles: t.throttles, LostCPU: t.lostCPU,
		MaxWait: t.maxWait, MissedWindows: t.missedWindows, Failures: t.failures, Parked: t.parked,
	}
	r.Throughput = min(t.finishedCPU.Seconds()/max(t.sim.offeredCPU.Seconds(), 1), 1)
	r.Slowdown = t.slowdownSum / float64(max(t.finished, 1))
	r.UrgentLateShare = float64(t.urgentLateStarts) / float64(max(t.urgentStarts, 1))
	r.Utilisation = t.utilisationSum / float64(max(t.utilisationSamples, 1))
	t.addServices(&r)
	for _, m := range t.sim.workers {
		r.Overcommits += len(m.Ledger().Overcommits)
	}
	r.Score = t.sim.site.score(&r)
	return r
}

func (t *stats) addServices(r *Result) {
	all, onTime := 0, 0
	for _, s := range t.sim.services {
		l := t.services[s.traffic.Service]
		if l == nil {
			continue
		}
		all += l.total
		onTime += l.onTime
		p99 := time.Duration(l.latency.ValueAtQuantile(99)) * time.Microsecond
		ratio := p99.Seconds() / s.deadline.Seconds()
		r.TailLatencyScore += min(1, 1/ratio) / float64(len(t.sim.services))
		r.WorstP99 = max(r.WorstP99, ratio)
	}
	r.OnTime = float64(onTime) / float64(max(all, 1))
}

// maxEvictionRate is the number of evictions for each start of a batch task that
// takes the whole score for evictions.
const maxEvictionRate = 0.1

// score weighs a result for the site, 0 to 100.
func (s *Site) score(r *Result) float64 {
	evicted := min(1, float64(r.Evictions)/(maxEvictionRate*float64(max(r.Starts, 1))))
	sum := s.Weights.TailLatency*r.TailLatencyScore + s.Weights.Throughput*r.Throughput + s.Weights.Evictions*(1-evicted)
	return 100 * sum
}
