package owner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
)

// The store has each start, as this owner may end before the start is answered, and the next incarnation of the worker may
// carry it out. While the store answers, a start is sent together with its announcement: waiting for it would leave room idle
// for each start. Once an announcement has been without an answer for longestUnannounced, or has failed, starts wait for the store.
// The starts that are decided while a write is under way go into the next one. Commits of progress carry the list as well, since
// the store charges for each call.

// Timing of the announcements.
const (
	// maxUnannounced is how long starts are sent while the store has not confirmed that it has the first of them, for a store
	// that answers at once, and maxUnannouncedSlow the same for one that is slow.
	maxUnannounced     = 50 * time.Millisecond
	maxUnannouncedSlow = time.Second
	// announceInterval is the time from one write of the list alone to the next, on average, and announceBurst the number of
	// writes that may follow one another without it. A start that is not answered in the time of a write waits for neither.
	announceInterval = commitBatchDelay
	announceBurst    = 4
	// announceRetryDelay is the pause after a write that failed.
	announceRetryDelay = 50 * time.Millisecond
	// withdrawDelay is how long after the last write the starts that have been answered are withdrawn. A next owner
	// would hold them back.
	withdrawDelay = 250 * time.Millisecond
)

// announcer is the state of the announcements of a term. The term's mu guards it.
type announcer struct {
	// waiting has the start orders that are not announced yet.
	waiting []timedOrder
	// underWay has those that the write under way announces.
	underWay []timedOrder
	// decidedAt is the steady time of the first decision of a start that no write announces yet, and writtenFor the same for the
	// write under way. Zero means that there is none.
	decidedAt, writtenFor time.Duration
	// isAnswered says that the last write was confirmed, and writtenAt when it began. writeTime is the time of the last
	// confirmed one.
	isAnswered           bool
	writtenAt, writeTime time.Duration
	// restsUntil is the time at which the next write of the list alone is due, for the average rate of announceInterval.
	restsUntil time.Duration
	// revision is that of the stored list, and announced the number of starts in it.
	revision  ledger.Revision
	announced int
	// certain has the starts that are in each list which the store may have.
	certain map[startKey]struct{}
}

// startKey is an announced start without its time.
type startKey dispatch.AnnouncedStart

func keyOf(s dispatch.AnnouncedStart) startKey {
	s.Start.At = time.Time{}
	return startKey(s)
}

// keysOf returns the starts of a list.
func keysOf(list record.Starts) map[startKey]struct{} {
	keys := make(map[startKey]struct{}, len(list.Starts))
	for _, s := range list.Starts {
		keys[keyOf(s)] = struct{}{}
	}
	return keys
}

// unannounced returns the workers with a start that a next owner may not know of, although it may be carried out. The caller
// holds t.mu.
func (t *term) unannounced() map[heatherhub.WorkerName]struct{} {
	workers := make(map[heatherhub.WorkerName]struct{})
	for _, s := range t.engine.StartsNotRecorded(t.now()) {
		if _, ok := t.announcer.certain[keyOf(s)]; !ok {
			workers[s.Start.Worker.Name()] = struct{}{}
		}
	}
	return workers
}

// announceStart has a start order announced, and sends it at once if the store answers. The caller holds t.mu.
func (t *term) announceStart(o timedOrder) {
	a := &t.announcer
	signal(t.wakeAnnounce)
	if a.decidedAt == 0 {
		a.decidedAt = o.decidedAt
	}
	since := a.decidedAt
	if a.writtenFor > 0 {
		since = a.writtenFor
	}
	if a.isAnswered && len(a.waiting)+len(a.underWay) == 0 && o.decidedAt-since <= a.longestUnannounced() {
		t.passOn([]timedOrder{o})
		return
	}
	a.waiting = append(a.waiting, o)
}

// longestUnannounced returns how long starts are sent while the store has not confirmed that it has the first of them. A store that is
// slow, but answers, has it after the write under way and the next one.
func (a *announcer) longestUnannounced() time.Duration {
	return min(maxUnannounced+2*a.writeTime, maxUnannouncedSlow)
}

// announceLoop announces start orders that no commit announces in time, and hands them to the loops of their workers.
func (t *term) announceLoop() {
	for t.ctx.Err() == nil {
		if wait := t.untilAnnouncement(); wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-t.ctx.Done():
			case <-t.wakeAnnounce:
			case <-timer.C:
			}
			timer.Stop()
			continue
		}
		if !t.announce(t.ctx) {
			ledger.Sleep(t.ctx, announceRetryDelay)
		}
	}
}

// untilAnnouncement returns how long the next write has time; it is due if that is zero or less. It is at once if a start waits
// for it.
func (t *term) untilAnnouncement() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, now := &t.announcer, t.now()
	if len(a.waiting) > 0 {
		return 0
	}
	wait := withdrawDelay
	if a.decidedAt > 0 {
		due := a.restsUntil
		if !a.isAnswered {
			// The last write may have been the first one with the start.
			due = now.Steady
		}
		if sentAt, ok := t.engine.UnansweredSince(now.Steady, a.writtenAt); ok {
			due = min(due, sentAt+a.writeTime)
		}
		switch {
		case due > now.Steady:
			wait = due - now.Steady
		case t.hasUnannounced(now):
			return 0
		default:
			a.decidedAt = 0
		}
	}
	if now.Steady >= a.writtenAt+withdrawDelay && a.announced > 0 && len(t.engine.StartsToAnnounce(now)) < a.announced {
		return 0
	}
	return wait
}

// hasUnannounced reports whether a start that may be carried out is in no list which the store has for certain. The caller holds
// t.mu.
func (t *term) hasUnannounced(now dispatch.Moment) bool {
	return slices.ContainsFunc(t.engine.StartsToAnnounce(now), func(s dispatch.AnnouncedStart) bool {
		_, ok := t.announcer.certain[keyOf(s)]
		return !ok
	})
}

// announce writes the list of starts. It reports whether the list is written.
func (t *term) announce(ctx context.Context) bool {
	if !acquire(ctx, t.announceSem) {
		return false
	}
	defer release(t.announceSem)
	w := t.beginAnnouncement()
	t.mu.Lock()
	// Writes for starts without an answer come more often than that, and defer no later one by more than the interval.
	t.announcer.restsUntil = min(max(t.announcer.restsUntil, w.sentAt-announceBurst*announceInterval), w.sentAt) + announceInterval
	t.mu.Unlock()
	rev, err := t.writeStarts(ctx, w)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.confirmOwnership(w.sentAt)
	}
	t.endAnnouncement(w, rev, err)
	return err == nil
}

// announcement is a write that announces starts.
type announcement struct {
	list     record.Starts
	revision ledger.Revision
	sentAt   time.Duration
	// keys has the starts of the list.
	keys map[startKey]struct{}
	// isCarried means that a commit of progress has the list.
	isCarried bool
}

// beginAnnouncement begins a write of the starts that may be carried out. The caller holds announceSem.
func (t *term) beginAnnouncement() announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, a := t.now(), &t.announcer
	a.underWay, a.waiting = a.waiting, nil
	a.writtenFor, a.decidedAt, a.writtenAt = a.decidedAt, 0, now.Steady
	w := announcement{list: record.Starts{Starts: t.engine.StartsToAnnounce(now)}, revision: a.revision, sentAt: now.Steady}
	t.engine.AnnouncementSent(w.list.Starts)
	w.keys = keysOf(w.list)
	maps.DeleteFunc(a.certain, func(k startKey, _ struct{}) bool { _, ok := w.keys[k]; return !ok })
	return w
}

// carryStarts adds the list of starts to a commit, unless another write has it. It reports whether endCarried has to be called
// with the result.
func (t *term) carryStarts(txn *ledger.Txn) (announcement, bool) {
	select {
	case t.announceSem <- struct{}{}:
	default:
		return announcement{}, false
	}
	w := t.beginAnnouncement()
	w.isCarried = true
	put, err := t.startsPut(w)
	if err != nil {
		t.endCarried(w, 0, err)
		return announcement{}, false
	}
	if len(w.list.Starts) > 0 || t.hasAnnounced() {
		txn.Preconditions = append(txn.Preconditions, ledger.Precondition{Key: put.Key, Revision: w.revision})
		txn.Puts = append(txn.Puts, put)
	}
	return w, true
}

// endCarried records the result of a commit that has the list of starts.
func (t *term) endCarried(w announcement, rev ledger.Revision, err error) {
	defer release(t.announceSem)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endAnnouncement(w, rev, err)
}

// endAnnouncement records the result of a write, and then passes on the orders that waited for it. If the write has failed, they
// wait for the next one, for as long as they may be sent. The caller holds t.mu.
func (t *term) endAnnouncement(w announcement, rev ledger.Revision, err error) {
	now, a := t.now(), &t.announcer
	orders, writtenFor := a.underWay, a.writtenFor
	isListed := len(w.list.Starts) > 0 || a.announced > 0 || !w.isCarried
	a.underWay, a.writtenFor, a.isAnswered = nil, 0, err == nil
	if !w.isCarried {
		t.host.metrics.recordAnnouncement(err, now.Steady-w.sentAt)
	}
	if err == nil {
		a.writeTime = now.Steady - w.sentAt
		t.host.metrics.heldStarts.Add(float64(len(orders)))
		if isListed {
			a.revision, a.announced = rev, len(w.list.Starts)
		}
		a.certain = w.keys
		t.engine.AnnouncementStored(w.list.Starts)
		t.passOn(orders)
		return
	}
	if writtenFor > 0 {
		a.decidedAt = writtenFor
	}
	// The store may have the list all the same.
	a.announced = max(a.announced, len(w.list.Starts))
	if isListed {
		t.log.Warn("starts not announced", zap.Int("starts", len(w.list.Starts)), zap.Int("waiting", len(orders)), zap.Error(err))
	}
	var c *ledger.ConflictError
	if errors.As(err, &c) {
		if c.Find(record.OwnerKey(t.shard)).Revision != t.ownerRevision {
			t.end("another owner has the shard")
		}
		if isListed {
			a.revision = c.Find(record.StartsKey(t.shard)).Revision
		}
	}
	a.waiting = append(t.dropOutdated(now, orders), a.waiting...)
	signal(t.wakeAnnounce)
}

// hasAnnounced reports whether the stored list has starts.
func (t *term) hasAnnounced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.announcer.announced > 0
}

// startsPut returns the put of the list of starts.
func (t *term) startsPut(w announcement) (ledger.Put, error) {
	value, err := record.Encode(w.list)
	return ledger.Put{Key: record.StartsKey(t.shard), Value: value}, err
}

// writeStarts writes the list of starts over the one that was written last.
func (t *term) writeStarts(ctx context.Context, w announcement) (ledger.Revision, error) {
	put, err := t.startsPut(w)
	if err != nil {
		return 0, err
	}
	return t.host.cfg.Store.Commit(ctx, ledger.Txn{
		Preconditions: []ledger.Precondition{t.ownerCondition(), {Key: put.Key, Revision: w.revision}},
		Puts:          []ledger.Put{put},
	})
}

// passOn queues announced orders for their workers. The caller holds t.mu.
func (t *term) passOn(orders []timedOrder) {
	for _, o := range orders {
		if w := t.workers[o.Worker]; w != nil {
			w.enqueue(o)
		}
	}
}

// dropOutdated returns the orders that may still be sent, and tells the engine of the others. The caller holds t.mu.
func (t *term) dropOutdated(now dispatch.Moment, orders []timedOrder) []timedOrder {
	kept := orders[:0]
	for _, o := range orders {
		if now.Steady-o.decidedAt <= dispatch.MaxOrderAge {
			kept = append(kept, o)
			continue
		}
		t.engine.OrderResult(now, o.Order, dispatch.Outdated)
		signal(t.wakeDecide)
	}
	return kept
}

// dropUnannounced withdraws the start orders to the chosen workers that are not announced yet. The caller holds t.mu.
func (t *term) dropUnannounced(now dispatch.Moment, isChosen func(heatherhub.WorkerID) bool) {
	for _, orders := range []*[]timedOrder{&t.announcer.underWay, &t.announcer.waiting} {
		*orders = slices.DeleteFunc(*orders, func(o timedOrder) bool {
			if !isChosen(o.Worker) {
				return false
			}
			t.engine.OrderResult(now, o.Order, dispatch.Withdrawn)
			return true
		})
	}
}
