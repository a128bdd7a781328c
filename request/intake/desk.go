// Package intake takes callers' workflows in: it makes them durable, cancels them
// and tells their state. Any host does this for any shard; the owner learns of it
// from the store.
//
// # Usage
//
//	d := intake.New(intake.Config{Store: store, ...})
//	err := d.Submit(ctx, flow, table)
//	state, err := d.State(ctx, id)
//
// A submission ends in one of three ways. No error: the job is durable, now or by
// an earlier call with the same id. heatherhub.ErrUnavailable: it was not
// accepted and never runs. heatherhub.ErrUnknown: it may have been accepted; the
// same id may be sent again.
package intake

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/version/queues"
)

// Clock reads the host's clocks.
type Clock interface {
	Now() dispatch.Moment
}

// Config is the configuration of a desk.
type Config struct {
	Store ledger.Store
	// TableKey is where the store holds the configuration.
	TableKey string
	Shards   *ShardSelector
	// LocalState returns the state of a job that this host owns.
	LocalState func(heatherhub.JobID) (heatherhub.WorkflowState, bool)
	// PeerState returns the state of a job that another host owns.
	PeerState func(context.Context, heatherhub.JobID) (heatherhub.WorkflowState, bool)
	Clock     Clock
	Log       *zap.Logger
}

// JobAPI takes jobs in. It is safe for concurrent use.
type JobAPI struct {
	cfg Config
	// suspectedAt is the steady time of the last call of the store without an
	// answer, or zero if the store has answered since.
	lastFailureAt atomic.Int64
}

// Times of a store that does not answer.
const (
	// submitTimeout bounds the write of a job. The store answers in milliseconds,
	// and in a quarter of a second when it is slow.
	submitTimeout = 600 * time.Millisecond
	// probeInterval is how often one submission may try a store that does not
	// answer; the others are refused at once.
	storeProbeInterval = 400 * time.Millisecond
	// outageRetry is what refused callers are told to wait. Outages last seconds.
	outageRetryAfter = time.Second
)

// MarkStoreAvailable notes that the store answers again.
func (a *JobAPI) MarkStoreAvailable() {
	a.lastFailureAt.Store(0)
}

// admit refuses a submission while the store is known not to answer.
func (a *JobAPI) checkStore() error {
	since := a.lastFailureAt.Load()
	if since == 0 {
		return nil
	}
	now := int64(a.cfg.Clock.Now().Steady)
	if now-since >= int64(storeProbeInterval) && a.lastFailureAt.CompareAndSwap(since, now) {
		return nil
	}
	return heatherhub.WithRetryAfter(heatherhub.ErrUnavailable.New("the store does not answer: try again later"), outageRetryAfter)
}

func (a *JobAPI) recordStoreResult(err error) {
	switch {
	case err == nil:
		a.lastFailureAt.Store(0)
	case heatherhub.IsUnknown(err), heatherhub.CodeOf(err) == heatherhub.CodeUnavailable:
		a.lastFailureAt.Store(max(int64(a.cfg.Clock.Now().Steady), 1))
	}
}

// New returns a desk.
func New(cfg Config) *JobAPI {
	return &JobAPI{cfg: cfg}
}

// ErrTableChanged says that the configuration has changed meanwhile: look the
// queue up again. Nothing was done.
var ErrTableChanged = heatherhub.Errors.NewType("tableChanged")

// IsTableChanged reports whether an error is of that type.
func IsTableChanged(err error) bool {
	e := asError(err)
	return e != nil && e.IsOfType(ErrTableChanged)
}

// Submit makes a job durable in a shard that this host chooses. The table must
// still be in force when that happens.
func (a *JobAPI) Submit(ctx context.Context, flow *heatherhub.Workflow, table *queues.Table) error {
	if err := a.checkStore(); err != nil {
		a.cfg.Log.Info("job refused", zap.String("job", string(flow.ID)), zap.String("why", "store silent"))
		return err
	}
	shard, err := a.cfg.Shards.Choose(flow)
	if err != nil {
		return err
	}
	flow.Shard = shard
	flow.Accepted = a.cfg.Clock.Now().Wall
	value, err := record.Encode(flow)
	if err != nil {
		return err
	}
	key := record.JobKey(flow.ID)
	txn := ledger.Txn{
		Require: []ledger.Require{{Key: key}, {Key: a.cfg.TableKey, Revision: table.Revision}},
		Puts:    []ledger.Put{{Key: key, Value: value}},
	}
	started := time.Now()
	err = a.commit(ctx, txn, key)
	a.cfg.Log.Info("job submitted", zap.String("job", string(flow.ID)), zap.String("queue", string(flow.Queue)),
		zap.Stringer("shard", shard), zap.Uint64("version", uint64(table.Version)),
		zap.Duration("took", time.Since(started)), zap.String("outcome", outcomeOf(err)), zap.Error(err))
	return err
}

// commit writes a job. A lost answer is settled by one more try: if the first
// took effect, the key is there.
func (a *JobAPI) commit(ctx context.Context, txn ledger.Txn, key string) error {
	_, err := a.commitOnce(ctx, txn)
	isUnknown := heatherhub.IsUnknown(err)
	if isUnknown && ctx.Err() == nil {
		_, err = a.commitOnce(ctx, txn)
	}
	var conflict *ledger.ConflictError
	switch {
	case errors.As(err, &conflict) && conflict.Find(key).Revision > 0:
		return nil
	case errors.As(err, &conflict):
		if isUnknown {
			return heatherhub.ErrUnknown.New("the job may have been accepted: send it again with the same id")
		}
		return ErrTableChanged.New("the configuration has changed: look the queue up again")
	case err != nil && isUnknown:
		return heatherhub.ErrUnknown.Wrap(err, "the job may have been accepted: send it again with the same id")
	default:
		return err
	}
}

func (a *JobAPI) commitOnce(ctx context.Context, txn ledger.Txn) (ledger.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	rev, err := a.cfg.Store.Commit(ctx, txn)
	a.recordStoreResult(err)
	return rev, err
}

// cancelTries bounds the tries of a cancel that meets moves of its job.
const maxCancelAttempts = 4

// Cancel makes the cancel of a job durable. heatherhub.ErrNotFound says that there
// is no such job.
func (a *JobAPI) Cancel(ctx context.Context, id heatherhub.JobID) error {
	var err error
	for range maxCancelAttempts {
		err = a.cancelOnce(ctx, id)
		var conflict *ledger.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		// The job has moved to another shard meanwhile. Nothing was done.
		err = heatherhub.ErrUnavailable.New("job %s moved at that moment: try again", id)
	}
	a.cfg.Log.Info("job cancelled", zap.String("job", string(id)), zap.String("outcome", outcomeOf(err)), zap.Error(err))
	return err
}

func (a *JobAPI) cancelOnce(ctx context.Context, id heatherhub.JobID) error {
	it, err := a.cfg.Store.Get(ctx, record.JobKey(id))
	if err != nil {
		return err
	}
	if it.Revision == 0 {
		return heatherhub.ErrNotFound.New("there is no job %s", id)
	}
	_, err = a.cfg.Store.Commit(ctx, ledger.Txn{
		Require: []ledger.Require{{Key: record.JobKey(id), Revision: it.Revision}},
		Puts:    []ledger.Put{{Key: record.CancelKey(id), Value: []byte{}}},
	})
	return err
}

// State returns the state of a job. heatherhub.ErrNotFound says that there is no
// such job.
func (a *JobAPI) State(ctx context.Context, id heatherhub.JobID) (heatherhub.WorkflowState, error) {
	if s, ok := a.cfg.LocalState(id); ok {
		return s, nil
	}
	if s, ok := a.cfg.PeerState(ctx, id); ok {
		return s, nil
	}
	it, err := a.cfg.Store.Get(ctx, record.ProgressKey(id))
	if err != nil {
		return "", err
	}
	if it.Revision > 0 {
		var p dispatch.Progress
		if err := heatherhub.Unmarshal(it.Value, &p); err != nil {
			return "", err
		}
		if p.State.IsFinal() {
			return p.State, nil
		}
		return heatherhub.WorkflowRunning, nil
	}
	it, err = a.cfg.Store.Get(ctx, record.JobKey(id))
	if err != nil {
		return "", err
	}
	if it.Revision == 0 {
		return "", heatherhub.ErrNotFound.New("there is no job %s", id)
	}
	return heatherhub.WorkflowQueued, nil
}

// QueuedJobs returns how many jobs of a queue wait for their first start.
func (a *JobAPI) QueuedJobs(ctx context.Context, queue heatherhub.QueueID) (int, error) {
	return a.cfg.Shards.QueuedJobs(ctx, queue)
}

func outcomeOf(err error) string {
	if err == nil {
		return "accepted"
	}
	if IsTableChanged(err) {
		return "tableChanged"
	}
	return string(heatherhub.CodeOf(err))
}
