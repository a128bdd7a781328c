package demo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/request/caller"
)

// Range of the latency histograms.
const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(time.Minute)
	latencyDigits  = 3
)

// callerStats is what the callers saw.
type callerStats struct {
	mu       sync.Mutex
	services map[heatherhub.WorkloadID]*serviceStats
	keys     map[heatherhub.IdempotencyKey]caller.Outcome
}

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

// record counts the end of one request.
func (t *callerStats) record(w *heatherhub.Workload, key heatherhub.IdempotencyKey, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[w.ID]
	if !ok {
		s = &serviceStats{latency: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
		t.services[w.ID] = s
	}
	if !w.Idempotent {
		t.keys[key] = o.kind
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
