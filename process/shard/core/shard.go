package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/ledger"
)

// taskTickInterval is the time between two checks of all workers and tasks.
const taskTickInterval = 200 * time.Millisecond

// maxGroupedTasks is the largest number of tasks with which a shard that has no
// queued tasks is ticked in one group with other shards.
const maxGroupedTasks = 200

// maxRenewFailures is the number of consecutive failed renewals after which a worker
// gets no new work. Counting failures, not elapsed time, keeps a pause of this host
// from marking every worker as unresponsive.
const maxRenewFailures = 3

// hostState is what the host passes to a shard before each step.
type hostState struct {
	// validUntil is when the host's right to act on the shard ends; zero if it has
	// none.
	validUntil time.Time
	exclusive  exclusivity
	// allPeersHeard means that every listed peer has been heard within maxBatchHold, so
	// that none can consider this host gone.
	allPeersHeard bool
	draining      bool
	// releasing means that the shard has ended its work and only the write that
	// releases its owner record is outstanding.
	releasing bool
}

// shard holds the state and the decisions of one owned shard. It performs no I/O
// and is not safe for concurrent use.
type shard struct {
	cfg   *Config
	id    heatherhub.ShardID
	epoch heatherhub.Epoch
	// startNotBefore and serveNotBefore are those of the change that acquired the shard.
	startNotBefore time.Time
	serveNotBefore time.Time
	ledgerOpenedAt time.Time
	hostState      hostState
	// exclusiveSince is the time since which no other host can be renewing tasks of
	// a kind.
	exclusiveSince map[heatherhub.Kind]time.Time
	snapshot       *heatherhub.Snapshot
	// replicaCounts caches the results of replicaCount for the present snapshot.
	replicaCounts map[heatherhub.WorkloadID]int
	sched         placement.Scheduler
	log           *ledger.Ledger

	workers map[heatherhub.WorkerID]*workerState
	// listVersion is the version of the platform's host list that was applied last.
	// hasUnlisted means that some workers are not in that list.
	listVersion uint64
	hasUnlisted bool
	// hasUnrecorded means that the log may lack listed workers.
	hasUnrecorded bool

	tasks  map[heatherhub.TaskID]*placedTask
	queued map[heatherhub.TaskID]bool
	// batchRecovered and servicesRecovered mean that the recovery of batch tasks and
	// of replicas has ended.
	batchRecovered    bool
	servicesRecovered bool
	// recordingFinish holds the tasks whose finish is not durable yet.
	recordingFinish map[heatherhub.TaskID]bool
	// recordingCrash holds, by task, the number of the record of its last crash until that is
	// durable.
	recordingCrash map[heatherhub.TaskID]uint64

	requests requests
	// superseded means that a higher epoch of the shard was seen.
	superseded    bool
	nextReconcile time.Time
	nextTaskTick  time.Time
	out           Output
}

// workerState is what the shard knows of one worker.
type workerState struct {
	host hostlist.Host
	// scheduled is the worker's entry as it was last passed to the scheduler.
	scheduled hostlist.Host
	// incarnation is that of the last report.
	incarnation heatherhub.Incarnation
	// listed means that the worker is in the platform's last host list.
	listed bool
	tasks  map[heatherhub.TaskID]*placedTask
	// unwanted holds the sizes of tasks that run on the worker and should not. They
	// occupy capacity until the worker reports them as ended or no longer lists them,
	// or is absent.
	unwanted map[heatherhub.TaskID]heatherhub.Resources
	// ended holds ended tasks that the worker may still list. A non-zero time is the
	// lease end of a renewal whose confirmation may still arrive; the task is not
	// forgotten before it.
	ended map[heatherhub.TaskID]time.Time
	// toConfirm holds the ended tasks that the next renewal tells the worker to
	// forget.
	toConfirm     map[heatherhub.TaskID]bool
	nextRenew     time.Time
	renewSentAt   time.Time
	renewInFlight bool
	// failures is the number of consecutive renewals that failed.
	failures int
	// lastReadAt is the send time of the last renewal that was answered.
	lastReadAt time.Time
	// lastRecordedAt is the send time of the last renewal whose report was applied
	// while the jobs were known and the shard could act, so that results were
	// recorded.
	lastRecordedAt time.Time
	// leaseSentUntil is the end of the last lease that was sent to the worker.
	leaseSentUntil time.Time
	// lastCommandAt is when the last start or stop command was answered.
	lastCommandAt time.Time
	addedAt       time.Time
	// isRecorded means that the log names the worker, so that a successor knows of it even if
	// the platform's list lacks it. It gets no starts before. awaitedRecord is the number of
	// that record until it is durable.
	isRecorded    bool
	awaitedRecord uint64
}

func newShard(cfg *Config, c change, now time.Time) *shard {
	s := &shard{
		cfg:             cfg,
		id:              c.shard,
		epoch:           c.epoch,
		startNotBefore:  c.startNotBefore,
		serveNotBefore:  c.serveNotBefore,
		exclusiveSince:  map[heatherhub.Kind]time.Time{heatherhub.KindBatch: now, heatherhub.KindService: now},
		sched:           cfg.NewScheduler(),
		workers:         make(map[heatherhub.WorkerID]*workerState),
		tasks:           make(map[heatherhub.TaskID]*placedTask),
		queued:          make(map[heatherhub.TaskID]bool),
		recordingFinish: make(map[heatherhub.TaskID]bool), recordingCrash: make(map[heatherhub.TaskID]uint64),
		requests: newRequests(),
		log: ledger.New(ledger.Config{
			Prefix:                    ledgerPrefix(c.shard),
			Epoch:                     c.epoch,
			CommitInterval:            cfg.commitWindow(),
			UnsafeLostAnswerIsFailure: cfg.Unsafe.LostAnswerIsFailure,
		}),
	}
	return s
}

// mayAct reports whether the shard may start and stop tasks, accept requests and record
// results. Ledger writes don't depend on it: once a successor has sealed the log, their
// compare-and-swap fails.
func (s *shard) mayAct(now time.Time) bool {
	return s.cfg.Unsafe.SkipEpochCheck || now.Before(s.hostState.validUntil)
}

func (s *shard) setHostState(now time.Time, state hostState) {
	if !state.exclusive.batch {
		s.exclusiveSince[heatherhub.KindBatch] = now
	}
	if !state.exclusive.services {
		s.exclusiveSince[heatherhub.KindService] = now
	}
	s.hostState = state
}

func (s *shard) setSnapshot(now time.Time, snapshot *heatherhub.Snapshot) {
	if snapshot == nil || s.snapshot != nil && snapshot.Version <= s.snapshot.Version {
		return
	}
	s.snapshot = snapshot
	s.replicaCounts = make(map[heatherhub.WorkloadID]int)
	s.sched.SetSnapshot(now, snapshot)
	s.nextReconcile = now
	if s.batchRecovered {
		s.enqueueJobs(now)
	}
}

// setWorkers applies the workers that the platform lists for the shard. It skips a
// list that it has applied before, unless unlisted workers still wait for removal.
func (s *shard) setWorkers(now time.Time, hosts []hostlist.Host, listVersion uint64) {
	if listVersion == s.listVersion && !s.hasUnlisted {
		return
	}
	s.listVersion = listVersion
	for _, w := range s.workers {
		w.listed = false
	}
	for _, h := range hosts {
		id := heatherhub.WorkerID(h.ID)
		w, ok := s.workers[id]
		if !ok {
			w = newWorkerState(now)
			s.workers[id] = w
			s.hasUnrecorded = true
		}
		w.listed = true
		w.host = h
		s.updateScheduler(now, w)
	}
	s.hasUnlisted = false
	for id, w := range s.workers {
		if w.listed {
			continue
		}
		if len(w.tasks)+len(w.unwanted) == 0 && (s.servicesRecovered || s.isAbsent(now, w, heatherhub.KindService)) {
			s.sched.RemoveWorker(now, id)
			s.forgetWorker(now, id, w)
			continue
		}
		s.hasUnlisted = true
	}
}

// updateScheduler passes a worker to the scheduler. A worker that does not answer or is not
// recorded is marked as leaving, so that it gets no new work.
func (s *shard) updateScheduler(now time.Time, w *workerState) {
	h := w.host
	h.Incarnation = w.incarnation
	if w.lastReadAt.IsZero() || w.failures >= maxRenewFailures || !w.isRecorded {
		h.State = hostlist.StateLeaving
	}
	if h != w.scheduled {
		w.scheduled = h
		s.sched.PutWorker(now, h)
	}
}

func newWorkerState(now time.Time) *workerState {
	return &workerState{
		tasks:     make(map[heatherhub.TaskID]*placedTask),
		unwanted:  make(map[heatherhub.TaskID]heatherhub.Resources),
		ended:     make(map[heatherhub.TaskID]time.Time),
		toConfirm: make(map[heatherhub.TaskID]bool),
		addedAt:   now,
	}
}

// isReachable reports whether the worker answered within the last task lease.
func (w *workerState) isReachable(now time.Time) bool {
	return !w.lastReadAt.IsZero() && now.Sub(w.lastReadAt) < worker.TaskLease
}

// isAbsent reports whether no task of a kind can still be running on the worker: it
// is unreachable, every lease that was sent to it has lapsed, and no other host can
// have renewed one since.
func (s *shard) isAbsent(now time.Time, w *workerState, k heatherhub.Kind) bool {
	if s.cfg.Unsafe.TrustHostList && !w.listed {
		return true
	}
	if w.isReachable(now) || !s.mayAct(now) {
		return false
	}
	lapse := worker.TaskLease + s.cfg.ClockMargin
	lastLeaseEnd := w.leaseSentUntil.Add(s.cfg.ClockMargin)
	return now.After(lastLeaseEnd) && now.Sub(s.exclusiveSince[k]) > lapse+heartbeatTimeout && now.Sub(w.addedAt) > lapse
}

// tick advances the shard to now: it renews leases, finishes the recovery, retries
// commands and runs the scheduler.
func (s *shard) tick(now time.Time) {
	s.recordWorkers(now)
	s.callLedger(now)
	isDue := !now.Before(s.nextTaskTick)
	if isDue {
		s.nextTaskTick = now.Add(taskTickInterval)
		for _, id := range sortedKeys(s.workers) {
			s.tickWorker(now, id, s.workers[id])
		}
	}
	if !s.mayAct(now) || s.hostState.releasing {
		return
	}
	if isDue {
		s.finishRecovery(now)
		s.tickTasks(now)
	}
	if s.servicesRecovered && !s.hostState.draining && !now.Before(s.nextReconcile) {
		s.nextReconcile = now.Add(time.Second)
		s.reconcileServices(now)
	}
	if s.batchRecovered && !s.hostState.draining {
		s.runScheduler(now)
	}
}

// finishRecovery ends the recovery of the shard once every worker's tasks are known.
// From then on, a task that is not placed is known not to run anywhere.
func (s *shard) finishRecovery(now time.Time) {
	if s.batchRecovered && s.servicesRecovered || !s.log.IsOpen() || now.Before(s.startNotBefore) || s.snapshot == nil {
		return
	}
	if !s.batchRecovered && s.allWorkersRead(now, heatherhub.KindBatch) {
		s.batchRecovered = true
		s.stopUnwantedTasks(now)
		s.enqueueJobs(now)
	}
	if !s.servicesRecovered && s.allWorkersRead(now, heatherhub.KindService) {
		s.servicesRecovered = true
		s.nextReconcile = now
	}
}

// allWorkersRead reports whether every worker is absent or has reported its tasks in
// answer to a renewal that was sent at startNotBefore or later, so that the report has
// every start of the predecessor. If the last renewal of a worker was sent earlier, or
// before the ledger was open, its next one becomes due at once.
func (s *shard) allWorkersRead(now time.Time, k heatherhub.Kind) bool {
	allRead := true
	for _, w := range s.workers {
		isRead := !w.lastRecordedAt.IsZero() && !w.lastRecordedAt.Before(s.startNotBefore)
		if isRead || s.isAbsent(now, w, k) {
			continue
		}
		allRead = false
		if w.renewSentAt.Before(s.startNotBefore) || w.renewSentAt.Before(s.ledgerOpenedAt) {
			w.nextRenew = now
		}
	}
	return allRead || s.cfg.Unsafe.SkipLeaseWait
}

func (s *shard) takeOutput() Output {
	out := s.out
	s.out = Output{}
	return out
}

func (s *shard) addCall(c Call) {
	c.Shard = s.id
	c.owner = s
	s.out.Calls = append(s.out.Calls, c)
}

// answer applies the answer to one of the shard's calls.
func (s *shard) answer(now time.Time, a Answer) {
	switch a.Call.Kind {
	case CallGet, CallList, CallWrite:
		s.ledgerAnswered(now, a)
	case CallRenewTasks:
		s.renewAnswered(now, a)
	case CallStart:
		s.startAnswered(now, a)
	case CallCheckpoint:
		s.checkpointAnswered(now, a)
	case CallStop:
		s.stopAnswered(now, a)
	}
}

// isBusy reports whether a tick may take long enough to delay other shards.
func (s *shard) isBusy() bool {
	return len(s.queued) > 0 || len(s.tasks) > maxGroupedTasks
}

// isIdle reports whether the shard can be handed over: no start, stop, command,
// ledger write or recently granted run is under way whose outcome a successor would
// have to wait for, also none of a predecessor.
func (s *shard) isIdle(now time.Time) bool {
	if now.Before(s.startNotBefore) {
		return false
	}
	for _, p := range s.tasks {
		if p.phase == phaseStarting || p.phase == phaseStopping || p.commandInFlight {
			return false
		}
	}
	return s.log.IsOpen() && s.log.IsIdle() && !s.hasRecentRuns(now)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
