// Package intake accepts, cancels and reports on workflows. Any host can do so for
// any shard, because jobs and cancels are written to the store, where the shard's
// owner reads them.
//
// # Usage
//
//	api := intake.New(intake.Config{Store: store, ...})
//	err := api.Submit(ctx, flow, table)
//	state, err := api.State(ctx, id)
//
// Submit returns nil if the job is durable, through this call or an earlier one with
// the same id. heatherhub.ErrUnavailable means that the job was not accepted and
// never runs, ErrTableChanged that the queue has to be looked up again, and
// heatherhub.ErrUnknown that the job may have been accepted; it is safe to send it
// again with the same id.
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

// Config holds the dependencies of a JobAPI.
type Config struct {
	Store ledger.Store
	// TableKey is the store key of the configuration.
	TableKey string
	Shards   *ShardSelector
	Queues   *QueueCounter
	// LocalState returns the state of a job in a shard that this host owns, and
	// false for any other job.
	LocalState func(heatherhub.JobID) (heatherhub.WorkflowState, bool)
	// PeerState returns the state of a job in a shard that another host owns. It
	// returns false if no host knows the job or none replied.
	PeerState func(context.Context, heatherhub.JobID) (heatherhub.WorkflowState, bool)
	Clock     Clock
	Log       *zap.Logger
	// Admission, if set, refuses jobs that would end too late.
	Admission *Admission
}

// JobAPI submits, cancels and queries jobs. It is safe for concurrent use.
type JobAPI struct {
	cfg Config
	// lastFailureAt is the monotonic time, in nanoseconds, of the last store call that got
	// no reply, found the store unavailable or was let through as a probe; zero if a call
	// has succeeded or MarkStoreAvailable was called since.
	lastFailureAt atomic.Int64
	inFlight      inFlight
	fences        fences
}

// Timeouts and intervals for an unresponsive store.
const (
	// submitTimeout bounds one write of a job. The store replies within
	// milliseconds, or within 250 ms when it is slow.
	submitTimeout = 600 * time.Millisecond
	// storeProbeInterval is the time between submissions that are let through to
	// probe an unresponsive store. All others fail at once.
	storeProbeInterval = 400 * time.Millisecond
	// maxConflictBytes excludes the configuration from the answer to a refused submission. It
	// may have hundreds of kilobytes, which the host reads once, by its watch.
	maxConflictBytes = 64 << 10
	// outageRetryAfter is the retry delay returned with refused submissions. Store
	// outages last seconds.
	outageRetryAfter = time.Second
)

// MarkStoreAvailable ends the refusal of submissions after another component has had
// a reply from the store.
func (a *JobAPI) MarkStoreAvailable() {
	a.lastFailureAt.Store(0)
}

// checkStore returns ErrUnavailable while the store is unresponsive. Once per storeProbeInterval, a
// submission first reads the job's key: a read without an answer leaves no doubt whether the job was
// accepted, as a write would. checkStore reports true if the job exists.
func (a *JobAPI) checkStore(ctx context.Context, id heatherhub.JobID) (bool, error) {
	since := a.lastFailureAt.Load()
	if since == 0 {
		return false, nil
	}
	unavailable := heatherhub.WithRetryAfter(heatherhub.ErrUnavailable.New("the store is not responding: try again later"), outageRetryAfter)
	now := int64(a.cfg.Clock.Now().Steady)
	if now-since < int64(storeProbeInterval) || !a.lastFailureAt.CompareAndSwap(since, now) {
		return false, unavailable
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	it, err := a.cfg.Store.Get(ctx, record.JobKey(id))
	a.recordStoreResult(err)
	if err != nil {
		return false, unavailable
	}
	return it.Revision > 0, nil
}

// recordStoreResult clears lastFailureAt after a successful store call, and sets it if
// the outcome is unknown or the store is unavailable. Other errors, such as conflicts,
// leave it as it is.
func (a *JobAPI) recordStoreResult(err error) {
	switch {
	case err == nil:
		a.lastFailureAt.Store(0)
	case heatherhub.IsUnknown(err), heatherhub.CodeOf(err) == heatherhub.CodeUnavailable:
		a.lastFailureAt.Store(max(int64(a.cfg.Clock.Now().Steady), 1))
	}
}

// New returns a JobAPI that assumes that the store is available.
func New(cfg Config) *JobAPI {
	return &JobAPI{cfg: cfg, fences: fences{store: cfg.Store}}
}

// ErrTableChanged means that the configuration was replaced after the caller read
// it. The job was not accepted; look up its queue in the new table and submit it
// again.
var ErrTableChanged = heatherhub.Errors.NewType("tableChanged")

// IsTableChanged reports whether err has the type ErrTableChanged.
func IsTableChanged(err error) bool {
	e := asError(err)
	return e != nil && e.IsOfType(ErrTableChanged)
}

// Submit chooses a shard and writes the job to the store. It sets flow.Shard and
// flow.Accepted. The write succeeds only if table is still the current
// configuration. See the package comment for the errors.
func (a *JobAPI) Submit(ctx context.Context, flow *heatherhub.Workflow, table *queues.Table) error {
	a.inFlight.begin(flow.ID)
	isNew, err := a.submit(ctx, flow, table)
	a.inFlight.end(a.cfg.Clock.Now().Steady, flow.ID, err)
	if err == nil && a.cfg.Admission != nil {
		a.cfg.Admission.Accepted(flow, isNew)
	}
	return err
}

// refuseLate returns an error for a job that would end too late, unless it was accepted through
// another submission or this host has another one of it. Each refused job is fenced, as another host
// may have accepted it or may still do so. If the store does not answer, the write of the job settles
// the matter.
func (a *JobAPI) refuseLate(ctx context.Context, flow *heatherhub.Workflow) error {
	if a.cfg.Admission == nil || !a.inFlight.isOnly(a.cfg.Clock.Now().Steady, flow.ID) {
		return nil
	}
	r := a.cfg.Admission.Decide(flow)
	if r == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	isAccepted, err := a.fences.refuse(ctx, flow.ID)
	a.recordStoreResult(err)
	if err != nil {
		a.cfg.Log.Info("job not fenced", zap.String("job", string(flow.ID)), zap.Error(err))
		return nil
	}
	if isAccepted || !a.inFlight.isOnly(a.cfg.Clock.Now().Steady, flow.ID) {
		return nil
	}
	return a.cfg.Admission.Refused(flow, r)
}

// submit is Submit. It reports whether this submission has written the job, as far as is known.
func (a *JobAPI) submit(ctx context.Context, flow *heatherhub.Workflow, table *queues.Table) (bool, error) {
	isStored, err := a.checkStore(ctx, flow.ID)
	if err != nil && !a.inFlight.isOnly(a.cfg.Clock.Now().Steady, flow.ID) {
		err = errMayBeAccepted(err)
	}
	if err != nil {
		a.cfg.Log.Info("job refused", zap.String("job", string(flow.ID)), zap.String("why", "store silent"))
	}
	if err != nil || isStored {
		return false, err
	}
	if isAccepted, err := a.checkPool(ctx, flow, table); isAccepted || err != nil {
		return false, err
	}
	if err := a.refuseLate(ctx, flow); err != nil {
		return false, err
	}
	shard, err := a.cfg.Shards.Choose(flow)
	if err != nil {
		return false, err
	}
	flow.Shard = shard
	flow.Accepted = a.cfg.Clock.Now().Wall
	value, err := record.Encode(flow)
	if err != nil {
		return false, err
	}
	started := time.Now()
	isNew, err := a.commit(ctx, submission{id: flow.ID, value: value, tableKey: a.cfg.TableKey, tableRevision: table.Revision})
	a.cfg.Log.Info("job submitted", zap.String("job", string(flow.ID)), zap.String("queue", string(flow.Queue)),
		zap.Stringer("shard", shard), zap.Uint64("version", uint64(table.Version)),
		zap.Duration("took", time.Since(started)), zap.String("outcome", outcomeOf(err)), zap.Error(err))
	return isNew, err
}

// checkPool returns heatherhub.ErrUnavailable if no worker may take the tasks of the job because of
// evacuations. It reports true if the job was accepted before: a caller that has missed the answer
// sends it again, and must not be told that it has not run. A refused job is fenced. If this host has
// another submission of the job, the write of the job settles the matter.
func (a *JobAPI) checkPool(ctx context.Context, flow *heatherhub.Workflow, table *queues.Table) (bool, error) {
	q := table.Queue(flow.Queue)
	if q == nil {
		return false, nil
	}
	refusal := a.cfg.Shards.CheckPool(q.Pool)
	if refusal == nil || !a.inFlight.isOnly(a.cfg.Clock.Now().Steady, flow.ID) {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	isAccepted, err := a.fences.refuse(ctx, flow.ID)
	a.recordStoreResult(err)
	a.cfg.Log.Info("job refused", zap.String("job", string(flow.ID)), zap.String("queue", string(flow.Queue)), zap.String("why", "pool evacuated"),
		zap.Bool("accepted", isAccepted), zap.Error(err))
	switch {
	case err != nil:
		return false, errMayBeAccepted(err)
	case isAccepted:
		return true, nil
	case !a.inFlight.isOnly(a.cfg.Clock.Now().Steady, flow.ID):
		return false, nil
	default:
		return false, refusal
	}
}

// maxCancelAttempts bounds the attempts to cancel a job that moves between shards.
const maxCancelAttempts = 4

// Cancel writes the cancel of a job to the store. It returns heatherhub.ErrNotFound
// if the job does not exist; no submission of it starts any task then. It returns
// heatherhub.ErrUnavailable if the store was not reached or every attempt conflicted with a
// change of the job's record; nothing was written then.
func (a *JobAPI) Cancel(ctx context.Context, id heatherhub.JobID) error {
	var err error
	for range maxCancelAttempts {
		err = a.cancelOnce(ctx, id)
		var conflict *ledger.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		// The job was accepted or moved to another shard between the read and the write.
		err = heatherhub.ErrUnavailable.New("job %s has changed at the same time: try again", id)
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
		// A submission without an answer, at any host, must not take effect after this one.
		if err := a.fences.cancel(ctx, id); err != nil {
			return err
		}
		a.inFlight.settle(id)
		return heatherhub.ErrNotFound.New("there is no job %s", id)
	}
	_, err = a.cfg.Store.Commit(ctx, ledger.Txn{
		Preconditions: []ledger.Precondition{{Key: record.JobKey(id), Revision: it.Revision}},
		Puts:          []ledger.Put{{Key: record.CancelKey(id), Value: []byte{}}},
	})
	return err
}

// State returns the state of a job. It asks this host's shards, then the other
// owners, then the store. It returns heatherhub.ErrNotFound if the job does not
// exist, and heatherhub.ErrUnavailable while a submission of it by this host may still
// take effect.
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
	isOpen := a.inFlight.isOpen(a.cfg.Clock.Now().Steady, id)
	it, err = a.cfg.Store.Get(ctx, record.JobKey(id))
	if err != nil {
		return "", err
	}
	if it.Revision == 0 && isOpen {
		return "", heatherhub.WithRetryAfter(heatherhub.ErrUnavailable.New("it is not known yet whether job %s was accepted: try again", id), outageRetryAfter)
	}
	if it.Revision == 0 {
		return "", heatherhub.ErrNotFound.New("there is no job %s", id)
	}
	return heatherhub.WorkflowQueued, nil
}

// QueuedJobs returns the number of jobs in a queue that wait for their first task to
// start. It returns heatherhub.ErrUnavailable if the number is not known in full.
func (a *JobAPI) QueuedJobs(ctx context.Context, queue heatherhub.QueueID) (int, error) {
	return a.cfg.Queues.Count(ctx, queue)
}

// outcomeOf returns the outcome field of the log events.
func outcomeOf(err error) string {
	if err == nil {
		return "accepted"
	}
	if IsTableChanged(err) {
		return "tableChanged"
	}
	return string(heatherhub.CodeOf(err))
}
