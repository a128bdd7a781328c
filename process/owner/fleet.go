package owner

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/record"
)

// fleet is the durable list of workers on which tasks of the shard may run. A worker is
// written to it before its first task starts, so that a later owner knows which workers
// to poll, or to wait for if they cannot be reached.
type fleet struct {
	// workers holds the address of each worker.
	workers map[heatherhub.WorkerID]string
	// tokens holds, for the workers of the stored list, the token of their orders: that of the
	// term for inherited ones, and else the revision of the write that added the worker. So an
	// incarnation refuses all orders that were sent to former ones before it joined, and any
	// later owner has a higher token.
	tokens map[heatherhub.WorkerID]agent.Token
	// restarted holds workers that were lost, and stay in the list until the next incarnation has told
	// what it runs, or until the progress of the jobs says what may run there.
	restarted map[heatherhub.WorkerID]struct{}
	// reached holds the workers that have answered an owner, and used those of them of which the
	// stored list says so. A task starts only on a used worker, so the next owner waits for no
	// other.
	reached, used members
	// since holds the generation from which on a list tells of the present life of a worker. An older one that is still
	// under way may have closed the worker for a former life.
	since map[heatherhub.WorkerID]uint64
	// closed holds, for workers that leave, the tasks that may run there according to the
	// record of the previous owner.
	closed map[heatherhub.WorkerID][]heatherhub.StepTask
	// inherited holds, for workers that have not answered this owner, the tasks that may run there
	// according to a former owner that has handed the shard over.
	inherited map[heatherhub.WorkerID][]heatherhub.StepTask
	// longest holds the inherited workers that may hold the longest lease.
	longest  members
	grants   grants
	revision ledger.Revision
	// stored has the lists that the store may have: the last one that is known to be written,
	// and those of later writes without an answer.
	stored []members
	// generation counts the changes to workers; writtenGeneration is the generation that
	// was last written to the store, and sentGeneration that of the last write that was sent.
	generation, writtenGeneration, sentGeneration uint64
	// guestStartChanges is the number that came with the open starts of guests that were taken last.
	guestStartChanges uint64
}

// members are the workers of a fleet.
type members map[heatherhub.WorkerID]struct{}

func membersOf(f record.Fleet) members {
	m := make(members, len(f.Workers))
	for _, w := range f.Workers {
		m[w.ID] = struct{}{}
	}
	return m
}

// newFleet returns an empty fleet.
func newFleet() fleet {
	return fleet{
		workers: make(map[heatherhub.WorkerID]string), tokens: make(map[heatherhub.WorkerID]agent.Token),
		restarted: make(map[heatherhub.WorkerID]struct{}), closed: make(map[heatherhub.WorkerID][]heatherhub.StepTask),
		since: make(map[heatherhub.WorkerID]uint64), reached: make(members), used: make(members), longest: make(members), inherited: make(map[heatherhub.WorkerID][]heatherhub.StepTask), grants: newGrants(),
	}
}

// isStored reports whether the stored list has a worker, whichever list it is.
func (f *fleet) isStored(id heatherhub.WorkerID) bool {
	for _, m := range f.stored {
		if _, ok := m[id]; !ok {
			return false
		}
	}
	return len(f.stored) > 0
}

// storeWorker returns the token of the orders to a worker, and whether the stored list has the
// worker. If it has not, storeWorker writes it, once the earlier owners have been fenced.
func (t *term) storeWorker(ctx context.Context, id heatherhub.WorkerID) (agent.Token, bool) {
	if token, ok := t.storedToken(id); ok {
		return token, true
	}
	wait := time.NewTimer(pollRetryDelay)
	defer wait.Stop()
	select {
	case <-t.succession.isOver:
	case <-wait.C:
	case <-ctx.Done():
	}
	if !t.writeFleet(ctx) {
		return 0, false
	}
	return t.storedToken(id)
}

// storedToken returns the token of the orders to a worker, and whether the stored list has the
// worker.
func (t *term) storedToken(id heatherhub.WorkerID) (agent.Token, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	token, ok := t.fleet.tokens[id]
	return token, ok && t.fleet.isStored(id)
}

// writeFleet writes the list to the store if it has changed. It reports whether the
// stored list is up to date.
func (t *term) writeFleet(ctx context.Context) bool {
	t.writeSem <- struct{}{}
	defer func() { <-t.writeSem }()
	t.mu.Lock()
	guestStarts, changes := t.engine.TakeGuestStarts()
	if changes != t.fleet.guestStartChanges {
		t.fleet.guestStartChanges = changes
		t.fleet.generation++
	}
	if t.fleet.writtenGeneration == t.fleet.generation {
		t.mu.Unlock()
		return true
	}
	sentAt := t.now().Steady
	if !t.mayChangeFleet(sentAt) {
		t.mu.Unlock()
		return false
	}
	list := record.Fleet{GuestStarts: guestStarts, WrittenBy: t.ownerRevision}
	for id, address := range t.fleet.workers {
		w := t.fleetWorker(id, address)
		if w.IsUnused {
			// From now on the stored list may say so.
			delete(t.fleet.used, id)
		}
		if b, ok := t.promiseGrants(id, sentAt); ok {
			w.GrantsClaim, w.GrantsEnd = b.claim, b.after
		}
		list.Workers = append(list.Workers, w)
	}
	if t.isReleased {
		t.addLeases(&list, sentAt)
	}
	generation, revision := t.fleet.generation, t.fleet.revision
	if t.fleet.sentGeneration != generation {
		t.fleet.sentGeneration = generation
		t.fleet.stored = append(t.fleet.stored, membersOf(list))
	}
	t.mu.Unlock()
	value, err := record.Encode(list)
	if err != nil {
		t.log.Error("fleet not encoded", zap.Error(err))
		return false
	}
	key := record.FleetKey(t.shard)
	rev, err := t.host.cfg.Store.Commit(ctx, ledger.Txn{
		Preconditions: []ledger.Precondition{t.ownerCondition(), {Key: key, Revision: revision}},
		Puts:          []ledger.Put{{Key: key, Value: value}},
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.log.Warn("fleet not written", zap.Error(err))
		var c *ledger.ConflictError
		if errors.As(err, &c) {
			if c.Find(record.OwnerKey(t.shard)).Revision != t.ownerRevision {
				t.end("another owner has the shard")
			}
			t.fleet.revision = c.Find(key).Revision
		}
		return false
	}
	t.confirmOwnership(sentAt)
	t.fleet.revision, t.fleet.writtenGeneration = rev, generation
	t.fleet.stored = []members{membersOf(list)}
	t.fleet.updateTokens(agent.Token(rev), generation)
	t.fleet.updateUsed(list, generation)
	t.fleet.grants.updatePromised(list)
	return t.fleet.writtenGeneration == t.fleet.generation
}

// tellsOf reports whether a list of a generation tells of the present life of a worker.
func (f *fleet) tellsOf(id heatherhub.WorkerID, generation uint64) bool {
	_, ok := f.workers[id]
	return ok && generation >= f.since[id]
}

// updateTokens gives the workers that the last write, of a generation, has added its revision as their token, and
// forgets the tokens of those that it has removed.
func (f *fleet) updateTokens(written agent.Token, generation uint64) {
	tokens := make(map[heatherhub.WorkerID]agent.Token, len(f.stored[0]))
	for id := range f.stored[0] {
		if former, ok := f.tokens[id]; ok {
			tokens[id] = former
		} else if f.tellsOf(id, generation) {
			tokens[id] = written
		}
	}
	f.tokens = tokens
}

// updateUsed derives the used workers from the stored list, which is of a generation.
func (f *fleet) updateUsed(list record.Fleet, generation uint64) {
	f.used = make(members, len(list.Workers))
	for _, w := range list.Workers {
		if !w.IsUnused && f.tellsOf(w.ID, generation) {
			f.used[w.ID] = struct{}{}
		}
	}
}

// isUsed reports whether the stored list says that tasks may run on a worker.
func (f *fleet) isUsed(id heatherhub.WorkerID) bool {
	_, ok := f.used[id]
	return ok
}

// isLongest reports whether an inherited worker may hold the longest lease.
func (f *fleet) isLongest(id heatherhub.WorkerID) bool {
	_, ok := f.longest[id]
	return ok
}

// markReached records that a worker has answered.
func (f *fleet) markReached(id heatherhub.WorkerID) {
	delete(f.inherited, id)
	if _, ok := f.reached[id]; !ok {
		f.reached[id] = struct{}{}
		f.generation++
	}
}

// fleetWorker returns the entry of a worker in the stored list. A worker is closed only if it
// has announced that it leaves: one without an entry may come back. The caller holds t.mu.
func (t *term) fleetWorker(id heatherhub.WorkerID, address string) record.FleetWorker {
	w := record.FleetWorker{ID: id, Address: address}
	if loop := t.workers[id]; loop != nil && loop.hasDrained {
		if w.Tasks, w.IsClosed = t.engine.ClosedWorkerTasks(id); !w.IsClosed && loop.isGone {
			w.Tasks, w.IsClosed = t.engine.LostWorkerTasks(id)
		}
	}
	if !w.IsClosed {
		w.Tasks, w.IsClosed = t.fleet.closed[id]
	}
	_, isReached := t.fleet.reached[id]
	w.IsUnused = !isReached
	// What answers in place of a worker without a loop is not known.
	loop := t.workers[id]
	w.MayHoldLongest = isReached && (loop == nil || loop.mayHoldLongest(t.now().Steady))
	return w
}

// applyWorkerSnapshot replaces the known worker entries by those of a snapshot.
func (t *term) applyWorkerSnapshot(s ledger.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[heatherhub.WorkerID]struct{}, len(s.Items))
	for _, it := range s.Items {
		if id, ok := t.applyWorkerEntry(it); ok {
			present[id] = struct{}{}
		}
	}
	for id, w := range t.workers {
		if _, ok := present[id]; !ok {
			t.logUnlisted(w)
			w.markUnlisted()
		}
	}
	signal(t.wakeDecide)
}

// applyWorkerChanges applies changes of worker entries from the watch.
func (t *term) applyWorkerChanges(events []ledger.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range events {
		if !e.Deleted {
			t.applyWorkerEntry(e.Item)
			continue
		}
		for _, w := range t.incarnations[heatherhub.WorkerName(strings.TrimPrefix(e.Key, t.host.cfg.WorkerPrefix))] {
			t.logUnlisted(w)
			w.markUnlisted()
		}
	}
	signal(t.wakeDecide)
}

// logUnlisted logs the removal of a worker's entry, also of one that still answers. The caller
// holds t.mu.
func (t *term) logUnlisted(w *workerLoop) {
	if w.isListed {
		t.log.Info("worker unlisted", zap.String("worker", string(w.id)), zap.Bool("drained", w.hasDrained),
			zap.Int("running", t.engine.OpenRuns(w.id)), zap.Duration("sinceAnswer", t.now().Steady-w.answeredAt))
	}
}

// applyWorkerEntry updates or adds the worker of an entry. It reports whether the worker
// belongs to this shard. The caller holds t.mu.
func (t *term) applyWorkerEntry(it ledger.Item) (heatherhub.WorkerID, bool) {
	entry, err := t.host.cfg.DecodeWorker(it)
	if err != nil {
		t.log.Warn("worker ignored", zap.String("key", it.Key), zap.Error(err))
		return "", false
	}
	layout := t.host.View().Layout
	if layout.ShardOf(&entry) != t.shard {
		return "", false
	}
	if t.hasEnded(entry.ID) {
		return entry.ID, true
	}
	for _, other := range t.incarnations[entry.ID.Name()] {
		if other.id != entry.ID {
			t.logUnlisted(other)
			other.markUnlisted()
		}
	}
	if w := t.workers[entry.ID]; w != nil {
		w.isEntryDraining = entry.Draining
		if w.hasDrained && !w.hasAnswered() && isOfNextLife(&entry) {
			w.hasDrained = false
			t.reopenWorker(entry.ID)
		}
		if entry.Draining {
			t.drainWorker(w, entry.DrainRemaining)
		}
		if !w.isListed && w.unlistedAt > 0 {
			t.log.Info("worker listed again", zap.String("worker", string(entry.ID)), zap.Duration("sinceUnlisted", t.now().Steady-w.unlistedAt))
		}
		entry.Draining = entry.Draining || w.hasDrained
		w.listedAddress, entry.Address = entry.Address, w.address
		w.entry, w.isListed = entry, true
		t.engine.UpdateWorker(entry)
		w.updateCold(t.now().Steady, entry.ColdRemaining)
		t.engine.WorkerCold(w.id, w.coldUntil)
		w.updateVacated()
		return entry.ID, true
	}
	t.startWorker(entry, true, 0)
	return entry.ID, true
}

// drainWorker records that a worker leaves, after remaining at the earliest. The caller holds
// t.mu.
func (t *term) drainWorker(w *workerLoop, remaining time.Duration) {
	if !w.hasDrained {
		t.log.Info("worker drains", zap.String("worker", string(w.id)), zap.Duration("left", remaining), zap.Int("running", t.engine.OpenRuns(w.id)))
		t.closeWorker()
	}
	w.markDrained(remaining)
}

// isOfNextLife reports whether the entry of a worker that has announced that it leaves is that of a life after it, with the same ID.
func isOfNextLife(entry *agent.Worker) bool {
	_, hasIncarnation := entry.ID.Incarnation()
	return !hasIncarnation && !entry.Draining
}

// reopenWorker has tasks start again on a worker that was closed, once the stored list no longer says that it is. The caller holds t.mu.
func (t *term) reopenWorker(id heatherhub.WorkerID) {
	delete(t.fleet.closed, id)
	delete(t.fleet.used, id)
	t.rewriteFleet()
	t.fleet.since[id] = t.fleet.generation
}

// closeWorker has the fleet written with the tasks that may run on a worker that leaves. No
// task may start there any more. The caller holds t.mu.
func (t *term) closeWorker() {
	t.rewriteFleet()
}

// rewriteFleet has the fleet written. The caller holds t.mu.
func (t *term) rewriteFleet() {
	t.fleet.generation++
	signal(t.wakeCommit)
}

// refreshClosedWorkers has the fleet written again if a worker leaves, whose tasks may have ended
// since the last write.
func (t *term) refreshClosedWorkers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.workers {
		if w.hasDrained {
			t.closeWorker()
			return
		}
	}
}

// startWorker starts the loops of a worker and adds it to the fleet. isListed says
// whether the worker has an entry in the store, and quickEnds how many incarnations before this one
// have ended by their clocks soon after one another. The caller holds t.mu.
func (t *term) startWorker(entry agent.Worker, isListed bool, quickEnds int) {
	ctx, cancel := context.WithCancel(t.ctx)
	knownAt := t.now().Steady
	if t.fleet.tokens[entry.ID] == t.token {
		// The incarnation in the inherited list had begun before the claim.
		knownAt = t.claimedAt
	}
	w := &workerLoop{
		term: t, id: entry.ID, address: entry.Address, listedAddress: entry.Address, entry: entry, isListed: isListed, isEntryDraining: isListed && entry.Draining, ctx: ctx, cancel: cancel, confirmedAt: never, createdAt: t.now().Steady, clockAt: knownAt,
		coldUntil: t.now().Steady + entry.ColdRemaining,
		client:    t.host.cfg.Dial(entry.ID, entry.Address), queueReady: make(chan struct{}, 1),
		quickEnds: quickEnds, joinDelay: joinDelayAfter(quickEnds),
		inheritedUntil: unbounded, grantsEnd: unbounded, hasLongest: t.fleet.isLongest(entry.ID), isReleased: t.isReleased, isAbandoned: t.isReleased,
	}
	_, isClosed := t.fleet.closed[entry.ID]
	if isClosed && isListed && isOfNextLife(&entry) {
		isClosed = false
		t.reopenWorker(entry.ID)
	}
	if isClosed || (isListed && entry.Draining) {
		w.entry.Draining = true
		// The entry may be as old as one heartbeat.
		w.markDrained(max(entry.DrainRemaining-t.host.cfg.WorkerHeartbeat, 0))
	}
	// Until it has joined it is not asked.
	w.isSilent.Store(w.joinDelay > 0)
	t.workers[w.id] = w
	t.incarnations[w.id.Name()] = append(t.incarnations[w.id.Name()], w)
	delete(t.fleet.restarted, w.id)
	if address, ok := t.fleet.workers[entry.ID]; !ok || address != entry.Address {
		t.fleet.workers[entry.ID] = entry.Address
		t.fleet.generation++
	}
	t.fleet.since[entry.ID] = t.fleet.generation
	t.group.Go(w.pollLoop)
	t.group.Go(w.orderLoop)
}

// dropWorker ends the loops of a worker on which no task runs and removes it from the
// fleet. The caller holds t.mu.
func (t *term) dropWorker(w *workerLoop) {
	w.cancel()
	if t.workers[w.id] != w {
		return
	}
	delete(t.workers, w.id)
	// Orders to this incarnation have lower tokens than those to the next one, which may have the same ID.
	delete(t.fleet.tokens, w.id)
	name := w.id.Name()
	t.incarnations[name] = slices.DeleteFunc(t.incarnations[name], func(o *workerLoop) bool { return o == w })
	if len(t.incarnations[name]) == 0 {
		delete(t.incarnations, name)
	}
	if t.engine.AwaitsNextIncarnation(w.id) {
		t.fleet.restarted[w.id] = struct{}{}
		if tasks, ok := t.engine.LostWorkerTasks(w.id); ok && w.hasDrained {
			// Its loop may begin again while it is listed.
			t.fleet.closed[w.id] = tasks
		}
		t.fleet.generation++
		return
	}
	t.removeFromFleet(w.id)
}

// removeFromFleet removes a worker from the fleet. The caller holds t.mu.
func (t *term) removeFromFleet(id heatherhub.WorkerID) {
	if _, ok := t.fleet.workers[id]; ok {
		delete(t.fleet.workers, id)
		delete(t.fleet.since, id)
		delete(t.fleet.closed, id)
		delete(t.fleet.reached, id)
		delete(t.fleet.used, id)
		delete(t.fleet.inherited, id)
		t.fleet.generation++
	}
}

// removeRestarted removes the workers from the fleet that were lost, and of which a next owner needs to
// know no more. The caller holds t.mu.
func (t *term) removeRestarted() {
	for id := range t.fleet.restarted {
		if !t.engine.AwaitsNextIncarnation(id) {
			delete(t.fleet.restarted, id)
			t.removeFromFleet(id)
			signal(t.wakeCommit)
		}
	}
}
