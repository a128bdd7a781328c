package entry

import (
	"context"
	"sort"

	"github.com/google/uuid"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/operatorapi"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/process/shard"
	"heatherhub.example/heatherhub/request/operator"
)

// maxJobIDAttempts bounds how many IDs newJobID tries.
const maxJobIDAttempts = 1024

// backend implements the operator API: it forwards calls on one job to the owner of
// the job's shard, and collects lists from every entry host.
type backend struct {
	*Entry
}

var _ operator.Backend = backend{}

// AddJob adds a job and returns once its record is durable. Adding the same job
// again returns the existing one; ErrConflict means that a job with this ID has
// another workload or number of tasks.
func (b backend) AddJob(ctx context.Context, j heatherhub.Job) (operatorapi.JobView, error) {
	if err := b.prepareJob(&j); err != nil {
		return operatorapi.JobView{}, err
	}
	owner, err := b.ownerOf(b.runtime.JobShard(j.ID))
	if err != nil {
		return operatorapi.JobView{}, err
	}
	answer, err := peer.Call[jobMessage](ctx, b.peerClient, owner, peer.MethodJobAdd, jobMessage{Job: j})
	if err != nil {
		return operatorapi.JobView{}, err
	}
	if answer.Job.Workload != j.Workload || answer.Job.Tasks != j.Tasks {
		return operatorapi.JobView{}, heatherhub.ErrConflict.New("job %s already exists with workload %s and %d tasks: choose another id", j.ID, answer.Job.Workload, answer.Job.Tasks)
	}
	return b.jobView(answer.Job), nil
}

// prepareJob validates a new job, generates a missing ID and sets the initial state.
func (b backend) prepareJob(j *heatherhub.Job) error {
	w := b.keeper.Current().Workload(j.Workload)
	if w == nil || w.Kind != heatherhub.KindBatch {
		return heatherhub.ErrInvalid.New("workload %q is not a declared batch workload: see heatherhub workload list", j.Workload)
	}
	if j.ID == "" {
		j.ID = b.newJobID()
	}
	j.State = heatherhub.JobQueued
	j.Accepted = b.cfg.Clock.Now()
	return j.Check()
}

// newJobID generates an ID whose shard is owned and in this host's failure domain,
// so that the job can be accepted while the domain is isolated from the others. If
// it finds none, it returns the last ID that it tried.
func (b backend) newJobID() heatherhub.JobID {
	var id heatherhub.JobID
	for range maxJobIDAttempts {
		id = heatherhub.JobID(uuid.NewString())
		s := b.runtime.JobShard(id)
		if _, ok := b.runtime.Owner(s); ok && s.Domain == b.cfg.Domain {
			return id
		}
	}
	return id
}

// ownerOf returns the owner of a shard, or ErrUnavailable with a retry delay while
// the shard has none.
func (b backend) ownerOf(s heatherhub.ShardID) (heatherhub.HostID, error) {
	owner, ok := b.runtime.Owner(s)
	if !ok {
		err := heatherhub.ErrUnavailable.New("shard %s has no owner yet and nothing was done: retry", s)
		return "", heatherhub.WithRetryAfter(err, noOwnerRetryAfter)
	}
	return owner, nil
}

func (b backend) jobView(j heatherhub.Job) operatorapi.JobView {
	return operatorapi.JobView{Job: j, Shard: b.runtime.JobShard(j.ID), Finished: len(j.Finished)}
}

// CancelJob cancels a job and returns once the cancellation is durable.
func (b backend) CancelJob(ctx context.Context, id heatherhub.JobID) (operatorapi.JobView, error) {
	owner, err := b.ownerOf(b.runtime.JobShard(id))
	if err != nil {
		return operatorapi.JobView{}, err
	}
	answer, err := peer.Call[jobMessage](ctx, b.peerClient, owner, peer.MethodJobCancel, jobCancelRequest{ID: id})
	if err != nil {
		return operatorapi.JobView{}, err
	}
	return b.jobView(answer.Job), nil
}

// Job returns one job from the owner of its shard, or ErrNotFound.
func (b backend) Job(ctx context.Context, id heatherhub.JobID) (operatorapi.JobView, error) {
	owner, err := b.ownerOf(b.runtime.JobShard(id))
	if err != nil {
		return operatorapi.JobView{}, err
	}
	reply, err := peer.Call[jobListReply](ctx, b.peerClient, owner, peer.MethodJobList, jobListRequest{ID: id})
	if err != nil {
		return operatorapi.JobView{}, err
	}
	if len(reply.Jobs) == 0 {
		return operatorapi.JobView{}, heatherhub.ErrNotFound.New("job %s does not exist, or its record is past its retention: see heatherhub job list", id)
	}
	return operatorapi.JobView(reply.Jobs[0]), nil
}

// Jobs returns the jobs of all shards, sorted by ID. MissingShards lists the shards
// that no host answered for: they have no owner, or the owner did not answer.
func (b backend) Jobs(ctx context.Context, f operatorapi.JobFilter) (operatorapi.JobList, error) {
	request := jobListRequest{Workload: f.Workload, State: f.State, Limit: f.Limit}
	replies := callAllHosts[jobListReply](ctx, b.Entry, peer.MethodJobList, request)
	var list operatorapi.JobList
	var answered []heatherhub.ShardID
	for _, r := range replies {
		answered = append(answered, r.Reply.Shards...)
		list.Truncated = list.Truncated || r.Reply.Truncated
		for _, v := range r.Reply.Jobs {
			list.Jobs = append(list.Jobs, operatorapi.JobView(v))
		}
	}
	list.MissingShards = b.missingShards(answered)
	sort.Slice(list.Jobs, func(i, k int) bool { return list.Jobs[i].Job.ID < list.Jobs[k].Job.ID })
	if f.Limit > 0 && len(list.Jobs) > f.Limit {
		list.Jobs = list.Jobs[:f.Limit]
		list.Truncated = true
	}
	return list, nil
}

// missingShards returns the shards of the layout that are not in answered.
func (b backend) missingShards(answered []heatherhub.ShardID) []heatherhub.ShardID {
	isAnswered := make(map[heatherhub.ShardID]bool, len(answered))
	for _, s := range answered {
		isAnswered[s] = true
	}
	var missing []heatherhub.ShardID
	for _, s := range b.cfg.Layout.All() {
		if !isAnswered[s] {
			missing = append(missing, s)
		}
	}
	return missing
}

// Workers returns the workers of all shards, sorted by ID. MissingShards lists the
// shards that no host answered for, as in Jobs.
func (b backend) Workers(ctx context.Context) (operatorapi.WorkerList, error) {
	replies := callAllHosts[workerListReply](ctx, b.Entry, peer.MethodWorkerList, emptyRequest{})
	var list operatorapi.WorkerList
	var answered []heatherhub.ShardID
	for _, r := range replies {
		answered = append(answered, r.Reply.Shards...)
		for _, v := range r.Reply.Workers {
			list.Workers = append(list.Workers, workerView(v))
		}
	}
	list.MissingShards = b.missingShards(answered)
	sort.Slice(list.Workers, func(i, k int) bool { return list.Workers[i].Host.ID < list.Workers[k].Host.ID })
	return list, nil
}

func workerView(v shard.WorkerView) operatorapi.WorkerView {
	return operatorapi.WorkerView{
		Host: v.Host, Shard: v.Shard, Reserved: v.Reserved, Tasks: v.Tasks, Reachable: v.Reachable,
		Quarantined: v.Quarantined,
	}
}

// Hosts returns the entry hosts as this host sees them: those in its copy of the host
// list. Those that did not answer this host are unreachable.
func (b backend) Hosts(ctx context.Context) (operatorapi.HostList, error) {
	byID := make(map[heatherhub.HostID]statusReply)
	for _, r := range callAllHosts[statusReply](ctx, b.Entry, peer.MethodStatus, emptyRequest{}) {
		byID[r.From] = r.Reply
	}
	var list operatorapi.HostList
	for _, h := range b.hostList.entryHosts() {
		list.Hosts = append(list.Hosts, operatorHostView(h, byID))
	}
	return list, nil
}

func operatorHostView(h hostlist.Host, byID map[heatherhub.HostID]statusReply) operatorapi.HostView {
	id := heatherhub.HostID(h.ID)
	reply, ok := byID[id]
	state := h.State
	if reply.Leaving {
		state = hostlist.StateLeaving
	}
	return operatorapi.HostView{
		ID: id, Domain: h.Domain, Address: h.Address, State: state,
		Reachable: ok, Version: reply.Version, Shards: reply.Shards,
	}
}

// Status returns the configuration, store access and host counts as this host sees
// them, and sums the jobs, tasks and owned shards of all entry hosts that answer.
func (b backend) Status(ctx context.Context) (operatorapi.Status, error) {
	current := b.keeper.Current()
	s := operatorapi.Status{
		Host: b.cfg.Self, Domain: b.cfg.Domain, Started: b.started,
		Version: current.Version, Preset: current.InForce,
		StoreReachable: b.isStoreReachable(ctx), Leaving: b.isLeaving.Load(),
		Hosts:   len(b.hostList.entryHosts()),
		Workers: len(b.hostList.withRole(hostlist.RoleWorker)),
	}
	owned := make(map[heatherhub.ShardID]bool)
	for _, r := range callAllHosts[statusReply](ctx, b.Entry, peer.MethodStatus, emptyRequest{}) {
		for _, id := range r.Reply.Shards {
			owned[id] = true
		}
		s.JobsQueued += r.Reply.JobsQueued
		s.JobsParked += r.Reply.JobsParked
		s.TasksRunning += r.Reply.TasksRunning
	}
	for _, id := range b.cfg.Layout.All() {
		s.Shards++
		if !owned[id] {
			s.UnownedShards++
		}
	}
	return s, nil
}
