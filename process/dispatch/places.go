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
	workers  []workerPlaces
	searches map[taskKind]*placeSearch
}

// workerPlaces is one worker of a location.
type workerPlaces struct {
	node  *node
	free  heatherhub.Resources
	spare heatherhub.MilliCPU
	// ends are the expected ends of runs in order of time.
	ends []placeEnd
	// version counts the places taken.
	version int
}

// placeEnd is the expected end of a run.
type placeEnd struct {
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
			if end, ok := e.placeEndOf(now, a); ok {
				w.ends = append(w.ends, end)
			}
		}
		slices.SortStableFunc(w.ends, compareEnds)
		r.workers = append(r.workers, w)
	}
	e.locations.places[at] = r
	return r
}

func compareEnds(a, b placeEnd) int {
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

// placeEndOf returns the expected end of a run. It reports false for runs that do not end by
// themselves.
func (e *Engine) placeEndOf(now Moment, a *attempt) (placeEnd, bool) {
	s := a.task.step
	end := placeEnd{need: s.need, spare: s.need.CPU}
	if s.spec.Filler {
		end.spare = s.spec.Need.CPU
	}
	switch {
	case a.stop != noStop:
		end.after = e.cfg.StopTime
	case !a.endsByItself():
		return end, false
	default:
		end.after, end.spread = e.remainingWithError(now, a)
	}
	end.spread += drainReportTime
	return end, true
}

// remainingWithError returns the expected time to the end of a run that ends by itself, and its error.
func (e *Engine) remainingWithError(now Moment, a *attempt) (left, spread time.Duration) {
	total := float64(e.expectedDuration(a.task.step))
	if a.isAwayFromData() {
		total *= e.slowdownOf(a.task.step.occ.job)
	}
	progress := float64(a.progress) / 100
	remaining, relative := a.timeLeft(total), declaredError
	if a.isMeasurable && a.progress >= minProgress && a.speedLimit == fullSpeed {
		remaining, relative = float64(a.progressAt-a.startedAt)*(1-progress)/progress, measuredError
	}
	spread = time.Duration(relative * remaining)
	remaining = max(remaining-float64(now.Steady-a.progressAt), minLeftShare*total, 1)
	return time.Duration(remaining), spread
}

// placeSearch looks for places for tasks of one kind, in the order in which they become free.
type placeSearch struct {
	places *rackPlaces
	kind   taskKind
	// duration is the time for which a task takes its place.
	duration time.Duration
	workers  []searchedWorker
}

// taskKind is what decides whether a worker is eligible for a task.
type taskKind struct {
	need     heatherhub.Resources
	cpu      heatherhub.MilliCPU
	isFiller bool
	image    string
	label    string
	// step is set if the number of its tasks on a worker is limited.
	step *stepRun
}

// searchedWorker is the first place on a worker. It is valid for one version of the worker.
type searchedWorker struct {
	isUsable bool
	taken    int
	version  int
	place    place
	hasPlace bool
}

// searchFor returns a search for the tasks of a step. Steps of one kind share it.
func (r *rackPlaces) searchFor(e *Engine, now Moment, s *stepRun) *placeSearch {
	kind := taskKind{need: s.need, cpu: s.spec.Need.CPU, isFiller: s.spec.Filler, label: s.spec.RequiredLabel}
	if s.spec.Filler {
		kind.image = s.spec.Image
	}
	if s.spec.MaxPerWorker > 0 {
		kind.step = s
	}
	if search := r.searches[kind]; search != nil {
		search.duration = e.expectedDuration(s)
		return search
	}
	search := &placeSearch{places: r, kind: kind, duration: e.expectedDuration(s), workers: make([]searchedWorker, len(r.workers))}
	for i := range r.workers {
		n, w := r.workers[i].node, &search.workers[i]
		w.version = -1
		if (kind.label != "" && !n.worker.HasLabel(kind.label)) || e.isSlow(now.Steady, n) {
			continue
		}
		_, w.isUsable = e.score(now.Steady, n, s)
	}
	if r.searches == nil {
		r.searches = make(map[taskKind]*placeSearch)
	}
	r.searches[kind] = search
	return search
}

// next returns the place that is free first. It reports false if there is none.
func (p *placeSearch) next() (place, bool) {
	best, isFound := place{}, false
	for i := range p.workers {
		w := &p.workers[i]
		if !w.isUsable || p.isAtLimit(i) {
			continue
		}
		if free := &p.places.workers[i]; w.version != free.version {
			w.place, w.hasPlace = free.firstPlace(p.kind)
			w.place.worker, w.version = i, free.version
		}
		if w.hasPlace && (!isFound || w.place.after < best.after) {
			best, isFound = w.place, true
			if best.after == 0 {
				break
			}
		}
	}
	return best, isFound
}

// isAtLimit reports whether the step may have no further task on a worker.
func (p *placeSearch) isAtLimit(i int) bool {
	s := p.kind.step
	return s != nil && s.tasksPerNode[p.places.workers[i].node]+p.workers[i].taken >= s.spec.MaxPerWorker
}

// take takes a place for one task.
func (p *placeSearch) take(at place) {
	w := &p.places.workers[at.worker]
	p.workers[at.worker].taken++
	w.version++
	end := placeEnd{after: at.after + p.duration, spread: at.spread + time.Duration(declaredError*float64(p.duration)), need: p.kind.need, spare: p.kind.cpu}
	w.free, w.spare = w.free.Sub(end.need), w.spare-end.spare
	i, _ := slices.BinarySearchFunc(w.ends, end, compareEnds)
	w.ends = slices.Insert(w.ends, i, end)
}

// firstPlace returns the place on the worker that is free first for a task.
func (w *workerPlaces) firstPlace(kind taskKind) (place, bool) {
	fits := func(free heatherhub.Resources, spare heatherhub.MilliCPU) bool {
		return kind.need.Fits(free) && (!kind.isFiller || kind.cpu <= spare)
	}
	free, spare := w.free, w.spare
	if fits(free, spare) {
		return place{}, true
	}
	spread := time.Duration(0)
	for _, end := range w.ends {
		free, spare = free.Add(end.need), spare+end.spare
		spread = max(spread, end.spread)
		if fits(free, spare) {
			return place{after: end.after, spread: spread}, true
		}
	}
	return place{}, false
}
