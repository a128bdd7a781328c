package intake

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/owner"
	"heatherhub.example/heatherhub/process/record"
)

// ShardSelector chooses the shard of a new job by the load that the owners publish and by
// what this host has sent since.
type ShardSelector struct {
	store ledger.Store
	view  func() *owner.View
	log   *zap.Logger

	mu    sync.Mutex
	loads map[heatherhub.ShardID]record.Load
	// sent is what this host has given to a shard since its load was read.
	unreported map[heatherhub.ShardID]unreportedLoad
	// random returns a number from zero to one.
	random func() float64
}

// sent is work that a load does not show yet.
type unreportedLoad struct {
	// work is processor time, lasting what lasting tasks reserve.
	cpuTime  time.Duration
	reserved heatherhub.MilliCPU
}

// ShardSelectorConfig is the configuration of the choice of shards.
type ShardSelectorConfig struct {
	Store ledger.Store
	View  func() *owner.View
	// Random returns a number from zero to one.
	Random func() float64
	Log    *zap.Logger
}

// NewShardSelector returns a choice without loads; Run reads them.
func NewShardSelector(cfg ShardSelectorConfig) *ShardSelector {
	return &ShardSelector{
		store: cfg.Store, view: cfg.View, log: cfg.Log,
		loads: make(map[heatherhub.ShardID]record.Load), unreported: make(map[heatherhub.ShardID]unreportedLoad),
		random: cfg.Random,
	}
}

// loadInterval is how often the loads are read.
const loadInterval = time.Second

// Run reads the loads until ctx ends, if there is more than one shard to choose from.
func (s *ShardSelector) Run(ctx context.Context) {
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

func (s *ShardSelector) refresh(ctx context.Context) (map[heatherhub.ShardID]record.Load, error) {
	loads, err := owner.ReadLoads(ctx, s.store, s.log)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = loads
	clear(s.unreported)
	return loads, nil
}

// QueuedJobs adds up the jobs of a queue that wait in all shards.
func (s *ShardSelector) QueuedJobs(ctx context.Context, queue heatherhub.QueueID) (int, error) {
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

// Choose returns the shard that serves a new job best: the one with the rack of its
// data, unless that is much busier, and the least loaded one else. Lasting tasks go
// where most processors are not reserved. Shards without an owner take jobs only if no
// other is left.
func (s *ShardSelector) Choose(flow *heatherhub.Workflow) (heatherhub.ShardID, error) {
	v := s.view()
	if len(v.Layout.Shards) == 0 {
		return heatherhub.ShardID{}, heatherhub.WithRetryAfter(heatherhub.ErrUnavailable.New("no shard is known yet: try again"), time.Second)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var best heatherhub.ShardID
	bestCost, isFound := 0.0, false
	for _, size := range v.Layout.Shards {
		cost := s.cost(size, flow) + jitter*s.random()
		if _, ok := v.Owners[size.Shard]; !ok {
			cost += noOwnerCost
		}
		if !isFound || cost < bestCost {
			best, bestCost, isFound = size.Shard, cost, true
		}
	}
	s.addUnreported(best, flow)
	return best, nil
}

// Weights of the choice of a shard, as shares of its processors or seconds of work.
const (
	// withoutOwner is above every load.
	noOwnerCost = 1e6
	// scatter keeps hosts that know the same loads from all choosing the same shard
	// until the next loads come.
	jitter = 0.06
	// remoteCost is what it costs to run a job away from its data: tasks take up to
	// three times as long there.
	remoteDataCost = 1.5
)

// cost ranks a shard for a job; less is better. The caller has the lock.
func (s *ShardSelector) cost(size record.ShardSize, flow *heatherhub.Workflow) float64 {
	l, ok := s.loads[size.Shard]
	if !ok {
		l.Capacity = size.CPU
	}
	unreported := s.unreported[size.Shard]
	l.Backlog += unreported.cpuTime
	l.Reserved += unreported.reserved
	cost := l.Pressure()
	if flow.IsLongRunning() {
		cost = l.ReservedShare()
	}
	if rack := dataRack(flow); rack != "" && len(l.Racks) > 0 && !slices.Contains(l.Racks, rack) {
		cost += remoteDataCost
	}
	return cost
}

// note remembers what this host has sent to a shard. The caller has the lock.
func (s *ShardSelector) addUnreported(shard heatherhub.ShardID, flow *heatherhub.Workflow) {
	unreported := s.unreported[shard]
	for i := range flow.Steps {
		switch st := &flow.Steps[i]; {
		case st.LongRunning:
			unreported.reserved += heatherhub.MilliCPU(st.Tasks) * st.Reserved().CPU
		case len(st.After) == 0:
			unreported.cpuTime += time.Duration(st.Tasks) * st.Estimate * time.Duration(st.Need.CPU) / 1000
		}
	}
	s.unreported[shard] = unreported
}

// dataRack returns the rack that most tasks of a job have their data in, or "".
func dataRack(flow *heatherhub.Workflow) heatherhub.Rack {
	tasks := make(map[heatherhub.Rack]int)
	var best heatherhub.Rack
	for i := range flow.Steps {
		st := &flow.Steps[i]
		if st.DataRack == "" {
			continue
		}
		tasks[st.DataRack] += st.Tasks
		if tasks[st.DataRack] > tasks[best] {
			best = st.DataRack
		}
	}
	return best
}

func asError(err error) *errorx.Error {
	var e *errorx.Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}
