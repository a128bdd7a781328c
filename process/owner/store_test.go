package owner_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// memoryStore is the platform's store in memory, on the time of the test.
type memoryStore struct {
	mu      sync.Mutex
	rev     ledger.Revision
	items   map[string]ledger.Item
	history []ledger.Event
	// forgotten is the revision up to which the history is gone.
	forgotten ledger.Revision
	leases    map[ledger.LeaseID]*memoryLease
	nextLease ledger.LeaseID
	changed   chan struct{}
	rng       *rand.Rand
	// lostShare is the share of commits whose answer is lost; a lost one is carried
	// out late for half of them.
	lostShare float64
	isDown    bool
	// silentPrefix is that of watches that get no answer.
	silentPrefix string
	// lateKey is a key whose commits take effect late and without an answer.
	lateKey string
	// beforePut is called before a commit that puts a key.
	beforePut func(key string)
	// hidden are keys that ranges leave out.
	hidden []string
	// hints are old answers that Hints may give again.
	hints map[string]hints
}

type memoryLease struct {
	ttl     time.Duration
	expires time.Time
}

func newMemoryStore(rng *rand.Rand) *memoryStore {
	return &memoryStore{
		rev: 10, items: make(map[string]ledger.Item), leases: make(map[ledger.LeaseID]*memoryLease),
		changed: make(chan struct{}), rng: rng, hints: make(map[string]hints),
	}
}

// callTimeout is what a call without an answer takes.
const callTimeout = 500 * time.Millisecond

// answerTime is what a call takes.
const answerTime = 4 * time.Millisecond

func (s *memoryStore) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.drop(id)
		}
	}
}

func (s *memoryStore) drop(id ledger.LeaseID) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		s.remove(k)
	}
}

func (s *memoryStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.note(ledger.Event{Item: ledger.Item{Key: key, Revision: s.rev}, Deleted: true})
}

func (s *memoryStore) note(e ledger.Event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) put(key string, value []byte, lease ledger.LeaseID) {
	it := s.items[key]
	if it.Revision == 0 {
		it.Created = s.rev
	}
	it.Key, it.Value, it.Revision, it.Lease = key, value, s.rev, lease
	s.items[key] = it
	s.note(ledger.Event{Item: it})
}

// set writes a key as another writer of the platform.
func (s *memoryStore) set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
}

// revoke removes a key without telling its writer.
func (s *memoryStore) revoke(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// forget drops the history.
func (s *memoryStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten, s.history = s.rev, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) apply(txn ledger.Txn) (ledger.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	conflict := &ledger.ConflictError{}
	isMet := true
	for _, r := range txn.Require {
		it := s.items[r.Key]
		if it.Revision > 0 {
			conflict.Items = append(conflict.Items, it)
		}
		isMet = isMet && it.Revision == r.Revision
	}
	if !isMet {
		return 0, conflict
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 0, heatherhub.ErrNotFound.New("no lease %d", p.Lease)
		}
	}
	s.rev++
	for _, p := range txn.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range txn.Deletes {
		s.remove(k)
	}
	return s.rev, nil
}

// storeOf is the store as one host reaches it.
type storeOf struct {
	*memoryStore
	w    *world
	host heatherhub.HostID
}

var _ ledger.Store = (*storeOf)(nil)

// reach waits for the way to the store. It fails if there is none.
func (s *storeOf) reach(ctx context.Context) error {
	s.w.awaitThaw(s.host)
	s.mu.Lock()
	isDown := s.isDown
	s.mu.Unlock()
	if s.w.isDead(s.host) {
		return heatherhub.ErrUnavailable.New("the host is dead")
	}
	if isDown || s.w.isCut(string(s.host), storeName) {
		ledger.Pause(ctx, callTimeout)
		return heatherhub.ErrUnknown.New("no answer of the store")
	}
	ledger.Pause(ctx, answerTime)
	return ctx.Err()
}

func (s *storeOf) Get(ctx context.Context, key string) (ledger.Item, error) {
	if err := s.reach(ctx); err != nil {
		return ledger.Item{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it := s.items[key]
	it.Key = key
	return it, nil
}

func (s *storeOf) Range(ctx context.Context, prefix string) (ledger.Snapshot, error) {
	if err := s.reach(ctx); err != nil {
		return ledger.Snapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	snap := ledger.Snapshot{Revision: s.rev}
	for k, it := range s.items {
		switch {
		case !strings.HasPrefix(k, prefix):
		case slices.Contains(s.hidden, k):
			snap.Revision = min(snap.Revision, it.Created-1)
		default:
			snap.Items = append(snap.Items, it)
		}
	}
	slices.SortFunc(snap.Items, func(a, b ledger.Item) int { return strings.Compare(a.Key, b.Key) })
	return snap, nil
}

// hintAge is how old the answer to Hints may be.
const hintAge = 2 * time.Second

type hints struct {
	ledger.Snapshot
	at time.Time
}

func (s *storeOf) Hints(ctx context.Context, prefix string) (ledger.Snapshot, error) {
	s.mu.Lock()
	old, ok := s.hints[prefix]
	s.mu.Unlock()
	if ok && time.Since(old.at) < hintAge {
		return old.Snapshot, s.reach(ctx)
	}
	snap, err := s.Range(ctx, prefix)
	if err == nil {
		s.mu.Lock()
		s.hints[prefix] = hints{Snapshot: snap, at: time.Now()}
		s.mu.Unlock()
	}
	return snap, err
}

func (s *storeOf) Watch(ctx context.Context, prefix string, after ledger.Revision, span time.Duration) (ledger.Changes, error) {
	until := time.Now().Add(span)
	for {
		if err := s.reach(ctx); err != nil {
			return ledger.Changes{}, err
		}
		s.mu.Lock()
		if s.silentPrefix != "" && strings.HasPrefix(prefix, s.silentPrefix) {
			s.mu.Unlock()
			ledger.Pause(ctx, time.Until(until)+callTimeout)
			return ledger.Changes{}, heatherhub.ErrUnknown.New("no answer to the watch")
		}
		s.expire()
		changes := ledger.Changes{Revision: s.rev}
		isGone := after < s.forgotten
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				changes.Events = append(changes.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		switch {
		case isGone:
			return ledger.Changes{}, heatherhub.ErrNotFound.New("history gone")
		case len(changes.Events) > 0 || !time.Now().Before(until):
			return changes, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ledger.Changes{}, ctx.Err()
		case <-time.After(min(time.Until(until), 50*time.Millisecond)):
		}
	}
}

func (s *storeOf) Commit(ctx context.Context, txn ledger.Txn) (ledger.Revision, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	dice := s.rng.Float64()
	share := s.lostShare
	before := s.beforePut
	isLate := s.lateKey != "" && slices.ContainsFunc(txn.Puts, func(p ledger.Put) bool { return p.Key == s.lateKey })
	s.mu.Unlock()
	for _, p := range txn.Puts {
		if before != nil {
			before(p.Key)
		}
	}
	if isLate {
		s.w.later(2*time.Second, func() { _, _ = s.apply(txn) })
		ledger.Pause(ctx, callTimeout)
		return 0, heatherhub.ErrUnknown.New("the answer was lost")
	}
	if dice < share/2 {
		s.w.later(time.Duration(1+4*dice/share)*time.Second, func() { _, _ = s.apply(txn) })
		ledger.Pause(ctx, callTimeout)
		return 0, heatherhub.ErrUnknown.New("the answer was lost")
	}
	rev, err := s.apply(txn)
	if dice < share {
		ledger.Pause(ctx, callTimeout)
		return 0, heatherhub.ErrUnknown.New("the answer was lost")
	}
	return rev, err
}

func (s *storeOf) GrantLease(ctx context.Context, ttl time.Duration) (ledger.LeaseID, time.Duration, error) {
	if err := s.reach(ctx); err != nil {
		return 0, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &memoryLease{ttl: ttl, expires: time.Now().Add(ttl)}
	return s.nextLease, ttl, nil
}

func (s *storeOf) RenewLease(ctx context.Context, id ledger.LeaseID) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return heatherhub.ErrNotFound.New("no lease %d", id)
	}
	l.expires = time.Now().Add(l.ttl)
	return nil
}

func (s *storeOf) EndLease(ctx context.Context, id ledger.LeaseID) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	return nil
}
