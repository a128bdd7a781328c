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
	// order has the nodes by id, so that decisions are deterministic.
	order []*node
	// unresolved are workers on which runs of an earlier owner may go on.
	unresolved map[heatherhub.WorkerID]struct{}
	// unread are jobs that workers list and this owner has to look up; absent are
	// those that were looked up and are not of this shard, with the time of that.
	unread map[heatherhub.JobID]*unreadJob
	absent map[heatherhub.JobID]time.Duration
	// left has the revisions at which records of jobs were found to be those of
	// other shards. Older ones may still be on their way.
	left map[heatherhub.JobID]departed
	// inheritUntil is when the earlier owner is certain to have noticed that it
	// was replaced. Jobs that were accepted until then may have been started by it.
	inheritUntil time.Duration
	hasFenced    bool
	// answersSince counts the answers of the jobs' watch since inheritUntil.
	answersSince int
	ready        []*stepRun
	scheduled    []*job
	dirty        []*job
	orders       []Order
	notes        []Note
	nextRun      heatherhub.RunID
	model        *interference
	finished     []*job
	// watchedAt is when the progress of all runs was last looked at.
	watchedAt time.Duration
	// usual is the speed over all workers.
	usual speed
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
		cfg:        cfg,
		policies:   make(map[heatherhub.QueueID]Policy),
		jobs:       make(map[heatherhub.JobID]*job),
		nodes:      make(map[heatherhub.WorkerID]*node),
		unresolved: make(map[heatherhub.WorkerID]struct{}),
		unread:     make(map[heatherhub.JobID]*unreadJob),
		absent:     make(map[heatherhub.JobID]time.Duration),
		left:       make(map[heatherhub.JobID]departed),
		model:      newInterference(),
		nextRun:    heatherhub.RunID(cfg.Token) * runsPerToken,
	}
}

// job is a workflow with its state.
type job struct {
	flow   *heatherhub.Workflow
	policy Policy
	// arrived is the steady time of acceptance.
	arrived time.Duration
	state   heatherhub.WorkflowState
	// isInherited says that an earlier owner may have started tasks of it.
	isInherited bool
	occurrences []*occurrence
	// open counts the attempts that are not proven over.
	open int
	// left counts the tasks that are not done.
	left     int
	progress Progress
	revision ledger.Revision
	// recorded is the revision of the job's own record as it was read last.
	recorded ledger.Revision
	// isGuest says that another shard owns the job and this one runs tasks of it.
	isGuest bool
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
	// limit is the steady time after which completing it is worth nothing.
	limit time.Duration
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
	// tail is the expected time from the start of this step to the end of the
	// longest chain behind it.
	tail       time.Duration
	failedRuns []heatherhub.RunID
	perNode    map[*node]int
}

// task is one task of a step.
type task struct {
	step      *stepRun
	index     int
	isDone    bool
	isPending bool
	// isForeign says that another shard runs the task, isLeaving that another one
	// may do so soon.
	isForeign  bool
	isLeaving  bool
	checkpoint heatherhub.CheckpointRef
	failedRuns []heatherhub.RunID
	attempts   []*attempt
	// notBefore delays the next attempt after a failure.
	notBefore time.Duration
	avoid     heatherhub.WorkerID
}

func (t *task) id() heatherhub.StepTask {
	return heatherhub.StepTask{Job: t.step.occ.job.flow.ID, Occurrence: t.step.occ.index, Step: t.step.index, Index: t.index}
}

// flat returns the index of the task among all tasks of the occurrence.
func (t *task) flat() int {
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
	// doubtful: ordered, and the answer is missing.
	doubtful
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
	// since is when the state was reached.
	since time.Duration
	// startedAt is when the start was ordered.
	startedAt  time.Duration
	stop       stopState
	stopSince  time.Duration
	checkpoint heatherhub.CheckpointRef
	progress   heatherhub.Percent
	progressAt time.Duration
	measure    float64
	hasMeasure bool
	pace       heatherhub.Percent
	paceSent   bool
	// speedAt and speedFrom are the last figure of the run's speed.
	speedAt   time.Duration
	speedFrom heatherhub.Percent
}

// stopState says how far the stop of an attempt is.
type stopState int

const (
	noStop stopState = iota
	stopWanted
	stopSent
	// stopObeyed: the agent has answered; the run is over or ends soon.
	stopObeyed
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
	// byRun has the attempts in order, or nil after a change.
	byRun []*attempt
	// fillCPU is the demand of filler tasks, serving the number of serving tasks
	// and servingCPU their reservation.
	fillCPU       heatherhub.MilliCPU
	serving       int
	servingCPU    heatherhub.MilliCPU
	servingImages []servingImage
	// isSilent says that the last call had no answer.
	isSilent bool
	// restUntil keeps new tasks away for a while.
	restUntil time.Duration
	// seen is the highest end that was taken in; acks are those whose records
	// are not yet durable.
	seen   uint64
	acked  uint64
	acks   []*pendingAck
	health health
	speed  speed
	pacer  pacer
}

// pendingAck is an end that the worker may forget once a change of its job is
// durable.
type pendingAck struct {
	number uint64
	job    *job
	change uint64
	// isUnread says that nothing is known of the job yet.
	isUnread bool
}

func (n *node) free() heatherhub.Resources {
	return n.worker.Capacity.Sub(n.used)
}

// servingUse is the share of their reservation that serving tasks are taken to
// use; filler tasks get the rest.
const servingUse = 0.55

// spareCPU is what filler tasks may still take.
func (n *node) spareCPU() heatherhub.MilliCPU {
	unused := heatherhub.MilliCPU((1 - servingUse) * float64(n.servingCPU))
	return n.worker.Capacity.CPU - n.used.CPU + unused - n.fillCPU
}

// servingImage is an image that serves on a worker.
type servingImage struct {
	image  string
	target time.Duration
	count  int
}

func (n *node) add(a *attempt) {
	s := a.task.step
	n.attempts[attemptKey{a.task.id(), a.run}] = a
	n.byRun = nil
	n.used = n.used.Add(s.need)
	n.count(s, 1)
}

func (n *node) remove(a *attempt) {
	s := a.task.step
	delete(n.attempts, attemptKey{a.task.id(), a.run})
	n.byRun = nil
	n.used = n.used.Sub(s.need)
	n.count(s, -1)
}

func (n *node) count(s *stepRun, sign int) {
	if s.spec.Filler {
		n.fillCPU += heatherhub.MilliCPU(sign) * s.spec.Need.CPU
	}
	if s.spec.LatencyTarget > 0 {
		n.serving += sign
		n.servingCPU += heatherhub.MilliCPU(sign) * s.need.CPU
		n.countImage(s.spec, sign)
	}
	if s.perNode != nil {
		s.perNode[n] += sign
	}
}

func (n *node) countImage(s *heatherhub.Step, sign int) {
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
	at, _ := slices.BinarySearchFunc(e.order, n, compareNodes)
	e.order = slices.Insert(e.order, at, n)
}

func (e *Engine) dropNode(n *node) {
	delete(e.nodes, n.worker.ID)
	if at, ok := slices.BinarySearchFunc(e.order, n, compareNodes); ok {
		e.order = slices.Delete(e.order, at, at+1)
	}
}

func compareNodes(a, b *node) int {
	return cmp.Compare(a.worker.ID, b.worker.ID)
}
