package placement

import "math"

const (
	histogramBuckets = 200
	// bucketsPerOctave makes each bucket about 9% wide.
	bucketsPerOctave = 8
	// weightGrowth halves the relative weight of a sample after 140 later ones.
	weightGrowth = 1.005
	// weightLimit is the weight above which counts are rescaled.
	weightLimit = 1e9
)

// histogram is an exponentially decaying histogram of positive values with logarithmic
// buckets.
type histogram struct {
	counts [histogramBuckets]float64
	total  float64
	// weight is the weight of the next sample. It grows with each sample, which has
	// the same effect as decaying all counts.
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

// rescale divides all counts by the current weight, so that they stay finite.
func (h *histogram) rescale() {
	for i := range h.counts {
		h.counts[i] /= h.weight
	}
	h.total /= h.weight
	h.weight = 1
}

// quantile returns the upper bound of the bucket with the quantile q, between 0 and 1,
// or 0 without samples.
func (h *histogram) quantile(q float64) float64 {
	remaining := q * h.total
	for i, n := range h.counts {
		remaining -= n
		if n > 0 && remaining <= 0 {
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
