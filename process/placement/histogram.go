package placement

import "math"

const (
	histogramBuckets = 200
	// bucketsPerOctave sets the resolution: a bucket is about 9% wide.
	bucketsPerOctave = 8
	// weightGrowth makes a sample weigh half as much after 140 later ones.
	weightGrowth = 1.005
	weightLimit  = 1e9
)

// histogram is a histogram of positive amounts on a log scale that forgets old
// samples.
type histogram struct {
	counts  [histogramBuckets]float64
	total   float64
	weight  float64
	samples int
}

func (h *histogram) add(v float64) {
	if h.weight == 0 {
		h.weight = 1
	}
	h.counts[histogramBucket(v)] += h.weight
	h.total += h.weight
	h.samples++
	h.weight *= weightGrowth
	if h.weight > weightLimit {
		h.rescale()
	}
}

func (h *histogram) rescale() {
	for i := range h.counts {
		h.counts[i] /= h.weight
	}
	h.total /= h.weight
	h.weight = 1
}

// quantile returns the upper edge of the bucket that holds the quantile q.
func (h *histogram) quantile(q float64) float64 {
	left := q * h.total
	for i, n := range h.counts {
		left -= n
		if n > 0 && left <= 0 {
			return math.Exp2(float64(i+1) / bucketsPerOctave)
		}
	}
	return 0
}

func histogramBucket(v float64) int {
	if v <= 1 {
		return 0
	}
	return min(int(math.Log2(v)*bucketsPerOctave), histogramBuckets-1)
}
