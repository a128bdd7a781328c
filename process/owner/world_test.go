package owner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/owner"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/version/queues"
)

const (
	storeName    = "store"
	workerPrefix = "workers/"
	testQueue    = heatherhub.QueueID("q")
	testPool     = heatherhub.PoolID("pool")
)

// world is a site in memory, on the virtual time of a synctest bubble: the store,
// workers and hosts that run the real owner code. It audits every start.
type world struct {
	t     *testing.T
	store *memoryStore
	// lateRNG decides which orders are late; the lock guards it.
	lateRNG *rand.Rand
	group   conc.WaitGroup

	mu       sync.Mutex
	workers  map[heatherhub.WorkerID]*memoryWorker
	cuts     map[[2]string]bool
	dead     map[heatherhub.HostID]bool
	thawed   map[heatherhub.HostID]chan struct{}
	stops    map[heatherhub.HostID]context.CancelFunc
	flows    map[heatherhub.JobID]*heatherhub.Workflow
	done     map[heatherhub.StepTask]bool
	acked    map[heatherhub.StepTask]bool
	isOver   bool
	starts   map[heatherhub.StepTask]int
	lastTask heatherhub.StepTask
	broken   []string
	// home is the shard of new jobs.
	home heatherhub.ShardID
	// perShard is the size of a shard; zero is one shard for all workers.
	perShard int
	// lateShare is the share of orders that are carried out late.
	lateShare float64
	// ackEverything plants a fault: ends are acknowledged before they are durable.
	ackEverything atomic.Bool
	// forgetToken plants a fault: workers obey every token.
	forgetToken atomic.Bool
	// unansweredIsUnsent plants a fault: a start without an answer counts as not
	// sent.
	unansweredIsUnsent atomic.Bool
}

func newWorld(t *testing.T, seed uint64) *world {
	return &world{
		t: t, store: newMemoryStore(rand.New(rand.NewPCG(seed, 2))), lateRNG: rand.New(rand.NewPCG(seed, 1)),
		workers: make(map[heatherhub.WorkerID]*memoryWorker), cuts: make(map[[2]string]bool),
		dead: make(map[heatherhub.HostID]bool), thawed: make(map[heatherhub.HostID]chan struct{}),
		stops: make(map[heatherhub.HostID]context.CancelFunc), flows: make(map[heatherhub.JobID]*heatherhub.Workflow),
		done: make(map[heatherhub.StepTask]bool), acked: make(map[heatherhub.StepTask]bool),
		starts: make(map[heatherhub.StepTask]int), home: heatherhub.ShardID{Domain: record.SiteDomain},
	}
}

// testClock reads the virtual time.
type testClock struct{ start time.Time }

func (c testClock) Now() dispatch.Moment {
	return dispatch.Moment{Steady: time.Since(c.start), Wall: time.Now()}
}

func decodeEntry(it ledger.Item) (agent.Worker, error) {
	var w agent.Worker
	err := json.Unmarshal(it.Value, &w)
	return w, err
}

// addWorker registers a worker with ten processors.
func (w *world) addWorker(id heatherhub.WorkerID, domain heatherhub.FailureDomain) *memoryWorker {
	entry := agent.Worker{
		ID: id, Pool: testPool, Address: "127.0.0.1:1", Domain: domain, Rack: heatherhub.Rack(domain),
		Capacity: heatherhub.Resources{CPU: 10_000, Memory: 10_000},
	}
	m := newMemoryWorker(w, entry, 0.98)
	w.mu.Lock()
	w.workers[id] = m
	w.mu.Unlock()
	w.register(m)
	return m
}

func (w *world) register(m *memoryWorker) {
	value, err := json.Marshal(m.entry)
	if err != nil {
		w.t.Error(err)
	}
	w.store.set(workerPrefix+string(m.entry.ID), value)
}

// startHost runs a host until the test or kill ends it.
func (w *world) startHost(id heatherhub.HostID, domain heatherhub.FailureDomain) *owner.Host {
	var tables queues.Current
	tables.Offer(&queues.Table{Version: 1, Queues: []queues.Queue{{ID: testQueue, QueuePolicy: heatherhub.QueuePolicy{Pool: testPool, MaxAttempts: 3, Stretch: 2}}}})
	h := owner.New(owner.Config{
		Self: id, Domain: domain, Address: string(id), Store: &storeOf{memoryStore: w.store, w: w, host: id},
		Dial: func(worker heatherhub.WorkerID, _ string) agent.Agent {
			return &agentOf{w: w, host: id, worker: worker}
		},
		WorkerPrefix: workerPrefix, DecodeWorker: decodeEntry, Tables: &tables,
		Clock: testClock{start: time.Now()}, Log: zap.NewNop(), Limits: owner.Limits{WorkersPerShard: w.perShard},
	})
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	if w.isOver {
		cancel()
	}
	w.dead[id] = false
	w.stops[id] = cancel
	w.mu.Unlock()
	w.group.Go(func() { h.Run(ctx) })
	return h
}

// kill ends a host without a word to anybody.
func (w *world) kill(id heatherhub.HostID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead[id] = true
	w.stops[id]()
}

// shutdown ends all hosts and waits for them.
func (w *world) shutdown() {
	w.mu.Lock()
	w.isOver = true
	for _, stop := range w.stops {
		stop()
	}
	w.mu.Unlock()
	w.group.Wait()
}

func (w *world) isDead(id heatherhub.HostID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead[id]
}

func (w *world) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{a, b}]
}

func (w *world) cut(a, b string, isCut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{a, b}] = isCut
}

// freeze holds all calls of a host back for a while.
func (w *world) freeze(id heatherhub.HostID, d time.Duration) {
	thawed := make(chan struct{})
	w.mu.Lock()
	w.thawed[id] = thawed
	w.mu.Unlock()
	w.later(d, func() { close(thawed) })
}

func (w *world) awaitThaw(id heatherhub.HostID) {
	w.mu.Lock()
	thawed := w.thawed[id]
	w.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

func (w *world) later(d time.Duration, do func()) {
	w.group.Go(func() {
		time.Sleep(d)
		do()
	})
}

func (w *world) lateOrder() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lateRNG.Float64() >= w.lateShare {
		return 0, false
	}
	return time.Duration(300+w.lateRNG.IntN(8000)) * time.Millisecond, true
}

func (w *world) worker(id heatherhub.WorkerID) *memoryWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[id]
}

// alterPoll plants the fault of ends that are acknowledged too early.
func (w *world) alterPoll(id heatherhub.WorkerID, p agent.Poll) agent.Poll {
	if w.ackEverything.Load() {
		m := w.worker(id)
		m.mu.Lock()
		p.Acknowledged = m.number
		m.mu.Unlock()
	}
	return p
}

// submit makes a job of one step durable, as any host does.
func (w *world) submit(id heatherhub.JobID, steps ...heatherhub.Step) {
	flow := &heatherhub.Workflow{
		ID: id, Queue: testQueue, Steps: steps, Accepted: time.Now(),
		Shard: w.home,
	}
	value, err := record.Encode(flow)
	if err != nil {
		w.t.Error(err)
	}
	w.mu.Lock()
	w.flows[id] = flow
	w.mu.Unlock()
	w.store.set(record.JobKey(id), value)
}

// step returns n tasks of two processors that run for d.
func step(n int, d time.Duration, after ...int) heatherhub.Step {
	return heatherhub.Step{Tasks: n, Need: heatherhub.Resources{CPU: 2000, Memory: 100}, Estimate: d, After: after}
}

// lastingTime is how long tasks that last would run. They report that they work as soon
// as they run.
const lastingTime = time.Hour

func (w *world) durationOf(t heatherhub.StepTask) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.flows[t.Job].Steps[t.Step]
	if s.LongRunning {
		return lastingTime
	}
	return s.Estimate
}

func (w *world) fail(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%s: ", time.Now().Format("05.000"))+fmt.Sprintf(format, args...))
}

// auditStart checks the promises at the moment of a start.
func (w *world) auditStart(m *memoryWorker, s agent.Start) {
	m.mu.Lock()
	m.advance()
	isRefused := (s.Token < m.token && !w.forgetToken.Load()) || s.Until <= m.clock() || s.Run <= m.burned[s.Task] || m.running[s.Task] != nil || m.isGone
	var used heatherhub.Resources
	w.mu.Lock()
	for t := range m.running {
		used = used.Add(w.flows[t.Job].Steps[t.Step].Need)
	}
	flow := w.flows[s.Task.Job]
	w.mu.Unlock()
	m.mu.Unlock()
	if isRefused {
		return
	}
	var others []heatherhub.WorkerID
	w.mu.Lock()
	workers := make([]*memoryWorker, 0, len(w.workers))
	for _, o := range w.workers {
		workers = append(workers, o)
	}
	w.mu.Unlock()
	for _, o := range workers {
		if o != m && o.runs(s.Task) {
			others = append(others, o.entry.ID)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	st := flow.Steps[s.Task.Step]
	if len(others) > 0 && !st.Speculative {
		w.fail("task %v starts on %s and runs on %v", s.Task, m.entry.ID, others)
	}
	if w.acked[s.Task] {
		w.fail("task %v starts again after its end was acknowledged", s.Task)
	}
	if !used.Add(st.Need).Fits(m.entry.Capacity) {
		w.fail("worker %s is given %v beside %v", m.entry.ID, st.Need, used)
	}
	for _, a := range st.After {
		for i := range flow.Steps[a].Tasks {
			if !w.done[heatherhub.StepTask{Job: s.Task.Job, Step: a, Index: i}] {
				w.fail("task %v starts before task %d of step %d is done", s.Task, i, a)
			}
		}
	}
}

func (w *world) noteStarted(_ *memoryWorker, t heatherhub.StepTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[t]++
	w.lastTask = t
}

// startCount returns how many starts the workers have obeyed.
func (w *world) startCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, k := range w.starts {
		n += k
	}
	return n
}

// startsOf returns how often a task was started.
func (w *world) startsOf(t heatherhub.StepTask) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[t]
}

// lastStarted returns the job of the last start.
func (w *world) lastStarted() heatherhub.JobID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastTask.Job
}

func (w *world) noteDone(t heatherhub.StepTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[t] = true
}

// auditAcknowledged checks the promises at the moment at which a worker forgets that
// a task is done. An end before which the lease of the worker was over does not
// count: its owner had to take the task as not run, and starts it again.
func (w *world) auditAcknowledged(e memoryEnd) {
	if e.hasLapsed {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acked[e.Task] = true
	isSpeculative := w.flows[e.Task.Job].Steps[e.Task.Step].Speculative
	if n := w.starts[e.Task] - e.starts; n > 0 && !isSpeculative {
		w.fail("task %v was started %d times between its end and the acknowledgement", e.Task, n)
	}
}

// owner returns the host that owns the shard of new jobs, or "".
func (w *world) owner() heatherhub.HostID {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.expire()
	var o record.Owner
	it := w.store.items[record.OwnerKey(w.home)]
	if it.Revision == 0 {
		return ""
	}
	if err := heatherhub.Unmarshal(it.Value, &o); err != nil {
		w.t.Error(err)
	}
	return o.Host
}

// stateOf returns the durable state of a job.
func (w *world) stateOf(id heatherhub.JobID) heatherhub.WorkflowState {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	var p dispatch.Progress
	it := w.store.items[record.ProgressKey(id)]
	if it.Revision == 0 {
		return heatherhub.WorkflowQueued
	}
	if err := heatherhub.Unmarshal(it.Value, &p); err != nil {
		w.t.Error(err)
	}
	return p.State
}

// await waits until a condition holds, and fails the test after limit.
func (w *world) await(what string, limit time.Duration, isMet func() bool) time.Duration {
	w.t.Helper()
	start := time.Now()
	for !isMet() {
		if time.Since(start) > limit {
			w.t.Errorf("%s: not within %s", what, limit)
			return limit
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

func (w *world) isCompleted(ids ...heatherhub.JobID) bool {
	for _, id := range ids {
		if w.stateOf(id) != heatherhub.WorkflowCompleted {
			return false
		}
	}
	return true
}

// check fails the test if a promise was broken.
func (w *world) check() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.broken {
		w.t.Error(b)
	}
}
