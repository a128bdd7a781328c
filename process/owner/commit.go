package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
)

// maxChangesPerCommit keeps a transaction within ledger.MaxTxnEntries: one
// precondition for the owner key, and a precondition and a put for each job and for the list of starts.
const maxChangesPerCommit = (ledger.MaxTxnEntries-2)/2 - 1

// publishInterval is how often the shard's load is published. Callers may be given queue
// lengths that are up to two seconds old.
const publishInterval = time.Second

// commitLoop writes progress and changes of the fleet to the store whenever it is woken. It
// writes the fleet after each batch, since under load there is always more progress.
func (t *term) commitLoop() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.wakeCommit:
		}
		for t.ctx.Err() == nil && t.commit(t.ctx) {
			t.writeFleet(t.ctx)
			ledger.Sleep(t.ctx, commitBatchDelay)
		}
		t.writeFleet(t.ctx)
	}
}

// commit writes one batch of changes, and hands them back to the engine if that fails.
// It reports whether there may be more.
func (t *term) commit(ctx context.Context) bool {
	t.writeSem <- struct{}{}
	defer func() { <-t.writeSem }()
	t.mu.Lock()
	changes := t.engine.TakeChanges(maxChangesPerCommit)
	t.mu.Unlock()
	if len(changes) == 0 {
		return false
	}
	sentAt := t.now().Steady
	txn, err := t.commitTxn(changes)
	var rev ledger.Revision
	if err == nil {
		starts, isCarried := t.carryStarts(&txn)
		rev, err = t.host.cfg.Store.Commit(ctx, txn)
		if isCarried {
			t.endCarried(starts, rev, err)
		}
	}
	t.host.metrics.recordCommit(err, t.now().Steady-sentAt)
	if t.applyCommitResult(changes, rev, sentAt, err) {
		return true
	}
	t.log.Warn("progress not written", zap.Int("jobs", len(changes)), zap.Error(err))
	ledger.Sleep(ctx, storeRetryDelay)
	return true
}

// applyCommitResult updates the engine with the result of a commit. It reports false if
// the commit failed or its result is unknown, for any reason but a failed precondition.
func (t *term) applyCommitResult(changes []dispatch.Change, rev ledger.Revision, sentAt time.Duration, err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflict *ledger.ConflictError
	switch {
	case err == nil:
		t.confirmOwnership(sentAt)
		t.engine.Committed(t.now(), changes, rev)
		t.removeRestarted()
		if slices.ContainsFunc(changes, func(c dispatch.Change) bool { return len(c.Progress.Crashes) > 0 }) {
			// Suspected tasks wait for the record of their crashes.
			signal(t.wakeDecide)
		}
		close(t.committed)
		t.committed = make(chan struct{})
		return true
	case errors.As(err, &conflict):
		t.handleConflict(conflict, changes)
		return true
	default:
		t.engine.RetryChanges(changes, nil)
		return false
	}
}

// commitTxn builds the transaction that writes changes if this host still owns the
// shard and no progress record has changed.
func (t *term) commitTxn(changes []dispatch.Change) (ledger.Txn, error) {
	txn := ledger.Txn{Preconditions: []ledger.Precondition{t.ownerCondition()}}
	for _, c := range changes {
		value, err := record.Encode(c.Progress)
		if err != nil {
			return txn, err
		}
		key := record.ProgressKey(c.Job)
		txn.Preconditions = append(txn.Preconditions, ledger.Precondition{Key: key, Revision: c.Revision})
		txn.Puts = append(txn.Puts, ledger.Put{Key: key, Value: value})
	}
	return txn, nil
}

// ownerCondition is the precondition that this term still owns the shard.
func (t *term) ownerCondition() ledger.Precondition {
	return ledger.Precondition{Key: record.OwnerKey(t.shard), Revision: t.ownerRevision}
}

// handleConflict handles a failed precondition: another host owns the shard, which ends
// the term, or an earlier write of this term took effect although its answer was lost.
// In that case the changes are retried on the revisions found. The caller holds t.mu.
func (t *term) handleConflict(c *ledger.ConflictError, changes []dispatch.Change) {
	if c.Find(record.OwnerKey(t.shard)).Revision != t.ownerRevision {
		t.end("another owner has the shard")
		return
	}
	found := make(map[heatherhub.JobID]ledger.Revision, len(changes))
	for _, ch := range changes {
		found[ch.Job] = c.Find(record.ProgressKey(ch.Job)).Revision
	}
	t.engine.RetryChanges(changes, found)
}

// publishLoop publishes the shard's load to other hosts and deletes expired jobs. Each
// successful write also confirms that this host still owns the shard.
func (t *term) publishLoop() {
	for round := 1; t.ctx.Err() == nil; round++ {
		timer := time.NewTimer(publishInterval)
		select {
		case <-t.ctx.Done():
		case <-t.wakePublish:
		case <-timer.C:
		}
		timer.Stop()
		t.readBegunGuests()
		t.publish(t.ctx)
		if round%publicationsPerSnapshot == 0 {
			t.adoptInterference()
		}
	}
}

// readBegunGuests reads from the loads of the other shards which waiting jobs have begun
// there. There are few such jobs, so most of the time it reads nothing.
func (t *term) readBegunGuests() {
	t.mu.Lock()
	isNeeded := t.engine.HasWaitingGuests()
	t.mu.Unlock()
	if !isNeeded {
		return
	}
	loads, err := ReadLoads(t.ctx, t.host.cfg.Store.RangeStale, t.log)
	if err != nil {
		t.log.Info("loads not read", zap.Error(err))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range loads {
		t.engine.MarkBegun(l.BegunGuests)
	}
}

// adoptInterference reads what the owners of other shards have learnt of images. The values
// are hints, so an unreadable record is logged and ignored.
func (t *term) adoptInterference() {
	if len(t.host.View().Layout.Shards) < 2 {
		return
	}
	snap, err := t.host.cfg.Store.RangeStale(t.ctx, record.InterferencePrefix)
	if err != nil {
		t.log.Info("learnt not read", zap.Error(err))
		return
	}
	own := record.InterferenceKey(t.shard)
	for _, it := range snap.Items {
		var s dispatch.InterferenceSnapshot
		if it.Key == own {
			continue
		}
		if err := heatherhub.Unmarshal(it.Value, &s); err != nil {
			t.log.Warn("learnt unreadable", zap.String("key", it.Key), zap.Error(err))
			continue
		}
		t.mu.Lock()
		t.engine.AdoptInterference(s)
		t.mu.Unlock()
	}
}

// publishOnceResolved publishes the first load ahead of time, as soon as it is known what
// runs on the workers of the previous owner and all workers were asked. Before that, running
// jobs would count as waiting, and the shard would seem to have less room than it has. The
// caller holds t.mu.
func (t *term) publishOnceResolved() {
	if !t.isResolved && !t.engine.HasUnresolved() && t.hasAskedAllWorkers() {
		t.isResolved = true
		t.engine.MarkWorkersAsked()
		t.log.Info("takeover resolved", zap.Duration("took", t.now().Steady-t.startedAt))
		signal(t.wakePublish)
	}
}

// hasAskedAllWorkers reports whether each worker has answered this owner or failed to. The
// caller holds t.mu.
func (t *term) hasAskedAllWorkers() bool {
	for _, w := range t.workers {
		if !w.isUp && !w.isSilent.Load() {
			return false
		}
	}
	return true
}

// publicationsPerSnapshot is the number of load publications for each write of the learnt
// interference estimates, which change within tens of seconds.
const publicationsPerSnapshot = 3

// publish writes one load record, deletes expired jobs and, every
// publicationsPerSnapshot times, writes the learnt interference estimates. It does nothing
// before the jobs have been read.
func (t *term) publish(ctx context.Context) {
	if !acquire(ctx, t.publishSem) {
		return
	}
	defer release(t.publishSem)
	t.mu.Lock()
	hasJobs := t.hasJobs
	t.mu.Unlock()
	if !hasJobs {
		return
	}
	value, err := t.encodeLoad()
	if err != nil {
		t.log.Error("load not encoded", zap.Error(err))
		return
	}
	key := record.LoadKey(t.shard)
	txn := ledger.Txn{
		// The revision keeps a write without an answer from taking effect after a later one.
		Preconditions: []ledger.Precondition{t.ownerCondition(), {Key: key, Revision: t.loadRevision}},
		Puts:          []ledger.Put{{Key: key, Value: value}},
	}
	for _, id := range t.expired {
		txn.Deletes = append(txn.Deletes, record.JobKey(id), record.CancelKey(id), record.ProgressKey(id))
	}
	if t.publishCount++; t.publishCount%publicationsPerSnapshot == 0 {
		txn.Puts = append(txn.Puts, t.interferencePuts()...)
	}
	sentAt := t.now().Steady
	rev, err := t.host.cfg.Store.Commit(ctx, txn)
	var conflict *ledger.ConflictError
	switch {
	case err == nil:
		t.loadRevision, t.expired, t.isLoadOpen = rev, nil, false
		t.confirmOwnership(sentAt)
	case errors.As(err, &conflict) && conflict.Find(record.OwnerKey(t.shard)).Revision != t.ownerRevision:
		t.end("another owner has the shard")
	case conflict != nil:
		if t.isLoadOpen {
			// A write without an answer has taken effect, with the deletes of the same jobs.
			t.expired = nil
		}
		t.loadRevision, t.isLoadOpen = conflict.Find(key).Revision, false
		signal(t.wakePublish)
	default:
		t.isLoadOpen = t.isLoadOpen || heatherhub.IsUnknown(err)
		t.log.Debug("load not published", zap.Error(err))
		ledger.Sleep(ctx, storeRetryDelay)
		signal(t.wakePublish)
	}
}

// interferencePuts returns the put of the engine's learnt interference estimates.
func (t *term) interferencePuts() []ledger.Put {
	t.mu.Lock()
	snapshot := t.engine.InterferenceSnapshot()
	t.mu.Unlock()
	value, err := record.Encode(snapshot)
	if err != nil {
		t.log.Error("learnt not encoded", zap.Error(err))
		return nil
	}
	return []ledger.Put{{Key: record.InterferenceKey(t.shard), Value: value}}
}

// restoreInterference loads the interference estimates of an earlier owner. They only
// speed up learning, so an unreadable record is logged and ignored. The caller holds t.mu.
func (t *term) restoreInterference(it ledger.Item) {
	if it.Revision == 0 {
		return
	}
	var snapshot dispatch.InterferenceSnapshot
	if err := heatherhub.Unmarshal(it.Value, &snapshot); err != nil {
		t.log.Warn("learnt unreadable", zap.Error(err))
		return
	}
	t.engine.RestoreInterference(snapshot)
}

// restoreMovedJobs takes over the list of moved jobs from the load record of the earlier
// owner. The list only matters while another shard is slow to read the moves, so an
// unreadable record is logged and ignored. The caller holds t.mu.
func (t *term) restoreMovedJobs(it ledger.Item) {
	if it.Revision == 0 {
		return
	}
	var l record.Load
	if err := heatherhub.Unmarshal(it.Value, &l); err != nil {
		t.log.Warn("load unreadable", zap.String("key", it.Key), zap.Error(err))
		return
	}
	t.engine.RestoreMovedJobs(t.now(), l.MovedJobs)
}

// maxExpiredPerCommit bounds the jobs deleted in one transaction; each has three keys.
const maxExpiredPerCommit = 8

// encodeLoad returns the encoded load record of the shard. Unless an earlier write is still to take
// effect, it sets the expired jobs that are deleted with the same commit. It also updates the worker gauges and logs the
// load.
func (t *term) encodeLoad() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportWorkers()
	t.syncEvacuated(t.now())
	l := t.engine.Load()
	waiting := t.engine.QueuedJobs()
	now := t.now()
	inService, evacuated := t.poolsInService()
	kinds := t.engine.WorkerKinds()
	forecast := t.engine.Forecast(now)
	t.host.metrics.reportForecast(t.shard, forecast)
	t.log.Info("load", zap.Int64("capacity", int64(l.Capacity)), zap.Int64("reserved", int64(l.Reserved)), zap.Int64("filling", int64(l.FillerDemand)), zap.Duration("backlog", l.Backlog),
		zap.Any("waiting", waiting), zap.Any("unconfirmed", t.engine.UnconfirmedJobs()), zap.Any("stats", t.engine.Stats), zap.Any("forecast", forecast.Pools))
	value, err := record.Encode(record.Load{
		Capacity: l.Capacity, Reserved: l.Reserved, FillerDemand: l.FillerDemand, Backlog: l.Backlog,
		LongRunning: l.LongRunning, BatchPeak: t.engine.BatchPeak(now),
		Waiting: waiting, BegunGuests: t.engine.BegunGuests(), MovedJobs: t.engine.MovedJobs(now), JobsRead: t.jobsRead, JobsReadAge: now.Steady - t.jobsAnsweredAt, OwnerRevision: t.ownerRevision,
		Racks: kinds.Racks, Kinds: kinds.Kinds, LargestFree: record.Rooms(t.engine.LargestFree(now, record.MaxLargestFree)),
		LargestSpare: record.Rooms(t.engine.LargestSpare(now, record.MaxLargestFree)), FillerRoom: t.engine.FillerRoom(now), Forecast: forecast, At: now.Wall,
		PoolsInService: inService, EvacuatedPools: evacuated,
	})
	if err == nil && len(t.expired) == 0 && !t.isLoadOpen {
		t.expired = t.engine.RemoveExpired(now, t.host.cfg.EndedRetention, maxExpiredPerCommit)
	}
	return value, err
}
