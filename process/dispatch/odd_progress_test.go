package dispatch_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
)

// TestOddProgressEndsNoOwner guards against an owner that panics, as does each one after it, on a progress record
// that names tasks which its job does not have.
func TestOddProgressEndsNoOwner(t *testing.T) {
	for _, at := range [][2]int{{0, -1}, {-1, 0}, {0, 2}, {1, 0}} {
		b := newIncarnations(t, 1)
		flow := &heatherhub.Workflow{ID: "odd", Queue: queue, Steps: []heatherhub.Step{tasks(2, 1000, time.Second)}, Accepted: b.now.Wall, Policy: heatherhub.QueuePolicy{Pool: pool}}
		b.workflows[flow.ID] = flow
		b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1, ProgressRevision: 1, Progress: dispatch.Progress{
			State:   heatherhub.WorkflowRunning,
			Failed:  []dispatch.FailedRun{{Occurrence: at[0], Task: at[1], Run: 1}},
			Crashes: []heatherhub.CrashedRun{{Occurrence: at[0], Task: at[1], Run: 2}},
			Open:    []dispatch.OpenStart{{Occurrence: at[0], Task: at[1], Run: 3, Worker: b.workers[0]}},
		}})
		for range 50 {
			b.step(100 * time.Millisecond)
		}
		if got, want := b.e.Progress(flow.ID).State, heatherhub.WorkflowCompleted; got != want {
			t.Errorf("occurrence %d, task %d: got state %q after 5 s, want %q", at[0], at[1], got, want)
		}
	}
}
