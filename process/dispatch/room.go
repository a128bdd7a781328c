package dispatch

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// When room becomes free is expected from the ends of what runs. The summary of these is made
// at most once per forecastInterval and after a worker has joined or left. A query then costs
// a pass over the workers, whatever waits.

// forecastInterval is the time for which a summary is used. Loads are published as often.
const forecastInterval = time.Second

// roomForecast is a summary of the room that the runs of each worker give back.
type roomForecast struct {
	madeAt  time.Duration
	isStale bool
	workers []workerForecast
	// ends has the expected ends of all workers, one worker after the other.
	ends []expectedEnd
}

// workerForecast has the expected ends of the runs of a worker in ends[from:to], by time.
type workerForecast struct {
	node     *node
	from, to int
}

// expectedEnd is the expected end of a run, and what is free and spare on its worker then.
type expectedEnd struct {
	at    time.Duration
	free  heatherhub.Resources
	spare heatherhub.MilliCPU
}

// currentRoom returns the summary of the workers, made anew if it is too old.
func (e *Engine) currentRoom(now time.Duration) *roomForecast {
	f := &e.room
	if !f.isStale && f.madeAt > 0 && now-f.madeAt < forecastInterval {
		return f
	}
	f.madeAt, f.isStale = now, false
	clear(f.workers)
	f.workers, f.ends = f.workers[:0], f.ends[:0]
	for _, n := range e.sortedNodes {
		from := len(f.ends)
		for _, a := range n.attempts {
			if left, ok := e.remainingTime(now, a); ok {
				f.ends = append(f.ends, expectedEnd{at: now + left, free: a.task.step.need, spare: a.task.step.spec.Need.CPU})
			}
		}
		own := f.ends[from:]
		slices.SortFunc(own, func(a, b expectedEnd) int { return cmp.Compare(a.at, b.at) })
		free, spare := n.free(), n.spareCPU()
		for i := range own {
			free, spare = free.Add(own[i].free), spare+own[i].spare
			own[i].free, own[i].spare = free, spare
		}
		f.workers = append(f.workers, workerForecast{node: n, from: from, to: len(f.ends)})
	}
	return f
}

// ExpectedRoom returns the expected steady time at which a worker of a pool has room for a need;
// fillers need spare processors. It reports false if no end of a run that is expected gives such
// room. Workers that get no task for a moment, after a refusal or in quarantine, count.
func (e *Engine) ExpectedRoom(now Moment, need heatherhub.Resources, pool heatherhub.PoolID, isFiller bool) (time.Duration, bool) {
	f := e.currentRoom(now.Steady)
	var best time.Duration
	isFound := false
	for i := range f.workers {
		w := &f.workers[i]
		n := w.node
		if n.worker.Pool != pool || !n.isInService() {
			continue
		}
		if fits(need, n.free(), n.spareCPU(), isFiller) && n.acceptsTasks(now.Steady) {
			return now.Steady, true
		}
		earliest := max(now.Steady, n.backoffUntil, n.health.quarantineUntil)
		for k := w.from; k < w.to; k++ {
			end := &f.ends[k]
			at := max(end.at, earliest)
			if isFound && at >= best {
				break
			}
			if fits(need, end.free, end.spare, isFiller) {
				best, isFound = at, true
				break
			}
		}
	}
	return best, isFound
}

// fits reports whether a task fits in what is free, or, as a filler, in what is spare.
func fits(need, free heatherhub.Resources, spare heatherhub.MilliCPU, isFiller bool) bool {
	if isFiller {
		free.CPU = spare
	}
	return need.Fits(free)
}
