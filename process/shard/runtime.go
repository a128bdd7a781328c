package shard

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/iter"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/shard/core"
)

// Defaults of the configuration.
const (
	DefaultTickInterval = 50 * time.Millisecond
	DefaultMaxCommands  = 256
	// hostListInterval is the time between two reads of the platform's host list.
	hostListInterval = 2 * time.Second
	// callTimeout bounds a call to the store, a worker or the host list.
	callTimeout = 2 * time.Second
	// drainPollInterval is the time between two checks whether a drain has finished.
	drainPollInterval = 50 * time.Millisecond
)

// Runtime runs the shards of this host. Its methods are safe for concurrent use.
type Runtime struct {
	cfg         Config
	clock       clockwork.Clock
	log         *zap.Logger
	node        *core.Node
	metrics     *metrics
	workerCalls *workerQueues
	group       conc.WaitGroup

	mu             sync.Mutex
	isStopped      bool
	ctx            context.Context
	waiters        map[core.Ticket]chan core.Reply
	entryHosts     []entryHost
	heartbeatRound int
}

// NewRuntime returns a runtime, which Run starts.
func NewRuntime(cfg Config) *Runtime {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.TickInterval == 0 {
		cfg.TickInterval = DefaultTickInterval
	}
	if cfg.MaxCommands == 0 {
		cfg.MaxCommands = DefaultMaxCommands
	}
	rt := &Runtime{
		cfg:     cfg,
		clock:   cfg.Clock,
		log:     cfg.Logger,
		metrics: newMetrics(cfg.Registerer),
		waiters: make(map[core.Ticket]chan core.Reply),
		node: core.NewNode(core.Config{
			Self:         cfg.Self,
			Domain:       cfg.Domain,
			Layout:       cfg.Layout,
			NewScheduler: cfg.NewScheduler,
			Seed:         xxhash.Sum64String(string(cfg.Self)),
			SessionTTL:   cfg.SessionTTL,
			ClockMargin:  cfg.ClockMargin,
		}),
	}
	rt.workerCalls = newWorkerQueues(cfg.MaxCommands, rt.executeCall)
	return rt
}

// Run acquires, runs and hands over shards until ctx ends. It returns an error only if
// the layout in the settings is invalid or does not match the one in the store.
func (rt *Runtime) Run(ctx context.Context) error {
	rt.mu.Lock()
	rt.ctx = ctx
	rt.mu.Unlock()
	defer rt.shutDown()
	if err := rt.checkLayout(ctx); err != nil {
		return err
	}
	rt.group.Go(func() { rt.every(ctx, hostListInterval, rt.readHostList) })
	rt.group.Go(func() { rt.every(ctx, core.DefaultHeartbeatInterval, rt.sendHeartbeats) })
	rt.every(ctx, rt.cfg.TickInterval, rt.tick)
	return nil
}

// shutDown fails the requests that wait for a reply and waits for the calls in flight.
func (rt *Runtime) shutDown() {
	rt.failWaiters()
	rt.group.Wait()
}

// start runs f in a goroutine unless the runtime has stopped. Requests and heartbeats
// arrive outside of Run, so the lock ensures that the group starts no goroutine after
// shutDown has begun to wait for it.
func (rt *Runtime) start(f func()) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if !rt.isStopped {
		rt.group.Go(f)
	}
}

// every calls f immediately and then at each interval d until ctx ends.
func (rt *Runtime) every(ctx context.Context, d time.Duration, f func(context.Context)) {
	ticker := rt.clock.NewTicker(d)
	defer ticker.Stop()
	f(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			f(ctx)
		}
	}
}

// tick advances the host and its shards to the current time. Groups of shards are
// ticked concurrently.
func (rt *Runtime) tick(_ context.Context) {
	if rt.cfg.Snapshot != nil {
		rt.node.SetSnapshot(rt.cfg.Snapshot())
	}
	rt.handleOutput(rt.node.TickHost(rt.clock.Now()))
	groups := rt.node.TickGroups()
	if len(groups) == 1 {
		rt.tickGroup(&groups[0])
	} else {
		iter.ForEach(groups, rt.tickGroup)
	}
	rt.metrics.set(rt.node.CountOwned(), rt.node.HasValidSession(rt.clock.Now()))
}

func (rt *Runtime) tickGroup(shards *[]heatherhub.ShardID) {
	for _, s := range *shards {
		rt.handleOutput(rt.node.TickShard(rt.clock.Now(), s))
	}
}

// readHostList updates the workers and entry hosts. If the list cannot be read, the
// previous one stays in force.
func (rt *Runtime) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts, err := rt.cfg.Hosts.Hosts(ctx)
	if err != nil {
		rt.log.Warn("cannot read the host list: keeping the previous one", zap.Error(err))
		return
	}
	rt.setEntryHosts(hosts)
	rt.node.SetHosts(rt.clock.Now(), hosts)
}

// handleOutput delivers the replies of a step to the waiting requests and starts its
// calls. Calls to the same worker are made in order, all others concurrently.
func (rt *Runtime) handleOutput(out core.Output) {
	for _, r := range out.Replies {
		rt.mu.Lock()
		ch, ok := rt.waiters[r.Ticket]
		delete(rt.waiters, r.Ticket)
		rt.mu.Unlock()
		if ok {
			ch <- r
		}
	}
	for _, c := range out.Calls {
		if c.TargetsWorker() {
			rt.workerCalls.add(rt.start, c)
			continue
		}
		rt.start(func() { rt.executeCall(c) })
	}
}

// executeCall makes a call and passes the answer back to the node. It makes no calls
// before Run has started or after its context has ended.
func (rt *Runtime) executeCall(c core.Call) {
	rt.mu.Lock()
	ctx := rt.ctx
	rt.mu.Unlock()
	if ctx == nil || ctx.Err() != nil {
		return
	}
	a := rt.execute(ctx, c)
	rt.metrics.count(c.Kind, a.Err)
	rt.handleOutput(rt.node.Answer(rt.clock.Now(), a))
}

// Drain hands over all shards and ends the session. It returns ErrUnavailable if ctx
// ends first.
func (rt *Runtime) Drain(ctx context.Context) error {
	rt.node.Drain()
	ticker := rt.clock.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !rt.node.IsDrained() {
		select {
		case <-ctx.Done():
			return heatherhub.ErrUnavailable.New("%d shards are not handed over: other hosts take them over when the session expires", len(rt.node.Owned()))
		case <-ticker.Chan():
		}
	}
	return nil
}

// request makes a request of the node and waits for its reply. It returns false, with
// only the ticket set, if ctx ends before the reply.
func (rt *Runtime) request(ctx context.Context, submit func(time.Time, core.Ticket) core.Output) (core.Reply, bool) {
	t := rt.node.NewTicket()
	ch := make(chan core.Reply, 1)
	rt.mu.Lock()
	if rt.isStopped {
		rt.mu.Unlock()
		return core.Reply{Err: heatherhub.ErrUnavailable.New("the host has stopped: send the request to another one")}, true
	}
	rt.waiters[t] = ch
	rt.mu.Unlock()
	rt.handleOutput(submit(rt.clock.Now(), t))
	select {
	case r := <-ch:
		return r, true
	case <-ctx.Done():
		rt.mu.Lock()
		delete(rt.waiters, t)
		rt.mu.Unlock()
		return core.Reply{Ticket: t}, false
	}
}

// failWaiters fails the waiting requests with ErrUnknown, since their changes may have
// become durable. No request is accepted afterwards.
func (rt *Runtime) failWaiters() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.isStopped = true
	for t, ch := range rt.waiters {
		ch <- core.Reply{Ticket: t, Err: heatherhub.ErrUnknown.New("the host is stopping: retry with the same id")}
		delete(rt.waiters, t)
	}
}
