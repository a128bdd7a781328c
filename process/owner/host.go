package owner

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/version/queues"
)

// Clock reads the host's clocks.
type Clock interface {
	Now() dispatch.Moment
}

// Config is the configuration of a host's shards.
type Config struct {
	Self   heatherhub.HostID
	Domain heatherhub.FailureDomain
	// Address is where peers reach this host.
	Address string
	// Cores is the share of a processor that this host has.
	Cores float64
	Store ledger.Store
	// Dial returns a client of one life of a worker.
	Dial func(id heatherhub.WorkerID, address string) agent.Agent
	// WorkerPrefix and DecodeWorker tell where workers register and how.
	WorkerPrefix string
	DecodeWorker func(ledger.Item) (agent.Worker, error)
	Tables       *queues.Current
	Clock        Clock
	Log          *zap.Logger
	// Registry takes the metrics, if set.
	Registry prometheus.Registerer
	Limits
}

// Limits holds the times and sizes of ownership. Zero values take the defaults.
type Limits struct {
	// SessionTTL is the life of a lost host's claim on its shards.
	SessionTTL time.Duration
	// WorkerLease is how long a worker goes on without its owner.
	WorkerLease time.Duration
	// WorkerHeartbeat is how often workers refresh their entries.
	WorkerHeartbeat time.Duration
	// MaxStoreSilence is how long an owner acts without an answer of the store.
	MaxStoreSilence time.Duration
	// WorkersPerShard is the size of a shard.
	WorkersPerShard int
	// EndedRetention is how long ended jobs are kept.
	EndedRetention time.Duration
}

// Defaults of the limits.
const (
	// DefaultSessionTTL is a few renewals above the least lease of the store.
	DefaultSessionTTL = 1500 * time.Millisecond
	// DefaultWorkerLease outlasts a takeover and a short partition.
	DefaultWorkerLease     = 6 * time.Second
	defaultWorkerHeartbeat = time.Second
	defaultMaxStoreSilence = 10 * time.Second
	// defaultWorkersPerShard is what a fifth of a core can poll and feed: 117 workers of
	// a busy site took 0.2 of a core at the peak.
	defaultWorkersPerShard = 120
	defaultEndedRetention  = 150 * time.Second
)

func (l *Limits) setDefaults() {
	heatherhub.SetDefault(&l.SessionTTL, DefaultSessionTTL)
	heatherhub.SetDefault(&l.WorkerLease, DefaultWorkerLease)
	heatherhub.SetDefault(&l.WorkerHeartbeat, defaultWorkerHeartbeat)
	heatherhub.SetDefault(&l.MaxStoreSilence, defaultMaxStoreSilence)
	heatherhub.SetDefault(&l.WorkersPerShard, defaultWorkersPerShard)
	heatherhub.SetDefault(&l.EndedRetention, defaultEndedRetention)
}

// Host runs the shards of this host.
type Host struct {
	cfg   Config
	view  atomic.Pointer[View]
	mu    sync.Mutex
	terms map[heatherhub.ShardID]*term
	// ownerlessSince is when a shard was first seen without an owner.
	ownerlessSince map[heatherhub.ShardID]time.Duration
	session        session
	group          conc.WaitGroup
	campaignWake   chan struct{}
	isStopping     atomic.Bool
	claimAttempts  int
	onView         []func(*View)
	metrics        *metrics
}

// OnView adds a function that is called with each new view. Call it before Run.
func (h *Host) OnView(f func(*View)) {
	h.onView = append(h.onView, f)
}

func (h *Host) setView(v *View) {
	h.view.Store(v)
	for _, f := range h.onView {
		f(v)
	}
	h.wakeCampaign()
}

// View is what a host knows of the shards.
type View struct {
	Layout record.Layout
	Owners map[heatherhub.ShardID]record.Owner
}

// New returns a host without shards.
func New(cfg Config) *Host {
	cfg.setDefaults()
	h := &Host{
		cfg: cfg, terms: make(map[heatherhub.ShardID]*term),
		ownerlessSince: make(map[heatherhub.ShardID]time.Duration), campaignWake: make(chan struct{}, 1),
		metrics: newMetrics(cfg.Registry),
	}
	h.view.Store(&View{Owners: map[heatherhub.ShardID]record.Owner{}})
	h.session.host = h
	return h
}

// View returns what is known of the shards.
func (h *Host) View() *View {
	return h.view.Load()
}

// Times of the campaign for shards.
const (
	// shardWatchTimeout bounds one watch of the shards' owners.
	shardWatchTimeout = 2 * time.Second
	// campaignInterval is how often a host looks for shards without an owner.
	campaignInterval = 100 * time.Millisecond
	// layoutStableTime is how long the set of workers must stay the same before the
	// shards are laid out.
	layoutStableTime = 700 * time.Millisecond
	// maxOrphanCheckSilence is the silence of the store in which this host's keys are left
	// alone: what it knows of them is old.
	maxOrphanCheckSilence = time.Second
	// claimDelayOtherDomain and claimDelayPerOwnedShard hold a host back where another one is closer to
	// the shard or has fewer shards.
	claimDelayOtherDomain   = 400 * time.Millisecond
	claimDelayPerOwnedShard = 250 * time.Millisecond
	// claimDelayPerMissingCore holds a host back, for each processor that it lacks to noDelayCores,
	// where there are shards enough to be spread by strength.
	claimDelayPerMissingCore = 800 * time.Millisecond
	noDelayCores             = 0.5
)

// Run takes shards over until ctx ends, then hands them over.
func (h *Host) Run(ctx context.Context) {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	f := ledger.Follower{
		Store: h.cfg.Store, Prefix: record.ShardPrefix, Wait: shardWatchTimeout, Log: h.cfg.Log,
		OnSnapshot: h.applyShardSnapshot, OnChanges: h.applyShardChanges, OnContact: h.session.recordContact,
	}
	h.group.Go(func() { f.Run(inner, nil) })
	h.group.Go(func() { h.session.renewLoop(inner) })
	h.group.Go(func() { h.planLayout(inner) })
	h.campaign(ctx)
	h.isStopping.Store(true)
	h.handOverShards(inner)
	cancel()
	h.group.Wait()
}

func (h *Host) applyShardSnapshot(s ledger.Snapshot) {
	v := &View{Owners: make(map[heatherhub.ShardID]record.Owner)}
	for _, it := range s.Items {
		h.applyShardEvent(v, ledger.Event{Item: it})
	}
	h.setView(v)
}

func (h *Host) applyShardChanges(events []ledger.Event) {
	old := h.view.Load()
	v := &View{Layout: old.Layout, Owners: make(map[heatherhub.ShardID]record.Owner, len(old.Owners))}
	for s, o := range old.Owners {
		v.Owners[s] = o
	}
	for _, e := range events {
		h.applyShardEvent(v, e)
	}
	h.setView(v)
}

func (h *Host) applyShardEvent(v *View, e ledger.Event) {
	if e.Key == record.LayoutKey {
		var l record.Layout
		if err := heatherhub.Unmarshal(e.Value, &l); err != nil {
			h.cfg.Log.Error("layout unreadable", zap.Error(err))
			return
		}
		v.Layout = l
		return
	}
	shard, err := heatherhub.ParseShardID(strings.TrimPrefix(e.Key, record.OwnerPrefix))
	if err != nil {
		h.cfg.Log.Warn("key ignored", zap.String("key", e.Key), zap.Error(err))
		return
	}
	if e.Deleted {
		delete(v.Owners, shard)
		h.endRevokedTerm(shard, e.Revision, "owner's key is gone")
		return
	}
	var o record.Owner
	if err := heatherhub.Unmarshal(e.Value, &o); err != nil {
		h.cfg.Log.Error("owner unreadable", zap.String("key", e.Key), zap.Error(err))
		return
	}
	v.Owners[shard] = o
}

// endRevokedTerm ends the term of a shard whose key was removed after it began.
func (h *Host) endRevokedTerm(s heatherhub.ShardID, at ledger.Revision, why string) {
	h.mu.Lock()
	t := h.terms[s]
	h.mu.Unlock()
	if t != nil && at > t.ownerRevision {
		t.end(why)
	}
}

func (h *Host) wakeCampaign() {
	select {
	case h.campaignWake <- struct{}{}:
	default:
	}
}

// handOverShards hands the shards over: their terms end after the last commit, and the
// lease goes with its keys.
func (h *Host) handOverShards(ctx context.Context) {
	h.mu.Lock()
	terms := make([]*term, 0, len(h.terms))
	for _, t := range h.terms {
		terms = append(terms, t)
	}
	h.mu.Unlock()
	var g conc.WaitGroup
	for _, t := range terms {
		g.Go(t.handOver)
	}
	g.Wait()
	h.session.end(ctx)
}

// endAllTerms ends all terms.
func (h *Host) endAllTerms(why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.terms {
		t.end(why)
	}
}

// JobState returns the durable state of a job if this host owns its shard.
func (h *Host) JobState(id heatherhub.JobID) (heatherhub.WorkflowState, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.terms {
		if s, ok := t.jobState(id); ok {
			return s, true
		}
	}
	return "", false
}

// Overview is what a host says of the shards that it owns.
type Overview struct {
	Shards  []heatherhub.ShardID  `msgpack:"sh,omitempty" json:"shards"`
	Jobs    []dispatch.JobView    `msgpack:"j,omitempty" json:"jobs"`
	Workers []dispatch.WorkerView `msgpack:"w,omitempty" json:"workers"`
	// HasMore says that jobs were left out.
	HasMore bool `msgpack:"m,omitempty" json:"hasMore"`
}

// OverviewQuery says what an overview should have.
type OverviewQuery struct {
	// Job asks for one job; else Queue and State narrow the list if they are set.
	Job   heatherhub.JobID         `msgpack:"id,omitempty"`
	Queue heatherhub.QueueID       `msgpack:"q,omitempty"`
	State heatherhub.WorkflowState `msgpack:"s,omitempty"`
	// MaxJobs is the largest number of jobs; zero is none.
	MaxJobs int  `msgpack:"n,omitempty"`
	Workers bool `msgpack:"w,omitempty"`
}

func (q *OverviewQuery) matches(v dispatch.JobView) bool {
	return (q.Job == "" || q.Job == v.ID) && (q.Queue == "" || q.Queue == v.Queue) && (q.State == "" || q.State == v.State)
}

// Overview returns what operators are shown of this host's shards.
func (h *Host) Overview(q OverviewQuery) Overview {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out Overview
	for s, t := range h.terms {
		out.Shards = append(out.Shards, s)
		t.appendOverview(&out, q)
	}
	return out
}

func (t *term) appendOverview(out *Overview, q OverviewQuery) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Job != "" {
		if v, ok := t.engine.Job(q.Job); ok {
			out.Jobs = append(out.Jobs, v)
		}
	} else if left := q.MaxJobs - len(out.Jobs); left > 0 {
		jobs, hasMore := t.engine.Jobs(left, q.matches)
		out.Jobs = append(out.Jobs, jobs...)
		out.HasMore = out.HasMore || hasMore
	}
	if q.Workers {
		out.Workers = append(out.Workers, t.engine.Workers(t.now())...)
	}
}
