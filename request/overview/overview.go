// Package overview implements the operator API of a site that runs on the users' platform
// (see package platform): it lists jobs, workers and hosts, and cancels jobs. Any host can
// reply for the whole site, because it queries the owners of all shards.
//
// # Usage
//
//	b := overview.New(overview.Config{Self: id, Local: host.Overview, ...})
//	server.Handle(peer.MethodOverview, overview.Handler(host.Overview))
//	http.Handle("/", operator.New(operator.Config{Backend: b, Configuration: b}))
//
// The configuration is read-only, as the platform manages it. Edits are refused.
package overview

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/operatorapi"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/owner"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/request/operator"
	"heatherhub.example/heatherhub/version/config"
	"heatherhub.example/heatherhub/version/queues"
)

// queryTimeout bounds the query of all owners. It is well below the 10 s that an operator
// waits at most.
const queryTimeout = 2 * time.Second

// Config holds the dependencies of a Backend.
type Config struct {
	Self    heatherhub.HostID
	Domain  heatherhub.FailureDomain
	Address string
	// Started is when this host started.
	Started time.Time
	// Local returns the overview of this host's shards.
	Local func(owner.OverviewQuery) owner.Overview
	// View returns the current shards and their owners.
	View  func() *owner.View
	Peers peer.Caller
	// Cancel writes the cancel of a job to the store.
	Cancel func(context.Context, heatherhub.JobID) error
	// State returns the durable state of a job. It is used if no owner returned the job.
	State  func(context.Context, heatherhub.JobID) (heatherhub.WorkflowState, error)
	Tables *queues.Current
	// IsStale reports whether the store has been unresponsive for long, IsLeaving
	// whether this host is shutting down.
	IsStale   func() bool
	IsLeaving func() bool
	Log       *zap.Logger
}

// Backend implements operator.Backend and operator.Configuration. It is safe for
// concurrent use.
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

// Handler returns the handler for peer.MethodOverview. The function local returns the
// overview of this host's shards.
func Handler(local func(owner.OverviewQuery) owner.Overview) peer.Handler {
	return peer.NewHandler(func(_ context.Context, _ heatherhub.HostID, q owner.OverviewQuery) (owner.Overview, error) {
		return local(q), nil
	})
}

// reply is the overview that a host returned.
type reply struct {
	host heatherhub.HostID
	owner.Overview
}

// queryOwners returns the overviews of this host and of all other owners, which it queries
// in parallel. Owners that fail or do not reply within queryTimeout are logged and left out.
func (b *Backend) queryOwners(ctx context.Context, q owner.OverviewQuery) []reply {
	out := []reply{{host: b.cfg.Self, Overview: b.cfg.Local(q)}}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
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

// missingShards returns the shards that are in none of the replies.
func (b *Backend) missingShards(replies []reply) []heatherhub.ShardID {
	var out []heatherhub.ShardID
	for _, s := range b.cfg.View().Layout.Shards {
		if !slices.ContainsFunc(replies, func(r reply) bool { return slices.Contains(r.Shards, s.Shard) }) {
			out = append(out, s.Shard)
		}
	}
	return out
}

// AddJob always returns heatherhub.ErrInvalid, as jobs are submitted at the callers' port.
func (b *Backend) AddJob(_ context.Context, j heatherhub.Job) (operatorapi.JobView, error) {
	return operatorapi.JobView{}, heatherhub.ErrInvalid.New("job %s was not added: on the platform, submit jobs at the callers' port", j.ID)
}

// CancelJob writes the cancel of a job to the store and returns the job. A job that was
// still queued is shown as cancelled, although its owner may not have read the cancel yet.
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

// Job returns a job, with only its durable state if no owner returned it.
func (b *Backend) Job(ctx context.Context, id heatherhub.JobID) (operatorapi.JobView, error) {
	for _, r := range b.queryOwners(ctx, owner.OverviewQuery{Job: id}) {
		if len(r.Jobs) > 0 {
			return b.jobView(r.Jobs[0]), nil
		}
	}
	state, err := b.cfg.State(ctx, id)
	if err != nil {
		return operatorapi.JobView{}, err
	}
	return operatorapi.JobView{Job: heatherhub.Job{ID: id, State: jobState(state), Reason: "the owner of its shard did not reply"}}, nil
}

// Jobs returns the jobs of all shards, by id. The shards whose owner did not reply are
// listed as missing.
func (b *Backend) Jobs(ctx context.Context, f operatorapi.JobFilter) (operatorapi.JobList, error) {
	limit := f.Limit
	if limit <= 0 {
		limit = operatorapi.MaxListedJobs
	}
	replies := b.queryOwners(ctx, owner.OverviewQuery{Queue: heatherhub.QueueID(f.Workload), State: workflowState(f.State), MaxJobs: limit})
	list := operatorapi.JobList{MissingShards: b.missingShards(replies)}
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
		j.Reason = "a task has reached the maximum number of failures for its queue"
	}
	if n := len(v.CrashedWorkers); n > 0 {
		j.Reason = fmt.Sprintf("a task crashes the workers that start it (%d so far, %s among them): look at what it runs before you submit the job again", n, v.CrashedWorkers[n-1])
	}
	return operatorapi.JobView{Job: j, Shard: v.Shard, Running: v.Running, Queued: v.Queued, Finished: v.Finished}
}

// jobState converts the state of a workflow to the state shown to operators.
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

// workflowState is the inverse of jobState. An empty state stays empty.
func workflowState(s heatherhub.JobState) heatherhub.WorkflowState {
	switch s {
	case heatherhub.JobDone:
		return heatherhub.WorkflowCompleted
	default:
		return heatherhub.WorkflowState(s)
	}
}

// Workers returns the workers of all shards, by id. The shards whose owner did not reply
// are listed as missing.
func (b *Backend) Workers(ctx context.Context) (operatorapi.WorkerList, error) {
	replies := b.queryOwners(ctx, owner.OverviewQuery{Workers: true})
	list := operatorapi.WorkerList{MissingShards: b.missingShards(replies)}
	for _, r := range replies {
		for i := range r.Workers {
			list.Workers = append(list.Workers, workerView(&r.Workers[i]))
		}
	}
	slices.SortFunc(list.Workers, func(a, c operatorapi.WorkerView) int { return cmp.Compare(a.Host.ID, c.Host.ID) })
	return list, nil
}

// workerView converts an owner's view of a worker to the operator's.
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

// Domains returns the evacuated failure domains and those with workers, by name. The shards
// whose owner did not reply are listed as missing.
func (b *Backend) Domains(ctx context.Context) (operatorapi.DomainList, error) {
	replies := b.queryOwners(ctx, owner.OverviewQuery{Workers: true, Domains: true})
	domains := make(map[heatherhub.FailureDomain]operatorapi.DomainView)
	for _, r := range replies {
		for _, d := range r.Domains {
			v := domains[d.Domain]
			v.Waiting += d.Waiting
			if !d.Since.IsZero() && (!v.Evacuated || d.Since.Before(v.Since)) {
				v.Evacuated, v.Since = true, d.Since.UTC()
			}
			domains[d.Domain] = v
		}
		for i := range r.Workers {
			w := &r.Workers[i]
			v := domains[w.Domain]
			v.Workers++
			v.Batch += len(w.Tasks) - w.LongRunning
			v.LongRunning += w.LongRunning
			domains[w.Domain] = v
		}
	}
	// No worker is in the domain of the shards of the whole site.
	delete(domains, record.SiteDomain)
	list := operatorapi.DomainList{MissingShards: b.missingShards(replies)}
	for d, v := range domains {
		v.Domain = d
		list.Domains = append(list.Domains, v)
	}
	slices.SortFunc(list.Domains, func(a, c operatorapi.DomainView) int { return cmp.Compare(a.Domain, c.Domain) })
	return list, nil
}

// Hosts returns this host and the hosts that own shards, by id. It does not know of any
// others.
func (b *Backend) Hosts(ctx context.Context) (operatorapi.HostList, error) {
	addresses := map[heatherhub.HostID]string{b.cfg.Self: b.cfg.Address}
	shards := make(map[heatherhub.HostID][]heatherhub.ShardID)
	for s, o := range b.cfg.View().Owners {
		addresses[o.Host] = o.Address
		shards[o.Host] = append(shards[o.Host], s)
	}
	replies := b.queryOwners(ctx, owner.OverviewQuery{})
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

// Status returns a summary of the site. Shards whose owner did not reply count as unowned
// and add nothing to the counts of jobs, workers and tasks. Each host counts at most
// operatorapi.MaxListedJobs queued jobs.
func (b *Backend) Status(ctx context.Context) (operatorapi.Status, error) {
	v := b.cfg.View()
	out := operatorapi.Status{
		Host: b.cfg.Self, Domain: b.cfg.Domain, Started: b.cfg.Started, Version: b.Current().Version,
		StoreReachable: !b.cfg.IsStale(), Leaving: b.cfg.IsLeaving(),
		Shards: len(v.Layout.Shards),
	}
	hosts := map[heatherhub.HostID]struct{}{b.cfg.Self: {}}
	for _, o := range v.Owners {
		hosts[o.Host] = struct{}{}
	}
	out.Hosts = len(hosts)
	replies := b.queryOwners(ctx, owner.OverviewQuery{Workers: true, State: heatherhub.WorkflowQueued, MaxJobs: operatorapi.MaxListedJobs})
	out.UnownedShards = len(b.missingShards(replies))
	for _, r := range replies {
		out.JobsQueued += len(r.Jobs)
		out.Workers += len(r.Workers)
		for i := range r.Workers {
			out.TasksRunning += len(r.Workers[i].Tasks)
		}
	}
	return out, nil
}

// Current returns the current configuration, with its queues as batch workloads. It is
// empty while no configuration is loaded.
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

// EditAs always returns heatherhub.ErrInvalid, as the platform's operator manages the
// configuration.
func (b *Backend) EditAs(context.Context, config.EditID, heatherhub.Version, func(*heatherhub.Snapshot) error) (*heatherhub.Snapshot, error) {
	return nil, heatherhub.ErrInvalid.New("the configuration was not changed: on the platform, change it through the platform's own interface")
}
