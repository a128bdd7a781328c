package colocation

import (
	"math"
	"slices"
	"strconv"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

const (
	// warmUp is the time before the first request.
	warmUp = 30 * time.Second
	// workSigma is the standard deviation of the logarithm of a request's work.
	workSigma = 0.4
)

// replica is one running replica of a service.
type replica struct {
	running        *runningTask
	activeRequests int
}

// request is one request.
type request struct {
	id      heatherhub.RequestID
	arrived time.Time
	work    time.Duration
	replica *replica
}

// service sends the requests of one service to its replicas: the less busy of
// two random ones, at most its concurrency and the worker's slots.
type service struct {
	sim          *simulation
	traffic      Traffic
	deadline     time.Duration
	concurrency  int
	rateFactor   float64
	replicas     []*replica
	queue        []*request
	requestCount int
}

func newService(sim *simulation, t Traffic) *service {
	w := sim.snapshot.Workload(t.Service)
	return &service{sim: sim, traffic: t, deadline: w.Deadline, concurrency: w.Concurrency, rateFactor: 1}
}

func (sim *simulation) serviceByID(id heatherhub.WorkloadID) *service {
	i := slices.IndexFunc(sim.services, func(s *service) bool { return s.traffic.Service == id })
	return sim.services[i]
}

func (s *service) addReplica(t *runningTask) {
	s.replicas = append(s.replicas, &replica{running: t})
	s.sendQueued()
}

// removeReplica takes a replica out of the choice and returns it.
func (s *service) removeReplica(t *runningTask) *replica {
	i := slices.IndexFunc(s.replicas, func(p *replica) bool { return p.running == t })
	if i < 0 {
		return nil
	}
	p := s.replicas[i]
	s.replicas = slices.Delete(s.replicas, i, i+1)
	return p
}

// arrive takes one request and plans the next.
func (s *service) arrive() {
	rng := s.sim.trafficRand
	work := float64(s.traffic.Work) * math.Exp(workSigma*rng.NormFloat64())
	s.requestCount++
	c := &request{
		id:      heatherhub.RequestID(string(s.traffic.Service) + "-" + strconv.Itoa(s.requestCount)),
		arrived: s.sim.now,
		work:    time.Duration(work),
	}
	s.queue = append(s.queue, c)
	s.sendQueued()
	gap := rng.ExpFloat64() / (s.traffic.Rate * s.rateFactor)
	s.sim.scheduleAfter(time.Duration(gap*float64(time.Second)), s.arrive)
}

// sendQueued sends waiting requests while replicas are free.
func (s *service) sendQueued() {
	for len(s.queue) > 0 {
		c := s.queue[0]
		if s.sim.now.Sub(c.arrived) > s.deadline {
			s.queue = s.queue[1:]
			s.sim.stats.recordRequest(s, s.sim.now.Sub(c.arrived), false)
			continue
		}
		p := s.pickReplica()
		if p == nil {
			return
		}
		s.queue = s.queue[1:]
		s.send(c, p)
	}
}

func (s *service) pickReplica() *replica {
	n := len(s.replicas)
	if n == 0 {
		return nil
	}
	a, b := s.replicas[s.sim.trafficRand.IntN(n)], s.replicas[s.sim.trafficRand.IntN(n)]
	if b.activeRequests < a.activeRequests {
		a = b
	}
	if s.isFree(a) {
		return a
	}
	for _, p := range s.replicas {
		if s.isFree(p) {
			return p
		}
	}
	return nil
}

func (s *service) isFree(p *replica) bool {
	return p.activeRequests < s.concurrency && p.running.worker.activeRequests < workerSlots && p.running.worker.downAt.IsZero()
}

func (s *service) send(c *request, p *replica) {
	m := p.running.worker
	took, err := m.BeginRequest(s.sim.now, worker.Request{ID: c.id, Workload: s.traffic.Service, Task: p.running.task.ID}, c.work)
	if err != nil {
		s.sim.stats.recordRequest(s, s.deadline, false)
		return
	}
	c.replica = p
	p.activeRequests++
	m.activeRequests++
	s.sim.scheduleAfter(took, func() { s.finish(c) })
}

func (s *service) finish(c *request) {
	p := c.replica
	p.activeRequests--
	p.running.worker.activeRequests--
	err := p.running.worker.EndRequest(s.sim.now, c.id)
	s.sim.stats.recordRequest(s, s.sim.now.Sub(c.arrived), err == nil)
	for _, o := range s.sim.services {
		o.sendQueued()
	}
}
