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
	// DefaultMaxQueue is the largest number of waiting requests of a shard.
	DefaultMaxQueue = 512
	// DefaultSlowStart is the time over which a new replica gets its full load.
	DefaultSlowStart = 5 * time.Second
	// DefaultLinger is how long after its deadline a lost request keeps its slot
	// if nothing shows that its replica has ended it.
	DefaultLinger = 10 * time.Second
	// DefaultEjectBase is the length of a first ejection; it doubles each time.
	DefaultEjectBase = 2 * time.Second
	// DefaultEjectMax is the longest ejection.
	DefaultEjectMax = 30 * time.Second
	// DefaultMaxEjected is the largest share of a service's replicas that is
	// ejected at once.
	DefaultMaxEjected heatherhub.Percent = 50
	// DefaultDeviations is the margin of the admission by deadline.
	DefaultDeviations = 3.0
	// controlConnections is kept free on each worker for commands.
	controlConnections = 4
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Config configures a Pool. Zero values mean the defaults.
type Config struct {
	// NewPicker makes the policy that chooses a replica of one service.
	NewPicker func() Policy[*Replica]
	Admission Admission
	// NewBreaker makes the breaker of one replica.
	NewBreaker func() Breaker
	MaxQueue   int
	SlowStart  time.Duration
	Linger     time.Duration
	EjectBase  time.Duration
	EjectMax   time.Duration
	MaxEjected heatherhub.Percent
}

func (cfg Config) withDefaults() Config {
	if cfg.NewPicker == nil {
		cfg.NewPicker = func() Policy[*Replica] { return &Least[*Replica]{Cost: PeakCost} }
	}
	if cfg.Admission == nil {
		cfg.Admission = ByDeadline{Deviations: DefaultDeviations}
	}
	if cfg.NewBreaker == nil {
		cfg.NewBreaker = func() Breaker { return &RatioBreaker{} }
	}
	heatherhub.SetDefault(&cfg.MaxQueue, DefaultMaxQueue)
	heatherhub.SetDefault(&cfg.SlowStart, DefaultSlowStart)
	heatherhub.SetDefault(&cfg.Linger, DefaultLinger)
	heatherhub.SetDefault(&cfg.EjectBase, DefaultEjectBase)
	heatherhub.SetDefault(&cfg.EjectMax, DefaultEjectMax)
	heatherhub.SetDefault(&cfg.MaxEjected, DefaultMaxEjected)
	return cfg
}

// run is a started request.
type run struct {
	replica  *Replica
	deadline time.Time
	// freeAt is when a lost request gives its slot back, or zero.
	freeAt time.Time
}

// Pool decides for the replicas of one shard.
type Pool struct {
	cfg      Config
	services map[heatherhub.WorkloadID]*service
	// order holds the services by priority and id.
	order   []*service
	workers map[heatherhub.WorkerID]*workerLoad
	waiting map[TicketID]*waiter
	running map[TicketID]*run
	// lost holds the tickets of lost requests that keep their slots.
	lost []TicketID
	buf  []*Replica
}

// NewPool returns a pool without services.
func NewPool(cfg Config) *Pool {
	return &Pool{
		cfg:      cfg.withDefaults(),
		services: make(map[heatherhub.WorkloadID]*service),
		workers:  make(map[heatherhub.WorkerID]*workerLoad),
		waiting:  make(map[TicketID]*waiter),
		running:  make(map[TicketID]*run),
	}
}

func (p *Pool) service(id heatherhub.WorkloadID) *service {
	s := p.services[id]
	if s == nil {
		s = &service{id: id, queue: newFairQueue(), picker: p.cfg.NewPicker(), Service: Service{Concurrency: 1}}
		p.services[id] = s
		p.order = append(p.order, s)
		p.sort()
	}
	return s
}

func (p *Pool) sort() {
	slices.SortFunc(p.order, func(a, b *service) int {
		if a.Priority != b.Priority {
			return int(b.Priority - a.Priority)
		}
		return strings.Compare(string(a.id), string(b.id))
	})
}

// SetService sets what the configuration says of a service.
func (p *Pool) SetService(id heatherhub.WorkloadID, s Service) {
	s.Concurrency = max(s.Concurrency, 1)
	old := p.service(id)
	if old.Service != s {
		old.Service = s
		p.sort()
	}
}

// SetEndpoints replaces the replicas of a service. What is under way on a
// replica that is gone still counts at its worker.
func (p *Pool) SetEndpoints(now time.Time, id heatherhub.WorkloadID, endpoints []Endpoint) []Decision {
	s := p.service(id)
	known := make(map[heatherhub.TaskID]*Replica, len(s.replicas))
	for _, r := range s.replicas {
		known[r.task] = r
	}
	first := len(s.replicas) == 0
	s.replicas = s.replicas[:0:0]
	for _, e := range endpoints {
		r := known[e.Task]
		if r == nil || r.id != e.Worker {
			r = p.newReplica(s, e)
			if !first {
				r.rampFrom = now
			}
		} else {
			delete(known, e.Task)
		}
		r.leaving = e.Leaving
		r.worker.limit = limitOf(e)
		s.replicas = append(s.replicas, r)
	}
	for _, r := range known {
		p.drop(r)
	}
	return p.dispatch(now, nil)
}

// limitOf is the number of requests that a worker may have under way.
func limitOf(e Endpoint) int {
	return max(0, min(e.Slots, e.Connections-controlConnections))
}

func (p *Pool) newReplica(s *service, e Endpoint) *Replica {
	w := p.workers[e.Worker]
	if w == nil {
		w = &workerLoad{}
		p.workers[e.Worker] = w
	}
	w.replicas++
	return &Replica{task: e.Task, id: e.Worker, worker: w, service: s, breaker: p.cfg.NewBreaker()}
}

func (p *Pool) drop(r *Replica) {
	r.gone = true
	r.worker.replicas--
	p.forget(r)
}

// forget drops a worker without replicas and without requests under way.
func (p *Pool) forget(r *Replica) {
	if r.worker.replicas == 0 && r.worker.inFlight == 0 {
		delete(p.workers, r.id)
	}
}

// InFlight returns the requests that hold a slot of a worker.
func (p *Pool) InFlight(id heatherhub.WorkerID) int {
	if w := p.workers[id]; w != nil {
		return w.inFlight
	}
	return 0
}

// Busy returns the requests that hold a slot of a replica.
func (p *Pool) Busy(id heatherhub.TaskID) int {
	n := 0
	for _, u := range p.running {
		if u.replica.task == id {
			n++
		}
	}
	return n
}

// Stats counts what a pool holds.
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

// Queued returns the number of waiting requests.
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

// estimate returns what a new request of a caller may expect.
func (p *Pool) estimate(now time.Time, s *service, caller string) Estimate {
	e := Estimate{Service: seconds(s.latency.m), Deviation: seconds(s.latency.dev)}
	free := len(s.candidates(now, p.cfg.SlowStart, nil, p.buf))
	if free > 0 && s.queue.n == 0 {
		return e
	}
	rounds := float64(s.queue.ahead(caller)+1) / float64(max(s.inFlight+free, 1))
	e.Wait = seconds(rounds * s.latency.m)
	return e
}

func seconds(f float64) time.Duration {
	return time.Duration(math.Min(f, maxSeconds) * float64(time.Second))
}

// maxSeconds keeps estimates inside the range of a duration.
const maxSeconds = 1e6
