package owner

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
)

// An owner that hands its shard over releases the workers: from then on it renews no lease. Its last
// list of workers says how long each lease may still last, and which tasks may run on workers that are
// silent, to which it sends no start any more. The next owner claims the shard after that write, so it
// counts these times from the answer to its claim; no clock is read by another host.
//
// An owner in between may have renewed leases without writing the list. So the list counts only if the
// watch of the owner keys shows that its writer was the last owner before.

// overdueAnswer is the time without an answer to a poll after which a worker counts as silent when the
// shard is handed over. Workers hold polls for pollWait at most.
const overdueAnswer = pollWait + 500*time.Millisecond

// minLeaseLeft is the recorded time of a lease that is over.
const minLeaseLeft = time.Millisecond

// maxHandedOverTasks bounds the tasks in a list that is handed over, and so its size to some hundred
// kilobytes.
const maxHandedOverTasks = 4000

// unbounded is a steady time after all others.
const unbounded = time.Duration(math.MaxInt64)

// releaseWorkers ends the renewal of all leases, and the starts on workers that are silent. The next list
// that is written has the leases. The caller holds t.mu.
func (t *term) releaseWorkers() {
	now := t.now().Steady
	t.isReleased = true
	for _, w := range t.workers {
		w.isAbandoned = w.isSilent.Load() || !w.isUp || now-w.answeredAt > overdueAnswer
		w.mu.Lock()
		w.isReleased = true
		w.mu.Unlock()
	}
	t.fleet.generation++
}

// addLeases adds to a list that is written at now how long the lease of each released worker may last,
// and what may run on those that are abandoned. The caller holds t.mu.
func (t *term) addLeases(list *record.Fleet, now time.Duration) {
	list.HandedOverBy = t.ownerRevision
	left := maxHandedOverTasks
	for i := range list.Workers {
		f := &list.Workers[i]
		w := t.workers[f.ID]
		if w == nil || f.IsUnused {
			continue
		}
		f.LeaseLeft = max(w.leaseExpiry()-now, minLeaseLeft)
		if !w.isAbandoned {
			// Starts that were decided before the release may still be sent.
			f.LeaseLeft = max(f.LeaseLeft, onSlowestClock(dispatch.MaxOrderAge+startValidity)+leaseSlack)
			continue
		}
		if f.IsClosed {
			continue
		}
		if tasks, isKnown := t.abandonedTasks(w); isKnown && len(tasks) <= left {
			f.Tasks, f.AreTasksKnown = tasks, true
			left -= len(tasks)
		}
	}
}

// abandonedTasks returns the tasks that may run on an abandoned worker, and whether they are known. The
// caller holds t.mu.
func (t *term) abandonedTasks(w *workerLoop) ([]heatherhub.StepTask, bool) {
	if w.isGone {
		return nil, true
	}
	if tasks, ok := t.engine.TasksOn(w.id); ok {
		return tasks, true
	}
	tasks, ok := t.fleet.inherited[w.id]
	return tasks, ok
}

// trustHandover applies what the list of the former owner says of leases, once it is known that no other owner was in between.
func (t *term) trustHandover() {
	former, seen := t.host.formerOwner(t.shard, t.ownerRevision)
	if former == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.handedOver
	t.handedOver = record.Fleet{}
	if list.WrittenBy == former {
		t.inheritGrants(&list, seen)
	}
	if list.HandedOverBy == former {
		t.inheritLeases(&list, t.startedAt)
	}
	signal(t.wakeDecide)
}

// inheritLeases applies a list that the former owner has handed over, or left behind, and had written by the steady time
// writtenBy. Workers that have answered keep what they have told. The caller holds t.mu.
func (t *term) inheritLeases(list *record.Fleet, writtenBy time.Duration) {
	narrowed := 0
	for _, f := range list.Workers {
		w := t.workers[f.ID]
		if w == nil || f.LeaseLeft <= 0 {
			continue
		}
		w.mu.Lock()
		w.inheritedUntil = min(w.inheritedUntil, writtenBy+onSlowestClock(f.LeaseLeft))
		hasAnswered := w.hasClock
		w.mu.Unlock()
		if f.AreTasksKnown && !hasAnswered {
			narrowed++
			t.fleet.inherited[f.ID] = f.Tasks
			t.engine.NarrowUnresolved(f.ID, f.Tasks)
		}
	}
	_, open, heldBack := t.engine.HeldBack()
	t.log.Info("leases inherited", zap.Int("workers", len(list.Workers)), zap.Int("listed", narrowed), zap.Int("open", open), zap.Int("heldBack", heldBack), zap.Duration("after", t.now().Steady-t.startedAt))
}

// claims are the revisions of the last two keys of a shard's owners, as the watch has told them. Zero
// means that none, or not all of them, are known.
type claims struct {
	former, last ledger.Revision
}

// forgetClaims forgets the owner keys of shards that a snapshot of the keys does not have: others may
// have followed unseen.
func (h *Host) forgetClaims(present map[heatherhub.ShardID]record.Owner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.claims {
		if _, ok := present[s]; !ok {
			delete(h.claims, s)
		}
	}
}

// recordClaim records an owner key of the watch. isNext says that no change before it was missed. If
// the key is this host's, its term may learn that it follows the writer of the list of workers.
func (h *Host) recordClaim(s heatherhub.ShardID, rev ledger.Revision, isNext bool) {
	h.mu.Lock()
	c := h.claims[s]
	h.sightings[s] = h.sightings[s].with(rev, h.cfg.Clock.Now().Steady)
	switch {
	case c.last == rev:
	case isNext:
		h.claims[s] = claims{former: c.last, last: rev}
	default:
		h.claims[s] = claims{last: rev}
	}
	t := h.terms[s]
	h.mu.Unlock()
	if t != nil && t.ownerRevision == rev {
		t.trustHandover()
	}
}

// formerOwner returns the revision of the last owner key of a shard before the one of revision rev, or
// zero if it is not known, as the watch may not have told yet, and the claims that were seen.
func (h *Host) formerOwner(s heatherhub.ShardID, rev ledger.Revision) (ledger.Revision, sightings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.claims[s]; c.last == rev {
		return c.former, slices.Clone(h.sightings[s])
	}
	return 0, nil
}
