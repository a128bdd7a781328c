package owner

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

// staleEntryTime is how long an entry of an incarnation that has ended may stay in the store.
const staleEntryTime = 10 * time.Second

// A worker of which maxQuickEnds incarnations in a row have ended by their clocks, each within quickLife, joins after a delay of
// a second at first, and of twice as long after each further end.
const (
	maxQuickEnds = 3
	quickLife    = 10 * time.Second
	maxJoinDelay = 30 * time.Second
)

// endedIncarnation is an incarnation of a worker that has ended, at a steady time.
type endedIncarnation struct {
	id heatherhub.WorkerID
	at time.Duration
}

// hasEnded reports whether an entry names an incarnation that has ended: the entry is stale. The
// caller holds t.mu.
func (t *term) hasEnded(id heatherhub.WorkerID) bool {
	e, ok := t.ended[id.Name()]
	return ok && e.id == id && t.now().Steady-e.at < staleEntryTime
}

// hasNextIncarnation reports whether this term has polled another incarnation of the worker with
// a higher token.
func (w *workerLoop) hasNextIncarnation() bool {
	t := w.term
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, other := range t.incarnations[w.id.Name()] {
		if other.token > w.token {
			return true
		}
	}
	return false
}

// endFormerIncarnations ends the other incarnations of a worker that has answered a poll which was
// sent at sentAt. They follow one another, so those that were known before have ended. The caller
// holds t.mu.
func (t *term) endFormerIncarnations(now dispatch.Moment, w *workerLoop, sentAt time.Duration) {
	others := t.incarnations[w.id.Name()]
	if len(others) == 1 {
		return
	}
	for _, other := range slices.Clone(others) {
		if other != w && max(other.answeredAt, other.createdAt) < sentAt {
			t.fenceFormer(other.id, now.Steady)
			other.endIncarnation(now, w.id, nil)
		}
	}
}

// longestLease returns the longest time, on the host's clock, for which a worker runs tasks without a
// renewal.
func (h *Host) longestLease() time.Duration {
	return onSlowestClock(h.cfg.MaxWorkerLease) + leaseSlack
}

// endIfClockWentBack ends the incarnation of a worker that states none if another one has answered a poll that was sent at
// sentAt, and reports whether it did. The clock of the other one has begun at zero, and it lists no run that the
// former one has taken, and no end of one; a clock that is set back in the same incarnation is only read anew.
func (w *workerLoop) endIfClockWentBack(now dispatch.Moment, sentAt time.Duration, r *agent.Report) bool {
	if _, ok := w.id.Incarnation(); ok || r.Clock >= w.leastClock(sentAt) {
		return false
	}
	t := w.term
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.ctx.Err() != nil {
		return true
	}
	if t.engine.ListsTakenRun(w.id, r) {
		return false
	}
	t.fenceFormer(w.id, now.Steady)
	t.recordAnswer(w.id)
	w.endIncarnation(now, w.id, agent.CheckClock(w.id, r, w.leastClock(sentAt)))
	delete(t.fleet.closed, w.id)
	entry, isListed := w.entry, w.isListed
	if w.hasDrained {
		// The former incarnation has announced that it leaves. This one works on once an entry does not say so.
		isListed = isListed && !w.isEntryDraining
		entry.Draining = !isListed
	}
	t.startWorker(entry, isListed, w.quickEndsBy(now.Steady))
	t.workers[w.id].seedClock(now.Steady, sentAt, r.Clock)
	t.rewriteFleet()
	return true
}

// withdrawQueued takes back the starts that were not sent. The caller holds the term's mu.
func (w *workerLoop) withdrawQueued(now dispatch.Moment) {
	w.term.dropUnannounced(now, func(id heatherhub.WorkerID) bool { return id == w.id })
	w.mu.Lock()
	queued := w.queue
	w.queue = nil
	w.mu.Unlock()
	for _, o := range queued {
		if o.Kind == dispatch.StartTask {
			w.term.engine.OrderResult(now, o.Order, dispatch.Withdrawn)
		}
	}
}

// quickEndsBy returns quickEnds for the incarnation that follows one which has ended by its clock at now.
func (w *workerLoop) quickEndsBy(now time.Duration) int {
	if now-w.createdAt < quickLife+w.joinDelay {
		return w.quickEnds + 1
	}
	return 1
}

// joinDelayAfter returns joinDelay for an incarnation that follows n quick ends of others.
func joinDelayAfter(n int) time.Duration {
	if n < maxQuickEnds {
		return 0
	}
	return min(time.Second<<min(n-maxQuickEnds, 10), maxJoinDelay)
}

// longestLeaseNoteInterval is the interval at which the list of workers is written to no longer say of some that they may hold
// the longest lease.
const longestLeaseNoteInterval = 2 * time.Second

// noteLongestLease has the list of workers written if it does not say yet that a worker may hold the longest lease, and
// once it no longer does. The caller holds w.mu.
func (t *term) noteLongestLease(w *workerLoop) {
	untilNote := w.longestUntil - t.startedAt
	untilNote += longestLeaseNoteInterval - untilNote%longestLeaseNoteInterval
	write := func(isNeeded func() bool) func() {
		return func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			if w.ctx.Err() == nil && isNeeded() {
				t.rewriteFleet()
			}
		}
	}
	time.AfterFunc(0, write(func() bool { return t.fleet.isUsed(w.id) }))
	time.AfterFunc(t.startedAt+untilNote-t.now().Steady, write(func() bool { return true }))
}

// youngAge returns the age up to which runs of an incarnation may go on by calls that were meant for a former one.
func (h *Host) youngAge() time.Duration {
	return dispatch.DefaultLateCallTime + h.longestLease() + maxWallClockError
}

// endIncarnation drops the incarnation of a worker that has started again as next, which is the same ID if the worker states
// no incarnation. err is the error of the poll that showed it, or nil if next has answered itself. The caller holds the term's mu.
func (w *workerLoop) endIncarnation(now dispatch.Moment, next heatherhub.WorkerID, err error) {
	t := w.term
	t.host.metrics.workerRestarts.Inc()
	t.log.Warn("worker restarted", zap.String("worker", string(w.id)), zap.String("next", string(next)),
		zap.Int("running", t.engine.OpenRuns(w.id)), zap.Int("unacknowledgedEnds", t.engine.UnacknowledgedEnds(w.id)),
		zap.Uint64("acknowledged", t.engine.Acknowledged(w.id)), zap.Duration("sinceAnswer", now.Steady-w.answeredAt), zap.Error(err))
	w.isGone, w.isUp = true, false
	w.withdrawQueued(now)
	t.engine.WorkerRestarted(now, w.id, next, now.Steady+dispatch.DefaultLateCallTime+t.host.longestLease())
	if next != w.id {
		t.ended[w.id.Name()] = endedIncarnation{id: w.id, at: now.Steady}
	}
	t.publishOnceResolved()
	t.dropWorker(w)
	signal(t.wakeCommit)
	signal(t.wakeDecide)
}
