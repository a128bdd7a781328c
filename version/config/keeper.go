// Package config keeps a host's copy of the active configuration up to date and edits
// the configuration. The store holds it as one Record under Key. Every host uses the
// highest version that it has seen and never returns to a lower one.
//
// # Usage
//
//	k := config.New(config.Config{Store: s, Clock: clock, Log: log})
//	k.OnChange(func(s *heatherhub.Snapshot) { scheduler.SetSnapshot(clock.Now(), s) })
//	group.Go(func() { k.Run(ctx) })
//
//	next, err := k.Edit(ctx, k.Current().Version, func(s *heatherhub.Snapshot) error {
//		s.InForce = "peak"
//		return nil
//	})
//
// A host learns of a new version in three ways: by a watch, which is renewed every few
// seconds in case its connection has stopped responding; by periodic reads of the whole
// value, in case all watches fail; and by Offer, with the versions that peers relay. An
// invalid configuration is ignored in all three cases. The response to a watch without
// changes contains no value, so an idle host reads few bytes from the store, however
// large the configuration is.
//
// A snapshot that the package returns is shared by all readers and must not be
// changed; Edit works on a copy.
package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/deadline"
	"heatherhub.example/heatherhub/connection/store"
)

// Key is the key of the configuration in the store.
const Key = "config/current"

// Intervals and timeouts.
const (
	// DefaultWatchTimeout is the mean timeout of one watch.
	DefaultWatchTimeout = 3 * time.Second
	// DefaultRefreshInterval is the mean time between two reads of the value.
	DefaultRefreshInterval = time.Minute
	// callTimeout limits one read or write of the store.
	callTimeout = 2 * time.Second
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = time.Second
)

// Config holds the dependencies and settings of a Keeper.
type Config struct {
	Store store.Store
	// Clock is the host's clock; nil for the real one.
	Clock clockwork.Clock
	// Log gets the log lines; nil for none.
	Log *zap.Logger
	// WatchTimeout is the mean timeout of a watch; DefaultWatchTimeout if zero.
	WatchTimeout time.Duration
	// RefreshInterval is the mean time between two reads of the value;
	// DefaultRefreshInterval if zero.
	RefreshInterval time.Duration
	// Jitter returns numbers in [0, 1), so that the hosts do not call the store at the
	// same time; nil for a random source.
	Jitter func() float64
	// Registerer registers the metrics; nil for none.
	Registerer prometheus.Registerer
}

// Keeper holds the active configuration of a host and follows the store. It is safe for
// concurrent use.
type Keeper struct {
	cfg     Config
	metrics metrics
	current atomic.Pointer[heatherhub.Snapshot]
	// revision is the last revision of Key that was read, valid or not.
	revision atomic.Uint64

	mu        sync.Mutex // guards writes of current, and listeners
	listeners []func(*heatherhub.Snapshot)
}

// New returns a keeper whose configuration is empty and has version 0.
func New(cfg Config) *Keeper {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.WatchTimeout <= 0 {
		cfg.WatchTimeout = DefaultWatchTimeout
	}
	if cfg.RefreshInterval <= 0 {
		cfg.RefreshInterval = DefaultRefreshInterval
	}
	if cfg.Jitter == nil {
		cfg.Jitter = rand.Float64
	}
	k := &Keeper{cfg: cfg, metrics: newMetrics(cfg.Registerer)}
	k.current.Store(&heatherhub.Snapshot{})
	return k
}

// Current returns the configuration that is active on this host. It is never nil.
func (k *Keeper) Current() *heatherhub.Snapshot {
	return k.current.Load()
}

// OnChange adds a listener that is called with each new configuration, in order of
// version. If a configuration is already active, it is called with that one before
// OnChange returns. The listener runs while a lock is held: it must return quickly and
// must not call OnChange, Offer, Refresh or Edit.
func (k *Keeper) OnChange(f func(*heatherhub.Snapshot)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listeners = append(k.listeners, f)
	if s := k.current.Load(); s.Version > 0 {
		f(s)
	}
}

// Offer activates a configuration that was received from a peer if it is valid and has a
// higher version. It reports whether it did. The snapshot must not be changed afterwards.
func (k *Keeper) Offer(s *heatherhub.Snapshot) bool {
	if s == nil || s.Version <= k.Current().Version {
		return false
	}
	if errs := s.Check(); len(errs) > 0 {
		k.metrics.invalid.WithLabelValues(sourcePeer).Inc()
		k.cfg.Log.Error("configuration from a peer is invalid; keeping the active one",
			zap.Uint64("version", uint64(s.Version)), zap.Error(errs[0]))
		return false
	}
	return k.activate(s)
}

// activate makes a valid configuration the active one if its version is higher, and
// calls the listeners. It reports whether it did.
func (k *Keeper) activate(s *heatherhub.Snapshot) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Version <= k.current.Load().Version {
		return false
	}
	k.current.Store(s)
	k.metrics.version.Set(float64(s.Version))
	for _, f := range k.listeners {
		f(s)
	}
	k.cfg.Log.Info("configuration activated",
		zap.Uint64("version", uint64(s.Version)), zap.String("preset", string(s.InForce)))
	return true
}

// Refresh reads the store once and activates its configuration if it is newer.
func (k *Keeper) Refresh(ctx context.Context) error {
	e, err := k.readEntry(ctx)
	if err != nil {
		return err
	}
	return k.activateEntry(e)
}

func (k *Keeper) readEntry(ctx context.Context) (store.Entry, error) {
	ctx, cancel := deadline.WithTimeout(ctx, k.cfg.Clock, callTimeout)
	defer cancel()
	return k.cfg.Store.Get(ctx, Key)
}

// activateEntry activates the configuration of a store entry if it is newer. It ignores
// an absent entry and a revision that was already read.
func (k *Keeper) activateEntry(e store.Entry) error {
	if e.Revision == 0 || e.Value == nil {
		return nil
	}
	if k.revision.Swap(uint64(e.Revision)) == uint64(e.Revision) {
		return nil
	}
	r, err := decodeRecord(e.Value)
	if err != nil {
		k.metrics.invalid.WithLabelValues(sourceStore).Inc()
		k.cfg.Log.Error("configuration in the store is invalid; keeping the active one", zap.Error(err))
		return err
	}
	k.activate(&r.Snapshot)
	return nil
}

// Run follows the store until ctx ends, by watches and by periodic reads.
func (k *Keeper) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { k.refreshLoop(ctx) })
	group.Go(func() { k.watchLoop(ctx) })
	group.Wait()
}

func (k *Keeper) refreshLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.Refresh(ctx); err != nil && ctx.Err() == nil {
			k.cfg.Log.Warn("cannot read the configuration; keeping the active one", zap.Error(err))
		}
		k.sleep(ctx, k.jittered(k.cfg.RefreshInterval))
	}
}

// jittered returns a duration from 0.5 to 1.5 times the mean.
func (k *Keeper) jittered(mean time.Duration) time.Duration {
	return time.Duration((0.5 + k.cfg.Jitter()) * float64(mean))
}

func (k *Keeper) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.watchOnce(ctx); err != nil {
			k.sleep(ctx, watchRetryDelay)
		}
	}
}

// watchOnce waits for a change or for the timeout of the watch. A new watch returns
// immediately if there was a change between two watches.
func (k *Keeper) watchOnce(ctx context.Context) error {
	ctx, cancel := deadline.WithTimeout(ctx, k.cfg.Clock, k.jittered(k.cfg.WatchTimeout))
	defer cancel()
	entries, err := k.cfg.Store.Watch(ctx, Key, store.Revision(k.revision.Load()))
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	for _, e := range entries {
		if e.Key != Key {
			continue
		}
		if err := k.activateEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (k *Keeper) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-k.cfg.Clock.After(d):
	}
}
