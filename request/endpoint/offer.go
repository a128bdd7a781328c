package endpoint

import (
	"slices"
	"time"
)

// Offer adds a new ticket. The first decision returned is the one on this ticket.
func (p *Pool) Offer(now time.Time, t Ticket) []Decision {
	out := p.freeExpiredSlots(now, nil)
	s := p.services[t.Workload]
	if s == nil || s.active(now) == 0 {
		return append([]Decision{refuse(t.ID, ReasonNoReplica, maxRetryAfter/5)}, out...)
	}
	if p.isHarmful(now, t.Fingerprint) {
		return append([]Decision{p.refuseHarmful(now, t)}, out...)
	}
	e := p.estimate(now, s, t.Caller)
	remaining := t.Deadline.Sub(now)
	// With nothing in flight the estimate is ignored, so that a request can show
	// that a slow service has recovered.
	if remaining <= 0 || s.inFlight > 0 && p.cfg.Admission.MissesDeadline(remaining, e) {
		return append([]Decision{refuse(t.ID, ReasonLate, e.QueueTime+p.cfg.Admission.TimeNeeded(e)-remaining)}, out...)
	}
	if s.queue.size == 0 {
		if r := p.pickReplica(now, s, t); r != nil {
			return append([]Decision{p.start(now, s, t, r)}, out...)
		}
	}
	return append(p.enqueue(now, s, t, e), out...)
}

// enqueue queues a ticket. If the queue is full, it refuses either the ticket or a
// queued one that it displaces.
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

// selectVictim returns the waiter that a new one displaces when the queue is full:
// the newest one of the longest caller queue of a service of lower priority, or of
// the same priority if that queue is longer than the new ticket's caller would
// have. Nil means that the new ticket is refused.
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
		if c := s.queue.callers[caller]; c != nil {
			own = c.size
		}
		if longest.size > own+1 {
			return longest.newest()
		}
	}
	return nil
}

// minVirtualTime returns the least virtual time among the services with queued
// tickets. A service whose queue was empty starts from it, so that idle time gives
// no credit.
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

func (p *Pool) refuseHarmful(now time.Time, t Ticket) Decision {
	return Decision{Ticket: t.ID, Kind: Refuse, Reason: ReasonHarmful, RetryAfter: p.harmfulRetryAfter(now, t.Fingerprint)}
}

func refuse(id TicketID, reason Reason, wait time.Duration) Decision {
	return Decision{Ticket: id, Kind: Refuse, Reason: reason, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// pickReplica chooses a replica with capacity, or returns nil. A probing replica
// comes first once its probe is due, and otherwise only if no other one has
// capacity. A suspected request goes to a replica without another suspect, if there is one.
func (p *Pool) pickReplica(now time.Time, s *service, t Ticket) *Replica {
	free := s.candidates(now, p.cfg.SlowStart, t.Avoid, p.scratch)
	p.scratch = free[:0]
	if len(free) == 0 {
		return nil
	}
	if p.isSuspect(now, t) {
		hasOther := func(r *Replica) bool { return p.hasOtherSuspect(r, t.Fingerprint) }
		if apart := slices.DeleteFunc(slices.Clone(free), hasOther); len(apart) > 0 {
			free = apart
		}
	}
	healthy := 0
	for _, r := range free {
		if r.probing && !now.Before(r.probeAt) {
			return r
		}
		if !r.probing {
			free[healthy] = r
			healthy++
		}
	}
	if healthy > 0 {
		free = free[:healthy]
	}
	return free[s.policy.Choose(now, free)]
}

// start takes a slot of the replica and of its worker.
func (p *Pool) start(now time.Time, s *service, t Ticket, r *Replica) Decision {
	r.inFlight++
	r.load.inFlight++
	s.inFlight++
	s.virtualTime += max(s.latency.mean, minLatency)
	req := &startedRequest{replica: r, deadline: t.Deadline, ticket: t, startedAt: now, isSuspect: p.isSuspect(now, t)}
	if req.isSuspect {
		r.suspects[t.Fingerprint]++
	}
	p.running[t.ID] = req
	return Decision{Ticket: t.ID, Kind: Start, Task: r.task, Worker: r.workerID}
}

// dispatch starts queued tickets while there are replicas with capacity: the
// highest priority first, then the service with the least virtual time.
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
		if p.isHarmful(now, w.ticket.Fingerprint) {
			p.removeWaiter(w)
			out = append(out, p.refuseHarmful(now, w.ticket))
			continue
		}
		r := p.pickReplica(now, s, w.ticket)
		if r == nil {
			blocked[s] = true
			continue
		}
		s.queue.pop()
		delete(p.waiting, w.ticket.ID)
		out = append(out, p.start(now, s, w.ticket, r))
	}
}

// nextService returns the service to serve next, or nil. Blocked services have no
// replica with capacity.
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

// refuseLate refuses waiters at the head of the queue that would miss their
// deadline.
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

// timeNeeded returns the time that a request needs from its start. It is zero for a
// service with nothing in flight, which lets one request through whatever the
// estimate.
func (p *Pool) timeNeeded(s *service) time.Duration {
	if s.inFlight == 0 {
		return 0
	}
	return p.cfg.Admission.TimeNeeded(Estimate{ServiceTime: seconds(s.latency.mean), Deviation: seconds(s.latency.deviation)})
}
