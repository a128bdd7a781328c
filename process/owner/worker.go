package owner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
)

// Timing of the loops of a worker.
const (
	// pollWait is how long a worker may hold a poll until a task ends. It is also the
	// interval at which usage is reported.
	pollWait = time.Second
	// missedTargetPolls is the number of polls within Tuning.HarmTime while a task on the worker
	// misses its target: filler tasks beside it have to be halted well within that time.
	missedTargetPolls = 10
	// minMissedTargetPollWait bounds the cost of these polls for the owner.
	minMissedTargetPollWait = 100 * time.Millisecond
	// unconfirmedPollWait replaces pollWait while the store is late to confirm the ownership:
	// the answers of the workers then have to be younger than confirmationTTL.
	unconfirmedPollWait = 500 * time.Millisecond
	// proofPollWait replaces pollWait while the worker is held for a start until a report proves that its runs do
	// no harm.
	proofPollWait = 200 * time.Millisecond
	// minSettlingPollWait bounds the cost of polls that are shortened to settle an open start.
	minSettlingPollWait = 100 * time.Millisecond
	// pollRetryDelay is the pause after a poll that failed or could not be sent.
	pollRetryDelay = 150 * time.Millisecond
	// maxCommitWait bounds the wait until reported ended runs are durable. Lease renewals
	// and new reports must not wait for the store.
	maxCommitWait = 250 * time.Millisecond
	// startValidity is how long after a start order is sent the worker may accept it.
	startValidity = 2 * time.Second
	// slowStartTime is how long after a start was sent it is recorded that it has no answer. Workers
	// normally respond within milliseconds.
	slowStartTime = 150 * time.Millisecond
	// maxClockDrift is the fraction by which the clock of a worker or of another host may run
	// slower than the owner's.
	maxClockDrift = 0.02
	// clockTolerance is how far a reading of a worker's clock may be from the one that is expected: the
	// time of a call, and the drift since the last poll.
	clockTolerance = time.Second
	// clockMargin is how far a reading of a worker's clock may be behind the least that the last one allows: readings
	// are rounded, and calls overlap.
	clockMargin = 100 * time.Millisecond
	// maxWallClockError is how far the times of day of a host and a worker may be apart.
	maxWallClockError = 10 * time.Second
	// leaseSlack is the time a worker may take to end its tasks after its lease expired.
	leaseSlack = 200 * time.Millisecond
)

// workerLoop polls one incarnation of a worker and sends it orders.
type workerLoop struct {
	term *term
	id   heatherhub.WorkerID
	// address is where client calls the worker, and the engine has the worker there.
	address string
	client  agent.Agent
	ctx     context.Context
	cancel  context.CancelFunc

	// quickEnds is the number of incarnations before this one that ended by their clocks soon after one another. A
	// worker whose clock stands still has many, so the next one joins after joinDelay.
	quickEnds int
	joinDelay time.Duration
	// createdAt is the steady time at which the loop began. The incarnation was known then.
	createdAt time.Duration

	// The term's mu guards the fields from entry to isAbandoned.

	entry agent.Worker
	// listedAddress is that of the entry in the store.
	listedAddress string
	// token is the fencing token of polls and orders; zero until the worker has joined the
	// stored fleet. pollLoop sets it before it reads anything of the worker.
	token agent.Token
	// isListed says that the worker's entry is in the store.
	isListed bool
	// isEntryDraining says that the entry in the store announces that the worker leaves.
	isEntryDraining bool
	// hasDrained says that the worker has announced that it leaves, at leavesAt (steady) at
	// the earliest. It stays closed then.
	hasDrained bool
	leavesAt   time.Duration
	// coldUntil is the steady time until which the worker is slow.
	coldUntil time.Duration
	// isVacated says that the worker has drained and that no task can run there any more.
	isVacated bool
	// isUp says that the worker has answered this owner and is known to the engine.
	isUp bool
	// isGone says that the engine was told that no task runs there any more, and that the
	// worker has not answered since.
	isGone bool
	// answeredAt is the steady time of the worker's last answer to a poll, unlistedAt
	// that of the removal of its entry.
	answeredAt time.Duration
	unlistedAt time.Duration
	// confirmedAt is the steady time at which the last poll was sent that the worker has
	// answered.
	confirmedAt time.Duration
	// isAbandoned means that no start is sent any more, since the shard is handed over and the worker
	// was silent then.
	isAbandoned bool

	// forgottenUpTo is the highest end of which the worker has an acknowledgement. Only pollLoop uses it.
	forgottenUpTo uint64
	// isLongRunningOver says that the engine was told that long-running tasks of earlier owners have ended. Only pollLoop uses
	// it.
	isLongRunningOver bool

	// mu guards the fields from queue to isReleased, but for queueReady and isSilent.
	mu    sync.Mutex
	queue []timedOrder
	// queueReady wakes the order loop.
	queueReady chan struct{}
	// isSilent says that the last poll failed. Polls do not renew the lease then, so that
	// the time of its expiry is known.
	isSilent atomic.Bool
	// hasClock says that clock was read. clock is the worker's clock as read at clockAt; before, it is zero, and clockAt a
	// time at which the incarnation had begun. leaseUntil is the latest end of a lease that was sent, on the worker's clock.
	hasClock   bool
	clock      agent.Clock
	clockAt    time.Duration
	leaseUntil agent.Clock
	// inheritedUntil is the steady time by which runs of earlier owners have ended, as the former owner
	// has handed it over, or unbounded.
	inheritedUntil time.Duration
	// grantsEnd is the steady time by which earlier owners have granted the last lease, if the former one has bounded it, or
	// unbounded.
	grantsEnd time.Duration
	// hasLongest says that an earlier owner has left the worker with what may be the longest lease, and longestUntil is the
	// steady time until which it may go on for longer than the leases that this owner asks for.
	hasLongest   bool
	longestUntil time.Duration
	// hasOldToken says that the clock was read before the worker has seen the token of this loop, so that calls to a former
	// incarnation may still extend its lease.
	hasOldToken bool
	// isReleased means that polls do not renew the lease any more, since the shard is handed over.
	isReleased bool
}

// timedOrder is an order with the steady time at which it was decided.
type timedOrder struct {
	dispatch.Order
	decidedAt time.Duration
}

// markUnlisted records that the worker's entry was removed from the store. The worker
// counts as draining, so no new task starts there. The caller holds the term's mu.
func (w *workerLoop) markUnlisted() {
	if w.isListed {
		w.unlistedAt = w.term.now().Steady
	}
	w.isListed = false
	w.entry.Draining = true
	w.term.engine.UpdateWorker(w.entry)
}

// enqueue queues an order. Stops go before other orders: a task of a
// cancelled job has to end in time however many starts wait. A stop that overtakes the start
// of its run makes the worker refuse that start.
func (w *workerLoop) enqueue(o timedOrder) {
	w.mu.Lock()
	if o.Kind == dispatch.StopTask {
		at := slices.IndexFunc(w.queue, func(q timedOrder) bool { return q.Kind != dispatch.StopTask })
		if at < 0 {
			at = len(w.queue)
		}
		w.queue = slices.Insert(w.queue, at, o)
	} else {
		w.queue = append(w.queue, o)
	}
	w.mu.Unlock()
	signal(w.queueReady)
}

// dequeue removes and returns the oldest order. It reports false if there is none.
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

// grantLease returns the worker's clock at d after now and records it as the end of a
// lease that is sent. It returns zero if the worker's clock is not known yet.
func (w *workerLoop) grantLease(now, d time.Duration) agent.Clock {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.extendLease(now, d)
}

// renewLease is grantLease for a poll. It returns zero if the worker was released.
func (w *workerLoop) renewLease(now time.Duration) agent.Clock {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isReleased {
		return 0
	}
	return w.extendLease(now, w.term.host.cfg.WorkerLease)
}

// extendLease is grantLease for a caller that holds w.mu.
func (w *workerLoop) extendLease(now, d time.Duration) agent.Clock {
	if !w.hasClock {
		return 0
	}
	until := w.clock.Add(now - w.clockAt + d)
	w.leaseUntil = max(w.leaseUntil, until)
	return until
}

// seedClock is recordClock for the answer to a call with the token of a former incarnation.
func (w *workerLoop) seedClock(now, sentAt time.Duration, c agent.Clock) {
	w.recordClock(now, sentAt, c)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasOldToken = true
}

// recordClock records a reading of the worker's clock, from the answer to a call that was sent at sentAt.
func (w *workerLoop) recordClock(now, sentAt time.Duration, c agent.Clock) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.hasClock || w.hasOldToken {
		w.hasOldToken = false
		w.recordFirstLease(now, c)
	} else if least := w.leastClockAt(sentAt); c < least {
		w.term.host.metrics.workerClocksBack.Inc()
		w.term.log.Warn("worker clock went back", zap.String("worker", string(w.id)), zap.Int64("clockMs", int64(c)), zap.Int64("readMs", int64(w.clock)),
			zap.Duration("readAge", now-w.clockAt), zap.Duration("behind", least.Sub(c)))
	}
	w.hasClock, w.clock, w.clockAt = true, c, now
}

// leastClock returns what the worker's clock reads at least at now.
func (w *workerLoop) leastClock(now time.Duration) agent.Clock {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leastClockAt(now)
}

// leastClockAt is leastClock for a caller that holds w.mu. now may be before the last reading.
func (w *workerLoop) leastClockAt(now time.Duration) agent.Clock {
	elapsed := now - w.clockAt
	if elapsed > 0 {
		elapsed = onSlowClock(elapsed)
	}
	return w.clock.Add(elapsed - clockMargin)
}

// hasAnswered reports whether the incarnation has answered this loop.
func (w *workerLoop) hasAnswered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasClock
}

// isOwnClock reports whether c, from an answer that arrived at now, is a reading of this incarnation's
// clock. The clock of the next one began at zero after the last reading of this one.
func (w *workerLoop) isOwnClock(now time.Duration, c agent.Clock) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasClock && w.clock > agent.Clock(clockTolerance.Milliseconds()) && w.clock.Add(now-w.clockAt).Sub(c).Abs() < clockTolerance
}

// recordFirstLease records the longest lease that the worker may have when its first answer to this owner reads
// clock c. An earlier owner may have renewed it until then. Calls that were meant for a former incarnation,
// of which this owner need not know, end their leases by its clock, which is ahead. The caller holds w.mu.
func (w *workerLoop) recordFirstLease(now time.Duration, c agent.Clock) {
	t, cfg := w.term, &w.term.host.cfg
	w.leaseUntil = max(w.leaseUntil, c.Add(cfg.WorkerLease))
	if !w.mayBeYoung(c) {
		return
	}
	w.leaseUntil = max(w.leaseUntil, c.Add(cfg.MaxWorkerLease))
	longer := onSlowestClock(cfg.MaxWorkerLease - cfg.WorkerLease)
	if longer <= 0 || c.Sub(0) >= t.host.youngAge() {
		return
	}
	w.longestUntil = now + longer
	t.noteLongestLease(w)
}

// mayHoldLongest reports whether the worker may hold a longer lease at now than those that this owner asks for.
func (w *workerLoop) mayHoldLongest(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.hasClock {
		return w.hasLongest
	}
	return now < w.longestUntil || w.hasOldToken
}

// mayBeYoung reports whether calls that were meant for a former incarnation may have reached this one,
// whose clock reads c. The start that it states does not tell alone, since the time of day may have been
// set back; its clock began at zero.
func (w *workerLoop) mayBeYoung(c agent.Clock) bool {
	limit := w.term.host.youngAge()
	if c.Sub(0) < limit {
		return true
	}
	incarnation, ok := w.id.Incarnation()
	return ok && w.term.now().Wall.Sub(time.UnixMilli(int64(incarnation))) < limit
}

// isLeaseExpired reports whether a lease that ends at end has certainly expired, so that no task
// runs by it any more. Another owner could have renewed the lease, so this one must also
// have confirmed its ownership after the expiry; if it has not, isLeaseExpired requests
// a confirmation and returns false.
func (w *workerLoop) isLeaseExpired(now, end time.Duration) bool {
	if now < end {
		return false
	}
	if w.term.lastConfirmed() < end {
		signal(w.term.wakePublish)
		return false
	}
	return true
}

// leaseExpiry returns the steady time by which the last lease has expired even if the
// worker's clock runs as slowly as maxClockDrift allows.
func (w *workerLoop) leaseExpiry() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.hasClock {
		return w.inheritedRunsEnd(w.term.host.cfg.MaxWorkerLease)
	}
	return w.clockAt + onSlowestClock(w.leaseUntil.Sub(w.clock)) + leaseSlack
}

// longRunningExpiry returns the steady time by which the leases that owners have asked for have expired: long-running
// tasks do not wait for longer ones, unless an earlier owner has recorded that the worker may hold one.
func (w *workerLoop) longRunningExpiry() time.Duration {
	w.mu.Lock()
	isAsked := !w.hasClock && !w.hasLongest
	asked := w.inheritedRunsEnd(w.term.host.cfg.WorkerLease)
	w.mu.Unlock()
	if !isAsked {
		return w.leaseExpiry()
	}
	return asked
}

// inheritedRunsEnd returns the steady time by which runs of earlier owners have ended on the worker, which this owner has not
// reached, if its lease was granted for the given time. The caller holds w.mu.
func (w *workerLoop) inheritedRunsEnd(lease time.Duration) time.Duration {
	granted := min(w.term.formerStopsAt(), w.grantsEnd)
	return min(granted+onSlowestClock(max(lease, dispatch.MaxOrderAge+startValidity))+leaseSlack, w.inheritedUntil)
}

// onSlowestClock returns how long d on the slowest worker clock takes on the owner's.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}

// onSlowClock returns how far the slowest worker clock gets in d on the owner's.
func onSlowClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - maxClockDrift))
}

// markDrained records that the worker leaves, after remaining at the earliest. The caller holds
// the term's mu.
func (w *workerLoop) markDrained(remaining time.Duration) {
	leavesAt := w.term.now().Steady + remaining
	if !w.hasDrained {
		w.hasDrained, w.leavesAt = true, leavesAt
	}
	w.leavesAt = min(w.leavesAt, leavesAt)
	w.term.engine.WorkerDrains(w.id, w.leavesAt)
}

// updateVacated derives isVacated from the worker's last report: a worker that has drained gets
// no starts, so once it reports no run and no start is open, none follows. The fleet is then
// written, so that a next owner does not wait for the worker. The caller holds the term's mu.
func (w *workerLoop) updateVacated() {
	isVacated := w.hasDrained && w.isUp && w.term.engine.IsIdle(w.id)
	if isVacated && !w.isVacated {
		w.term.closeWorker()
	}
	w.isVacated = isVacated
}

// pollLoop polls the worker, which renews its lease if this owner may act, and applies its
// reports until the worker is dropped or the term ends.
func (w *workerLoop) pollLoop() {
	defer w.client.Close()
	if !w.join() {
		return
	}
	for w.ctx.Err() == nil {
		if err := w.poll(); err != nil {
			w.handlePollError(w.term.now(), err)
			ledger.Sleep(w.ctx, pollRetryDelay)
			w.handleLeaseExpiry(err)
			continue
		}
		if w.ctx.Err() != nil {
			return
		}
		if !w.admit() {
			ledger.Sleep(w.ctx, pollRetryDelay)
			continue
		}
		w.awaitDurableEnds()
	}
}

// admit has the stored fleet say that tasks may run on a worker that has answered, and bound its leases no more. It reports
// whether the fleet does so.
func (w *workerLoop) admit() bool {
	t := w.term
	t.mu.Lock()
	isAdmitted := t.fleet.isUsed(w.id) && t.mayGrant(w.id, t.now().Steady)
	t.mu.Unlock()
	return isAdmitted || t.writeFleet(w.ctx)
}

// join waits until the stored fleet has the worker. It reports false if the worker is dropped
// before.
func (w *workerLoop) join() bool {
	t := w.term
	ledger.Sleep(w.ctx, w.joinDelay)
	for w.ctx.Err() == nil {
		token, isStored := t.storeWorker(w.ctx, w.id)
		t.mu.Lock()
		switch {
		case isStored:
			w.token = token
		case !w.isListed:
			t.dropWorker(w)
		}
		t.mu.Unlock()
		if isStored {
			return true
		}
		ledger.Sleep(w.ctx, pollRetryDelay)
	}
	return false
}

// handleLeaseExpiry handles a lease that has expired by now, after a poll that failed with err.
// The next poll may take long to fail. The first look asks for a confirmation of the ownership,
// which takes a commit.
func (w *workerLoop) handleLeaseExpiry(err error) {
	if w.term.now().Steady < w.nextExpiry() {
		return
	}
	w.handlePollError(w.term.now(), err)
	ledger.Sleep(w.ctx, pollRetryDelay)
	w.handlePollError(w.term.now(), err)
}

// nextExpiry returns the next steady time at which tasks may start elsewhere.
func (w *workerLoop) nextExpiry() time.Duration {
	if w.isLongRunningOver {
		return w.leaseExpiry()
	}
	return w.longRunningExpiry()
}

// awaitDurableEnds waits, for at most maxCommitWait, until the ended runs in the last
// report are durable. Until they are acknowledged the worker answers each poll at once
// with the same ended runs.
func (w *workerLoop) awaitDurableEnds() {
	t := w.term
	limit := time.NewTimer(maxCommitWait)
	defer limit.Stop()
	for {
		t.mu.Lock()
		isPending := t.engine.HasPendingEnds(w.id)
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

// poll sends one poll and applies the answer. It returns an error if the worker did not answer.
func (w *workerLoop) poll() error {
	t := w.term
	sentAt := t.now().Steady
	t.mu.Lock()
	isUp := w.isUp
	isTargetMissed := t.engine.MissesLatencyTarget(w.id)
	awaitsProof := t.engine.AwaitsProof(sentAt, w.id)
	lastDelivery, hasOpen := t.engine.LastDelivery(w.id)
	mayGrant := t.mayGrant(w.id, sentAt)
	p := agent.Poll{Token: w.token, LeastClock: w.leastClock(sentAt)}
	// After a failed poll another incarnation may answer, which numbers its ends from 1. It may also carry
	// this poll out late, so an acknowledgement that the worker has is not repeated.
	if upTo := t.engine.Acknowledged(w.id); !w.isSilent.Load() && upTo > w.forgottenUpTo {
		p.AcknowledgedUpTo = upTo
	}
	t.mu.Unlock()
	// The lease counts from the reading of the clock at which the owner may act. The process
	// may be stopped between the two.
	if !w.isSilent.Load() && mayGrant && t.mayAct(sentAt) {
		p.LeaseUntil = w.renewLease(sentAt)
	}
	switch {
	case !isUp || w.isSilent.Load():
	case isTargetMissed:
		p.Wait = min(max(t.host.cfg.Tuning.HarmTime/missedTargetPolls, minMissedTargetPollWait), pollWait)
	case awaitsProof, !mayGrant:
		p.Wait = proofPollWait
	case sentAt-t.lastConfirmed() > publishInterval:
		p.Wait = unconfirmedPollWait
	default:
		p.Wait = pollWait
	}
	if hasOpen {
		// Only a poll that is sent after the last delivery tells that the start was not carried out.
		p.Wait = min(p.Wait, max(lastDelivery-sentAt, minSettlingPollWait))
	}
	ctx, cancel := w.pollContext(sentAt)
	defer cancel()
	r, err := w.client.Poll(ctx, p)
	now := t.now()
	if found := agent.ReportBehindClock(err); found != nil {
		// The poll was not sent.
		r, err, p.AcknowledgedUpTo = *found, nil, 0
	}
	if err == nil && w.endIfClockWentBack(now, sentAt, &r) {
		return nil
	}
	w.recordPoll(now.Steady, sentAt, err)
	if err != nil {
		return err
	}
	w.isSilent.Store(false)
	w.forgottenUpTo = max(w.forgottenUpTo, p.AcknowledgedUpTo)
	w.recordClock(now.Steady, sentAt, r.Clock)
	w.applyReport(now, sentAt, &r)
	return nil
}

// pollContext returns the context of a poll that is sent at now. The poll of a silent worker ends
// with nextExpiry, so that the tasks need not wait for the poll as well.
func (w *workerLoop) pollContext(now time.Duration) (context.Context, context.CancelFunc) {
	left := w.nextExpiry() - now
	if left <= 0 || !w.isSilent.Load() {
		return context.WithCancel(w.ctx)
	}
	return context.WithTimeout(w.ctx, max(left, pollRetryDelay))
}

// recordPoll records what the result of a poll that was sent at sentAt says of this owner's
// authority and of the former owner's.
func (w *workerLoop) recordPoll(now, sentAt time.Duration, err error) {
	t := w.term
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		w.confirmedAt = sentAt
		t.recordAnswer(w.id)
	}
	if err == nil || agent.IsWorkerReplaced(err) || agent.IsWorkerRestarted(err) {
		t.fenceFormer(w.id, now)
	}
}

// applyReport passes the answer to a poll that was sent at sentAt to the engine. The
// first answer adds the worker to the engine.
func (w *workerLoop) applyReport(now dispatch.Moment, sentAt time.Duration, r *agent.Report) {
	t := w.term
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	t.endFormerIncarnations(now, w, sentAt)
	w.answeredAt = now.Steady
	t.fleet.markReached(w.id)
	if !t.fleet.isUsed(w.id) || !t.mayGrant(w.id, now.Steady) {
		return
	}
	if w.isUp {
		t.engine.Report(now, sentAt, w.id, r)
	} else {
		w.isUp, w.isGone = true, false
		t.engine.WorkerUp(now, w.entry, r)
		t.engine.WorkerCold(w.id, w.coldUntil)
		if w.hasDrained {
			t.engine.WorkerDrains(w.id, w.leavesAt)
			t.closeWorker()
		}
		t.log.Info("worker up", zap.String("worker", string(w.id)), zap.Uint64("workerToken", uint64(w.token)), zap.Int("running", len(r.Running)), zap.Int("ended", len(r.Ended)), zap.Int64("clockMs", int64(r.Clock)))
	}
	t.publishOnceResolved()
	w.updateVacated()
	t.wakeLoops()
}

// evidence is how it is known that no task runs on a worker any more. Its value is logged.
type evidence string

const (
	// noEvidence: tasks may still run there.
	noEvidence evidence = ""
	// evidenceReplaced: another worker answers.
	evidenceReplaced evidence = "replaced"
	// evidenceVacated: the worker has drained, and its last report lists no run.
	evidenceVacated evidence = "vacated"
	// evidenceLeaseExpired: its lease has expired on the slowest clock, and the ownership was
	// confirmed after that.
	evidenceLeaseExpired evidence = "lease expired"
)

// handlePollError handles a failed poll. The term ends if the worker was polled by a newer
// owner. The engine is told that the worker is silent or, if there is evidence for it, that
// no task runs there any more.
func (w *workerLoop) handlePollError(now dispatch.Moment, err error) {
	t := w.term
	w.isSilent.Store(true)
	if w.ctx.Err() != nil {
		return
	}
	if w.endTermIfFenced(err) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	isExpired := w.isLeaseExpired(now.Steady, w.leaseExpiry())
	found := w.evidenceAfter(err, isExpired)
	var restarted *agent.RestartedError
	if errors.As(err, &restarted) {
		w.endIncarnation(now, restarted.Found, err)
		return
	}
	if found == noEvidence {
		w.resolveLongRunning(now)
		t.engine.WorkerUnresponsive(now, w.id)
		t.publishOnceResolved()
		return
	}
	isReplaced := found == evidenceReplaced
	isMoved := w.isListed && w.listedAddress != w.address
	if w.isGone && !isReplaced && w.isListed && !isMoved {
		return
	}
	w.isGone = true
	w.logGone(now.Steady, found, err)
	if isReplaced {
		t.engine.WorkerReplaced(now, w.id, w.address)
	} else {
		t.engine.WorkerGone(now, w.id, false)
	}
	if w.hasDrained {
		t.engine.WorkerLeft(now, w.id)
	} else {
		t.engine.WorkerLost(w.id)
	}
	t.publishOnceResolved()
	w.isUp = false
	if isReplaced || !w.isListed || isMoved {
		t.dropWorker(w)
		signal(t.wakeCommit)
	}
	if isMoved {
		t.startWorker(w.movedEntry(), true, 0)
	}
	signal(t.wakeDecide)
}

// movedEntry returns the entry for the next loop of a worker that is listed at another address. The announcement to leave of a former
// life does not count there. The caller holds the term's mu.
func (w *workerLoop) movedEntry() agent.Worker {
	entry := w.entry
	entry.Address = w.listedAddress
	if w.hasDrained {
		entry.Draining = w.isEntryDraining
	}
	return entry
}

// resolveLongRunning tells the engine if long-running tasks of earlier owners have ended on a worker that this owner has
// not reached. The caller holds the term's mu.
func (w *workerLoop) resolveLongRunning(now dispatch.Moment) {
	t := w.term
	if w.isLongRunningOver || !w.isLeaseExpired(now.Steady, w.longRunningExpiry()) {
		return
	}
	w.isLongRunningOver = true
	t.engine.ResolveLongRunning(now, w.id, w.hasDrained)
	t.log.Info("long-running tasks of earlier owners over", zap.String("worker", string(w.id)), zap.Duration("took", now.Steady-t.startedAt), zap.Duration("left", w.leaseExpiry()-now.Steady))
	signal(t.wakeDecide)
}

// evidenceAfter returns the evidence, after a poll that failed with err, that no task runs on
// the worker any more. The removal of its entry is none: entries of living workers expire
// while the store is down. The caller holds the term's mu.
func (w *workerLoop) evidenceAfter(err error, isLeaseExpired bool) evidence {
	switch {
	case agent.IsWorkerReplaced(err):
		return evidenceReplaced
	case w.isVacated:
		return evidenceVacated
	case isLeaseExpired:
		return evidenceLeaseExpired
	default:
		return noEvidence
	}
}

// logGone logs that a worker counts as gone, with the times that tell whether it may still
// work. The caller holds the term's mu.
func (w *workerLoop) logGone(now time.Duration, found evidence, err error) {
	fields := []zap.Field{
		zap.String("worker", string(w.id)), zap.String("evidence", string(found)), zap.Int("running", w.term.engine.OpenRuns(w.id)),
		zap.Bool("listed", w.isListed), zap.Bool("drained", w.hasDrained), zap.Bool("reached", w.isUp), zap.Error(err),
	}
	if w.isUp {
		fields = append(fields, zap.Duration("sinceAnswer", now-w.answeredAt))
	}
	if !w.isListed && w.unlistedAt > 0 {
		fields = append(fields, zap.Duration("sinceUnlisted", now-w.unlistedAt))
	}
	w.term.host.metrics.workersGone.WithLabelValues(string(found)).Inc()
	w.term.log.Warn("worker gone", fields...)
}

// endTermIfFenced ends the term if err says that the worker has seen a higher token, unless that
// may be the token of the worker's next incarnation in this term. It reports whether it does.
func (w *workerLoop) endTermIfFenced(err error) bool {
	var refused *agent.RefusedError
	if !errors.As(err, &refused) || refused.Reason != agent.ReasonFenced || w.hasNextIncarnation() {
		return false
	}
	w.term.end("worker " + string(w.id) + " accepts only a newer owner")
	return true
}

// orderLoop sends the worker's orders in sequence.
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

// sendOrder sends an order, unless it is outdated, and passes the outcome to the engine.
// After an order without an answer, or one whose answer has a clock that went back, it polls the worker at once.
func (w *workerLoop) sendOrder(o timedOrder) {
	t := w.term
	now := t.now()
	if now.Steady-o.decidedAt > dispatch.MaxOrderAge {
		w.giveUp(now, o.Order)
		return
	}
	until, ok := w.grantStart(now.Steady, o.Order)
	if !ok {
		return
	}
	slow := w.recordIfSlow(o.Order)
	clock, err := w.callWorker(o.Order, until, w.leastClock(now.Steady))
	slow.Stop()
	if w.ctx.Err() != nil || w.endTermIfFenced(err) {
		return
	}
	outcome := orderOutcome(err)
	done := t.now()
	w.logOrder(now.Steady, o.Order, until, clock, err)
	t.mu.Lock()
	if w.ctx.Err() != nil {
		t.mu.Unlock()
		return
	}
	if o.Kind == dispatch.StartTask && outcome == dispatch.Confirmed && w.isOwnClock(done.Steady, clock) {
		t.engine.StartAnswered(o.Order)
	}
	t.engine.OrderResult(done, o.Order, outcome)
	isStartable := t.engine.HasHeldStarts()
	t.mu.Unlock()
	if outcome != dispatch.Confirmed || isStartable {
		signal(t.wakeDecide)
	}
	switch found := agent.ReportBehindClock(err); {
	case found != nil:
		w.applyAnswer(done, now.Steady, found)
	case outcome == dispatch.NoReply || (err == nil && clock < w.leastClock(now.Steady)):
		w.pollNow()
	}
}

// giveUp tells the engine that an order is too old to be sent.
func (w *workerLoop) giveUp(now dispatch.Moment, o dispatch.Order) {
	t := w.term
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.ctx.Err() == nil {
		t.engine.OrderResult(now, o, dispatch.Outdated)
		signal(t.wakeDecide)
	}
}

// logOrder logs an order that was sent at sentAt and failed, or a start that was answered with a clock that went back.
// For a start it logs the end of the lease that the start asked for, and the reading that it was derived from.
func (w *workerLoop) logOrder(sentAt time.Duration, o dispatch.Order, until, clock agent.Clock, err error) {
	isStart := o.Kind == dispatch.StartTask
	w.mu.Lock()
	read, readAt, least := w.clock, w.clockAt, w.leastClockAt(sentAt)
	w.mu.Unlock()
	isForeign := isStart && err == nil && clock < least
	if err == nil && !isForeign {
		return
	}
	fields := []zap.Field{zap.String("worker", string(o.Worker)), zap.Stringer("order", o.Kind), zap.String("job", string(o.Task.Job)), zap.Uint64("run", uint64(o.Run))}
	if isStart {
		fields = append(fields, zap.Int64("leaseUntilMs", int64(until)), zap.Int64("readMs", int64(read)), zap.Duration("readAge", sentAt-readAt))
	}
	if isForeign {
		w.term.host.metrics.foreignStarts.Inc()
		w.term.log.Warn("start answered by another clock", append(fields, zap.Int64("clockMs", int64(clock)))...)
		return
	}
	w.term.log.Info("order failed", append(fields, zap.Error(err))...)
}

// recordIfSlow has a start order that is sent now recorded unless the returned timer is stopped within
// slowStartTime.
func (w *workerLoop) recordIfSlow(o dispatch.Order) *time.Timer {
	t := w.term
	return time.AfterFunc(slowStartTime, func() {
		if o.Kind != dispatch.StartTask {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.engine.StartIsSlow(t.now(), o)
		if t.engine.HasChanges() {
			signal(t.wakeCommit)
		}
	})
}

// pollNow polls the worker without waiting, to learn whether an unanswered order took
// effect. It neither renews the lease nor acknowledges ended runs.
func (w *workerLoop) pollNow() {
	t := w.term
	sentAt := t.now().Steady
	r, err := w.client.Poll(w.ctx, agent.Poll{Token: w.token})
	if err != nil {
		return
	}
	w.applyAnswer(t.now(), sentAt, &r)
}

// applyAnswer applies the answer to a poll that was sent at sentAt and neither renewed the lease nor acknowledged
// ended runs.
func (w *workerLoop) applyAnswer(now dispatch.Moment, sentAt time.Duration, r *agent.Report) {
	if !w.endIfClockWentBack(now, sentAt, r) {
		w.recordClock(now.Steady, sentAt, r.Clock)
		w.applyReport(now, sentAt, r)
	}
}

// updateCold applies how much longer the worker is slow. A worker that is no longer slow keeps the
// time until which it was.
func (w *workerLoop) updateCold(now, remaining time.Duration) {
	w.coldUntil = min(w.coldUntil, now)
	if remaining > 0 {
		w.coldUntil = now + remaining
	}
}

// grantStart returns the end of the lease of a start that is sent at now, and zero for other
// orders. It reports false for a start that no longer stands: the worker counts as gone, was silent
// when the shard was handed over, or its failure domain is evacuated. All of it is decided under the term's mu, like the end of the
// worker's lease.
func (w *workerLoop) grantStart(now time.Duration, o dispatch.Order) (agent.Clock, bool) {
	if o.Kind != dispatch.StartTask {
		return 0, true
	}
	t := w.term
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.engine.HasAttempt(o) {
		return 0, false
	}
	if at := (dispatch.Moment{Steady: now, Wall: t.now().Wall}); w.isAbandoned || !t.mayGrant(w.id, now) || !t.mayStartOn(at, w.id) {
		t.engine.OrderResult(at, o, dispatch.Withdrawn)
		signal(t.wakeDecide)
		return 0, false
	}
	return w.grantLease(now, startValidity), true
}

// callWorker makes the call for an order and returns the worker's clock from the answer. A start
// is valid until until, and the clock reads least at least.
func (w *workerLoop) callWorker(o dispatch.Order, until, least agent.Clock) (agent.Clock, error) {
	token := w.token
	switch o.Kind {
	case dispatch.StopTask:
		return w.client.Stop(w.ctx, agent.Stop{Task: o.Task, Run: o.Run, Token: token})
	case dispatch.ThrottleTask:
		return w.client.Throttle(w.ctx, agent.Throttle{Task: o.Task, Run: o.Run, Percent: o.Percent, Token: token})
	default:
		return w.client.Start(w.ctx, agent.Start{
			Task: o.Task, Run: o.Run, Payload: o.Payload, LeaseUntil: until, LeastClock: least,
			Token: token, Checkpoint: o.Checkpoint,
		})
	}
}

// orderOutcome maps the error of an order's call to the outcome for the engine.
func orderOutcome(err error) dispatch.Outcome {
	var refused *agent.RefusedError
	switch {
	case err == nil:
		return dispatch.Confirmed
	case errors.As(err, &refused):
		switch refused.Reason {
		case agent.ReasonNoCapacity:
			return dispatch.RefusedNoCapacity
		case agent.ReasonUnhealthy:
			return dispatch.RefusedUnhealthy
		case agent.ReasonInvalid:
			return dispatch.RefusedInvalid
		default:
			return dispatch.Refused
		}
	case agent.IsWorkerReplaced(err), agent.IsWorkerRestarted(err), heatherhub.CodeOf(err) == heatherhub.CodeUnavailable:
		return dispatch.NotSent
	default:
		return dispatch.NoReply
	}
}
