package dispatch

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Load summarizes the shard's load. It is used to choose a shard for new or waiting
// work.
type Load struct {
	// Capacity and Reserved are totals over the workers that are reachable and not
	// draining.
	Capacity, Reserved heatherhub.MilliCPU
	// FillerDemand is the processor demand of the filler tasks on these workers.
	FillerDemand heatherhub.MilliCPU
	// Backlog is the processor time that waiting tasks need.
	Backlog time.Duration
}

// Load returns the current load.
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

// LargestFree returns, by pool, the free resources of up to limit workers that accept
// tasks, those with the most free processors first.
func (e *Engine) LargestFree(now Moment, limit int) map[heatherhub.PoolID][]heatherhub.Resources {
	out := make(map[heatherhub.PoolID][]heatherhub.Resources)
	for _, n := range e.sortedNodes {
		if !n.acceptsTasks(now.Steady) {
			continue
		}
		out[n.worker.Pool] = append(out[n.worker.Pool], n.free())
	}
	for pool, free := range out {
		slices.SortFunc(free, func(a, b heatherhub.Resources) int { return cmp.Compare(b.CPU, a.CPU) })
		out[pool] = free[:min(limit, len(free))]
	}
	return out
}

// Racks returns the racks of the shard's workers, each once.
func (e *Engine) Racks() []heatherhub.Rack {
	var out []heatherhub.Rack
	for _, n := range e.sortedNodes {
		if n.worker.Rack != "" && !slices.Contains(out, n.worker.Rack) {
			out = append(out, n.worker.Rack)
		}
	}
	return out
}
