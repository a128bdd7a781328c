package dispatch

import (
	"math"
	"time"
)

// The interference model estimates how much filler tasks slow down the
// latency-sensitive serving tasks on the same worker, which depends on the pair of
// images. The headroom of a serving task is its latency target over its tail latency: 1 at the
// target, more below it. Response times grow with the inverse of the unused part of a server, so
// the users' load and fillers each take an amount off the headroom that does not depend on the
// other. From delayed and noisy samples the model learns how much headroom a serving image loses
// per fraction of the worker's processors that a filler image uses. Most pairs have no effect;
// only the few that interfere are kept apart.

// Parameters of the model.
const (
	// baselineGain is the smallest weight of a new sample in the baseline of a serving
	// image.
	baselineGain = 0.02
	// pairGain is the smallest weight of a new sample in the coefficient of a pair. The
	// first samples weigh one over their number.
	pairGain = 0.05
	// fullWeightHeadroom is the headroom up to which samples have their full weight. The error
	// of a sample grows with the headroom.
	fullWeightHeadroom = 2
	// minFillerShare is the fraction of the processors below which the effect of a
	// filler cannot be told from measurement noise.
	minFillerShare = 0.02
	// maxCoefficient bounds the effect of one pair.
	maxCoefficient = 40
	// priorCoefficient is the effect assumed for a filler image without enough samples.
	priorCoefficient = 3
	// significantCoefficient is the value below which a learned effect counts as none. Most pairs
	// have none, and on a busy worker the errors of many pairs would add up.
	significantCoefficient = 3
	// minSamples is the number of samples after which a learned value is used: a pair's
	// own coefficient instead of the filler's mean, and that mean instead of the prior.
	minSamples = 12
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
	// baselines has, by serving image, the mean headroom on a worker without fillers.
	baselines   map[string]*coefficient
	pairs       map[pairKey]*coefficient
	fillerMeans map[string]*coefficient
}

func newInterference() *interference {
	return &interference{
		baselines: make(map[string]*coefficient), pairs: make(map[pairKey]*coefficient), fillerMeans: make(map[string]*coefficient),
	}
}

// coefficientOf returns the headroom that a serving image loses per fraction of the
// processors that a filler image uses.
func (m *interference) coefficientOf(serving, filler string) float64 {
	if c := m.pairs[pairKey{serving, filler}]; c != nil && c.samples >= minSamples {
		if c.value < significantCoefficient {
			return 0
		}
		return c.value
	}
	if c := m.fillerMeans[filler]; c != nil && c.samples >= minSamples {
		return max(c.value, 0)
	}
	return priorCoefficient
}

// interferes reports whether a filler image is known to interfere with a serving image.
func (m *interference) interferes(serving, filler string) bool {
	c := m.pairs[pairKey{serving, filler}]
	return c != nil && c.samples >= minSamples && c.value >= significantCoefficient
}

// baselineOf returns the expected headroom of a serving image without fillers.
func (m *interference) baselineOf(serving string) float64 {
	if c := m.baselines[serving]; c != nil && c.samples >= minSamples {
		return c.value
	}
	return priorHeadroom
}

// priorHeadroom is the headroom that is assumed for an image without samples.
const priorHeadroom = 2

// update adds one sample of the headroom of a serving task. shares has the fraction of the
// processors that each filler image used beside it, level the headroom of its step without
// fillers, if hasLevel is set.
func (m *interference) update(serving string, headroom float64, shares map[string]float64, level float64, hasLevel bool) {
	b := m.baselines[serving]
	if b == nil {
		b = &coefficient{value: headroom}
		m.baselines[serving] = b
	}
	squaredShares := 0.0
	for _, x := range shares {
		squaredShares += x * x
	}
	if squaredShares < minFillerShare*minFillerShare {
		b.samples++
		b.value += (headroom - b.value) * max(baselineGain, 1/b.samples)
		return
	}
	predicted := b.value
	if hasLevel {
		predicted = level
	}
	for filler, x := range shares {
		predicted -= m.ensurePairValue(serving, filler) * x
	}
	weight := min(1, fullWeightHeadroom*fullWeightHeadroom/(headroom*headroom))
	for filler, x := range shares {
		step := (predicted - headroom) * x / squaredShares
		m.pairs[pairKey{serving, filler}].adjust(step, weight)
		m.ensureFillerMean(filler).adjust(step, weight)
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

// adjust moves the value by a part of step. A value may be negative, so that errors to both sides
// cancel out.
func (c *coefficient) adjust(step, weight float64) {
	c.samples++
	c.value = min(max(c.value+step*weight*max(pairGain, 1/(c.samples+1)), -maxCoefficient), maxCoefficient)
}

// headroomOf returns the headroom of a running serving task according to the last report. It
// reports false for other tasks and without a measurement.
func (a *attempt) headroomOf() (float64, bool) {
	target := float64(a.task.step.spec.LatencyTarget.Milliseconds())
	if target <= 0 || !a.hasMeasure || a.measure <= 0 || a.state != running {
		return 0, false
	}
	return target / a.measure, true
}

// updateInterference feeds the model with the last report of a worker that runs serving
// tasks.
func (e *Engine) updateInterference(now time.Duration, n *node) {
	if n.servingTasks == 0 {
		return
	}
	shares := n.fillerShares()
	for _, a := range n.attemptsByRun() {
		headroom, ok := a.headroomOf()
		if !ok {
			continue
		}
		s := a.task.step
		if s.headrooms == nil {
			s.headrooms = &headroomCourse{}
		}
		level, hasLevel := s.headrooms.level(now)
		e.model.update(s.spec.Image, headroom, shares, level, hasLevel)
		loss := e.model.lossBeside(s.spec.Image, shares)
		s.headrooms.add(now, headroom+loss, 1/(1+lossDoubt*loss*loss))
	}
}

// lossDoubt is how fast the weight of a sample in the course of a step falls with the loss that is
// added to it, which is an estimate.
const lossDoubt = 4

// lossBeside returns the headroom that a serving image loses beside fillers that use the given
// fractions of the processors.
func (m *interference) lossBeside(serving string, shares map[string]float64) float64 {
	loss := 0.0
	for filler, x := range shares {
		loss += m.coefficientOf(serving, filler) * x
	}
	return loss
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

// placementHorizon is how far ahead the load of serving tasks is expected when a filler is
// placed: fillers mostly run for a few seconds.
const placementHorizon = 3 * time.Second

// expectedHeadroom returns the lowest headroom that a serving step is expected to have without
// fillers until horizon from now.
func (e *Engine) expectedHeadroom(now time.Duration, s *stepRun, horizon time.Duration) float64 {
	if s.headrooms != nil {
		if v, ok := s.headrooms.lowest(now, horizon); ok {
			return v
		}
	}
	return e.model.baselineOf(s.spec.Image)
}

// lowestHeadroom returns the expected headroom of the serving task of a worker that is closest to
// missing its target, beside the fillers there. Below one the target is expected to be missed.
func (e *Engine) lowestHeadroom(now time.Duration, n *node) float64 {
	var fillers []*attempt
	for _, a := range n.attempts {
		if a.task.step.spec.Filler && a.speedLimit > 0 {
			fillers = append(fillers, a)
		}
	}
	lowest := math.Inf(1)
	for _, v := range n.servingSteps {
		headroom := e.expectedHeadroom(now, v.step, placementHorizon)
		for _, a := range fillers {
			headroom -= e.model.coefficientOf(v.step.spec.Image, a.task.step.spec.Image) * a.cpuShare()
		}
		lowest = min(lowest, headroom)
	}
	return lowest
}

// headroomLoss returns the largest loss of headroom that a filler using the fraction x of the
// processors causes to any serving task of a worker.
func (e *Engine) headroomLoss(n *node, filler string, x float64) float64 {
	largest := 0.0
	for _, v := range n.servingImages {
		largest = max(largest, e.model.coefficientOf(v.image, filler)*x)
	}
	return largest
}

// sensitiveCoefficient is the coefficient from which on serving images are kept apart because of a
// filler image. It is high, since keeping images apart breaks up the room for large needs.
const sensitiveCoefficient = 7

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
