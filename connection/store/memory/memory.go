// Package memory is an in-memory store.Store, used by the stand-in platform and by
// tests. It supports compare-and-swap, leases, watches, a limit on value sizes, rate
// limits, call counts and fault injection at run time.
//
// # Usage
//
//	clock := clockwork.NewFakeClock()
//	s := memory.New(memory.Config{Clock: clock})
//	rev, err := s.CompareAndSwap(ctx, store.Write{Key: "config/current", Value: v})
//	s.SetFaults(memory.Faults{Down: true}) // every call fails with ErrUnavailable
//	s.SetFaults(memory.Faults{LoseEvery: 2}) // every second write takes effect and returns ErrUnknown
//	got := s.Counts().Writes
//
// With a fake clock, the test must advance it while a call waits: a Watch, or any call
// with Faults.Slow.
package memory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/tidwall/btree"
	"golang.org/x/time/rate"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/deadline"
	"heatherhub.example/heatherhub/connection/store"
)

// DefaultWatchWait is how long a watch waits before it returns without entries.
const DefaultWatchWait = 30 * time.Second

// Config configures a Store.
type Config struct {
	// Clock is the real clock if nil.
	Clock clockwork.Clock
	// ReadRate and WriteRate limit the calls per second; zero for no limit.
	ReadRate, WriteRate rate.Limit
	// WatchWait is the longest wait of a watch; zero for DefaultWatchWait.
	WatchWait time.Duration
	// Seed seeds the choice of lost answers.
	Seed uint64
}

// Faults are injected faults. The zero value has none.
type Faults struct {
	// Down makes every call fail with ErrUnavailable.
	Down bool `json:"down"`
	// Slow is the duration of a call: one half passes before it takes effect, the
	// other before its answer. A write takes effect even if its context ends first.
	Slow time.Duration `json:"slow"`
	// LoseAnswers is the probability that an answer is lost after the call took
	// effect.
	LoseAnswers float64 `json:"loseAnswers"`
	// LoseEvery loses the answer of every LoseEvery-th write; zero for none.
	LoseEvery int `json:"loseEvery"`
}

// item is a key with its entry, or a tombstone if deleted is set.
type item struct {
	entry   store.Entry
	deleted bool
}

// lease is a granted lease with the keys attached to it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// delayedCall is a cancelled call of a slow store that takes effect at due.
type delayedCall struct {
	due   time.Time
	apply func()
}

// Store is an in-memory store.Store. It is safe for concurrent use.
type Store struct {
	clock     clockwork.Clock
	watchWait time.Duration
	reads     *rate.Limiter
	writes    *rate.Limiter

	mu        sync.Mutex
	random    *rand.Rand
	faults    Faults
	counts    Counts
	revision  store.Revision
	nextLease store.LeaseID
	// items keeps deleted keys as tombstones, so that watches see the deletion.
	items   btree.Map[string, *item]
	leases  map[store.LeaseID]*lease
	delayed []delayedCall
	// changed is closed and replaced at every change of a key or of the faults.
	changed         chan struct{}
	writesSinceLoss int
}

var _ store.Store = (*Store)(nil)

// New returns an empty store.
func New(cfg Config) *Store {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.WatchWait <= 0 {
		cfg.WatchWait = DefaultWatchWait
	}
	return &Store{
		clock:     cfg.Clock,
		watchWait: cfg.WatchWait,
		reads:     newLimiter(cfg.ReadRate),
		writes:    newLimiter(cfg.WriteRate),
		random:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		leases:    make(map[store.LeaseID]*lease),
		changed:   make(chan struct{}),
	}
}

func newLimiter(perSecond rate.Limit) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(perSecond, max(1, int(perSecond)))
}

// SetFaults replaces the faults and wakes waiting watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.writesSinceLoss = 0
	s.notifyWatches()
}

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// begin counts and admits a call, and waits for half of Faults.Slow. On success it
// returns with the lock held, which end releases. If ctx ends during the wait, apply
// runs when the wait would have ended; apply is nil for reads.
func (s *Store) begin(ctx context.Context, k Kind, apply func()) error {
	s.mu.Lock()
	s.counts.add(k)
	if err := s.admit(ctx, k); err != nil {
		s.mu.Unlock()
		return err
	}
	halfDelay := s.faults.Slow / 2
	if halfDelay <= 0 {
		s.applyDue()
		return nil
	}
	s.mu.Unlock()
	if err := deadline.Sleep(ctx, s.clock, halfDelay); err != nil {
		s.applyLater(halfDelay, apply)
		return lostAnswerError(k)
	}
	s.mu.Lock()
	s.applyDue()
	return nil
}

// admit rejects a call if ctx is done, the store is down or the rate limit is reached.
func (s *Store) admit(ctx context.Context, k Kind) error {
	limiter := s.reads
	if k.isWrite() {
		limiter = s.writes
	}
	switch {
	case deadline.IsDone(ctx):
		return heatherhub.ErrUnavailable.New("the call was cancelled before it was sent: try again with more time")
	case s.faults.Down:
		s.counts.Unavailable++
		return heatherhub.ErrUnavailable.New("the store is down: try again later")
	case !limiter.AllowN(s.clock.Now(), 1):
		s.counts.Refused++
		err := heatherhub.ErrUnavailable.New("the store's rate limit is exceeded: send fewer calls")
		return heatherhub.WithRetryAfter(err, time.Second/10)
	}
	return nil
}

// end releases the lock that begin acquired, waits for the other half of Faults.Slow
// and returns an error if the answer is lost.
func (s *Store) end(ctx context.Context, k Kind) error {
	halfDelay := s.faults.Slow / 2
	answerLost := s.drawAnswerLoss(k)
	s.mu.Unlock()
	if halfDelay > 0 && deadline.Sleep(ctx, s.clock, halfDelay) != nil {
		answerLost = true
	}
	if answerLost {
		return lostAnswerError(k)
	}
	return nil
}

// drawAnswerLoss reports whether the answer of a call is lost, and counts it.
func (s *Store) drawAnswerLoss(k Kind) bool {
	answerLost := s.faults.LoseAnswers > 0 && s.random.Float64() < s.faults.LoseAnswers
	if s.faults.LoseEvery > 0 && k.isWrite() {
		s.writesSinceLoss++
		if s.writesSinceLoss >= s.faults.LoseEvery {
			s.writesSinceLoss = 0
			answerLost = true
		}
	}
	if answerLost {
		s.counts.Lost++
	}
	return answerLost
}

// lostAnswerError returns the error of a call whose answer was lost: ErrUnknown for a
// write, ErrUnavailable for a read, which changes nothing.
func lostAnswerError(k Kind) error {
	if k.isWrite() {
		return heatherhub.ErrUnknown.New("the store's answer to a %s was lost: read the key before the next write", k)
	}
	return heatherhub.ErrUnavailable.New("the store's answer to a %s was lost: try again", k)
}

// applyLater schedules a call to take effect after d, although its context has ended.
func (s *Store) applyLater(d time.Duration, apply func()) {
	if apply == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayed = append(s.delayed, delayedCall{due: s.clock.Now().Add(d), apply: apply})
}

// applyDue applies the delayed calls that are due and deletes expired leases. Every
// admitted call runs it first. The caller holds the lock.
func (s *Store) applyDue() {
	now := s.clock.Now()
	waiting := s.delayed[:0]
	for _, d := range s.delayed {
		if d.due.After(now) {
			waiting = append(waiting, d)
			continue
		}
		d.apply()
	}
	s.delayed = waiting
	s.expireLeases(now)
}

// notifyWatches wakes all waiting watches. The caller holds the lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
