package core_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/core"
	"heatherhub.example/heatherhub/process/shard/layout"
	"heatherhub.example/heatherhub/process/standin/model"
)

const (
	simDomain    heatherhub.FailureDomain = "gent"
	tickInterval                          = 200 * time.Millisecond
	callTimeout                           = 2 * time.Second
	hostListLag                           = 20 * time.Second
)

var (
	simStart    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	simCapacity = heatherhub.Resources{CPU: 4000, Memory: 4000}
)

// event is a function that runs at a time of the virtual clock.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a heap of events, ordered by time and then by when they were added.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simConfig struct {
	seed             uint64
	hosts            int
	workers          int
	shards           int
	unsafe           core.Unsafe
	scheduler        func(*simulation) placement.Scheduler
	withoutOperators bool
	withoutAudit     bool
	sessionTTL       time.Duration
	serviceReplicas  int
}

// simulation runs a failure domain on a virtual clock: real nodes against fakes of the
// store, the workers, the platform's host list and the network.
type simulation struct {
	cfg      simConfig
	now      time.Time
	clock    *clockwork.FakeClock
	queue    events
	seq      int
	steps    int
	rnd      *rand.Rand
	store    *memory.Store
	layout   layout.Layout
	snapshot *heatherhub.Snapshot
	hosts    []*simHost
	workers  []*simWorker
	byID     map[heatherhub.WorkerID]*simWorker
	// cutUntil holds the end of each cut connection, by its cutKey.
	cutUntil map[string]time.Time
	// mutedUntil holds until when the answers of a worker to a host are lost, by its cutKey.
	mutedUntil map[string]time.Time
	// unlistedUntil holds until when the platform's list lacks a living host or worker, by id.
	unlistedUntil map[string]time.Time
	// storeDownUntil and the next five are the ends of the present faults.
	storeDownUntil, storeSlowUntil, answersLostUntil, callsLateUntil, heartbeatsLateUntil, callsFailUntil time.Time

	// startDelay is how long starts take to arrive, beyond the latency.
	startDelay time.Duration

	// effects counts the faults that had an effect, by kind.
	effects  map[string]int
	requests *requestLog
	// isHealed stops the random evictions.
	isHealed   bool
	violations []string
	// deadlyStarts counts the starts of the tasks that crash each worker that starts them.
	deadlyStarts map[heatherhub.TaskID]int
	// observe is called with each call that takes effect and its answer, if set.
	observe func(core.Call, core.Answer)
}

// simHost is an entry host.
type simHost struct {
	id   heatherhub.HostID
	node *core.Node
	// incarnation counts the processes of the host. Events of earlier ones are dropped.
	incarnation int
	dead        bool
	deadAt      time.Time
	pausedUntil time.Time
	leaving     bool
	waiting     []func()
	tickets     map[core.Ticket]func(core.Reply)
	// callQueues holds the calls to each worker that are not answered yet, in order.
	callQueues map[heatherhub.WorkerID][]core.Call
}

// simWorker is a worker and its entry in the host list.
type simWorker struct {
	id     heatherhub.WorkerID
	host   hostlist.Host
	model  *model.Worker
	deadAt time.Time
	// shrunkAt is when the host list stated less capacity than before, last.
	shrunkAt time.Time
}

func newSimulation(cfg simConfig) *simulation {
	clock := clockwork.NewFakeClockAt(simStart)
	sim := &simulation{
		cfg:      cfg,
		now:      simStart,
		clock:    clock,
		rnd:      rand.New(rand.NewPCG(cfg.seed, 7)),
		store:    memory.New(memory.Config{Clock: clock}),
		layout:   layout.Layout{Shards: map[heatherhub.FailureDomain]int{simDomain: cfg.shards}},
		cutUntil: make(map[string]time.Time), unlistedUntil: make(map[string]time.Time), mutedUntil: make(map[string]time.Time),
		byID:    make(map[heatherhub.WorkerID]*simWorker),
		effects: make(map[string]int), deadlyStarts: make(map[heatherhub.TaskID]int),
	}
	sim.requests = newRequestLog(sim)
	sim.snapshot = simSnapshot(cfg.serviceReplicas)
	checkpoints := model.NewCheckpoints()
	for i := range cfg.workers {
		h := hostlist.Host{
			ID: fmt.Sprintf("w%d", i), Role: hostlist.RoleWorker, Domain: simDomain, State: hostlist.StateLive,
			Rack: heatherhub.Rack(fmt.Sprintf("r%d", i%2)), Capacity: simCapacity, Slots: 8, Connections: 60,
		}
		sim.workers = append(sim.workers, &simWorker{
			id: heatherhub.WorkerID(h.ID), host: h,
			model: model.New(model.Config{Host: h, Seed: cfg.seed, UsageLag: 5 * time.Second, Checkpoints: checkpoints}),
		})
	}
	for _, wk := range sim.workers {
		sim.byID[wk.id] = wk
	}
	for i := range cfg.hosts {
		h := &simHost{id: heatherhub.HostID(fmt.Sprintf("e%d", i))}
		sim.hosts = append(sim.hosts, h)
		sim.bootHost(h)
	}
	if !cfg.withoutOperators {
		sim.after(5*time.Second, sim.runOperators)
	}
	return sim
}

func simSnapshot(replicas int) *heatherhub.Snapshot {
	size := heatherhub.Resources{CPU: 1000, Memory: 1000}
	return &heatherhub.Snapshot{
		Version: 1, InForce: "day",
		Teams: []heatherhub.Team{{ID: "a", Quota: heatherhub.Resources{CPU: 1e6, Memory: 1e6}}},
		Workloads: []heatherhub.Workload{
			{ID: "compile", Kind: heatherhub.KindService, Team: "a", Size: size, Deadline: time.Second, Concurrency: 4},
			{ID: "letter", Kind: heatherhub.KindBatch, Team: "a", Size: size, RunTime: 8 * time.Second},
		},
		Presets: []heatherhub.Preset{{
			ID: "day", BatchShare: 100, MaxEvictions: 100,
			Services: []heatherhub.ServiceSetting{{Workload: "compile", Replicas: replicas}},
		}},
	}
}

// bootHost starts a new process on an entry host.
func (sim *simulation) bootHost(h *simHost) {
	h.incarnation++
	h.dead, h.leaving, h.pausedUntil = false, false, time.Time{}
	h.waiting = nil
	h.tickets = make(map[core.Ticket]func(core.Reply))
	h.callQueues = make(map[heatherhub.WorkerID][]core.Call)
	h.node = core.NewNode(core.Config{
		Self: h.id, Domain: simDomain, Layout: sim.layout, Seed: sim.rnd.Uint64(), Unsafe: sim.cfg.unsafe, SessionTTL: sim.cfg.sessionTTL,
		NewScheduler: func() placement.Scheduler { return sim.cfg.scheduler(sim) },
	})
	h.node.SetSnapshot(sim.snapshot)
	sim.runEvery(h, tickInterval, func() { sim.handleOutput(h, h.node.Tick(sim.now)) })
	sim.runEvery(h, 2*time.Second, func() { h.node.SetHosts(sim.now, sim.hostList()) })
	sim.runEvery(h, core.DefaultHeartbeatInterval, func() { sim.sendHeartbeats(h) })
}

// runEvery runs f every d on a host, from a random time within the first d, until the
// host's process ends. A paused host runs it after the pause.
func (sim *simulation) runEvery(h *simHost, d time.Duration, f func()) {
	incarnation := h.incarnation
	var next func()
	next = func() {
		if h.incarnation != incarnation || h.dead {
			return
		}
		if sim.now.Before(h.pausedUntil) {
			// What arrived during the pause may be read before or after the first tick.
			sim.at(h.pausedUntil.Add(sim.latency()-time.Millisecond), next)
			return
		}
		f()
		sim.after(d, next)
	}
	sim.after(time.Duration(sim.rnd.Int64N(int64(d))), next)
}

func (sim *simulation) at(t time.Time, f func()) {
	sim.seq++
	heap.Push(&sim.queue, event{t, sim.seq, f})
}

func (sim *simulation) after(d time.Duration, f func()) { sim.at(sim.now.Add(d), f) }

// run advances the clock by d, or until the first violation.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) && len(sim.violations) == 0 {
		e := heap.Pop(&sim.queue).(event)
		if e.at.After(sim.now) {
			sim.clock.Advance(e.at.Sub(sim.now))
			sim.now = e.at
		}
		sim.steps++
		e.do()
	}
}

// violate records a violation of an invariant.
func (sim *simulation) violate(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s after %d steps: ", sim.now.Sub(simStart), sim.steps)+fmt.Sprintf(format, args...))
}

// runOn runs f in a process of a host, after its pause if it is paused, and not at all
// if the process has ended.
func (sim *simulation) runOn(h *simHost, incarnation int, f func()) {
	switch {
	case h.dead || h.incarnation != incarnation:
	case sim.now.Before(h.pausedUntil):
		sim.at(h.pausedUntil, func() { sim.runOn(h, incarnation, f) })
	default:
		f()
	}
}

// hostList returns the platform's list. It still lists dead hosts and workers for
// hostListLag.
func (sim *simulation) hostList() []hostlist.Host {
	var hosts []hostlist.Host
	for _, h := range sim.hosts {
		if h.dead && sim.now.Sub(h.deadAt) > hostListLag || sim.isUnlisted(string(h.id)) {
			continue
		}
		state := hostlist.StateLive
		if h.leaving {
			state = hostlist.StateLeaving
		}
		hosts = append(hosts, hostlist.Host{ID: string(h.id), Role: hostlist.RoleEntry, Domain: simDomain, State: state})
	}
	for _, wk := range sim.workers {
		isListed := !wk.model.IsDead() || sim.now.Sub(wk.deadAt) <= hostListLag
		if isListed && !sim.isUnlisted(string(wk.id)) {
			hosts = append(hosts, wk.host)
		}
	}
	return hosts
}

func (sim *simulation) isUnlisted(id string) bool {
	if sim.now.Before(sim.unlistedUntil[id]) {
		sim.countEffect("living " + id[:1] + " unlisted")
		return true
	}
	return false
}

// heartbeatDelay is how long a heartbeat takes to arrive.
func (sim *simulation) heartbeatDelay() time.Duration {
	d := sim.latency()
	if sim.now.Before(sim.heartbeatsLateUntil) {
		sim.countEffect("late heartbeat")
		d += time.Duration(sim.rnd.Int64N(int64(worker.TaskLease)))
	}
	return d
}

func (sim *simulation) sendHeartbeats(h *simHost) {
	for _, other := range sim.hosts {
		if other != h && !sim.isCut(string(h.id), string(other.id)) {
			incarnation := other.incarnation
			b := h.node.Heartbeat(sim.now, other.id)
			sim.after(sim.heartbeatDelay(), func() {
				sim.runOn(other, incarnation, func() { sim.handleOutput(other, other.node.ReceiveHeartbeat(sim.now, h.id, b)) })
			})
		}
	}
}

func (sim *simulation) latency() time.Duration {
	return time.Millisecond + time.Duration(sim.rnd.Int64N(int64(8*time.Millisecond)))
}

// countEffect counts a fault that had an effect.
func (sim *simulation) countEffect(kind string) { sim.effects[kind]++ }

// audit checks that no task runs in two places and no worker is overcommitted. Only a
// start can cause either, so it runs after each start.
func (sim *simulation) audit() {
	if sim.cfg.withoutAudit {
		return
	}
	var ledgers []model.History
	for _, wk := range sim.workers {
		wk.model.Advance(sim.now)
		ledgers = append(ledgers, wk.model.History())
	}
	r := model.Audit(ledgers)
	for _, d := range r.DuplicateRuns {
		sim.violate("task %s in two places: %s from %s to %s, %s from %s to %s", d.First.Task,
			d.First.Worker, d.First.From.Sub(simStart), d.First.To.Sub(simStart),
			d.Second.Worker, d.Second.From.Sub(simStart), d.Second.To.Sub(simStart))
	}
	for _, o := range r.Overcommits {
		sim.violate("worker %s holds %s of %s", o.Worker, o.Reserved, o.Capacity)
	}
}
