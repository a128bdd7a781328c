package demo_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/demo"
	"heatherhub.example/heatherhub/process/standin/model"
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
	var copied heatherhub.TaskID
	r := runDay(t, func(_ context.Context, c *demo.Cluster) {
		var err error
		if copied, err = startSecondCopy(c); err != nil {
			t.Errorf("cannot start a second copy of a task: %v", err)
		}
	})
	if r.IsClean() || r.Duplicates == 0 {
		t.Errorf("got a day without duplicates, want the second copy of task %s reported: %+v", copied, r)
	}
	want := fmt.Sprintf("Task:%s ", copied)
	if !slices.ContainsFunc(r.Findings, func(f string) bool {
		return strings.HasPrefix(f, "task ran on two workers at once") && strings.Contains(f, want)
	}) {
		t.Errorf("got findings %q, want one of task %s on two workers", r.Findings, copied)
	}
}

// startSecondCopy starts a running service task of one live worker on another live worker
// too, without the scheduler, and returns the task. The day may kill a worker at any time,
// so it makes sure that both copies have run at once.
func startSecondCopy(c *demo.Cluster) (heatherhub.TaskID, error) {
	var live []*model.Worker
	for _, h := range c.Platform().Histories() {
		if w := c.Platform().Worker(h.Worker); !w.IsDead() {
			live = append(live, w)
		}
	}
	err := errors.New("no service task runs on a live worker")
	for i, from := range live {
		to := live[(i+1)%len(live)]
		for _, s := range runningServices(from) {
			now := time.Now()
			copied := worker.StartCommand{Task: s.Task, Epoch: s.Epoch, LeaseUntil: now.Add(worker.TaskLease)}
			if startErr := to.Start(now, copied); startErr != nil {
				err = startErr
				break
			}
			if slices.ContainsFunc(runningServices(from), func(o worker.TaskStatus) bool { return o.Task.ID == s.Task.ID }) {
				return s.Task.ID, nil
			}
		}
	}
	return "", err
}

// runningServices returns the service tasks that run on a worker.
func runningServices(w *model.Worker) []worker.TaskStatus {
	return slices.DeleteFunc(w.Tasks(time.Now()), func(s worker.TaskStatus) bool {
		return s.State != worker.TaskRunning || s.Task.Kind != heatherhub.KindService
	})
}
