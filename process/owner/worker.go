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
	// maxWallClockError is how far the times of day of a host and a worker may be apart.
	maxWallClockError = 10 * time.Second
	// leaseSlack is the time a worker may take to end its tasks after its lease expired.
	leaseSlack = 200 * time.Millisecond
)

// workerLoop polls one incarnation of a worker and sends it orders.
type workerLoop struct {
	term   *term
	id     heatherhub.WorkerID
	client agent.Agent
	ctx    context.Context
	cancel context.CancelFunc

	// createdAt is the steady time at which the loop began. The incarnation was known then.
	createdAt time.Duration

	// The term's mu guards the fields from entry to isAbandoned.

	entry agent.Worker
	// token is the fencing token of polls and orders; zero until the worker has joined the
	// stored fleet. pollLoop sets it before it reads anything of the worker.
	token agent.Token
	// isListed says that the worker's entry is in the store.
	isListed bool
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

	// mu guards the fields from queue to isReleased, but for queueReady and isSilent.
	mu    sync.Mutex
	queue []timedOrder
	// queueReady wakes the order loop.
	queueReady chan struct{}
	// isSilent says that the last poll failed. Polls do not renew the lease then, so that
	// the time of its expiry is known.
	isSilent atomic.Bool
	// hasClock says that clock was read. clock is the worker's clock as read at clockAt. leaseUntil is the latest end of a
	// lease that was sent, on the worker's clock.
	hasClock   bool
	clock      agent.Clock
	clockAt    time.Duration
	leaseUntil agent.Clock
	// inheritedUntil is the steady time by which runs of earlier owners have ended, as the former owner
	// has handed it over, or unbounded.
	inheritedUntil time.Duration
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

// enqueue queues an order that was decided at now. Stops go before other orders: a task of a
// cancelled job has to end in time however many starts wait. A stop that overtakes the start
// of its run makes the worker refuse that start.
func (w *workerLoop) enqueue(now dispatch.Moment, o dispatch.Order) {
	timed := timedOrder{Order: o, decidedAt: now.Steady}
	w.mu.Lock()
	if o.Kind == dispatch.StopTask {
		at := slices.IndexFunc(w.queue, func(q timedOrder) bool { return q.Kind != dispatch.StopTask })
		if at < 0 {
			at = len(w.queue)
		}
		w.queue = slices.Insert(w.queue, at, timed)
	} else {
		w.queue = append(w.queue, timed)
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

// recordClock records a reading of the worker's clock.
func (w *workerLoop) recordClock(now time.Duration, c agent.Clock) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.hasClock {
		w.leaseUntil = c.Add(w.firstLease(c))
	}
	w.hasClock, w.clock, w.clockAt = true, c, now
}

// isOwnClock reports whether c, from an answer that arrived at now, is a reading of this incarnation's
// clock. The clock of the next one began at zero after the last reading of this one.
func (w *workerLoop) isOwnClock(now time.Duration, c agent.Clock) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasClock && w.clock > agent.Clock(clockTolerance.Milliseconds()) && w.clock.Add(now-w.clockAt).Sub(c).Abs() < clockTolerance
}

// firstLease returns the longest lease that the worker may have when its first answer to this owner reads
// clock c. An earlier owner may have renewed it until then. Calls that were meant for a former incarnation,
// of which this owner need not know, end their leases by its clock, which is ahead.
func (w *workerLoop) firstLease(c agent.Clock) time.Duration {
	cfg := &w.term.host.cfg
	if w.mayBeYoung(c) {
		return cfg.MaxWorkerLease
	}
	return cfg.WorkerLease
}

// mayBeYoung reports whether calls that were meant for a former incarnation may have reached this one,
// whose clock reads c. The start that it states does not tell alone, since the time of day may have been
// set back; its clock began at zero.
func (w *workerLoop) mayBeYoung(c agent.Clock) bool {
	incarnation, ok := w.id.Incarnation()
	if !ok {
		return false
	}
	limit := dispatch.DefaultLateCallTime + w.term.host.longestLease() + maxWallClockError
	return c.Sub(0) < limit || w.term.now().Wall.Sub(time.UnixMilli(int64(incarnation))) < limit
}

// isLeaseExpired reports whether the worker's lease has certainly expired, so that no task
// runs there any more. Another owner could have renewed the lease, so this one must also
// have confirmed its ownership after the expiry; if it has not, isLeaseExpired requests
// a confirmation and returns false.
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

// leaseExpiry returns the steady time by which the last lease has expired even if the
// worker's clock runs as slowly as maxClockDrift allows.
func (w *workerLoop) leaseExpiry() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.hasClock {
		return min(w.term.inheritedRunsEnd(), w.inheritedUntil)
	}
	return w.clockAt + onSlowestClock(w.leaseUntil.Sub(w.clock)) + leaseSlack
}

// onSlowestClock returns how long d on the slowest worker clock takes on the owner's.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
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
		if !w.admit() {
			ledger.Sleep(w.ctx, pollRetryDelay)
			continue
		}
		w.awaitDurableEnds()
	}
}

// admit has the stored fleet say that tasks may run on a worker that has answered. It reports whether
// the fleet says so.
func (w *workerLoop) admit() bool {
	t := w.term
	t.mu.Lock()
	isUsed := t.fleet.isUsed(w.id)
	t.mu.Unlock()
	return isUsed || t.writeFleet(w.ctx)
}

// join waits until the stored fleet has the worker. It reports false if the worker is dropped
// before.
func (w *workerLoop) join() bool {
	t := w.term
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
	if w.term.now().Steady < w.leaseExpiry() {
		return
	}
	w.handlePollError(w.term.now(), err)
	ledger.Sleep(w.ctx, pollRetryDelay)
	w.handlePollError(w.term.now(), err)
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
	p := agent.Poll{Token: w.token}
	// After a failed poll another incarnation may answer, which numbers its ends from 1. It may also carry
	// this poll out late, so an acknowledgement that the worker has is not repeated.
	if upTo := t.engine.Acknowledged(w.id); !w.isSilent.Load() && upTo > w.forgottenUpTo {
		p.AcknowledgedUpTo = upTo
	}
	t.mu.Unlock()
	// The lease counts from the reading of the clock at which the owner may act. The process
	// may be stopped between the two.
	if !w.isSilent.Load() && t.mayAct(sentAt) {
		p.LeaseUntil = w.renewLease(sentAt)
	}
	switch {
	case !isUp || w.isSilent.Load():
	case isTargetMissed:
		p.Wait = min(max(t.host.cfg.Tuning.HarmTime/missedTargetPolls, minMissedTargetPollWait), pollWait)
	case awaitsProof:
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
	w.recordPoll(now.Steady, sentAt, err)
	if err != nil {
		return err
	}
	w.isSilent.Store(false)
	w.forgottenUpTo = max(w.forgottenUpTo, p.AcknowledgedUpTo)
	w.recordClock(now.Steady, r.Clock)
	w.applyReport(now, sentAt, &r)
	return nil
}

// pollContext returns the context of a poll that is sent at now. The poll of a silent worker ends
// with the worker's lease, so that the tasks need not wait for the poll as well.
func (w *workerLoop) pollContext(now time.Duration) (context.Context, context.CancelFunc) {
	left := w.leaseExpiry() - now
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
	if !t.fleet.isUsed(w.id) {
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
		t.log.Info("worker up", zap.String("worker", string(w.id)), zap.Uint64("workerToken", uint64(w.token)), zap.Int("running", len(r.Running)), zap.Int("ended", len(r.Ended)))
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
	isExpired := w.isLeaseExpired(now.Steady)
	found := w.evidenceAfter(err, isExpired)
	var restarted *agent.RestartedError
	if errors.As(err, &restarted) {
		w.endIncarnation(now, restarted.Found, err)
		return
	}
	if found == noEvidence {
		t.engine.WorkerUnresponsive(now, w.id)
		t.publishOnceResolved()
		return
	}
	isReplaced := found == evidenceReplaced
	if w.isGone && !isReplaced && w.isListed {
		return
	}
	w.isGone = true
	w.logGone(now.Steady, found, err)
	t.engine.WorkerGone(now, w.id, isReplaced)
	if w.hasDrained {
		t.engine.WorkerLeft(now, w.id)
	}
	t.publishOnceResolved()
	w.isUp = false
	if isReplaced || !w.isListed {
		t.dropWorker(w)
		signal(t.wakeCommit)
	}
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
// After an order without an answer it polls the worker at once.
func (w *workerLoop) sendOrder(o timedOrder) {
	t := w.term
	now := t.now()
	outcome := dispatch.Outdated
	var clock agent.Clock
	var err error
	if now.Steady-o.decidedAt <= dispatch.MaxOrderAge {
		until, ok := w.grantStart(now.Steady, o.Order)
		if !ok {
			return
		}
		slow := w.recordIfSlow(o.Order)
		clock, err = w.callWorker(o.Order, until)
		slow.Stop()
		if w.ctx.Err() != nil || w.endTermIfFenced(err) {
			return
		}
		outcome = orderOutcome(err)
	}
	done := t.now()
	if err != nil {
		t.log.Info("order failed", zap.String("worker", string(o.Worker)), zap.Stringer("order", o.Kind), zap.String("job", string(o.Task.Job)), zap.Uint64("run", uint64(o.Run)), zap.Error(err))
	}
	t.mu.Lock()
	t.engine.OrderResult(done, o.Order, outcome)
	if o.Kind == dispatch.StartTask && outcome == dispatch.Confirmed && w.isOwnClock(done.Steady, clock) {
		t.engine.StartAnswered(o.Order)
	}
	isStartable := t.engine.HasHeldStarts()
	t.mu.Unlock()
	if outcome != dispatch.Confirmed || isStartable {
		signal(t.wakeDecide)
	}
	if outcome == dispatch.NoReply {
		w.pollNow()
	}
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
	w.applyReport(t.now(), sentAt, &r)
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
	if at := (dispatch.Moment{Steady: now, Wall: t.now().Wall}); w.isAbandoned || !t.mayStartOn(at, w.id) {
		t.engine.OrderResult(at, o, dispatch.Withdrawn)
		signal(t.wakeDecide)
		return 0, false
	}
	return w.grantLease(now, startValidity), true
}

// callWorker makes the call for an order and returns the worker's clock from the answer. A start
// is valid until until.
func (w *workerLoop) callWorker(o dispatch.Order, until agent.Clock) (agent.Clock, error) {
	token := w.token
	switch o.Kind {
	case dispatch.StopTask:
		return w.client.Stop(w.ctx, agent.Stop{Task: o.Task, Run: o.Run, Token: token})
	case dispatch.ThrottleTask:
		return w.client.Throttle(w.ctx, agent.Throttle{Task: o.Task, Run: o.Run, Percent: o.Percent, Token: token})
	default:
		return w.client.Start(w.ctx, agent.Start{
			Task: o.Task, Run: o.Run, Payload: o.Payload, LeaseUntil: until,
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
	case agent.IsWorkerReplaced(err), heatherhub.CodeOf(err) == heatherhub.CodeUnavailable:
		return dispatch.NotSent
	default:
		return dispatch.NoReply
	}
}
