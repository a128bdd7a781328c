package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
)

// sessionStage is how far a session has been established.
type sessionStage int

const (
	sessionNone sessionStage = iota
	// sessionGranted has a lease, but its key is not written yet.
	sessionGranted
	// sessionHeld has its key in the store; the lease is renewed.
	sessionHeld
	// sessionEnded is final.
	sessionEnded
)

// session is the host's lease in the store. Its key shows other hosts that this one
// is alive. Its validity ends at least ClockMargin before the store can let the lease
// lapse.
type session struct {
	cfg            *Config
	stage          sessionStage
	id             store.LeaseID
	validUntil     time.Time
	nextCallAt     time.Time
	isCallInFlight bool
	failures       int
	seed           uint64
}

// maxSessionBackoff is the longest wait after a failed attempt to establish or renew the
// session.
const maxSessionBackoff = 4 * time.Second

// isValid reports whether the host may act on the shards that it owns.
func (s *session) isValid(now time.Time) bool {
	return s.stage == sessionHeld && now.Before(s.validUntil)
}

func (s *session) tick(now time.Time) []Call {
	if s.isCallInFlight || now.Before(s.nextCallAt) || s.stage == sessionEnded {
		return nil
	}
	s.isCallInFlight = true
	c := Call{purpose: purposeSession}
	switch s.stage {
	case sessionNone:
		c.Kind, c.TTL = CallGrantLease, s.cfg.SessionTTL
	case sessionGranted:
		c.Kind = CallWrite
		c.Write = store.Write{Key: sessionKey(s.cfg.Domain, s.id), Value: []byte(s.cfg.Self), Lease: s.id}
	case sessionHeld:
		c.Kind, c.Lease = CallRenewLease, s.id
	}
	return []Call{c}
}

// end revokes the lease, so that other hosts need not wait for it to lapse.
func (s *session) end() []Call {
	if s.isCallInFlight || s.stage != sessionHeld {
		return nil
	}
	s.stage = sessionEnded
	s.validUntil = time.Time{}
	return []Call{{Kind: CallRevokeLease, Lease: s.id, purpose: purposeSession}}
}

func (s *session) answer(now time.Time, a Answer) {
	s.isCallInFlight = false
	if s.stage == sessionEnded {
		return
	}
	code := heatherhub.CodeOf(a.Err)
	switch {
	case code == heatherhub.CodeOK:
		s.failures = 0
		s.advance(now, a)
	case code == heatherhub.CodeNotFound:
		s.stage = sessionNone
		s.backOff(now)
	case code == heatherhub.CodeConflict && a.Call.Kind == CallWrite:
		// Only this session writes the key of its lease, so an earlier write whose
		// answer was lost has succeeded.
		s.markHeld(now)
	default:
		s.backOff(now)
	}
}

func (s *session) advance(now time.Time, a Answer) {
	switch a.Call.Kind {
	case CallGrantLease:
		s.stage = sessionGranted
		s.id = a.Lease
		s.extend(a.SentAt)
		s.nextCallAt = now
	case CallWrite:
		s.markHeld(now)
	case CallRenewLease:
		if a.Call.Lease == s.id {
			s.extend(a.SentAt)
		}
		s.nextCallAt = a.SentAt.Add(s.cfg.SessionTTL / 3)
	}
}

func (s *session) markHeld(now time.Time) {
	s.stage = sessionHeld
	s.nextCallAt = now.Add(s.cfg.SessionTTL / 6)
}

// extend sets the end of the validity. The lease counts from the send time of the
// call, which is before the store started its own count.
func (s *session) extend(sent time.Time) {
	s.validUntil = sent.Add(s.cfg.SessionTTL - s.cfg.ClockMargin)
}

// backOff schedules the next attempt with exponential backoff and jitter, so that the
// hosts do not overload a store that has just recovered.
func (s *session) backOff(now time.Time) {
	s.failures++
	wait := 250 * time.Millisecond << min(s.failures, 4)
	s.seed = s.seed*6364136223846793005 + 1442695040888963407
	jitter := time.Duration(s.seed>>33) % (wait / 2)
	s.nextCallAt = now.Add(min(wait/2+jitter, maxSessionBackoff))
}
