package dispatch

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// rackPlaces are the workers of a location with the resources that their runs are expected to
// free. Places are taken in it as they are planned; the workers themselves do not change.
type rackPlaces struct {
	workers []workerPlaces
}

// workerPlaces is one worker of a location.
type workerPlaces struct {
	node  *node
	free  heatherhub.Resources
	spare heatherhub.MilliCPU
	// ends are the expected ends of runs in order of time.
	ends []expectedEnd
}

// expectedEnd is the expected end of a run.
type expectedEnd struct {
	// after is the time from now to the end, and spread its error.
	after, spread time.Duration
	need          heatherhub.Resources
	// spare is what the end adds to the processors that fillers may use.
	spare heatherhub.MilliCPU
}

// place is the room for one task on a worker.
type place struct {
	worker int
	// after is the expected time until the room is free; zero if it is free now.
	after, spread time.Duration
}

// placesAt returns the places at a location. The first call of a decision computes them.
func (e *Engine) placesAt(now Moment, at location) *rackPlaces {
	if r := e.locations.places[at]; r != nil {
		return r
	}
	r := &rackPlaces{}
	for _, n := range e.sortedNodes {
		if n.worker.Pool != at.pool || n.worker.Rack != at.rack || !n.acceptsTasks(now.Steady) {
			continue
		}
		w := workerPlaces{node: n, free: n.free(), spare: n.spareCPU()}
		for _, a := range n.attemptsByRun() {
			if end, ok := e.expectedEndOf(now, a); ok {
				w.ends = append(w.ends, end)
			}
		}
		slices.SortStableFunc(w.ends, compareEnds)
		r.workers = append(r.workers, w)
	}
	e.locations.places[at] = r
	return r
}

func compareEnds(a, b expectedEnd) int {
	return cmp.Compare(a.after, b.after)
}

// clone returns a copy in which places can be taken.
func (r *rackPlaces) clone() *rackPlaces {
	out := &rackPlaces{workers: slices.Clone(r.workers)}
	for i := range out.workers {
		out.workers[i].ends = slices.Clone(out.workers[i].ends)
	}
	return out
}

// Errors of the expected end of a run, as shares of the time left.
const (
	// declaredError is that of declared run times, which are off by a factor of up to 1.9.
	declaredError = 0.5
	// measuredError is that of the progress of the run itself, once it is at minProgress.
	measuredError = 0.2
	minProgress   = heatherhub.Percent(20)
	// minLeftShare is the share of its run time that a run is expected to take at least when it
	// should already be over.
	minLeftShare = 0.05
)

// expectedEndOf returns the expected end of a run. It reports false for runs that do not end by
// themselves.
func (e *Engine) expectedEndOf(now Moment, a *attempt) (expectedEnd, bool) {
	s := a.task.step
	end := expectedEnd{need: s.need, spare: s.need.CPU}
	if s.spec.Filler {
		end.spare = s.spec.Need.CPU
	}
	switch {
	case a.stop != noStop:
		end.after = e.cfg.StopTime
	case s.spec.LongRunning, a.speedLimit == 0:
		return end, false
	default:
		end.after, end.spread = e.timeLeft(now, a)
	}
	end.spread += drainReportTime
	return end, true
}

// timeLeft returns the expected time to the end of a run that ends by itself, and its error.
func (e *Engine) timeLeft(now Moment, a *attempt) (left, spread time.Duration) {
	total := float64(e.expectedDuration(a.task.step))
	if a.isAwayFromData() {
		total *= e.slowdownOf(a.task.step.occ.job)
	}
	progress := float64(a.progress) / 100
	remaining, relative := total*(1-progress)*float64(fullSpeed)/float64(a.speedLimit), declaredError
	if a.isMeasurable && a.progress >= minProgress && a.speedLimit == fullSpeed {
		remaining, relative = float64(a.progressAt-a.startedAt)*(1-progress)/progress, measuredError
	}
	spread = time.Duration(relative * remaining)
	remaining = max(remaining-float64(now.Steady-a.progressAt), minLeftShare*total, 1)
	return time.Duration(remaining), spread
}

// placeSearch looks for places for the tasks of one step, in the order in which they become free.
type placeSearch struct {
	places *rackPlaces
	step   *stepRun
	// duration is the time for which a task takes its place.
	duration time.Duration
	isUsable []bool
	taken    []int
}

func (r *rackPlaces) searchFor(e *Engine, now Moment, s *stepRun) *placeSearch {
	search := &placeSearch{places: r, step: s, duration: e.expectedDuration(s), isUsable: make([]bool, len(r.workers)), taken: make([]int, len(r.workers))}
	for i := range r.workers {
		n := r.workers[i].node
		if (s.spec.RequiredLabel != "" && !n.worker.HasLabel(s.spec.RequiredLabel)) || e.isSlow(now.Steady, n) {
			continue
		}
		_, search.isUsable[i] = e.score(n, s)
	}
	return search
}

// next returns the place that is free first. It reports false if there is none.
func (p *placeSearch) next() (place, bool) {
	best, isFound := place{}, false
	for i := range p.places.workers {
		if !p.isUsable[i] || (p.step.spec.MaxPerWorker > 0 && p.step.tasksPerNode[p.places.workers[i].node]+p.taken[i] >= p.step.spec.MaxPerWorker) {
			continue
		}
		after, spread, ok := p.places.workers[i].freeAfter(p.step)
		if ok && (!isFound || after < best.after) {
			best, isFound = place{worker: i, after: after, spread: spread}, true
			if after == 0 {
				break
			}
		}
	}
	return best, isFound
}

// take takes a place for one task.
func (p *placeSearch) take(at place) {
	w := &p.places.workers[at.worker]
	p.taken[at.worker]++
	end := expectedEnd{after: at.after + p.duration, spread: at.spread + time.Duration(declaredError*float64(p.duration)), need: p.step.need, spare: p.step.spec.Need.CPU}
	w.free, w.spare = w.free.Sub(end.need), w.spare-end.spare
	i, _ := slices.BinarySearchFunc(w.ends, end, compareEnds)
	w.ends = slices.Insert(w.ends, i, end)
}

// freeAfter returns the time until the worker has room for a task of a step.
func (w *workerPlaces) freeAfter(s *stepRun) (after, spread time.Duration, ok bool) {
	fits := func(free heatherhub.Resources, spare heatherhub.MilliCPU) bool {
		return s.need.Fits(free) && (!s.spec.Filler || s.spec.Need.CPU <= spare)
	}
	free, spare := w.free, w.spare
	if fits(free, spare) {
		return 0, 0, true
	}
	for _, end := range w.ends {
		free, spare = free.Add(end.need), spare+end.spare
		spread = max(spread, end.spread)
		if fits(free, spare) {
			return end.after, spread, true
		}
	}
	return 0, 0, false
}
