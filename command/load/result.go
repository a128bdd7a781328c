package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/request/caller"
)

// Range and precision of the latency histograms. Latencies outside of the range are
// recorded at its bounds.
const (
	minLatency        = 10 * time.Microsecond
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// WorkloadStats holds the statistics of one workload's requests.
type WorkloadStats struct {
	Workload heatherhub.WorkloadID
	Sent     int
	// Answered counts valid answers, OnTime those within the deadline.
	Answered int
	OnTime   int
	NotRun   int
	Unknown  int
	// Retried counts all attempts after a request's first.
	Retried int
	// Foreign, Truncated and Doubled count invalid answers by kind; see Fault.
	Foreign   int
	Truncated int
	Doubled   int
	// Refusals counts the requests without an answer by the reason of the last
	// attempt: an HTTP status, notSent, noAnswer, unreachable or noOutcome.
	Refusals map[string]int
	// Latency holds the latencies of valid answers from the intended send time, in
	// microseconds.
	Latency *hdrhistogram.Histogram
}

// InvalidAnswers returns the number of foreign, truncated and doubled answers.
func (t *WorkloadStats) InvalidAnswers() int {
	return t.Foreign + t.Truncated + t.Doubled
}

// Percentile returns the latency at percentile q, 0 to 100.
func (t *WorkloadStats) Percentile(q float64) time.Duration {
	return time.Duration(t.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Result holds the statistics of a run, per workload in the order of the mix.
type Result struct {
	Elapsed   time.Duration
	Workloads []*WorkloadStats
}

func newResult(mix []MixEntry) *Result {
	r := &Result{}
	for _, s := range mix {
		r.Workloads = append(r.Workloads, &WorkloadStats{
			Workload: s.Workload,
			Refusals: make(map[string]int),
			Latency:  hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits),
		})
	}
	return r
}

// InvalidAnswers returns the number of invalid answers of all workloads.
func (r *Result) InvalidAnswers() int {
	n := 0
	for _, t := range r.Workloads {
		n += t.InvalidAnswers()
	}
	return n
}

func (r *Result) add(w heatherhub.WorkloadID, e exchange, latency, deadline time.Duration) {
	for _, t := range r.Workloads {
		if t.Workload == w {
			t.add(e, latency, deadline)
			return
		}
	}
}

func (t *WorkloadStats) add(e exchange, latency, deadline time.Duration) {
	t.Sent++
	t.Retried += max(0, e.attempts-1)
	switch e.outcome {
	case caller.OutcomeAnswered:
		t.addAnswer(e.fault, latency, deadline)
	case caller.OutcomeNotRun:
		t.NotRun++
		t.Refusals[e.refusal]++
	default:
		t.Unknown++
		t.Refusals[e.refusal]++
	}
}

func (t *WorkloadStats) addAnswer(f Fault, latency, deadline time.Duration) {
	switch f {
	case FaultForeign:
		t.Foreign++
	case FaultTruncated:
		t.Truncated++
	case FaultDoubled:
		t.Doubled++
	default:
		t.Answered++
		if latency <= deadline {
			t.OnTime++
		}
		us := min(max(latency, minLatency), maxLatency).Microseconds()
		// RecordValue fails only for values outside of the range.
		_ = t.Latency.RecordValue(us)
	}
}
