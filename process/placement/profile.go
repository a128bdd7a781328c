package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// minSamples is the number of samples from which a learnt figure is used.
	minSamples = 20
	// plannedSizeQuantile is the part of the samples that a planned size covers.
	plannedSizeQuantile = 0.95
	// typicalQuantile and longQuantile are the run times that orders and filing
	// windows count with.
	typicalQuantile = 0.5
	longQuantile    = 0.9
	// quantileInterval is the number of samples between two readings of quantiles.
	quantileInterval = 16
)

// profile is what was learnt of one workload from lagged usage and run times.
type profile struct {
	cpu, memory, runTime histogram
	// size, typical and long are the quantiles at the last reading.
	size          heatherhub.Resources
	typical, long time.Duration
}

func (p *profile) observeUsage(used heatherhub.Resources) {
	p.cpu.add(float64(used.CPU))
	p.memory.add(float64(used.Memory))
	if p.cpu.samples >= minSamples && p.cpu.samples%quantileInterval == 0 {
		p.size.CPU = heatherhub.MilliCPU(p.cpu.quantile(plannedSizeQuantile))
		p.size.Memory = heatherhub.Megabytes(p.memory.quantile(plannedSizeQuantile))
	}
}

func (p *profile) observeRun(d time.Duration) {
	p.runTime.add(float64(d.Milliseconds()))
	if p.runTime.samples >= minSamples && p.runTime.samples%quantileInterval == 0 {
		p.typical = time.Duration(p.runTime.quantile(typicalQuantile)) * time.Millisecond
		p.long = time.Duration(p.runTime.quantile(longQuantile)) * time.Millisecond
	}
}

func (c *Colocator) profileOf(id heatherhub.WorkloadID) *profile {
	p, ok := c.profiles[id]
	if !ok {
		p = &profile{}
		c.profiles[id] = p
	}
	return p
}

// plannedSize is the size that the placement plans with: the declared size, or
// the learnt one where that is larger. The reservation stays the declared size.
func (c *Colocator) plannedSize(t *heatherhub.Task) heatherhub.Resources {
	p, ok := c.profiles[t.Workload]
	if !ok || !c.enabled(MechanismSizes) {
		return t.Size
	}
	limit := percentOf(c.maxCapacity, c.batchShare())
	planned := heatherhub.Resources{
		CPU:    min(p.size.CPU, limit.CPU),
		Memory: min(p.size.Memory, limit.Memory),
	}
	return maxResources(t.Size, planned)
}

// runTimes returns the typical and the long run time of a batch task.
func (c *Colocator) runTimes(t *heatherhub.Task) (typical, long time.Duration) {
	p, ok := c.profiles[t.Workload]
	if !ok || p.typical == 0 || !c.enabled(MechanismRunTimes) {
		return t.RunTime, 2 * t.RunTime
	}
	return p.typical, p.long
}

// remaining estimates the time that a running task still needs.
func (c *Colocator) remaining(now time.Time, e *entry) time.Duration {
	typical, long := c.runTimes(&e.task)
	ran := now.Sub(e.started)
	if ran < typical {
		return typical - ran
	}
	return max(long-ran, 0)
}
