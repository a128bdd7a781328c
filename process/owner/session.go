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

// session is the store lease to which the host's owner keys are attached, and the time
// of the store's last answer.
type session struct {
	host *Host

	// mu guards leaseID, which is zero if there is no lease.
	mu      sync.Mutex
	leaseID ledger.LeaseID

	// lastContactAt is the steady time of the store's last answer, in nanoseconds.
	lastContactAt atomic.Int64
}

// recordContact records that the store answered now.
func (s *session) recordContact() {
	s.lastContactAt.Store(int64(s.host.cfg.Clock.Now().Steady))
}

// sinceContact returns the time since the store's last answer.
func (s *session) sinceContact() time.Duration {
	return s.host.cfg.Clock.Now().Steady - time.Duration(s.lastContactAt.Load())
}

// ensureLease returns the session's lease and requests one if there is none. It is not
// safe for concurrent use; only the campaign calls it.
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

// clearLease forgets a lease that has ended, unless another one has replaced it.
func (s *session) clearLease(id ledger.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseID == id {
		s.leaseID = 0
	}
}

// currentLease returns the session's lease, or zero if there is none.
func (s *session) currentLease() ledger.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseID
}

// renewLoop renews the lease until ctx ends. If the lease has expired or the store has not
// answered for Limits.MaxStoreSilence, it ends all terms.
func (s *session) renewLoop(ctx context.Context) {
	interval := s.host.cfg.SessionTTL / 3
	isRenewalFailing := false
	for ctx.Err() == nil {
		ledger.Sleep(ctx, interval)
		id := s.currentLease()
		if id == 0 {
			continue
		}
		renewal, cancel := context.WithTimeout(ctx, interval)
		err := s.host.cfg.Store.RenewLease(renewal, id)
		cancel()
		switch {
		case err == nil:
			s.recordContact()
			if isRenewalFailing {
				isRenewalFailing = false
				s.host.cfg.Log.Info("session renewed again")
			}
		case heatherhub.CodeOf(err) == heatherhub.CodeNotFound:
			s.clearLease(id)
			s.host.endAllTerms("session lease expired")
		case s.sinceContact() > s.host.cfg.MaxStoreSilence:
			s.host.endAllTerms("no answer from the store for too long")
		case !isRenewalFailing:
			isRenewalFailing = true
			s.host.cfg.Log.Warn("session not renewed", zap.Duration("silence", s.sinceContact()), zap.Error(err))
		}
	}
}

// end ends the lease, with which the store deletes the owner keys.
func (s *session) end(ctx context.Context) {
	id := s.currentLease()
	if id == 0 {
		return
	}
	s.clearLease(id)
	if err := s.host.cfg.Store.RevokeLease(ctx, id); err != nil {
		s.host.cfg.Log.Warn("session not ended", zap.Error(err))
	}
}
