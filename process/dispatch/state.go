package dispatch

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/version/evacuation"
)

// Moment is a point in time on both clocks of the host.
type Moment struct {
	// Steady is the time since the process started. It never jumps.
	Steady time.Duration
	// Wall is the time of day, which may jump. Only the times of scheduled occurrences
	// are compared with it.
	Wall time.Time
}

// Policy is the configuration of a queue.
type Policy = heatherhub.QueuePolicy

// Config configures an engine.
type Config struct {
	// Token is the owner's fencing token. Run numbers of an owner are above those of
	// all lower tokens.
	Token agent.Token
	// Shard is the shard whose tasks the engine runs.
	Shard heatherhub.ShardID
	// InheritUntil is the time after which no previous owner acts. Zero means that there is
	// none.
	InheritUntil time.Duration
	// LateCallTime is how long after it was sent a call without an answer may be carried out. Zero
	// means DefaultLateCallTime.
	LateCallTime time.Duration
	// LongestLease is the longest time, on the owner's clock, for which a worker runs tasks without
	// a renewal. Zero means DefaultLongestLease.
	LongestLease time.Duration
	// LastConfirmed returns the steady time at which the ownership was last confirmed. Nil means
	// that it needs no confirmation.
	LastConfirmed func() time.Duration
	// MaxPendingStarts bounds the start orders without an outcome. Zero means no bound.
	MaxPendingStarts int
	Tuning
}

// Defaults of Config.
const (
	// DefaultLateCallTime is the users' upper bound for calls that are carried out late.
	DefaultLateCallTime = 12 * time.Second
	// DefaultLongestLease is the users' longest lease of 10 s on a clock that is 2% slow, and 0.2 s in
	// which a worker ends its tasks.
	DefaultLongestLease = 10*time.Second*100/98 + 200*time.Millisecond
)

// runsPerToken is the number of run numbers reserved per token. Run numbers stay below
// 2^53, so that JSON numbers represent them exactly.
const runsPerToken = 1 << 22

// Engine holds the state of one shard. It is not safe for concurrent use.
type Engine struct {
	cfg      Config
	policies map[heatherhub.QueueID]Policy
	jobs     map[heatherhub.JobID]*job
	nodes    map[heatherhub.WorkerID]*node
	// sortedNodes has the nodes by worker ID, which makes decisions deterministic.
	sortedNodes []*node
	// largestCPU is the largest capacity that a worker has had.
	largestCPU heatherhub.MilliCPU
	// unresolved has the workers on which runs of a previous owner may still be active.
	unresolved map[heatherhub.WorkerID]unresolvedWorker
	// crashes has the recent crashes of workers, in the order in which they became known.
	crashes []crashLog
	// watchedSince is the steady time at which the first worker was reached.
	watchedSince time.Duration
	// lapsed has, by address, the workers whose leases have expired and of which no more is known.
	lapsed map[string]lapsedWorker
	// inheritedLapses has, by name, the workers of which a previous owner has recorded expired leases.
	inheritedLapses map[heatherhub.WorkerName][]heatherhub.WorkerID
	// open has the open starts by worker.
	open map[heatherhub.WorkerName][]*openStart
	// heldBack is what may run on unresolved workers, and heldBackLongRunning the same for long-running tasks.
	heldBack, heldBackLongRunning heldBack
	// hasLostUnresolved means that an unresolved worker counts as lost. If it returns, it may report ends
	// of inherited jobs.
	hasLostUnresolved bool
	// hasAskedWorkers means that each worker of the shard has answered this owner, or failed to.
	hasAskedWorkers bool
	// kinds are the kinds of workers as of kindsAt.
	kinds   WorkerKinds
	kindsAt time.Duration
	// unknownJobs are jobs that workers reported and that the caller has to look up.
	// absent has the jobs whose lookup showed that they are not in this shard, with the
	// time of the lookup.
	unknownJobs map[heatherhub.JobID]*unknownJob
	absent      map[heatherhub.JobID]time.Duration
	// movedAway has the record revisions at which jobs were found to belong to other
	// shards. Records with older revisions may still arrive and are ignored.
	movedAway map[heatherhub.JobID]moveRecord
	// movedWaiting has the jobs that waited when they were moved to other shards, in the
	// order of the moves.
	movedWaiting []movedJob
	// inheritUntil is the time after which no previous owner acts. It may have started any
	// job accepted before then.
	inheritUntil time.Duration
	// watchReplies counts the replies of the job watch since inheritUntil.
	watchReplies int
	ready        []*stepRun
	scheduled    []*job
	changedJobs  []*job
	// guestStartChanges counts the changes to the open starts of guests, and takenGuestStarts is the number when they
	// were taken last. inheritedGuestStarts has those of a previous owner whose jobs were not added yet.
	guestStartChanges, takenGuestStarts uint64
	inheritedGuestStarts                map[heatherhub.JobID][]OpenStart
	// unsettled has the attempts whose start may still be carried out, and others that are over.
	unsettled []*attempt
	// announced has the starts that the store may list as announced, and announcedAcks the ends that wait until it no longer does.
	announced     map[announcedRun]struct{}
	announcedAcks []*pendingAck
	// inheritedAnnounced has the starts that a previous owner has announced, of jobs that were not added yet.
	inheritedAnnounced map[heatherhub.JobID][]OpenStart
	orders             []Order
	// reservations has the room that stopped runs leave to urgent tasks, preemptedAt is the time of
	// the last search for runs to stop.
	reservations []reservation
	preemptedAt  time.Duration
	// moved has the tasks that the next decision starts where room was reserved for them.
	moved   []move
	events  []EventRecord
	nextRun heatherhub.RunID
	// pendingStarts counts the attempts that are sent, and isHoldingStarts says that the last
	// decision held starts back because of them.
	pendingStarts   int
	isHoldingStarts bool
	// isShortOfRoom says that the last decision found no room for a task that reserves processors
	// for a while.
	isShortOfRoom bool
	// isRoomStale holds back all starts.
	isRoomStale bool
	// peak is the recent demand of batch tasks.
	peak batchPeak
	// evacuated has the failure domains whose workers get no starts.
	evacuated evacuation.Set
	model     *interference
	// runTimes has the learned run times by queue.
	runTimes map[heatherhub.QueueID]*runTimeRatio
	// room and lanes are the state of forecasts, forecast is the last one, made at forecastAt.
	room       roomForecast
	lanes      map[laneKey]*lane
	forecast   *Forecast
	forecastAt time.Duration
	finished   []*job
	// shares has the accounts by size of the queues, listedShares is reused by chooseAhead.
	shares       map[heatherhub.QueueID]*queueShares
	listedShares []*queueShares
	// candidateBuffer is reused by candidates.
	candidateBuffer []candidate
	// progressCheckedAt is the time of the last check for stalled runs.
	progressCheckedAt time.Duration
	// meanSpeed is the average speed over all workers.
	meanSpeed speed
	// locations has the decisions on tasks that prefer a rack while tasks are placed, and
	// locationStats what was measured of such tasks.
	locations *locationPlan
	// locationScratch is the plan that locations uses.
	locationScratch *locationPlan
	locationStats   map[heatherhub.QueueID]*locationStats
	// Stats counts events since the engine was created.
	Stats Stats
}

// Stats counts events of the engine. Its field names are logged.
type Stats struct {
	Starts, Refused, Done, Failed, Stopped, Expired, Lost, Crashed, Unanswered int
	// Ahead counts the jobs that went before others by their size.
	Ahead int
	// Preempted counts the runs that were stopped for urgent jobs, PreemptedWork is the work that
	// they repeat.
	Preempted     int
	PreemptedWork time.Duration
	// WaitsBegun, WaitsPaid and WaitsLost count the waits of steps for their rack.
	WaitsBegun, WaitsPaid, WaitsLost int
}

// New returns an engine without jobs and workers. Zero fields of Tuning are set to
// their defaults.
func New(cfg Config) *Engine {
	cfg.SetDefaults()
	heatherhub.SetDefault(&cfg.LateCallTime, DefaultLateCallTime)
	heatherhub.SetDefault(&cfg.LongestLease, DefaultLongestLease)
	return &Engine{
		cfg:             cfg,
		policies:        make(map[heatherhub.QueueID]Policy),
		jobs:            make(map[heatherhub.JobID]*job),
		nodes:           make(map[heatherhub.WorkerID]*node),
		unresolved:      make(map[heatherhub.WorkerID]unresolvedWorker),
		open:            make(map[heatherhub.WorkerName][]*openStart),
		unknownJobs:     make(map[heatherhub.JobID]*unknownJob),
		absent:          make(map[heatherhub.JobID]time.Duration),
		lapsed:          make(map[string]lapsedWorker),
		inheritedLapses: make(map[heatherhub.WorkerName][]heatherhub.WorkerID),
		locationStats:   make(map[heatherhub.QueueID]*locationStats),
		movedAway:       make(map[heatherhub.JobID]moveRecord),
		runTimes:        make(map[heatherhub.QueueID]*runTimeRatio),
		lanes:           make(map[laneKey]*lane),
		shares:          make(map[heatherhub.QueueID]*queueShares),
		model:           newInterference(), inheritUntil: cfg.InheritUntil,
		nextRun: heatherhub.RunID(cfg.Token) * runsPerToken,
	}
}

// job is a workflow and its state in this shard.
type job struct {
	workflow *heatherhub.Workflow
	policy   Policy
	// arrived is the steady time at which the job was accepted.
	arrived time.Duration
	// state is WorkflowQueued until a run of the job is known to have begun. An ordered
	// start may be refused or lost.
	state heatherhub.WorkflowState
	// size is the job's class in its queue, and shares the account of the queue. isAhead means that
	// it goes before others of its priority, isCounted that its outcome no longer counts for the
	// class.
	size               sizeClass
	shares             *queueShares
	isAhead, isCounted bool
	// isInherited means that a previous owner may have started tasks of the job.
	isInherited bool
	occurrences []*occurrence
	// mayHaveBegun means that a worker was lost while it had an unconfirmed start. If the
	// worker returns, it may report the end of that run.
	mayHaveBegun bool
	// mayBeReported means that a worker vanished with a confirmed run. If it returns, it may
	// report the end of that run.
	mayBeReported bool
	// openAttempts counts the attempts and open starts that are not known to be over.
	openAttempts int
	// openStarts counts the open starts among openAttempts.
	openStarts int
	// expectedStart is the steady time at which the forecast expected the first start, or zero
	// if it was not expected or has been seen.
	expectedStart time.Duration
	// undoneTasks counts the tasks that are not done.
	undoneTasks      int
	progress         Progress
	progressRevision ledger.Revision
	// recordRevision is the revision at which the job's own record was last read.
	recordRevision ledger.Revision
	// isMoving means that a move of the whole job is under way. Its progress is neither written
	// nor changed by reports until the outcome is known.
	isMoving bool
	// isOwnedElsewhere means that another shard owns the job and this one runs some of
	// its tasks.
	isOwnedElsewhere bool
	// changed counts the changes of progress; committed is the highest change that is
	// durable.
	changed   uint64
	committed uint64
	// certainOpen has the open starts that are in each progress which the store may have.
	certainOpen []OpenStart
	isDirty     bool
	endedAt     time.Duration
	// isolated counts the unproven isolated runs of the job, and isolationNode is the worker
	// that has them or is held for them.
	isolated      int
	isolationNode *node
	// isSuspect means that all starts of the job are isolated, crashChange is the change of its
	// progress that has the last crash.
	isSuspect   bool
	crashChange uint64
}

// isOver reports whether the job is in a final state, so that none of its tasks may
// start.
func (j *job) isOver() bool {
	return j.state.IsFinal()
}

// isWaiting reports whether the job adds to the length of its queue in this shard.
func (j *job) isWaiting() bool {
	return j.state == heatherhub.WorkflowQueued && j.workflow.Schedule == nil && !j.isOwnedElsewhere
}

// hasAttempt reports whether an attempt of the job is not known to be over, open starts aside.
func (j *job) hasAttempt() bool {
	return j.openAttempts > j.openStarts
}

// begin records that a run of the job is known to have begun.
func (j *job) begin() {
	if j.state == heatherhub.WorkflowQueued {
		j.state = heatherhub.WorkflowRunning
	}
}

// occurrence is one repetition of a job's steps.
type occurrence struct {
	job   *job
	index int
	steps []*stepRun
	// from is the steady time from which the objective counts.
	from time.Duration
	// objective is the steady time by which the occurrence should be complete.
	objective time.Duration
	// slack is the time that the occurrence could wait when it arrived and be complete in time.
	slack time.Duration
	// valueUntil is the steady time after which completing the occurrence has no value.
	valueUntil time.Duration
}

// stepRun is one step of an occurrence.
type stepRun struct {
	occ   *occurrence
	index int
	spec  *heatherhub.Step
	need  heatherhub.Resources
	tasks []*task
	// blockers counts the steps that this one depends on and that are not done.
	blockers int
	undone   int
	pending  []*task
	isQueued bool
	// readySince is the time at which the step was last added to the waiting steps.
	readySince time.Duration
	// criticalPath is the expected time from the start of this step to the end of the
	// longest chain of steps that depend on it.
	criticalPath time.Duration
	failedRuns   []heatherhub.RunID
	// gangSaved is the newest checkpoint of a gang; see task.saved.
	gangSaved savedWork
	// holds has the workers that are held for the suspects of a gang.
	holds gangHolds
	wait  stepWait
	// mayHaveWaited means that the step was due when this owner read its job, so that it may
	// have waited for its rack under an earlier one.
	mayHaveWaited bool
	tasksPerNode  map[*node]int
	// headrooms is the recent course of the headroom of a serving step, or nil.
	headrooms *headroomCourse
}

// task is one task of a step.
type task struct {
	step      *stepRun
	index     int
	isDone    bool
	isPending bool
	// isRemote means that another shard runs the task, isMoving that a move to another
	// shard is under way.
	isRemote bool
	isMoving bool
	// arrivedAt is the steady time at which the task came to this shard by a move, or zero.
	arrivedAt  time.Duration
	failedRuns []heatherhub.RunID
	// ownSaved is the newest checkpoint of a task that is not in a gang; see task.saved.
	ownSaved savedWork
	attempts []*attempt
	// open has the open starts. The task is pending meanwhile, or runs where these are refused.
	open []*openStart
	// crashes has the runs that were lost with crashed workers since a run was proven.
	crashes []heatherhub.CrashedRun
	// refusals counts the refusals of its starts in a row.
	refusals int
	// stalls counts the runs that were stopped since they made no progress.
	stalls int
	// preemptedAt is the time at which a run of the task was last stopped for others.
	preemptedAt time.Duration
	// notBefore is the earliest time of the next attempt after a failure.
	notBefore time.Duration
	// avoidWorker is the worker on which the last attempt failed or stalled. The task
	// starts elsewhere until avoidUntil, and after that also there.
	avoidWorker heatherhub.WorkerID
	avoidUntil  time.Duration
}

func (t *task) id() heatherhub.StepTask {
	return heatherhub.StepTask{Job: t.step.occ.job.workflow.ID, Occurrence: t.step.occ.index, Step: t.step.index, Index: t.index}
}

// avoidTime is how long a task stays away from a worker on which it failed or stalled. A
// task may not wait for three seconds while a worker has room for it.
const avoidTime = 2 * time.Second

// avoid keeps the task away from a worker for avoidTime.
func (t *task) avoid(id heatherhub.WorkerID, now time.Duration) {
	t.avoidWorker, t.avoidUntil = id, now+avoidTime
}

// flatIndex returns the index of the task among all tasks of its occurrence.
func (t *task) flatIndex() int {
	n := t.index
	for _, s := range t.step.occ.steps[:t.step.index] {
		n += len(s.tasks)
	}
	return n
}

// attemptState is the known state of an attempt.
type attemptState int

const (
	// sent: the start order has no reply yet.
	sent attemptState = iota
	// unconfirmed: the start order got no reply, so the task may or may not run.
	unconfirmed
	// running: the agent confirmed the start or reported the run.
	running
)

// attempt is one start of a task on one worker. It reserves resources there until it is
// known to be over.
type attempt struct {
	task  *task
	node  *node
	run   heatherhub.RunID
	state attemptState
	// isListed means that the worker has listed the run in a report.
	isListed bool
	// repeats counts the repetitions of a start without an answer, and lastUnanswered is the time by which
	// the last one of which the outcome is not known was sent; never if there is none.
	repeats        int
	lastUnanswered time.Duration
	// isAnswered means that the incarnation to which the start was sent has confirmed it.
	isAnswered bool
	// recordedBy is the change of its job's progress that has the start as sent last, or zero if the progress does not have it.
	recordedBy uint64
	// listedAt is the steady time of the last report that lists the run.
	listedAt time.Duration
	// isProven means that the run has shown that it does not crash its worker, isIsolated that
	// it is kept apart from others until then.
	isProven, isIsolated bool
	// stateSince is the time at which the state was reached.
	stateSince time.Duration
	// orderedAt is the time at which the start was ordered, startedAt that at which it was ordered or
	// repeated last.
	orderedAt, startedAt time.Duration
	stop                 stopState
	stopSince            time.Duration
	// moveTo is the worker that has room reserved for the task until this attempt is over.
	moveTo     *node
	checkpoint heatherhub.CheckpointRef
	// isMeasurable means that the whole run of the task is seen at full speed.
	isMeasurable bool
	// checkpointProgress is the progress at which the run reported checkpoint, isCheckpointSeen
	// that it reported it to this owner.
	checkpointProgress heatherhub.Percent
	isCheckpointSeen   bool
	progress           heatherhub.Percent
	progressAt         time.Duration
	measure            float64
	hasMeasure         bool
	speedLimit         heatherhub.Percent
	// isSpeedLimitUnknown means that the worker may not have applied speedLimit: the last
	// order was not confirmed, or a previous owner may have set another one.
	isSpeedLimitUnknown bool
	// speedSampleAt and speedSampleProgress are the time and progress at the last speed
	// sample.
	speedSampleAt       time.Duration
	speedSampleProgress heatherhub.Percent
}

// confirm records that the task of the attempt runs.
func (e *Engine) confirm(now Moment, a *attempt) {
	e.setState(now, a, running)
	a.task.step.occ.job.begin()
}

// setState changes the state of an attempt.
func (e *Engine) setState(now Moment, a *attempt, s attemptState) {
	if a.state == sent {
		e.pendingStarts--
	}
	a.state, a.stateSince = s, now.Steady
}

// stopState is the progress of stopping an attempt.
type stopState int

const (
	noStop stopState = iota
	stopPending
	stopSent
	// stopConfirmed: the agent confirmed the stop; the run is over or ends soon.
	stopConfirmed
)

type attemptKey struct {
	task heatherhub.StepTask
	run  heatherhub.RunID
}

// node is a worker and its attempts.
type node struct {
	worker agent.Worker
	used   heatherhub.Resources
	// reportSentAt is the steady time at which the poll was sent whose answer is the last report, or zero.
	reportSentAt time.Duration
	// promised is reserved for tasks that are moved here; see attempt.moveTo.
	promised heatherhub.Resources
	// reserved is kept for tasks for which others are stopped here; see Engine.reservations.
	reserved heatherhub.Resources
	attempts map[attemptKey]*attempt
	// unaccounted has the runs of the last report whose jobs are unknown or absent. Their
	// need is not in used.
	unaccounted map[attemptKey]struct{}
	// cachedByRun is the result of attemptsByRun, or nil after a change.
	cachedByRun []*attempt
	// fillerCPU is the processor demand of filler tasks, servingTasks the number of
	// serving tasks and servingCPU the processors that they reserve.
	fillerCPU     heatherhub.MilliCPU
	servingTasks  int
	servingCPU    heatherhub.MilliCPU
	servingImages []servingImage
	// longRunningCPU is what long-running tasks reserve.
	longRunningCPU heatherhub.MilliCPU
	// servingSteps has the steps of the serving tasks.
	servingSteps []servingStep
	// hasListedAll means that the last report was complete.
	hasListedAll bool
	// isUnresponsive means that the last call to the worker got no reply.
	isUnresponsive bool
	// silentSince is the steady time of the first call without a reply since the last report.
	silentSince time.Duration
	// unproven counts the runs that are not proven, isolated those of them that are isolated.
	// isolatedFor is the job of these, or the one for which the worker is held until heldUntil.
	unproven, isolated int
	isolatedFor        *job
	heldUntil          time.Duration
	// isLeaving means that the worker has announced that it leaves, which it does at
	// leavesAt at the earliest.
	isLeaving bool
	leavesAt  time.Duration
	// isEvacuated means that the worker's failure domain is evacuated.
	isEvacuated bool
	// coldUntil is the time until which the worker is slow; see coldPenalty.
	coldUntil time.Duration
	// backoffUntil is the time until which the worker gets no new tasks after a refusal
	// or stall.
	backoffUntil time.Duration
	// lastEnd is the highest sequence number of an ended run that was processed, and
	// acknowledged the highest that the worker may forget. pendingAcks are the ended
	// runs in between, in order.
	lastEnd      uint64
	acknowledged uint64
	pendingAcks  []*pendingAck
	health       health
	speed        speed
	throttle     fillerThrottle
}

// pendingAck is an ended run that the worker may forget once its job's progress is durable
// up to the change numbered change.
type pendingAck struct {
	sequence uint64
	task     heatherhub.StepTask
	job      *job
	change   uint64
	// isJobUnknown means that the job of the run has to be looked up first.
	isJobUnknown bool
	// start is the one of the run, and isAnnounced means that a next owner would take it for open without the end.
	start       announcedRun
	isAnnounced bool
}

// acceptsTasks reports whether the worker may get new tasks at now. It may not while it
// has unaccounted runs, as its free resources are not known then.
func (n *node) acceptsTasks(now time.Duration) bool {
	return n.isAvailable(now) && n.isolatedJob(now) == nil
}

// isAvailable is acceptsTasks without regard to runs that are kept apart.
func (n *node) isAvailable(now time.Duration) bool {
	return n.isInService() && n.backoffUntil <= now && !n.health.isQuarantined(now) && len(n.unaccounted) == 0
}

func (n *node) free() heatherhub.Resources {
	return n.worker.Capacity.Sub(n.used).Sub(n.promised).Sub(n.reserved)
}

// servingUtilisation is the fraction of their reserved processors that serving tasks
// are assumed to use. Filler tasks may use the rest.
const servingUtilisation = 0.55

// spareCPU returns the processors that further filler tasks may use.
func (n *node) spareCPU() heatherhub.MilliCPU {
	unused := heatherhub.MilliCPU((1 - servingUtilisation) * float64(n.servingCPU))
	return n.worker.Capacity.CPU - n.used.CPU + unused - n.fillerCPU
}

// servingImage counts the serving tasks on a worker with one image and latency target.
type servingImage struct {
	image  string
	target time.Duration
	count  int
}

func (n *node) addAttempt(a *attempt) {
	s := a.task.step
	n.attempts[attemptKey{a.task.id(), a.run}] = a
	n.cachedByRun = nil
	n.used = n.used.Add(s.need)
	n.adjustCounts(s, 1)
	n.countUnproven(a, 1)
}

func (n *node) removeAttempt(a *attempt) {
	s := a.task.step
	delete(n.attempts, attemptKey{a.task.id(), a.run})
	n.cachedByRun = nil
	n.used = n.used.Sub(s.need)
	n.adjustCounts(s, -1)
	n.countUnproven(a, -1)
}

func (n *node) adjustCounts(s *stepRun, sign int) {
	if s.spec.Filler {
		n.fillerCPU += heatherhub.MilliCPU(sign) * s.spec.Need.CPU
	}
	if s.spec.LongRunning {
		n.longRunningCPU += heatherhub.MilliCPU(sign) * s.need.CPU
	}
	if s.spec.LatencyTarget > 0 {
		n.servingTasks += sign
		n.servingCPU += heatherhub.MilliCPU(sign) * s.need.CPU
		n.adjustImageCount(s.spec, sign)
		n.adjustStepCount(s, sign)
	}
	if s.tasksPerNode != nil {
		s.tasksPerNode[n] += sign
	}
}

func (n *node) adjustImageCount(s *heatherhub.Step, sign int) {
	at := slices.IndexFunc(n.servingImages, func(v servingImage) bool { return v.image == s.Image && v.target == s.LatencyTarget })
	if at < 0 {
		n.servingImages = append(n.servingImages, servingImage{image: s.Image, target: s.LatencyTarget, count: sign})
		return
	}
	n.servingImages[at].count += sign
	if n.servingImages[at].count == 0 {
		n.servingImages = slices.Delete(n.servingImages, at, at+1)
	}
}

// servingStep counts the tasks of a serving step on a worker.
type servingStep struct {
	step  *stepRun
	count int
}

func (n *node) adjustStepCount(s *stepRun, sign int) {
	at := slices.IndexFunc(n.servingSteps, func(v servingStep) bool { return v.step == s })
	if at < 0 {
		n.servingSteps = append(n.servingSteps, servingStep{step: s, count: sign})
		return
	}
	n.servingSteps[at].count += sign
	if n.servingSteps[at].count == 0 {
		n.servingSteps = slices.Delete(n.servingSteps, at, at+1)
	}
}

func (e *Engine) addNode(n *node) {
	n.isEvacuated = e.evacuated.Has(n.worker.Domain)
	e.room.isStale = true
	e.nodes[n.worker.ID] = n
	e.largestCPU = max(e.largestCPU, n.worker.Capacity.CPU)
	at, _ := slices.BinarySearchFunc(e.sortedNodes, n, compareNodes)
	e.sortedNodes = slices.Insert(e.sortedNodes, at, n)
}

func (e *Engine) dropNode(n *node) {
	n.heldUntil = 0
	e.room.isStale = true
	delete(e.nodes, n.worker.ID)
	if at, ok := slices.BinarySearchFunc(e.sortedNodes, n, compareNodes); ok {
		e.sortedNodes = slices.Delete(e.sortedNodes, at, at+1)
	}
}

func compareNodes(a, b *node) int {
	return cmp.Compare(a.worker.ID, b.worker.ID)
}
