// Package memory is an in-memory engine of the platform's key-value service. It
// is the engine of the stand-in and the fake of the tests: compare-and-swap,
// leases, watches, a value cap, a rate limit, counted calls and faults that are
// switched while it runs.
//
// # Usage
//
//	clock := clockwork.NewFakeClock()
//	s := memory.New(memory.Config{Clock: clock})
//	rev, err := s.CompareAndSwap(ctx, store.Write{Key: "config/current", Value: v})
//	s.SetFaults(memory.Faults{Down: true}) // every call fails with ErrUnavailable
//	s.SetFaults(memory.Faults{LoseEvery: 2}) // every second write takes effect and answers ErrUnknown
//	got := s.Counts().Writes
//
// A fake clock must be advanced by the test while a call waits in Watch, or in
// any call of a slow store.
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

// Config describes the service.
type Config struct {
	// Clock is the service's clock; nil is the real one.
	Clock clockwork.Clock
	// ReadRate and WriteRate are the calls taken in a second; zero for any number.
	ReadRate, WriteRate rate.Limit
	// WatchWait is the longest wait of a watch; zero is DefaultWatchWait.
	WatchWait time.Duration
	// Seed draws the lost answers.
	Seed uint64
}

// Faults are the faults of the service. The zero value has none.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// Slow is the time that a call takes: half before it takes effect and half
	// before its answer. A write whose caller gives up takes effect all the same.
	Slow time.Duration `json:"slow"`
	// LoseAnswers is the probability that an answer is lost after the call took
	// effect.
	LoseAnswers float64 `json:"loseAnswers"`
	// LoseEvery loses the answer of every n-th write; zero for none.
	LoseEvery int `json:"loseEvery"`
}

type item struct {
	entry   store.Entry
	deleted bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

type delayedCall struct {
	due   time.Time
	apply func()
}

// Store is the service. It is safe for concurrent use.
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
	// items keeps removed keys too, so that watches see the removal.
	items   btree.Map[string, *item]
	leases  map[store.LeaseID]*lease
	delayed []delayedCall
	// changed is closed and replaced at every change.
	changed         chan struct{}
	writesSinceLoss int
}

var _ store.Store = (*Store)(nil)

// New makes an empty store.
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

// SetFaults replaces the faults. Waiting watches notice it at once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.writesSinceLoss = 0
	s.notifyWatches()
}

// Faults returns the present faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// begin counts a call and admits it. It holds the lock when it returns no error.
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
		err := heatherhub.ErrUnavailable.New("the store's rate limit is passed: send fewer calls")
		return heatherhub.WithRetryAfter(err, time.Second/10)
	}
	return nil
}

// end releases the lock, and may lose the answer of a call that took effect.
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

// lostAnswerError is the error of a call whose answer never came. A read changes
// nothing, so its loss is no doubt about anything.
func lostAnswerError(k Kind) error {
	if k.isWrite() {
		return heatherhub.ErrUnknown.New("the store's answer to a %s was lost: read back before the next write", k)
	}
	return heatherhub.ErrUnavailable.New("the store's answer to a %s was lost: try again", k)
}

// applyLater lets a call take effect later, after its caller gave up.
func (s *Store) applyLater(d time.Duration, apply func()) {
	if apply == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayed = append(s.delayed, delayedCall{due: s.clock.Now().Add(d), apply: apply})
}

// applyDue applies delayed writes and ends lapsed leases, up to now.
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

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
