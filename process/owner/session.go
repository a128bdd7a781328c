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
	host *Host
	mu   sync.Mutex
	id   ledger.LeaseID
	// contactAt is the steady time of the store's last answer.
	contactAt atomic.Int64
}

// contact notes an answer of the store.
func (s *session) contact() {
	s.contactAt.Store(int64(s.host.cfg.Clock.Now().Steady))
}

// silence returns how long the store has not answered.
func (s *session) silence() time.Duration {
	return s.host.cfg.Clock.Now().Steady - time.Duration(s.contactAt.Load())
}

// lease returns the session's lease and makes one if there is none. Only the
// campaign calls it.
func (s *session) lease(ctx context.Context) (ledger.LeaseID, error) {
	if id := s.current(); id != 0 {
		return id, nil
	}
	id, _, err := s.host.cfg.Store.GrantLease(ctx, s.host.cfg.SessionTTL)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.id = id
	s.mu.Unlock()
	s.contact()
	return id, nil
}

// forget drops a lease that has ended.
func (s *session) forget(id ledger.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		s.id = 0
	}
}

func (s *session) current() ledger.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// run renews the lease until ctx ends. If the store says that it has ended, all
// terms end.
func (s *session) run(ctx context.Context) {
	every := s.host.cfg.SessionTTL / 3
	isLost := false
	for ctx.Err() == nil {
		ledger.Pause(ctx, every)
		id := s.current()
		if id == 0 {
			continue
		}
		renewal, cancel := context.WithTimeout(ctx, every)
		err := s.host.cfg.Store.RenewLease(renewal, id)
		cancel()
		switch {
		case err == nil:
			s.contact()
			if isLost {
				isLost = false
				s.host.cfg.Log.Info("session renewed again")
			}
		case heatherhub.CodeOf(err) == heatherhub.CodeNotFound:
			s.forget(id)
			s.host.endAll("session ended")
		case s.silence() > s.host.cfg.ActWithoutStore:
			s.host.endAll("store silent for too long")
		case !isLost:
			isLost = true
			s.host.cfg.Log.Warn("session not renewed", zap.Duration("silence", s.silence()), zap.Error(err))
		}
	}
}

// end gives the lease back, and the keys with it.
func (s *session) end(ctx context.Context) {
	id := s.current()
	if id == 0 {
		return
	}
	s.forget(id)
	if err := s.host.cfg.Store.EndLease(ctx, id); err != nil {
		s.host.cfg.Log.Warn("session not ended", zap.Error(err))
	}
}
