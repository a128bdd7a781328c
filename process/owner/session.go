package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// session is the lease of the store on which the host's shards depend.
type session struct {
	host    *Host
	mu      sync.Mutex
	leaseID ledger.LeaseID
	// lastContactAt is the steady time of the store's last answer.
	lastContactAt atomic.Int64
}

// recordContact notes an answer of the store.
func (s *session) recordContact() {
	s.lastContactAt.Store(int64(s.host.cfg.Clock.Now().Steady))
}

// sinceContact returns how long the store has not answered.
func (s *session) sinceContact() time.Duration {
	return s.host.cfg.Clock.Now().Steady - time.Duration(s.lastContactAt.Load())
}

// ensureLease returns the session's ensureLease and makes one if there is none. Only the
// campaign calls it.
func (s *session) ensureLease(ctx context.Context) (ledger.LeaseID, error) {
	if id := s.currentLease(); id != 0 {
		return id, nil
	}
	id, _, err := s.host.cfg.Store.GrantLease(ctx, s.host.cfg.SessionTTL)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.leaseID = id
	s.mu.Unlock()
	s.recordContact()
	return id, nil
}

// clearLease drops a lease that has ended.
func (s *session) clearLease(id ledger.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseID == id {
		s.leaseID = 0
	}
}

func (s *session) currentLease() ledger.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseID
}

// renewLoop renews the lease until ctx ends. If the store says that it has ended, all
// terms end.
func (s *session) renewLoop(ctx context.Context) {
	every := s.host.cfg.SessionTTL / 3
	isLost := false
	for ctx.Err() == nil {
		ledger.Pause(ctx, every)
		id := s.currentLease()
		if id == 0 {
			continue
		}
		renewal, cancel := context.WithTimeout(ctx, every)
		err := s.host.cfg.Store.RenewLease(renewal, id)
		cancel()
		switch {
		case err == nil:
			s.recordContact()
			if isLost {
				isLost = false
				s.host.cfg.Log.Info("session renewed again")
			}
		case heatherhub.CodeOf(err) == heatherhub.CodeNotFound:
			s.clearLease(id)
			s.host.endAllTerms("session ended")
		case s.sinceContact() > s.host.cfg.MaxStoreSilence:
			s.host.endAllTerms("store silent for too long")
		case !isLost:
			isLost = true
			s.host.cfg.Log.Warn("session not renewed", zap.Duration("silence", s.sinceContact()), zap.Error(err))
		}
	}
}

// end gives the lease back, and the keys with it.
func (s *session) end(ctx context.Context) {
	id := s.currentLease()
	if id == 0 {
		return
	}
	s.clearLease(id)
	if err := s.host.cfg.Store.EndLease(ctx, id); err != nil {
		s.host.cfg.Log.Warn("session not ended", zap.Error(err))
	}
}
