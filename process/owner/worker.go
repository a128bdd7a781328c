package owner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
)

// Times of the loops of a worker.
const (
	// pollWait is how long a poll waits for an end; it is also the interval of
	// the measures.
	pollWait = time.Second
	// missedTargetPollWait is pollWait while a target is missed: fillers beside it have to
	// be halted well before four seconds.
	missedTargetPollWait = 400 * time.Millisecond
	// pollRetryDelay is the pause after a poll without an answer.
	pollRetryDelay = 150 * time.Millisecond
	// maxCommitWait bounds the wait for ends to be durable; leases and new ends must
	// not wait for the store.
	maxCommitWait = 250 * time.Millisecond
	// startValidity is how long a start may take to arrive.
	startValidity = 2 * time.Second
	// maxOrderAge is the age at which an order that was not sent is outdated.
	maxOrderAge = time.Second
	// supersededOwnerGrace is how long an earlier owner may go on that has lost most workers
	// to this one: a poll and its slack, or minorityGrace less the time in which its
	// session ended.
	supersededOwnerGrace = 2 * time.Second
	// maxClockDrift is how much slower than ours a worker's clock may run.
	maxClockDrift = 0.02
	// leaseSlack covers the worker's own delay in ending tasks.
	leaseSlack = 200 * time.Millisecond
)

// workerLoop talks to one life of one worker.
type workerLoop struct {
	term   *term
	client agent.Agent
	ctx    context.Context
	cancel context.CancelFunc

	// The term's lock guards these.
	entry    agent.Worker
	isListed bool
	isUp     bool
	// isGone says that nothing runs there any more, as far as is known.
	isGone bool
	// answeredAt is when the worker last answered a poll, unlistedAt when its entry
	// was removed.
	answeredAt time.Duration
	unlistedAt time.Duration

	mu         sync.Mutex
	queue      []timedOrder
	queueReady chan struct{}
	// isSilent says that the last poll had no answer. Polls do not renew the lease
	// then, so that it ends at a time that is known.
	isSilent atomic.Bool
	// clock is the worker's clock as read at clockAt; until is the latest end of
	// a lease that was sent.
	clock      agent.Clock
	clockAt    time.Duration
	leaseUntil agent.Clock
}

type timedOrder struct {
	dispatch.Order
	decidedAt time.Duration
}

// markUnlisted notes that the worker's entry is gone: nothing new starts there. The
// caller has the term's lock.
func (w *workerLoop) markUnlisted() {
	if w.isListed {
		w.unlistedAt = w.term.now().Steady
	}
	w.isListed = false
	w.entry.Draining = true
	w.term.engine.UpdateWorker(w.entry)
}

func (w *workerLoop) enqueue(now dispatch.Moment, o dispatch.Order) {
	w.mu.Lock()
	w.queue = append(w.queue, timedOrder{Order: o, decidedAt: now.Steady})
	w.mu.Unlock()
	signal(w.queueReady)
}

func (w *workerLoop) dequeue() (timedOrder, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		return timedOrder{}, false
	}
	o := w.queue[0]
	w.queue = w.queue[1:]
	return o, true
}

// grantLease returns the worker's clock d from now, or zero before the first report.
func (w *workerLoop) grantLease(now, d time.Duration) agent.Clock {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock == 0 {
		return 0
	}
	until := w.clock.Add(now - w.clockAt + d)
	w.leaseUntil = max(w.leaseUntil, until)
	return until
}

func (w *workerLoop) recordClock(now time.Duration, c agent.Clock) {
	if c == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock, w.clockAt = c, now
}

// isLeaseExpired reports whether everything that ran on the worker has lost its lease
// for certain. It has to be proven that no other owner renewed it meanwhile: this
// one must have been in charge after the end of the lease.
func (w *workerLoop) isLeaseExpired(now time.Duration) bool {
	end := w.leaseExpiry()
	if now < end {
		return false
	}
	if w.term.lastConfirmed() < end {
		signal(w.term.wakePublish)
		return false
	}
	return true
}

// leaseExpiry returns when the last lease ends on the slowest clock that a worker may
// have.
func (w *workerLoop) leaseExpiry() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock == 0 {
		return w.term.startedAt + w.term.inheritedRunLimit()
	}
	return w.clockAt + onSlowestClock(w.leaseUntil.Sub(w.clock)) + leaseSlack
}

func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}

// inheritedRunLimit is how long runs of an earlier owner may go on at a worker that
// this owner has not reached: see authority.go.
func (t *term) inheritedRunLimit() time.Duration {
	lease := onSlowestClock(t.host.cfg.WorkerLease) + leaseSlack
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reachesMajorityLocked() {
		return lease + supersededOwnerGrace
	}
	return lease + t.host.cfg.MaxStoreSilence
}

// hasShutDown reports whether a worker that does not answer ended by itself: it was
// there until shortly before its entry was removed. The entry of a worker that
// crashed or was cut off is removed after three heartbeats without one, which is at
// least two after its last answer. The caller has the term's lock.
func (w *workerLoop) hasShutDown() bool {
	const heartbeats = 1.3
	limit := time.Duration(heartbeats * float64(w.term.host.cfg.WorkerHeartbeat))
	return w.isUp && !w.isListed && w.unlistedAt > 0 && w.unlistedAt-w.answeredAt < limit
}

// pollLoop renews the lease and takes in reports until the worker or the term is
// gone.
func (w *workerLoop) pollLoop() {
	defer w.client.Close()
	for w.ctx.Err() == nil {
		if !w.term.mayAct(w.term.now().Steady) {
			ledger.Pause(w.ctx, pollRetryDelay)
			continue
		}
		if !w.poll() {
			ledger.Pause(w.ctx, pollRetryDelay)
			continue
		}
		w.awaitDurableEnds()
	}
}

// awaitDurableEnds waits until the ends of the last report are durable: until then the
// worker would answer each poll at once with the same ends.
func (w *workerLoop) awaitDurableEnds() {
	t := w.term
	limit := time.NewTimer(maxCommitWait)
	defer limit.Stop()
	for {
		t.mu.Lock()
		isPending := t.engine.HasPendingEnds(w.entry.ID)
		committed := t.committed
		t.mu.Unlock()
		if !isPending {
			return
		}
		select {
		case <-committed:
		case <-limit.C:
			return
		case <-w.ctx.Done():
			return
		}
	}
}

// poll makes one poll. It reports whether the worker answered.
func (w *workerLoop) poll() bool {
	t := w.term
	sentAt := t.now().Steady
	t.mu.Lock()
	isUp := w.isUp
	isTense := t.engine.IsTense(w.entry.ID)
	p := agent.Poll{Token: t.token, Acknowledged: t.engine.Acknowledged(w.entry.ID)}
	t.mu.Unlock()
	if !w.isSilent.Load() {
		p.Until = w.grantLease(sentAt, t.host.cfg.WorkerLease)
	}
	switch {
	case !isUp || w.isSilent.Load():
	case isTense:
		p.Wait = missedTargetPollWait
	default:
		p.Wait = pollWait
	}
	r, err := w.client.Poll(w.ctx, p)
	now := t.now()
	if err != nil {
		w.handlePollError(now, err)
		return false
	}
	w.isSilent.Store(false)
	w.recordClock(now.Steady, r.Clock)
	w.applyReport(now, sentAt, &r)
	return true
}

func (w *workerLoop) applyReport(now dispatch.Moment, sentAt time.Duration, r *agent.Report) {
	t := w.term
	t.mu.Lock()
	isUp := w.isUp
	t.mu.Unlock()
	if !isUp && !t.writeFleet(w.ctx) {
		ledger.Pause(w.ctx, pollRetryDelay)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	w.answeredAt = now.Steady
	if w.isUp {
		t.engine.Report(now, sentAt, w.entry.ID, r)
	} else {
		w.isUp, w.isGone = true, false
		t.engine.WorkerUp(now, w.entry, r)
		t.log.Info("worker up", zap.String("worker", string(w.entry.ID)), zap.Int("running", len(r.Running)), zap.Int("ended", len(r.Ended)))
	}
	t.wakeLoops()
}

func (w *workerLoop) handlePollError(now dispatch.Moment, err error) {
	t := w.term
	w.isSilent.Store(true)
	if w.ctx.Err() != nil {
		return
	}
	if w.endTermIfFenced(err) {
		return
	}
	isExpired := w.isLeaseExpired(now.Steady)
	t.mu.Lock()
	defer t.mu.Unlock()
	id := w.entry.ID
	isOver := agent.IsReplaced(err) || w.hasShutDown()
	if !isOver && !isExpired {
		t.engine.WorkerSilent(id)
		return
	}
	if w.isGone && !isOver && w.isListed {
		return
	}
	w.isGone = true
	t.log.Warn("worker gone", zap.String("worker", string(id)), zap.Bool("over", isOver), zap.Bool("listed", w.isListed), zap.Error(err))
	t.engine.WorkerGone(now, id)
	w.isUp = false
	if isOver || !w.isListed {
		t.dropWorker(w)
		signal(t.wakeCommit)
	}
	signal(t.wakeDecide)
}

// endTermIfFenced ends the term if an answer shows that another owner is in charge.
func (w *workerLoop) endTermIfFenced(err error) bool {
	var refused *agent.RefusedError
	if errors.As(err, &refused) && refused.Reason == agent.ReasonFenced {
		w.term.end("worker " + string(w.entry.ID) + " obeys a newer owner")
		return true
	}
	return false
}

// orderLoop sends the orders of the worker one after the other.
func (w *workerLoop) orderLoop() {
	for w.ctx.Err() == nil {
		o, ok := w.dequeue()
		if !ok {
			select {
			case <-w.ctx.Done():
			case <-w.queueReady:
			}
			continue
		}
		w.sendOrder(o)
	}
}

func (w *workerLoop) sendOrder(o timedOrder) {
	t := w.term
	now := t.now()
	outcome := dispatch.Outdated
	var clock agent.Clock
	var err error
	if now.Steady-o.decidedAt <= maxOrderAge {
		clock, err = w.callWorker(now.Steady, o.Order)
		if w.ctx.Err() != nil || w.endTermIfFenced(err) {
			return
		}
		outcome = orderOutcome(err)
	}
	done := t.now()
	if err == nil {
		w.recordClock(done.Steady, clock)
	} else {
		t.log.Info("order failed", zap.String("worker", string(o.Worker)), zap.Stringer("order", o.Kind), zap.String("job", string(o.Task.Job)), zap.Uint64("run", uint64(o.Run)), zap.Error(err))
	}
	t.mu.Lock()
	t.engine.OrderResult(done, o.Order, outcome)
	t.mu.Unlock()
	if outcome != dispatch.Obeyed {
		signal(t.wakeDecide)
	}
	if outcome == dispatch.Unanswered {
		w.pollNow()
	}
}

// pollNow asks at once what became of an order without an answer.
func (w *workerLoop) pollNow() {
	t := w.term
	sentAt := t.now().Steady
	t.mu.Lock()
	p := agent.Poll{Token: t.token, Acknowledged: t.engine.Acknowledged(w.entry.ID)}
	t.mu.Unlock()
	r, err := w.client.Poll(w.ctx, p)
	if err != nil {
		return
	}
	w.applyReport(t.now(), sentAt, &r)
}

func (w *workerLoop) callWorker(now time.Duration, o dispatch.Order) (agent.Clock, error) {
	token := w.term.token
	switch o.Kind {
	case dispatch.StopTask:
		return w.client.Stop(w.ctx, agent.Stop{Task: o.Task, Run: o.Run, Token: token})
	case dispatch.PaceTask:
		return w.client.Pace(w.ctx, agent.Pace{Task: o.Task, Run: o.Run, Percent: o.Percent, Token: token})
	default:
		return w.client.Start(w.ctx, agent.Start{
			Task: o.Task, Run: o.Run, Payload: o.Payload, Until: w.grantLease(now, startValidity),
			Token: token, Checkpoint: o.Checkpoint,
		})
	}
}

func orderOutcome(err error) dispatch.Outcome {
	var refused *agent.RefusedError
	switch {
	case err == nil:
		return dispatch.Obeyed
	case errors.As(err, &refused):
		switch refused.Reason {
		case agent.ReasonNoRoom:
			return dispatch.RefusedForRoom
		case agent.ReasonUnhealthy:
			return dispatch.RefusedUnhealthy
		default:
			return dispatch.Refused
		}
	case agent.IsReplaced(err), heatherhub.CodeOf(err) == heatherhub.CodeUnavailable:
		return dispatch.Unsent
	default:
		return dispatch.Unanswered
	}
}
