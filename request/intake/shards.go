package intake

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/owner"
	"heatherhub.example/heatherhub/process/record"
)

// Shards chooses the shard of a new job by the load that the owners publish and by
// what this host has sent since.
type Shards struct {
	store ledger.Store
	view  func() *owner.View
	log   *zap.Logger

	mu    sync.Mutex
	loads map[heatherhub.ShardID]record.Load
	// sent is the processor time that this host has given to a shard since its
	// load was read.
	sent map[heatherhub.ShardID]time.Duration
	next int
}

// ShardsConfig is the configuration of the choice of shards.
type ShardsConfig struct {
	Store ledger.Store
	View  func() *owner.View
	Log   *zap.Logger
}

// NewShards returns a choice without loads; Run reads them.
func NewShards(cfg ShardsConfig) *Shards {
	return &Shards{
		store: cfg.Store, view: cfg.View, log: cfg.Log,
		loads: make(map[heatherhub.ShardID]record.Load), sent: make(map[heatherhub.ShardID]time.Duration),
	}
}

// loadInterval is how often the loads are read.
const loadInterval = time.Second

// Run reads the loads until ctx ends, if there is more than one shard to choose from.
func (s *Shards) Run(ctx context.Context) {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		if len(s.view().Layout.Shards) > 1 {
			if _, err := s.refresh(ctx); err != nil && ctx.Err() == nil {
				s.log.Debug("loads not read", zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *Shards) refresh(ctx context.Context) (map[heatherhub.ShardID]record.Load, error) {
	snap, err := s.store.Range(ctx, record.LoadPrefix)
	if err != nil {
		return nil, err
	}
	loads := make(map[heatherhub.ShardID]record.Load, len(snap.Items))
	for _, it := range snap.Items {
		id, err := heatherhub.ParseShardID(strings.TrimPrefix(it.Key, record.LoadPrefix))
		var l record.Load
		if err == nil {
			err = heatherhub.Unmarshal(it.Value, &l)
		}
		if err != nil {
			s.log.Warn("load unreadable", zap.String("key", it.Key), zap.Error(err))
			continue
		}
		loads[id] = l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = loads
	clear(s.sent)
	return loads, nil
}

// Waiting adds up the jobs of a queue that wait in all shards.
func (s *Shards) Waiting(ctx context.Context, queue heatherhub.QueueID) (int, error) {
	loads, err := s.refresh(ctx)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, l := range loads {
		n += l.Waiting[queue]
	}
	return n, nil
}

// Choose returns the shard with the least load for its size. Shards without an
// owner take jobs only if no other is left.
func (s *Shards) Choose(flow *heatherhub.Workflow) (heatherhub.ShardID, error) {
	v := s.view()
	if len(v.Layout.Shards) == 0 {
		return heatherhub.ShardID{}, heatherhub.WithRetryAfter(heatherhub.ErrUnavailable.New("no shard is known yet: try again"), time.Second)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	var best heatherhub.ShardID
	bestCost, isFound := 0.0, false
	for i := range v.Layout.Shards {
		size := v.Layout.Shards[(i+s.next)%len(v.Layout.Shards)]
		cost := s.cost(size)
		if _, ok := v.Owners[size.Shard]; !ok {
			cost += withoutOwner
		}
		if !isFound || cost < bestCost {
			best, bestCost, isFound = size.Shard, cost, true
		}
	}
	s.sent[best] += workOf(flow)
	return best, nil
}

// withoutOwner is above every load.
const withoutOwner = 1e6

// cost returns the seconds of work that a shard has before it, plus the share of
// its processors in use. The caller has the lock.
func (s *Shards) cost(size record.ShardSize) float64 {
	l, ok := s.loads[size.Shard]
	capacity := float64(size.CPU) / 1000
	used := 0.0
	if ok && l.Capacity > 0 {
		capacity = float64(l.Capacity) / 1000
		used = float64(l.Reserved+l.Filling) / float64(l.Capacity)
	}
	return used + (l.Backlog+s.sent[size.Shard]).Seconds()/max(capacity, 1)
}

// workOf returns the processor time of a job's first steps.
func workOf(flow *heatherhub.Workflow) time.Duration {
	var d time.Duration
	for i := range flow.Steps {
		if st := &flow.Steps[i]; len(st.After) == 0 {
			d += time.Duration(st.Tasks) * st.Estimate * time.Duration(st.Need.CPU) / 1000
		}
	}
	return d
}

func asError(err error) *errorx.Error {
	var e *errorx.Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}
