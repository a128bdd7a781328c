package intake

import (
	"context"
	"errors"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/record"
)

// maxFenceAttempts bounds the attempts to write a fence that others write as well.
const maxFenceAttempts = 3

// fences writes the fences of jobs (see record.Fence). They are attached to no lease, since a fence
// must stay when its host is cut off or ends; process/owner removes them after minutes. It is safe for
// concurrent use.
type fences struct {
	store ledger.Store
}

// cancel fences a job as cancelled. It returns a *ledger.ConflictError if the job has a record.
func (f fences) cancel(ctx context.Context, id heatherhub.JobID) error {
	return f.write(ctx, id, record.Fence{IsCancelled: true})
}

// refuse invalidates the submissions of a job, unless it is fenced as cancelled. It reports true if
// the job has a record.
func (f fences) refuse(ctx context.Context, id heatherhub.JobID) (isAccepted bool, err error) {
	var current ledger.Item
	for range maxFenceAttempts {
		err = f.write(ctx, id, record.Fence{}, ledger.Precondition{Key: record.FenceKey(id), Revision: current.Revision})
		var conflict *ledger.ConflictError
		if !errors.As(err, &conflict) {
			return false, err
		}
		if conflict.Find(record.JobKey(id)).Revision > 0 {
			return true, nil
		}
		current = conflict.Find(record.FenceKey(id))
		if isCancelled, err := isCancelFence(current); err != nil || isCancelled {
			return false, err
		}
	}
	return false, err
}

// isCancelFence reports whether a fence says that its job was cancelled. The item may be absent.
func isCancelFence(it ledger.Item) (bool, error) {
	if it.Revision == 0 {
		return false, nil
	}
	var fence record.Fence
	if err := heatherhub.Unmarshal(it.Value, &fence); err != nil {
		return false, heatherhub.ErrUnavailable.Wrap(err, "%s is unreadable: try again later", it.Key)
	}
	return fence.IsCancelled, nil
}

// write replaces the fence of a job if the job has no record and the preconditions hold.
func (f fences) write(ctx context.Context, id heatherhub.JobID, fence record.Fence, preconditions ...ledger.Precondition) error {
	value, err := record.Encode(fence)
	if err != nil {
		return err
	}
	_, err = f.store.Commit(ctx, ledger.Txn{
		Preconditions: append([]ledger.Precondition{{Key: record.JobKey(id)}}, preconditions...),
		Puts:          []ledger.Put{{Key: record.FenceKey(id), Value: value}},
	})
	return err
}

// submission is a job to be written.
type submission struct {
	id    heatherhub.JobID
	value []byte
	// tableKey and tableRevision are the key and the revision of the configuration that the
	// submission relies on.
	tableKey      string
	tableRevision ledger.Revision
}

// txn returns the transaction that writes the job if it has no record and the configuration and the
// fence are unchanged. A job that was cancelled is written with its cancel.
func (s *submission) txn(fence ledger.Item) (ledger.Txn, error) {
	txn := ledger.Txn{
		Preconditions: []ledger.Precondition{
			{Key: record.JobKey(s.id)}, {Key: record.FenceKey(s.id), Revision: fence.Revision}, {Key: s.tableKey, Revision: s.tableRevision},
		},
		Puts:             []ledger.Put{{Key: record.JobKey(s.id), Value: s.value}},
		MaxConflictBytes: maxConflictBytes,
	}
	isCancelled, err := isCancelFence(fence)
	if isCancelled {
		txn.Puts = append(txn.Puts, ledger.Put{Key: record.CancelKey(s.id), Value: []byte{}})
	}
	return txn, err
}

// maxCommitAttempts bounds the attempts to write a job: one, one after a lost reply, and two whose fence
// has changed meanwhile.
const maxCommitAttempts = 4

// errMayBeAccepted returns heatherhub.ErrUnknown for a submission that may take effect.
func errMayBeAccepted(cause error) error {
	const message = "the job may have been accepted: send it again with the same id"
	if cause == nil {
		return heatherhub.ErrUnknown.New(message)
	}
	return heatherhub.ErrUnknown.Wrap(cause, message)
}

// commit writes a job. If the reply is lost, a second attempt finds out whether the first one took
// effect, because the job's key then exists. If the job has a fence, the next attempt requires its
// revision. commit reports false if the job was there before, and true if this submission has written it
// or may have done so.
func (a *JobAPI) commit(ctx context.Context, s submission) (bool, error) {
	var fence ledger.Item
	// isOpen means that an earlier attempt may still take effect.
	isOpen := false
	for range maxCommitAttempts {
		txn, err := s.txn(fence)
		if err == nil {
			_, err = a.commitOnce(ctx, txn)
		}
		var conflict *ledger.ConflictError
		switch {
		case heatherhub.IsUnknown(err) && !isOpen && ctx.Err() == nil:
			isOpen = true
			continue
		case errors.As(err, &conflict):
		case err != nil && (isOpen || heatherhub.IsUnknown(err)):
			return false, errMayBeAccepted(err)
		default:
			return err == nil, err
		}
		job, found, err := a.readConflict(ctx, conflict, s.id)
		switch {
		case err != nil:
			return false, errMayBeAccepted(err)
		case job.Revision > 0:
			return isOpen, nil
		case found.Revision != fence.Revision && isOpen:
			// The fence has invalidated the earlier attempt, so a refusal elsewhere stands.
			return false, heatherhub.WithRetryAfter(heatherhub.ErrUnavailable.New("job %s was refused or cancelled at the same time: try again", s.id), outageRetryAfter)
		case found.Revision != fence.Revision:
			fence = found
		case isOpen:
			return false, errMayBeAccepted(nil)
		default:
			return false, ErrTableChanged.New("the configuration has changed: look up the queue again")
		}
	}
	return false, errMayBeAccepted(nil)
}

// readConflict returns the record and the fence of a job after a failed precondition. It reads them
// if the conflict lacks its items.
func (a *JobAPI) readConflict(ctx context.Context, c *ledger.ConflictError, id heatherhub.JobID) (job, fence ledger.Item, err error) {
	if !c.IsIncomplete {
		return c.Find(record.JobKey(id)), c.Find(record.FenceKey(id)), nil
	}
	// A job that is written between the reads is found by the next attempt.
	if job, err = a.cfg.Store.Get(ctx, record.JobKey(id)); err != nil || job.Revision > 0 {
		return job, fence, err
	}
	fence, err = a.cfg.Store.Get(ctx, record.FenceKey(id))
	return job, fence, err
}

func (a *JobAPI) commitOnce(ctx context.Context, txn ledger.Txn) (ledger.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	rev, err := a.cfg.Store.Commit(ctx, txn)
	a.recordStoreResult(err)
	return rev, err
}
