package endpoint

import (
	"math"
	"time"
)

const (
	// averageTimeConstant is the time constant of latency averages.
	averageTimeConstant = time.Second
	// peakTimeConstant is the time constant by which a latency peak is forgotten.
	peakTimeConstant = 10 * time.Second
	// minSampleWeight is the least weight of a new sample.
	minSampleWeight = 1.0 / 64
	// successBuckets and bucketWidth shape the window of the success ratio.
	successBuckets = 10
	bucketWidth    = time.Second
)

// average is a moving average of seconds with its mean deviation. Its memory is
// bounded both in time and in samples.
type average struct {
	mean, deviation float64
	updatedAt       time.Time
}

func (a *average) add(now time.Time, seconds float64) {
	if a.updatedAt.IsZero() {
		a.mean, a.deviation, a.updatedAt = seconds, seconds/2, now
		return
	}
	share := max(1-math.Exp(-now.Sub(a.updatedAt).Seconds()/averageTimeConstant.Seconds()), minSampleWeight)
	a.deviation += share * (math.Abs(seconds-a.mean) - a.deviation)
	a.mean += share * (seconds - a.mean)
	a.updatedAt = now
}

// peakAverage is an average that jumps up to a higher sample at once.
type peakAverage struct {
	last      float64
	updatedAt time.Time
}

func (p *peakAverage) add(now time.Time, seconds float64) {
	old := p.value(now)
	p.updatedAt = now
	if seconds >= old {
		p.last = seconds
		return
	}
	p.last = old
	share := 1 - math.Exp(-float64(bucketWidth)/float64(peakTimeConstant))
	p.last += share * (seconds - old)
}

// value is the peak, which fades while no sample arrives.
func (p *peakAverage) value(now time.Time) float64 {
	if p.updatedAt.IsZero() {
		return 0
	}
	return p.last * math.Exp(-now.Sub(p.updatedAt).Seconds()/peakTimeConstant.Seconds())
}

// successWindow counts successes and failures over a ring of buckets.
type successWindow struct {
	succeeded, failed [successBuckets]int
	lastBucket        int64
}

func (r *successWindow) advance(now time.Time) int {
	bucket := now.UnixNano() / int64(bucketWidth)
	for steps := min(bucket-r.lastBucket, successBuckets); steps > 0; steps-- {
		i := (bucket - steps + 1) % successBuckets
		r.succeeded[i], r.failed[i] = 0, 0
	}
	r.lastBucket = max(r.lastBucket, bucket)
	return int(r.lastBucket % successBuckets)
}

func (r *successWindow) record(now time.Time, ok bool) {
	i := r.advance(now)
	if ok {
		r.succeeded[i]++
	} else {
		r.failed[i]++
	}
}

func (r *successWindow) counts(now time.Time) (ok, bad int) {
	r.advance(now)
	for i := range successBuckets {
		ok += r.succeeded[i]
		bad += r.failed[i]
	}
	return ok, bad
}
