package dispatch_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

// TestReplacedIncarnationIsNotWaitedFor guards against tasks that wait for a worker which has started
// again and was then replaced: its next incarnation never lists its runs. As long as that one may
// still be there, they have to wait.
func TestReplacedIncarnationIsNotWaitedFor(t *testing.T) {
	name := heatherhub.WorkerName("w")
	first, second := heatherhub.NewWorkerID(name, 1), heatherhub.NewWorkerID(name, 2)
	const until = time.Minute
	for label, tt := range map[string]struct {
		gone       heatherhub.WorkerID
		isReplaced bool
		want       int
	}{
		"replaced":         {second, true, 1},
		"lease expired":    {second, false, 0},
		"another replaced": {heatherhub.NewWorkerID("other", 1), true, 0},
	} {
		t.Run("run of a previous owner,"+label, func(t *testing.T) {
			b := newSimulation(t, dispatch.Policy{}, 1)
			b.e.MarkUnresolved(first)
			flow := &heatherhub.Workflow{ID: "inherited", Queue: queue, Steps: []heatherhub.Step{tasks(1, 1000, time.Second)}, Accepted: b.now.Wall}
			b.workflows["inherited"] = flow
			b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1, Origin: dispatch.OriginPreviousOwner})
			b.e.WorkerRestarted(b.now, first, until)
			b.e.WorkerGone(b.now, tt.gone, tt.isReplaced)
			b.decide()
			if got := len(b.started); got != tt.want {
				t.Errorf("got %d starts, want %d", got, tt.want)
			}
			if got, want := b.e.AwaitsNextIncarnation(first), tt.want == 0; got != want {
				t.Errorf("got a wait for the next incarnation: %v, want %v", got, want)
			}
		})
		t.Run("start without an answer,"+label, func(t *testing.T) {
			b := newSimulation(t, dispatch.Policy{}, 0)
			b.e.WorkerUp(b.now, agent.Worker{ID: first, Pool: pool, Capacity: heatherhub.Resources{CPU: 10_000, Memory: 10_000}}, &agent.Report{Clock: 1})
			b.outcome = func(dispatch.Order) dispatch.Outcome { return dispatch.NoReply }
			b.add("unanswered", tasks(1, 1000, time.Second))
			b.decide()
			b.outcome = nil
			b.e.WorkerRestarted(b.now, first, until)
			b.workers = append(b.workers, "beside")
			b.e.WorkerUp(b.now, b.worker(0), &agent.Report{Clock: 1})
			b.e.WorkerGone(b.now, tt.gone, tt.isReplaced)
			// A next owner has to know of the start from the fleet until the progress names it.
			if got, want := b.e.AwaitsNextIncarnation(first), tt.want == 0; got != want {
				t.Errorf("got a wait for the next incarnation: %v, want %v", got, want)
			}
			changes := b.e.TakeChanges(10)
			b.e.Committed(b.now, changes, 1)
			if len(changes) != 1 {
				t.Fatalf("got %d changes, want 1", len(changes))
			}
			if got, want := len(changes[0].Progress.Open), 1-tt.want; got != want {
				t.Errorf("got %d open starts in the progress, want %d", got, want)
			}
			if b.e.AwaitsNextIncarnation(first) {
				t.Error("got a wait for the next incarnation of a start that is in the progress, want none")
			}
			for range 50 {
				b.step(100 * time.Millisecond)
			}
			if got := len(b.started); got != tt.want {
				t.Errorf("got %d starts, want %d", got, tt.want)
			}
		})
	}
}
