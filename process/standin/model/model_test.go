package model_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin/model"
)

// start is the time at which every test begins.
var start = time.Date(2030, 1, 7, 8, 0, 0, 0, time.UTC)

// newWorker returns a worker with 10 cores, 2 slots and 3 connections whose usage
// lags by 4 s, after applying the changes to its configuration. If c is nil, the
// worker has its own checkpoint store.
func newWorker(id string, c *model.Checkpoints, change ...func(*model.Config)) *model.Worker {
	cfg := model.Config{
		Host: hostlist.Host{
			ID: id, Role: hostlist.RoleWorker, Slots: 2, Connections: 3,
			Capacity: heatherhub.Resources{CPU: 10_000, Memory: 1000},
		},
		Checkpoints: c,
		UsageLag:    4 * time.Second,
	}
	for _, f := range change {
		f(&cfg)
	}
	return model.New(cfg)
}

// batch returns a batch task of workload letters and class render.
func batch(id heatherhub.TaskID, cpu heatherhub.MilliCPU, runTime time.Duration) heatherhub.Task {
	return heatherhub.Task{
		ID: id, Workload: "letters", Kind: heatherhub.KindBatch, Class: "render",
		Size: heatherhub.Resources{CPU: cpu, Memory: 100}, RunTime: runTime,
	}
}

// service returns a replica of the service compile.
func service(id heatherhub.TaskID) heatherhub.Task {
	return heatherhub.Task{
		ID: id, Workload: "compile", Kind: heatherhub.KindService,
		Size: heatherhub.Resources{CPU: 2000, Memory: 100},
	}
}

// mustStart starts a task under a lease of the given length.
func mustStart(t *testing.T, w *model.Worker, now time.Time, task heatherhub.Task, lease time.Duration) {
	t.Helper()
	if err := w.Start(now, worker.StartCommand{Task: task, Epoch: 1, LeaseUntil: now.Add(lease)}); err != nil {
		t.Fatalf("start of %s: %v", task.ID, err)
	}
}

// states returns the state of each task that the worker reports.
func states(t *testing.T, w *model.Worker, now time.Time) map[heatherhub.TaskID]worker.TaskState {
	t.Helper()
	r, err := w.Renew(now, worker.RenewCommand{})
	if err != nil {
		t.Fatalf("renew: %v", err)
	}
	got := make(map[heatherhub.TaskID]worker.TaskState)
	for _, s := range r.Tasks {
		got[s.Task.ID] = s.State
	}
	return got
}

// TestExpiredLeaseStopsTask guards against a task that runs on after its lease, as
// its owner may have started it elsewhere by then.
func TestExpiredLeaseStopsTask(t *testing.T) {
	w := newWorker("w1", nil)
	mustStart(t, w, start, batch("a", 1000, time.Hour), 10*time.Second)
	if got, want := states(t, w, start.Add(9*time.Second))["a"], worker.TaskRunning; got != want {
		t.Errorf("before the expiry: got %s, want %s", got, want)
	}
	if got, want := states(t, w, start.Add(time.Minute))["a"], worker.TaskStopped; got != want {
		t.Errorf("after the expiry: got %s, want %s", got, want)
	}
	if got, want := w.History().Runs[0].To, start.Add(10*time.Second); !got.Equal(want) {
		t.Errorf("end of run: got %s, want %s", got, want)
	}
}

// TestStartWithExpiredLeaseRunsNothing checks that a start command that arrives
// after its lease leaves no run in the history.
func TestStartWithExpiredLeaseRunsNothing(t *testing.T) {
	w := newWorker("w1", nil)
	err := w.Start(start, worker.StartCommand{Task: batch("a", 1000, time.Hour), LeaseUntil: start})
	if got, want := heatherhub.CodeOf(err), heatherhub.CodeNotRun; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := len(w.History().Runs), 0; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// TestResumeContinuesFromCheckpoint checks that a task that was checkpointed after 6
// of 10 s and stopped needs only the other 4 s on another worker.
func TestResumeContinuesFromCheckpoint(t *testing.T) {
	checkpoints := model.NewCheckpoints()
	a, b := newWorker("a", checkpoints), newWorker("b", checkpoints)
	task := batch("x", 1000, 10*time.Second)
	mustStart(t, a, start, task, time.Hour)
	now := start.Add(6 * time.Second)
	ref, err := a.Checkpoint(now, "x")
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Stop(now, "x"); err != nil {
		t.Fatal(err)
	}
	task.Resume = ref
	mustStart(t, b, now, task, time.Hour)
	if got, want := states(t, b, now.Add(3*time.Second))["x"], worker.TaskRunning; got != want {
		t.Errorf("after 9 of 10 seconds: got %s, want %s", got, want)
	}
	if got, want := states(t, b, now.Add(5*time.Second))["x"], worker.TaskFinished; got != want {
		t.Errorf("after 11 of 10 seconds: got %s, want %s", got, want)
	}
	report := model.Audit([]model.History{a.History(), b.History()})
	if !report.IsClean() {
		t.Errorf("audit: got %+v, want a clean report", report)
	}
}

// TestAuditReportsViolations causes one violation of each kind: task x runs on two
// workers, a is overcommitted, b runs 3 requests of one key in 2 slots, has 4
// connections with a limit of 3, and stops the replica of the requests.
func TestAuditReportsViolations(t *testing.T) {
	a, b := newWorker("a", nil), newWorker("b", nil)
	mustStart(t, a, start, batch("x", 6000, time.Hour), time.Hour)
	mustStart(t, a, start, batch("y", 6000, time.Hour), time.Hour)
	mustStart(t, b, start.Add(time.Second), batch("x", 1000, time.Hour), time.Hour)
	mustStart(t, b, start, service("s"), time.Hour)
	for _, id := range []heatherhub.RequestID{"r1", "r2", "r3"} {
		r := worker.Request{ID: id, Workload: "compile", Task: "s", Key: "k"}
		if _, err := b.BeginRequest(start, r, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.Stop(start.Add(time.Second), "s"); err != nil {
		t.Fatal(err)
	}
	b.ObserveConnections(start.Add(time.Second), 3)
	b.ObserveConnections(start.Add(time.Second), 4)
	r := model.Audit([]model.History{a.History(), b.History()})
	counts := []struct {
		name      string
		got, want int
	}{
		{"duplicate runs", len(r.DuplicateRuns), 1},
		{"overcommits", len(r.Overcommits), 1},
		{"violations of slots and connections", len(r.Violations), 2},
		{"duplicate requests", len(r.DuplicateRequests), 1},
		{"cut off", len(r.CutOff), 3},
	}
	for _, c := range counts {
		if c.got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, c.got, c.want)
		}
	}
	idempotent := model.Audit([]model.History{b.History()}, "compile")
	if got, want := len(idempotent.DuplicateRequests), 0; got != want {
		t.Errorf("duplicate requests of an idempotent workload: got %d, want %d", got, want)
	}
}
