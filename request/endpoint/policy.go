package endpoint

import (
	"math/rand/v2"
	"time"
)

// Policy is a load balancing policy.
type Policy[C any] interface {
	// Choose returns the index of one of the candidates, of which there is at
	// least one.
	Choose(now time.Time, candidates []C) int
}

// Cost returns the value that a policy minimizes.
type Cost[C any] func(now time.Time, candidate C) float64

// RoundRobin chooses the candidates in turn.
type RoundRobin[C any] struct {
	next int
}

// Choose returns the next candidate.
func (p *RoundRobin[C]) Choose(_ time.Time, candidates []C) int {
	p.next++
	return p.next % len(candidates)
}

// PowerOfTwoChoices draws two random candidates and chooses the one of lower cost.
type PowerOfTwoChoices[C any] struct {
	Rand *rand.Rand
	Cost Cost[C]
}

// Choose returns the cheaper of two random candidates.
func (p *PowerOfTwoChoices[C]) Choose(now time.Time, candidates []C) int {
	a, b := p.Rand.IntN(len(candidates)), p.Rand.IntN(len(candidates))
	if a != b && p.Cost(now, candidates[b]) < p.Cost(now, candidates[a]) {
		return b
	}
	return a
}

// LeastCost chooses the candidate of lowest cost. The scan starts one index
// further each time, so that candidates of equal cost take turns.
type LeastCost[C any] struct {
	Cost Cost[C]
	next int
}

// Choose returns the candidate of lowest cost.
func (p *LeastCost[C]) Choose(now time.Time, candidates []C) int {
	p.next++
	best, bestCost := -1, 0.0
	for i := range candidates {
		n := (i + p.next) % len(candidates)
		if c := p.Cost(now, candidates[n]); best < 0 || c < bestCost {
			best, bestCost = n, c
		}
	}
	return best
}

// OutstandingCost is the number of requests in flight on a replica.
func OutstandingCost(_ time.Time, r *Replica) float64 {
	return float64(r.inFlight)
}

// PeakEWMACost is the peak-sensitive latency average in seconds, times the
// requests in flight and the new one.
func PeakEWMACost(now time.Time, r *Replica) float64 {
	return max(r.peak.value(now), minLatency) * float64(r.inFlight+1)
}

// minLatency keeps costs and virtual times above zero, in seconds.
const minLatency = 1e-6
