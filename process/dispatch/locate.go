package dispatch

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// This file applies the decision of wait.go to the waiting steps of a shard. It handles bursts that
// want one rack: the places there, now and later, go to the jobs that lose the most elsewhere.

const (
	// maxLocationWait bounds the wait of a job with nothing running. Such a job may wait for 3 s
	// while there is capacity for it; decisions are 0.2 s apart, and an order takes some time.
	maxLocationWait = 2400 * time.Millisecond
	// maxPlannedPlaces bounds the places that one decision looks for in a rack, which cost about
	// 1 us each. It is more than the places of a rack (12 workers of 64 cores have 96 for tasks
	// of 7.5 cores).
	maxPlannedPlaces = 128
)

// stepWait is the state of a step that has waited for its location.
type stepWait struct {
	// since is LocationWait.Since of the first wait; zero if there was none. All waits of a step
	// share one deadline.
	since time.Duration
	// isOpen means that tasks wait at present, until deadline.
	isOpen   bool
	deadline time.Duration
	rack     heatherhub.Rack
	// startedIn counts the tasks that have started in the rack since the wait began.
	startedIn int
}

// waitsByChoice reports whether tasks of the step wait for their location by choice. The deadline may
// have been set while the job had runs; once it has none, maxLocationWait applies as well.
func (s *stepRun) waitsByChoice(now time.Duration) bool {
	w := &s.wait
	return w.isOpen && now < w.deadline && (s.occ.job.hasAttempt() || now < w.since+maxLocationWait)
}

// prefersRack reports whether the tasks of a step are faster in one rack. Long-running tasks never
// make up for a wait, and are placed by their score alone.
func (s *stepRun) prefersRack() bool {
	return (s.spec.DataRack != "" || s.spec.SameRack) && !s.spec.LongRunning && s.spec.Estimate > 0
}

// isGroup reports whether the tasks of a step are placed as a whole.
func (s *stepRun) isGroup() bool {
	return s.spec.SameRack || s.spec.Gang
}

// allotment is the decision on the waiting tasks of one step. It is valid for one call of Decide.
type allotment struct {
	rack heatherhub.Rack
	// isAnywhere means that the tasks are placed by their score.
	isAnywhere bool
	// near tasks have a place in the rack now, and waits tasks wait for one. The others start
	// elsewhere.
	near, waits, elsewhere int
	question               LocationWait
	deadline               time.Duration
	// What was done so far.
	startedNear, startedElsewhere, waiting int
}

// locationPlan has the decisions of one call of Decide. The engine uses it again for the next call,
// so that decisions on a long backlog allocate nothing.
type locationPlan struct {
	// candidates are the waiting steps.
	candidates []candidate
	allotments map[*stepRun]*allotment
	// allotmentStore has the values of allotments.
	allotmentStore []allotment
	places         map[location]*rackPlaces
	// wanting has the steps that want single places in a rack, once hasWanting is set.
	wanting    map[location][]*stepRun
	hasWanting bool
	bids       []bid
}

// bid is a step that wants places in a rack.
type bid struct {
	step     *stepRun
	question LocationWait
	// valueLost and loss are what the job loses elsewhere.
	valueLost float64
	loss      time.Duration
}

// beginLocationPlan prepares for the decisions of one call of Decide, if a waiting step prefers a
// rack.
func (e *Engine) beginLocationPlan(waiting []candidate) {
	if !slices.ContainsFunc(waiting, func(c candidate) bool { return c.step.prefersRack() }) {
		return
	}
	if e.locationScratch == nil {
		e.locationScratch = &locationPlan{
			allotments: make(map[*stepRun]*allotment), places: make(map[location]*rackPlaces), wanting: make(map[location][]*stepRun),
		}
	}
	e.locations = e.locationScratch
	e.locations.candidates = waiting
}

// endLocationPlan forgets the decisions of a call of Decide.
func (e *Engine) endLocationPlan() {
	p := e.locations
	if p == nil {
		return
	}
	e.locations = nil
	p.candidates, p.hasWanting = nil, false
	clear(p.allotments)
	clear(p.allotmentStore)
	clear(p.places)
	clear(p.bids)
	p.allotmentStore, p.bids = p.allotmentStore[:0], p.bids[:0]
	for at, steps := range p.wanting {
		if len(steps) == 0 {
			delete(p.wanting, at)
			continue
		}
		clear(steps)
		p.wanting[at] = steps[:0]
	}
}

// add stores the decision on a step.
func (p *locationPlan) add(s *stepRun, a allotment) *allotment {
	p.allotmentStore = append(p.allotmentStore, a)
	out := &p.allotmentStore[len(p.allotmentStore)-1]
	p.allotments[s] = out
	return out
}

// location is the workers of a pool in one rack.
type location struct {
	pool heatherhub.PoolID
	rack heatherhub.Rack
}

// locationWait returns the question for a step, without the expected time of a place.
func (e *Engine) locationWait(now Moment, s *stepRun) LocationWait {
	o := s.occ
	runTime := e.expectedDuration(s)
	q := LocationWait{
		Now: now.Steady, Since: now.Steady, RunTime: runTime, Rest: max(s.criticalPath-runTime, 0), Slowdown: e.slowdownOf(o.job),
		Objective: o.objective, ValueUntil: o.valueUntil,
	}
	switch {
	case s.wait.since > 0:
		q.Since = s.wait.since
	case s.mayHaveWaited:
		q.Since = min(o.from, now.Steady)
	}
	if !o.job.hasAttempt() {
		q.Limit = max(q.Since+maxLocationWait, 1)
	}
	return q
}

// allotmentOf returns the decision on a step that prefers a rack and could start a task on
// anyWorker, or nil if no worker of the shard is in its rack.
func (e *Engine) allotmentOf(now Moment, s *stepRun, anyWorker *node) *allotment {
	p := e.locations
	if p == nil {
		return nil
	}
	if a, ok := p.allotments[s]; ok {
		return a
	}
	if s.isGroup() {
		p.allotments[s] = e.allotGroup(now, s, anyWorker)
	} else {
		e.allotRack(now, location{s.occ.job.policy.Pool, s.spec.DataRack})
	}
	return p.allotments[s]
}

// stepsWanting returns the waiting steps that want single places at a location.
func (e *Engine) stepsWanting(at location) []*stepRun {
	p := e.locations
	if !p.hasWanting {
		p.hasWanting = true
		for _, c := range p.candidates {
			if s := c.step; s.prefersRack() && !s.isGroup() && len(s.pending) > 0 {
				key := location{s.occ.job.policy.Pool, s.spec.DataRack}
				p.wanting[key] = append(p.wanting[key], s)
			}
		}
	}
	return p.wanting[at]
}

// allotRack decides on all steps that want single places at a location. Those whose jobs lose the
// most elsewhere get the first places.
func (e *Engine) allotRack(now Moment, at location) {
	steps := e.stepsWanting(at)
	places := e.placesAt(now, at)
	if len(places.workers) == 0 {
		for _, s := range steps {
			e.locations.allotments[s] = nil
		}
		return
	}
	bids := e.locations.bids[:0]
	for _, s := range steps {
		q := e.locationWait(now, s)
		bids = append(bids, bid{s, q, q.valueLost(), q.Loss()})
	}
	e.locations.bids = bids
	slices.SortStableFunc(bids, func(a, b bid) int {
		return cmp.Or(
			cmp.Compare(b.valueLost, a.valueLost),
			cmp.Compare(a.step.occ.job.policy.Priority, b.step.occ.job.policy.Priority),
			cmp.Compare(b.loss, a.loss),
		)
	})
	budget := maxPlannedPlaces
	for _, b := range bids {
		a := e.locations.add(b.step, allotment{rack: at.rack, question: b.question, deadline: b.question.Deadline()})
		a.elsewhere = e.startableCount(now, b.step)
		if budget == 0 {
			continue
		}
		search := places.searchFor(e, now, b.step)
		for ; a.elsewhere > 0 && budget > 0; budget-- {
			found, ok := search.next()
			if !ok || !a.accept(found) {
				break
			}
			search.take(found)
			a.elsewhere--
		}
	}
}

// accept takes a place for the next task if it is free or worth a wait.
func (a *allotment) accept(found place) bool {
	if found.after == 0 {
		a.near++
		return true
	}
	q := a.question
	q.Free, q.Spread = found.after, found.spread
	if !q.Pays() {
		return false
	}
	a.question, a.deadline = q, q.Deadline()
	a.waits++
	return true
}

// allotGroup decides on the tasks of a step that belong in one rack: all get places in the rack
// where the last of them has one first, or they are placed by their score. Among equal racks that of
// the best worker is chosen.
func (e *Engine) allotGroup(now Moment, s *stepRun, anyWorker *node) *allotment {
	count := e.startableCount(now, s)
	var best *groupPlaces
	for _, rack := range e.groupRacks(s, anyWorker) {
		g := &groupPlaces{rack: rack, places: e.placesAt(now, location{s.occ.job.policy.Pool, rack}).clone()}
		if g.fill(e, now, s, count) && (best == nil || g.last.after < best.last.after) {
			best = g
		}
	}
	if best == nil {
		return nil
	}
	a := &allotment{rack: best.rack, question: e.locationWait(now, s)}
	a.question.Free, a.question.Spread = best.last.after, best.last.spread
	a.deadline = a.question.Deadline()
	if best.last.after > 0 && !a.question.Pays() {
		a.isAnywhere = true
		return a
	}
	e.locations.places[location{s.occ.job.policy.Pool, best.rack}] = best.places
	a.near, a.waits = best.free, count-best.free
	return a
}

// groupPlaces has the places for a whole group in one rack.
type groupPlaces struct {
	rack   heatherhub.Rack
	places *rackPlaces
	// free is the number of places that are free now, last the place that is free last.
	free int
	last place
}

// fill takes count places for tasks of a step. It reports false if there are fewer.
func (g *groupPlaces) fill(e *Engine, now Moment, s *stepRun, count int) bool {
	search := g.places.searchFor(e, now, s)
	for range count {
		found, ok := search.next()
		if !ok {
			return false
		}
		search.take(found)
		if found.after == 0 {
			g.free++
		}
		if found.after >= g.last.after {
			g.last = found
		}
	}
	return count > 0
}

// groupRacks returns the racks in which the tasks of a group may run together: that of the data,
// else the one that runs most of them, else all, that of anyWorker first.
func (e *Engine) groupRacks(s *stepRun, anyWorker *node) []heatherhub.Rack {
	if s.spec.DataRack != "" {
		return []heatherhub.Rack{s.spec.DataRack}
	}
	counts := make(map[heatherhub.Rack]int)
	var most heatherhub.Rack
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			rack := a.node.worker.Rack
			counts[rack]++
			if counts[rack] > counts[most] || (counts[rack] == counts[most] && rack < most) {
				most = rack
			}
		}
	}
	if len(counts) > 0 {
		return []heatherhub.Rack{most}
	}
	racks := e.Racks()
	if i := slices.Index(racks, anyWorker.worker.Rack); i > 0 {
		racks[0], racks[i] = racks[i], racks[0]
	}
	return racks
}

func (e *Engine) startableCount(now Moment, s *stepRun) int {
	n := 0
	for _, t := range s.pending {
		if e.isStartable(now.Steady, t) && !t.needsIsolation() {
			n++
		}
	}
	return n
}

// chooseLocated returns the worker for the next task of a step that prefers a rack, given that
// the task could start on anyWorker. It returns nil if the task does not start now.
func (e *Engine) chooseLocated(now Moment, s *stepRun, t *task, a *allotment, anyWorker *node) *node {
	switch {
	case a.isAnywhere:
		a.startedElsewhere++
		return anyWorker
	case a.near > 0:
		a.near--
		if n := e.chooseWorkerWhere(now, s, t, func(n *node) bool { return n.worker.Rack == a.rack }); n != nil {
			a.startedNear++
			return n
		}
		// The place has gone to another step, or does not suit this task.
		if now.Steady < a.deadline {
			a.waiting++
			return nil
		}
		a.startedElsewhere++
		return anyWorker
	case a.elsewhere > 0:
		a.elsewhere--
		n := e.chooseWorkerWhere(now, s, t, func(n *node) bool { return n.worker.Rack != a.rack })
		if n == nil {
			a.elsewhere = 0
			return nil
		}
		a.startedElsewhere++
		return n
	default:
		a.waiting += a.waits
		a.waits = 0
		return nil
	}
}

// isSettled reports whether no further task of the step may start now.
func (a *allotment) isSettled() bool {
	return a.near == 0 && a.elsewhere == 0 && a.waits == 0 && !a.isAnywhere
}

// placeLocatedGang starts a gang in its rack, or elsewhere if a wait does not pay. It reports false
// if the gang could not be placed for want of room.
func (e *Engine) placeLocatedGang(now Moment, s *stepRun, a *allotment) bool {
	inRack := func(n *node) bool { return n.worker.Rack == a.rack }
	if !a.isAnywhere && a.waits == 0 && e.placeGang(now, s, inRack) {
		a.startedNear = len(s.tasks)
		e.recordLocation(now, s, a)
		return true
	}
	placed, ok := e.tryGang(now, s, func(t *task) *node { return e.chooseWorker(now, s, t) })
	if !ok {
		return false
	}
	if !a.isAnywhere && now.Steady < a.deadline {
		e.undoGang(s, placed)
		a.waiting = len(s.tasks)
	} else {
		e.recordStarts(now, s, len(placed), placed[0].node.worker.ID)
		a.startedElsewhere = len(placed)
	}
	e.recordLocation(now, s, a)
	return true
}

// keepsWaiting reports whether all tasks of a step that waits for its rack go on waiting by a
// decision on the rack that was made for another step. It saves the search for a worker.
func (e *Engine) keepsWaiting(now Moment, s *stepRun) bool {
	if !s.wait.isOpen || e.locations == nil {
		return false
	}
	a := e.locations.allotments[s]
	if a == nil || a.isAnywhere || a.waits == 0 || a.near+a.elsewhere > 0 {
		return false
	}
	a.waiting, a.waits = a.waits, 0
	e.recordLocation(now, s, a)
	return true
}

// recordLocation updates the wait of a step after its tasks were placed. The allotment is nil if
// no decision was needed.
func (e *Engine) recordLocation(now Moment, s *stepRun, a *allotment) {
	if a == nil {
		return
	}
	w := &s.wait
	w.startedIn += a.startedNear
	if a.waiting > 0 && !w.isOpen {
		if w.since == 0 {
			w.since = a.question.Since
		}
		w.isOpen, w.rack, w.startedIn = true, a.rack, a.startedNear
		e.Stats.WaitsBegun++
		e.recordWait(now, EventWaitBegun, s, "rack full", a.waiting, a.question.Free, a.deadline-now.Steady)
	}
	w.deadline = a.deadline
	if a.waiting > 0 || !w.isOpen || a.startedNear+a.startedElsewhere == 0 {
		return
	}
	w.isOpen = false
	waited := now.Steady - w.since
	switch {
	case a.startedElsewhere == 0:
		e.Stats.WaitsPaid++
		gained := max(a.question.Loss()-waited, 0)
		e.recordWait(now, EventWaitPaid, s, "place free", w.startedIn, gained, 0)
	case now.Steady >= a.deadline:
		e.Stats.WaitsLost++
		e.recordWait(now, EventWaitLost, s, "deadline", a.startedElsewhere, 0, 0)
	default:
		e.Stats.WaitsLost++
		e.recordWait(now, EventWaitLost, s, "no longer pays", a.startedElsewhere, 0, 0)
	}
}

// recordWait records the beginning or the end of a wait of a step. The expected time and the time
// for which the wait pays apply to the beginning; the end has the gain in place of the first.
func (e *Engine) recordWait(now Moment, event Event, s *stepRun, reason string, count int, expectedOrGained, pays time.Duration) {
	record := EventRecord{
		Event: event, Job: s.occ.job.workflow.ID, Step: s.index, Count: count, Reason: reason, Rack: s.wait.rack,
		Waited: now.Steady - s.wait.since, Slack: s.occ.objective - now.Steady, WaitPays: pays,
	}
	if event == EventWaitBegun {
		record.WaitExpected = expectedOrGained
	} else {
		record.WaitGained = expectedOrGained
	}
	e.recordEvent(record)
}

// endWaits records the end of the waits of a job that is over or has moved away.
func (e *Engine) endWaits(now Moment, j *job, reason string) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.wait.isOpen {
				s.wait.isOpen = false
				e.Stats.WaitsLost++
				e.recordWait(now, EventWaitLost, s, reason, len(s.pending), 0, 0)
			}
		}
	}
}
