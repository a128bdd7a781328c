package demo_test

import (
	"context"
	"testing"
	"time"

	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/demo"
)

// shortDay is long enough for every event of the day to happen.
const shortDay = 8 * time.Second

// runDay runs the day of the first site.
func runDay(t *testing.T, midday func(context.Context, *demo.Cluster)) demo.Result {
	t.Helper()
	results, err := demo.Run(t.Context(), demo.Config{
		Sites: demo.Sites()[:1], Day: shortDay, Speed: 1000, Seed: 7, Midday: midday,
	})
	if err != nil {
		t.Fatal(err)
	}
	return results[0]
}

// TestDayHasNoViolations runs a day with its faults: it must end without a violation,
// with all jobs finished and answers from every service.
func TestDayHasNoViolations(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a day on the real clock")
	}
	r := runDay(t, nil)
	if !r.IsClean() {
		t.Errorf("got violations: %+v", r)
	}
	if got, want := r.Batch.Finished, r.Batch.Jobs; got != want || want == 0 {
		t.Errorf("got %d finished jobs, want %d and more than 0", got, want)
	}
	for _, s := range r.Services {
		if s.Answered == 0 {
			t.Errorf("got no answer of %s, want some", s.Workload)
		}
	}
}

// TestViolationIsReported guards against a demo that reports no violations whatever
// happens: it starts a second copy of a task, which the result must show.
func TestViolationIsReported(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a day on the real clock")
	}
	r := runDay(t, startSecondCopy)
	if r.IsClean() {
		t.Errorf("got a day without violations, want the second copy of a task reported: %+v", r)
	}
}

// startSecondCopy starts a running task of one worker on another worker too, without
// the scheduler. The one that runs the task already ignores the start.
func startSecondCopy(_ context.Context, c *demo.Cluster) {
	now := time.Now()
	a, b := c.Platform().Worker("gent-w000"), c.Platform().Worker("gent-w001")
	for _, s := range append(a.Tasks(now), b.Tasks(now)...) {
		if s.State != worker.TaskRunning {
			continue
		}
		copied := worker.StartCommand{Task: s.Task, Epoch: s.Epoch, LeaseUntil: now.Add(worker.TaskLease)}
		_ = a.Start(now, copied)
		_ = b.Start(now, copied)
		return
	}
}
