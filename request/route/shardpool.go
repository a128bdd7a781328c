package route

import (
	"context"
	"sync"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/request/endpoint"
)

const (
	// refreshInterval is the time between two looks at a service's replicas.
	refreshInterval = 100 * time.Millisecond
	// tickInterval is the longest sleep of a waiting request.
	tickInterval = 50 * time.Millisecond
)

// shardPool guards the pool of one shard with its lock and wakes waiting
// requests.
type shardPool struct {
	id  heatherhub.ShardID
	cfg *OwnerConfig

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

// notify wakes the requests that decisions are about.
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

// refresh tells the pool of the service's replicas and settings.
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

// offer takes a request in. The channel gets the later decision about a ticket
// that waits.
func (p *shardPool) offer(c ServeCall, left time.Duration) (endpoint.Decision, chan endpoint.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.refresh(now, c.Workload)
	p.lastTicket++
	id := p.lastTicket
	decisions := p.pool.Offer(now, endpoint.Ticket{
		ID: id, Workload: c.Workload, Caller: c.Caller, Deadline: now.Add(left), Avoid: c.Avoid,
	})
	var ch chan endpoint.Decision
	if decisions[0].Kind == endpoint.Wait {
		ch = make(chan endpoint.Decision, 1)
		p.waiting[id] = ch
	}
	p.notify(decisions[1:])
	return decisions[0], ch
}

// acquire waits for a replica. A Start must be followed by done.
func (p *shardPool) acquire(ctx context.Context, c ServeCall, left time.Duration) endpoint.Decision {
	d, ch := p.offer(c, left)
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

// tick moves the pool on, and ends a ticket that can no longer be on time.
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

func (p *shardPool) expire(id endpoint.TicketID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(p.pool.Expire(p.cfg.Clock.Now(), id))
}

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

// hasReplica reports whether the shard hasReplica a replica of a service that takes requests.
func (p *shardPool) hasReplica(id heatherhub.WorkloadID) bool {
	for _, r := range p.cfg.Replicas.Replicas(id) {
		if r.Shard == p.id && !r.Draining {
			return true
		}
	}
	return false
}
