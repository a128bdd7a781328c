package owner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
)

// A host often outlives its term: the store was down until its lease had ended, and another host has the shard now, or this one
// again. Once the loops of the term have ended, it renews no lease and sends no start, so it knows as much of the leases as an
// owner that hands its shard over. It leaves that behind under leases/SHARD, without being the owner, with the crashes of workers
// that it could not store. The next owner looks for it while it waits for workers, and counts the times from the answer that it reads.

const (
	// leaveLeasesInterval is the pause between two attempts to leave the leases behind, and findLeasesInterval that between two
	// looks for them.
	leaveLeasesInterval = 500 * time.Millisecond
	findLeasesInterval  = 300 * time.Millisecond
	// maxLeftCrashes bounds the crashes that are left behind, and so their size to some hundred kilobytes.
	maxLeftCrashes = 2000
)

// leaveLeases writes the leases of a term that was lost, until they are over.
func (t *term) leaveLeases(ctx context.Context) {
	list, unannounced, ok := t.finalLeases()
	if !ok {
		return
	}
	for endedAt := t.now().Steady; ctx.Err() == nil && t.now().Steady-endedAt < t.host.longestLease(); {
		err := t.writeLeases(ctx, list)
		if err == nil {
			t.log.Info("leases left behind", zap.Int("workers", len(list.Workers)), zap.Int("unannounced", unannounced), zap.Int("crashes", len(list.Crashes)), zap.Duration("after", t.now().Steady-endedAt))
			return
		}
		t.log.Info("leases not left behind", zap.Error(err))
		ledger.Sleep(ctx, leaveLeasesInterval)
	}
}

// finalLeases returns the list with the leases at the end of a term whose loops have ended. It reports false if there is none, as
// the term has handed them over or knows of no worker. A list that is written later states them as longer than they are. Workers
// with a start of which the next owner may not know are left out, and counted: their next lives may carry it out.
func (t *term) finalLeases() (list record.Fleet, unannounced int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isReleased || !t.hasJobs {
		return record.Fleet{}, 0, false
	}
	t.releaseWorkers()
	for _, w := range t.workers {
		w.isAbandoned = true
		w.withdrawQueued(t.now())
	}
	left := t.unannounced()
	for id, address := range t.fleet.workers {
		if _, ok := left[id.Name()]; !ok {
			list.Workers = append(list.Workers, t.fleetWorker(id, address))
		}
	}
	t.addLeases(&list, t.now().Steady)
	list.Crashes = t.engine.CrashesNotStored(maxLeftCrashes)
	return list, len(left), true
}

// writeLeases writes the list, or adds its crashes to that which a later owner has left.
func (t *term) writeLeases(ctx context.Context, list record.Fleet) error {
	key := record.LeasesKey(t.shard)
	it, err := t.host.cfg.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	left := decodeLeases(it)
	crashes := joinCrashes(left.Crashes, list.Crashes)
	if left.HandedOverBy >= list.HandedOverBy {
		if len(crashes) == len(left.Crashes) {
			return nil
		}
		list = left
	}
	list.Crashes = crashes
	return t.putLeases(ctx, list, it.Revision)
}

// putLeases writes the list over that of a revision, if some conditions hold.
func (t *term) putLeases(ctx context.Context, list record.Fleet, rev ledger.Revision, conditions ...ledger.Precondition) error {
	value, err := record.Encode(list)
	if err != nil {
		return err
	}
	key := record.LeasesKey(t.shard)
	_, err = t.host.cfg.Store.Commit(ctx, ledger.Txn{Preconditions: append(conditions, ledger.Precondition{Key: key, Revision: rev}), Puts: []ledger.Put{{Key: key, Value: value}}})
	return err
}

// joinCrashes returns the crashes of both lists, each once, and the last maxLeftCrashes of them.
func joinCrashes(left, found []dispatch.LeftCrash) []dispatch.LeftCrash {
	all := slices.Clone(left)
	for _, c := range found {
		if !slices.Contains(left, c) {
			all = append(all, c)
		}
	}
	return all[max(len(all)-maxLeftCrashes, 0):]
}

// decodeLeases returns the list of an item, which is empty if there is none or it cannot be read: the leases are then waited for.
func decodeLeases(it ledger.Item) record.Fleet {
	var list record.Fleet
	if it.Revision == 0 || heatherhub.Unmarshal(it.Value, &list) != nil {
		return record.Fleet{}
	}
	return list
}

// findLeasesLoop looks for the leases that the former owner has left behind, while this one waits for workers, and for the crashes
// that any owner has left behind. A crash stays one whoever follows, so it is left there until the progress of its job has it.
func (t *term) findLeasesLoop() {
	var takenAt ledger.Revision
	hasLeases, hasCrashes := false, false
	for t.ctx.Err() == nil && (hasCrashes || !hasLeases && t.awaitsWorkers()) {
		it, err := t.host.cfg.Store.Get(t.ctx, record.LeasesKey(t.shard))
		if err != nil {
			t.log.Info("leases not read", zap.Error(err))
		} else {
			list := decodeLeases(it)
			hasLeases = hasLeases || t.findLeases(&list)
			if hasCrashes = len(list.Crashes) > 0; hasCrashes {
				isNew := it.Revision != takenAt
				takenAt = it.Revision
				hasCrashes = !t.takeCrashes(list, it.Revision, isNew)
			}
		}
		if hasCrashes || !hasLeases {
			ledger.Sleep(t.ctx, findLeasesInterval)
		}
	}
}

// awaitsWorkers reports whether it is not known what runs on a worker of earlier owners.
func (t *term) awaitsWorkers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.HasUnresolved()
}

// findLeases applies the leases of a list, and reports whether they are those that the former owner has left behind.
func (t *term) findLeases(list *record.Fleet) bool {
	former, _ := t.host.formerOwner(t.shard, t.ownerRevision)
	if former == 0 || list.HandedOverBy != former {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inheritLeases(list, t.now().Steady)
	signal(t.wakeDecide)
	return true
}

// takeCrashes counts the crashes of a list that is new, and takes them out of the record at rev once the progress of their jobs has
// them. It reports whether that is done.
func (t *term) takeCrashes(list record.Fleet, rev ledger.Revision, isNew bool) bool {
	t.mu.Lock()
	if isNew {
		n := t.engine.InheritLeftCrashes(t.now(), list.Crashes)
		t.log.Info("crashes inherited", zap.Int("crashes", n), zap.Int("left", len(list.Crashes)), zap.Duration("after", t.now().Steady-t.startedAt))
		signal(t.wakeCommit)
		signal(t.wakeDecide)
	}
	areStored := t.engine.AreCrashesStored(list.Crashes)
	t.mu.Unlock()
	if !areStored {
		return false
	}
	list.Crashes = nil
	if err := t.putLeases(t.ctx, list, rev, t.ownerCondition()); err != nil {
		t.log.Info("crashes not taken", zap.Error(err))
		return false
	}
	return true
}
