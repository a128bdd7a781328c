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
	// TailShare is the mean over the services of deadline by p99, at most 1.
	TailShare float64 `json:"tailShare"`
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
	// Lost is processor time that was done and has to be done again.
	Lost time.Duration `json:"lost"`
	// Starvation is the longest wait of a batch task without running.
	Starvation time.Duration `json:"starvation"`
	// UrgentLate is the share of urgent tasks that started later than the target.
	UrgentLate float64 `json:"urgentLate"`
	// Windows counts the filing windows that closed before the task was done.
	Windows     int     `json:"windowsMissed"`
	Utilisation float64 `json:"utilisation"`
	Failures    int     `json:"failures"`
	Parked      int     `json:"parked"`
	// Overcommits counts moments with more reserved than a worker holds.
	Overcommits int     `json:"overcommits"`
	Score       float64 `json:"score"`
}

type latencies struct {
	all, onTime int
	histogram   *hdrhistogram.Histogram
}

// tally counts what happens in one run.
type tally struct {
	r           *run
	services    map[heatherhub.WorkloadID]*latencies
	done        int
	starts      int
	doneWork    time.Duration
	slowdown    float64
	evictions   int
	throttles   int
	failures    int
	parked      int
	lost        time.Duration
	starvation  time.Duration
	urgent      int
	urgentLate  int
	windows     int
	used        float64
	usedSamples int
}

func newTally(r *run) *tally {
	return &tally{r: r, services: make(map[heatherhub.WorkloadID]*latencies)}
}

func (t *tally) answered(s *service, d time.Duration, whole bool) {
	l, ok := t.services[s.traffic.Service]
	if !ok {
		l = &latencies{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
		t.services[s.traffic.Service] = l
	}
	l.all++
	if !whole {
		d = max(d, 2*s.deadline)
	}
	if whole && d <= s.deadline {
		l.onTime++
	}
	_ = l.histogram.RecordValue(min(d, maxLatency).Microseconds())
}

func (t *tally) started(task heatherhub.Task, since time.Time) {
	t.starts++
	waited := t.r.now.Sub(since)
	t.starvation = max(t.starvation, waited)
	if task.Priority >= heatherhub.PriorityUrgent {
		t.urgent++
		if waited > heatherhub.UrgentStartTarget {
			t.urgentLate++
		}
	}
}

func (t *tally) finished(task heatherhub.Task) {
	t.done++
	t.doneWork += cpuTime(task, task.RunTime)
	t.slowdown += t.r.now.Sub(task.Queued).Seconds() / task.RunTime.Seconds()
	if !task.Due.IsZero() && t.r.now.After(task.Due) {
		t.windows++
	}
}

// sample notes the age of the tasks that still wait.
func (t *tally) sample() {
	for _, o := range t.r.owners {
		for _, since := range o.waiting {
			t.starvation = max(t.starvation, t.r.now.Sub(since))
		}
	}
}

func (t *tally) observe(m *machine, u worker.Usage) {
	var cpu heatherhub.MilliCPU
	for _, x := range u.Tasks {
		cpu += x.Used.CPU
	}
	t.used += min(float64(cpu)/float64(m.Host().Capacity.CPU), 1)
	t.usedSamples++
}

func (t *tally) result() Result {
	r := Result{
		Finished: t.done, Starts: t.starts, Evictions: t.evictions, Throttles: t.throttles, Lost: t.lost,
		Starvation: t.starvation, Windows: t.windows, Failures: t.failures, Parked: t.parked,
	}
	r.Throughput = min(t.doneWork.Seconds()/max(t.r.offered.Seconds(), 1), 1)
	r.Slowdown = t.slowdown / float64(max(t.done, 1))
	r.UrgentLate = float64(t.urgentLate) / float64(max(t.urgent, 1))
	r.Utilisation = t.used / float64(max(t.usedSamples, 1))
	t.addServices(&r)
	for _, m := range t.r.workers {
		r.Overcommits += len(m.History().Overcommits)
	}
	r.Score = t.r.site.score(&r)
	return r
}

func (t *tally) addServices(r *Result) {
	all, onTime := 0, 0
	for _, s := range t.r.services {
		l := t.services[s.traffic.Service]
		if l == nil {
			continue
		}
		all += l.all
		onTime += l.onTime
		p99 := time.Duration(l.histogram.ValueAtQuantile(99)) * time.Microsecond
		ratio := p99.Seconds() / s.deadline.Seconds()
		r.TailShare += min(1, 1/ratio) / float64(len(t.r.services))
		r.WorstP99 = max(r.WorstP99, ratio)
	}
	r.OnTime = float64(onTime) / float64(max(all, 1))
}

// evictionScale is the number of evictions for each start of a batch task that
// takes the whole score for evictions.
const evictionScale = 0.1

// score weighs a result for the site, 0 to 100.
func (s *Site) score(r *Result) float64 {
	evicted := min(1, float64(r.Evictions)/(evictionScale*float64(max(r.Starts, 1))))
	sum := s.Weights.TailLatency*r.TailShare + s.Weights.Throughput*r.Throughput + s.Weights.Evictions*(1-evicted)
	return 100 * sum
}
