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

type event struct {
	at  time.Time
	seq int
	do  func()
}

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
	seed          uint64
	hosts         int
	workers       int
	shards        int
	unsafe        core.Unsafe
	scheduler     func(*simulation) placement.Scheduler
	withoutOps    bool
	withoutAudit  bool
	sessionTTL    time.Duration
	serviceCopies int
}

// simulation is a failure domain on a virtual clock: real nodes, and fakes of the
// store, the workers, the list and the network.
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
	// cutUntil, down, slow, lossy and late are the ends of present faults.
	cutUntil                                                         map[string]time.Time
	storeDownUntil, storeSlowUntil, answersLostUntil, callsLateUntil time.Time
	effects                                                          map[string]int
	requests                                                         *requestLog
	isHealed                                                         bool
	violations                                                       []string
	observe                                                          func(core.Call, core.Answer)
}

type simHost struct {
	id          heatherhub.HostID
	node        *core.Node
	incarnation int
	dead        bool
	deadAt      time.Time
	pausedUntil time.Time
	leaving     bool
	waiting     []func()
	tickets     map[core.Ticket]func(core.Reply)
	callQueues  map[heatherhub.WorkerID][]core.Call
}

type simWorker struct {
	id     heatherhub.WorkerID
	host   hostlist.Host
	model  *model.Worker
	deadAt time.Time
}

func newSimulation(cfg simConfig) *simulation {
	clock := clockwork.NewFakeClockAt(simStart)
	w := &simulation{
		cfg:      cfg,
		now:      simStart,
		clock:    clock,
		rnd:      rand.New(rand.NewPCG(cfg.seed, 7)),
		store:    memory.New(memory.Config{Clock: clock}),
		layout:   layout.Layout{Shards: map[heatherhub.FailureDomain]int{simDomain: cfg.shards}},
		cutUntil: make(map[string]time.Time),
		byID:     make(map[heatherhub.WorkerID]*simWorker),
		effects:  make(map[string]int),
	}
	w.requests = newRequestLog(w)
	w.snapshot = simSnapshot(cfg.serviceCopies)
	checkpoints := model.NewCheckpoints()
	for i := range cfg.workers {
		h := hostlist.Host{
			ID: fmt.Sprintf("w%d", i), Role: hostlist.RoleWorker, Domain: simDomain, State: hostlist.StateLive,
			Rack: heatherhub.Rack(fmt.Sprintf("r%d", i%2)), Capacity: simCapacity, Slots: 8, Connections: 60,
		}
		w.workers = append(w.workers, &simWorker{
			id: heatherhub.WorkerID(h.ID), host: h,
			model: model.New(model.Config{Host: h, Seed: cfg.seed, UsageLag: 5 * time.Second, Checkpoints: checkpoints}),
		})
	}
	for _, wk := range w.workers {
		w.byID[wk.id] = wk
	}
	for i := range cfg.hosts {
		h := &simHost{id: heatherhub.HostID(fmt.Sprintf("e%d", i))}
		w.hosts = append(w.hosts, h)
		w.bootHost(h)
	}
	if !cfg.withoutOps {
		w.after(5*time.Second, w.runOperators)
	}
	return w
}

func simSnapshot(copies int) *heatherhub.Snapshot {
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
			Services: []heatherhub.ServiceSetting{{Workload: "compile", Replicas: copies}},
		}},
	}
}

// bootHost starts a new process on an entry host.
func (w *simulation) bootHost(h *simHost) {
	h.incarnation++
	h.dead, h.leaving, h.pausedUntil = false, false, time.Time{}
	h.waiting = nil
	h.tickets = make(map[core.Ticket]func(core.Reply))
	h.callQueues = make(map[heatherhub.WorkerID][]core.Call)
	h.node = core.NewNode(core.Config{
		Self: h.id, Domain: simDomain, Layout: w.layout, Seed: w.rnd.Uint64(), Unsafe: w.cfg.unsafe, SessionTTL: w.cfg.sessionTTL,
		NewScheduler: func() placement.Scheduler { return w.cfg.scheduler(w) },
	})
	h.node.SetSnapshot(w.snapshot)
	w.runEvery(h, tickInterval, func() { w.handleOutput(h, h.node.Tick(w.now)) })
	w.runEvery(h, 2*time.Second, func() { h.node.SetHosts(w.now, w.hostList()) })
	w.runEvery(h, core.DefaultHeartbeatInterval, func() { w.sendHeartbeats(h) })
}

// runEvery runs f on a host now and then, as long as its process lives.
func (w *simulation) runEvery(h *simHost, d time.Duration, f func()) {
	life := h.incarnation
	var again func()
	again = func() {
		if h.incarnation != life || h.dead {
			return
		}
		if w.now.Before(h.pausedUntil) {
			w.at(h.pausedUntil, again)
			return
		}
		f()
		w.after(d, again)
	}
	w.after(time.Duration(w.rnd.Int64N(int64(d))), again)
}

func (w *simulation) at(t time.Time, f func()) {
	w.seq++
	heap.Push(&w.queue, event{t, w.seq, f})
}

func (w *simulation) after(d time.Duration, f func()) { w.at(w.now.Add(d), f) }

// run lets d pass, or less when a promise is broken.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) && len(w.violations) == 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at.After(w.now) {
			w.clock.Advance(e.at.Sub(w.now))
			w.now = e.at
		}
		w.steps++
		e.do()
	}
}

func (w *simulation) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%s after %d steps: ", w.now.Sub(simStart), w.steps)+fmt.Sprintf(format, args...))
}

// runOn runs f runOn a host's process when it is not paused, if that process lives.
func (w *simulation) runOn(h *simHost, life int, f func()) {
	switch {
	case h.dead || h.incarnation != life:
	case w.now.Before(h.pausedUntil):
		w.at(h.pausedUntil, func() { w.runOn(h, life, f) })
	default:
		f()
	}
}

func (w *simulation) hostList() []hostlist.Host {
	var hosts []hostlist.Host
	for _, h := range w.hosts {
		if h.dead && w.now.Sub(h.deadAt) > hostListLag {
			continue
		}
		state := hostlist.StateLive
		if h.leaving {
			state = hostlist.StateLeaving
		}
		hosts = append(hosts, hostlist.Host{ID: string(h.id), Role: hostlist.RoleEntry, Domain: simDomain, State: state})
	}
	for _, wk := range w.workers {
		if !wk.model.IsDead() || w.now.Sub(wk.deadAt) <= hostListLag {
			hosts = append(hosts, wk.host)
		}
	}
	return hosts
}

func (w *simulation) sendHeartbeats(h *simHost) {
	b := h.node.Heartbeat()
	for _, other := range w.hosts {
		if other != h && !w.isCut(string(h.id), string(other.id)) {
			life := other.incarnation
			w.after(w.latency(), func() {
				w.runOn(other, life, func() { w.handleOutput(other, other.node.ReceiveHeartbeat(w.now, h.id, b)) })
			})
		}
	}
}

func (w *simulation) latency() time.Duration {
	return time.Millisecond + time.Duration(w.rnd.Int64N(int64(8*time.Millisecond)))
}

// countEffect counts a fault that changed the course of a call.
func (w *simulation) countEffect(kind string) { w.effects[kind]++ }

// audit judges what the workers saw. A task can only be doubled or a worker
// overcommitted by a start, so it runs after each.
func (w *simulation) audit() {
	if w.cfg.withoutAudit {
		return
	}
	var ledgers []model.Ledger
	for _, wk := range w.workers {
		wk.model.Advance(w.now)
		ledgers = append(ledgers, wk.model.Ledger())
	}
	r := model.Audit(ledgers)
	for _, d := range r.Doubled {
		w.violate("task %s in two places: %s from %s to %s, %s from %s to %s", d.First.Task,
			d.First.Worker, d.First.From.Sub(simStart), d.First.To.Sub(simStart),
			d.Second.Worker, d.Second.From.Sub(simStart), d.Second.To.Sub(simStart))
	}
	for _, o := range r.Overcommitted {
		w.violate("worker %s holds %s of %s", o.Worker, o.Reserved, o.Capacity)
	}
}
