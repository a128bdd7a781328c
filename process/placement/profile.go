package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// minSamples is the number of samples needed before a quantile is used.
	minSamples = 20
	// plannedSizeQuantile is the quantile of usage that is used as learned size.
	plannedSizeQuantile = 0.95
	// typicalQuantile and longQuantile are the quantiles of the run time that virtual
	// deadlines and due times are computed with.
	typicalQuantile = 0.5
	longQuantile    = 0.9
	// quantileInterval is the number of samples between two updates of the quantiles.
	quantileInterval = 16
)

// profile holds the learned resource usage and run time of one workload.
type profile struct {
	cpu, memory, runTime histogram
	// size, typical and long are the last computed quantiles, or 0.
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

// plannedSize returns the larger of the declared and the learned size of a task for each
// resource, where the learned size is capped at the batch share of the largest worker.
// The task's reservation is the declared size regardless.
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

// runTimes returns the typical and the long run time of a task: the learned ones, or
// once and twice the declared run time.
func (c *Colocator) runTimes(t *heatherhub.Task) (typical, long time.Duration) {
	p, ok := c.profiles[t.Workload]
	if !ok || p.typical == 0 || !c.enabled(MechanismRunTimes) {
		return t.RunTime, 2 * t.RunTime
	}
	return p.typical, p.long
}

// remaining estimates the remaining run time of a task.
func (c *Colocator) remaining(now time.Time, e *entry) time.Duration {
	typical, long := c.runTimes(&e.task)
	elapsed := now.Sub(e.started)
	if elapsed < typical {
		return typical - elapsed
	}
	return max(long-elapsed, 0)
}
