package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Load summarizes the shard's load. It is used to choose a shard for new or waiting
// work.
type Load struct {
	// Capacity and Reserved are totals over the workers that are reachable, not draining and
	// not evacuated.
	Capacity, Reserved heatherhub.MilliCPU
	// LongRunning is the part of Reserved that long-running tasks reserve.
	LongRunning heatherhub.MilliCPU
	// FillerDemand is the processor demand of the filler tasks on these workers.
	FillerDemand heatherhub.MilliCPU
	// Backlog is the processor time that waiting tasks need.
	Backlog time.Duration
}

// Load returns the current load.
func (e *Engine) Load() Load {
	var l Load
	for _, n := range e.sortedNodes {
		if !n.isInService() {
			continue
		}
		l.Capacity += n.worker.Capacity.CPU
		l.Reserved += n.used.CPU
		l.LongRunning += n.longRunningCPU
		l.FillerDemand += n.fillerCPU
	}
	for _, s := range e.ready {
		if !s.occ.job.isOver() {
			l.Backlog += e.pendingWork(s)
		}
	}
	return l
}

// pendingWork returns the processor time that the waiting tasks of a step need.
func (e *Engine) pendingWork(s *stepRun) time.Duration {
	return time.Duration(len(s.pending)) * e.expectedDuration(s) * time.Duration(s.spec.Need.CPU) / 1000
}

// LargestFree returns, by pool, the free resources of up to limit workers that accept
// tasks, those with the most free processors first.
func (e *Engine) LargestFree(now Moment, limit int) map[heatherhub.PoolID][]heatherhub.Resources {
	return e.largest(limit, func(n *node) (heatherhub.Resources, bool) { return n.free(), n.acceptsTasks(now.Steady) })
}

// LargestSpare is LargestFree for fillers: its processors are the spare ones.
func (e *Engine) LargestSpare(now Moment, limit int) map[heatherhub.PoolID][]heatherhub.Resources {
	return e.largest(limit, func(n *node) (heatherhub.Resources, bool) {
		r := n.free()
		r.CPU = n.spareCPU()
		return r, n.acceptsTasks(now.Steady) && !e.isSlow(now.Steady, n)
	})
}

// largest returns, by pool, the resources of up to limit workers that resourcesOf reports,
// those with the most processors first. Workers that hold more than their capacity have no
// room and are left out.
func (e *Engine) largest(limit int, resourcesOf func(*node) (heatherhub.Resources, bool)) map[heatherhub.PoolID][]heatherhub.Resources {
	out := make(map[heatherhub.PoolID][]heatherhub.Resources)
	for _, n := range e.sortedNodes {
		if r, ok := resourcesOf(n); ok && r.Check() == nil {
			out[n.worker.Pool] = append(out[n.worker.Pool], r)
		}
	}
	for pool, rs := range out {
		slices.SortFunc(rs, func(a, b heatherhub.Resources) int { return cmp.Compare(b.CPU, a.CPU) })
		out[pool] = rs[:min(limit, len(rs))]
	}
	return out
}

// maxFillerRoom bounds the images in FillerRoom of each pool.
const maxFillerRoom = 64

// FillerRoom returns, by pool and filler image, the most processors that a task may need for
// a worker to take it, given the spare ones and the serving tasks that it would slow down.
// The image "" stands for those that are not listed, of which nothing was learnt.
func (e *Engine) FillerRoom(now Moment) map[heatherhub.PoolID]map[string]heatherhub.MilliCPU {
	images := append([]string{""}, slices.Sorted(maps.Keys(e.model.fillerMeans))...)
	images = images[:min(len(images), maxFillerRoom)]
	out := make(map[heatherhub.PoolID]map[string]heatherhub.MilliCPU)
	for _, n := range e.sortedNodes {
		if !n.acceptsTasks(now.Steady) || e.isSlow(now.Steady, n) {
			continue
		}
		room := out[n.worker.Pool]
		if room == nil {
			room = make(map[string]heatherhub.MilliCPU, len(images))
			out[n.worker.Pool] = room
		}
		for _, image := range images {
			room[image] = max(room[image], e.fillerRoom(now.Steady, n, image))
		}
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
