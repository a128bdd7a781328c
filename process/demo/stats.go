package demo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/request/caller"
)

// Range of the latency histograms, in nanoseconds, and their precision in
// significant digits.
const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(time.Minute)
	latencyDigits  = 3
)

// callerStats collects the outcomes of the callers' requests.
type callerStats struct {
	mu       sync.Mutex
	services map[heatherhub.WorkloadID]*serviceStats
	// keys holds the outcome of each non-idempotent request.
	keys map[heatherhub.IdempotencyKey]caller.Outcome
}

// serviceStats counts the requests of one service.
type serviceStats struct {
	sent, answered, onTime, notRun, unknown, wrongAnswers int
	latency                                               *hdrhistogram.Histogram
}

func newCallerStats() *callerStats {
	return &callerStats{
		services: make(map[heatherhub.WorkloadID]*serviceStats),
		keys:     make(map[heatherhub.IdempotencyKey]caller.Outcome),
	}
}

// record adds the outcome of a request.
func (c *callerStats) record(w *heatherhub.Workload, key heatherhub.IdempotencyKey, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[w.ID]
	if !ok {
		s = &serviceStats{latency: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
		c.services[w.ID] = s
	}
	if !w.Idempotent {
		c.keys[key] = o.kind
	}
	s.sent++
	switch o.kind {
	case caller.OutcomeAnswered:
		s.recordAnswer(w, o)
	case caller.OutcomeNotRun:
		s.notRun++
	default:
		s.unknown++
	}
}

// recordAnswer adds an answered request. The latency is capped at the range of the
// histogram.
func (s *serviceStats) recordAnswer(w *heatherhub.Workload, o outcome) {
	s.answered++
	_ = s.latency.RecordValue(min(int64(o.elapsed), highestLatency))
	if o.elapsed <= w.Deadline {
		s.onTime++
	}
	if !o.isOwnAnswer {
		s.wrongAnswers++
	}
}
