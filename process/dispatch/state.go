package dispatch

import (
	"cmp"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
)

// Moment is a point in time on both clocks of the host.
type Moment struct {
	// Steady never jumps; it counts from the start of the process.
	Steady time.Duration
	// Wall may jump. Only the times of scheduled occurrences are compared with it.
	Wall time.Time
}

// Policy is what the configuration says of a queue.
type Policy = heatherhub.QueuePolicy

// Config is the configuration of an engine.
type Config struct {
	// Token is the owner's fencing token; runs are numbered above those of all
	// lower tokens.
	Token agent.Token
	// Shard is the shard whose tasks the engine runs.
	Shard heatherhub.ShardID
	Tuning
}

// runsPerToken is the room for run numbers of one owner. Numbers stay below 2^53
// so that JSON numbers hold them.
const runsPerToken = 1 << 22

// Engine holds the state of one shard. It is not safe for concurrent use.
type Engine struct {
	cfg      Config
	policies map[heatherhub.QueueID]Policy
	jobs     map[heatherhub.JobID]*job
	nodes    map[heatherhub.WorkerID]*node
	// sortedNodes has the nodes by id, so that decisions are deterministic.
	sortedNodes []*node
	// unresolved are workers on which runs of an earlier owner may go on.
	unresolved map[heatherhub.WorkerID]struct{}
	// unknownJobs are jobs that workers list and this owner has to look up; absent are
	// those that were looked up and are not of this shard, with the time of that.
	unknownJobs map[heatherhub.JobID]*unknownJob
	absent      map[heatherhub.JobID]time.Duration
	// movedAway has the revisions at which records of jobs were found to be those of
	// other shards. Older ones may still be on their way.
	movedAway map[heatherhub.JobID]moveRecord
	// inheritUntil is when the earlier owner is certain to have noticed that it
	// was replaced. Jobs that were accepted until then may have been started by it.
	inheritUntil time.Duration
	hasFenced    bool
	// watchReplies counts the answers of the jobs' watch since inheritUntil.
	watchReplies int
	ready        []*stepRun
	scheduled    []*job
	changedJobs  []*job
	orders       []Order
	events       []EventRecord
	nextRun      heatherhub.RunID
	model        *interference
	finished     []*job
	// progressCheckedAt is when the progress of all runs was last looked at.
	progressCheckedAt time.Duration
	// meanSpeed is the speed over all workers.
	meanSpeed speed
	// Stats counts what happened.
	Stats Stats
}

// Stats counts the engine's events.
type Stats struct {
	Starts, Refused, Done, Failed, Stopped, Expired, Lost, Unanswered int
}

// New returns an engine without jobs and workers.
func New(cfg Config) *Engine {
	cfg.setDefaults()
	return &Engine{
		cfg:         cfg,
		policies:    make(map[heatherhub.QueueID]Policy),
		jobs:        make(map[heatherhub.JobID]*job),
		nodes:       make(map[heatherhub.WorkerID]*node),
		unresolved:  make(map[heatherhub.WorkerID]struct{}),
		unknownJobs: make(map[heatherhub.JobID]*unknownJob),
		absent:      make(map[heatherhub.JobID]time.Duration),
		movedAway:   make(map[heatherhub.JobID]moveRecord),
		model:       newInterference(),
		nextRun:     heatherhub.RunID(cfg.Token) * runsPerToken,
	}
}

// job is a workflow with its state.
type job struct {
	workflow *heatherhub.Workflow
	policy   Policy
	// arrived is the steady time of acceptance.
	arrived time.Duration
	state   heatherhub.WorkflowState
	// isInherited says that an earlier owner may have started tasks of it.
	isInherited bool
	occurrences []*occurrence
	// openAttempts counts the attempts that are not proven over.
	openAttempts int
	// undoneTasks counts the tasks that are not done.
	undoneTasks      int
	progress         Progress
	progressRevision ledger.Revision
	// recordRevision is the revision of the job's own record as it was read last.
	recordRevision ledger.Revision
	// isOwnedElsewhere says that another shard owns the job and this one runs tasks of it.
	isOwnedElsewhere bool
	// changed counts the changes of progress, committed those that are durable.
	changed   uint64
	committed uint64
	isDirty   bool
	endedAt   time.Duration
}

// isOver reports whether no task of the job may start any more.
func (j *job) isOver() bool {
	return j.state.IsFinal()
}

// occurrence is one repetition of a job's steps.
type occurrence struct {
	job   *job
	index int
	steps []*stepRun
	// objective is the steady time by which it should be complete.
	objective time.Duration
	// valueUntil is the steady time after which completing it is worth nothing.
	valueUntil time.Duration
}

// stepRun is one step of an occurrence.
type stepRun struct {
	occ   *occurrence
	index int
	spec  *heatherhub.Step
	need  heatherhub.Resources
	tasks []*task
	// blockers counts earlier steps that are not done.
	blockers int
	undone   int
	pending  []*task
	isQueued bool
	// readySince is when the step was last put in the waiting list.
	readySince time.Duration
	// criticalPath is the expected time from the start of this step to the end of the
	// longest chain behind it.
	criticalPath time.Duration
	failedRuns   []heatherhub.RunID
	tasksPerNode map[*node]int
}

// task is one task of a step.
type task struct {
	step      *stepRun
	index     int
	isDone    bool
	isPending bool
	// isRemote says that another shard runs the task, isMoving that another one
	// may do so soon.
	isRemote   bool
	isMoving   bool
	checkpoint heatherhub.CheckpointRef
	failedRuns []heatherhub.RunID
	attempts   []*attempt
	// notBefore delays the next attempt after a failure.
	notBefore   time.Duration
	avoidWorker heatherhub.WorkerID
}

func (t *task) id() heatherhub.StepTask {
	return heatherhub.StepTask{Job: t.step.occ.job.workflow.ID, Occurrence: t.step.occ.index, Step: t.step.index, Index: t.index}
}

// flatIndex returns the index of the task among all tasks of the occurrence.
func (t *task) flatIndex() int {
	n := t.index
	for _, s := range t.step.occ.steps[:t.step.index] {
		n += len(s.tasks)
	}
	return n
}

// attemptState is what is known of an attempt.
type attemptState int

const (
	// sent: ordered, not answered.
	sent attemptState = iota
	// unconfirmed: ordered, and the answer is missing.
	unconfirmed
	// running: the agent said so.
	running
)

// attempt is one start of a task on one worker. It holds room there until it is
// proven over.
type attempt struct {
	task  *task
	node  *node
	run   heatherhub.RunID
	state attemptState
	// stateSince is when the state was reached.
	stateSince time.Duration
	// startedAt is when the start was ordered.
	startedAt        time.Duration
	stop             stopState
	stopSince        time.Duration
	checkpoint       heatherhub.CheckpointRef
	progress         heatherhub.Percent
	progressAt       time.Duration
	measure          float64
	hasMeasure       bool
	speedLimit       heatherhub.Percent
	isSpeedLimitSent bool
	// speedSampleAt and speedSampleProgress are the last figure of the run's speed.
	speedSampleAt       time.Duration
	speedSampleProgress heatherhub.Percent
}

// stopState says how far the stop of an attempt is.
type stopState int

const (
	noStop stopState = iota
	stopPending
	stopSent
	// stopConfirmed: the agent has answered; the run is over or ends soon.
	stopConfirmed
)

type attemptKey struct {
	task heatherhub.StepTask
	run  heatherhub.RunID
}

// node is a worker with what runs there.
type node struct {
	worker   agent.Worker
	used     heatherhub.Resources
	attempts map[attemptKey]*attempt
	// cachedByRun has the attempts in order, or nil after a change.
	cachedByRun []*attempt
	// fillerCPU is the demand of filler tasks, serving the number of serving tasks
	// and servingCPU their reservation.
	fillerCPU     heatherhub.MilliCPU
	servingTasks  int
	servingCPU    heatherhub.MilliCPU
	servingImages []servingImage
	// isUnresponsive says that the last call had no answer.
	isUnresponsive bool
	// backoffUntil keeps new tasks away for a while.
	backoffUntil time.Duration
	// lastEnd is the highest end that was taken in; acks are those whose records
	// are not yet durable.
	lastEnd      uint64
	acknowledged uint64
	pendingAcks  []*pendingAck
	health       health
	speed        speed
	throttle     fillerThrottle
}

// pendingAck is an end that the worker may forget once a change of its job is
// durable.
type pendingAck struct {
	number uint64
	job    *job
	change uint64
	// isJobUnknown says that nothing is known of the job yet.
	isJobUnknown bool
}

func (n *node) free() heatherhub.Resources {
	return n.worker.Capacity.Sub(n.used)
}

// servingUtilisation is the share of their reservation that serving tasks are taken to
// use; filler tasks get the rest.
const servingUtilisation = 0.55

// spareCPU is what filler tasks may still take.
func (n *node) spareCPU() heatherhub.MilliCPU {
	unused := heatherhub.MilliCPU((1 - servingUtilisation) * float64(n.servingCPU))
	return n.worker.Capacity.CPU - n.used.CPU + unused - n.fillerCPU
}

// servingImage is an image that serves on a worker.
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
}

func (n *node) removeAttempt(a *attempt) {
	s := a.task.step
	delete(n.attempts, attemptKey{a.task.id(), a.run})
	n.cachedByRun = nil
	n.used = n.used.Sub(s.need)
	n.adjustCounts(s, -1)
}

func (n *node) adjustCounts(s *stepRun, sign int) {
	if s.spec.Filler {
		n.fillerCPU += heatherhub.MilliCPU(sign) * s.spec.Need.CPU
	}
	if s.spec.LatencyTarget > 0 {
		n.servingTasks += sign
		n.servingCPU += heatherhub.MilliCPU(sign) * s.need.CPU
		n.adjustImageCount(s.spec, sign)
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

func (e *Engine) addNode(n *node) {
	e.nodes[n.worker.ID] = n
	at, _ := slices.BinarySearchFunc(e.sortedNodes, n, compareNodes)
	e.sortedNodes = slices.Insert(e.sortedNodes, at, n)
}

func (e *Engine) dropNode(n *node) {
	delete(e.nodes, n.worker.ID)
	if at, ok := slices.BinarySearchFunc(e.sortedNodes, n, compareNodes); ok {
		e.sortedNodes = slices.Delete(e.sortedNodes, at, at+1)
	}
}

func compareNodes(a, b *node) int {
	return cmp.Compare(a.worker.ID, b.worker.ID)
}
