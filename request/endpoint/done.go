package endpoint

import (
	"time"
)

// Done reports the end of a started ticket. A Lost one keeps its slot until a
// second Done with another outcome proves that the replica has ended it, or until
// Config.LostSlotTimeout has passed.
func (p *Pool) Done(now time.Time, id TicketID, res Result) []Decision {
	out := p.freeExpiredSlots(now, nil)
	req := p.running[id]
	if req == nil {
		return out
	}
	wasLost := !req.slotFreeAt.IsZero()
	if !wasLost {
		req.replica.service.inFlight--
		p.recordEnd(now, req, res)
	}
	switch {
	case res.Outcome != Lost && res.Outcome != Broken:
		p.freeSlot(id, req)
	case !wasLost:
		p.holdSlot(now, id, req)
	}
	return p.dispatch(now, out)
}

// recordEnd records the first outcome of a request.
func (p *Pool) recordEnd(now time.Time, req *startedRequest, res Result) {
	isReplicaFault := true
	switch res.Outcome {
	case Unsent:
		isReplicaFault = false
	case Broken:
		isReplicaFault = p.recordBreak(now, req)
	case Succeeded, Failed:
		delete(p.suspicions, req.ticket.Fingerprint)
	}
	if req.isSuspect {
		r := req.replica
		if r.suspects[req.ticket.Fingerprint]--; r.suspects[req.ticket.Fingerprint] == 0 {
			delete(r.suspects, req.ticket.Fingerprint)
		}
	}
	if isReplicaFault {
		p.recordOutcome(now, req.replica, res)
	}
}

// holdSlot keeps the slot of a lost request for Config.LostSlotTimeout after its
// deadline.
func (p *Pool) holdSlot(now time.Time, id TicketID, req *startedRequest) {
	req.slotFreeAt = now
	if req.deadline.After(now) {
		req.slotFreeAt = req.deadline
	}
	req.slotFreeAt = req.slotFreeAt.Add(p.cfg.LostSlotTimeout)
	p.lost = append(p.lost, id)
}

// freeSlot frees the slot of a request.
func (p *Pool) freeSlot(id TicketID, req *startedRequest) {
	req.replica.inFlight--
	req.replica.load.inFlight--
	delete(p.running, id)
	if req.replica.removed {
		p.removeIdleWorker(req.replica)
	}
}

// Expire refuses a queued ticket whose latest start has passed or whose caller has
// cancelled it. It ignores a ticket that is not queued.
func (p *Pool) Expire(now time.Time, id TicketID) []Decision {
	w := p.waiting[id]
	if w == nil {
		return nil
	}
	p.removeWaiter(w)
	e := p.estimate(now, p.services[w.ticket.Workload], w.ticket.Caller)
	return []Decision{refuse(id, ReasonLate, e.QueueTime)}
}

// Tick frees the slots of lost requests whose timeout has passed, and starts queued
// tickets for which there is capacity.
func (p *Pool) Tick(now time.Time) []Decision {
	return p.dispatch(now, p.freeExpiredSlots(now, nil))
}

// freeExpiredSlots frees the slots of lost requests whose timeout has passed. If it
// freed one, it also starts queued tickets.
func (p *Pool) freeExpiredSlots(now time.Time, out []Decision) []Decision {
	kept := p.lost[:0]
	freed := false
	for _, id := range p.lost {
		req := p.running[id]
		switch {
		case req == nil: // a second Done has freed the slot
		case now.Before(req.slotFreeAt):
			kept = append(kept, id)
		default:
			p.freeSlot(id, req)
			freed = true
		}
	}
	p.lost = kept
	if freed {
		return p.dispatch(now, out)
	}
	return out
}

// recordOutcome updates the latency and the breaker of a replica. Only successes
// lower the latency, so that fast failures don't make a replica look fast.
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
	if (res.Outcome == Lost || res.Outcome == Broken) && elapsed < lostLatencyFactor*s.latency.mean {
		return // the caller's deadline was too short to blame the replica
	}
	p.updateEjection(now, r, false)
}

// lostLatencyFactor is the multiple of the mean latency from which on a lost
// request counts as a failure of its replica.
const lostLatencyFactor = 2.0

// updateEjection ejects a replica whose breaker trips, and ends the probing of one
// that answers. If Config.MaxEjectionPercent prevents an ejection, the replica is
// only probed: until it succeeds it gets other requests only while no other
// replica is free.
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

// maxDoublings bounds the exponent of the ejection time against overflow.
const maxDoublings = 16
