package endpoint

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Offer takes in a new ticket. Its first decision is that of the ticket.
func (p *Pool) Offer(now time.Time, t Ticket) []Decision {
	out := p.freeExpiredSlots(now, nil)
	s := p.services[t.Workload]
	if s == nil || s.active(now) == 0 {
		return append([]Decision{refuse(t.ID, ReasonNoReplica, maxRetryAfter/5)}, out...)
	}
	e := p.estimate(now, s, t.Caller)
	left := t.Deadline.Sub(now)
	// One request is always let through, so that a service that has recovered
	// is noticed.
	if left <= 0 || s.inFlight > 0 && p.cfg.Admission.MissesDeadline(left, e) {
		return append([]Decision{refuse(t.ID, ReasonLate, e.QueueTime+p.cfg.Admission.TimeNeeded(e)-left)}, out...)
	}
	if s.queue.size == 0 {
		if r := p.pickReplica(now, s, t.Avoid); r != nil {
			return append([]Decision{p.start(s, t, r)}, out...)
		}
	}
	return append(p.enqueue(now, s, t, e), out...)
}

// enqueue lets a ticket wait, if need be in the place of another one.
func (p *Pool) enqueue(now time.Time, s *service, t Ticket, e Estimate) []Decision {
	latest := t.Deadline.Add(-p.cfg.Admission.TimeNeeded(e))
	decisions := []Decision{{Ticket: t.ID, Kind: Wait, LatestStart: latest}}
	if len(p.waiting) >= p.cfg.MaxQueue {
		victim := p.selectVictim(s, t.Caller)
		if victim == nil {
			return []Decision{refuse(t.ID, ReasonQueueFull, e.QueueTime)}
		}
		p.removeWaiter(victim)
		decisions = append(decisions, refuse(victim.ticket.ID, ReasonQueueFull, e.QueueTime))
	}
	w := &waiter{ticket: t}
	if s.queue.size == 0 {
		s.virtualTime = max(s.virtualTime, p.minVirtualTime())
	}
	s.queue.push(w)
	p.waiting[t.ID] = w
	return p.dispatch(now, decisions)
}

// selectVictim is the waiter that gives way to a new one when the queue is full: the
// newest one of a service of lower priority, or of a caller that has more
// waiting requests than the new one's. Nil means that nobody gives way.
func (p *Pool) selectVictim(s *service, caller string) *waiter {
	for i := len(p.byPriority) - 1; i >= 0; i-- {
		other := p.byPriority[i]
		if other.queue.size == 0 || other.Priority > s.Priority {
			continue
		}
		longest := other.queue.longest()
		if other.Priority < s.Priority {
			return longest.newest()
		}
		own := 0
		if l := s.queue.callers[caller]; l != nil {
			own = l.size
		}
		if longest.size > own+1 {
			return longest.newest()
		}
	}
	return nil
}

// minVirtualTime is the least virtual time among the services that wait.
func (p *Pool) minVirtualTime() float64 {
	least, found := 0.0, false
	for _, s := range p.byPriority {
		if s.queue.size > 0 && (!found || s.virtualTime < least) {
			least, found = s.virtualTime, true
		}
	}
	return least
}

func (p *Pool) removeWaiter(w *waiter) {
	p.services[w.ticket.Workload].queue.remove(w)
	delete(p.waiting, w.ticket.ID)
}

func refuse(id TicketID, why Reason, wait time.Duration) Decision {
	return Decision{Ticket: id, Kind: Refuse, Reason: why, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// pickReplica chooses a free replica, or nil. A replica whose ejection is over is tried
// with one request; until it has answered, it is otherwise the last resort.
func (p *Pool) pickReplica(now time.Time, s *service, avoid []heatherhub.TaskID) *Replica {
	free := s.candidates(now, p.cfg.SlowStart, avoid, p.scratch)
	p.scratch = free[:0]
	if len(free) == 0 {
		return nil
	}
	proven := 0
	for _, r := range free {
		if r.probing && !now.Before(r.probeAt) {
			return r
		}
		if !r.probing {
			free[proven] = r
			proven++
		}
	}
	if proven > 0 {
		free = free[:proven]
	}
	return free[s.policy.Choose(now, free)]
}

// start reserves a slot of the replica's worker.
func (p *Pool) start(s *service, t Ticket, r *Replica) Decision {
	r.inFlight++
	r.load.inFlight++
	s.inFlight++
	s.virtualTime += max(s.latency.mean, minLatency)
	p.running[t.ID] = &startedRequest{replica: r, deadline: t.Deadline}
	return Decision{Ticket: t.ID, Kind: Start, Task: r.task, Worker: r.workerID}
}

// dispatch starts waiting tickets while there are free replicas: by priority,
// then the service that was given least.
func (p *Pool) dispatch(now time.Time, out []Decision) []Decision {
	if len(p.waiting) == 0 {
		return out
	}
	blocked := make(map[*service]bool)
	for {
		s := p.nextService(blocked)
		if s == nil {
			return out
		}
		out = p.refuseLate(now, s, out)
		w := s.queue.peek()
		if w == nil {
			continue
		}
		r := p.pickReplica(now, s, w.ticket.Avoid)
		if r == nil {
			blocked[s] = true
			continue
		}
		s.queue.pop()
		delete(p.waiting, w.ticket.ID)
		out = append(out, p.start(s, w.ticket, r))
	}
}

func (p *Pool) nextService(blocked map[*service]bool) *service {
	var best *service
	for _, s := range p.byPriority {
		if s.queue.size == 0 || blocked[s] {
			continue
		}
		if best != nil && s.Priority < best.Priority {
			break
		}
		if best == nil || s.virtualTime < best.virtualTime {
			best = s
		}
	}
	return best
}

// refuseLate refuses the waiters at the head that can no longer be on time.
func (p *Pool) refuseLate(now time.Time, s *service, out []Decision) []Decision {
	need := p.timeNeeded(s)
	for {
		w := s.queue.peek()
		if w == nil || !w.ticket.Deadline.Before(now.Add(need)) {
			return out
		}
		s.queue.pop()
		delete(p.waiting, w.ticket.ID)
		out = append(out, refuse(w.ticket.ID, ReasonLate, p.estimate(now, s, w.ticket.Caller).QueueTime))
	}
}

// timeNeeded is the time that a request needs from its start. A service with nothing
// under way lets one request through whatever the estimate says.
func (p *Pool) timeNeeded(s *service) time.Duration {
	if s.inFlight == 0 {
		return 0
	}
	return p.cfg.Admission.TimeNeeded(Estimate{ServiceTime: seconds(s.latency.mean), Deviation: seconds(s.latency.deviation)})
}
