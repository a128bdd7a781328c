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
	controlTick = 200 * time.Millisecond
	usageLag    = 5 * time.Second
	// renewTicks is the number of ticks between two renewals of a worker.
	renewTicks = 15
	// reconcileTicks is the number of ticks between two looks at the replicas.
	reconcileTicks = 5
)

// event is something that happens at a moment.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (q events) Len() int      { return len(q) }
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q *events) Push(x any) { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// run is one run of one policy.
type run struct {
	site     *Site
	scenario Scenario
	snapshot *heatherhub.Snapshot
	layout   layout.Layout
	duration time.Duration
	start    time.Time
	now      time.Time
	queue    events
	seq      int
	ticks    int
	workers  []*machine
	owners   map[heatherhub.FailureDomain]*owner
	services []*service
	arrivals *rand.Rand
	jobs     *rand.Rand
	faults   *rand.Rand
	offered  time.Duration
	tally    *tally
}

// machine is one worker and what the owners know of it.
type machine struct {
	*model.Worker
	id     heatherhub.WorkerID
	owner  *owner
	active int
	// listed says that its owner's scheduler has the worker.
	listed bool
	downAt time.Time
}

func newRun(site *Site, snapshot *heatherhub.Snapshot, sc Scenario, p Policy, seed uint64, d time.Duration) *run {
	r := &run{
		site: site, scenario: sc, snapshot: shorten(snapshot), duration: d,
		start:    time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC),
		owners:   make(map[heatherhub.FailureDomain]*owner),
		arrivals: rand.New(rand.NewPCG(seed, 1)),
		jobs:     rand.New(rand.NewPCG(seed, 2)),
		faults:   rand.New(rand.NewPCG(seed, 3)),
		layout:   layout.Layout{Shards: make(map[heatherhub.FailureDomain]int)},
	}
	r.now = r.start
	r.tally = newTally(r)
	for _, domain := range site.Domains {
		r.layout.Shards[domain] = 1
		r.owners[domain] = newOwner(r, domain, p.New(seed))
	}
	r.addWorkers(seed)
	for _, t := range site.Traffic {
		r.services = append(r.services, newService(r, t))
	}
	return r
}

func (r *run) addWorkers(seed uint64) {
	checkpoints := model.NewCheckpoints()
	for i := range r.site.Workers {
		h := r.site.host(i)
		w := model.New(model.Config{
			Host: h, Seed: seed, UsageLag: usageLag, Interference: r.site.Interference,
			SizeError: r.scenario.sizeError(), RunTimeError: r.scenario.sizeError(), Checkpoints: checkpoints,
		})
		m := &machine{Worker: w, id: heatherhub.WorkerID(h.ID), owner: r.owners[h.Domain], listed: true}
		r.workers = append(r.workers, m)
		m.owner.machines = append(m.owner.machines, m)
		m.owner.scheduler.PutWorker(r.now, h)
	}
}

func (r *run) at(t time.Time, f func()) {
	r.seq++
	heap.Push(&r.queue, event{t, r.seq, f})
}

func (r *run) after(d time.Duration, f func()) {
	r.at(r.now.Add(d), f)
}

func (r *run) run() Result {
	r.setSnapshot(r.snapshot)
	r.planFaults()
	r.addBacklog()
	r.planJobs()
	r.at(r.now, r.tick)
	// Requests begin once the replicas have had time to start.
	for _, s := range r.services {
		r.after(warmUp, s.arrive)
	}
	end := r.start.Add(r.duration)
	for len(r.queue) > 0 && r.queue[0].at.Before(end) {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.run()
	}
	r.now = end
	return r.tally.result()
}

func (r *run) setSnapshot(s *heatherhub.Snapshot) {
	r.snapshot = s
	for _, d := range r.site.Domains {
		r.owners[d].scheduler.SetSnapshot(r.now, s)
	}
}

func (r *run) tick() {
	for i, m := range r.workers {
		if (r.ticks+i)%renewTicks == 0 {
			m.owner.renew(m)
		}
	}
	for _, d := range r.site.Domains {
		o := r.owners[d]
		if r.ticks%reconcileTicks == 0 {
			o.reconcile()
		}
		o.decide()
	}
	if r.ticks%reconcileTicks == 0 {
		r.tally.sample()
	}
	r.ticks++
	r.after(controlTick, r.tick)
}

// planFaults plans what the scenario brings.
func (r *run) planFaults() {
	begin, end := r.start.Add(r.duration/3), r.start.Add(2*r.duration/3)
	switch r.scenario {
	case ScenarioPeak:
		ordinary := r.snapshot.InForce
		r.at(begin, func() { r.setSnapshot(withPreset(r.snapshot, peakPreset)); r.setRates(peakFactor) })
		r.at(end, func() { r.setSnapshot(withPreset(r.snapshot, ordinary)); r.setRates(1) })
	case ScenarioRack:
		rack := r.workers[r.faults.IntN(len(r.workers))].Host().Rack
		r.at(begin, func() { r.killRack(rack) })
		r.at(end, func() { r.reviveRack(rack) })
	case ScenarioBad:
		m := r.workers[r.faults.IntN(len(r.workers))]
		r.at(begin, func() { m.SetFailTasks(true) })
		r.at(end, func() { m.SetFailTasks(false) })
	}
}

func (r *run) setRates(factor float64) {
	for _, s := range r.services {
		s.factor = factor
	}
}

func (r *run) killRack(rack heatherhub.Rack) {
	for _, m := range r.workers {
		if m.Host().Rack == rack {
			m.Kill(r.now)
			m.downAt = r.now
		}
	}
}

func (r *run) reviveRack(rack heatherhub.Rack) {
	for _, m := range r.workers {
		if m.Host().Rack == rack {
			m.Revive(r.now)
			m.downAt = time.Time{}
			m.listed = true
			m.owner.scheduler.PutWorker(r.now, m.Host())
		}
	}
}
