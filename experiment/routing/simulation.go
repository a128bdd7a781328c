package routing

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin/model"
	"heatherhub.example/heatherhub/request/endpoint"
)

// event is a function that is scheduled at a simulated time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventHeap orders events by time. Events at the same time run in the order in which they
// were scheduled.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// request is the state of one simulated request.
type request struct {
	id      endpoint.TicketID
	service *serviceLoad
	greedy  bool
	arrived time.Time
	started time.Time
	work    time.Duration
	// completed is set once the caller has a final result.
	completed bool
}

// simulation is one run of a policy in a scenario, in simulated time.
type simulation struct {
	cfg      Config
	scenario Scenario
	// loadRand generates only the load, so that all policies see the same load.
	// faultRand generates the failures.
	loadRand    *rand.Rand
	faultRand   *rand.Rand
	start       time.Time
	now         time.Time
	events      eventHeap
	lastSeq     int
	pool        *endpoint.Pool
	workersByID map[heatherhub.WorkerID]*simWorker
	workers     []*simWorker
	requests    map[endpoint.TicketID]*request
	lastID      endpoint.TicketID
	stats       *stats
}

func newSimulation(cfg Config, s Scenario, p NamedPolicy, seed uint64) *simulation {
	start := time.Unix(0, 0).UTC()
	sim := &simulation{
		cfg: cfg, scenario: s, loadRand: rand.New(rand.NewPCG(seed, 1)), faultRand: rand.New(rand.NewPCG(seed, 2)), start: start, now: start,
		pool: endpoint.NewPool(p.Config(seed)), workersByID: make(map[heatherhub.WorkerID]*simWorker),
		requests: make(map[endpoint.TicketID]*request), stats: newStats(start),
	}
	workers, err := newWorkers(start, seed)
	if err != nil {
		panic(err) // unreachable: the site is constant
	}
	sim.workers = workers
	for _, w := range workers {
		sim.workersByID[w.id] = w
	}
	for i := range serviceLoads {
		sim.pool.SetService(serviceLoads[i].id, serviceLoads[i].service)
		sim.pool.SetEndpoints(start, serviceLoads[i].id, newEndpoints(serviceLoads[i], workers))
	}
	return sim
}

func (sim *simulation) schedule(t time.Time, f func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{at: t, seq: sim.lastSeq, run: f})
}

// run processes events until the configured duration has elapsed.
func (sim *simulation) run() *stats {
	for i := range serviceLoads {
		sim.scheduleArrival(&serviceLoads[i])
	}
	sim.schedule(sim.start.Add(faultFrom), func() { sim.setFault(true) })
	sim.schedule(sim.start.Add(faultTo), func() { sim.setFault(false) })
	sim.scheduleTick()
	end := sim.start.Add(sim.cfg.Duration)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at.After(end) {
			break
		}
		sim.now = e.at
		e.run()
	}
	for _, w := range sim.workers {
		for _, v := range w.History().Violations {
			if v.Kind == model.ViolationSlots {
				sim.stats.violations++
			}
		}
	}
	return sim.stats
}

// tickInterval is the interval between calls of Pool.Tick.
const tickInterval = 50 * time.Millisecond

func (sim *simulation) scheduleTick() {
	sim.schedule(sim.now.Add(tickInterval), func() {
		sim.applyDecisions(sim.pool.Tick(sim.now))
		sim.scheduleTick()
	})
}

// scheduleArrival schedules the arrivals of a service as a Poisson process.
func (sim *simulation) scheduleArrival(s *serviceLoad) {
	rate := s.rate() * sim.scenario.Load
	elapsed := sim.now.Sub(sim.start)
	if sim.scenario.BurstFactor > 0 && elapsed >= burstFrom && elapsed < burstTo {
		rate *= sim.scenario.BurstFactor
	}
	gap := time.Duration(sim.loadRand.ExpFloat64() / rate * float64(time.Second))
	sim.schedule(sim.now.Add(gap), func() {
		sim.arrive(s)
		sim.scheduleArrival(s)
	})
}

// arrive creates a request and offers it to the pool.
func (sim *simulation) arrive(s *serviceLoad) {
	sim.lastID++
	r := &request{id: sim.lastID, service: s, arrived: sim.now, work: s.drawWork(sim.loadRand)}
	caller := strconv.Itoa(sim.loadRand.IntN(callerCount))
	if sim.loadRand.Float64() < sim.scenario.GreedyShare {
		caller, r.greedy = "greedy", true
	}
	sim.requests[r.id] = r
	deadline := sim.now.Add(s.deadline)
	sim.schedule(deadline, func() { sim.expire(r) })
	sim.applyDecisions(sim.pool.Offer(sim.now, endpoint.Ticket{ID: r.id, Workload: s.id, Caller: caller, Deadline: deadline}))
}

// expire handles the deadline of a request. It does nothing if the request is completed.
func (sim *simulation) expire(r *request) {
	if r.completed {
		return
	}
	if r.started.IsZero() {
		sim.applyDecisions(sim.pool.Expire(sim.now, r.id))
		return
	}
	sim.complete(r, outcomeLate)
	sim.applyDecisions(sim.pool.Done(sim.now, r.id, endpoint.Result{Outcome: endpoint.Lost, Elapsed: sim.now.Sub(r.started)}))
}

// applyDecisions carries out decisions of the pool.
func (sim *simulation) applyDecisions(decisions []endpoint.Decision) {
	for _, d := range decisions {
		r := sim.requests[d.Ticket]
		switch d.Kind {
		case endpoint.Start:
			r.started = sim.now
			w := sim.workersByID[d.Worker]
			sim.schedule(sim.now.Add(hopDelay), func() { sim.beginAtWorker(r, w, d.Task) })
		case endpoint.Wait:
			sim.schedule(d.LatestStart, func() { sim.applyDecisions(sim.pool.Expire(sim.now, r.id)) })
		case endpoint.Refuse:
			sim.complete(r, outcomeRefused)
		}
	}
}

func (sim *simulation) complete(r *request, result outcome) {
	r.completed = true
	sim.stats.record(sim.now, r, result)
}

// beginAtWorker handles the arrival of a request at its worker.
func (sim *simulation) beginAtWorker(r *request, w *simWorker, task heatherhub.TaskID) {
	if w.failing || sim.faultRand.Float64() < w.failureShare {
		sim.schedule(sim.now.Add(failDelay+hopDelay), func() { sim.receiveAnswer(r, outcomeFailed) })
		return
	}
	id := r.requestID()
	work := r.work
	if w.slow {
		work = time.Duration(float64(work) * slowFactor)
	}
	took, err := w.BeginRequest(sim.now, worker.Request{ID: id, Workload: r.service.id, Task: task}, work)
	if err != nil {
		return // the worker does not respond: the deadline ends the request
	}
	sim.schedule(sim.now.Add(took), func() { sim.endAtWorker(w, r) })
}

// endAtWorker ends a request at its worker and sends the answer. While the worker does
// not respond, the end is delayed until it recovers.
func (sim *simulation) endAtWorker(w *simWorker, r *request) {
	if w.unresponsive {
		w.delayedEnds = append(w.delayedEnds, r)
		return
	}
	if w.EndRequest(sim.now, r.requestID()) == nil {
		sim.schedule(sim.now.Add(hopDelay), func() { sim.receiveAnswer(r, outcomeAnswered) })
	}
}

func (r *request) requestID() heatherhub.RequestID {
	return heatherhub.RequestID(strconv.FormatUint(uint64(r.id), 10))
}

// receiveAnswer handles the arrival of an answer at the owner.
func (sim *simulation) receiveAnswer(r *request, result outcome) {
	if r.completed { // answered after its deadline: only the slot is released
		sim.stats.recordLateWork(sim.now, r)
		sim.applyDecisions(sim.pool.Done(sim.now, r.id, endpoint.Result{Outcome: endpoint.Succeeded}))
		return
	}
	sim.complete(r, result)
	reported := endpoint.Succeeded
	if result == outcomeFailed {
		reported = endpoint.Failed
	}
	sim.applyDecisions(sim.pool.Done(sim.now, r.id, endpoint.Result{Outcome: reported, Elapsed: sim.now.Sub(r.started)}))
}

// setFault starts or ends the fault of the scenario.
func (sim *simulation) setFault(on bool) {
	first := sim.workers[0]
	switch sim.scenario.Fault {
	case FaultNone:
	case FaultSlow:
		first.slow = on
	case FaultFailing:
		first.failing = on
	case FaultFlaky:
		first.failureShare = 0
		if on {
			first.failureShare = flakyFailureShare
		}
	case FaultMostFailing:
		for _, w := range sim.workers[:mostFailingWorkers] {
			w.failing = on
		}
	case FaultUnresponsive:
		first.unresponsive = on
		if on {
			first.Freeze(sim.now)
		} else {
			first.Thaw(sim.now)
			for _, r := range first.delayedEnds {
				sim.endAtWorker(first, r)
			}
			first.delayedEnds = nil
		}
	case FaultInterference:
		sim.setInterference(on)
	}
}

// setInterference starts or stops the interfering batch tasks.
func (sim *simulation) setInterference(on bool) {
	for _, w := range sim.workers[:noisyWorkers] {
		task := noisyTask(w.id)
		if on {
			_ = w.Start(sim.now, worker.StartCommand{Task: task, LeaseUntil: sim.now.Add(longLease)})
		} else {
			_ = w.Stop(sim.now, task.ID)
		}
	}
}
