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

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// eventHeap orders events by time, and by sequence at one time.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event for container/heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event for container/heap.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// request is one request of the run.
type request struct {
	id      endpoint.TicketID
	load    *load
	greedy  bool
	arrived time.Time
	started time.Time
	work    time.Duration
	// settled says that its caller has a final answer.
	settled bool
}

// loop is one run in virtual time.
type loop struct {
	cfg      Config
	scenario Scenario
	// rand draws the load alone, so that every policy meets the same one; faults
	// draws the failures.
	rand     *rand.Rand
	faults   *rand.Rand
	start    time.Time
	now      time.Time
	events   eventHeap
	seq      int
	pool     *endpoint.Pool
	hosts    map[heatherhub.WorkerID]*host
	list     []*host
	requests map[endpoint.TicketID]*request
	next     endpoint.TicketID
	tally    *tally
}

func newLoop(cfg Config, s Scenario, p NamedPolicy, seed uint64) *loop {
	start := time.Unix(0, 0).UTC()
	l := &loop{
		cfg: cfg, scenario: s, rand: rand.New(rand.NewPCG(seed, 1)), faults: rand.New(rand.NewPCG(seed, 2)), start: start, now: start,
		pool: endpoint.NewPool(p.Config(seed)), hosts: make(map[heatherhub.WorkerID]*host),
		requests: make(map[endpoint.TicketID]*request), tally: newTally(start),
	}
	hosts, err := newHosts(start, seed)
	if err != nil {
		panic(err) // the site is fixed, so this is a fault of the experiment
	}
	l.list = hosts
	for _, h := range hosts {
		l.hosts[h.id] = h
	}
	for i := range loads {
		l.pool.SetService(loads[i].id, loads[i].service)
		l.pool.SetEndpoints(start, loads[i].id, endpointsOf(loads[i], hosts))
	}
	return l
}

func (l *loop) at(t time.Time, do func()) {
	l.seq++
	heap.Push(&l.events, event{at: t, seq: l.seq, do: do})
}

func (l *loop) run() *tally {
	for i := range loads {
		l.scheduleArrival(&loads[i])
	}
	l.at(l.start.Add(faultFrom), func() { l.setFault(true) })
	l.at(l.start.Add(faultTo), func() { l.setFault(false) })
	l.scheduleTick()
	end := l.start.Add(l.cfg.Duration)
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		if e.at.After(end) {
			break
		}
		l.now = e.at
		e.do()
	}
	for _, h := range l.list {
		for _, v := range h.History().Violations {
			if v.Kind == model.ViolationSlots {
				l.tally.violations++
			}
		}
	}
	return l.tally
}

// tickInterval is the time between two ticks of the pool.
const tickInterval = 50 * time.Millisecond

func (l *loop) scheduleTick() {
	l.at(l.now.Add(tickInterval), func() {
		l.apply(l.pool.Tick(l.now))
		l.scheduleTick()
	})
}

func (l *loop) scheduleArrival(s *load) {
	rate := s.rate() * l.scenario.Load
	since := l.now.Sub(l.start)
	if l.scenario.Burst > 0 && since >= burstFrom && since < burstTo {
		rate *= l.scenario.Burst
	}
	gap := time.Duration(l.rand.ExpFloat64() / rate * float64(time.Second))
	l.at(l.now.Add(gap), func() {
		l.arrive(s)
		l.scheduleArrival(s)
	})
}

func (l *loop) arrive(s *load) {
	l.next++
	r := &request{id: l.next, load: s, arrived: l.now, work: s.draw(l.rand)}
	caller := strconv.Itoa(l.rand.IntN(callers))
	if l.rand.Float64() < l.scenario.Greedy {
		caller, r.greedy = "greedy", true
	}
	l.requests[r.id] = r
	deadline := l.now.Add(s.deadline)
	l.at(deadline, func() { l.expire(r) })
	l.apply(l.pool.Offer(l.now, endpoint.Ticket{ID: r.id, Workload: s.id, Caller: caller, Deadline: deadline}))
}

// expire ends a request whose deadline has passed without an answer.
func (l *loop) expire(r *request) {
	if r.settled {
		return
	}
	if r.started.IsZero() {
		l.apply(l.pool.Expire(l.now, r.id))
		return
	}
	l.settle(r, endLate)
	l.apply(l.pool.Done(l.now, r.id, endpoint.Result{Outcome: endpoint.Lost, Elapsed: l.now.Sub(r.started)}))
}

func (l *loop) apply(decisions []endpoint.Decision) {
	for _, d := range decisions {
		r := l.requests[d.Ticket]
		switch d.Kind {
		case endpoint.Start:
			r.started = l.now
			h := l.hosts[d.Worker]
			l.at(l.now.Add(hopDelay), func() { l.begin(r, h, d.Task) })
		case endpoint.Wait:
			l.at(d.LatestStart, func() { l.apply(l.pool.Expire(l.now, r.id)) })
		case endpoint.Refuse:
			l.settle(r, endRefused)
		}
	}
}

func (l *loop) settle(r *request, how end) {
	r.settled = true
	l.tally.settle(l.now, r, how)
}

// begin is the arrival of a request at its worker.
func (l *loop) begin(r *request, h *host, task heatherhub.TaskID) {
	if h.failing || l.faults.Float64() < h.flaky {
		l.at(l.now.Add(failDelay+hopDelay), func() { l.answer(r, endFailed) })
		return
	}
	id := r.name()
	work := r.work
	if h.slow {
		work = time.Duration(float64(work) * slowFactor)
	}
	took, err := h.BeginRequest(l.now, worker.Request{ID: id, Workload: r.load.id, Task: task}, work)
	if err != nil {
		return // a silent worker: the deadline ends the request
	}
	l.at(l.now.Add(took), func() { l.endAt(h, r) })
}

// endAt ends a request at its worker. A silent worker does so when it is back.
func (l *loop) endAt(h *host, r *request) {
	if h.silent {
		h.stuck = append(h.stuck, r)
		return
	}
	if h.EndRequest(l.now, r.name()) == nil {
		l.at(l.now.Add(hopDelay), func() { l.answer(r, endAnswered) })
	}
}

func (r *request) name() heatherhub.RequestID {
	return heatherhub.RequestID(strconv.FormatUint(uint64(r.id), 10))
}

// answer is the arrival of an answer at the owner.
func (l *loop) answer(r *request, how end) {
	if r.settled { // late: its caller has gone, but the slot is free
		l.tally.waste(l.now, r)
		l.apply(l.pool.Done(l.now, r.id, endpoint.Result{Outcome: endpoint.Succeeded}))
		return
	}
	l.settle(r, how)
	outcome := endpoint.Succeeded
	if how == endFailed {
		outcome = endpoint.Failed
	}
	l.apply(l.pool.Done(l.now, r.id, endpoint.Result{Outcome: outcome, Elapsed: l.now.Sub(r.started)}))
}

func (l *loop) setFault(on bool) {
	first := l.list[0]
	switch l.scenario.Fault {
	case FaultNone:
	case FaultSlow:
		first.slow = on
	case FaultFailing:
		first.failing = on
	case FaultFlaky:
		first.flaky = 0
		if on {
			first.flaky = flakyShare
		}
	case FaultMostFailing:
		for _, h := range l.list[:failingMost] {
			h.failing = on
		}
	case FaultSilent:
		first.silent = on
		if on {
			first.Freeze(l.now)
		} else {
			first.Thaw(l.now)
			for _, r := range first.stuck {
				l.endAt(first, r)
			}
			first.stuck = nil
		}
	case FaultNoisy:
		l.setNoise(on)
	}
}

func (l *loop) setNoise(on bool) {
	for _, h := range l.list[:noisyWorkers] {
		task := noisyTask(h.id)
		if on {
			_ = h.Start(l.now, worker.StartCommand{Task: task, LeaseUntil: l.now.Add(farLease)})
		} else {
			_ = h.Stop(l.now, task.ID)
		}
	}
}
