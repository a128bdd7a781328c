package route

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/request/endpoint"
)

// DefaultRunGracePeriod is how long a granted run may continue after its caller's
// deadline, so that its answer can be recorded.
const DefaultRunGracePeriod = 30 * time.Second

// defaultDeadline is the time allowed for a call without a deadline.
const defaultDeadline = 30 * time.Second

// OwnerConfig configures an Owner. Zero values mean the defaults.
type OwnerConfig struct {
	Directory Directory
	Replicas  ReplicaLister
	Keys      IdempotencyStore
	// Workers sends requests to replicas.
	Workers worker.Server
	// Peers calls the other owners.
	Peers          peer.Caller
	Clock          clockwork.Clock
	Log            *zap.Logger
	Tracer         trace.Tracer
	Metrics        *Metrics
	RunGracePeriod time.Duration
	// Endpoint configures the choice of replicas in each shard's pool.
	Endpoint endpoint.Config
}

// Owner handles requests at the owner of a shard: it grants a keyed request its
// only run, chooses the replica and enforces the slot limits of the workers. It is
// safe for concurrent use.
type Owner struct {
	cfg OwnerConfig
	wg  conc.WaitGroup

	mu     sync.Mutex
	shards map[heatherhub.ShardID]*shardPool

	runs keyedRunTable

	// closing is cancelled by Close.
	closing context.Context
	close   context.CancelFunc
}

// NewOwner returns an owner whose pools are included in the gauges of cfg.Metrics.
func NewOwner(cfg OwnerConfig) *Owner {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(nil)
	}
	if cfg.RunGracePeriod == 0 {
		cfg.RunGracePeriod = DefaultRunGracePeriod
	}
	o := &Owner{cfg: cfg, shards: make(map[heatherhub.ShardID]*shardPool), runs: newKeyedRunTable()}
	o.closing, o.close = context.WithCancel(context.Background())
	cfg.Metrics.addOwner(o)
	return o
}

// Handler returns the handler of peer.MethodServe.
func (o *Owner) Handler() peer.Handler {
	return peer.NewHandler(o.Serve)
}

// Close waits for requests in progress and cancels idempotent ones whose callers
// no longer wait. It must be called after the last call of Serve.
func (o *Owner) Close() {
	o.close()
	o.wg.Wait()
}

// ReplicaInFlight returns the number of requests that hold a slot of a replica, so
// that a planned stop can wait for them.
func (o *Owner) ReplicaInFlight(s heatherhub.ShardID, id heatherhub.TaskID) int {
	p := o.poolOf(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.ReplicaInFlight(id)
}

// KeyedRuns returns the number of runs with an idempotency key that are under way here. A request with the key of one joins it.
func (o *Owner) KeyedRuns() int {
	o.runs.mu.Lock()
	defer o.runs.mu.Unlock()
	return len(o.runs.runs)
}

// pools returns the pools of all shards.
func (o *Owner) pools() []*shardPool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Values(o.shards))
}

// Serve handles one call of an entry host or of another owner.
func (o *Owner) Serve(ctx context.Context, _ heatherhub.HostID, c ServeCall) (ServeReply, error) {
	ctx, span := o.cfg.Tracer.Start(ctx, "owner.serve", trace.WithAttributes(
		attribute.String("shard", c.Shard.String()), attribute.String("request", string(c.ID))))
	defer span.End()
	reply, err := o.serve(ctx, c)
	o.cfg.Metrics.countServed(c.Workload, err)
	if err != nil {
		span.RecordError(err)
		return ServeReply{}, err
	}
	reply.ID = c.ID
	return reply, nil
}

func (o *Owner) serve(ctx context.Context, c ServeCall) (ServeReply, error) {
	if err := o.checkOwner(c.Shard); err != nil {
		return ServeReply{}, err
	}
	self, _ := o.cfg.Directory.Self()
	w := o.workload(c.Workload)
	switch {
	case w == nil:
		return ServeReply{}, heatherhub.ErrNotFound.New("service %q is not declared on host %q: wait for its configuration", c.Workload, self)
	case c.Granted:
		return o.runGranted(ctx, c)
	case w.Idempotent:
		end, ok := ctx.Deadline()
		if !ok {
			end = time.Now().Add(defaultDeadline)
		}
		return o.execute(ctx, c, end, nil)
	case c.Key == "":
		return ServeReply{}, heatherhub.ErrInvalid.New("service %q is not idempotent: send an Idempotency-Key header", c.Workload)
	default:
		return o.serveKeyed(ctx, c)
	}
}

// workload returns the declaration of a workload, or nil.
func (o *Owner) workload(id heatherhub.WorkloadID) *heatherhub.Workload {
	s := o.cfg.Directory.Snapshot()
	if s == nil {
		return nil
	}
	return s.Workload(id)
}

// checkOwner returns ErrNotOwner unless this host owns the shard.
func (o *Owner) checkOwner(s heatherhub.ShardID) error {
	self, _ := o.cfg.Directory.Self()
	if owner, ok := o.cfg.Directory.Owner(s); !ok || owner != self {
		return heatherhub.ErrNotOwner.New("host %q does not own shard %s: read the owner again", self, s)
	}
	return nil
}

// poolOf returns the pool of a shard, which it creates if there is none.
func (o *Owner) poolOf(id heatherhub.ShardID) *shardPool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.shards[id]
	if p == nil {
		p = newShardPool(id, &o.cfg)
		o.shards[id] = p
	}
	return p
}
