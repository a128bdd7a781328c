package scenario

import (
	"context"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/store"
)

// partitionedStore is the store as seen from one failure domain. Calls fail while
// the domain is isolated.
type partitionedStore struct {
	store   store.Store
	network *network
	from    heatherhub.FailureDomain
}

var _ store.Store = partitionedStore{}

// callStore performs one store call unless the failure domain is isolated. If the
// domain becomes isolated during the call, the result is ErrUnknown.
func callStore[T any](ctx context.Context, s partitionedStore, do func() (T, error)) (T, error) {
	var zero T
	if !s.network.canReach(s.from, "") {
		return zero, heatherhub.ErrUnavailable.New("the store cannot be reached")
	}
	if err := sleep(ctx, networkLatency); err != nil {
		return zero, heatherhub.ErrUnavailable.Wrap(err, "the call was not sent to the store")
	}
	out, err := do()
	if !s.network.canReach(s.from, "") {
		return zero, heatherhub.ErrUnknown.New("the store's answer was lost")
	}
	return out, err
}

// Get reads one key.
func (s partitionedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	return callStore(ctx, s, func() (store.Entry, error) { return s.store.Get(ctx, key) })
}

// List reads all keys with a prefix.
func (s partitionedStore) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	return callStore(ctx, s, func() ([]store.Entry, error) { return s.store.List(ctx, prefix) })
}

// CompareAndSwap writes a key if its revision is the expected one.
func (s partitionedStore) CompareAndSwap(ctx context.Context, w store.Write) (store.Revision, error) {
	return callStore(ctx, s, func() (store.Revision, error) { return s.store.CompareAndSwap(ctx, w) })
}

// GrantLease creates a lease.
func (s partitionedStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return callStore(ctx, s, func() (store.LeaseID, error) { return s.store.GrantLease(ctx, ttl) })
}

// RenewLease restarts the TTL of a lease.
func (s partitionedStore) RenewLease(ctx context.Context, id store.LeaseID) error {
	_, err := callStore(ctx, s, func() (struct{}, error) { return struct{}{}, s.store.RenewLease(ctx, id) })
	return err
}

// RevokeLease ends a lease.
func (s partitionedStore) RevokeLease(ctx context.Context, id store.LeaseID) error {
	_, err := callStore(ctx, s, func() (struct{}, error) { return struct{}{}, s.store.RevokeLease(ctx, id) })
	return err
}

// Watch waits for changes of keys with a prefix after a revision.
func (s partitionedStore) Watch(ctx context.Context, prefix string, after store.Revision) ([]store.Entry, error) {
	return callStore(ctx, s, func() ([]store.Entry, error) { return s.store.Watch(ctx, prefix, after) })
}

// partitionedHostList is the host list as seen from one failure domain.
type partitionedHostList struct {
	list    hostlist.List
	network *network
	from    heatherhub.FailureDomain
}

// Hosts reads the host list, or fails while the failure domain is isolated.
func (l partitionedHostList) Hosts(ctx context.Context) ([]hostlist.Host, error) {
	if !l.network.canReach(l.from, "") {
		return nil, heatherhub.ErrUnavailable.New("the host list cannot be reached")
	}
	return l.list.Hosts(ctx)
}
