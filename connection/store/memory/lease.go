package memory

import (
	"context"
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
)

// GrantLease creates a lease that expires after ttl without a renewal.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if ttl <= 0 {
		return 0, heatherhub.ErrInvalid.New("lease TTL %s is not positive: use a time above 0", ttl)
	}
	if err := s.begin(ctx, KindGrant, func() { s.grant(ttl) }); err != nil {
		return 0, err
	}
	id := s.grant(ttl)
	if err := s.end(ctx, KindGrant); err != nil {
		return 0, err
	}
	return id, nil
}

func (s *Store) grant(ttl time.Duration) store.LeaseID {
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl), keys: make(map[string]bool)}
	return s.nextLease
}

// RenewLease restarts the TTL of a lease. ErrNotFound means that it has expired.
func (s *Store) RenewLease(ctx context.Context, id store.LeaseID) error {
	if err := s.begin(ctx, KindRenew, func() { _ = s.renew(id) }); err != nil {
		return err
	}
	err := s.renew(id)
	if lost := s.end(ctx, KindRenew); lost != nil {
		return lost
	}
	return err
}

func (s *Store) renew(id store.LeaseID) error {
	l, ok := s.leases[id]
	if !ok {
		return heatherhub.ErrNotFound.New("lease %d has expired: grant a new one", id)
	}
	l.expires = s.clock.Now().Add(l.ttl)
	return nil
}

// RevokeLease ends a lease at once and deletes its keys.
func (s *Store) RevokeLease(ctx context.Context, id store.LeaseID) error {
	if err := s.begin(ctx, KindRevoke, func() { s.deleteLease(id) }); err != nil {
		return err
	}
	s.deleteLease(id)
	return s.end(ctx, KindRevoke)
}

// deleteLease deletes a lease and its keys, in order of key so that revisions are
// deterministic.
func (s *Store) deleteLease(id store.LeaseID) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	keys := slices.Sorted(maps.Keys(l.keys))
	delete(s.leases, id)
	for _, key := range keys {
		s.remove(key)
	}
}

// expireLeases deletes the leases that have expired by now, in order of id.
func (s *Store) expireLeases(now time.Time) {
	var expired []store.LeaseID
	for id, l := range s.leases {
		if !l.expires.After(now) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		s.deleteLease(id)
	}
}

// nextEvent returns the earliest time, at most limit, at which a lease expires or a
// delayed call takes effect.
func (s *Store) nextEvent(limit time.Time) time.Time {
	next := limit
	for _, l := range s.leases {
		if l.expires.Before(next) {
			next = l.expires
		}
	}
	for _, d := range s.delayed {
		if d.due.Before(next) {
			next = d.due
		}
	}
	return next
}
