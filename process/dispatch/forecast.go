package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Forecasts are for the load in which more jobs arrive than can be done in time. They tell how
// long a new job would wait for its first start, by pool and priority: the work that goes
// before it over the processors that do it, and at least the time until room is free. A
// forecast is made for each published load, once a second, so that a job costs a look-up.

// Forecast tells how long new jobs are expected to wait. It is published with the load.
type Forecast struct {
	Pools map[heatherhub.PoolID]PoolForecast `msgpack:"p" json:"pools"`
	// RunTimes has the learned ratios of measured to declared run time of the queues with the
	// most samples. Others run as declared.
	RunTimes map[heatherhub.QueueID]float32 `msgpack:"r,omitempty" json:"runTimes,omitempty"`
}

// PoolForecast is the forecast for one pool.
type PoolForecast struct {
	// Room is the processors that tasks that end may reserve, and Spare those that fillers
	// may use.
	Room  heatherhub.MilliCPU `msgpack:"c" json:"roomMilli"`
	Spare heatherhub.MilliCPU `msgpack:"s" json:"spareMilli"`
	Lanes []LaneForecast      `msgpack:"l,omitempty" json:"lanes,omitempty"`
}

// LaneForecast is the forecast for the jobs of a pool that have the same priority, by
// priority. Fillers have lanes of their own, as they use other processors.
type LaneForecast struct {
	Priority int  `msgpack:"p" json:"priority"`
	IsFiller bool `msgpack:"f,omitempty" json:"filler,omitempty"`
	// Waits has the wait until the next start by the work of a job, the least first.
	Waits []WorkWait `msgpack:"w" json:"waits"`
	// Late is the wait of a job that does not start in time, so that it goes after those that
	// still can.
	Late time.Duration `msgpack:"l,omitempty" json:"late,omitempty"`
	// Arriving is the work of the jobs that arrive in a second, in millicores times seconds.
	Arriving float64 `msgpack:"a,omitempty" json:"arriving,omitempty"`
	// Error is the mean difference between the expected and the seen first start of a job,
	// over Samples jobs.
	Error   time.Duration `msgpack:"e,omitempty" json:"error,omitempty"`
	Samples int           `msgpack:"n,omitempty" json:"samples,omitempty"`
}

// WorkWait is the wait of a job that needs at least Work, in millicores times seconds.
type WorkWait struct {
	Work float64       `msgpack:"w" json:"work"`
	Wait time.Duration `msgpack:"t" json:"wait"`
}

// Check returns ErrInvalid for values that no owner publishes.
func (f *Forecast) Check() error {
	for pool, p := range f.Pools {
		isValid := p.Room >= 0 && p.Spare >= 0
		for i := range p.Lanes {
			l := &p.Lanes[i]
			isValid = isValid && isAmount(l.Arriving) && l.Late >= 0 && l.Error >= 0 && l.Samples >= 0
			for _, w := range l.Waits {
				isValid = isValid && isAmount(w.Work) && w.Wait >= 0
			}
		}
		if !isValid {
			return heatherhub.ErrInvalid.New("the forecast of pool %q has a value below 0 or no number", pool)
		}
	}
	for id, ratio := range f.RunTimes {
		if !isAmount(float64(ratio)) {
			return heatherhub.ErrInvalid.New("the forecast has no valid run time of queue %q", id)
		}
	}
	return nil
}

// isAmount reports whether v is a number of 0 or more.
func isAmount(v float64) bool {
	return v >= 0 && !math.IsInf(v, 1)
}

// RoomFor returns the processors that fillers or other tasks that end may use.
func (p *PoolForecast) RoomFor(isFiller bool) heatherhub.MilliCPU {
	if isFiller {
		return p.Spare
	}
	return p.Room
}

// Lane returns the forecast that applies to a priority: its own, or else that of the next
// priority that goes before it, whose work also goes before the job. It returns nil if
// nothing goes before the job.
func (p *PoolForecast) Lane(priority int, isFiller bool) *LaneForecast {
	var found *LaneForecast
	for i := range p.Lanes {
		l := &p.Lanes[i]
		if l.IsFiller == isFiller && l.Priority <= priority && (found == nil || l.Priority >= found.Priority) {
			found = l
		}
	}
	return found
}

// WaitOf returns the expected wait of a job until its next start, if its priority has the
// lane or comes after it. A nil lane has no wait.
func (l *LaneForecast) WaitOf(priority int, work float64) time.Duration {
	if l == nil {
		return 0
	}
	var wait time.Duration
	for _, w := range l.Waits {
		if w.Work > work && priority == l.Priority {
			break
		}
		wait = w.Wait
	}
	return wait
}

// Bounds of a published forecast, which takes about 20 bytes for each wait and run time. Each
// host reads the loads of all shards once a second, and may use 3 KB/s for control.
const (
	maxLanes        = 12
	maxWaits        = 6
	maxLoadRunTimes = 16
)

// laneKey identifies the jobs of a lane.
type laneKey struct {
	pool     heatherhub.PoolID
	isFiller bool
	priority int
}

func compareLanes(a, b laneKey) int {
	return cmp.Or(cmp.Compare(a.pool, b.pool), compareBool(a.isFiller, b.isFiller), cmp.Compare(a.priority, b.priority))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// lane is what is known of the jobs with one laneKey.
type lane struct {
	key laneKey
	// need sums the needs of count waiting and running tasks.
	need  heatherhub.Resources
	count int
	// waiting has the waiting work of the jobs that can end in time, late that of the others
	// that have value, in millicores times seconds.
	waiting []waitingWork
	late    float64
	total   float64
	// arrived is the work of the jobs added since the last forecast, and arriving that of a
	// second, averaged over arrivalTime.
	arrived, arriving float64
	// meanError and samples are the measured error of the forecast, as of seenAt.
	meanError time.Duration
	samples   int
	seenAt    time.Duration
}

// waitingWork is the waiting work of a job, ordered by what it needs in total.
type waitingWork struct {
	remaining, waiting float64
}

const (
	// arrivalTime is the time over which the arriving work is averaged. Bursts last for
	// seconds, and a shorter time mistakes single jobs for one.
	arrivalTime = 3 * time.Second
	// maxLateWait bounds the expected wait of late jobs while new ones need all room.
	maxLateWait = time.Minute
)

// laneMemory is how long the measured error of a lane without jobs is kept.
const laneMemory = 10 * time.Minute

// laneOf returns the lane with a key. It is created if it does not exist.
func (e *Engine) laneOf(now time.Duration, key laneKey) *lane {
	l := e.lanes[key]
	if l == nil {
		l = &lane{key: key}
		e.lanes[key] = l
	}
	l.seenAt = now
	return l
}

func laneKeyOf(j *job, s *heatherhub.Step) laneKey {
	return laneKey{pool: j.policy.Pool, isFiller: s.Filler, priority: j.policy.Priority}
}

// Forecast makes the forecast that is published with the load, and with which new jobs are
// compared from now on.
func (e *Engine) Forecast(now Moment) *Forecast {
	e.gatherLanes(now)
	e.room.isStale = true
	f := &Forecast{Pools: make(map[heatherhub.PoolID]PoolForecast)}
	for _, n := range e.sortedNodes {
		if !n.isInService() {
			continue
		}
		p := f.Pools[n.worker.Pool]
		room := n.worker.Capacity.CPU - n.used.CPU
		for _, a := range n.attempts {
			if !a.task.step.spec.LongRunning {
				room += a.task.step.need.CPU
			}
		}
		p.Room += max(room, 0)
		p.Spare += max(n.spareCPU()+n.fillerCPU, 0)
		f.Pools[n.worker.Pool] = p
	}
	keys := make([]laneKey, 0, len(e.lanes))
	for key, l := range e.lanes {
		if l.count > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareLanes)
	var ahead, allInTime, lateAhead, arriving float64
	for i, key := range keys {
		if i == 0 || keys[i-1].pool != key.pool || keys[i-1].isFiller != key.isFiller {
			ahead, lateAhead, allInTime, arriving = 0, 0, 0, 0
			for _, k := range keys {
				if k.pool == key.pool && k.isFiller == key.isFiller {
					allInTime += e.lanes[k].total
					arriving += e.lanes[k].arriving
				}
			}
		}
		l := e.lanes[key]
		lateAhead += l.late
		p, ok := f.Pools[key.pool]
		if ok && len(p.Lanes) < maxLanes {
			p.Lanes = append(p.Lanes, e.forecastLane(now, l, float64(p.RoomFor(key.isFiller)), ahead, allInTime+lateAhead, arriving))
			f.Pools[key.pool] = p
		}
		ahead += l.total
	}
	f.RunTimes = e.publishedRunTimes()
	e.forecast, e.forecastAt = f, now.Steady
	return f
}

// forecastLane returns the forecast of a lane, before which go ahead and, for late jobs,
// lateAhead and the work that arrives. While there is room for a task, a job waits for nothing.
func (e *Engine) forecastLane(now Moment, l *lane, room, ahead, lateAhead, arriving float64) LaneForecast {
	out := LaneForecast{Priority: l.key.priority, IsFiller: l.key.isFiller, Arriving: l.arriving, Error: l.meanError, Samples: l.samples}
	n := l.count
	mean := heatherhub.Resources{
		CPU: l.need.CPU / heatherhub.MilliCPU(n), Memory: l.need.Memory / heatherhub.Megabytes(n),
		Accelerators: l.need.Accelerators / heatherhub.Accelerators(n),
	}
	free, ok := e.ExpectedRoom(now, mean, l.key.pool, l.key.isFiller)
	if ok && free <= now.Steady {
		return out
	}
	waitFor := func(work float64) time.Duration {
		return max(free-now.Steady, 0, time.Duration(work/max(room, 1)*float64(time.Second)))
	}
	out.Waits = append(out.Waits, WorkWait{Wait: waitFor(ahead)})
	slices.SortFunc(l.waiting, func(a, b waitingWork) int { return cmp.Compare(a.remaining, b.remaining) })
	sum, next := 0.0, l.total/(maxWaits-1)
	for i, w := range l.waiting {
		if sum += w.waiting; sum >= next || i == len(l.waiting)-1 {
			out.Waits = append(out.Waits, WorkWait{Work: w.remaining, Wait: waitFor(ahead + sum)})
			next = sum + l.total/(maxWaits-1)
		}
	}
	// New jobs can end in time, so late ones have only the room that these leave.
	out.Late = maxLateWait
	if arriving < room {
		out.Late = min(waitFor(lateAhead*room/(room-arriving)), maxLateWait)
	}
	return out
}

// gatherLanes adds up the work that waits or runs in each lane. Steps that wait for other
// steps of their job count too, as they go before new jobs when they can start.
func (e *Engine) gatherLanes(now Moment) {
	for key, l := range e.lanes {
		if now.Steady-l.seenAt > laneMemory {
			delete(e.lanes, key)
			continue
		}
		if since := now.Steady - e.forecastAt; since > 0 {
			l.arriving += (l.arrived/since.Seconds() - l.arriving) * min(1, float64(since)/float64(arrivalTime))
			l.arrived = 0
		}
		l.need, l.count, l.waiting, l.late, l.total = heatherhub.Resources{}, 0, l.waiting[:0], 0, 0
	}
	for _, j := range e.jobs {
		if j.isOver() || j.workflow.IsLongRunning() {
			continue
		}
		for _, o := range j.occurrences {
			e.gatherOccurrence(now, o)
		}
	}
	for _, n := range e.sortedNodes {
		for _, a := range n.attempts {
			if s := a.task.step; !s.spec.LongRunning {
				l := e.laneOf(now.Steady, laneKeyOf(s.occ.job, s.spec))
				l.need, l.count = l.need.Add(s.spec.Need), l.count+1
			}
		}
	}
}

// gatherOccurrence adds the waiting work of an occurrence to its lane.
func (e *Engine) gatherOccurrence(now Moment, o *occurrence) {
	if o.job.workflow.Schedule != nil && now.Wall.Before(o.job.workflow.Due(o.index)) {
		return
	}
	var first *stepRun
	work := 0.0
	for _, s := range o.steps {
		if len(s.pending) == 0 {
			continue
		}
		if first == nil {
			first = s
		}
		work += float64(len(s.pending)) * e.expectedDuration(s).Seconds() * float64(s.spec.Need.CPU)
	}
	if first == nil {
		return
	}
	l := e.laneOf(now.Steady, laneKeyOf(o.job, first.spec))
	l.need, l.count = l.need.Add(first.spec.Need), l.count+1
	switch urgencyOf(now.Steady, first) {
	case inTime:
		l.waiting = append(l.waiting, waitingWork{e.remainingWork(o), work})
		l.total += work
	case late:
		l.late += work
	case noValue:
	}
}

// publishedRunTimes returns the learned ratios of the queues with the most samples.
func (e *Engine) publishedRunTimes() map[heatherhub.QueueID]float32 {
	all := e.RunTimes()
	ids := make([]heatherhub.QueueID, 0, len(all))
	for id := range all {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b heatherhub.QueueID) int {
		return cmp.Or(cmp.Compare(all[b].Samples, all[a].Samples), cmp.Compare(a, b))
	})
	out := make(map[heatherhub.QueueID]float32, min(len(ids), maxLoadRunTimes))
	for _, id := range ids[:min(len(ids), maxLoadRunTimes)] {
		out[id] = float32(e.expectedRatio(id))
	}
	return out
}

// errorWeight is the least weight of a sample in the measured error, so that the last 20 or
// so jobs count: load changes within seconds.
const errorWeight = 0.05

// maxForecastAge is the age up to which a forecast is used; see also intake's admission.
const maxForecastAge = 2 * time.Second

// predictStart notes when a new job is expected to start by the last forecast and, as hosts do, the
// work that has arrived since. Jobs that are expected to be late are left out: many of them never
// start.
func (e *Engine) predictStart(now Moment, j *job) {
	w := j.workflow
	if w.Schedule != nil || w.IsLongRunning() || j.isInherited {
		return
	}
	l := e.laneOf(now.Steady, laneKeyOf(j, &w.Steps[0]))
	arrived := l.arrived
	l.arrived += w.Work() * e.expectedRatio(w.Queue)
	if e.forecast == nil || now.Steady-e.forecastAt > maxForecastAge {
		return
	}
	p, ok := e.forecast.Pools[j.policy.Pool]
	if !ok {
		return
	}
	wait := p.Lane(j.policy.Priority, w.Steps[0].Filler).WaitOf(j.policy.Priority, w.Work())
	if room := p.RoomFor(l.key.isFiller); wait > 0 && room > 0 {
		since := time.Duration(arrived / float64(room) * float64(time.Second))
		wait += max(since-(now.Steady-e.forecastAt), 0)
	}
	if o := j.occurrences[0]; now.Steady+wait+o.declaredChain() <= o.objective {
		j.expectedStart = now.Steady + wait
	}
}

// observeStart compares the first start of a job with what was expected.
func (e *Engine) observeStart(now Moment, s *stepRun) {
	j := s.occ.job
	if j.expectedStart == 0 {
		return
	}
	l := e.laneOf(now.Steady, laneKeyOf(j, s.spec))
	l.samples++
	// A job that has turned late starts at any later time, which says no more of the error.
	difference := min((now.Steady - j.expectedStart).Abs(), s.occ.objective-j.arrived)
	l.meanError += time.Duration(float64(difference-l.meanError) * max(errorWeight, 1/float64(l.samples)))
	j.expectedStart = 0
}
