package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/request/caller"
)

// Range and precision of the latencies.
const (
	minLatency        = 10 * time.Microsecond
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// WorkloadStats counts the requests of one workload.
type WorkloadStats struct {
	Workload heatherhub.WorkloadID
	Sent     int
	// Answered requests were answered whole; OnTime counts those within the
	// deadline.
	Answered int
	OnTime   int
	NotRun   int
	Unknown  int
	// Retried counts attempts after the first.
	Retried int
	// Foreign, Truncated and Doubled are answers that break a promise.
	Foreign   int
	Truncated int
	Doubled   int
	// Refusals counts the last refusal of requests without an answer, by status.
	Refusals map[string]int
	// Latency has the latencies of whole answers, in microseconds from the
	// intended time.
	Latency *hdrhistogram.Histogram
}

// InvalidAnswers returns the number of answers that break a promise.
func (t *WorkloadStats) InvalidAnswers() int {
	return t.Foreign + t.Truncated + t.Doubled
}

// Percentile returns the latency that q percent of the answers are within.
func (t *WorkloadStats) Percentile(q float64) time.Duration {
	return time.Duration(t.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Result is what came of a run, one tally for each workload of the mix.
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

// InvalidAnswers returns the number of answers that break a promise.
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
		// The value is within the histogram's range.
		_ = t.Latency.RecordValue(us)
	}
}
