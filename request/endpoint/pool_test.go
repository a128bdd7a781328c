package endpoint_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/request/endpoint"
)

var epoch = time.Unix(1000, 0)

const (
	compile  = heatherhub.WorkloadID("compile")
	sessions = heatherhub.WorkloadID("sessions")
)

func endpoints(w heatherhub.WorkloadID, workers, slots int) []endpoint.Endpoint {
	var out []endpoint.Endpoint
	for i := range workers {
		out = append(out, endpoint.Endpoint{
			Task:   heatherhub.TaskID(fmt.Sprintf("%s/%d", w, i)),
			Worker: heatherhub.WorkerID(fmt.Sprintf("w%d", i)), Slots: slots, Connections: 60,
		})
	}
	return out
}

// site simulates the workers and callers of a pool, and checks its decisions.
type site struct {
	pool     *endpoint.Pool
	now      time.Time
	next     endpoint.TicketID
	waiting  map[endpoint.TicketID]bool
	running  map[endpoint.TicketID]endpoint.Decision
	lost     map[endpoint.TicketID]time.Time
	deadline map[endpoint.TicketID]time.Time
	slots    int
	fatalf   func(format string, args ...any)
}

func (s *site) apply(decisions []endpoint.Decision) {
	for _, d := range decisions {
		if !s.waiting[d.Ticket] {
			s.fatalf("got decision %+v on a ticket that is not queued", d)
		}
		switch d.Kind {
		case endpoint.Wait:
			continue
		case endpoint.Start:
			s.running[d.Ticket] = d
		case endpoint.Refuse:
			if d.RetryAfter <= 0 || d.RetryAfter > 5*time.Second {
				s.fatalf("got retry after %v, want above zero and at most 5s", d.RetryAfter)
			}
		}
		delete(s.waiting, d.Ticket)
	}
	s.check()
}

// check compares the requests in flight on each worker with its slots, and the
// length of the queue. A lost request counts until its worker has ended it or its slot
// times out.
func (s *site) check() {
	busy := make(map[heatherhub.WorkerID]int)
	for id, d := range s.running {
		if end, ok := s.lost[id]; ok && !s.now.Before(end) {
			delete(s.running, id)
			continue
		}
		busy[d.Worker]++
	}
	for id, n := range busy {
		if n > s.slots {
			s.fatalf("worker %s: got %d requests in flight, want at most %d slots", id, n, s.slots)
		}
	}
	if got, want := s.pool.Queued(), len(s.waiting); got != want {
		s.fatalf("got %d queued, want %d", got, want)
	}
}

func (s *site) offer(w heatherhub.WorkloadID, caller string, timeout time.Duration) {
	s.next++
	s.waiting[s.next] = true
	s.deadline[s.next] = s.now.Add(timeout)
	s.apply(s.pool.Offer(s.now, endpoint.Ticket{ID: s.next, Workload: w, Caller: caller, Deadline: s.now.Add(timeout)}))
}

func (s *site) done(id endpoint.TicketID, o endpoint.Outcome) {
	if _, isLost := s.lost[id]; isLost && o == endpoint.Lost {
		s.apply(s.pool.Done(s.now, id, endpoint.Result{Outcome: o}))
		return
	}
	if o == endpoint.Lost {
		end := s.now
		if s.deadline[id].After(end) {
			end = s.deadline[id]
		}
		s.lost[id] = end.Add(endpoint.DefaultLostSlotTimeout)
	} else {
		delete(s.running, id)
	}
	s.apply(s.pool.Done(s.now, id, endpoint.Result{Outcome: o, Elapsed: 10 * time.Millisecond}))
}

func (s *site) anyRunning(t *rapid.T) (endpoint.TicketID, bool) {
	for id := s.next; id > 0; id-- {
		if _, ok := s.running[id]; ok && rapid.Bool().Draw(t, "take") {
			return id, true
		}
	}
	return 0, false
}

// TestRandomOperationsKeepSlotLimits checks that no worker gets more requests than
// it has slots, and that each ticket gets one final decision.
func TestRandomOperationsKeepSlotLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 4).Draw(t, "workers")
		s := &site{
			pool: endpoint.NewPool(endpoint.Config{MaxQueue: 8}), now: epoch, slots: rapid.IntRange(1, 8).Draw(t, "slots"),
			waiting: map[endpoint.TicketID]bool{}, running: map[endpoint.TicketID]endpoint.Decision{},
			lost: map[endpoint.TicketID]time.Time{}, deadline: map[endpoint.TicketID]time.Time{}, fatalf: t.Fatalf,
		}
		s.pool.SetService(compile, endpoint.Service{Priority: 200, Concurrency: 4})
		s.pool.SetService(sessions, endpoint.Service{Priority: 220, Concurrency: 8})
		t.Repeat(map[string]func(*rapid.T){
			"endpoints": func(t *rapid.T) {
				w := rapid.SampledFrom([]heatherhub.WorkloadID{compile, sessions}).Draw(t, "workload")
				s.apply(s.pool.SetEndpoints(s.now, w, endpoints(w, rapid.IntRange(0, workers).Draw(t, "n"), s.slots)))
			},
			"offer": func(t *rapid.T) {
				w := rapid.SampledFrom([]heatherhub.WorkloadID{compile, sessions}).Draw(t, "workload")
				caller := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller")
				s.offer(w, caller, time.Duration(rapid.IntRange(0, 500).Draw(t, "ms"))*time.Millisecond)
			},
			"done": func(t *rapid.T) {
				if id, ok := s.anyRunning(t); ok {
					s.done(id, endpoint.Outcome(rapid.IntRange(int(endpoint.Succeeded), int(endpoint.Unsent)).Draw(t, "outcome")))
				}
			},
			"time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				s.apply(s.pool.Tick(s.now))
			},
			"expire": func(*rapid.T) {
				for id := range s.waiting {
					s.apply(s.pool.Expire(s.now, id))
					break
				}
			},
			"": func(t *rapid.T) {
				if s.pool.Queued() > 8 {
					t.Fatalf("got %d queued, want at most 8", s.pool.Queued())
				}
			},
		})
	})
}

func newPool(cfg endpoint.Config, workers, slots int) *endpoint.Pool {
	p := endpoint.NewPool(cfg)
	p.SetService(compile, endpoint.Service{Priority: 200, Concurrency: slots})
	p.SetEndpoints(epoch, compile, endpoints(compile, workers, slots))
	return p
}

func ticket(id int, caller string, end time.Time) endpoint.Ticket {
	return endpoint.Ticket{ID: endpoint.TicketID(id), Workload: compile, Caller: caller, Deadline: end}
}

// serveOne serves one request with the result for its replica, whose task it
// returns.
func serveOne(t *testing.T, p *endpoint.Pool, now time.Time, id int, res func(heatherhub.TaskID) endpoint.Result) heatherhub.TaskID {
	t.Helper()
	d := p.Offer(now, ticket(id, "a", now.Add(time.Minute)))[0]
	if d.Kind != endpoint.Start {
		t.Fatalf("request %d: got %+v, want a start", id, d)
	}
	p.Done(now, d.Ticket, res(d.Task))
	return d.Task
}

func TestFailingReplicaIsEjectedAndRecovers(t *testing.T) {
	p := newPool(endpoint.Config{}, 4, 8)
	bad := heatherhub.TaskID("compile/0")
	failing := func(task heatherhub.TaskID) endpoint.Result {
		if task == bad {
			return endpoint.Result{Outcome: endpoint.Failed, Elapsed: time.Millisecond}
		}
		return endpoint.Result{Outcome: endpoint.Succeeded, Elapsed: 20 * time.Millisecond}
	}
	now, failures := epoch, 0
	for i := range 100 {
		if serveOne(t, p, now, i+1, failing) == bad {
			failures++
		}
	}
	if got, want := p.Ejected(now, compile), 1; got != want {
		t.Errorf("got %d ejected, want %d", got, want)
	}
	if got, want := failures, endpoint.DefaultConsecutiveFailures; got != want {
		t.Errorf("got %d requests on the failing replica, want %d", got, want)
	}
	now = now.Add(endpoint.DefaultBaseEjectionTime)
	healthy := func(heatherhub.TaskID) endpoint.Result {
		return endpoint.Result{Outcome: endpoint.Succeeded, Elapsed: 20 * time.Millisecond}
	}
	if got, want := serveOne(t, p, now, 200, healthy), bad; got != want {
		t.Errorf("first request after the ejection: got %s, want a probe of %s", got, want)
	}
	if got, want := p.Ejected(now, compile), 0; got != want {
		t.Errorf("got %d ejected after a success, want %d", got, want)
	}
}

func TestEjectsAtMostHalfOfReplicas(t *testing.T) {
	for workers := 1; workers <= 5; workers++ {
		p := newPool(endpoint.Config{}, workers, 8)
		now := epoch
		for i := range 500 {
			now = now.Add(10 * time.Millisecond)
			serveOne(t, p, now, i+1, func(heatherhub.TaskID) endpoint.Result {
				return endpoint.Result{Outcome: endpoint.Failed, Elapsed: time.Millisecond}
			})
			if got, want := p.Ejected(now, compile), workers/2; got > want {
				t.Fatalf("%d workers: got %d ejected, want at most %d", workers, got, want)
			}
		}
	}
}

func TestRefusesRequestThatWouldMissDeadline(t *testing.T) {
	p := newPool(endpoint.Config{}, 1, 1)
	now := epoch
	for i := range 20 {
		serveOne(t, p, now, i+1, func(heatherhub.TaskID) endpoint.Result {
			return endpoint.Result{Outcome: endpoint.Succeeded, Elapsed: 100 * time.Millisecond}
		})
		now = now.Add(100 * time.Millisecond)
	}
	p.Offer(now, ticket(100, "a", now.Add(time.Second)))
	d := p.Offer(now, ticket(101, "a", now.Add(150*time.Millisecond)))[0]
	if d.Kind != endpoint.Refuse || d.Reason != endpoint.ReasonLate {
		t.Errorf("request that would be late: got %+v, want a refusal", d)
	}
	if d := p.Offer(now, ticket(102, "a", now.Add(time.Second)))[0]; d.Kind != endpoint.Wait {
		t.Errorf("request with a later deadline: got %+v, want it to wait", d)
	}
}

func TestCallersAreServedInTurn(t *testing.T) {
	p := newPool(endpoint.Config{Admission: endpoint.AdmitAll{}}, 1, 1)
	end := epoch.Add(time.Hour)
	for i := 1; i <= 10; i++ {
		p.Offer(epoch, ticket(i, "greedy", end))
	}
	p.Offer(epoch, ticket(11, "modest", end))
	var order []endpoint.TicketID
	running := endpoint.TicketID(1)
	for range 3 {
		d := p.Done(epoch, running, endpoint.Result{Outcome: endpoint.Succeeded, Elapsed: time.Millisecond})
		running = d[0].Ticket
		order = append(order, running)
	}
	if got, want := fmt.Sprint(order), "[2 11 3]"; got != want {
		t.Errorf("got order %s, want %s", got, want)
	}
}

func TestFullQueueDisplacesLowerPriority(t *testing.T) {
	p := newPool(endpoint.Config{MaxQueue: 1, Admission: endpoint.AdmitAll{}}, 1, 1)
	p.SetService(sessions, endpoint.Service{Priority: 220, Concurrency: 1})
	p.SetEndpoints(epoch, sessions, endpoints(sessions, 1, 1))
	end := epoch.Add(time.Hour)
	p.Offer(epoch, ticket(1, "a", end))
	p.Offer(epoch, ticket(2, "a", end))
	got := p.Offer(epoch, endpoint.Ticket{ID: 3, Workload: sessions, Caller: "a", Deadline: end})
	if len(got) != 2 || got[0].Kind != endpoint.Wait || got[1].Ticket != 2 || got[1].Kind != endpoint.Refuse {
		t.Errorf("got %+v, want ticket 3 queued and ticket 2 refused", got)
	}
}

func TestNewReplicaHasSlowStart(t *testing.T) {
	p := newPool(endpoint.Config{}, 1, 8)
	later := epoch.Add(time.Minute)
	p.SetEndpoints(later, compile, endpoints(compile, 2, 8))
	started := make(map[heatherhub.TaskID]int)
	for i := range 9 {
		started[p.Offer(later, ticket(i+1, "a", later.Add(time.Minute)))[0].Task]++
	}
	if got, want := started["compile/1"], 1; got != want {
		t.Errorf("got %d requests on the new replica at once, want %d", got, want)
	}
}
