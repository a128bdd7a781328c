package dispatch

import (
	"math"
	"time"
)

// The interference model answers a load in which filler tasks slow the serving
// tasks beside them down by amounts that depend on the pair of images. It learns,
// from lagged and noisy figures, by how much the logarithm of a serving image's
// tail latency rises for each share of a worker's processors that a filler image
// uses. Most pairs hardly matter; a few do, and only those are kept apart.

// Constants of the model.
const (
	// baselineGain is the weight of a new figure in the mean of a serving image.
	baselineGain = 0.02
	// pairGain is the least step of a pair's coefficient; the first figures move
	// it by one over their number.
	pairGain = 0.02
	// minFillerShare is the share of the processors below which a filler's effect is
	// lost in the noise of the figures.
	minFillerShare = 0.02
	// maxCoefficient bounds the effect of one pair.
	maxCoefficient = 40
	// priorCoefficient is assumed of pairs that were never seen together.
	priorCoefficient = 2
	// minSamples is how many figures of a pair replace the filler's mean over all
	// serving images.
	minSamples = 20
)

// pairKey is a serving image and a filler image.
type pairKey struct {
	serving, filler string
}

// coefficient is what was learnt of a pair.
type coefficient struct {
	value   float64
	samples float64
}

// interference is the model of one shard.
type interference struct {
	// baselines is the mean logarithm of the tail latency, in milliseconds, without
	// fillers.
	baselines   map[string]*coefficient
	pairs       map[pairKey]*coefficient
	fillerMeans map[string]*coefficient
}

func newInterference() *interference {
	return &interference{
		baselines: make(map[string]*coefficient), pairs: make(map[pairKey]*coefficient), fillerMeans: make(map[string]*coefficient),
	}
}

// coefficientOf returns the coefficient coefficientOf a pair.
func (m *interference) coefficientOf(serving, filler string) float64 {
	if c := m.pairs[pairKey{serving, filler}]; c != nil && c.samples >= minSamples {
		return c.value
	}
	if c := m.fillerMeans[filler]; c != nil && c.samples >= minSamples {
		return c.value
	}
	return priorCoefficient
}

// baselineOf returns the mean logarithm of a serving image's tail without fillers.
func (m *interference) baselineOf(serving string, target time.Duration) float64 {
	if c := m.baselines[serving]; c != nil && c.samples >= minSamples {
		return c.value
	}
	return math.Log(float64(target.Milliseconds())) - priorSlack
}

// priorSlack is how far below its target, as a logarithm, the tail of an image
// is taken to be before it was seen.
const priorSlack = 0.9

// update takes in one figure of a serving task and the shares of the processors that
// the fillers beside it use.
func (m *interference) update(serving string, tail float64, shares map[string]float64) {
	if tail <= 0 {
		return
	}
	b := m.baselines[serving]
	if b == nil {
		b = &coefficient{value: math.Log(tail)}
		m.baselines[serving] = b
	}
	predicted, power := b.value, 0.0
	for filler, x := range shares {
		predicted += m.ensurePairValue(serving, filler) * x
		power += x * x
	}
	miss := math.Log(tail) - predicted
	if power < minFillerShare*minFillerShare {
		b.samples++
		b.value += miss * max(baselineGain, 1/b.samples)
		return
	}
	for filler, x := range shares {
		step := miss * x / power
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

// updateInterference feeds the model with a worker's report, if it has serving tasks.
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

// fillerShares returns the share of the processors that each filler image used in
// the last figures.
func (n *node) fillerShares() map[string]float64 {
	shares := make(map[string]float64)
	for _, a := range n.attempts {
		if s := a.task.step.spec; s.Filler && a.hasMeasure {
			shares[s.Image] += a.measure / float64(n.worker.Capacity.CPU)
		}
	}
	return shares
}

// logTailRatio returns how far the expected tail of the worst-off serving task of a
// worker is from its target, as a logarithm. Above zero the target is expected to be
// missed.
func (e *Engine) logTailRatio(n *node) float64 {
	worst := math.Inf(-1)
	for _, v := range n.servingImages {
		t := e.model.baselineOf(v.image, v.target) - math.Log(float64(v.target.Milliseconds()))
		for _, a := range n.attempts {
			if s := a.task.step.spec; s.Filler {
				t += e.model.coefficientOf(v.image, s.Image) * a.cpuShare()
			}
		}
		worst = max(worst, t)
	}
	return worst
}

// logTailRise returns by how much a filler that uses a share x of the processors raises the
// tail of the serving task that it disturbs most, as a logarithm.
func (e *Engine) logTailRise(n *node, filler string, x float64) float64 {
	most := 0.0
	for _, v := range n.servingImages {
		most = max(most, e.model.coefficientOf(v.image, filler)*x)
	}
	return most
}

// sensitive is the coefficient from which a pair counts as one that matters.
const sensitiveCoefficient = 4

// dissimilarity returns the share of the fillers that disturb one of two serving images
// and not the other. Images of which too little is known count as unlike.
func (m *interference) dissimilarity(a, b string) float64 {
	known, unlike := 0, 0
	for filler := range m.fillerMeans {
		ca, cb := m.pairs[pairKey{a, filler}], m.pairs[pairKey{b, filler}]
		if ca == nil || cb == nil || ca.samples < minSamples || cb.samples < minSamples {
			continue
		}
		known++
		if (ca.value >= sensitiveCoefficient) != (cb.value >= sensitiveCoefficient) {
			unlike++
		}
	}
	if known < minComparedFillers {
		return 1
	}
	return min(1, 3*float64(unlike)/float64(known))
}

// minComparedFillers is how many fillers must be known to compare two serving images.
const minComparedFillers = 3
