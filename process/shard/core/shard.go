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

// taskTickInterval is the time between two looks at all workers and tasks.
const taskTickInterval = 200 * time.Millisecond

// maxGroupedTasks is the number of tasks up to which a shard without queued tasks is
// ticked together with others.
const maxGroupedTasks = 200

// maxRenewFailures is the number of renewals in a row that a worker leaves unanswered
// until it gets no new work. A host that was paused does not count them.
const maxRenewFailures = 3

// hostState is what the host tells a shard before each step.
type hostState struct {
	// commandDeadline is the end of the right to act; zero for none.
	validUntil time.Time
	exclusive  exclusivity
	// allHeardRecently says that no peer can take this host for gone.
	allPeersHeard bool
	draining      bool
	// releasing says that the shard has been handed over but for the store's answer.
	releasing bool
}

// shard decides for one owned shard. It is pure and not safe for concurrent use.
type shard struct {
	cfg            *Config
	id             heatherhub.ShardID
	epoch          heatherhub.Epoch
	startNotBefore time.Time
	serveNotBefore time.Time
	ledgerOpenedAt time.Time
	hostState      hostState
	// exclusiveSince is since when no other host can be renewing tasks of a kind.
	exclusiveSince map[heatherhub.Kind]time.Time
	snapshot       *heatherhub.Snapshot
	replicaCounts  map[heatherhub.WorkloadID]int
	sched          placement.Scheduler
	log            *ledger.Ledger

	workers map[heatherhub.WorkerID]*workerState
	// listVersion is the platform's list that was taken last, and hasUnlisted says that
	// some workers are not in it.
	listVersion uint64
	hasUnlisted bool

	tasks  map[heatherhub.TaskID]*placedTask
	queued map[heatherhub.TaskID]bool
	// batchRecovered says that the recovery is over for batch tasks, and servicesRecovered
	// for replicas.
	batchRecovered    bool
	servicesRecovered bool
	// recordingFinish has tasks whose end is not durable yet.
	recordingFinish map[heatherhub.TaskID]bool

	requests      requests
	superseded    bool
	nextReconcile time.Time
	nextTaskTick  time.Time
	out           Output
}

// workerState is one worker of the shard.
type workerState struct {
	host hostlist.Host
	// scheduled is what the scheduler knows of the worker.
	scheduled hostlist.Host
	listed    bool
	tasks     map[heatherhub.TaskID]*placedTask
	// unwanted run on the worker and should not; they hold room until they are gone.
	unwanted map[heatherhub.TaskID]heatherhub.Resources
	// ended are listed by the worker and wait to be confirmed or forgotten.
	ended         map[heatherhub.TaskID]time.Time
	toConfirm     map[heatherhub.TaskID]bool
	nextRenew     time.Time
	renewSentAt   time.Time
	renewInFlight bool
	// failures is the number of renewals in a row that were not answered.
	failures int
	// lastReadAt is when the last answered renewal was sent.
	lastReadAt time.Time
	// lastRecordedAt is when the last renewal was sent whose report was lastRecordedAt in full: with
	// the jobs known and the right to act.
	lastRecordedAt time.Time
	// leaseSentUntil is the end of the last lease that was sent.
	leaseSentUntil time.Time
	// lastCommandAt is when the last start or stop was answered.
	lastCommandAt time.Time
	addedAt       time.Time
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
		recordingFinish: make(map[heatherhub.TaskID]bool),
		requests:        newRequests(),
		log: ledger.New(ledger.Config{
			Prefix:                    ledgerPrefix(c.shard),
			Epoch:                     c.epoch,
			Window:                    cfg.commitWindow(),
			UnsafeLostAnswerIsFailure: cfg.Unsafe.LostAnswerIsFailure,
		}),
	}
	return s
}

// mayAct reports whether the shard may start and stop tasks.
func (s *shard) mayAct(now time.Time) bool {
	return s.cfg.Unsafe.SkipEpochCheck || now.Before(s.hostState.validUntil)
}

func (s *shard) setHostState(now time.Time, a hostState) {
	if !a.exclusive.batch {
		s.exclusiveSince[heatherhub.KindBatch] = now
	}
	if !a.exclusive.services {
		s.exclusiveSince[heatherhub.KindService] = now
	}
	s.hostState = a
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

// setWorkers takes the listed workers of the shard. A list that was taken before
// matters again only while workers that it lacks wait to be removed.
func (s *shard) setWorkers(now time.Time, hosts []hostlist.Host, reading uint64) {
	if reading == s.listVersion && !s.hasUnlisted {
		return
	}
	s.listVersion = reading
	for _, w := range s.workers {
		w.listed = false
	}
	for _, h := range hosts {
		id := heatherhub.WorkerID(h.ID)
		w, ok := s.workers[id]
		if !ok {
			w = newWorkerState(now)
			s.workers[id] = w
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
			delete(s.workers, id)
			continue
		}
		s.hasUnlisted = true
	}
}

// updateScheduler shows a worker to the scheduler. One that does not answer gets no new work,
// like one that leaves.
func (s *shard) updateScheduler(now time.Time, w *workerState) {
	h := w.host
	if w.lastReadAt.IsZero() || w.failures >= maxRenewFailures {
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

// isAbsent reports whether nothing of a kind that the worker ran can still run:
// every lease that was sent to it has lapsed, and no other host can have renewed
// one since.
func (s *shard) isAbsent(now time.Time, w *workerState, k heatherhub.Kind) bool {
	if w.isReachable(now) || !s.mayAct(now) {
		return false
	}
	lapse := worker.TaskLease + s.cfg.ClockMargin
	lastSent := w.leaseSentUntil.Add(s.cfg.ClockMargin)
	return now.After(lastSent) && now.Sub(s.exclusiveSince[k]) > lapse+heartbeatTimeout && now.Sub(w.addedAt) > lapse
}

// tick lets time pass.
func (s *shard) tick(now time.Time) {
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

// finishRecovery ends the recovery of the shard. From then on a task that is not placed
// is known not to run anywhere.
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

// allWorkersRead reports whether every worker has been read since no start of a
// predecessor can take effect, or is absent. It asks at once those that were last
// asked too early.
func (s *shard) allWorkersRead(now time.Time, k heatherhub.Kind) bool {
	isWhole := true
	for _, w := range s.workers {
		isRead := !w.lastRecordedAt.IsZero() && !w.lastRecordedAt.Before(s.startNotBefore)
		if isRead || s.isAbsent(now, w, k) {
			continue
		}
		isWhole = false
		if w.renewSentAt.Before(s.startNotBefore) || w.renewSentAt.Before(s.ledgerOpenedAt) {
			w.nextRenew = now
		}
	}
	return isWhole || s.cfg.Unsafe.SkipLeaseWait
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

// answer takes the answer to one of the shard's calls.
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

// isBusy reports whether a tick may take long.
func (s *shard) isBusy() bool {
	return len(s.queued) > 0 || len(s.tasks) > maxGroupedTasks
}

// isIdle reports whether nothing is under way whose outcome a successor would
// have to wait for.
func (s *shard) isIdle(now time.Time) bool {
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
