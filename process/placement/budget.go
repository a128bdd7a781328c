package placement

import "time"

const (
	evictionWindow = time.Minute
	// burstWindow and burstDivisor spread ordinary evictions over the minute: any
	// ten seconds get at most a sixth of the limit.
	burstWindow  = 10 * time.Second
	burstDivisor = 6
	// defaultMaxEvictions is the limit per minute without a preset.
	defaultMaxEvictions = 30
	// reserveDivisor sets a quarter of the limit aside for preemption by urgent
	// tasks and services.
	reserveDivisor = 4
)

// evictionBudget limits the evictions in any minute.
type evictionBudget struct {
	// times holds the times of the evictions in the last minute, oldest first.
	times []time.Time
}

func (b *evictionBudget) expire(now time.Time) {
	n := 0
	for n < len(b.times) && now.Sub(b.times[n]) >= evictionWindow {
		n++
	}
	b.times = b.times[n:]
}

// remaining returns how many evictions are allowed now; it can be negative.
// Preemption may use the reserve and ignores the burst limit.
func (b *evictionBudget) remaining(now time.Time, limit int, isPreemption bool) int {
	b.expire(now)
	if isPreemption {
		return limit - len(b.times)
	}
	recent := 0
	for i := len(b.times) - 1; i >= 0 && now.Sub(b.times[i]) < burstWindow; i-- {
		recent++
	}
	burst := (limit + burstDivisor - 1) / burstDivisor
	return min(limit-limit/reserveDivisor-len(b.times), burst-recent)
}

func (b *evictionBudget) record(now time.Time) {
	b.times = append(b.times, now)
}

// evictionLimit returns the number of evictions allowed per minute.
func (c *Colocator) evictionLimit() int {
	if c.preset == nil {
		return defaultMaxEvictions
	}
	return c.preset.MaxEvictions
}
