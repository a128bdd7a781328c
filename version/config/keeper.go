// Package config keeps the configuration in force on one host. The store's key
// Key holds one Record with a heatherhub.Snapshot; every host holds the highest
// version that it has seen and never goes back.
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
// A host learns of a new version in three ways: one watch, which is given up and
// made anew every few seconds in case its connection has fallen silent; a read of
// the whole value now and then, in case watches fail altogether; and Offer, by
// which peers relay what they have. A value that fails its own check changes
// nothing on any of the three. A watch that brings nothing carries no value, so an
// idle host costs the store few bytes, however large the configuration is.
//
// A snapshot that the package hands out is shared by all readers and must not be
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

// Key is the store's key of the configuration.
const Key = "config/current"

// Times of the keeper.
const (
	// DefaultWatchTimeout is the mean life of one watch.
	DefaultWatchTimeout = 3 * time.Second
	// DefaultRefreshInterval is the mean time between two reads of the value.
	DefaultRefreshInterval = time.Minute
	// callTimeout bounds one read or write of the store.
	callTimeout = 2 * time.Second
	// failurePause is the wait after a failed watch.
	failurePause = time.Second
)

// Config is what a Keeper needs.
type Config struct {
	Store store.Store
	Clock clockwork.Clock
	Log   *zap.Logger
	// WatchTimeout is the mean life of a watch; DefaultWatchTimeout if zero.
	WatchTimeout time.Duration
	// RefreshInterval is the mean time between two reads of the value;
	// DefaultRefreshInterval if zero.
	RefreshInterval time.Duration
	// Jitter returns numbers in [0, 1) that spread the calls of the hosts; nil
	// for a random source.
	Jitter func() float64
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer
}

// Keeper holds the configuration in force. It is safe for concurrent use.
type Keeper struct {
	cfg     Config
	metrics metrics
	current atomic.Pointer[heatherhub.Snapshot]
	// revision is the last revision of Key that was read, valid or not.
	revision atomic.Uint64

	mu        sync.Mutex // guards replacing current, and listeners
	listeners []func(*heatherhub.Snapshot)
}

// New returns a keeper with an empty configuration of version 0.
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

// Current returns the configuration in force on this host. It is never nil.
func (k *Keeper) Current() *heatherhub.Snapshot {
	return k.current.Load()
}

// OnChange adds a function that is called with each new configuration, in order
// of version. It is called at once if a configuration is in force already. It
// must return soon and not call Offer or Edit.
func (k *Keeper) OnChange(f func(*heatherhub.Snapshot)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listeners = append(k.listeners, f)
	if s := k.current.Load(); s.Version > 0 {
		f(s)
	}
}

// Offer gives the keeper a configuration that a peer has in force. It reports
// whether it was taken: only a valid one with a higher version is. The snapshot
// must not be changed afterwards.
func (k *Keeper) Offer(s *heatherhub.Snapshot) bool {
	if s == nil || s.Version <= k.Current().Version {
		return false
	}
	if errs := s.Check(); len(errs) > 0 {
		k.metrics.invalid.WithLabelValues(sourcePeer).Inc()
		k.cfg.Log.Error("offered configuration is invalid; the one in force stays",
			zap.Uint64("version", uint64(s.Version)), zap.Error(errs[0]))
		return false
	}
	return k.take(s)
}

// take puts a valid configuration in force if its version is higher.
func (k *Keeper) take(s *heatherhub.Snapshot) bool {
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
	k.cfg.Log.Info("configuration in force",
		zap.Uint64("version", uint64(s.Version)), zap.String("preset", string(s.InForce)))
	return true
}

// Refresh reads the store once and takes what is newer there.
func (k *Keeper) Refresh(ctx context.Context) error {
	e, err := k.get(ctx)
	if err != nil {
		return err
	}
	return k.takeEntry(e)
}

func (k *Keeper) get(ctx context.Context) (store.Entry, error) {
	ctx, cancel := deadline.WithTimeout(ctx, k.cfg.Clock, callTimeout)
	defer cancel()
	return k.cfg.Store.Get(ctx, Key)
}

// takeEntry takes the configuration of a store entry if it is newer.
func (k *Keeper) takeEntry(e store.Entry) error {
	if e.Revision == 0 || e.Value == nil {
		return nil
	}
	if k.revision.Swap(uint64(e.Revision)) == uint64(e.Revision) {
		return nil
	}
	r, err := decodeRecord(e.Value)
	if err != nil {
		k.metrics.invalid.WithLabelValues(sourceStore).Inc()
		k.cfg.Log.Error("configuration in the store is invalid; the one in force stays", zap.Error(err))
		return err
	}
	k.take(&r.Snapshot)
	return nil
}

// Run follows the store until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { k.refresh(ctx) })
	group.Go(func() { k.watch(ctx) })
	group.Wait()
}

func (k *Keeper) refresh(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.Refresh(ctx); err != nil && ctx.Err() == nil {
			k.cfg.Log.Warn("cannot read the configuration; the one in force stays", zap.Error(err))
		}
		k.pause(ctx, k.jittered(k.cfg.RefreshInterval))
	}
}

// jittered returns a time between half and one and a half of the mean.
func (k *Keeper) jittered(mean time.Duration) time.Duration {
	return time.Duration((0.5 + k.cfg.Jitter()) * float64(mean))
}

func (k *Keeper) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.watchOnce(ctx); err != nil {
			k.pause(ctx, failurePause)
		}
	}
}

// watchOnce waits for a change or for the end of the watch's life. A new watch
// returns at once what changed while none was waiting.
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
		if err := k.takeEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (k *Keeper) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-k.cfg.Clock.After(d):
	}
}
