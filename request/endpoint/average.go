package endpoint

import (
	"math"
	"time"
)

const (
	// averageTimeConstant is the time constant of the mean latency.
	averageTimeConstant = time.Second
	// peakTimeConstant is the time constant by which a latency peak decays.
	peakTimeConstant = 10 * time.Second
	// minSampleWeight bounds the memory of the mean latency to about 64 samples.
	minSampleWeight = 1.0 / 64
	// successBuckets of bucketWidth each make up the window of the success ratio.
	successBuckets = 10
	bucketWidth    = time.Second
)

// average is an exponentially weighted moving average of latencies in seconds,
// with their mean absolute deviation. Old samples lose their weight both with time
// and with the number of newer samples.
type average struct {
	mean, deviation float64
	updatedAt       time.Time
}

func (a *average) add(now time.Time, seconds float64) {
	if a.updatedAt.IsZero() {
		a.mean, a.deviation, a.updatedAt = seconds, seconds/2, now
		return
	}
	weight := max(1-math.Exp(-now.Sub(a.updatedAt).Seconds()/averageTimeConstant.Seconds()), minSampleWeight)
	a.deviation += weight * (math.Abs(seconds-a.mean) - a.deviation)
	a.mean += weight * (seconds - a.mean)
	a.updatedAt = now
}

// peakAverage is a peak-sensitive moving average in seconds: it rises to a higher
// sample at once, and decays slowly towards lower ones.
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
	weight := 1 - math.Exp(-float64(bucketWidth)/float64(peakTimeConstant))
	p.last += weight * (seconds - old)
}

// value returns the average at a time. It decays towards zero without samples.
func (p *peakAverage) value(now time.Time) float64 {
	if p.updatedAt.IsZero() {
		return 0
	}
	return p.last * math.Exp(-now.Sub(p.updatedAt).Seconds()/peakTimeConstant.Seconds())
}

// successWindow counts successes and failures over a sliding window, in a ring of
// buckets.
type successWindow struct {
	succeeded, failed [successBuckets]int
	lastBucket        int64
}

// advance clears the buckets that have left the window and returns the index of
// the current one.
func (w *successWindow) advance(now time.Time) int {
	bucket := now.UnixNano() / int64(bucketWidth)
	for steps := min(bucket-w.lastBucket, successBuckets); steps > 0; steps-- {
		i := (bucket - steps + 1) % successBuckets
		w.succeeded[i], w.failed[i] = 0, 0
	}
	w.lastBucket = max(w.lastBucket, bucket)
	return int(w.lastBucket % successBuckets)
}

func (w *successWindow) record(now time.Time, ok bool) {
	i := w.advance(now)
	if ok {
		w.succeeded[i]++
	} else {
		w.failed[i]++
	}
}

func (w *successWindow) counts(now time.Time) (succeeded, failed int) {
	w.advance(now)
	for i := range successBuckets {
		succeeded += w.succeeded[i]
		failed += w.failed[i]
	}
	return succeeded, failed
}
