package dispatch_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

// addIncarnation adds the first incarnation of a worker with room for cpu.
func (b *simulation) addIncarnation(name heatherhub.WorkerName, cpu heatherhub.MilliCPU) heatherhub.WorkerID {
	id := heatherhub.NewWorkerID(name, 1)
	b.workers = append(b.workers, id)
	w := b.worker(len(b.workers) - 1)
	w.Capacity.CPU = cpu
	b.e.WorkerUp(b.now, w, &agent.Report{Clock: 1})
	return id
}

// commit makes all changes of progress durable.
func (b *simulation) commit() {
	changes := b.e.TakeChanges(100)
	b.e.Committed(b.now, changes, 1)
}

// answerNoStart has no start order answered.
func (b *simulation) answerNoStart() {
	b.outcome = func(o dispatch.Order) dispatch.Outcome {
		if o.Kind == dispatch.StartTask {
			return dispatch.NoReply
		}
		return dispatch.Confirmed
	}
}

// TestEndedJobStaysEnded guards against a job that callers see as cancelled and then as running again.
func TestEndedJobStaysEnded(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 0)
	b.addIncarnation("w", 10_000)
	b.answerNoStart()
	b.add("cancelled", tasks(1, 1000, time.Second))
	b.decide()
	b.commit()
	b.e.Cancel(b.now, "cancelled")
	b.commit()
	for range 200 {
		b.now.Steady += 100 * time.Millisecond
		r := b.report(b.workers[0], 0)
		b.e.Report(b.now, b.now.Steady, b.workers[0], &r)
		b.decide()
		if got, _ := b.e.State("cancelled"); got != heatherhub.WorkflowCancelled {
			t.Fatalf("got state %s %v after the cancel was durable, want %s", got, b.now.Steady-time.Second, heatherhub.WorkflowCancelled)
		}
		b.commit()
	}
}
