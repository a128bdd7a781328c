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
	"heatherhub.example/heatherhub/version/evacuation"
	"heatherhub.example/heatherhub/version/queues"
)

// Clock reads the host's steady and wall clocks.
type Clock interface {
	Now() dispatch.Moment
}

// Config configures a Host.
type Config struct {
	Self   heatherhub.HostID
	Domain heatherhub.FailureDomain
	// Address is the address at which peers reach this host.
	Address string
	// Cores is the processor capacity of this host, in cores; it may be below one. Zero
	// stands for one core.
	Cores float64
	Store ledger.Store
	// Dial returns a client for one incarnation of a worker.
	Dial func(id heatherhub.WorkerID, address string) agent.Agent
	// WorkerPrefix is the prefix of the store keys under which workers register.
	WorkerPrefix string
	// DecodeWorker decodes a worker's registration.
	DecodeWorker func(ledger.Item) (agent.Worker, error)
	Tables       *queues.Current
	// Evacuated holds the evacuated failure domains. If it is nil, there are none; otherwise
	// nothing starts before it is known.
	Evacuated *evacuation.Current
	Clock     Clock
	Log       *zap.Logger
	// Registry registers the metrics, if set.
	Registry prometheus.Registerer
	Limits
}

// Limits holds the timeouts and sizes of ownership. Zero values take the defaults.
type Limits struct {
	// SessionTTL is the TTL of the store lease behind a host's owner keys. The shards of
	// a host that fails can be claimed after it.
	SessionTTL time.Duration
	// WorkerLease is how long a worker runs its tasks without a renewal by the owner.
	WorkerLease time.Duration
	// MaxWorkerLease is the longest lease that a worker grants. It shortens longer ones.
	MaxWorkerLease time.Duration
	// WorkerHeartbeat is how often workers refresh their entries.
	WorkerHeartbeat time.Duration
	// MaxStoreSilence is how long an owner acts without an answer from the store.
	MaxStoreSilence time.Duration
	// WorkersPerShard bounds the mean number of workers in the shards of a failure
	// domain. Since racks are not split, a single shard may have more.
	WorkersPerShard int
	// EndedRetention is how long ended jobs are kept in the store.
	EndedRetention time.Duration
	// FenceRetention is how long the fence of a job stays in the store at least.
	FenceRetention time.Duration
	// Tuning has the delays and thresholds of the decisions.
	Tuning dispatch.Tuning
}

// Defaults of the limits.
const (
	// DefaultSessionTTL exceeds the shortest lease that the store grants by a few renewals.
	DefaultSessionTTL = 1500 * time.Millisecond
	// DefaultWorkerLease is longer than a takeover or a short partition takes.
	DefaultWorkerLease     = 6 * time.Second
	defaultWorkerHeartbeat = time.Second
	defaultMaxStoreSilence = 10 * time.Second
	// defaultWorkersPerShard keeps an owner within a third of a core: 163 workers of a busy
	// site need 0.17 cores at the peak. Fewer shards strand less room and learn faster.
	defaultWorkersPerShard = 240
	defaultEndedRetention  = 150 * time.Second
	// defaultFenceRetention is ample: late writes take effect within seconds, and callers repeat a
	// submission within its deadlines.
	defaultFenceRetention = 3 * time.Minute
)

func (l *Limits) setDefaults() {
	heatherhub.SetDefault(&l.SessionTTL, DefaultSessionTTL)
	heatherhub.SetDefault(&l.WorkerLease, DefaultWorkerLease)
	heatherhub.SetDefault(&l.MaxWorkerLease, l.WorkerLease)
	heatherhub.SetDefault(&l.WorkerHeartbeat, defaultWorkerHeartbeat)
	heatherhub.SetDefault(&l.MaxStoreSilence, defaultMaxStoreSilence)
	heatherhub.SetDefault(&l.WorkersPerShard, defaultWorkersPerShard)
	heatherhub.SetDefault(&l.EndedRetention, defaultEndedRetention)
	heatherhub.SetDefault(&l.FenceRetention, defaultFenceRetention)
	l.Tuning.SetDefaults()
}

// Host claims and runs shards for one host of the site. Its methods may be called
// concurrently, except OnView.
type Host struct {
	cfg  Config
	view atomic.Pointer[View]
	// mu guards terms, claims, sightings and ownerlessSince.
	mu     sync.Mutex
	terms  map[heatherhub.ShardID]*term
	claims map[heatherhub.ShardID]claims
	// sightings has the claims that this host has seen. A change of the keys that was missed does not matter for them.
	sightings map[heatherhub.ShardID]sightings
	// ownerlessSince is the steady time at which a shard was first seen without an owner.
	ownerlessSince map[heatherhub.ShardID]time.Duration
	session        session
	group          conc.WaitGroup
	// campaignWake makes the campaign look for shards before its next tick.
	campaignWake chan struct{}
	isStopping   atomic.Bool
	// claimAttempts makes the nonces of claims unique. Only the campaign uses it.
	claimAttempts int
	onView        []func(*View)
	metrics       *metrics
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

// View is a host's view of the shards and their owners. It is not modified after it was
// passed to OnView functions.
type View struct {
	Layout record.Layout
	Owners map[heatherhub.ShardID]record.Owner
}

// New returns a host that owns no shards yet; Run claims them.
func New(cfg Config) *Host {
	cfg.setDefaults()
	heatherhub.SetDefault(&cfg.Cores, 1)
	h := &Host{
		cfg: cfg, terms: make(map[heatherhub.ShardID]*term), claims: make(map[heatherhub.ShardID]claims), sightings: make(map[heatherhub.ShardID]sightings),
		ownerlessSince: make(map[heatherhub.ShardID]time.Duration), campaignWake: make(chan struct{}, 1),
		metrics: newMetrics(cfg.Registry),
	}
	h.metrics.registerEvacuated(cfg.Registry, func() float64 { return float64(h.evacuated().Len()) })
	h.view.Store(&View{Owners: map[heatherhub.ShardID]record.Owner{}})
	h.session.host = h
	return h
}

// View returns the latest view, which the caller must not modify.
func (h *Host) View() *View {
	return h.view.Load()
}

// Timing of the claims of shards.
const (
	// shardWatchTimeout bounds one watch of the layout and the owner keys.
	shardWatchTimeout = 2 * time.Second
	// campaignInterval is how often a host looks for shards without an owner.
	campaignInterval = 100 * time.Millisecond
	// layoutStableTime is how long the number of registered workers must stay the same
	// before the layout of the shards is written.
	layoutStableTime = 700 * time.Millisecond
	// maxOrphanCheckSilence is the time without an answer from the store after which the
	// view is too old to decide that an owner key is orphaned.
	maxOrphanCheckSilence = time.Second
	// claimDelayOtherDomain delays claims of shards in another failure domain.
	claimDelayOtherDomain = 400 * time.Millisecond
	// claimDelayAtCapacity delays the claim of a host that would then own as many workers as
	// it can carry; less load takes less time.
	claimDelayAtCapacity = 250 * time.Millisecond
	// claimDelayPerOverload is added for each multiple of its capacity that a host would own
	// beyond, up to maxOverloadDelay: it claims only if no stronger host does.
	claimDelayPerOverload = 500 * time.Millisecond
	maxOverloadDelay      = 1200 * time.Millisecond
	// maxClaimSpread is the longest delay by which equal hosts are spread, in spreadSteps
	// steps. A claim is visible to the others after some milliseconds.
	maxClaimSpread = 60 * time.Millisecond
	spreadSteps    = 32
)

// Run claims and runs shards until ctx ends, then hands them over and releases the lease.
// Call it once.
func (h *Host) Run(ctx context.Context) {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	f := ledger.Watcher{
		Store: h.cfg.Store, Prefix: record.ShardPrefix, WatchTimeout: shardWatchTimeout, Log: h.cfg.Log,
		OnSnapshot: h.applyShardSnapshot, OnChanges: h.applyShardChanges, OnReply: h.session.recordContact,
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

// applyShardSnapshot replaces the view by the contents of a snapshot.
func (h *Host) applyShardSnapshot(s ledger.Snapshot) {
	v := &View{Owners: make(map[heatherhub.ShardID]record.Owner)}
	for _, it := range s.Items {
		h.applyShardEvent(v, ledger.Event{Item: it}, false)
	}
	h.forgetClaims(v.Owners)
	h.setView(v)
}

// applyShardChanges sets a new view with the changes applied.
func (h *Host) applyShardChanges(events []ledger.Event) {
	old := h.view.Load()
	v := &View{Layout: old.Layout, Owners: make(map[heatherhub.ShardID]record.Owner, len(old.Owners))}
	for s, o := range old.Owners {
		v.Owners[s] = o
	}
	for _, e := range events {
		h.applyShardEvent(v, e, true)
	}
	h.setView(v)
}

// applyShardEvent applies the change of a layout or owner key to v. If this host's own
// claim was deleted, it ends the term. isNext says that no change of the key was missed before.
func (h *Host) applyShardEvent(v *View, e ledger.Event, isNext bool) {
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
		h.endRevokedTerm(shard, e.Revision, "owner key was deleted")
		return
	}
	h.recordClaim(shard, e.Revision, isNext)
	var o record.Owner
	if err := heatherhub.Unmarshal(e.Value, &o); err != nil {
		h.cfg.Log.Error("owner unreadable", zap.String("key", e.Key), zap.Error(err))
		return
	}
	v.Owners[shard] = o
}

// endRevokedTerm ends the term of a shard if its owner key was deleted at a revision
// after the term's claim.
func (h *Host) endRevokedTerm(s heatherhub.ShardID, at ledger.Revision, reason string) {
	h.mu.Lock()
	t := h.terms[s]
	h.mu.Unlock()
	if t != nil && at > t.ownerRevision {
		t.end(reason)
	}
}

func (h *Host) wakeCampaign() {
	select {
	case h.campaignWake <- struct{}{}:
	default:
	}
}

// handOverShards ends each term after a last commit, then ends the lease, which deletes
// the owner keys.
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

// endAllTerms ends all terms at once, without a last commit.
func (h *Host) endAllTerms(reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.terms {
		t.end(reason)
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

// Overview is the operator's view of the shards that a host owns.
type Overview struct {
	// Shards are the shards whose jobs and workers are included.
	Shards  []heatherhub.ShardID  `msgpack:"sh,omitempty" json:"shards"`
	Jobs    []dispatch.JobView    `msgpack:"j,omitempty" json:"jobs"`
	Workers []dispatch.WorkerView `msgpack:"w,omitempty" json:"workers"`
	// HasMore says that there are more jobs than OverviewQuery.MaxJobs.
	HasMore bool `msgpack:"m,omitempty" json:"hasMore"`
	// Domains has the evacuated failure domains and those of the shards.
	Domains []DomainOverview `msgpack:"d,omitempty" json:"domains,omitempty"`
}

// DomainOverview is what a host knows of a failure domain.
type DomainOverview struct {
	Domain heatherhub.FailureDomain `msgpack:"d" json:"domain"`
	// Since is the time at which the host has read that the domain is evacuated; zero if it is
	// not.
	Since time.Time `msgpack:"s" json:"since"`
	// Waiting is the number of jobs in the host's shards of the domain that have started no
	// task.
	Waiting int `msgpack:"w,omitempty" json:"waiting"`
}

// OverviewQuery selects the contents of an Overview.
type OverviewQuery struct {
	// Job selects one job. If it is empty, Queue and State filter the list of jobs where
	// they are set.
	Job   heatherhub.JobID         `msgpack:"id,omitempty"`
	Queue heatherhub.QueueID       `msgpack:"q,omitempty"`
	State heatherhub.WorkflowState `msgpack:"s,omitempty"`
	// MaxJobs is the maximum number of jobs to list; zero lists none.
	MaxJobs int  `msgpack:"n,omitempty"`
	Workers bool `msgpack:"w,omitempty"`
	Domains bool `msgpack:"d,omitempty"`
}

func (q *OverviewQuery) matches(v dispatch.JobView) bool {
	return (q.Job == "" || q.Job == v.ID) && (q.Queue == "" || q.Queue == v.Queue) && (q.State == "" || q.State == v.State)
}

// Overview returns the jobs and workers of this host's shards that q selects.
func (h *Host) Overview(q OverviewQuery) Overview {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out Overview
	if q.Domains {
		for _, r := range h.evacuated().Requests() {
			out.Domains = append(out.Domains, DomainOverview{Domain: r.Domain, Since: r.Since})
		}
	}
	for _, t := range h.terms {
		t.appendOverview(&out, q)
	}
	return out
}

// appendOverview appends the shard of the term, and its jobs and workers that q selects, to
// out. It appends nothing before the term has read the jobs.
func (t *term) appendOverview(out *Overview, q OverviewQuery) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasJobs {
		return
	}
	out.Shards = append(out.Shards, t.shard)
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
	if q.Domains {
		d := DomainOverview{Domain: t.shard.Domain}
		for _, n := range t.engine.QueuedJobs() {
			d.Waiting += n
		}
		out.Domains = append(out.Domains, d)
	}
}
