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
	Shards   *Shards
	// Local returns the state of a job that this host owns.
	Local func(heatherhub.JobID) (heatherhub.WorkflowState, bool)
	// Peers returns the state of a job that another host owns.
	Peers func(context.Context, heatherhub.JobID) (heatherhub.WorkflowState, bool)
	Clock Clock
	Log   *zap.Logger
}

// Desk takes jobs in. It is safe for concurrent use.
type Desk struct {
	cfg Config
	// suspectedAt is the steady time of the last call of the store without an
	// answer, or zero if the store has answered since.
	suspectedAt atomic.Int64
}

// Times of a store that does not answer.
const (
	// submitTimeout bounds the write of a job. The store answers in milliseconds,
	// and in a quarter of a second when it is slow.
	submitTimeout = 600 * time.Millisecond
	// probeInterval is how often one submission may try a store that does not
	// answer; the others are refused at once.
	probeInterval = 400 * time.Millisecond
	// outageRetry is what refused callers are told to wait. Outages last seconds.
	outageRetry = time.Second
)

// StoreAnswered notes that the store answers again.
func (d *Desk) StoreAnswered() {
	d.suspectedAt.Store(0)
}

// admit refuses a submission while the store is known not to answer.
func (d *Desk) admit() error {
	since := d.suspectedAt.Load()
	if since == 0 {
		return nil
	}
	now := int64(d.cfg.Clock.Now().Steady)
	if now-since >= int64(probeInterval) && d.suspectedAt.CompareAndSwap(since, now) {
		return nil
	}
	return heatherhub.WithRetryAfter(heatherhub.ErrUnavailable.New("the store does not answer: try again later"), outageRetry)
}

func (d *Desk) suspect(err error) {
	switch {
	case err == nil:
		d.suspectedAt.Store(0)
	case heatherhub.IsUnknown(err), heatherhub.CodeOf(err) == heatherhub.CodeUnavailable:
		d.suspectedAt.Store(max(int64(d.cfg.Clock.Now().Steady), 1))
	}
}

// New returns a desk.
func New(cfg Config) *Desk {
	return &Desk{cfg: cfg}
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
func (d *Desk) Submit(ctx context.Context, flow *heatherhub.Workflow, table *queues.Table) error {
	if err := d.admit(); err != nil {
		d.cfg.Log.Info("job refused", zap.String("job", string(flow.ID)), zap.String("why", "store silent"))
		return err
	}
	shard, err := d.cfg.Shards.Choose(flow)
	if err != nil {
		return err
	}
	flow.Shard = shard
	flow.Accepted = d.cfg.Clock.Now().Wall
	value, err := record.Encode(flow)
	if err != nil {
		return err
	}
	key := record.JobKey(flow.ID)
	txn := ledger.Txn{
		Preconditions: []ledger.Precondition{{Key: key}, {Key: d.cfg.TableKey, Revision: table.Revision}},
		Puts:          []ledger.Put{{Key: key, Value: value}},
	}
	started := time.Now()
	err = d.commit(ctx, txn, key)
	d.cfg.Log.Info("job submitted", zap.String("job", string(flow.ID)), zap.String("queue", string(flow.Queue)),
		zap.Stringer("shard", shard), zap.Uint64("version", uint64(table.Version)),
		zap.Duration("took", time.Since(started)), zap.String("outcome", outcomeOf(err)), zap.Error(err))
	return err
}

// commit writes a job. A lost answer is settled by one more try: if the first
// took effect, the key is there.
func (d *Desk) commit(ctx context.Context, txn ledger.Txn, key string) error {
	_, err := d.try(ctx, txn)
	isDoubtful := heatherhub.IsUnknown(err)
	if isDoubtful && ctx.Err() == nil {
		_, err = d.try(ctx, txn)
	}
	var conflict *ledger.ConflictError
	switch {
	case errors.As(err, &conflict) && conflict.Find(key).Revision > 0:
		return nil
	case errors.As(err, &conflict):
		if isDoubtful {
			return heatherhub.ErrUnknown.New("the job may have been accepted: send it again with the same id")
		}
		return ErrTableChanged.New("the configuration has changed: look the queue up again")
	case err != nil && isDoubtful:
		return heatherhub.ErrUnknown.Wrap(err, "the job may have been accepted: send it again with the same id")
	default:
		return err
	}
}

func (d *Desk) try(ctx context.Context, txn ledger.Txn) (ledger.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	rev, err := d.cfg.Store.Commit(ctx, txn)
	d.suspect(err)
	return rev, err
}

// cancelTries bounds the tries of a cancel that meets moves of its job.
const cancelTries = 4

// Cancel makes the cancel of a job durable. heatherhub.ErrNotFound says that there
// is no such job.
func (d *Desk) Cancel(ctx context.Context, id heatherhub.JobID) error {
	var err error
	for range cancelTries {
		err = d.cancel(ctx, id)
		var conflict *ledger.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		// The job has moved to another shard meanwhile. Nothing was done.
		err = heatherhub.ErrUnavailable.New("job %s moved at that moment: try again", id)
	}
	d.cfg.Log.Info("job cancelled", zap.String("job", string(id)), zap.String("outcome", outcomeOf(err)), zap.Error(err))
	return err
}

func (d *Desk) cancel(ctx context.Context, id heatherhub.JobID) error {
	it, err := d.cfg.Store.Get(ctx, record.JobKey(id))
	if err != nil {
		return err
	}
	if it.Revision == 0 {
		return heatherhub.ErrNotFound.New("there is no job %s", id)
	}
	_, err = d.cfg.Store.Commit(ctx, ledger.Txn{
		Preconditions: []ledger.Precondition{{Key: record.JobKey(id), Revision: it.Revision}},
		Puts:          []ledger.Put{{Key: record.CancelKey(id), Value: []byte{}}},
	})
	return err
}

// State returns the state of a job. heatherhub.ErrNotFound says that there is no
// such job.
func (d *Desk) State(ctx context.Context, id heatherhub.JobID) (heatherhub.WorkflowState, error) {
	if s, ok := d.cfg.Local(id); ok {
		return s, nil
	}
	if s, ok := d.cfg.Peers(ctx, id); ok {
		return s, nil
	}
	it, err := d.cfg.Store.Get(ctx, record.ProgressKey(id))
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
	it, err = d.cfg.Store.Get(ctx, record.JobKey(id))
	if err != nil {
		return "", err
	}
	if it.Revision == 0 {
		return "", heatherhub.ErrNotFound.New("there is no job %s", id)
	}
	return heatherhub.WorkflowQueued, nil
}

// Waiting returns how many jobs of a queue wait for their first start.
func (d *Desk) Waiting(ctx context.Context, queue heatherhub.QueueID) (int, error) {
	return d.cfg.Shards.Waiting(ctx, queue)
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
