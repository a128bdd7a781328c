package overview_test

import (
	"context"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/operatorapi"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/owner"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/request/operator"
	"heatherhub.example/heatherhub/request/overview"
	"heatherhub.example/heatherhub/version/queues"
)

var (
	north = heatherhub.ShardID{Domain: "north"}
	south = heatherhub.ShardID{Domain: "south"}
)

// twoOwners is a site with two owners: host a, which serves the API, and host b, which it
// calls. It implements peer.Caller.
type twoOwners struct {
	isDisconnected bool
	cancelled      []heatherhub.JobID
}

// overviewOf returns the overview of a host with one shard, one running job and one worker. The
// task in the north is long-running, and its host has read the evacuation of the south first.
func overviewOf(s heatherhub.ShardID, job heatherhub.JobID, worker heatherhub.WorkerID) func(owner.OverviewQuery) owner.Overview {
	return func(q owner.OverviewQuery) owner.Overview {
		out := owner.Overview{Shards: []heatherhub.ShardID{s}}
		v := dispatch.JobView{ID: job, Queue: "letters", Shard: s, State: heatherhub.WorkflowRunning, Tasks: 4, Running: 3, Finished: 1}
		if q.Domains {
			out.Domains = []owner.DomainOverview{{Domain: s.Domain, Waiting: 2}, {Domain: south.Domain, Since: time.Unix(2000, 0)}}
			if s == north {
				out.Domains[1].Since = time.Unix(1996, 0)
			}
		}
		if q.Job == job || (q.Job == "" && q.MaxJobs > 0 && (q.State == "" || q.State == v.State)) {
			out.Jobs = []dispatch.JobView{v}
		}
		if q.Workers {
			out.Workers = []dispatch.WorkerView{{
				ID: worker, Address: "10.0.0.9:80", Domain: s.Domain, Shard: s, Silent: s == south,
				Capacity: heatherhub.Resources{CPU: 1000, Memory: 10}, Tasks: []heatherhub.StepTask{{Job: job, Index: 2}},
			}}
			if s == north {
				out.Workers[0].LongRunning = 1
			}
		}
		return out
	}
}

// Call calls host b. If isDisconnected is set, it returns ErrUnavailable.
func (s *twoOwners) Call(ctx context.Context, _ heatherhub.HostID, m peer.Method, body []byte) ([]byte, error) {
	if s.isDisconnected || m != peer.MethodOverview {
		return nil, heatherhub.ErrUnavailable.New("no connection")
	}
	return overview.Handler(overviewOf(south, "far", "w2"))(ctx, "a", body)
}

// client starts the operator API of host a and returns a client for it.
func (s *twoOwners) client(t *testing.T) *operatorapi.Client {
	view := &owner.View{
		Layout: record.Layout{Shards: []record.ShardSize{{Shard: north}, {Shard: south}}},
		Owners: map[heatherhub.ShardID]record.Owner{north: {Host: "a", Address: "10.0.0.1:1"}, south: {Host: "b", Address: "10.0.0.2:1"}},
	}
	var tables queues.Current
	tables.Offer(&queues.Table{Version: 7, Queues: []queues.Queue{{ID: "letters"}}})
	b := overview.New(overview.Config{
		Self: "a", Domain: "north", Address: "10.0.0.1:1", Started: time.Unix(1000, 0), Local: overviewOf(north, "near", "w1"),
		View: func() *owner.View { return view }, Peers: s, Tables: &tables, Log: zap.NewNop(),
		Cancel: func(_ context.Context, id heatherhub.JobID) error {
			s.cancelled = append(s.cancelled, id)
			return nil
		},
		State: func(_ context.Context, id heatherhub.JobID) (heatherhub.WorkflowState, error) {
			if id != "far" {
				return "", heatherhub.ErrNotFound.New("there is no job %s", id)
			}
			return heatherhub.WorkflowQueued, nil
		},
		IsStale: func() bool { return false }, IsLeaving: func() bool { return false },
	})
	server := httptest.NewServer(operator.New(operator.Config{Backend: b, Configuration: b, Domains: b.Domains}))
	t.Cleanup(server.Close)
	c, err := operatorapi.NewClient(operatorapi.Config{Address: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestHostReportsWholeSite checks that host a includes the job and worker of host b in every
// reply.
func TestHostReportsWholeSite(t *testing.T) {
	s := &twoOwners{}
	c := s.client(t)
	v, err := c.Job(t.Context(), "far")
	if err != nil || v.Shard != south || v.Running != 3 || v.Job.State != heatherhub.JobRunning {
		t.Errorf("got job %+v, error %v, want the running one of %s", v, err, south)
	}
	jobs, err := c.Jobs(t.Context(), operatorapi.JobFilter{})
	if err != nil || len(jobs.Jobs) != 2 || len(jobs.MissingShards) != 0 {
		t.Errorf("got jobs %+v, error %v, want two and no shard missing", jobs, err)
	}
	workers, err := c.Workers(t.Context(), operatorapi.WorkerFilter{WithTasks: true})
	if err != nil || len(workers.Workers) != 2 {
		t.Fatalf("got workers %+v, error %v, want two", workers, err)
	}
	if w := workers.Workers[1]; w.Reachable || !slices.Equal(w.Tasks, []heatherhub.TaskID{"far.0.0.2"}) {
		t.Errorf("got worker %+v, want an unreachable one with the task far.0.0.2", w)
	}
	status, err := c.Status(t.Context())
	if err != nil || status.Version != 7 || status.Workers != 2 || status.TasksRunning != 2 || status.UnownedShards != 0 {
		t.Errorf("got status %+v, error %v", status, err)
	}
}

// TestDomainsShowWhatIsLeftInThem guards against an evacuation that looks done while tasks run, or
// that has another beginning on each host: the earliest one counts.
func TestDomainsShowWhatIsLeftInThem(t *testing.T) {
	s := &twoOwners{}
	c := s.client(t)
	got, err := c.Domains(t.Context())
	want := []operatorapi.DomainView{
		{Domain: "north", Workers: 1, LongRunning: 1, Waiting: 2},
		{Domain: "south", Evacuated: true, Since: time.Unix(1996, 0).UTC(), Workers: 1, Batch: 1, Waiting: 2},
	}
	if err != nil || !slices.Equal(got.Domains, want) || len(got.MissingShards) > 0 {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
	s.isDisconnected = true
	if got, err = c.Domains(t.Context()); err != nil || !slices.Equal(got.MissingShards, []heatherhub.ShardID{south}) {
		t.Errorf("got %+v, error %v, want %s missing", got, err, south)
	}
}

// TestUnreachableOwnerIsReported checks that the shard of an unreachable owner is listed as
// missing, rather than shown as empty, and that its job has its durable state.
func TestUnreachableOwnerIsReported(t *testing.T) {
	s := &twoOwners{isDisconnected: true}
	c := s.client(t)
	jobs, err := c.Jobs(t.Context(), operatorapi.JobFilter{})
	if err != nil || len(jobs.Jobs) != 1 || !slices.Equal(jobs.MissingShards, []heatherhub.ShardID{south}) {
		t.Errorf("got jobs %+v, error %v, want one job and %s missing", jobs, err, south)
	}
	status, err := c.Status(t.Context())
	if err != nil || status.UnownedShards != 1 || status.Workers != 1 {
		t.Errorf("got status %+v, error %v, want the workers of one shard and one shard without an answer", status, err)
	}
	v, err := c.Job(t.Context(), "far")
	if err != nil || v.Job.State != heatherhub.JobQueued || v.Job.Reason == "" {
		t.Errorf("got job %+v, error %v, want its durable state and a reason", v, err)
	}
	if _, err := c.Job(t.Context(), "none"); heatherhub.CodeOf(err) != heatherhub.CodeNotFound {
		t.Errorf("got error %v, want not found", err)
	}
}

// TestOperatorsCancelJobsOnly checks that cancels reach the store, and that edits of the
// configuration and new jobs are refused.
func TestOperatorsCancelJobsOnly(t *testing.T) {
	s := &twoOwners{}
	c := s.client(t)
	if _, err := c.CancelJob(t.Context(), "near"); err != nil || !slices.Equal(s.cancelled, []heatherhub.JobID{"near"}) {
		t.Errorf("got %v cancelled, error %v, want near", s.cancelled, err)
	}
	snapshot, err := c.Snapshot(t.Context())
	if err != nil || snapshot.Version != 7 || len(snapshot.Workloads) != 1 {
		t.Errorf("got snapshot %+v, error %v, want version 7 with one queue", snapshot, err)
	}
	if _, err := c.Apply(t.Context(), operatorapi.ApplyRequest{EditID: "e"}); heatherhub.CodeOf(err) != heatherhub.CodeInvalid {
		t.Errorf("got error %v, want the edit refused", err)
	}
	if _, err := c.AddJob(t.Context(), operatorapi.JobRequest{ID: "x", Workload: "letters", Tasks: 1}); err == nil {
		t.Error("got a job added, want it refused")
	}
}
