package model_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin/model"
)

// requestTime runs a request that takes 100 ms on an idle worker and returns the time
// that it took.
func requestTime(t *testing.T, w *model.Worker, now time.Time, id heatherhub.RequestID) time.Duration {
	t.Helper()
	took, err := w.BeginRequest(now, worker.Request{ID: id, Workload: "compile", Task: "s"}, 100*time.Millisecond)
	if err != nil {
		t.Fatalf("request %s: %v", id, err)
	}
	if err := w.EndRequest(now.Add(took), id); err != nil {
		t.Fatalf("request %s: %v", id, err)
	}
	return took
}

// TestInterferenceSlowsRequests checks the slowdown of a request at an interference
// of 1.0: 1.5 beside a batch task on half of the processors, 1.25 beside the same
// task at a throttle of 50%.
func TestInterferenceSlowsRequests(t *testing.T) {
	w := newWorker("w", nil, func(cfg *model.Config) {
		cfg.Interference = model.Interference{{Workload: "compile", Class: "render"}: 1.0}
	})
	mustStart(t, w, start, service("s"), time.Hour)
	if got, want := requestTime(t, w, start, "alone"), 100*time.Millisecond; got != want {
		t.Errorf("alone: got %s, want %s", got, want)
	}
	mustStart(t, w, start.Add(time.Second), batch("a", 5000, time.Hour), time.Hour)
	if got, want := requestTime(t, w, start.Add(2*time.Second), "beside"), 150*time.Millisecond; got != want {
		t.Errorf("beside a batch task with half of the processors: got %s, want %s", got, want)
	}
	if err := w.Throttle(start.Add(3*time.Second), "a", 50); err != nil {
		t.Fatal(err)
	}
	if got, want := requestTime(t, w, start.Add(4*time.Second), "throttled"), 125*time.Millisecond; got != want {
		t.Errorf("beside a throttled task: got %s, want %s", got, want)
	}
}

// TestThrottleAndContentionSlowBatch checks that a task of 10 s takes 15 s if it is
// throttled to 50% after 5 s, and 20 s on a worker whose processors are all in use.
func TestThrottleAndContentionSlowBatch(t *testing.T) {
	w := newWorker("w", nil)
	mustStart(t, w, start, batch("a", 5000, 10*time.Second), time.Hour)
	if err := w.Throttle(start.Add(5*time.Second), "a", 50); err != nil {
		t.Fatal(err)
	}
	w.Advance(start.Add(time.Minute))
	if got, want := w.History().Runs[0].To.Sub(start).Round(time.Millisecond), 15*time.Second; got != want {
		t.Errorf("throttled run: got %s, want %s", got, want)
	}
	full := newWorker("full", nil)
	mustStart(t, full, start, batch("a", 5000, 10*time.Second), time.Hour)
	mustStart(t, full, start, batch("b", 5000, 10*time.Second), time.Hour)
	full.Advance(start.Add(time.Minute))
	if got, want := full.History().Runs[0].To.Sub(start).Round(time.Millisecond), 20*time.Second; got != want {
		t.Errorf("run on a full worker: got %s, want %s", got, want)
	}
}

// TestUsageIsReportedWithLag checks that, with samples each 2 s and a lag of 4 s, a
// report holds the newest sample that is at least 4 s old, and that the sample counts
// the request of its own period.
func TestUsageIsReportedWithLag(t *testing.T) {
	w := newWorker("w", nil)
	mustStart(t, w, start, service("s"), time.Hour)
	requestTime(t, w, start, "r")
	for _, c := range []struct {
		after time.Duration
		want  time.Time
	}{
		{5 * time.Second, time.Time{}},
		{6 * time.Second, start.Add(2 * time.Second)},
		{8 * time.Second, start.Add(4 * time.Second)},
	} {
		r, err := w.Renew(start.Add(c.after), worker.RenewCommand{})
		if err != nil {
			t.Fatal(err)
		}
		if got := r.Usage.At; !got.Equal(c.want) {
			t.Errorf("after %s: got %s, want %s", c.after, got, c.want)
		}
		if c.after != 6*time.Second {
			continue
		}
		want := worker.TaskUsage{Task: "s", Used: heatherhub.Resources{CPU: 250, Memory: 100}, Latency: 100 * time.Millisecond, Requests: 1}
		if got := r.Usage.Tasks[0]; got != want {
			t.Errorf("usage: got %+v, want %+v", got, want)
		}
	}
}

// TestTrueSizeDependsOnSeed checks that the true size is reproducible, differs
// between seeds and stays within the largest error.
func TestTrueSizeDependsOnSeed(t *testing.T) {
	used := func(seed uint64) heatherhub.Resources {
		w := newWorker("w", nil, func(cfg *model.Config) { cfg.Seed, cfg.SizeError, cfg.UsageLag = seed, 1.0, 0 })
		mustStart(t, w, start, batch("a", 2000, time.Hour), time.Hour)
		r, err := w.Renew(start.Add(2*time.Second), worker.RenewCommand{})
		if err != nil {
			t.Fatal(err)
		}
		return r.Usage.Tasks[0].Used
	}
	if got, want := used(7), used(7); got != want {
		t.Errorf("same seed: got %s, want %s", got, want)
	}
	if got, other := used(7), used(8); got == other {
		t.Errorf("other seed: got the same size %s, want another one", got)
	}
	if got := used(7).CPU; got < 1000 || got > 4000 {
		t.Errorf("true size: got %d, want 1000 to 4000", got)
	}
}

// TestKillAndFailTasks checks that a killed worker refuses calls, leaves its requests
// unanswered and comes back without tasks, and that FailTasks fails the next task.
func TestKillAndFailTasks(t *testing.T) {
	w := newWorker("w", nil)
	mustStart(t, w, start, service("s"), time.Hour)
	if _, err := w.BeginRequest(start, worker.Request{ID: "r", Workload: "compile", Task: "s"}, time.Second); err != nil {
		t.Fatal(err)
	}
	w.Kill(start.Add(time.Second))
	_, err := w.Renew(start.Add(2*time.Second), worker.RenewCommand{})
	if got, want := heatherhub.CodeOf(err), heatherhub.CodeUnavailable; got != want {
		t.Errorf("renewal at a dead worker: got %q, want %q", got, want)
	}
	if got, want := heatherhub.CodeOf(w.EndRequest(start.Add(2*time.Second), "r")), heatherhub.CodeUnknown; got != want {
		t.Errorf("answer of a dead worker: got %q, want %q", got, want)
	}
	w.Revive(start.Add(3 * time.Second))
	w.SetFailTasks(true)
	mustStart(t, w, start.Add(4*time.Second), batch("a", 1000, time.Hour), time.Hour)
	got := states(t, w, start.Add(4*time.Second))
	if len(got) != 1 || got["a"] != worker.TaskFailed {
		t.Errorf("tasks after revival: got %v, want only a failed one", got)
	}
}

// TestFrozenWorkerLosesLeases checks that a renewal does not reach a frozen worker
// and that a lease expires during the pause.
func TestFrozenWorkerLosesLeases(t *testing.T) {
	w := newWorker("w", nil)
	mustStart(t, w, start, batch("a", 1000, time.Minute), 10*time.Second)
	w.Freeze(start.Add(time.Second))
	_, err := w.Renew(start.Add(2*time.Second), worker.RenewCommand{Tasks: []heatherhub.TaskID{"a"}, LeaseUntil: start.Add(time.Hour)})
	if got, want := heatherhub.CodeOf(err), heatherhub.CodeUnknown; got != want {
		t.Errorf("renewal at a frozen worker: got %q, want %q", got, want)
	}
	w.Thaw(start.Add(20 * time.Second))
	if got, want := states(t, w, start.Add(20*time.Second))["a"], worker.TaskStopped; got != want {
		t.Errorf("after the pause: got %s, want %s", got, want)
	}
}

// TestConfirmedTaskIsRemovedAndRerunReported checks that a confirmed task is no
// longer reported, and that the audit reports a second run of it on another worker.
func TestConfirmedTaskIsRemovedAndRerunReported(t *testing.T) {
	w, other := newWorker("w", nil), newWorker("other", nil)
	mustStart(t, w, start, batch("a", 1000, time.Second), time.Hour)
	now := start.Add(2 * time.Second)
	if got, want := states(t, w, now)["a"], worker.TaskFinished; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	r, err := w.Renew(now, worker.RenewCommand{Confirmed: []heatherhub.TaskID{"a"}})
	if err != nil || len(r.Tasks) != 0 {
		t.Errorf("after the confirmation: got %v and %v, want no tasks", r.Tasks, err)
	}
	mustStart(t, other, now, batch("a", 1000, time.Second), time.Hour)
	audit := model.Audit([]model.History{w.History(), other.History()})
	if got, want := len(audit.Reruns), 1; got != want {
		t.Errorf("reruns: got %d, want %d", got, want)
	}
}
