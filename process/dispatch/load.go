package dispatch

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Load sums up the shard for those who choose a shard for new or waiting work.
type Load struct {
	// Capacity and Reserved are of all workers in use.
	Capacity, Reserved heatherhub.MilliCPU
	// FillerDemand is the demand of running filler tasks.
	FillerDemand heatherhub.MilliCPU
	// Backlog is the demand of tasks that wait, in processor time.
	Backlog time.Duration
}

// Load returns the present load.
func (e *Engine) Load() Load {
	var l Load
	for _, n := range e.sortedNodes {
		if n.worker.Draining || n.isUnresponsive {
			continue
		}
		l.Capacity += n.worker.Capacity.CPU
		l.Reserved += n.used.CPU
		l.FillerDemand += n.fillerCPU
	}
	for _, s := range e.ready {
		if !s.occ.job.isOver() {
			l.Backlog += time.Duration(len(s.pending)) * e.expectedDuration(s) * time.Duration(s.spec.Need.CPU) / 1000
		}
	}
	return l
}

// LargestFree returns the free room of the emptiest workers of each pool, the largest first.
func (e *Engine) LargestFree(now Moment, limit int) map[heatherhub.PoolID][]heatherhub.Resources {
	out := make(map[heatherhub.PoolID][]heatherhub.Resources)
	for _, n := range e.sortedNodes {
		if n.worker.Draining || n.isUnresponsive || n.backoffUntil > now.Steady || n.health.isQuarantined(now.Steady) {
			continue
		}
		out[n.worker.Pool] = append(out[n.worker.Pool], n.free())
	}
	for pool, holes := range out {
		slices.SortFunc(holes, func(a, b heatherhub.Resources) int { return cmp.Compare(b.CPU, a.CPU) })
		out[pool] = holes[:min(limit, len(holes))]
	}
	return out
}

// Racks returns the racks of the workers.
func (e *Engine) Racks() []heatherhub.Rack {
	var out []heatherhub.Rack
	for _, n := range e.sortedNodes {
		if n.worker.Rack != "" && !slices.Contains(out, n.worker.Rack) {
			out = append(out, n.worker.Rack)
		}
	}
	return out
}
