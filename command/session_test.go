package command_test

import (
	"context"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command"
	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/operatorapi"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/request/operator"
	"heatherhub.example/heatherhub/version/config"
)

// token is the operator token of the sessions.
const token = "open-sesame"

// fakeBackend implements operator.Backend as one entry host that keeps its jobs in
// memory.
type fakeBackend struct {
	clock clockwork.Clock
	mu    sync.Mutex
	jobs  []operatorapi.JobView
	// missing lists the shards whose owners do not answer; see setFault.
	missing []heatherhub.ShardID
}

func (b *fakeBackend) AddJob(_ context.Context, j heatherhub.Job) (operatorapi.JobView, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.find(j.ID); i >= 0 {
		if b.jobs[i].Job.Workload != j.Workload || b.jobs[i].Job.Tasks != j.Tasks {
			return operatorapi.JobView{}, heatherhub.ErrConflict.New("job %s exists with another workload or number of tasks: choose another id", j.ID)
		}
		return b.jobs[i], nil
	}
	j.Accepted = b.clock.Now()
	v := operatorapi.JobView{Job: j, Shard: heatherhub.ShardID{Domain: "gent"}, Queued: j.Tasks}
	b.jobs = append(b.jobs, v)
	return v, nil
}

func (b *fakeBackend) CancelJob(_ context.Context, id heatherhub.JobID) (operatorapi.JobView, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.find(id)
	if i < 0 {
		return operatorapi.JobView{}, jobNotFound(id)
	}
	b.jobs[i].Job.State, b.jobs[i].Queued = heatherhub.JobCancelled, 0
	return b.jobs[i], nil
}

func (b *fakeBackend) Job(_ context.Context, id heatherhub.JobID) (operatorapi.JobView, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.find(id); i >= 0 {
		return b.jobs[i], nil
	}
	return operatorapi.JobView{}, jobNotFound(id)
}

func (b *fakeBackend) Jobs(_ context.Context, f operatorapi.JobFilter) (operatorapi.JobList, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := operatorapi.JobList{MissingShards: b.missing}
	for _, v := range b.jobs {
		if f.State == "" || f.State == v.Job.State {
			list.Jobs = append(list.Jobs, v)
		}
	}
	if len(list.Jobs) > f.Limit {
		list.Jobs, list.Truncated = list.Jobs[:f.Limit], true
	}
	return list, nil
}

func (b *fakeBackend) Workers(context.Context) (operatorapi.WorkerList, error) {
	capacity := heatherhub.Resources{CPU: 30000, Memory: 125000}
	return operatorapi.WorkerList{Workers: []operatorapi.WorkerView{
		{Host: hostlist.Host{ID: "w1", Role: hostlist.RoleWorker, Address: "10.0.0.11:7100", Domain: "gent", Rack: "gent-r1", State: hostlist.StateLive, Capacity: capacity}, Reachable: true, Tasks: []heatherhub.TaskID{"t1", "t2"}},
		{Host: hostlist.Host{ID: "w2", Role: hostlist.RoleWorker, Address: "10.0.0.12:7100", Domain: "leuven", Rack: "leuven-r1", State: hostlist.StateLeaving, Capacity: capacity}, Quarantined: true},
	}}, nil
}

func (b *fakeBackend) Domains(context.Context) (operatorapi.DomainList, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return operatorapi.DomainList{Domains: []operatorapi.DomainView{
		{Domain: "gent", Workers: 1, Batch: 2},
		{Domain: "leuven", Evacuated: true, Since: b.clock.Now(), Workers: 1, LongRunning: 3, Waiting: 4},
	}, MissingShards: b.missing}, nil
}

func (b *fakeBackend) Hosts(context.Context) (operatorapi.HostList, error) {
	return operatorapi.HostList{Hosts: []operatorapi.HostView{
		{ID: "e1", Domain: "gent", Address: "10.0.0.1:7103", State: hostlist.StateLive, Reachable: true, Version: 2, Shards: []heatherhub.ShardID{{Domain: "gent"}, {Domain: "gent", Index: 1}}},
	}}, nil
}

func (b *fakeBackend) Status(context.Context) (operatorapi.Status, error) {
	return operatorapi.Status{Host: "e1", Domain: "gent", Started: b.clock.Now(), StoreReachable: true, Hosts: 1, Workers: 2, Shards: 2}, nil
}

func (b *fakeBackend) find(id heatherhub.JobID) int {
	return slices.IndexFunc(b.jobs, func(v operatorapi.JobView) bool { return v.Job.ID == id })
}

func jobNotFound(id heatherhub.JobID) error {
	return heatherhub.ErrNotFound.New("no job %q: list them with heatherhub job list", id)
}

// session is the state behind the operator port of one session.
type session struct {
	store   *memory.Store
	backend *fakeBackend
}

// sessionKey is the key of the session in testscript.Env.Values.
const sessionKey = "session"

// TestSessions runs the operator sessions under testdata/session. Regenerate the expected
// output with: go test ./command -run TestSessions -update.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/session",
		UpdateScripts: *update,
		Setup:         startSession,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"heatherhub": runCommand,
			"exits":      expectExitCode,
			"fault":      setFault,
		},
	})
}

// startSession serves the operator port and stores its address and token in the script's
// environment.
func startSession(env *testscript.Env) error {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC))
	s := &session{store: memory.New(memory.Config{Clock: clock}), backend: &fakeBackend{clock: clock}}
	configuration := config.New(config.Config{Store: s.store, Clock: clock})
	srv := httptest.NewServer(operator.New(operator.Config{Backend: s.backend, Configuration: configuration, Domains: s.backend.Domains, Token: token}))
	env.Defer(srv.Close)
	env.Setenv("ENTRY", srv.URL)
	env.Setenv("TOKEN", token)
	env.Values[sessionKey] = s
	return nil
}

// runMain runs the command line. If the variable TERMINAL is set, the output is a terminal
// of that width.
func runMain(ts *testscript.TestScript, args []string) exitcode.Code {
	s := &streams.IO{Out: ts.Stdout(), Err: ts.Stderr(), IsTerminal: ts.Getenv("TERMINAL") != ""}
	if s.IsTerminal {
		width, err := strconv.Atoi(ts.Getenv("TERMINAL"))
		ts.Check(err)
		s.Width = width
	}
	target := []string{"--entry", ts.Getenv("ENTRY"), "--token", ts.Getenv("TOKEN")}
	return command.Main(context.Background(), append(target, args...), s)
}

// runCommand implements "heatherhub ARGS...", which expects the exit status 0, or another
// one if negated.
func runCommand(ts *testscript.TestScript, neg bool, args []string) {
	if got := runMain(ts, args); (got == exitcode.OK) == neg {
		ts.Fatalf("got exit status %d", got)
	}
}

// expectExitCode implements "exits CODE ARGS...".
func expectExitCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	if got := runMain(ts, args[1:]); int(got) != want {
		ts.Fatalf("got exit status %d, want %d", got, want)
	}
}

// setFault implements "fault store-down", "fault owner-down" and "fault none".
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value(sessionKey).(*session)
	s.store.SetFaults(memory.Faults{Down: args[0] == "store-down"})
	s.backend.mu.Lock()
	defer s.backend.mu.Unlock()
	s.backend.missing = nil
	if args[0] == "owner-down" {
		s.backend.missing = []heatherhub.ShardID{{Domain: "leuven", Index: 3}}
	}
}
