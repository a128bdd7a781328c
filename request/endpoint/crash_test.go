package endpoint_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/request/endpoint"
)

// crashPool is a pool whose replicas crash when they get the request with the fingerprint deadly.
type crashPool struct {
	*endpoint.Pool
	t    *testing.T
	now  time.Time
	next endpoint.TicketID
	// inFlight has the tickets on each replica.
	inFlight map[heatherhub.TaskID][]endpoint.TicketID
	crashes  int
}

const deadly = endpoint.Fingerprint(1)

func newCrashPool(t *testing.T, replicas, slots int) *crashPool {
	p := &crashPool{Pool: endpoint.NewPool(endpoint.Config{}), t: t, now: epoch, inFlight: make(map[heatherhub.TaskID][]endpoint.TicketID)}
	p.SetService(compile, endpoint.Service{Concurrency: slots})
	p.SetEndpoints(p.now, compile, endpoints(compile, replicas, slots))
	return p
}

// send offers a request and returns the decision on it. A deadly one ends the connections of its
// replica.
func (p *crashPool) send(id endpoint.Fingerprint) endpoint.Decision {
	p.now = p.now.Add(10 * time.Millisecond)
	p.next++
	d := p.Offer(p.now, endpoint.Ticket{ID: p.next, Workload: compile, Deadline: p.now.Add(time.Second), Fingerprint: id})[0]
	if d.Kind != endpoint.Start {
		return d
	}
	p.inFlight[d.Task] = append(p.inFlight[d.Task], d.Ticket)
	if id == deadly {
		p.crash(d.Task)
	}
	return d
}

// crash ends the connections of a replica, which is back at once.
func (p *crashPool) crash(task heatherhub.TaskID) {
	p.crashes++
	p.now = p.now.Add(10 * time.Millisecond)
	for _, id := range p.inFlight[task] {
		p.Done(p.now, id, endpoint.Result{Outcome: endpoint.Broken, Elapsed: 50 * time.Millisecond})
	}
	delete(p.inFlight, task)
}

// answer ends all requests in flight with answers.
func (p *crashPool) answer() {
	p.now = p.now.Add(10 * time.Millisecond)
	for task, ids := range p.inFlight {
		for _, id := range ids {
			p.Done(p.now, id, endpoint.Result{Outcome: endpoint.Succeeded, Elapsed: 50 * time.Millisecond})
		}
		delete(p.inFlight, task)
	}
}

// TestRequestThatCrashesReplicasIsRefused guards against a request that is sent to one replica after
// another although each of them crashes, and against refusals of the requests beside it.
func TestRequestThatCrashesReplicasIsRefused(t *testing.T) {
	p := newCrashPool(t, 8, 8)
	for round := range 12 {
		for i := range 20 {
			if d := p.send(endpoint.Fingerprint(100 + i)); d.Kind != endpoint.Start {
				t.Fatalf("round %d: innocent request %d: got decision %+v, want a start", round, i, d)
			}
		}
		d := p.send(deadly)
		if round >= 3 && (d.Kind != endpoint.Refuse || d.Reason != endpoint.ReasonHarmful || d.RetryAfter <= 0) {
			t.Errorf("round %d: got decision %+v on the deadly request, want a refusal as harmful", round, d)
		}
		p.answer()
	}
	if p.crashes > 3 {
		t.Errorf("got %d crashes, want at most 3", p.crashes)
	}
}

// TestInnocentRequestOnCrashingReplicasIsServed guards against a refusal of a request whose replicas
// crash by chance, with an answer in between.
func TestInnocentRequestOnCrashingReplicasIsServed(t *testing.T) {
	p := newCrashPool(t, 8, 8)
	for round := range 10 {
		d := p.send(7)
		if d.Kind != endpoint.Start {
			t.Fatalf("round %d: got decision %+v, want a start", round, d)
		}
		if round%2 == 0 {
			p.crash(d.Task)
		} else {
			p.answer()
		}
	}
}

// TestCrashOfAReplicaIsOneFailure guards against the ejection of a replica that is back, because
// several requests were on it when it crashed.
func TestCrashOfAReplicaIsOneFailure(t *testing.T) {
	p := newCrashPool(t, 2, 20)
	for i := range 30 {
		p.send(endpoint.Fingerprint(100 + i))
	}
	for _, task := range []heatherhub.TaskID{"compile/0", "compile/1"} {
		if n := len(p.inFlight[task]); n < 10 {
			t.Fatalf("got %d requests on %s, want at least 10", n, task)
		}
		p.crash(task)
	}
	if n := p.Ejected(p.now, compile); n != 0 {
		t.Errorf("got %d ejected replicas after one crash each, want 0", n)
	}
}

// TestSuspectedRequestEjectsNoReplica guards against healthy replicas that are ejected one after the
// other because of a request that crashes them.
func TestSuspectedRequestEjectsNoReplica(t *testing.T) {
	p := newCrashPool(t, 1, 4)
	for range 20 {
		p.send(deadly)
	}
	if n := p.Ejected(p.now, compile); n != 0 {
		t.Errorf("got %d ejected replicas, want 0", n)
	}
	if d := p.send(5); d.Kind != endpoint.Start {
		t.Errorf("got decision %+v on another request, want a start", d)
	}
}
