package owner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
)

// maxChangesPerCommit fits the platform's bound on a transaction: the owner's key,
// and a precondition and a put for each job.
const maxChangesPerCommit = (ledger.MaxTxnEntries - 2) / 2

// publishInterval is how often the shard's load is published; callers may be told
// counts that are two seconds old.
const publishInterval = time.Second

// commitLoop makes progress durable.
func (t *term) commitLoop() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.wakeCommit:
		}
		for t.ctx.Err() == nil && t.commit(t.ctx) {
			ledger.Pause(t.ctx, commitBatchDelay)
		}
		t.writeFleet(t.ctx)
	}
}

// commit writes one batch of changes. It reports whether there may be more.
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
		rev, err = t.host.cfg.Store.Commit(ctx, txn)
	}
	t.host.metrics.recordCommit(err, t.now().Steady-sentAt)
	if t.applyCommitResult(changes, rev, sentAt, err) {
		return true
	}
	t.log.Warn("progress not written", zap.Int("jobs", len(changes)), zap.Error(err))
	ledger.Pause(ctx, storeRetryDelay)
	return true
}

// applyCommitResult takes in what became of a commit. It reports false if that is not
// known, or nothing was done.
func (t *term) applyCommitResult(changes []dispatch.Change, rev ledger.Revision, sentAt time.Duration, err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflict *ledger.ConflictError
	switch {
	case err == nil:
		t.confirmOwnership(sentAt)
		t.engine.Committed(t.now(), changes, rev)
		close(t.committed)
		t.committed = make(chan struct{})
		return true
	case errors.As(err, &conflict):
		t.handleConflict(conflict, changes)
		return true
	default:
		t.engine.Retry(changes, nil)
		return false
	}
}

func (t *term) commitTxn(changes []dispatch.Change) (ledger.Txn, error) {
	txn := ledger.Txn{Require: []ledger.Require{t.ownerCondition()}}
	for _, c := range changes {
		value, err := record.Encode(c.Progress)
		if err != nil {
			return txn, err
		}
		key := record.ProgressKey(c.Job)
		txn.Require = append(txn.Require, ledger.Require{Key: key, Revision: c.Revision})
		txn.Puts = append(txn.Puts, ledger.Put{Key: key, Value: value})
	}
	return txn, nil
}

func (t *term) ownerCondition() ledger.Require {
	return ledger.Require{Key: record.OwnerKey(t.shard), Revision: t.ownerRevision}
}

// handleConflict handles a failed precondition: another owner, or an earlier write of
// this term whose answer was lost. The caller has the lock.
func (t *term) handleConflict(c *ledger.ConflictError, changes []dispatch.Change) {
	if c.Find(record.OwnerKey(t.shard)).Revision != t.ownerRevision {
		t.end("another owner has the shard")
		return
	}
	found := make(map[heatherhub.JobID]ledger.Revision, len(changes))
	for _, ch := range changes {
		found[ch.Job] = c.Find(record.ProgressKey(ch.Job)).Revision
	}
	t.engine.Retry(changes, found)
}

// publishLoop tells other hosts the load of the shard, deletes old jobs and so
// proves that this host still owns the shard.
func (t *term) publishLoop() {
	for t.ctx.Err() == nil {
		timer := time.NewTimer(publishInterval)
		select {
		case <-t.ctx.Done():
		case <-t.wakePublish:
		case <-timer.C:
		}
		timer.Stop()
		t.publish()
	}
}

// publicationsPerLearnt is how many publications come between two of what was learnt: it changes
// within tens of seconds.
const publicationsPerLearnt = 4

func (t *term) publish() {
	value, expired, err := t.encodeLoad()
	if err != nil {
		t.log.Error("load not encoded", zap.Error(err))
		return
	}
	txn := ledger.Txn{Require: []ledger.Require{t.ownerCondition()}, Puts: []ledger.Put{{Key: record.LoadKey(t.shard), Value: value}}}
	for _, id := range expired {
		txn.Deletes = append(txn.Deletes, record.JobKey(id), record.CancelKey(id), record.ProgressKey(id))
	}
	if t.publishCount++; t.publishCount%publicationsPerLearnt == 0 {
		txn.Puts = append(txn.Puts, t.learntPuts()...)
	}
	sentAt := t.now().Steady
	_, err = t.host.cfg.Store.Commit(t.ctx, txn)
	var conflict *ledger.ConflictError
	switch {
	case err == nil:
		t.confirmOwnership(sentAt)
	case errors.As(err, &conflict):
		t.end("another owner has the shard")
	default:
		t.log.Debug("load not published", zap.Error(err))
		ledger.Pause(t.ctx, storeRetryDelay)
	}
}

// learntPuts returns the write of what was learntPuts.
func (t *term) learntPuts() []ledger.Put {
	t.mu.Lock()
	l := t.engine.Learnt()
	t.mu.Unlock()
	value, err := record.Encode(l)
	if err != nil {
		t.log.Error("learnt not encoded", zap.Error(err))
		return nil
	}
	return []ledger.Put{{Key: record.LearntKey(t.shard), Value: value}}
}

// restoreLearnt takes over what an earlier owner had learnt. An unreadable record is left
// alone: it is a hint. The caller has the lock.
func (t *term) restoreLearnt(it ledger.Item) {
	if it.Revision == 0 {
		return
	}
	var l dispatch.Learnt
	if err := heatherhub.Unmarshal(it.Value, &l); err != nil {
		t.log.Warn("learnt unreadable", zap.Error(err))
		return
	}
	t.engine.Restore(l)
}

// maxExpiredPerCommit bounds the jobs that are deleted at once: three keys each.
const maxExpiredPerCommit = 8

func (t *term) encodeLoad() ([]byte, []heatherhub.JobID, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportWorkers()
	l := t.engine.Load()
	t.log.Info("load", zap.Int64("capacity", int64(l.Capacity)), zap.Int64("reserved", int64(l.Reserved)), zap.Int64("filling", int64(l.Filling)), zap.Duration("backlog", l.Backlog), zap.Any("stats", t.engine.Stats))
	value, err := record.Encode(record.Load{
		Capacity: l.Capacity, Reserved: l.Reserved, Filling: l.Filling, Backlog: l.Backlog,
		Waiting: t.engine.Waiting(), Racks: t.engine.Racks(), Holes: t.engine.Holes(t.now(), record.MaxHoles), At: t.now().Wall,
	})
	return value, t.engine.Expired(t.now(), t.host.cfg.EndedRetention, maxExpiredPerCommit), err
}
