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
	simDomain   heatherhub.FailureDomain = "gent"
	tickTime                             = 200 * time.Millisecond
	callTimeout                          = 2 * time.Second
	listLag                              = 20 * time.Second
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
	scheduler     func(*world) placement.Scheduler
	withoutOps    bool
	withoutAudit  bool
	sessionTTL    time.Duration
	serviceCopies int
}

// world is a failure domain on a virtual clock: real nodes, and fakes of the
// store, the workers, the list and the network.
type world struct {
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
	// cut, down, slow, lossy and late are the ends of present faults.
	cut                     map[string]time.Time
	down, slow, lossy, late time.Time
	effects                 map[string]int
	jobs                    *jobBook
	isHealed                bool
	violations              []string
	observe                 func(core.Call, core.Answer)
}

type simHost struct {
	id       heatherhub.HostID
	node     *core.Node
	life     int
	dead     bool
	deadAt   time.Time
	paused   time.Time
	leaving  bool
	waiting  []func()
	tickets  map[core.Ticket]func(core.Reply)
	perOrder map[heatherhub.WorkerID][]core.Call
}

type simWorker struct {
	id     heatherhub.WorkerID
	host   hostlist.Host
	model  *model.Worker
	deadAt time.Time
}

func newWorld(cfg simConfig) *world {
	clock := clockwork.NewFakeClockAt(simStart)
	w := &world{
		cfg:     cfg,
		now:     simStart,
		clock:   clock,
		rnd:     rand.New(rand.NewPCG(cfg.seed, 7)),
		store:   memory.New(memory.Config{Clock: clock}),
		layout:  layout.Layout{Shards: map[heatherhub.FailureDomain]int{simDomain: cfg.shards}},
		cut:     make(map[string]time.Time),
		byID:    make(map[heatherhub.WorkerID]*simWorker),
		effects: make(map[string]int),
	}
	w.jobs = newJobBook(w)
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
		w.boot(h)
	}
	if !cfg.withoutOps {
		w.after(5*time.Second, w.operate)
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

// boot starts a new process on an entry host.
func (w *world) boot(h *simHost) {
	h.life++
	h.dead, h.leaving, h.paused = false, false, time.Time{}
	h.waiting = nil
	h.tickets = make(map[core.Ticket]func(core.Reply))
	h.perOrder = make(map[heatherhub.WorkerID][]core.Call)
	h.node = core.NewNode(core.Config{
		Self: h.id, Domain: simDomain, Layout: w.layout, Seed: w.rnd.Uint64(), Unsafe: w.cfg.unsafe, SessionTTL: w.cfg.sessionTTL,
		NewScheduler: func() placement.Scheduler { return w.cfg.scheduler(w) },
	})
	h.node.SetSnapshot(w.snapshot)
	w.loop(h, tickTime, func() { w.carry(h, h.node.Tick(w.now)) })
	w.loop(h, 2*time.Second, func() { h.node.SetHosts(w.now, w.list()) })
	w.loop(h, core.DefaultHeartbeatInterval, func() { w.beat(h) })
}

// loop runs f on a host now and then, as long as its process lives.
func (w *world) loop(h *simHost, d time.Duration, f func()) {
	life := h.life
	var again func()
	again = func() {
		if h.life != life || h.dead {
			return
		}
		if w.now.Before(h.paused) {
			w.at(h.paused, again)
			return
		}
		f()
		w.after(d, again)
	}
	w.after(time.Duration(w.rnd.Int64N(int64(d))), again)
}

func (w *world) at(t time.Time, f func()) {
	w.seq++
	heap.Push(&w.queue, event{t, w.seq, f})
}

func (w *world) after(d time.Duration, f func()) { w.at(w.now.Add(d), f) }

// run lets d pass, or less when a promise is broken.
func (w *world) run(d time.Duration) {
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

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%s after %d steps: ", w.now.Sub(simStart), w.steps)+fmt.Sprintf(format, args...))
}

// on runs f on a host's process when it is not paused, if that process lives.
func (w *world) on(h *simHost, life int, f func()) {
	switch {
	case h.dead || h.life != life:
	case w.now.Before(h.paused):
		w.at(h.paused, func() { w.on(h, life, f) })
	default:
		f()
	}
}

func (w *world) list() []hostlist.Host {
	var hosts []hostlist.Host
	for _, h := range w.hosts {
		if h.dead && w.now.Sub(h.deadAt) > listLag {
			continue
		}
		state := hostlist.StateLive
		if h.leaving {
			state = hostlist.StateLeaving
		}
		hosts = append(hosts, hostlist.Host{ID: string(h.id), Role: hostlist.RoleEntry, Domain: simDomain, State: state})
	}
	for _, wk := range w.workers {
		if !wk.model.IsDead() || w.now.Sub(wk.deadAt) <= listLag {
			hosts = append(hosts, wk.host)
		}
	}
	return hosts
}

func (w *world) beat(h *simHost) {
	b := h.node.Heartbeat()
	for _, other := range w.hosts {
		if other != h && !w.isCut(string(h.id), string(other.id)) {
			life := other.life
			w.after(w.latency(), func() {
				w.on(other, life, func() { w.carry(other, other.node.ReceiveHeartbeat(w.now, h.id, b)) })
			})
		}
	}
}

func (w *world) latency() time.Duration {
	return time.Millisecond + time.Duration(w.rnd.Int64N(int64(8*time.Millisecond)))
}

// touch counts a fault that changed the course of a call.
func (w *world) touch(kind string) { w.effects[kind]++ }

// audit judges what the workers saw. A task can only be doubled or a worker
// overcommitted by a start, so it runs after each.
func (w *world) audit() {
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
