package owner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/record"
)

// Timing and size of the removal of fences.
const (
	// fenceSweepInterval is the time between two looks at the fences.
	fenceSweepInterval = 30 * time.Second
	// fenceBatchDelay is the pause between two transactions of a look. They remove about 400 fences
	// a second, as many as the platform takes writes.
	fenceBatchDelay = 35 * time.Millisecond
	// maxFencesPerCommit keeps a transaction within ledger.MaxTxnEntries: a precondition and a
	// delete for each fence.
	maxFencesPerCommit = ledger.MaxTxnEntries / 2
)

// keepsFences reports whether this term removes the fences of jobs. Jobs with a fence may have no
// record and so no shard: the first shard of the layout, which does not change, has them all.
func (t *term) keepsFences() bool {
	shards := t.host.View().Layout.Shards
	return len(shards) > 0 && shards[0].Shard == t.shard
}

// fenceLoop removes the fences that have been there for longer than Limits.FenceRetention.
func (t *term) fenceLoop() {
	ages := revisionAges{}
	ages.add(t.ownerRevision, t.startedAt)
	for {
		ledger.Sleep(t.ctx, fenceSweepInterval)
		if t.ctx.Err() != nil {
			return
		}
		t.sweepFences(t.ctx, &ages)
	}
}

// sweepFences reads all fences and removes the old ones. What it does not remove is left to the next
// look.
func (t *term) sweepFences(ctx context.Context, ages *revisionAges) {
	snap, err := t.host.cfg.Store.RangeStale(ctx, record.FencePrefix)
	if err != nil {
		t.log.Info("fences not read", zap.Error(err))
		return
	}
	now := t.now().Steady
	ages.add(snap.Revision, now)
	last := ages.olderThan(now, t.host.cfg.FenceRetention)
	var due []ledger.Item
	for _, it := range snap.Items {
		// Hosts of earlier versions attach their fences to leases.
		if it.Lease == 0 && it.Revision <= last {
			due = append(due, it)
		}
	}
	if len(due) == 0 {
		return
	}
	removed, err := t.removeFences(ctx, due)
	t.log.Info("fences removed", zap.Int("count", removed), zap.Int("left", len(snap.Items)-removed), zap.Duration("took", t.now().Steady-now), zap.Error(err))
}

// removeFences deletes fences, in batches, unless they have changed, and returns how many it has
// deleted. It stops at the first error but a failed precondition.
func (t *term) removeFences(ctx context.Context, due []ledger.Item) (int, error) {
	removed := 0
	for len(due) > 0 {
		n := min(len(due), maxFencesPerCommit)
		var txn ledger.Txn
		for _, it := range due[:n] {
			txn.Preconditions = append(txn.Preconditions, ledger.Precondition{Key: it.Key, Revision: it.Revision})
			txn.Deletes = append(txn.Deletes, it.Key)
		}
		_, err := t.host.cfg.Store.Commit(ctx, txn)
		var conflict *ledger.ConflictError
		switch {
		case err == nil:
			removed += n
			due = due[n:]
		case errors.As(err, &conflict) && len(unchanged(due[:n], conflict)) < n:
			due = append(unchanged(due[:n], conflict), due[n:]...)
		default:
			return removed, err
		}
		ledger.Sleep(ctx, fenceBatchDelay)
	}
	return removed, nil
}

// unchanged returns the items whose preconditions held in a conflict.
func unchanged(items []ledger.Item, c *ledger.ConflictError) []ledger.Item {
	var out []ledger.Item
	for _, it := range items {
		if c.Find(it.Key).Revision == it.Revision {
			out = append(out, it)
		}
	}
	return out
}

// revisionAges knows how old revisions of the store are at least, without a clock that other hosts
// share.
type revisionAges struct {
	seen []seenRevision
}

// seenRevision says that the store had a revision by a steady time.
type seenRevision struct {
	revision ledger.Revision
	at       time.Duration
}

// add records a revision that the store had by a steady time. A revision that a stale read returned
// may be lower than an earlier one.
func (a *revisionAges) add(r ledger.Revision, at time.Duration) {
	a.seen = append(a.seen, seenRevision{revision: r, at: at})
}

// olderThan returns the highest revision that is known to be older than age at a steady time, or zero.
// Later calls must not ask for a lower time less age.
func (a *revisionAges) olderThan(now, age time.Duration) ledger.Revision {
	var last ledger.Revision
	n := 0
	for n < len(a.seen) && now-a.seen[n].at > age {
		last = max(last, a.seen[n].revision)
		n++
	}
	if n > 1 {
		// The highest one stands for all that are older.
		a.seen[n-1].revision = last
		a.seen = a.seen[n-1:]
	}
	return last
}
