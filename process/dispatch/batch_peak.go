package dispatch

import (
	"math"
	"time"

	"heatherhub.example/heatherhub"
)

// Batch tasks that reserve processors come in bursts, and long-running tasks keep what they
// reserve for as long as they run. The peak of the former tells how much room hosts should not
// give to further long-running jobs.

// batchPeakHalfLife is the time in which the peak falls by half after a burst.
const batchPeakHalfLife = 30 * time.Second

// batchPeak is the highest recent demand of batch tasks that reserve processors.
type batchPeak struct {
	value heatherhub.MilliCPU
	at    time.Duration
}

// observe adds a demand and returns the peak.
func (p *batchPeak) observe(now time.Duration, demand heatherhub.MilliCPU) heatherhub.MilliCPU {
	kept := math.Exp2(-float64(now-p.at) / float64(batchPeakHalfLife))
	p.value, p.at = max(demand, heatherhub.MilliCPU(kept*float64(p.value))), now
	return p.value
}

// BatchPeak returns the most processors that batch tasks have reserved or waited for lately. Call
// it about once a second.
func (e *Engine) BatchPeak(now Moment) heatherhub.MilliCPU {
	var demand heatherhub.MilliCPU
	for _, n := range e.sortedNodes {
		if n.isInService() {
			demand += n.used.CPU - n.longRunningCPU
		}
	}
	for _, s := range e.ready {
		if !s.spec.Filler && !s.spec.LongRunning && !s.occ.job.isOver() {
			demand += heatherhub.MilliCPU(len(s.pending)) * s.spec.Need.CPU
		}
	}
	return e.peak.observe(now.Steady, demand)
}
