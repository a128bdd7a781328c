package owner

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/version/evacuation"
)

// term is one period of ownership of a shard by this host, from the claim until the
// claim is lost or handed over.
type term struct {
	host  *Host
	shard heatherhub.ShardID
	// token is the fencing token: the revision at which the owner key was created.
	token         agent.Token
	ownerRevision ledger.Revision
	log           *zap.Logger
	ctx           context.Context
	cancel        context.CancelFunc
	group         conc.WaitGroup
	// claimedAt is the steady time at which the claim was sent, and startedAt that at which its answer arrived. Earlier
	// owners lost the shard before the latter.
	claimedAt  time.Duration
	startedAt  time.Duration
	succession succession
	// isHandingOver stops new decisions and moves.
	isHandingOver atomic.Bool
	// confirmedAt is the steady time, in nanoseconds, at which the last commit was sent
	// that succeeded with the owner key as a precondition.
	confirmedAt atomic.Int64
	wakePublish chan struct{}

	// mu guards the engine, workers, incarnations, ended, fleet, announcer, handedOver, isReleased, policyVersion, hasJobs, isResolved, jobsRead,
	// jobsAnsweredAt, entriesAnsweredAt, isRoomStale, evacuated, evacuations, evacuatedCheckedAt,
	// isEvacuationStale and committed.
	mu      sync.Mutex
	engine  *dispatch.Engine
	workers map[heatherhub.WorkerID]*workerLoop
	// incarnations has the workers by name, and ended the incarnation that was last seen to have ended.
	incarnations map[heatherhub.WorkerName][]*workerLoop
	ended        map[heatherhub.WorkerName]endedIncarnation
	fleet        fleet
	announcer    announcer
	// handedOver is the inherited list, as long as it is not known whether this owner may rely on what it
	// says of leases; see trustHandover. isReleased says that this owner hands the shard over.
	handedOver    record.Fleet
	isReleased    bool
	policyVersion heatherhub.Version
	// hasJobs is set once the engine has the jobs of the shard.
	hasJobs bool
	// isResolved is set once the workers of the previous owner have reported or are gone.
	isResolved bool
	// loadRevision is the revision of the shard's load record. Only publish uses it, once
	// the shard is taken over.
	loadRevision ledger.Revision
	// expired are the jobs that the engine has forgotten and whose deletes are not known to have taken
	// effect. isLoadOpen means that a write of the load has no answer and may take effect; all such writes
	// delete the same jobs. Only publish uses both.
	expired    []heatherhub.JobID
	isLoadOpen bool
	// jobsRead is the revision up to which the engine has the job records, and
	// jobsAnsweredAt the steady time of the store's last answer about them.
	jobsRead       ledger.Revision
	jobsAnsweredAt time.Duration
	// entriesAnsweredAt is the steady time of the store's last answer about the entries of the
	// workers, and isRoomStale says that it is too long ago to start tasks.
	entriesAnsweredAt time.Duration
	isRoomStale       bool
	// evacuated is the set that the engine has, evacuations has the state of each domain in it,
	// evacuatedCheckedAt is the steady time of the last look at them, and isEvacuationStale says
	// that starts are held back since the set may be too old.
	evacuated          evacuation.Set
	evacuations        map[heatherhub.FailureDomain]*evacuationState
	evacuatedCheckedAt time.Duration
	isEvacuationStale  bool

	// committed is closed, and replaced, at the next successful commit of progress.
	committed  chan struct{}
	wakeDecide chan struct{}
	wakeCommit chan struct{}
	wakeLookup chan struct{}
	// wakeAnnounce wakes announceLoop, and announceSem serializes its writes.
	wakeAnnounce, announceSem chan struct{}
	// awaited has the jobs that arrived by a move and whose progress has not been read; mu guards
	// it.
	awaited map[heatherhub.JobID]awaitedJob
	// recentMoves holds the moves of the last recentMoveTTL. Only the move loop uses it.
	recentMoves []recentMove
	// publishCount counts the publications. Only the publish loop uses it.
	publishCount int
	// writeSem serializes the writes of progress and of the fleet, publishSem those of the
	// load, and moveSem the rounds of moves. They are channels because they are held
	// during store calls.
	writeSem, publishSem, moveSem chan struct{}
}

// newTerm returns a term for the claim that was sent at claimedAt and created the owner key at
// revision rev.
func newTerm(h *Host, s heatherhub.ShardID, rev ledger.Revision, claimedAt time.Duration) *term {
	ctx, cancel := context.WithCancel(context.Background())
	now := h.cfg.Clock.Now().Steady
	formerStopsAt := now + onSlowestClock(h.cfg.MaxStoreSilence)
	t := &term{
		host: h, shard: s, token: agent.Token(rev), ownerRevision: rev,
		log: h.cfg.Log.With(zap.Stringer("shard", s), zap.Uint64("token", uint64(rev))),
		ctx: ctx, cancel: cancel, claimedAt: claimedAt, startedAt: now, evacuations: make(map[heatherhub.FailureDomain]*evacuationState), succession: succession{isOver: make(chan struct{})},
		workers: make(map[heatherhub.WorkerID]*workerLoop), fleet: newFleet(),
		incarnations: make(map[heatherhub.WorkerName][]*workerLoop), ended: make(map[heatherhub.WorkerName]endedIncarnation),
		committed: make(chan struct{}), wakeDecide: make(chan struct{}, 1), wakeCommit: make(chan struct{}, 1),
		wakePublish: make(chan struct{}, 1), wakeLookup: make(chan struct{}, 1), wakeAnnounce: make(chan struct{}, 1), announceSem: make(chan struct{}, 1), writeSem: make(chan struct{}, 1),
		publishSem: make(chan struct{}, 1), moveSem: make(chan struct{}, 1), awaited: make(map[heatherhub.JobID]awaitedJob),
	}
	t.engine = dispatch.New(dispatch.Config{
		Token: agent.Token(rev), Shard: s, InheritUntil: formerStopsAt, LongestLease: h.longestLease(), LastConfirmed: t.lastConfirmed,
		MaxPendingStarts: h.maxPendingStarts(), Tuning: h.cfg.Tuning,
	})
	// The shard may have been lost while the answer was under way.
	t.confirmedAt.Store(int64(claimedAt))
	t.succession.stopsAt.Store(int64(formerStopsAt))
	return t
}

// Limits of the start orders without an outcome. A host of one core sends several hundred
// orders in the time in which a worker answers one on a busy site.
const (
	pendingStartsPerCore = 250
	minPendingStarts     = 12
)

// maxPendingStarts returns how many start orders a shard on this host may have without an
// outcome.
func (h *Host) maxPendingStarts() int {
	return max(int(h.cfg.Cores*pendingStartsPerCore), minPendingStarts)
}

// Timing of a term.
const (
	// jobWatchTimeout bounds one watch of the jobs, and so the delay of a cancel when the
	// connection has gone silent.
	jobWatchTimeout = 1500 * time.Millisecond
	// jobBatchDelay is the minimum time between two watches of the jobs. Jobs that arrive
	// within it come in one answer.
	jobBatchDelay = 10 * time.Millisecond
	// workerWatchTimeout bounds one watch of the worker entries.
	workerWatchTimeout = 1500 * time.Millisecond
	// workerBatchDelay is the minimum time between two watches of the worker entries.
	// Without it they make up 60% of the store calls on a site of 490 workers.
	workerBatchDelay = 200 * time.Millisecond
	// storeRetryDelay is the pause after a failed store call.
	storeRetryDelay = 200 * time.Millisecond
	// decideBatchDelay is the minimum time between two decisions. A decision looks at all
	// waiting work, and each report of a worker asks for one.
	decideBatchDelay = 8 * time.Millisecond
	// commitBatchDelay is the pause between two commits. Tasks that end within it go into
	// one transaction.
	commitBatchDelay = 40 * time.Millisecond
	// handOverTimeout bounds the last commits of a term.
	handOverTimeout = 600 * time.Millisecond
)

// run takes the shard over and runs its loops until the term ends.
func (t *term) run() {
	defer t.cancel()
	start, ok := t.takeOver()
	if !ok {
		return
	}
	jobs := ledger.Watcher{
		Store: t.host.cfg.Store, Prefix: record.JobPrefix, WatchTimeout: jobWatchTimeout, MinInterval: jobBatchDelay, Log: t.log,
		OnSnapshot: t.applyJobSnapshot, OnChanges: t.applyJobChanges, OnReply: t.recordJobsContact,
	}
	workers := ledger.Watcher{
		Store: t.host.cfg.Store, Prefix: t.host.cfg.WorkerPrefix, WatchTimeout: workerWatchTimeout, MinInterval: workerBatchDelay, Log: t.log,
		OnSnapshot: t.applyWorkerSnapshot, OnChanges: t.applyWorkerChanges, OnReply: t.recordEntriesContact,
	}
	t.group.Go(func() { jobs.Run(t.ctx, &start.jobs) })
	t.group.Go(func() { workers.Run(t.ctx, &start.workers) })
	t.group.Go(t.decideLoop)
	t.group.Go(t.commitLoop)
	t.group.Go(t.announceLoop)
	t.group.Go(t.publishLoop)
	t.group.Go(t.lookupLoop)
	t.group.Go(t.moveLoop)
	t.group.Go(t.findLeasesLoop)
	if t.keepsFences() {
		t.group.Go(t.fenceLoop)
	}
	<-t.ctx.Done()
	t.group.Wait()
	t.host.metrics.reportForecast(t.shard, nil)
	t.host.metrics.forgetEvacuated(t.shard)
	t.log.Info("term over", zap.Duration("lasted", t.now().Steady-t.startedAt), zap.Any("stats", t.engine.Stats))
}

// now reads the host's clocks.
func (t *term) now() dispatch.Moment {
	return t.host.cfg.Clock.Now()
}

// end ends the term at once, without a last commit, and counts the shard as lost.
func (t *term) end(reason string) {
	if t.ctx.Err() == nil {
		t.host.metrics.shardsLost.Inc()
		t.log.Warn("shard lost", zap.String("why", reason))
	}
	t.cancel()
}

// handOver writes the fleet, commits the pending changes, within handOverTimeout, and ends the
// term. The next owner waits for each worker that the stored fleet still lists until its lease is
// over. The last write is a load, from which it learns which waiting jobs were moved.
func (t *term) handOver() {
	t.isHandingOver.Store(true)
	ctx, cancel := context.WithTimeout(t.ctx, handOverTimeout)
	defer cancel()
	t.refreshClosedWorkers()
	t.writeFleet(ctx)
	t.mu.Lock()
	t.releaseWorkers()
	t.dropUnannounced(t.now(), func(heatherhub.WorkerID) bool { return true })
	t.engine.RecordStartsUnderWay(t.now())
	t.mu.Unlock()
	for ctx.Err() == nil {
		if !t.commit(ctx) {
			break
		}
	}
	// A lost worker leaves the fleet once its open starts are recorded. The list has the leases.
	t.writeFleet(ctx)
	for ctx.Err() == nil && !t.announce(ctx) {
		ledger.Sleep(ctx, announceRetryDelay)
	}
	if acquire(ctx, t.moveSem) {
		t.publish(ctx)
		release(t.moveSem)
	}
	t.log.Info("shard handed over")
	t.cancel()
}

// takeoverState is the stored state from which a term starts.
type takeoverState struct {
	jobs         ledger.Snapshot
	workers      ledger.Snapshot
	progress     ledger.Snapshot
	fleet        ledger.Item
	starts       ledger.Item
	interference ledger.Item
	load         ledger.Item
}

// takeOver reads the stored state of the shard and starts the loops that poll the
// workers. It retries after errors and reports false if the term ends meanwhile.
func (t *term) takeOver() (takeoverState, bool) {
	for t.ctx.Err() == nil {
		s, err := t.readTakeoverState()
		if err == nil {
			err = t.applyTakeoverState(s)
		}
		if err == nil {
			t.trustHandover()
			return s, true
		}
		t.log.Warn("takeover not finished", zap.Error(err))
		ledger.Sleep(t.ctx, storeRetryDelay)
	}
	return takeoverState{}, false
}

// readTakeoverState reads the stored state. The order of the reads does not matter: the
// earlier owner cannot write progress since this one holds the owner key, and the watch
// brings jobs that are accepted after the read.
func (t *term) readTakeoverState() (takeoverState, error) {
	var s takeoverState
	var errs [7]error
	var g conc.WaitGroup
	// Jobs and progress may be several megabytes. One after the other, neither keeps the
	// other from arriving in time on a slow link.
	g.Go(func() {
		if s.jobs, errs[0] = t.host.cfg.Store.Range(t.ctx, record.JobPrefix); errs[0] == nil {
			s.progress, errs[2] = t.host.cfg.Store.Range(t.ctx, record.ProgressPrefix)
		}
	})
	g.Go(func() { s.workers, errs[1] = t.host.cfg.Store.Range(t.ctx, t.host.cfg.WorkerPrefix) })
	g.Go(func() { s.fleet, errs[3] = t.host.cfg.Store.Get(t.ctx, record.FleetKey(t.shard)) })
	g.Go(func() { s.starts, errs[6] = t.host.cfg.Store.Get(t.ctx, record.StartsKey(t.shard)) })
	g.Go(func() { s.interference, errs[4] = t.host.cfg.Store.Get(t.ctx, record.InterferenceKey(t.shard)) })
	g.Go(func() { s.load, errs[5] = t.host.cfg.Store.Get(t.ctx, record.LoadKey(t.shard)) })
	g.Wait()
	return s, errors.Join(errs[:]...)
}

// applyTakeoverState initializes the engine and starts the loops of the shard's workers
// and of those in the earlier owner's fleet.
func (t *term) applyTakeoverState(s takeoverState) error {
	var inherited record.Fleet
	if s.fleet.Revision > 0 {
		if err := heatherhub.Unmarshal(s.fleet.Value, &inherited); err != nil {
			return err
		}
	}
	var announced record.Starts
	if s.starts.Revision > 0 {
		if err := heatherhub.Unmarshal(s.starts.Value, &announced); err != nil {
			return err
		}
	}
	t.mu.Lock()
	t.syncPolicies()
	t.fleet.revision = s.fleet.Revision
	t.inherit(membersOf(inherited), t.now().Steady)
	t.handedOver = inherited
	for _, w := range inherited.Workers {
		t.fleet.workers[w.ID] = w.Address
		if w.IsUnused {
			continue
		}
		t.fleet.reached[w.ID] = struct{}{}
		if w.MayHoldLongest {
			t.fleet.longest[w.ID] = struct{}{}
		}
		if !w.IsClosed {
			t.engine.MarkUnresolved(w.ID)
			continue
		}
		t.fleet.closed[w.ID] = w.Tasks
		t.engine.MarkUnresolvedClosed(w.ID, w.Tasks)
	}
	t.fleet.updateUsed(inherited, t.fleet.generation)
	t.engine.InheritGuestStarts(inherited.GuestStarts)
	t.engine.InheritAnnounced(announced.Starts)
	t.announcer = announcer{revision: s.starts.Revision, announced: len(announced.Starts), certain: keysOf(announced)}
	t.loadJobs(s)
	t.hasJobs = true
	t.jobsRead, t.jobsAnsweredAt = s.jobs.Revision, t.now().Steady
	t.entriesAnsweredAt = t.jobsAnsweredAt
	t.restoreInterference(s.interference)
	t.restoreMovedJobs(s.load)
	t.loadRevision = s.load.Revision
	t.mu.Unlock()
	time.AfterFunc(overdueAnswer, t.boundSilentWorkers)
	t.applyWorkerSnapshot(s.workers)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range inherited.Workers {
		if t.workers[w.ID] == nil {
			t.startWorker(agent.Worker{ID: w.ID, Address: w.Address, Draining: true}, false, 0)
		}
	}
	_, open, heldBack := t.engine.HeldBack()
	t.log.Info("takeover begun", zap.Int("workers", len(t.workers)), zap.Int("inheritedWorkers", len(inherited.Workers)), zap.Int("jobs", len(s.jobs.Items)),
		zap.Int("closedWorkers", len(inherited.Workers)-open), zap.Int("heldBack", heldBack), zap.Int("announcedStarts", len(announced.Starts)))
	return nil
}

// loadJobs adds the jobs of s with their progress and cancellations to the engine. The
// caller holds t.mu.
func (t *term) loadJobs(s takeoverState) {
	progress := make(map[heatherhub.JobID]ledger.Item, len(s.progress.Items))
	for _, it := range s.progress.Items {
		progress[heatherhub.JobID(strings.TrimPrefix(it.Key, record.ProgressPrefix))] = it
	}
	var cancels []heatherhub.JobID
	for _, it := range s.jobs.Items {
		id, isCancel := record.ParseJobKey(it.Key)
		if isCancel {
			cancels = append(cancels, id)
			continue
		}
		t.addJob(it, progress[id], dispatch.OriginPreviousOwner)
	}
	for _, id := range cancels {
		t.cancelJob(id)
	}
}

// addJob decodes a job and its progress, if there is any, and adds it to the engine. A job that
// has arrived by a move with progress waits until that was read. A record that cannot be decoded
// is logged and skipped. The caller holds t.mu.
func (t *term) addJob(it, progress ledger.Item, origin dispatch.JobOrigin) {
	var flow heatherhub.Workflow
	if err := heatherhub.Unmarshal(it.Value, &flow); err != nil {
		t.log.Error("job unreadable", zap.String("key", it.Key), zap.Error(err))
		return
	}
	if it.Revision < t.awaited[flow.ID].item.Revision {
		return
	}
	if t.engine.NeedsProgress(&flow, it.Revision) {
		t.engine.RemoveOutdated(t.now(), flow.ID)
		if uint64(progress.Revision) < flow.ProgressRevision {
			t.awaitProgress(&flow, it, origin)
			return
		}
	}
	delete(t.awaited, flow.ID)
	r := dispatch.JobRecord{Workflow: &flow, RecordRevision: it.Revision, ProgressRevision: progress.Revision, Origin: origin}
	if progress.Revision > 0 {
		if err := heatherhub.Unmarshal(progress.Value, &r.Progress); err != nil {
			t.log.Error("progress unreadable", zap.String("key", progress.Key), zap.Error(err))
			return
		}
	}
	t.engine.AddJob(t.now(), r)
}

// applyJobSnapshot adds the jobs of a snapshot that was read after the watch failed.
func (t *term) applyJobSnapshot(s ledger.Snapshot) {
	events := make([]ledger.Event, 0, len(s.Items))
	for _, it := range s.Items {
		events = append(events, ledger.Event{Item: it})
	}
	t.applyJobChanges(events)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobsRead = max(t.jobsRead, s.Revision)
}

// recordJobsContact records an answer of the jobs watch.
func (t *term) recordJobsContact() {
	t.host.session.recordContact()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobsAnsweredAt = t.now().Steady
	t.engine.JobWatchReplied(t.now())
}

// maxEntryAge is how long after the store's last answer about the entries of the workers tasks are
// started: a worker that has shrunk meanwhile need not have room for them.
const maxEntryAge = 3 * time.Second

// recordEntriesContact records an answer of the watch of the workers' entries.
func (t *term) recordEntriesContact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entriesAnsweredAt = t.now().Steady
	if t.isRoomStale {
		signal(t.wakeDecide)
	}
}

// updateRoomStale holds back starts while the entries of the workers are too old. The caller holds
// t.mu.
func (t *term) updateRoomStale(now time.Duration) {
	age := now - t.entriesAnsweredAt
	isStale := age > maxEntryAge
	if isStale != t.isRoomStale {
		t.isRoomStale = isStale
		t.log.Warn("capacities of workers", zap.Bool("stale", isStale), zap.Duration("age", age))
	}
	isUnknown := t.updateEvacuationStale(now)
	t.engine.SetRoomStale(isStale || isUnknown)
}

// applyJobChanges applies new jobs and cancellations. The jobs go first, as the engine ignores the
// cancel of a job that it does not know. Deletions of keys are ignored: the owner deletes expired
// jobs itself.
func (t *term) applyJobChanges(events []ledger.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cancels []heatherhub.JobID
	for _, e := range events {
		t.jobsRead = max(t.jobsRead, e.Revision)
		id, isCancel := record.ParseJobKey(e.Key)
		switch {
		case e.Deleted:
		case isCancel:
			cancels = append(cancels, id)
		default:
			t.addJob(e.Item, ledger.Item{}, dispatch.OriginNew)
		}
	}
	for _, id := range cancels {
		t.cancelJob(id)
	}
	signal(t.wakeDecide)
}

// jobState returns the durable state of a job. It reports false if the term does not
// know the job.
func (t *term) jobState(id heatherhub.JobID) (heatherhub.WorkflowState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.State(id)
}

// syncPolicies passes the queue policies to the engine if the configuration has a new
// version. The caller holds t.mu.
func (t *term) syncPolicies() {
	table := t.host.cfg.Tables.Load()
	if table == nil || table.Version == t.policyVersion {
		return
	}
	t.policyVersion = table.Version
	policies := make(map[heatherhub.QueueID]dispatch.Policy, len(table.Queues))
	for _, q := range table.Queues {
		policies[q.ID] = q.QueuePolicy
	}
	t.engine.SetPolicies(policies)
	t.log.Info("policies in force", zap.Uint64("version", uint64(table.Version)))
}

// decideLoop asks the engine for decisions when it is woken and when the engine's timer
// expires.
func (t *term) decideLoop() {
	for t.ctx.Err() == nil {
		t.decide()
		// Events that arrive within the batch delay share a decision.
		ledger.Sleep(t.ctx, decideBatchDelay)
		timer := time.NewTimer(t.engine.NextWake())
		select {
		case <-t.ctx.Done():
		case <-t.wakeDecide:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// decide queues the engine's orders for the workers, unless this owner must not act.
func (t *term) decide() {
	now := t.now()
	if t.isHandingOver.Load() || !t.mayAct(now.Steady) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.syncPolicies()
	t.syncEvacuated(now)
	t.updateRoomStale(now.Steady)
	for _, o := range t.engine.Decide(now) {
		timed := timedOrder{Order: o, decidedAt: now.Steady}
		switch w := t.workers[o.Worker]; {
		case w == nil:
		case o.Kind == dispatch.StartTask:
			t.announceStart(timed)
		default:
			w.enqueue(timed)
		}
	}
	t.checkEvacuated(now)
	t.removeRestarted()
	if t.engine.HasChanges() {
		signal(t.wakeCommit)
	}
	t.logEvents()
}

// logEvents logs the engine's events and updates the metrics. The caller holds t.mu.
func (t *term) logEvents() {
	for _, n := range t.engine.TakeEvents() {
		t.host.metrics.recordEvent(n)
		fields := []zap.Field{
			zap.String("job", string(n.Job)), zap.Int("step", n.Step), zap.Int("index", n.Index),
			zap.String("worker", string(n.Worker)), zap.Uint64("run", uint64(n.Run)), zap.String("reason", n.Reason),
			zap.Int("count", n.Count), zap.Duration("waited", n.Waited), zap.Duration("left", n.Slack),
		}
		if n.Age > 0 || n.Evidence != "" {
			fields = append(fields, zap.Duration("age", n.Age), zap.Duration("listedAge", n.ListedAge), zap.String("evidence", n.Evidence), zap.String("loss", n.Loss))
		}
		if n.For != "" {
			fields = append(fields, zap.String("for", string(n.For)), zap.Duration("lost", n.Lost))
		}
		if n.Event == dispatch.EventTaskWaits {
			fields = append(fields, zap.Duration("expected", n.WaitExpected))
		}
		if len(n.Workers) > 0 {
			fields = append(fields, zap.Any("workers", n.Workers))
		}
		if len(n.Losses) > 0 {
			fields = append(fields, zap.Stringers("losses", n.Losses))
		}
		if n.Rack != "" {
			fields = append(fields, zap.String("rack", string(n.Rack)), zap.Duration("expected", n.WaitExpected), zap.Duration("pays", n.WaitPays), zap.Duration("gained", n.WaitGained))
		}
		t.log.Info(string(n.Event), fields...)
	}
}

// wakeLoops wakes the loops that have work after a report or a lookup. The caller holds
// t.mu.
func (t *term) wakeLoops() {
	signal(t.wakeDecide)
	if t.engine.HasChanges() {
		signal(t.wakeCommit)
	}
	if t.engine.HasUnknownJobs() {
		signal(t.wakeLookup)
	}
}

// acquire enters a section that c, which has a buffer of one, makes exclusive. It reports
// false if ctx ends first.
func acquire(ctx context.Context, c chan struct{}) bool {
	select {
	case c <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// release leaves the section that acquire entered.
func release(c chan struct{}) {
	<-c
}

// signal wakes the receiver of c, which has a buffer of one. It does not block.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
