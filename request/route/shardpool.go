package route

import (
	"context"
	"sync"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/request/endpoint"
)

const (
	// refreshInterval is the least time between two reads of a service's replicas
	// and settings.
	refreshInterval = 100 * time.Millisecond
	// tickInterval is how often a queued request updates the pool and checks its
	// latest start.
	tickInterval = 50 * time.Millisecond
)

// shardPool guards the pool of one shard with a lock, and passes decisions on to the
// goroutines of queued requests.
type shardPool struct {
	id  heatherhub.ShardID
	cfg *OwnerConfig

	// mu guards the fields below.
	mu          sync.Mutex
	pool        *endpoint.Pool
	lastTicket  endpoint.TicketID
	waiting     map[endpoint.TicketID]chan endpoint.Decision
	refreshedAt map[heatherhub.WorkloadID]time.Time
}

func newShardPool(id heatherhub.ShardID, cfg *OwnerConfig) *shardPool {
	return &shardPool{
		id: id, cfg: cfg, pool: endpoint.NewPool(cfg.Endpoint),
		waiting:     make(map[endpoint.TicketID]chan endpoint.Decision),
		refreshedAt: make(map[heatherhub.WorkloadID]time.Time),
	}
}

// notify sends final decisions to the queued requests that they are about.
func (p *shardPool) notify(decisions []endpoint.Decision) {
	for _, d := range decisions {
		if d.Kind == endpoint.Wait {
			continue
		}
		if ch := p.waiting[d.Ticket]; ch != nil {
			delete(p.waiting, d.Ticket)
			ch <- d
		}
	}
}

// refresh updates the service's replicas and settings in the pool, at most once in
// refreshInterval.
func (p *shardPool) refresh(now time.Time, id heatherhub.WorkloadID) {
	if last, ok := p.refreshedAt[id]; ok && now.Sub(last) < refreshInterval {
		return
	}
	p.refreshedAt[id] = now
	if s := p.cfg.Directory.Snapshot(); s != nil {
		p.pool.SetService(id, serviceSettings(s, id))
	}
	var list []endpoint.Endpoint
	for _, r := range p.cfg.Replicas.Replicas(id) {
		if r.Shard == p.id {
			list = append(list, endpoint.Endpoint{
				Task: r.Task, Worker: r.Worker, Slots: r.Slots, Connections: r.Connections, Draining: r.Draining,
			})
		}
	}
	p.notify(p.pool.SetEndpoints(now, id, list))
}

// serviceSettings returns the settings of a service in a snapshot.
func serviceSettings(s *heatherhub.Snapshot, id heatherhub.WorkloadID) endpoint.Service {
	out := endpoint.Service{Concurrency: 1}
	if w := s.Workload(id); w != nil {
		out.Concurrency = w.Concurrency
	}
	if preset := s.PresetInForce(); preset != nil {
		setting, _ := preset.Service(id)
		out.Priority = setting.Priority
	}
	return out
}

// offer adds a request to the pool and returns the decision. If that is Wait, the
// channel receives the final decision; otherwise it is nil.
func (p *shardPool) offer(c ServeCall, remaining time.Duration) (endpoint.Decision, chan endpoint.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.refresh(now, c.Workload)
	p.lastTicket++
	id := p.lastTicket
	decisions := p.pool.Offer(now, endpoint.Ticket{
		ID: id, Workload: c.Workload, Caller: c.Caller, Deadline: now.Add(remaining), Avoid: c.Avoid,
		Fingerprint: c.fingerprint(), Broken: c.Broken,
	})
	var ch chan endpoint.Decision
	if decisions[0].Kind == endpoint.Wait {
		ch = make(chan endpoint.Decision, 1)
		p.waiting[id] = ch
	}
	p.notify(decisions[1:])
	return decisions[0], ch
}

// acquire waits for a replica and returns a Start or Refuse decision. A Start must
// be followed by done.
func (p *shardPool) acquire(ctx context.Context, c ServeCall, remaining time.Duration) endpoint.Decision {
	d, ch := p.offer(c, remaining)
	for ch != nil {
		timer := p.cfg.Clock.NewTimer(tickInterval)
		select {
		case d = <-ch:
			ch = nil
		case <-timer.Chan():
			p.tick(d, c.Workload)
		case <-ctx.Done():
			p.expire(d.Ticket)
			d = <-ch
			ch = nil
		}
		timer.Stop()
	}
	return d
}

// tick updates the pool, and refuses a queued ticket that would miss its deadline.
func (p *shardPool) tick(d endpoint.Decision, id heatherhub.WorkloadID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.refresh(now, id)
	p.notify(p.pool.Tick(now))
	if !now.Before(d.LatestStart) {
		p.notify(p.pool.Expire(now, d.Ticket))
	}
}

// expire refuses a queued ticket whose caller no longer waits.
func (p *shardPool) expire(id endpoint.TicketID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(p.pool.Expire(p.cfg.Clock.Now(), id))
}

// done reports the end of a started ticket.
func (p *shardPool) done(id endpoint.TicketID, res endpoint.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(p.pool.Done(p.cfg.Clock.Now(), id, res))
}

func (p *shardPool) stats() endpoint.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Stats(p.cfg.Clock.Now())
}

// hasReplica reports whether the shard has a replica of a service that is not
// draining.
func (p *shardPool) hasReplica(id heatherhub.WorkloadID) bool {
	for _, r := range p.cfg.Replicas.Replicas(id) {
		if r.Shard == p.id && !r.Draining {
			return true
		}
	}
	return false
}
