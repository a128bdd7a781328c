package owner

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
)

// staleEntryTime is how long an entry of an incarnation that has ended may stay in the store.
const staleEntryTime = 10 * time.Second

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

// endIncarnation drops the incarnation of a worker that has started again as next. err is the error
// of the poll that showed it, or nil if next has answered itself. The caller holds the term's mu.
func (w *workerLoop) endIncarnation(now dispatch.Moment, next heatherhub.WorkerID, err error) {
	t := w.term
	t.host.metrics.workerRestarts.Inc()
	t.log.Warn("worker restarted", zap.String("worker", string(w.id)), zap.String("next", string(next)),
		zap.Int("running", t.engine.OpenRuns(w.id)), zap.Int("unacknowledgedEnds", t.engine.UnacknowledgedEnds(w.id)),
		zap.Uint64("acknowledged", t.engine.Acknowledged(w.id)), zap.Duration("sinceAnswer", now.Steady-w.answeredAt), zap.Error(err))
	w.isGone, w.isUp = true, false
	t.engine.WorkerRestarted(now, w.id, now.Steady+dispatch.DefaultLateCallTime+t.host.longestLease())
	t.ended[w.id.Name()] = endedIncarnation{id: w.id, at: now.Steady}
	t.publishOnceResolved()
	t.dropWorker(w)
	signal(t.wakeCommit)
	signal(t.wakeDecide)
}
