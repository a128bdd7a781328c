package dispatch

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Preemption answers urgent jobs that find all room taken by batch work which can wait. A job of
// priority 0 that can still be in time, but would be late if it waited for runs to end by
// themselves, gets the room of tasks with a higher priority number that continue from a
// checkpoint. These are stopped only if the whole step then starts in time, those with the least
// unsaved work first, and no more than the step lacks. The room is reserved until the stop is
// confirmed. Fillers reserve memory only, so stopping them helps only where memory is short.
// Without such batch work, or if a stop takes longer than urgent jobs can wait, nothing is stopped.

const (
	// preemptStartTime is the time that the order to stop and the poll that shows the end take,
	// besides the stop itself. It is the part of drainStopTime beyond the stop.
	preemptStartTime = 300 * time.Millisecond
	// preemptInterval is the time between two searches for tasks to stop. Each looks at every run
	// of the shard, and urgent jobs wait for at least a stop.
	preemptInterval = 100 * time.Millisecond
	// maxPreemptors bounds the steps that a search looks at. Later ones are behind them in the order
	// as well, and the next search follows soon.
	maxPreemptors = 8
	// preemptPause is the time in which a task is stopped for others once at most.
	preemptPause = 10 * time.Second
)

// reservation is room on a worker for a task for which others are stopped there.
type reservation struct {
	task *task
	node *node
}

// victim is a run that may be stopped, and the work that it would repeat.
type victim struct {
	attempt *attempt
	unsaved time.Duration
}

// option is a worker on which runs may be stopped for a task.
type option struct {
	node *node
	// room is what the worker has free once the runs that were chosen for other tasks are over,
	// and left has the runs that may still be stopped.
	room heatherhub.Resources
	left []victim
	// chosen makes room for the next task if isEnough, and lost is the work that this costs.
	chosen   []victim
	isEnough bool
	lost     time.Duration
}

// preemption is the decision to stop runs on one worker for a task.
type preemption struct {
	reservation
	victims []victim
}

// preempt stops runs for waiting steps, which are in the order in which they are placed.
func (e *Engine) preempt(now Moment, waiting []candidate) {
	if now.Steady-e.preemptedAt < preemptInterval {
		return
	}
	p := preemptor{e: e, now: now, readyAt: now.Steady + e.cfg.StopTime + preemptStartTime}
	served := 0
	for _, c := range waiting {
		if served == maxPreemptors {
			break
		}
		if c.urgency != inTime || !e.mayPreempt(c.step) {
			continue
		}
		if !p.hasVictims() {
			break
		}
		p.serve(c.step, c.latestStart)
		served++
	}
	if p.isSearched {
		e.preemptedAt = now.Steady
	}
}

// mayPreempt reports whether runs may be stopped for a step.
func (e *Engine) mayPreempt(s *stepRun) bool {
	return s.occ.job.policy.Priority == 0 && s.reservesForAWhile() && !s.spec.Gang && len(s.pending) > 0
}

// preemptor is the state of one search.
type preemptor struct {
	e   *Engine
	now Moment
	// readyAt is the time at which the room of a run that is stopped now can be used.
	readyAt time.Duration
	// byNode has the runs that may be stopped, those with the least unsaved work first.
	byNode     map[*node][]victim
	isSearched bool
	// claimed is the room that steps before in the order get, free now or from runs that end by
	// themselves. awaited has the runs whose ends it needs.
	claimed map[*node]heatherhub.Resources
	awaited map[*attempt]struct{}
}

// hasVictims reports whether any run may be stopped.
func (p *preemptor) hasVictims() bool {
	if p.isSearched {
		return len(p.byNode) > 0
	}
	p.isSearched = true
	p.byNode, p.claimed, p.awaited = make(map[*node][]victim), make(map[*node]heatherhub.Resources), make(map[*attempt]struct{})
	for _, n := range p.e.sortedNodes {
		if !n.acceptsTasks(p.now.Steady) {
			continue
		}
		var out []victim
		for _, a := range n.attemptsByRun() {
			if p.e.isPreemptible(p.now.Steady, a) && !p.e.endsBefore(p.now.Steady, a, p.readyAt) {
				out = append(out, victim{attempt: a, unsaved: p.e.unsavedWork(a)})
			}
		}
		if len(out) > 0 {
			slices.SortStableFunc(out, func(a, b victim) int { return cmp.Compare(a.unsaved, b.unsaved) })
			p.byNode[n] = out
		}
	}
	return len(p.byNode) > 0
}

// serve stops runs for the tasks of a step that would start after its latest start, if that lets
// the whole step start in time.
func (p *preemptor) serve(s *stepRun, latestStart time.Duration) {
	var tasks []*task
	for _, t := range s.pending {
		if p.e.isStartable(p.now.Steady, t) && !t.needsIsolation() && !p.e.isReserved(t) {
			tasks = append(tasks, t)
		}
	}
	lacking := len(tasks) - p.claim(s, len(tasks), latestStart-drainReportTime)
	if lacking <= 0 || p.readyAt > latestStart {
		return
	}
	plan := p.plan(s, tasks[len(tasks)-lacking:])
	for _, next := range plan {
		p.carryOut(next, latestStart)
	}
}

// claim counts the tasks of a step that get room by a limit from runs that end by themselves, up
// to count, and keeps that room from later steps.
func (p *preemptor) claim(s *stepRun, count int, limit time.Duration) int {
	got := 0
	for _, n := range p.e.sortedNodes {
		if got == count {
			break
		}
		if !p.accepts(n, s) {
			continue
		}
		room, before := n.free().Sub(p.claimed[n]), got
		var ending []*attempt
		for _, a := range n.attemptsByRun() {
			if a.stop == noStop && p.e.endsBefore(p.now.Steady, a, limit) {
				room = room.Add(a.task.step.need)
				ending = append(ending, a)
			}
		}
		for got < count && s.need.Fits(room) {
			room = room.Sub(s.need)
			p.claimed[n] = p.claimed[n].Add(s.need)
			got++
		}
		if got > before && !p.claimed[n].Fits(n.free()) {
			for _, a := range ending {
				p.awaited[a] = struct{}{}
			}
		}
	}
	return got
}

// unclaimed returns the free room of a worker that no step before in the order gets. It is none if
// such a step also needs the ends of runs there.
func (p *preemptor) unclaimed(n *node) heatherhub.Resources {
	free, claimed := n.free(), p.claimed[n]
	if claimed.IsZero() || claimed.Fits(free) {
		return free.Sub(claimed)
	}
	return heatherhub.Resources{CPU: min(free.CPU, 0), Memory: min(free.Memory, 0), Accelerators: min(free.Accelerators, 0)}
}

// accepts reports whether a worker may run tasks of a step, without regard to its room.
func (p *preemptor) accepts(n *node, s *stepRun) bool {
	switch {
	case !n.acceptsTasks(p.now.Steady), n.worker.Pool != s.occ.job.policy.Pool, p.e.isSlow(p.now.Steady, n):
		return false
	case s.isAtLimitOn(n):
		return false
	default:
		return s.spec.RequiredLabel == "" || n.worker.HasLabel(s.spec.RequiredLabel)
	}
}

// plan finds for each task the worker on which the least work is lost by making room for it. It
// returns nil if there is not enough room for all.
func (p *preemptor) plan(s *stepRun, tasks []*task) []preemption {
	var options []*option
	for _, n := range p.e.sortedNodes {
		if len(p.byNode[n]) == 0 || !p.accepts(n, s) {
			continue
		}
		o := &option{node: n, room: p.unclaimed(n)}
		for _, v := range p.byNode[n] {
			if _, isAwaited := p.awaited[v.attempt]; !isAwaited && p.canWait(s, v) {
				o.left = append(o.left, v)
			}
		}
		p.choose(o, s)
		options = append(options, o)
	}
	var out []preemption
	for _, t := range tasks {
		var best *option
		for _, o := range options {
			isAvoided := t.avoidWorker == o.node.worker.ID && p.now.Steady < t.avoidUntil
			if o.isEnough && !isAvoided && (best == nil || o.lost < best.lost) {
				best = o
			}
		}
		if best == nil {
			return nil
		}
		out = append(out, preemption{reservation: reservation{task: t, node: best.node}, victims: best.chosen})
		best.take(s)
		p.choose(best, s)
	}
	return out
}

// take moves the chosen runs out of those that may be stopped, and gives their room to a task of s.
func (o *option) take(s *stepRun) {
	chosen := o.chosen
	for _, v := range chosen {
		o.room = o.room.Add(v.attempt.task.step.need)
	}
	o.room = o.room.Sub(s.need)
	o.left = slices.DeleteFunc(o.left, func(v victim) bool { return slices.Contains(chosen, v) })
	if s.spec.MaxPerWorker > 0 {
		// Only tasks that have started are counted, so a decision adds one at most.
		o.room, o.left = heatherhub.Resources{}, nil
	}
}

// choose sets the runs of an option that make room for the next task of a step: those with the
// least unsaved work, and none that is not needed.
func (p *preemptor) choose(o *option, s *stepRun) {
	o.chosen, o.lost = nil, 0
	room := o.room
	for _, v := range o.left {
		if s.need.Fits(room) {
			break
		}
		if need := v.attempt.task.step.need; contributes(need, s.need.Sub(room)) {
			o.chosen = append(o.chosen, v)
			room = room.Add(need)
		}
	}
	o.isEnough = s.need.Fits(room)
	if !o.isEnough {
		return
	}
	// A later run may make an earlier one unnecessary.
	for i := len(o.chosen) - 1; i >= 0; i-- {
		if without := room.Sub(o.chosen[i].attempt.task.step.need); s.need.Fits(without) {
			room = without
			o.chosen = slices.Delete(o.chosen, i, i+1)
		}
	}
	for _, v := range o.chosen {
		o.lost += v.unsaved + p.e.cfg.RestoreTime
	}
}

// contributes reports whether a need has any of the resources that are short.
func contributes(need, short heatherhub.Resources) bool {
	return need.CPU > 0 && short.CPU > 0 || need.Memory > 0 && short.Memory > 0 || need.Accelerators > 0 && short.Accelerators > 0
}

// canWait reports whether a run that is stopped for a step keeps the value of its job: it gets room
// again when the step's tasks end, and then restores its checkpoint.
func (p *preemptor) canWait(s *stepRun, v victim) bool {
	o, left := v.attempt.task.step.occ, p.e.chainLeft(v.attempt)
	delay := p.readyAt - p.now.Steady + p.e.expectedDuration(s) + p.e.cfg.RestoreTime + v.unsaved
	return o.urgencyAt(p.now.Steady+left) == o.urgencyAt(p.now.Steady+left+delay)
}

// chainLeft returns the expected time until the chain of steps ends that begins with a run's step.
func (e *Engine) chainLeft(a *attempt) time.Duration {
	s := a.task.step
	return s.criticalPath - e.workAt(s, a.progress)
}

// urgencyAt returns what an occurrence is worth that ends at the given time.
func (o *occurrence) urgencyAt(end time.Duration) urgency {
	switch {
	case end <= o.objective:
		return inTime
	case end <= o.valueUntil:
		return late
	default:
		return noValue
	}
}

// isPreemptible reports whether a run may be stopped for others.
func (e *Engine) isPreemptible(now time.Duration, a *attempt) bool {
	t, s := a.task, a.task.step
	switch {
	case a.state != running || a.stop != noStop || a.isIsolated || t.isDone:
		return false
	case s.occ.job.policy.Priority <= 0 || !s.spec.Checkpoints || s.spec.LongRunning || s.spec.Gang:
		return false
	case t.preemptedAt > 0 && now-t.preemptedAt < preemptPause:
		return false
	default:
		// A step with a limit of unavailable tasks keeps all of them.
		return s.spec.MaxUnavailable == 0
	}
}

// unsavedWork returns the work of a run since its last checkpoint. Of a checkpoint whose progress is
// not known, as after a change of owner, an interval is assumed.
func (e *Engine) unsavedWork(a *attempt) time.Duration {
	s := a.task.step
	if a.checkpoint != "" && !a.isCheckpointSeen {
		return min(e.workAt(s, a.progress), e.cfg.CheckpointInterval)
	}
	return e.workAt(s, a.progress-a.checkpointProgress)
}

// carryOut orders the stops of a preemption and reserves the room.
func (p *preemptor) carryOut(c preemption, latestStart time.Duration) {
	e, need := p.e, c.task.step.need
	for _, v := range c.victims {
		a := v.attempt
		a.stop, a.stopSince, a.task.preemptedAt = stopSent, p.now.Steady, p.now.Steady
		e.orders = append(e.orders, Order{Worker: c.node.worker.ID, Kind: StopTask, Task: a.task.id(), Run: a.run})
		e.Stats.Preempted++
		e.Stats.PreemptedWork += v.unsaved
		record := newTaskEvent(EventRunPreempted, a, "room for priority 0")
		record.For, record.Lost, record.Slack = c.task.step.occ.job.workflow.ID, v.unsaved, latestStart-p.now.Steady
		e.recordEvent(record)
		p.byNode[c.node] = slices.DeleteFunc(p.byNode[c.node], func(o victim) bool { return o == v })
	}
	c.node.reserved = c.node.reserved.Add(need)
	e.reservations = append(e.reservations, c.reservation)
}

// isReserved reports whether room is reserved for a task.
func (e *Engine) isReserved(t *task) bool {
	return slices.ContainsFunc(e.reservations, func(r reservation) bool { return r.task == t })
}

// hasReservation reports whether room is reserved for a task of a job.
func (e *Engine) hasReservation(j *job) bool {
	return slices.ContainsFunc(e.reservations, func(r reservation) bool { return r.task.step.occ.job == j })
}

// startReserved starts the tasks whose reserved room is free. It gives up the room of tasks that have
// started elsewhere or can no longer be in time, and room on workers that get no more starts.
func (e *Engine) startReserved(now Moment) {
	e.reservations = slices.DeleteFunc(e.reservations, func(r reservation) bool {
		t, n := r.task, r.node
		j := t.step.occ.job
		isWanted := e.jobs[j.workflow.ID] == j && !j.isOver() && t.isPending && !t.isRemote && urgencyOf(now.Steady, t.step) == inTime
		if !isWanted || e.nodes[n.worker.ID] != n || n.isWithdrawn(now.Steady) {
			n.reserved = n.reserved.Sub(t.step.need)
			return true
		}
		if e.isRoomStale || e.isAtStartLimit() || !e.isStartable(now.Steady, t) {
			return false
		}
		// Room that is reserved for others is not counted here, as the runs that are stopped for
		// them may still hold it.
		all := n.reserved
		n.reserved = heatherhub.Resources{}
		isFree := e.isEligible(now, n, t.step, t)
		n.reserved = all
		if !isFree {
			return false
		}
		n.reserved = n.reserved.Sub(t.step.need)
		e.nextRun++
		e.start(now, t, n, e.nextRun)
		e.recordStarts(now, t.step, 1, n.worker.ID)
		return true
	})
}
