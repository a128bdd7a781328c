package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a request ended for its caller.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
)

// recoveryBucket is the width of the buckets by which a recovery is judged, and
// recoveredShare the on-time share of a recovered one.
const (
	recoveryBucket = 500 * time.Millisecond
	recoveredShare = 0.99
)

// bucket counts the requests that arrived in one part of a run.
type bucket struct {
	total, onTime int
}

// stats counts the ends of one run.
type stats struct {
	start                                time.Time
	total, onTime, late, refused, failed int
	others, othersOnTime                 int
	useful, wasted                       time.Duration
	buckets                              []bucket
	latency                              *hdrhistogram.Histogram
	violations                           int
}

func newStats(start time.Time) *stats {
	return &stats{start: start, latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (t *stats) isCounted(r *request) bool {
	return r.arrived.Sub(t.start) >= warmUp
}

func (t *stats) bucketOf(r *request) *bucket {
	i := int(r.arrived.Sub(t.start) / recoveryBucket)
	for len(t.buckets) <= i {
		t.buckets = append(t.buckets, bucket{})
	}
	return &t.buckets[i]
}

func (t *stats) record(now time.Time, r *request, result outcome) {
	if !t.isCounted(r) {
		return
	}
	b := t.bucketOf(r)
	b.total++
	t.total++
	if !r.greedy {
		t.others++
	}
	switch result {
	case outcomeAnswered:
		t.recordAnswer(now, r, b)
	case outcomeLate:
		t.late++
		t.wasted += now.Sub(r.started)
	case outcomeRefused:
		t.refused++
	case outcomeFailed:
		t.failed++
		t.wasted += now.Sub(r.started)
	}
}

// recordLateWork counts the work of a late request after its deadline.
func (t *stats) recordLateWork(now time.Time, r *request) {
	if t.isCounted(r) {
		t.wasted += now.Sub(r.arrived.Add(r.service.deadline))
	}
}

func (t *stats) recordAnswer(now time.Time, r *request, b *bucket) {
	t.onTime++
	b.onTime++
	if !r.greedy {
		t.othersOnTime++
	}
	t.useful += now.Sub(r.started)
	_ = t.latency.RecordValue(now.Sub(r.arrived).Microseconds())
}

func (t *stats) share(n int) float64 {
	return float64(n) / float64(max(t.total, 1))
}

func (t *stats) othersShare() float64 {
	return float64(t.othersOnTime) / float64(max(t.others, 1))
}

func (t *stats) wastedShare() float64 {
	return t.wasted.Seconds() / max((t.useful+t.wasted).Seconds(), 1e-9)
}

// quantile is in milliseconds.
func (t *stats) quantile(q float64) float64 {
	return float64(t.latency.ValueAtQuantile(q)) / 1000
}

// recovery is the time from the end of a fault until the first recovered bucket.
func (t *stats) recovery(over time.Duration) time.Duration {
	if over == 0 {
		return 0
	}
	first := int(over / recoveryBucket)
	for i := first; i < len(t.buckets); i++ {
		b := t.buckets[i]
		if b.total > 0 && float64(b.onTime) >= recoveredShare*float64(b.total) {
			return time.Duration(i-first) * recoveryBucket
		}
	}
	return time.Duration(len(t.buckets)-first) * recoveryBucket
}
