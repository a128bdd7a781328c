// Package overview shows operators the jobs, workers and hosts of a site on the users'
// platform, and cancels jobs for them. It gathers what the owners of the shards know;
// any host answers for all.
//
// # Usage
//
//	b := overview.New(overview.Config{Self: id, Local: host.Overview, ...})
//	server.Handle(peer.MethodOverview, overview.Answer(host.Overview))
//	http.Handle("/", operator.New(operator.Config{Backend: b, Configuration: b}))
//
// The configuration is the platform's: it is shown, and edits are refused.
package overview

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/operatorapi"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/owner"
	"heatherhub.example/heatherhub/request/operator"
	"heatherhub.example/heatherhub/version/config"
	"heatherhub.example/heatherhub/version/queues"
)

// askTimeout bounds the question to all owners. An operator waits 10 s at most.
const askTimeout = 2 * time.Second

// Config is what a backend needs.
type Config struct {
	Self    heatherhub.HostID
	Domain  heatherhub.FailureDomain
	Address string
	Started time.Time
	// Local returns the overview of this host's shards.
	Local func(owner.OverviewQuery) owner.Overview
	View  func() *owner.View
	Peers peer.Caller
	// Cancel makes the cancel of a job durable.
	Cancel func(context.Context, heatherhub.JobID) error
	// State returns the durable state of a job that no owner knows.
	State  func(context.Context, heatherhub.JobID) (heatherhub.WorkflowState, error)
	Tables *queues.Current
	// IsStale says that the store was silent for long, IsLeaving that the host stops.
	IsStale   func() bool
	IsLeaving func() bool
	Log       *zap.Logger
}

// Backend answers operators.
type Backend struct {
	cfg Config
}

var (
	_ operator.Backend       = (*Backend)(nil)
	_ operator.Configuration = (*Backend)(nil)
)

// New returns a backend.
func New(cfg Config) *Backend {
	return &Backend{cfg: cfg}
}

// Answer makes the handler of the peers' question from a host's own overview.
func Answer(local func(owner.OverviewQuery) owner.Overview) peer.Handler {
	return peer.NewHandler(func(_ context.Context, _ heatherhub.HostID, q owner.OverviewQuery) (owner.Overview, error) {
		return local(q), nil
	})
}

// reply is the overview of one host.
type reply struct {
	host heatherhub.HostID
	owner.Overview
}

// ask asks all owners, this host included. Those that do not answer are left out.
func (b *Backend) ask(ctx context.Context, q owner.OverviewQuery) []reply {
	out := []reply{{host: b.cfg.Self, Overview: b.cfg.Local(q)}}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, r := range peer.CallAll[owner.Overview](ctx, b.cfg.Peers, b.otherOwners(), peer.MethodOverview, q) {
		if r.Err != nil {
			b.cfg.Log.Warn("owner not asked", zap.String("peer", string(r.From)), zap.Error(r.Err))
			continue
		}
		out = append(out, reply{host: r.From, Overview: r.Reply})
	}
	return out
}

// otherOwners returns the other hosts that own shards.
func (b *Backend) otherOwners() []heatherhub.HostID {
	var out []heatherhub.HostID
	for _, o := range b.cfg.View().Owners {
		if o.Host != b.cfg.Self && !slices.Contains(out, o.Host) {
			out = append(out, o.Host)
		}
	}
	return out
}

// missing returns the shards that no reply is of.
func (b *Backend) missing(replies []reply) []heatherhub.ShardID {
	var out []heatherhub.ShardID
	for _, s := range b.cfg.View().Layout.Shards {
		if !slices.ContainsFunc(replies, func(r reply) bool { return slices.Contains(r.Shards, s.Shard) }) {
			out = append(out, s.Shard)
		}
	}
	return out
}

// AddJob refuses: callers hand in jobs at the callers' port.
func (b *Backend) AddJob(_ context.Context, j heatherhub.Job) (operatorapi.JobView, error) {
	return operatorapi.JobView{}, heatherhub.ErrInvalid.New("job %s was not added: on the platform jobs are handed in at the callers' port", j.ID)
}

// CancelJob cancels a job.
func (b *Backend) CancelJob(ctx context.Context, id heatherhub.JobID) (operatorapi.JobView, error) {
	if err := b.cfg.Cancel(ctx, id); err != nil {
		return operatorapi.JobView{}, err
	}
	v, err := b.Job(ctx, id)
	if err != nil {
		return v, err
	}
	if v.Job.State == heatherhub.JobQueued {
		v.Job.State = heatherhub.JobCancelled
	}
	return v, nil
}

// Job returns one job. Of a job whose owner does not answer only the durable state is
// shown.
func (b *Backend) Job(ctx context.Context, id heatherhub.JobID) (operatorapi.JobView, error) {
	for _, r := range b.ask(ctx, owner.OverviewQuery{Job: id}) {
		if len(r.Jobs) > 0 {
			return b.jobView(r.Jobs[0]), nil
		}
	}
	state, err := b.cfg.State(ctx, id)
	if err != nil {
		return operatorapi.JobView{}, err
	}
	return operatorapi.JobView{Job: heatherhub.Job{ID: id, State: jobState(state), Reason: "the owner of its shard did not answer"}}, nil
}

// Jobs returns the jobs of all shards.
func (b *Backend) Jobs(ctx context.Context, f operatorapi.JobFilter) (operatorapi.JobList, error) {
	limit := f.Limit
	if limit <= 0 {
		limit = operatorapi.MaxListedJobs
	}
	replies := b.ask(ctx, owner.OverviewQuery{Queue: heatherhub.QueueID(f.Workload), State: workflowState(f.State), MaxJobs: limit})
	list := operatorapi.JobList{MissingShards: b.missing(replies)}
	for _, r := range replies {
		list.Truncated = list.Truncated || r.HasMore
		for _, v := range r.Jobs {
			list.Jobs = append(list.Jobs, b.jobView(v))
		}
	}
	slices.SortFunc(list.Jobs, func(a, c operatorapi.JobView) int { return cmp.Compare(a.Job.ID, c.Job.ID) })
	if len(list.Jobs) > limit {
		list.Jobs, list.Truncated = list.Jobs[:limit], true
	}
	return list, nil
}

func (b *Backend) jobView(v dispatch.JobView) operatorapi.JobView {
	j := heatherhub.Job{
		ID: v.ID, Workload: heatherhub.WorkloadID(v.Queue), Tasks: v.Tasks, Accepted: v.Accepted, State: jobState(v.State),
	}
	if v.State == heatherhub.WorkflowFailed {
		j.Reason = "a task failed as often as its queue allows"
	}
	return operatorapi.JobView{Job: j, Shard: v.Shard, Running: v.Running, Queued: v.Queued, Finished: v.Finished}
}

// jobState names the state of a workflow as operators know it.
func jobState(s heatherhub.WorkflowState) heatherhub.JobState {
	switch s {
	case heatherhub.WorkflowCompleted:
		return heatherhub.JobDone
	case heatherhub.WorkflowCancelled:
		return heatherhub.JobCancelled
	case heatherhub.WorkflowFailed:
		return heatherhub.JobFailed
	case heatherhub.WorkflowRunning:
		return heatherhub.JobRunning
	default:
		return heatherhub.JobQueued
	}
}

// workflowState is the reverse of jobState; an empty state stays empty.
func workflowState(s heatherhub.JobState) heatherhub.WorkflowState {
	switch s {
	case heatherhub.JobDone:
		return heatherhub.WorkflowCompleted
	default:
		return heatherhub.WorkflowState(s)
	}
}

// Workers returns the workers of all shards.
func (b *Backend) Workers(ctx context.Context) (operatorapi.WorkerList, error) {
	replies := b.ask(ctx, owner.OverviewQuery{Workers: true})
	list := operatorapi.WorkerList{MissingShards: b.missing(replies)}
	for _, r := range replies {
		for i := range r.Workers {
			list.Workers = append(list.Workers, workerView(&r.Workers[i]))
		}
	}
	slices.SortFunc(list.Workers, func(a, c operatorapi.WorkerView) int { return cmp.Compare(a.Host.ID, c.Host.ID) })
	return list, nil
}

func workerView(v *dispatch.WorkerView) operatorapi.WorkerView {
	state := hostlist.StateLive
	if v.Draining {
		state = hostlist.StateLeaving
	}
	out := operatorapi.WorkerView{
		Host: hostlist.Host{
			ID: string(v.ID), Role: hostlist.RoleWorker, Domain: v.Domain, Rack: v.Rack, Address: v.Address,
			State: state, Capacity: v.Capacity,
		},
		Shard: v.Shard, Reserved: v.Reserved, Reachable: !v.Silent, Quarantined: v.Quarantined,
	}
	for _, t := range v.Tasks {
		out.Tasks = append(out.Tasks, heatherhub.TaskID(t.String()))
	}
	return out
}

// Hosts returns this host and those that own shards; others are not known.
func (b *Backend) Hosts(ctx context.Context) (operatorapi.HostList, error) {
	addresses := map[heatherhub.HostID]string{b.cfg.Self: b.cfg.Address}
	shards := make(map[heatherhub.HostID][]heatherhub.ShardID)
	for s, o := range b.cfg.View().Owners {
		addresses[o.Host] = o.Address
		shards[o.Host] = append(shards[o.Host], s)
	}
	replies := b.ask(ctx, owner.OverviewQuery{})
	var list operatorapi.HostList
	for id, address := range addresses {
		v := operatorapi.HostView{
			ID: id, Address: address, State: hostlist.StateLive, Shards: shards[id],
			Reachable: slices.ContainsFunc(replies, func(r reply) bool { return r.host == id }),
		}
		if id == b.cfg.Self {
			v.Domain, v.Version = b.cfg.Domain, b.Current().Version
		}
		slices.SortFunc(v.Shards, heatherhub.ShardID.Compare)
		list.Hosts = append(list.Hosts, v)
	}
	slices.SortFunc(list.Hosts, func(a, c operatorapi.HostView) int { return cmp.Compare(a.ID, c.ID) })
	return list, nil
}

// Status sums up the site.
func (b *Backend) Status(ctx context.Context) (operatorapi.Status, error) {
	v := b.cfg.View()
	out := operatorapi.Status{
		Host: b.cfg.Self, Domain: b.cfg.Domain, Started: b.cfg.Started, Version: b.Current().Version,
		StoreReachable: !b.cfg.IsStale(), Leaving: b.cfg.IsLeaving(),
		Shards: len(v.Layout.Shards), UnownedShards: len(v.Layout.Shards) - len(v.Owners),
	}
	hosts := map[heatherhub.HostID]struct{}{b.cfg.Self: {}}
	for _, o := range v.Owners {
		hosts[o.Host] = struct{}{}
	}
	out.Hosts = len(hosts)
	for _, r := range b.ask(ctx, owner.OverviewQuery{Workers: true, State: heatherhub.WorkflowQueued, MaxJobs: operatorapi.MaxListedJobs}) {
		out.JobsQueued += len(r.Jobs)
		out.Workers += len(r.Workers)
		for i := range r.Workers {
			out.TasksRunning += len(r.Workers[i].Tasks)
		}
	}
	return out, nil
}

// Current returns the queues of the configuration in force as batch workloads.
func (b *Backend) Current() *heatherhub.Snapshot {
	s := &heatherhub.Snapshot{}
	table := b.cfg.Tables.Load()
	if table == nil {
		return s
	}
	s.Version = table.Version
	for _, q := range table.Queues {
		s.Workloads = append(s.Workloads, heatherhub.Workload{ID: heatherhub.WorkloadID(q.ID), Kind: heatherhub.KindBatch})
	}
	return s
}

// EditAs refuses: the platform's operator writes the configuration.
func (b *Backend) EditAs(context.Context, config.EditID, heatherhub.Version, func(*heatherhub.Snapshot) error) (*heatherhub.Snapshot, error) {
	return nil, heatherhub.ErrInvalid.New("the configuration was not changed: on the platform it is written through the platform's own interface")
}
