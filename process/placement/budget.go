package placement

import "time"

const (
	evictionWindow = time.Minute
	// burstWindow and burstDivisor spread ordinary evictions over the minute: at
	// most a sixth of them in any ten seconds.
	burstWindow  = 10 * time.Second
	burstDivisor = 6
	// defaultMaxEvictions is the bound without a preset.
	defaultMaxEvictions = 30
	// reserveDivisor is the part of the budget that is kept for urgent work and
	// services.
	reserveDivisor = 4
)

// evictionBudget bounds evictions in any minute.
type evictionBudget struct {
	// times lists the evictions of the last minute, the oldest first.
	times []time.Time
}

func (b *evictionBudget) expire(now time.Time) {
	n := 0
	for n < len(b.times) && now.Sub(b.times[n]) >= evictionWindow {
		n++
	}
	b.times = b.times[n:]
}

// remaining returns how many evictions a Decide may still order.
func (b *evictionBudget) remaining(now time.Time, limit int, isPressing bool) int {
	b.expire(now)
	if isPressing {
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

func (c *Colocator) evictionLimit() int {
	if c.preset == nil {
		return defaultMaxEvictions
	}
	return c.preset.MaxEvictions
}
