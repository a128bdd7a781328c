package dispatch_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

// TestStallsOfATaskAreStoredUntilItIsDone guards against a count of stalled runs that no next owner knows, or that
// makes the progress of a job larger with each task that is done.
func TestStallsOfATaskAreStoredUntilItIsDone(t *testing.T) {
	b := newIncarnations(t, 1)
	var start dispatch.Order
	b.outcome = func(o dispatch.Order) dispatch.Outcome {
		if o.Kind == dispatch.StartTask {
			start = o
		}
		return dispatch.Confirmed
	}
	b.add("slow", tasks(1, 1000, time.Second))
	b.decide()
	for range 40 {
		b.reportRuns(100*time.Millisecond, b.workers[0], agent.Running{Task: start.Task, Run: start.Run})
		b.decide()
	}
	if got, want := b.e.Progress("slow").Stalls, (dispatch.StallCount{Count: 1}); len(got) != 1 || got[0] != want {
		t.Errorf("got stalls %+v of a run without progress, want %+v once", got, want)
	}
	b.e.Report(b.now, b.now.Steady, b.workers[0], &agent.Report{Clock: 1, Ended: []agent.Ended{{Sequence: 1, Task: start.Task, Run: start.Run, Kind: agent.EndDone}}})
	if got := b.e.Progress("slow").Stalls; len(got) != 0 {
		t.Errorf("got stalls %+v of a task that is done, want none", got)
	}
}
