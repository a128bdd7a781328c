package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is the result of a request as its caller sees it.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
)

const (
	// recoveryBucket is the width of the arrival-time buckets for detecting recovery.
	recoveryBucket = 500 * time.Millisecond
	// recoveredShare is the on-time share at which a bucket counts as recovered.
	recoveredShare = 0.99
)

// bucket counts the requests that arrived in one interval of recoveryBucket.
type bucket struct {
	total, onTime int
}

// stats collects the measurements of one run.
type stats struct {
	start                                time.Time
	total, onTime, late, refused, failed int
	// others and othersOnTime leave out the greedy caller.
	others, othersOnTime int
	// useful and wasted are times at workers, for requests on time and for all others.
	useful, wasted time.Duration
	buckets        []bucket
	// latency is in microseconds, from arrival to answer.
	latency    *hdrhistogram.Histogram
	violations int
}

func newStats(start time.Time) *stats {
	return &stats{start: start, latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// isCounted reports whether a request arrived after the warm-up.
func (s *stats) isCounted(r *request) bool {
	return r.arrived.Sub(s.start) >= warmUp
}

func (s *stats) bucketOf(r *request) *bucket {
	i := int(r.arrived.Sub(s.start) / recoveryBucket)
	for len(s.buckets) <= i {
		s.buckets = append(s.buckets, bucket{})
	}
	return &s.buckets[i]
}

// record counts a completed request.
func (s *stats) record(now time.Time, r *request, result outcome) {
	if !s.isCounted(r) {
		return
	}
	b := s.bucketOf(r)
	b.total++
	s.total++
	if !r.greedy {
		s.others++
	}
	switch result {
	case outcomeAnswered:
		s.recordAnswer(now, r, b)
	case outcomeLate:
		s.late++
		s.wasted += now.Sub(r.started)
	case outcomeRefused:
		s.refused++
	case outcomeFailed:
		s.failed++
		s.wasted += now.Sub(r.started)
	}
}

// recordLateWork adds the time from the deadline of a late request to its answer to the
// wasted time. record has counted the time before the deadline.
func (s *stats) recordLateWork(now time.Time, r *request) {
	if s.isCounted(r) {
		s.wasted += now.Sub(r.arrived.Add(r.service.deadline))
	}
}

// recordAnswer counts an answer that arrived before the deadline.
func (s *stats) recordAnswer(now time.Time, r *request, b *bucket) {
	s.onTime++
	b.onTime++
	if !r.greedy {
		s.othersOnTime++
	}
	s.useful += now.Sub(r.started)
	_ = s.latency.RecordValue(now.Sub(r.arrived).Microseconds())
}

// share returns n as a fraction of the counted requests.
func (s *stats) share(n int) float64 {
	return float64(n) / float64(max(s.total, 1))
}

func (s *stats) othersShare() float64 {
	return float64(s.othersOnTime) / float64(max(s.others, 1))
}

func (s *stats) wastedShare() float64 {
	return s.wasted.Seconds() / max((s.useful+s.wasted).Seconds(), 1e-9)
}

// quantile returns a latency percentile (0 to 100) in milliseconds.
func (s *stats) quantile(q float64) float64 {
	return float64(s.latency.ValueAtQuantile(q)) / 1000
}

// recovery returns the time from the end of a fault, relative to the start of the run, to
// the first recovered bucket, or to the end of the run if there is none.
func (s *stats) recovery(faultEnd time.Duration) time.Duration {
	if faultEnd == 0 {
		return 0
	}
	first := int(faultEnd / recoveryBucket)
	for i := first; i < len(s.buckets); i++ {
		b := s.buckets[i]
		if b.total > 0 && float64(b.onTime) >= recoveredShare*float64(b.total) {
			return time.Duration(i-first) * recoveryBucket
		}
	}
	return time.Duration(len(s.buckets)-first) * recoveryBucket
}
