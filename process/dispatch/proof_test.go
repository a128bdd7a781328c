package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

// endsPerReport is how many ended runs a worker lists in one report.
const endsPerReport = 500

// newFullReport returns a report with as many ended runs as fit, none of which the worker may
// forget yet.
func newFullReport() agent.Report {
	full := agent.Report{Clock: 1}
	for n := range endsPerReport {
		full.Ended = append(full.Ended, endedRun(uint64(n+1), agent.EndDone))
	}
	return full
}

// TestRunBehindAFullListOfEndsIsNotRestarted guards against a second run of a task that is done,
// while its end waits behind ends that the worker may not forget yet.
func TestRunBehindAFullListOfEndsIsNotRestarted(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	b.add("late", tasks(1, 1000, time.Second))
	b.decide()
	w := b.placed[heatherhub.StepTask{Job: "late"}]
	full := newFullReport()
	b.outcome = func(o dispatch.Order) dispatch.Outcome {
		if o.Kind == dispatch.StopTask {
			// The worker has no such run any more.
			return dispatch.Refused
		}
		return dispatch.Confirmed
	}
	for range 20 {
		b.now.Steady += 100 * time.Millisecond
		b.e.Report(b.now, b.now.Steady, w, &full)
		b.decide()
	}
	if got, want := len(b.started), 1; got != want {
		t.Errorf("got %d starts of a task whose end is not listed yet, want %d", got, want)
	}
}

// TestTakeoverWaitsForTheWholeListOfEnds guards against a second run of a task that is done, whose
// end did not fit into the first report to a new owner.
func TestTakeoverWaitsForTheWholeListOfEnds(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	const w = heatherhub.WorkerID("full")
	b.e.MarkUnresolved(w)
	flow := &heatherhub.Workflow{ID: "late", Queue: queue, Steps: []heatherhub.Step{tasks(1, 1000, time.Second)}, Accepted: b.now.Wall}
	b.workflows["late"] = flow
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1, Origin: dispatch.OriginPreviousOwner})
	full := newFullReport()
	b.e.WorkerUp(b.now, agent.Worker{ID: w, Pool: pool, Capacity: heatherhub.Resources{CPU: 10_000, Memory: 10_000}}, &full)
	b.decide()
	if got, want := len(b.started), 0; got != want {
		t.Errorf("got %d starts before the worker has listed all ends, want %d", got, want)
	}
}

// TestClosedWorkerListsTasksWhoseEndIsNotDurable guards against a second run of a task that is
// done: its owner dies before that is durable, and the next one reads that nothing of the task is
// left on the worker, which drains and is not reached at once.
func TestClosedWorkerListsTasksWhoseEndIsNotDurable(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	b.add("last", tasks(1, 1000, time.Second))
	b.decide()
	id := heatherhub.StepTask{Job: "last"}
	w := b.placed[id]
	draining := b.worker(slices.Index(b.workers, w))
	draining.Draining = true
	b.e.UpdateWorker(draining)
	b.now.Steady += time.Second
	end := agent.Ended{Sequence: 1, Task: id, Run: b.runs[w][0].order.Run, Kind: agent.EndDone}
	b.e.Report(b.now, b.now.Steady, w, &agent.Report{Clock: 1, Ended: []agent.Ended{end}})
	listed, isClosed := b.e.ClosedWorkerTasks(w)
	if !isClosed {
		t.Fatal("got an open worker, want it closed")
	}
	next := newSimulation(t, dispatch.Policy{}, 1)
	next.e.MarkUnresolvedClosed(w, listed)
	flow := b.workflows["last"]
	next.workflows["last"] = flow
	next.e.AddJob(next.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1, Origin: dispatch.OriginPreviousOwner})
	next.decide()
	if got, want := len(next.started), 0; got != want {
		t.Errorf("got %d starts by the next owner before the worker was asked, want %d", got, want)
	}
}

// TestClosedWorkerListsTasksOnlyFromAWholeList guards against a second run of a task that is done
// on a draining worker, whose end was not listed when the fleet was written.
func TestClosedWorkerListsTasksOnlyFromAWholeList(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	const w = heatherhub.WorkerID("full")
	b.e.MarkUnresolved(w)
	flow := &heatherhub.Workflow{ID: "late", Queue: queue, Steps: []heatherhub.Step{tasks(1, 1000, time.Second)}, Accepted: b.now.Wall}
	b.workflows["late"] = flow
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1, Origin: dispatch.OriginPreviousOwner})
	full := newFullReport()
	b.e.WorkerUp(b.now, agent.Worker{ID: w, Pool: pool, Draining: true, Capacity: heatherhub.Resources{CPU: 10_000, Memory: 10_000}}, &full)
	listed, isClosed := b.e.ClosedWorkerTasks(w)
	if !isClosed {
		return
	}
	next := newSimulation(t, dispatch.Policy{}, 1)
	next.e.MarkUnresolvedClosed(w, listed)
	next.workflows["late"] = flow
	next.e.AddJob(next.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1, Origin: dispatch.OriginPreviousOwner})
	next.decide()
	if got, want := len(next.started), 0; got != want {
		t.Errorf("got %d starts by the next owner, want %d", got, want)
	}
}

// TestWorkerWithAnIncompleteListIsNotIdle guards against a worker that counts as vacated while the
// end of a run hides behind a full list.
func TestWorkerWithAnIncompleteListIsNotIdle(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	w := b.workers[0]
	absent := heatherhub.StepTask{Job: "absent"}
	unknown := heatherhub.StepTask{Job: "unknown"}
	b.e.Report(b.now, b.now.Steady, w, &agent.Report{Clock: 1, Running: []agent.Running{{Task: absent, Run: 1}, {Task: unknown, Run: 1}}})
	b.e.MarkAbsent(b.now, "absent", 0)
	full := agent.Report{Clock: 1}
	for n := range endsPerReport {
		full.Ended = append(full.Ended, agent.Ended{Sequence: uint64(n + 1), Task: heatherhub.StepTask{Job: "absent", Index: n}, Run: 1, Kind: agent.EndStopped})
	}
	b.now.Steady += 100 * time.Millisecond
	b.e.Report(b.now, b.now.Steady, w, &full)
	if b.e.IsIdle(w) {
		t.Error("got an idle worker, want one whose ends are not all listed")
	}
}
