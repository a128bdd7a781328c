package dispatch

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Waiting steps are ordered for periods in which demand exceeds capacity. Steps that
// can still meet their objective go first, by priority and then by least remaining work
// of their occurrence: a small job yields more value per second of work than a large
// one. Only tasks that wait count, as those that run need no further room. Where room is
// short, started jobs go first, and before them those that go ahead by their size
// (share.go). Ordering by deadline alone would make all jobs slightly late under overload.
// Steps that are late but still have value follow, and steps without value come last.

// urgency is the value that starting a step now still has.
type urgency int

const (
	inTime urgency = iota
	late
	noValue
)

func urgencyOf(now time.Duration, s *stepRun) urgency {
	switch o := s.occ; {
	case s.spec.LongRunning || now+s.criticalPath <= o.objective:
		return inTime
	case now+s.criticalPath <= o.valueUntil:
		return late
	default:
		return noValue
	}
}

// String names the urgency for logs.
func (u urgency) String() string {
	return [...]string{"inTime", "late", "worthless"}[u]
}

type candidate struct {
	step    *stepRun
	urgency urgency
	// isCommitted means that room is short, a task of the job has started and the job can be in
	// time. Such jobs go before others, by their latest start: the room of their tasks is wasted
	// if the rest is late.
	isCommitted bool
	// class orders candidates by urgency, kind, priority and rank; see classOf.
	class int64
	// index is the place of the step among the waiting ones. It decides between equal candidates.
	index       int
	latestStart time.Duration
	// remainingWork is the processor time of the occurrence's tasks that wait, in millicores
	// times seconds.
	remainingWork float64
}

// candidates returns the waiting steps in the order in which they are placed, valid until the next
// call. Steps that a previous owner may have started are left out while a worker is unresolved that
// may run any task.
func (e *Engine) candidates(now Moment) []candidate {
	kept := e.ready[:0]
	out := e.candidateBuffer[:0]
	for _, s := range e.ready {
		if len(s.pending) == 0 || s.occ.job.isOver() {
			s.isQueued = false
			continue
		}
		kept = append(kept, s)
		if s.occ.job.isInherited && e.heldBackOf(s).open > 0 {
			continue
		}
		out = append(out, e.newCandidate(now, s))
	}
	clear(e.ready[len(kept):])
	e.ready = kept
	e.chooseAhead(now.Steady, out)
	for i := range out {
		out[i].class, out[i].index = out[i].classOf(), i
	}
	slices.SortFunc(out, compareCandidates)
	e.candidateBuffer = out
	return out
}

func (e *Engine) newCandidate(now Moment, s *stepRun) candidate {
	c := candidate{
		step: s, urgency: urgencyOf(now.Steady, s), latestStart: s.occ.objective - s.criticalPath, remainingWork: e.remainingWork(s.occ),
	}
	c.isCommitted = e.isShortOfRoom && c.urgency == inTime && s.reservesForAWhile() && s.occ.job.hasStarted()
	return c
}

func compareCandidates(a, b candidate) int {
	switch {
	case a.class != b.class:
		return cmp.Compare(a.class, b.class)
	case a.isCommitted && b.isCommitted && a.latestStart != b.latestStart:
		return cmp.Compare(a.latestStart, b.latestStart)
	case a.remainingWork != b.remainingWork:
		return cmp.Compare(a.remainingWork, b.remainingWork)
	case a.latestStart != b.latestStart:
		return cmp.Compare(a.latestStart, b.latestStart)
	default:
		return cmp.Compare(a.index, b.index)
	}
}

// Positions of the parts of a candidate's class, from the lowest: two bits of rank, the priority,
// the kind of the step and the urgency.
const (
	priorityShift = 2
	kindShift     = 60
	urgencyShift  = 61
	maxPriority   = 1<<(kindShift-priorityShift-1) - 1
)

// classOf orders candidates by urgency; steps that end before long-running ones, as these would
// permanently take the capacity that urgent short work needs for a moment and are often too large
// for the gaps that short tasks leave; by priority; and by rank.
func (c *candidate) classOf() int64 {
	priority := int64(min(max(c.step.occ.job.policy.Priority, -maxPriority), maxPriority)) + maxPriority
	class := int64(c.urgency)<<urgencyShift | priority<<priorityShift | c.rankOf()
	if c.step.spec.LongRunning {
		class |= 1 << kindShift
	}
	return class
}

// reservesForAWhile reports whether the tasks of a step end by themselves and reserve processors.
// Fillers wait for workers on which they interfere less, and not for room.
func (s *stepRun) reservesForAWhile() bool {
	return !s.spec.LongRunning && !s.spec.Filler
}

// hasStarted reports whether a task of the job was ordered to start or has run.
func (j *job) hasStarted() bool {
	return j.openAttempts > 0 || j.state == heatherhub.WorkflowRunning
}

// rankOf returns the place of a step among those of its urgency and priority: jobs that go ahead
// by their size, committed ones, others.
func (c *candidate) rankOf() int64 {
	switch {
	case c.step.occ.job.isAhead:
		return 0
	case c.isCommitted:
		return 1
	default:
		return 2
	}
}

// remainingWork returns the processor time of an occurrence's tasks that wait, in millicores
// times seconds.
func (e *Engine) remainingWork(o *occurrence) float64 {
	work := 0.0
	for _, s := range o.steps {
		work += float64(len(s.pending)) * e.expectedDuration(s).Seconds() * float64(s.spec.Need.CPU)
	}
	return work
}

// startReady starts waiting tasks in order as far as they fit.
func (e *Engine) startReady(now Moment) {
	// unplaced has the requirements that could not be placed, so that equal or larger
	// ones are skipped.
	var unplaced []shape
	waiting := e.candidates(now)
	e.beginLocationPlan(waiting)
	defer e.endLocationPlan()
	hasSlowWorker := slices.ContainsFunc(e.sortedNodes, func(n *node) bool { return e.isSlow(now.Steady, n) })
	e.isHoldingStarts, e.isShortOfRoom = false, false
	for _, c := range waiting {
		if e.isAtStartLimit() {
			e.isHoldingStarts = true
			return
		}
		s := c.step
		sh := shapeOf(now.Steady, s, hasSlowWorker)
		if slices.ContainsFunc(unplaced, func(u shape) bool { return u.covers(sh) }) {
			continue
		}
		isPlaced := false
		if s.spec.Gang {
			isPlaced = e.startGang(now, s)
		} else {
			isPlaced = e.startTasks(now, s)
		}
		if !isPlaced && s.reservesForAWhile() {
			e.isShortOfRoom = true
		}
		if !isPlaced && sh.isUnconstrained {
			unplaced = append(unplaced, sh)
		}
	}
	e.preempt(now, waiting)
	e.startStarved(now, waiting)
}

// startStarved starts one task of each filler job that has nothing running although
// reserved capacity is low, or a whole gang. The task goes where it interferes least, and
// throttling limits its effect.
func (e *Engine) startStarved(now Moment, waiting []candidate) {
	waiting = slices.DeleteFunc(waiting, func(c candidate) bool { return !e.isStarved(now, c.step) })
	if len(waiting) == 0 {
		return
	}
	if l := e.Load(); float64(l.Reserved) > StarvationLoadLimit*float64(l.Capacity) {
		return
	}
	for _, c := range waiting {
		s := c.step
		if !e.isStarved(now, s) {
			// Another step of the job was started in this loop.
			continue
		}
		if s.spec.Gang {
			e.startStarvedGang(now, s)
			continue
		}
		at := slices.IndexFunc(s.pending, func(t *task) bool { return e.isStartable(now.Steady, t) })
		if at < 0 || s.pending[at].needsIsolation() {
			continue
		}
		t := s.pending[at]
		if n := e.leastInterference(now, s, t); n != nil {
			e.nextRun++
			e.start(now, t, n, e.nextRun)
			e.recordStarts(now, s, 1, n.worker.ID)
		}
	}
}

// startStarvedGang is startStarved for a gang.
func (e *Engine) startStarvedGang(now Moment, s *stepRun) {
	if !e.isGangStartable(now, s) || slices.ContainsFunc(s.tasks, (*task).needsIsolation) {
		return
	}
	placed, ok := e.tryGang(now, s, func(t *task) *node { return e.leastInterference(now, s, t) })
	if ok {
		e.recordStarts(now, s, len(placed), placed[0].node.worker.ID)
	}
}

// isStarved reports whether a filler job has no running task and has waited for
// StarvedAfter.
func (e *Engine) isStarved(now Moment, s *stepRun) bool {
	return s.spec.Filler && len(s.pending) > 0 && !s.waitsByChoice(now.Steady) && !s.occ.job.hasAttempt() && now.Steady-s.readySince >= e.cfg.StarvedAfter
}

// StarvationLoadLimit is the fraction of reserved processors up to which every filler
// job gets a running task.
const StarvationLoadLimit = 0.6

// leastInterference returns the worker that accepts a filler and whose serving tasks it is
// expected to slow down least. The free processors of the worker are not considered.
func (e *Engine) leastInterference(now Moment, s *stepRun, t *task) *node {
	var best *node
	var bestHeadroom float64
	for _, n := range e.sortedNodes {
		if !e.hasLabelsAndRoom(now, n, s) || s.isAtLimitOn(n) || !n.isOpenTo(now.Steady, t) || n.throttle.isClosed(now.Steady, 0) {
			continue
		}
		headroom := e.lowestHeadroom(now.Steady, n) - e.headroomLoss(n, s.spec.Image, n.shareOf(s.spec.Need.CPU))
		if best == nil || headroom > bestHeadroom {
			best, bestHeadroom = n, headroom
		}
	}
	return best
}

// shape is the set of requirements that decides whether a task of a step can be placed.
type shape struct {
	pool     heatherhub.PoolID
	need     heatherhub.Resources
	isFiller bool
	// image is set for fillers only, whose placement depends on the images they
	// interfere with.
	image string
	// patience is set for fillers only; see patienceOf.
	patience int
	// isLongRunning is set while the shard has a slow worker, which only long-running tasks
	// use.
	isLongRunning bool
	// isUnconstrained means that no label, per-worker limit or gang restricts the
	// choice of worker.
	isUnconstrained bool
}

func shapeOf(now time.Duration, s *stepRun, hasSlowWorker bool) shape {
	sh := shape{
		isLongRunning: hasSlowWorker && s.spec.LongRunning,
		pool:          s.occ.job.policy.Pool, need: s.spec.Need, isFiller: s.spec.Filler,
		isUnconstrained: s.spec.RequiredLabel == "" && s.spec.MaxPerWorker == 0 && !s.spec.Gang,
	}
	if s.spec.Filler {
		sh.image, sh.patience = s.spec.Image, patienceOf(now, s)
	}
	return sh
}

// covers reports whether o cannot be placed if f cannot.
func (f shape) covers(o shape) bool {
	return f.pool == o.pool && f.isFiller == o.isFiller && f.isLongRunning == o.isLongRunning && f.image == o.image && f.patience <= o.patience && f.need.Fits(o.need)
}

// startTasks starts the pending tasks of a step. It reports false if a task that may
// start could not be placed.
func (e *Engine) startTasks(now Moment, s *stepRun) bool {
	if e.keepsWaiting(now, s) {
		return true
	}
	count := 0
	var last heatherhub.WorkerID
	var located *allotment
	for _, t := range slices.Clone(s.pending) {
		if !e.isStartable(now.Steady, t) {
			continue
		}
		if e.isAtStartLimit() {
			e.isHoldingStarts = true
			break
		}
		n := e.chooseWorker(now, s, t)
		if n == nil && t.needsIsolation() {
			// It waits for a worker of its own, which says nothing of the room for others.
			continue
		}
		if n != nil && s.prefersRack() && !t.needsIsolation() {
			if located == nil {
				located = e.allotmentOf(now, s, n)
			}
			if located != nil {
				if n = e.chooseLocated(now, s, t, located, n); n == nil && located.isSettled() {
					break
				}
				if n == nil {
					// It waits by choice, or for places that other steps leave.
					continue
				}
			}
		}
		if n == nil {
			e.recordStarts(now, s, count, last)
			e.recordLocation(now, s, located)
			return false
		}
		e.nextRun++
		e.start(now, t, n, e.nextRun)
		count, last = count+1, n.worker.ID
	}
	e.recordStarts(now, s, count, last)
	e.recordLocation(now, s, located)
	return true
}

// startGang starts all tasks of a gang or none. It reports false if they could not all
// be placed.
func (e *Engine) startGang(now Moment, s *stepRun) bool {
	if !e.isGangStartable(now, s) {
		return true
	}
	if s.hasSuspects() {
		return e.startSuspectGang(now, s)
	}
	if !s.prefersRack() {
		return e.placeGang(now, s, nil)
	}
	n := e.chooseWorker(now, s, s.tasks[0])
	if n == nil {
		return false
	}
	a := e.allotmentOf(now, s, n)
	if a == nil {
		return e.placeGang(now, s, nil)
	}
	return e.placeLocatedGang(now, s, a)
}

// isGangStartable reports whether all tasks of a gang may start at now, given workers for them.
func (e *Engine) isGangStartable(now Moment, s *stepRun) bool {
	return len(s.pending) == len(s.tasks) && !slices.ContainsFunc(s.tasks, func(t *task) bool { return !e.isStartable(now.Steady, t) })
}

// placeGang starts all tasks of a gang on workers that isWanted accepts, or none. It reports false
// if they could not all be placed.
func (e *Engine) placeGang(now Moment, s *stepRun, isWanted func(*node) bool) bool {
	placed, ok := e.tryGang(now, s, func(t *task) *node { return e.chooseWorkerWhere(now, s, t, isWanted) })
	if ok {
		e.recordStarts(now, s, len(placed), placed[0].node.worker.ID)
	}
	return ok
}

// tryGang orders the starts of all tasks of a gang on the workers that choose returns, or of none.
func (e *Engine) tryGang(now Moment, s *stepRun, choose func(*task) *node) ([]*attempt, bool) {
	e.nextRun++
	run := e.nextRun
	placed := make([]*attempt, 0, len(s.tasks))
	for _, t := range s.tasks {
		n := choose(t)
		if n == nil {
			e.undoGang(s, placed)
			return nil, false
		}
		placed = append(placed, e.start(now, t, n, run))
	}
	return placed, true
}

// undoGang takes back the last starts that were ordered.
func (e *Engine) undoGang(s *stepRun, placed []*attempt) {
	for _, a := range placed {
		e.release(a)
		s.addPending(a.task)
	}
	e.orders = e.orders[:len(e.orders)-len(placed)]
	e.Stats.Starts -= len(placed)
}

func (e *Engine) start(now Moment, t *task, n *node, run heatherhub.RunID) *attempt {
	a := &attempt{
		task: t, node: n, run: run, stateSince: now.Steady, orderedAt: now.Steady, startedAt: now.Steady, progressAt: now.Steady,
		checkpoint: t.saved().ref, speedLimit: fullSpeed, isIsolated: t.needsIsolation(),
	}
	e.attach(a)
	e.unsettled = append(e.unsettled, a)
	e.Stats.Starts++
	e.orders = append(e.orders, Order{
		Worker: n.worker.ID, Kind: StartTask, Task: t.id(), Run: run,
		Payload: t.step.occ.job.workflow.Payload, Checkpoint: a.checkpoint,
	})
	return a
}
