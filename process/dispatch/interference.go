package dispatch

import (
	"math"
	"time"
)

// The interference model estimates how much filler tasks slow down the
// latency-sensitive serving tasks on the same worker, which depends on the pair of
// images. From delayed and noisy samples it learns how much the logarithm of a serving
// image's tail latency rises per fraction of the worker's processors that a filler
// image uses. Most pairs have little effect; only the few that interfere are kept
// apart.

// Parameters of the model.
const (
	// baselineGain is the smallest weight of a new sample in the baseline of a serving
	// image.
	baselineGain = 0.02
	// pairGain is the smallest weight of a new sample in the coefficient of a pair. The
	// first samples weigh one over their number.
	pairGain = 0.02
	// minFillerShare is the fraction of the processors below which the effect of a
	// filler cannot be told from measurement noise.
	minFillerShare = 0.02
	// maxCoefficient bounds the effect of one pair.
	maxCoefficient = 40
	// priorCoefficient is the effect assumed for a filler image without enough samples.
	priorCoefficient = 2
	// minSamples is the number of samples after which a learned value is used: a pair's
	// own coefficient instead of the filler's mean, and that mean instead of the prior.
	minSamples = 20
)

// pairKey identifies a serving image and a filler image.
type pairKey struct {
	serving, filler string
}

// coefficient is a learned value and the number of samples behind it.
type coefficient struct {
	value   float64
	samples float64
}

// interference is the model of one shard. It is not safe for concurrent use.
type interference struct {
	// baselines has, by serving image, the mean natural logarithm of the tail latency
	// in milliseconds on a worker without fillers.
	baselines   map[string]*coefficient
	pairs       map[pairKey]*coefficient
	fillerMeans map[string]*coefficient
}

func newInterference() *interference {
	return &interference{
		baselines: make(map[string]*coefficient), pairs: make(map[pairKey]*coefficient), fillerMeans: make(map[string]*coefficient),
	}
}

// coefficientOf returns the rise in log tail latency of a serving image per fraction of
// the processors that a filler image uses.
func (m *interference) coefficientOf(serving, filler string) float64 {
	if c := m.pairs[pairKey{serving, filler}]; c != nil && c.samples >= minSamples {
		return c.value
	}
	if c := m.fillerMeans[filler]; c != nil && c.samples >= minSamples {
		return c.value
	}
	return priorCoefficient
}

// baselineOf returns the expected log tail latency of a serving image without fillers.
func (m *interference) baselineOf(serving string, target time.Duration) float64 {
	if c := m.baselines[serving]; c != nil && c.samples >= minSamples {
		return c.value
	}
	return math.Log(float64(target.Milliseconds())) - priorSlack
}

// priorSlack is how far the log tail latency of an image without samples is assumed to
// be below the logarithm of its target.
const priorSlack = 0.9

// update adds one tail latency sample, in milliseconds, of a serving task. shares has
// the fraction of the processors that each filler image used beside it.
func (m *interference) update(serving string, tail float64, shares map[string]float64) {
	if tail <= 0 {
		return
	}
	b := m.baselines[serving]
	if b == nil {
		b = &coefficient{value: math.Log(tail)}
		m.baselines[serving] = b
	}
	predicted, squaredShares := b.value, 0.0
	for filler, x := range shares {
		predicted += m.ensurePairValue(serving, filler) * x
		squaredShares += x * x
	}
	residual := math.Log(tail) - predicted
	if squaredShares < minFillerShare*minFillerShare {
		b.samples++
		b.value += residual * max(baselineGain, 1/b.samples)
		return
	}
	for filler, x := range shares {
		step := residual * x / squaredShares
		m.pairs[pairKey{serving, filler}].adjust(step)
		m.ensureFillerMean(filler).adjust(step)
	}
}

func (m *interference) ensurePairValue(serving, filler string) float64 {
	key := pairKey{serving, filler}
	c := m.pairs[key]
	if c == nil {
		c = &coefficient{value: m.coefficientOf(serving, filler)}
		m.pairs[key] = c
	}
	return c.value
}

func (m *interference) ensureFillerMean(filler string) *coefficient {
	c := m.fillerMeans[filler]
	if c == nil {
		c = &coefficient{value: priorCoefficient}
		m.fillerMeans[filler] = c
	}
	return c
}

func (c *coefficient) adjust(step float64) {
	c.samples++
	c.value = min(max(c.value+step*max(pairGain, 1/(c.samples+1)), 0), maxCoefficient)
}

// updateInterference feeds the model with the last report of a worker that runs serving
// tasks.
func (e *Engine) updateInterference(n *node) {
	if n.servingTasks == 0 {
		return
	}
	shares := n.fillerShares()
	for _, a := range n.attemptsByRun() {
		if s := a.task.step.spec; s.LatencyTarget > 0 && a.hasMeasure && a.state == running {
			e.model.update(s.Image, a.measure, shares)
		}
	}
}

// fillerShares returns the fraction of the worker's processors that each filler image
// used according to the last report.
func (n *node) fillerShares() map[string]float64 {
	shares := make(map[string]float64)
	for _, a := range n.attempts {
		if s := a.task.step.spec; s.Filler && a.hasMeasure {
			shares[s.Image] += a.measure / float64(n.worker.Capacity.CPU)
		}
	}
	return shares
}

// logTailRatio returns the logarithm of the expected tail latency over its target for
// the serving task of a worker that is closest to missing its target. Above zero the
// target is expected to be missed.
func (e *Engine) logTailRatio(n *node) float64 {
	worst := math.Inf(-1)
	for _, v := range n.servingImages {
		ratio := e.model.baselineOf(v.image, v.target) - math.Log(float64(v.target.Milliseconds()))
		for _, a := range n.attempts {
			if s := a.task.step.spec; s.Filler {
				ratio += e.model.coefficientOf(v.image, s.Image) * a.cpuShare()
			}
		}
		worst = max(worst, ratio)
	}
	return worst
}

// logTailRise returns the largest rise in log tail latency that a filler using the
// fraction x of the processors causes to any serving task of a worker.
func (e *Engine) logTailRise(n *node, filler string, x float64) float64 {
	largest := 0.0
	for _, v := range n.servingImages {
		largest = max(largest, e.model.coefficientOf(v.image, filler)*x)
	}
	return largest
}

// sensitiveCoefficient is the coefficient from which on a filler image is considered to
// interfere with a serving image.
const sensitiveCoefficient = 4

// dissimilarity returns three times the fraction of fillers that interfere with exactly
// one of two serving images, at most 1. It returns 1 if too few fillers are known for
// both.
func (m *interference) dissimilarity(a, b string) float64 {
	compared, different := 0, 0
	for filler := range m.fillerMeans {
		coefficientA, coefficientB := m.pairs[pairKey{a, filler}], m.pairs[pairKey{b, filler}]
		if coefficientA == nil || coefficientB == nil || coefficientA.samples < minSamples || coefficientB.samples < minSamples {
			continue
		}
		compared++
		if (coefficientA.value >= sensitiveCoefficient) != (coefficientB.value >= sensitiveCoefficient) {
			different++
		}
	}
	if compared < minComparedFillers {
		return 1
	}
	return min(1, 3*float64(different)/float64(compared))
}

// minComparedFillers is the number of fillers that must have been sampled with both
// images to compare them.
const minComparedFillers = 3
