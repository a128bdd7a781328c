package memory

import (
	"context"
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
)

// GrantLease makes a lease.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if ttl <= 0 {
		return 0, heatherhub.ErrInvalid.New("a lease of %s: use a time above 0", ttl)
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

// RenewLease starts the lease's ttl anew.
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
		return heatherhub.ErrNotFound.New("lease %d has lapsed: grant a new one", id)
	}
	l.expires = s.clock.Now().Add(l.ttl)
	return nil
}

// RevokeLease ends a lease at once and removes its keys.
func (s *Store) RevokeLease(ctx context.Context, id store.LeaseID) error {
	if err := s.begin(ctx, KindRevoke, func() { s.deleteLease(id) }); err != nil {
		return err
	}
	s.deleteLease(id)
	return s.end(ctx, KindRevoke)
}

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

// nextEvent returns the first moment at which something changes by itself.
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
