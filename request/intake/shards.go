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
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/owner"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/version/evacuation"
)

// ShardSelector chooses the shard of a new job from the loads that the owners publish
// and the jobs that this host has submitted since. It is safe for concurrent use.
type ShardSelector struct {
	store ledger.Store
	view  func() *owner.View
	log   *zap.Logger
	// evacuated may be nil.
	evacuated *evacuation.Current
	// onLoads may be nil.
	onLoads func(map[heatherhub.ShardID]record.Load)
	// remoteFactor is the factor by which tasks take longer away from the rack of their data.
	remoteFactor float64

	mu    sync.Mutex
	loads map[heatherhub.ShardID]record.Load
	// unreported is the load of the jobs that this host has submitted to each shard
	// since the loads were read.
	unreported map[heatherhub.ShardID]unreportedLoad
	// random returns a number from zero to one. It is called with mu held.
	random func() float64
}

// unreportedLoad is load that a published load does not include yet.
type unreportedLoad struct {
	// cpuTime is the processor time of batch steps that do not wait for others.
	// reserved is what long-running tasks reserve.
	cpuTime  time.Duration
	reserved heatherhub.MilliCPU
}

// ShardSelectorConfig holds the dependencies of a ShardSelector.
type ShardSelectorConfig struct {
	Store ledger.Store
	View  func() *owner.View
	// Random returns a number from zero to one.
	Random func() float64
	// OnLoads, if set, is called with the loads after each read.
	OnLoads func(map[heatherhub.ShardID]record.Load)
	// Evacuated, if set, holds the evacuated failure domains.
	Evacuated *evacuation.Current
	// RemoteFactor is the factor by which tasks take longer away from the rack of their data;
	// zero selects the default.
	RemoteFactor float64
	Log          *zap.Logger
}

// NewShardSelector returns a selector without loads. Run and Refresh read them.
func NewShardSelector(cfg ShardSelectorConfig) *ShardSelector {
	heatherhub.SetDefault(&cfg.RemoteFactor, dispatch.DefaultRemoteFactor)
	return &ShardSelector{
		store: cfg.Store, view: cfg.View, log: cfg.Log, onLoads: cfg.OnLoads, evacuated: cfg.Evacuated,
		loads: make(map[heatherhub.ShardID]record.Load), unreported: make(map[heatherhub.ShardID]unreportedLoad),
		random: cfg.Random, remoteFactor: cfg.RemoteFactor,
	}
}

// loadInterval is the time between reads of the loads.
const loadInterval = time.Second

// Run reads the loads periodically until ctx is done.
func (s *ShardSelector) Run(ctx context.Context) {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		if err := s.Refresh(ctx); err != nil && ctx.Err() == nil {
			s.log.Debug("loads not read", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Refresh reads the loads that Choose uses, and forgets the load of the jobs that this host
// has submitted since the last read. It returns the errors of the store.
func (s *ShardSelector) Refresh(ctx context.Context) error {
	loads, err := owner.ReadLoads(ctx, s.store.RangeStale, s.log)
	if err != nil {
		return err
	}
	if s.onLoads != nil {
		s.onLoads(loads)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = loads
	clear(s.unreported)
	return nil
}

// Choose returns the shard with the lowest cost for a new job: the one that has the rack
// of its data, unless the job would wait there for longer than it loses elsewhere, otherwise
// the least loaded one or, if all loads have forecasts, the one where the job is expected to
// start first. Jobs with long-running tasks go to the shard with the lowest share of reserved
// processors. Shards without an owner are chosen only if no shard has one, those that lack
// workers for a step only if all do, and those without a usable worker, by their load or
// because their failure domain is evacuated, only if no shard has one. Choose returns
// heatherhub.ErrUnavailable while no shard is known.
func (s *ShardSelector) Choose(flow *heatherhub.Workflow) (heatherhub.ShardID, error) {
	v := s.view()
	if len(v.Layout.Shards) == 0 {
		return heatherhub.ShardID{}, heatherhub.WithRetryAfter(heatherhub.ErrUnavailable.New("no shard is known yet: try again later"), time.Second)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var best heatherhub.ShardID
	bestCost, isFound := 0.0, false
	costOf := s.cost
	if s.hasForecasts(v.Layout.Shards) && flow.Schedule == nil && !flow.IsLongRunning() {
		costOf = s.expectedWait
	}
	for _, size := range v.Layout.Shards {
		cost := costOf(size, flow) + jitter*s.random()
		if _, ok := v.Owners[size.Shard]; !ok {
			cost += noOwnerCost
		}
		if s.isUnusable(size.Shard) {
			cost += unusableCost
		}
		cost += noWorkerCost * float64(s.countUnrunnable(size.Shard, flow))
		if !isFound || cost < bestCost {
			best, bestCost, isFound = size.Shard, cost, true
		}
	}
	if n := s.countUnrunnable(best, flow); n > 0 {
		s.log.Info("no shard has workers for all steps", zap.String("job", string(flow.ID)), zap.Stringer("shard", best), zap.Int("count", n))
	}
	s.addUnreported(best, flow)
	return best, nil
}

// Terms of the cost of a shard, in the unit of record.Load.Pressure: a share of the
// shard's processors, or seconds of work on all of them.
const (
	// noOwnerCost is higher than the cost of any shard with an owner.
	noOwnerCost = 1e6
	// unusableCost is higher still: a shard without an owner has one within seconds.
	unusableCost = 1e9
	// noWorkerCost is added for each step for which a shard has no worker with its label or capacity. It is higher than
	// noOwnerCost, as a shard soon has an owner again.
	noWorkerCost = 1e7
	// jitter is the largest random addition to a cost. It keeps hosts that have read
	// the same loads from all choosing the same shard until the next read.
	jitter = 0.06
	// noRoomCost is added for a shard without workers for the job. It is higher than any
	// expected wait and lower than noOwnerCost.
	noRoomCost = 1e5
	// remoteServingCost is that of long-running tasks away from the rack of their data. It
	// exceeds every difference in the reserved share.
	remoteServingCost = 1.5
)

// cost returns the cost of running a job in a shard; lower is better. A shard whose load
// is unknown counts as empty. The caller holds mu.
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
		cost += s.remoteCost(flow, rack)
	}
	return cost
}

// countUnrunnable returns the number of steps of a job for which a shard has no worker, as far as its load says.
// The caller holds mu.
func (s *ShardSelector) countUnrunnable(id heatherhub.ShardID, flow *heatherhub.Workflow) int {
	l, n := s.loads[id], 0
	for i := range flow.Steps {
		if !l.CanRun(flow.Policy.Pool, &flow.Steps[i]) {
			n++
		}
	}
	return n
}

// hasForecasts reports whether the loads of all shards have forecasts. The caller holds mu.
func (s *ShardSelector) hasForecasts(shards []record.ShardSize) bool {
	return !slices.ContainsFunc(shards, func(size record.ShardSize) bool { return s.loads[size.Shard].Forecast == nil })
}

// expectedWait is the cost of running a job in a shard whose load has a forecast. The expected
// wait until the first start takes the place of the backlog, so that an urgent job does not
// avoid a shard for work that it goes before. The caller holds mu.
func (s *ShardSelector) expectedWait(size record.ShardSize, flow *heatherhub.Workflow) float64 {
	l := s.loads[size.Shard]
	isFiller := flow.Steps[0].Filler
	p := l.Forecast.Pools[flow.Policy.Pool]
	l.Backlog = 0
	l.Reserved += s.unreported[size.Shard].reserved
	cost := l.Pressure()
	if room := p.RoomFor(isFiller); room > 0 {
		cost += p.Lane(flow.Policy.Priority, isFiller).WaitOf(flow.Policy.Priority, flow.Work()).Seconds()
		cost += 1000 * s.unreported[size.Shard].cpuTime.Seconds() / float64(room)
	} else {
		cost += noRoomCost
	}
	if rack := dataRack(flow); rack != "" && len(l.Racks) > 0 && !slices.Contains(l.Racks, rack) {
		cost += s.remoteCost(flow, rack)
	}
	return cost
}

// remoteCost returns the cost of running a job away from the rack of its data: how much longer it
// takes, in seconds of work like the pressure of a shard.
func (s *ShardSelector) remoteCost(flow *heatherhub.Workflow, rack heatherhub.Rack) float64 {
	if flow.IsLongRunning() {
		return remoteServingCost
	}
	return dispatch.LocationLoss(flow, rack, s.remoteFactor).Seconds()
}

// addUnreported adds the load of a job to what this host has submitted to a shard. Batch
// steps that wait for other steps do not count, as they start later. The caller holds mu.
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

// dataRack returns the rack that holds the data of most tasks of a job, or "" if no step
// names a rack.
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

// asError returns the errorx error in the chain of err, or nil.
func asError(err error) *errorx.Error {
	var e *errorx.Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// evacuatedRetryAfter is the retry delay returned when all workers of a pool are evacuated. An
// evacuation lasts longer than that, and its end is known to all hosts within a second.
const evacuatedRetryAfter = 2 * time.Second

// CheckPool returns heatherhub.ErrUnavailable if all workers of a pool are in evacuated failure
// domains, according to the loads. A pool of which the loads say nothing passes.
func (s *ShardSelector) CheckPool(pool heatherhub.PoolID) error {
	if s.evacuatedSet().Len() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isEvacuated := false
	for _, l := range s.loads {
		_, isFree := l.LargestFree[pool]
		if isFree || slices.Contains(l.PoolsInService, pool) {
			return nil
		}
		isEvacuated = isEvacuated || slices.Contains(l.EvacuatedPools, pool)
	}
	if !isEvacuated {
		return nil
	}
	return heatherhub.WithRetryAfter(heatherhub.ErrUnavailable.New("all workers of pool %s are in evacuated failure domains: try again later", pool), evacuatedRetryAfter)
}

func (s *ShardSelector) evacuatedSet() evacuation.Set {
	if s.evacuated == nil {
		return evacuation.NewSet()
	}
	return s.evacuated.Load()
}

// isUnusable reports whether no worker of a shard can take a start because of an evacuation. The
// shards of the whole site have the workers of other domains, so only their loads count. The
// caller holds mu.
func (s *ShardSelector) isUnusable(id heatherhub.ShardID) bool {
	set := s.evacuatedSet()
	if set.Has(id.Domain) {
		return true
	}
	l, ok := s.loads[id]
	return ok && set.Len() > 0 && l.Capacity == 0 && len(l.EvacuatedPools) > 0
}
