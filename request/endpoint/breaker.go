package endpoint

import "time"

// Breaker decides from the outcomes of one replica when to eject it.
type Breaker interface {
	// Record adds an outcome and reports whether the replica is to be ejected.
	Record(now time.Time, ok bool) bool
	// Reset discards the recorded outcomes.
	Reset()
}

// DefaultConsecutiveFailures is the number of failures in a row that ejects a
// replica.
const DefaultConsecutiveFailures = 5

// ConsecutiveBreaker ejects a replica after a number of failures in a row.
type ConsecutiveBreaker struct {
	// Limit is that number; zero means DefaultConsecutiveFailures.
	Limit    int
	failures int
}

// Record counts the failures since the last success.
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

// Reset sets the count to zero.
func (b *ConsecutiveBreaker) Reset() {
	b.failures = 0
}

const (
	// minRatioSamples is the number of outcomes in the window below which the
	// success ratio is ignored.
	minRatioSamples = 10
	// minSuccessRatio is the success ratio below which a replica is ejected.
	minSuccessRatio = 0.5
)

// RatioBreaker ejects a replica after DefaultConsecutiveFailures failures in a
// row, or when its success ratio over the last successBuckets is low.
type RatioBreaker struct {
	consecutive ConsecutiveBreaker
	window      successWindow
}

// Record adds the outcome to both the consecutive failures and the window.
func (b *RatioBreaker) Record(now time.Time, ok bool) bool {
	tripped := b.consecutive.Record(now, ok)
	b.window.record(now, ok)
	succeeded, failed := b.window.counts(now)
	low := succeeded+failed >= minRatioSamples && float64(succeeded) < minSuccessRatio*float64(succeeded+failed)
	return tripped || low
}

// Reset clears the consecutive failures and the window.
func (b *RatioBreaker) Reset() {
	*b = RatioBreaker{}
}

// NoBreaker never ejects a replica.
type NoBreaker struct{}

// Record returns false.
func (NoBreaker) Record(time.Time, bool) bool { return false }

// Reset does nothing.
func (NoBreaker) Reset() {}
