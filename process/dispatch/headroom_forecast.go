package dispatch

import (
	"math"
	"time"
)

// The load of a serving task's users rises and falls within seconds, and its tail latency
// with it, in the same way for all tasks of a step. A filler that fits beside a serving task
// on average may make it miss its target at the peak. So the engine keeps the recent course
// of the headroom of each serving step, without the effect of fillers, and expects it to go on
// as it did after the most similar earlier moment, or else to fall to its lowest recent level.

// Parameters of the forecast.
const (
	// forecastBucket is the resolution of the course. Reports arrive about once a second from
	// each worker, and a step has tasks on several workers.
	forecastBucket = 250 * time.Millisecond
	// forecastBuckets is the length of the course: two periods of up to 14 s.
	forecastBuckets = 112
	// levelBuckets is the number of buckets whose samples tell the present level.
	levelBuckets = 3
	// matchBuckets is the length of the recent course that is compared with earlier ones.
	matchBuckets = 14
	// minLag and maxLag bound the periods that are looked for, in buckets.
	minLag = 16
	maxLag = 72
	// minMatches is the number of buckets that must be known in both courses.
	minMatches = 8
	// maxMismatch is the mean squared difference of the logarithms of two similar courses. Samples
	// of one moment differ by about 0.18.
	maxMismatch = 0.02
	// minCourse is the number of buckets of a course from which on its lowest level is used.
	minCourse = 12
)

// headroomCourse is the recent course of the headroom of a serving step, in buckets of
// forecastBucket, each with the weighted sum of its samples.
type headroomCourse struct {
	sums, weights [forecastBuckets]float64
	// newest is the number of the newest bucket, known the number of buckets since the first.
	newest, known int64
	// forecast is the lowest level that was expected in bucket forecastAt for forecastFor
	// buckets, if hasForecast is set.
	forecast                float64
	forecastAt, forecastFor int64
	hasForecast             bool
}

func bucketOf(at time.Duration) int64 {
	return int64(at / forecastBucket)
}

// add adds a sample of the headroom without the effect of fillers.
func (c *headroomCourse) add(now time.Duration, value, weight float64) {
	b := bucketOf(now)
	for c.newest < b {
		c.newest = max(c.newest+1, b-forecastBuckets+1)
		c.sums[c.newest%forecastBuckets], c.weights[c.newest%forecastBuckets] = 0, 0
		c.known++
	}
	c.sums[b%forecastBuckets] += weight * value
	c.weights[b%forecastBuckets] += weight
}

// value returns the mean of a bucket. It reports false if the bucket has no samples.
func (c *headroomCourse) value(bucket int64) (float64, bool) {
	i := bucket % forecastBuckets
	if bucket > c.newest || bucket <= c.newest-forecastBuckets || bucket <= c.newest-c.known || c.weights[i] == 0 {
		return 0, false
	}
	return c.sums[i] / c.weights[i], true
}

// level returns the present level. It reports false without recent samples.
func (c *headroomCourse) level(now time.Duration) (float64, bool) {
	b := bucketOf(now)
	sum, weight := 0.0, 0.0
	for k := b - levelBuckets + 1; k <= b; k++ {
		if _, ok := c.value(k); ok {
			sum += c.sums[k%forecastBuckets]
			weight += c.weights[k%forecastBuckets]
		}
	}
	if weight == 0 {
		return 0, false
	}
	return sum / weight, true
}

// lowest returns the lowest level that is expected from now until horizon later. It reports
// false while the course is too short.
func (c *headroomCourse) lowest(now, horizon time.Duration) (float64, bool) {
	if c.known < minCourse {
		return 0, false
	}
	b, ahead := bucketOf(now), bucketOf(horizon)
	if c.hasForecast && c.forecastAt == b && c.forecastFor == ahead {
		return c.forecast, true
	}
	from, until := b-maxLag, b
	if lag, ok := c.period(b); ok {
		from, until = b-lag, b-lag+ahead+1
	}
	lowest := math.Inf(1)
	for k := from; k <= until; k++ {
		if v, ok := c.value(k); ok {
			lowest = min(lowest, v)
		}
	}
	if level, ok := c.level(now); ok {
		lowest = min(lowest, level)
	}
	if math.IsInf(lowest, 1) {
		return 0, false
	}
	c.forecast, c.forecastAt, c.forecastFor, c.hasForecast = lowest, b, ahead, true
	return lowest, true
}

// period returns the lag, in buckets, at which the course was most similar to the recent one.
func (c *headroomCourse) period(b int64) (int64, bool) {
	best, bestLag := maxMismatch, int64(0)
	for lag := int64(minLag); lag <= maxLag; lag++ {
		sum, n := 0.0, 0
		for k := b - matchBuckets; k < b; k++ {
			v, ok := c.value(k)
			w, okEarlier := c.value(k - lag)
			if ok && okEarlier && v > 0 && w > 0 {
				d := math.Log(v / w)
				sum += d * d
				n++
			}
		}
		if n >= minMatches && sum/float64(n) < best {
			best, bestLag = sum/float64(n), lag
		}
	}
	return bestLag, bestLag > 0
}
