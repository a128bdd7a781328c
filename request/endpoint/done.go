package endpoint

import (
	"time"
)

// Done ends a started ticket. A Lost one keeps its slot until a second Done
// proves that the replica has ended it, or until the linger time is over.
func (p *Pool) Done(now time.Time, id TicketID, res Result) []Decision {
	out := p.freeExpiredSlots(now, nil)
	u := p.running[id]
	if u == nil {
		return out
	}
	wasLost := !u.slotFreeAt.IsZero()
	if !wasLost {
		u.replica.service.inFlight--
		if res.Outcome != Unsent {
			p.recordOutcome(now, u.replica, res)
		}
	}
	switch {
	case res.Outcome != Lost:
		p.freeSlot(id, u)
	case !wasLost:
		p.holdSlot(now, id, u)
	}
	return p.dispatch(now, out)
}

// holdSlot holds the slot of a lost request for the linger time.
func (p *Pool) holdSlot(now time.Time, id TicketID, u *startedRequest) {
	u.slotFreeAt = now
	if u.deadline.After(now) {
		u.slotFreeAt = u.deadline
	}
	u.slotFreeAt = u.slotFreeAt.Add(p.cfg.LostSlotTimeout)
	p.lost = append(p.lost, id)
}

// freeSlot gives the slot of a run back.
func (p *Pool) freeSlot(id TicketID, u *startedRequest) {
	u.replica.inFlight--
	u.replica.load.inFlight--
	delete(p.running, id)
	if u.replica.removed {
		p.removeIdleWorker(u.replica)
	}
}

// Expire refuses a waiting ticket whose time is over or whose caller gave up. A
// ticket that does not wait is left alone.
func (p *Pool) Expire(now time.Time, id TicketID) []Decision {
	w := p.waiting[id]
	if w == nil {
		return nil
	}
	p.removeWaiter(w)
	e := p.estimate(now, p.services[w.ticket.Workload], w.ticket.Caller)
	return []Decision{refuse(id, ReasonLate, e.QueueTime)}
}

// Tick frees the slots of lost requests whose linger time is over, and starts
// what can start.
func (p *Pool) Tick(now time.Time) []Decision {
	return p.dispatch(now, p.freeExpiredSlots(now, nil))
}

func (p *Pool) freeExpiredSlots(now time.Time, out []Decision) []Decision {
	kept := p.lost[:0]
	freed := false
	for _, id := range p.lost {
		u := p.running[id]
		switch {
		case u == nil: // it ended after all
		case now.Before(u.slotFreeAt):
			kept = append(kept, id)
		default:
			p.freeSlot(id, u)
			freed = true
		}
	}
	p.lost = kept
	if freed {
		return p.dispatch(now, out)
	}
	return out
}

// recordOutcome takes what an outcome says of its replica. A failure that came fast must
// not make the replica look fast, so only whole answers lower its latency.
func (p *Pool) recordOutcome(now time.Time, r *Replica, res Result) {
	elapsed := res.Elapsed.Seconds()
	s := r.service
	if res.Outcome == Succeeded {
		r.peak.add(now, elapsed)
		s.latency.add(now, elapsed)
		p.updateEjection(now, r, true)
		return
	}
	r.peak.add(now, max(elapsed, r.peak.value(now)))
	if res.Outcome == Lost && elapsed < lostLatencyFactor*s.latency.mean {
		return // its caller's deadline was short; that says nothing of the replica
	}
	p.updateEjection(now, r, false)
}

// patience is the multiple of the usual latency after which a request without
// an answer counts against its replica.
const lostLatencyFactor = 2.0

// updateEjection ejects a replica that fails, and takes one back that answers. Below the
// floor a failing replica is not ejected, but only tried now and then while
// another one is free.
func (p *Pool) updateEjection(now time.Time, r *Replica, ok bool) {
	if ok && r.probing && !r.isEjected(now) {
		r.probing = false
		r.ejections = 0
		r.slowStartFrom = now
		r.breaker.Reset()
		return
	}
	tripped := r.breaker.Record(now, ok) || r.probing && !ok
	if !tripped || r.isEjected(now) {
		return
	}
	length := min(p.cfg.BaseEjectionTime<<min(r.ejections, maxDoublings), p.cfg.MaxEjectionTime)
	if r.service.canEject(now, p.cfg.MaxEjectionPercent) {
		r.ejectedUntil = now.Add(length)
	}
	r.probeAt = now.Add(length)
	r.ejections++
	r.probing = true
	r.breaker.Reset()
}

// maxDoublings bounds the exponent of the length of an ejection.
const maxDoublings = 16
