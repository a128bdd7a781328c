package endpoint

import (
	"time"

	"heatherhub.example/heatherhub"
)

// A request may crash each replica that it is sent to, and its caller sends it again. All requests
// that were on a replica when its connections ended are suspects. A suspected request is sent to a
// replica without another suspect, so its next crash convicts it and an answer clears it. A request
// that has crashed several replicas as the only suspect is refused for a while.

// Limits of the search for requests that crash their replicas.
const (
	// maxIsolatedBreaks is the number of replicas that a suspected request may crash as the only
	// suspect.
	maxIsolatedBreaks = 2
	// suspicionTTL is how long a request is suspected, or refused, after the last crash.
	suspicionTTL = time.Minute
	// maxSuspicions bounds the suspected requests of a pool.
	maxSuspicions = 4096
)

// Fingerprint identifies equal requests: those of one service with the same body. Zero stands for
// none.
type Fingerprint uint64

// suspicion is what is known of a request that was on a replica whose connections ended.
type suspicion struct {
	// replicas are those that it has crashed as the only suspect.
	replicas []heatherhub.TaskID
	lastAt   time.Time
}

// isHarmful reports whether a request crashes its replicas, so that it is refused.
func (p *Pool) isHarmful(now time.Time, id Fingerprint) bool {
	s := p.suspicionOf(now, id)
	return s != nil && len(s.replicas) >= maxIsolatedBreaks
}

// suspicionOf returns the suspicion of a request, or nil.
func (p *Pool) suspicionOf(now time.Time, id Fingerprint) *suspicion {
	s := p.suspicions[id]
	if s == nil || id == 0 || now.Sub(s.lastAt) >= suspicionTTL {
		return nil
	}
	return s
}

// isSuspect reports whether a ticket is kept apart from other suspects.
func (p *Pool) isSuspect(now time.Time, t Ticket) bool {
	return t.Fingerprint != 0 && (t.Broken || p.suspicionOf(now, t.Fingerprint) != nil)
}

// hasOtherSuspect reports whether a replica serves a suspected request other than id.
func (p *Pool) hasOtherSuspect(r *Replica, id Fingerprint) bool {
	for other, n := range r.suspects {
		if other != id && n > 0 {
			return true
		}
	}
	return false
}

// recordBreak records that the connection of a request ended before its answer. It reports whether
// the replica may be at fault: a replica that crashes ends the connections of all requests on it,
// which counts once, and not at all if a suspected request was on it.
func (p *Pool) recordBreak(now time.Time, req *startedRequest) bool {
	r, id := req.replica, req.ticket.Fingerprint
	isSole := req.isSuspect && !p.hasOtherSuspect(r, id)
	if id != 0 {
		p.suspect(now, id, r, isSole)
	}
	isSameCrash := !req.startedAt.After(r.brokenAt)
	hadSuspect := req.isSuspect || p.hasOtherSuspect(r, id)
	if !isSameCrash {
		r.brokenAt = now
	}
	return !isSameCrash && !hadSuspect
}

// suspect adds to the suspicion of a request. isSole says that it was the only suspect there.
func (p *Pool) suspect(now time.Time, id Fingerprint, r *Replica, isSole bool) {
	if len(p.suspicions) >= maxSuspicions {
		for other, s := range p.suspicions {
			if now.Sub(s.lastAt) >= suspicionTTL {
				delete(p.suspicions, other)
			}
		}
	}
	s := p.suspicionOf(now, id)
	if s == nil {
		if len(p.suspicions) >= maxSuspicions {
			return
		}
		s = &suspicion{}
		p.suspicions[id] = s
	}
	s.lastAt = now
	if isSole {
		s.replicas = append(s.replicas, r.task)
	}
}

// harmfulRetryAfter returns when a refused request may be sent again.
func (p *Pool) harmfulRetryAfter(now time.Time, id Fingerprint) time.Duration {
	return suspicionTTL - now.Sub(p.suspicions[id].lastAt)
}
