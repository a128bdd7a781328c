package endpoint

import "time"

// Breaker watches the outcomes of one replica.
type Breaker interface {
	// Record takes an outcome and reports whether the replica is to be ejected.
	Record(now time.Time, ok bool) bool
	// Reset forgets what was recorded.
	Reset()
}

// DefaultConsecutiveFailures is the run of failures that ejects a replica.
const DefaultConsecutiveFailures = 5

// ConsecutiveBreaker ejects after a run of failures.
type ConsecutiveBreaker struct {
	// Limit is the length of the run; zero means DefaultConsecutiveFailures.
	Limit    int
	failures int
}

// Record counts the run of failures.
func (b *ConsecutiveBreaker) Record(_ time.Time, ok bool) bool {
	if ok {
		b.failures = 0
		return false
	}
	b.failures++
	limit := b.Limit
	if limit == 0 {
		limit = DefaultConsecutiveFailures
	}
	return b.failures >= limit
}

// Reset forgets the run.
func (b *ConsecutiveBreaker) Reset() {
	b.failures = 0
}

const (
	// minRatioSamples is the least number of outcomes by which a ratio is judged.
	minRatioSamples = 10
	// minSuccessRatio is the success ratio below which a replica is ejected.
	minSuccessRatio = 0.5
)

// RatioBreaker ejects after a run of failures, or when the success ratio over a
// window of ring buckets is low.
type RatioBreaker struct {
	consecutive ConsecutiveBreaker
	window      successWindow
}

// Record counts the outcome in both ways.
func (b *RatioBreaker) Record(now time.Time, ok bool) bool {
	tripped := b.consecutive.Record(now, ok)
	b.window.record(now, ok)
	good, bad := b.window.counts(now)
	low := good+bad >= minRatioSamples && float64(good) < minSuccessRatio*float64(good+bad)
	return tripped || low
}

// Reset forgets the run and the window.
func (b *RatioBreaker) Reset() {
	*b = RatioBreaker{}
}

// NoBreaker never ejects.
type NoBreaker struct{}

// Record reports false.
func (NoBreaker) Record(time.Time, bool) bool { return false }

// Reset does nothing.
func (NoBreaker) Reset() {}
