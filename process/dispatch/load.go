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
	return e.largest(limit, func(n *node) (heatherhub.Resources, bool) { return n.free(), e.acceptsTasks(now, n) })
}

// LargestSpare is LargestFree for fillers: its processors are the spare ones.
func (e *Engine) LargestSpare(now Moment, limit int) map[heatherhub.PoolID][]heatherhub.Resources {
	return e.largest(limit, func(n *node) (heatherhub.Resources, bool) {
		r := n.free()
		r.CPU = n.spareCPU()
		return r, e.acceptsTasks(now, n) && !e.isSlow(now.Steady, n)
	})
}

// largest returns, by pool, the resources of up to limit workers that resourcesOf reports,
// those with the most processors first.
func (e *Engine) largest(limit int, resourcesOf func(*node) (heatherhub.Resources, bool)) map[heatherhub.PoolID][]heatherhub.Resources {
	out := make(map[heatherhub.PoolID][]heatherhub.Resources)
	for _, n := range e.sortedNodes {
		if r, ok := resourcesOf(n); ok {
			out[n.worker.Pool] = append(out[n.worker.Pool], r)
		}
	}
	for pool, rs := range out {
		slices.SortFunc(rs, func(a, b heatherhub.Resources) int { return cmp.Compare(b.CPU, a.CPU) })
		out[pool] = rs[:min(limit, len(rs))]
	}
	return out
}

// RefusedFiller is what a filler asks for that no worker of the shard takes.
type RefusedFiller struct {
	Pool  heatherhub.PoolID
	Image string
	Need  heatherhub.Resources
}

// maxRefusedFillers bounds the refused fillers that are remembered, published and checked
// against each worker.
const maxRefusedFillers = 16

// RefusedFillers returns the fillers that no worker takes, out of those that have waited
// here. The room of workers alone does not tell, as a filler may interfere with their serving
// tasks. A filler that has moved away is remembered, or it would come back.
func (e *Engine) RefusedFillers(now Moment) []RefusedFiller {
	e.refused = slices.DeleteFunc(e.refused, func(sh shape) bool {
		return slices.ContainsFunc(e.sortedNodes, func(n *node) bool { return e.acceptsFiller(now, n, sh) })
	})
	e.rememberRefused()
	out := make([]RefusedFiller, 0, len(e.refused))
	for _, sh := range e.refused {
		out = append(out, RefusedFiller{Pool: sh.pool, Image: sh.image, Need: sh.need})
	}
	return out
}

// rememberRefused adds the fillers that the last decision could not place to the refused
// ones.
func (e *Engine) rememberRefused() {
	for _, sh := range e.unplaced {
		if !sh.isFiller || slices.ContainsFunc(e.refused, func(r shape) bool { return r.covers(sh) }) {
			continue
		}
		e.refused = append(slices.DeleteFunc(e.refused, sh.covers), sh)
	}
	e.refused = slices.Delete(e.refused, 0, max(len(e.refused)-maxRefusedFillers, 0))
}

// acceptsFiller reports whether a worker takes an unconstrained filler.
func (e *Engine) acceptsFiller(now Moment, n *node, sh shape) bool {
	free := n.free()
	free.CPU = n.spareCPU()
	if !e.acceptsTasks(now, n) || n.worker.Pool != sh.pool || e.isSlow(now.Steady, n) || !sh.need.Fits(free) {
		return false
	}
	_, ok := e.scoreFiller(n, sh.image, sh.need.CPU)
	return ok
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
