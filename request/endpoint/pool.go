package endpoint

import (
	"math"
	"slices"
	"strings"
	"time"

	"heatherhub.example/heatherhub"
)

// Defaults of a pool.
const (
	// DefaultMaxQueue is the largest number of queued requests of a shard.
	DefaultMaxQueue = 512
	// DefaultSlowStart is the time over which the concurrency of a new or recovered
	// replica rises to its limit.
	DefaultSlowStart = 5 * time.Second
	// DefaultLostSlotTimeout is how long after its deadline a lost request keeps its
	// slot if nothing proves that its replica has ended it.
	DefaultLostSlotTimeout = 10 * time.Second
	// DefaultBaseEjectionTime is the length of the first ejection. It doubles with
	// each further one until the replica recovers.
	DefaultBaseEjectionTime = 2 * time.Second
	// DefaultMaxEjectionTime is the longest ejection.
	DefaultMaxEjectionTime = 30 * time.Second
	// DefaultMaxEjectionPercent is the largest share of a service's replicas that
	// may be ejected at once.
	DefaultMaxEjectionPercent heatherhub.Percent = 50
	// DefaultDeviations is DeadlineAdmission.Deviations of the default admission.
	DefaultDeviations = 3.0
	// controlConnections is the number of connections of each worker that are kept
	// free for commands to it.
	controlConnections = 4
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Config configures a Pool. Zero values mean the defaults.
type Config struct {
	// NewPolicy returns the load balancing policy of one service.
	NewPolicy func() Policy[*Replica]
	Admission Admission
	// NewBreaker returns the breaker of one replica.
	NewBreaker         func() Breaker
	MaxQueue           int
	SlowStart          time.Duration
	LostSlotTimeout    time.Duration
	BaseEjectionTime   time.Duration
	MaxEjectionTime    time.Duration
	MaxEjectionPercent heatherhub.Percent
}

func (cfg Config) withDefaults() Config {
	if cfg.NewPolicy == nil {
		cfg.NewPolicy = func() Policy[*Replica] { return &LeastCost[*Replica]{Cost: PeakEWMACost} }
	}
	if cfg.Admission == nil {
		cfg.Admission = DeadlineAdmission{Deviations: DefaultDeviations}
	}
	if cfg.NewBreaker == nil {
		cfg.NewBreaker = func() Breaker { return &RatioBreaker{} }
	}
	heatherhub.SetDefault(&cfg.MaxQueue, DefaultMaxQueue)
	heatherhub.SetDefault(&cfg.SlowStart, DefaultSlowStart)
	heatherhub.SetDefault(&cfg.LostSlotTimeout, DefaultLostSlotTimeout)
	heatherhub.SetDefault(&cfg.BaseEjectionTime, DefaultBaseEjectionTime)
	heatherhub.SetDefault(&cfg.MaxEjectionTime, DefaultMaxEjectionTime)
	heatherhub.SetDefault(&cfg.MaxEjectionPercent, DefaultMaxEjectionPercent)
	return cfg
}

// startedRequest is a request that holds a slot.
type startedRequest struct {
	replica  *Replica
	deadline time.Time
	ticket   Ticket
	// startedAt is when it was sent, and isSuspect says that it was suspected then.
	startedAt time.Time
	isSuspect bool
	// slotFreeAt is when the slot of a lost request is freed. It is zero until the
	// request is lost.
	slotFreeAt time.Time
}

// Pool queues requests and assigns them to the replicas of one shard.
type Pool struct {
	cfg      Config
	services map[heatherhub.WorkloadID]*service
	// byPriority holds the services, the highest priority first, then by id.
	byPriority []*service
	workers    map[heatherhub.WorkerID]*workerLoad
	waiting    map[TicketID]*waiter
	running    map[TicketID]*startedRequest
	// suspicions are the requests that were on replicas whose connections ended.
	suspicions map[Fingerprint]*suspicion
	// lost holds the tickets of lost requests that keep their slots.
	lost []TicketID
	// scratch is reused for lists of candidates.
	scratch []*Replica
}

// NewPool returns a pool without services.
func NewPool(cfg Config) *Pool {
	return &Pool{
		cfg:      cfg.withDefaults(),
		services: make(map[heatherhub.WorkloadID]*service),
		workers:  make(map[heatherhub.WorkerID]*workerLoad),
		waiting:  make(map[TicketID]*waiter),
		running:  make(map[TicketID]*startedRequest), suspicions: make(map[Fingerprint]*suspicion),
	}
}

// ensureService returns the state of a service, which it adds if it is new.
func (p *Pool) ensureService(id heatherhub.WorkloadID) *service {
	s := p.services[id]
	if s == nil {
		s = &service{id: id, queue: newFairQueue(), policy: p.cfg.NewPolicy(), Service: Service{Concurrency: 1}}
		p.services[id] = s
		p.byPriority = append(p.byPriority, s)
		p.sortServices()
	}
	return s
}

func (p *Pool) sortServices() {
	slices.SortFunc(p.byPriority, func(a, b *service) int {
		if a.Priority != b.Priority {
			return int(b.Priority - a.Priority)
		}
		return strings.Compare(string(a.id), string(b.id))
	})
}

// SetService sets the settings of a service.
func (p *Pool) SetService(id heatherhub.WorkloadID, s Service) {
	s.Concurrency = max(s.Concurrency, 1)
	old := p.ensureService(id)
	if old.Service != s {
		old.Service = s
		p.sortServices()
	}
}

// SetEndpoints replaces the replicas of a service. Requests in flight on a removed
// replica still count towards the load of its worker.
func (p *Pool) SetEndpoints(now time.Time, id heatherhub.WorkloadID, endpoints []Endpoint) []Decision {
	s := p.ensureService(id)
	known := make(map[heatherhub.TaskID]*Replica, len(s.replicas))
	for _, r := range s.replicas {
		known[r.task] = r
	}
	first := len(s.replicas) == 0
	s.replicas = s.replicas[:0:0]
	for _, e := range endpoints {
		r := known[e.Task]
		if r == nil || r.workerID != e.Worker {
			r = p.newReplica(s, e)
			if !first {
				r.slowStartFrom = now
			}
		} else {
			delete(known, e.Task)
		}
		r.draining = e.Draining
		r.load.limit = workerLimit(e)
		s.replicas = append(s.replicas, r)
	}
	for _, r := range known {
		p.removeReplica(r)
	}
	return p.dispatch(now, nil)
}

// workerLimit returns the number of requests that a worker may have in flight.
func workerLimit(e Endpoint) int {
	return max(0, min(e.Slots, e.Connections-controlConnections))
}

func (p *Pool) newReplica(s *service, e Endpoint) *Replica {
	w := p.workers[e.Worker]
	if w == nil {
		w = &workerLoad{}
		p.workers[e.Worker] = w
	}
	w.replicas++
	return &Replica{task: e.Task, workerID: e.Worker, load: w, service: s, breaker: p.cfg.NewBreaker(), suspects: make(map[Fingerprint]int)}
}

func (p *Pool) removeReplica(r *Replica) {
	r.removed = true
	r.load.replicas--
	p.removeIdleWorker(r)
}

// removeIdleWorker removes the worker of a replica if it has neither replicas nor
// requests in flight.
func (p *Pool) removeIdleWorker(r *Replica) {
	if r.load.replicas == 0 && r.load.inFlight == 0 {
		delete(p.workers, r.workerID)
	}
}

// InFlight returns the number of requests that hold a slot of a worker.
func (p *Pool) InFlight(id heatherhub.WorkerID) int {
	if w := p.workers[id]; w != nil {
		return w.inFlight
	}
	return 0
}

// ReplicaInFlight returns the number of requests that hold a slot of a replica.
func (p *Pool) ReplicaInFlight(id heatherhub.TaskID) int {
	n := 0
	for _, req := range p.running {
		if req.replica.task == id {
			n++
		}
	}
	return n
}

// Stats counts queued requests, requests in flight and ejected replicas of a pool.
type Stats struct {
	Queued   int
	InFlight int
	Ejected  int
}

// Stats returns the counts over all services.
func (p *Pool) Stats(now time.Time) Stats {
	s := Stats{Queued: len(p.waiting), InFlight: len(p.running)}
	for id := range p.services {
		s.Ejected += p.Ejected(now, id)
	}
	return s
}

// Queued returns the number of queued requests.
func (p *Pool) Queued() int {
	return len(p.waiting)
}

// Ejected returns the number of ejected replicas of a service.
func (p *Pool) Ejected(now time.Time, id heatherhub.WorkloadID) int {
	n := 0
	if s := p.services[id]; s != nil {
		for _, r := range s.replicas {
			if r.isEjected(now) {
				n++
			}
		}
	}
	return n
}

// estimate returns the expected latency of a new request of a caller.
func (p *Pool) estimate(now time.Time, s *service, caller string) Estimate {
	e := Estimate{ServiceTime: seconds(s.latency.mean), Deviation: seconds(s.latency.deviation)}
	free := len(s.candidates(now, p.cfg.SlowStart, nil, p.scratch))
	if free > 0 && s.queue.size == 0 {
		return e
	}
	rounds := float64(s.queue.countAhead(caller)+1) / float64(max(s.inFlight+free, 1))
	e.QueueTime = seconds(rounds * s.latency.mean)
	return e
}

func seconds(f float64) time.Duration {
	return time.Duration(math.Min(f, maxEstimateSeconds) * float64(time.Second))
}

// maxEstimateSeconds keeps estimates within the range of time.Duration.
const maxEstimateSeconds = 1e6
