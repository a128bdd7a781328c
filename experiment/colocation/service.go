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
	// warmUp is the time from the start of the run to the first requests.
	warmUp = 30 * time.Second
	// workSigma is the standard deviation of the logarithm of a request's service time.
	workSigma = 0.4
)

// replica is a running replica of a service.
type replica struct {
	running *runningTask
	// activeRequests counts the requests that this replica processes.
	activeRequests int
}

// request is a request to a service. Its replica is nil until it is sent.
type request struct {
	id      heatherhub.RequestID
	arrived time.Time
	work    time.Duration
	replica *replica
}

// service generates the requests of one service and sends them to its replicas. It
// prefers the less busy of two random replicas, and respects the concurrency of the
// service and the slots of each worker.
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

// removeReplica stops sending requests to a replica and returns it, or nil if it has been
// removed before.
func (s *service) removeReplica(t *runningTask) *replica {
	i := slices.IndexFunc(s.replicas, func(rep *replica) bool { return rep.running == t })
	if i < 0 {
		return nil
	}
	rep := s.replicas[i]
	s.replicas = slices.Delete(s.replicas, i, i+1)
	return rep
}

// arrive creates a request and schedules the next arrival.
func (s *service) arrive() {
	rng := s.sim.trafficRand
	work := float64(s.traffic.Work) * math.Exp(workSigma*rng.NormFloat64())
	s.requestCount++
	r := &request{
		id:      heatherhub.RequestID(string(s.traffic.Service) + "-" + strconv.Itoa(s.requestCount)),
		arrived: s.sim.now,
		work:    time.Duration(work),
	}
	s.queue = append(s.queue, r)
	s.sendQueued()
	gap := rng.ExpFloat64() / (s.traffic.Rate * s.rateFactor)
	s.sim.scheduleAfter(time.Duration(gap*float64(time.Second)), s.arrive)
}

// sendQueued sends queued requests while a replica is free. It drops requests whose
// deadline has passed.
func (s *service) sendQueued() {
	for len(s.queue) > 0 {
		r := s.queue[0]
		if s.sim.now.Sub(r.arrived) > s.deadline {
			s.queue = s.queue[1:]
			s.sim.stats.recordRequest(s, s.sim.now.Sub(r.arrived), false)
			continue
		}
		rep := s.pickReplica()
		if rep == nil {
			return
		}
		s.queue = s.queue[1:]
		s.send(r, rep)
	}
}

// pickReplica returns a replica that can take a request, or nil if there is none.
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
	for _, rep := range s.replicas {
		if s.isFree(rep) {
			return rep
		}
	}
	return nil
}

func (s *service) isFree(rep *replica) bool {
	return rep.activeRequests < s.concurrency && rep.running.worker.activeRequests < workerSlots && rep.running.worker.downAt.IsZero()
}

func (s *service) send(r *request, rep *replica) {
	w := rep.running.worker
	took, err := w.BeginRequest(s.sim.now, worker.Request{ID: r.id, Workload: s.traffic.Service, Task: rep.running.task.ID}, r.work)
	if err != nil {
		s.sim.stats.recordRequest(s, s.deadline, false)
		return
	}
	r.replica = rep
	rep.activeRequests++
	w.activeRequests++
	s.sim.scheduleAfter(took, func() { s.finish(r) })
}

// finish ends a request. As this frees a slot of the worker, it sends queued requests of
// all services.
func (s *service) finish(r *request) {
	rep := r.replica
	rep.activeRequests--
	rep.running.worker.activeRequests--
	err := rep.running.worker.EndRequest(s.sim.now, r.id)
	s.sim.stats.recordRequest(s, s.sim.now.Sub(r.arrived), err == nil)
	for _, o := range s.sim.services {
		o.sendQueued()
	}
}
