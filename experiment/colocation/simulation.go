package colocation

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/shard/layout"
	"heatherhub.example/heatherhub/process/standin/model"
)

const (
	// tickInterval is the interval between decisions of a scheduler.
	tickInterval = 200 * time.Millisecond
	// usageLag is the age of the newest usage that a worker reports.
	usageLag = 5 * time.Second
	// renewTicks is the number of ticks between lease renewals of a worker.
	renewTicks = 15
	// reconcileTicks is the number of ticks between reconciliations of the replicas.
	reconcileTicks = 5
)

// event is a function that is scheduled at a simulated time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue orders events by time. Events at the same time run in the order in which they
// were scheduled. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simulation is one run of a policy in a scenario at a site, in simulated time.
type simulation struct {
	site        *Site
	scenario    Scenario
	snapshot    *heatherhub.Snapshot
	layout      layout.Layout
	duration    time.Duration
	start       time.Time
	now         time.Time
	events      eventQueue
	lastSeq     int
	ticks       int
	workers     []*simWorker
	owners      map[heatherhub.FailureDomain]*owner
	services    []*service
	trafficRand *rand.Rand
	jobRand     *rand.Rand
	faultRand   *rand.Rand
	offeredCPU  time.Duration
	stats       *stats
}

// simWorker is a simulated worker and the state that its owner keeps for it.
type simWorker struct {
	*model.Worker
	id             heatherhub.WorkerID
	owner          *owner
	activeRequests int
	// registered is true while the scheduler of its owner knows the worker.
	registered bool
	// downAt is when the worker went down; zero if it is up.
	downAt time.Time
}

func newSimulation(site *Site, snapshot *heatherhub.Snapshot, sc Scenario, p Policy, seed uint64, duration time.Duration) *simulation {
	sim := &simulation{
		site: site, scenario: sc, snapshot: shortenBatch(snapshot), duration: duration,
		start:       time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC),
		owners:      make(map[heatherhub.FailureDomain]*owner),
		trafficRand: rand.New(rand.NewPCG(seed, 1)),
		jobRand:     rand.New(rand.NewPCG(seed, 2)),
		faultRand:   rand.New(rand.NewPCG(seed, 3)),
		layout:      layout.Layout{Shards: make(map[heatherhub.FailureDomain]int)},
	}
	sim.now = sim.start
	sim.stats = newStats(sim)
	for _, domain := range site.Domains {
		sim.layout.Shards[domain] = 1
		sim.owners[domain] = newOwner(sim, domain, p.New(seed))
	}
	sim.addWorkers(seed)
	for _, t := range site.Traffic {
		sim.services = append(sim.services, newService(sim, t))
	}
	return sim
}

func (sim *simulation) addWorkers(seed uint64) {
	checkpoints := model.NewCheckpoints()
	for i := range sim.site.Workers {
		h := sim.site.host(i)
		modelWorker := model.New(model.Config{
			Host: h, Seed: seed, UsageLag: usageLag, Interference: sim.site.Interference,
			SizeError: sim.scenario.sizeError(), RunTimeError: sim.scenario.sizeError(), Checkpoints: checkpoints,
		})
		w := &simWorker{Worker: modelWorker, id: heatherhub.WorkerID(h.ID), owner: sim.owners[h.Domain], registered: true}
		sim.workers = append(sim.workers, w)
		w.owner.workers = append(w.owner.workers, w)
		w.owner.scheduler.PutWorker(sim.now, h)
	}
}

func (sim *simulation) scheduleAt(t time.Time, f func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{t, sim.lastSeq, f})
}

func (sim *simulation) scheduleAfter(d time.Duration, f func()) {
	sim.scheduleAt(sim.now.Add(d), f)
}

// run processes events until the duration has elapsed.
func (sim *simulation) run() Result {
	sim.setSnapshot(sim.snapshot)
	sim.scheduleFaults()
	sim.addBacklog()
	sim.scheduleJobs()
	sim.scheduleAt(sim.now, sim.tick)
	// Requests begin after the replicas have had time to start.
	for _, s := range sim.services {
		sim.scheduleAfter(warmUp, s.arrive)
	}
	end := sim.start.Add(sim.duration)
	for len(sim.events) > 0 && sim.events[0].at.Before(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
	return sim.stats.result()
}

func (sim *simulation) setSnapshot(s *heatherhub.Snapshot) {
	sim.snapshot = s
	for _, d := range sim.site.Domains {
		sim.owners[d].scheduler.SetSnapshot(sim.now, s)
	}
}

// tick runs the periodic work of the owners: renewals, reconciliation and decisions.
func (sim *simulation) tick() {
	for i, w := range sim.workers {
		if (sim.ticks+i)%renewTicks == 0 {
			w.owner.renew(w)
		}
	}
	for _, d := range sim.site.Domains {
		o := sim.owners[d]
		if sim.ticks%reconcileTicks == 0 {
			o.reconcile()
		}
		o.decide()
	}
	if sim.ticks%reconcileTicks == 0 {
		sim.stats.recordWaits()
	}
	sim.ticks++
	sim.scheduleAfter(tickInterval, sim.tick)
}

// scheduleFaults schedules the start and end of the change or fault of the scenario.
func (sim *simulation) scheduleFaults() {
	begin, end := sim.start.Add(sim.duration/3), sim.start.Add(2*sim.duration/3)
	switch sim.scenario {
	case ScenarioPeak:
		initial := sim.snapshot.InForce
		sim.scheduleAt(begin, func() { sim.setSnapshot(withPreset(sim.snapshot, peakPreset)); sim.setRateFactor(peakFactor) })
		sim.scheduleAt(end, func() { sim.setSnapshot(withPreset(sim.snapshot, initial)); sim.setRateFactor(1) })
	case ScenarioRackLost:
		rack := sim.workers[sim.faultRand.IntN(len(sim.workers))].Host().Rack
		sim.scheduleAt(begin, func() { sim.killRack(rack) })
		sim.scheduleAt(end, func() { sim.reviveRack(rack) })
	case ScenarioFailingWorker:
		w := sim.workers[sim.faultRand.IntN(len(sim.workers))]
		sim.scheduleAt(begin, func() { w.SetFailTasks(true) })
		sim.scheduleAt(end, func() { w.SetFailTasks(false) })
	}
}

// setRateFactor multiplies the request rates of all services.
func (sim *simulation) setRateFactor(factor float64) {
	for _, s := range sim.services {
		s.rateFactor = factor
	}
}

func (sim *simulation) killRack(rack heatherhub.Rack) {
	for _, w := range sim.workers {
		if w.Host().Rack == rack {
			w.Kill(sim.now)
			w.downAt = sim.now
		}
	}
}

func (sim *simulation) reviveRack(rack heatherhub.Rack) {
	for _, w := range sim.workers {
		if w.Host().Rack == rack {
			w.Revive(sim.now)
			w.downAt = time.Time{}
			w.registered = true
			w.owner.scheduler.PutWorker(sim.now, w.Host())
		}
	}
}
