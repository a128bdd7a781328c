package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

// addServing adds a long-running job with n serving tasks that each reserve half a worker.
func (b *simulation) addServing(id heatherhub.JobID, n int) {
	s := tasks(n, 5000, time.Second)
	s.LongRunning, s.Image, s.LatencyTarget = true, "serving", 20*time.Millisecond
	b.add(id, s)
}

// addFillers adds a job with n filler tasks.
func (b *simulation) addFillers(id heatherhub.JobID, n int, d time.Duration) {
	s := tasks(n, 1500, d)
	s.Filler, s.Image = true, "filler"
	b.add(id, s)
}

// TestSwingOfServingLoadIsNoSlowWorker replays serving tasks whose load swings: for seconds
// they leave fillers on some workers a tenth of their processors. Restarting the fillers
// elsewhere would throw their work away.
func TestSwingOfServingLoadIsNoSlowWorker(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 8)
	b.tail = func(string, []string) float64 { return 8 }
	b.fillerSpeed = func(w heatherhub.WorkerID) float64 {
		if w < b.workers[2] && (b.now.Steady/(2*time.Second))%2 == 1 {
			return 0.1
		}
		return 1
	}
	b.addServing("serving", 16)
	b.decide()
	for k := range 8 {
		b.addFillers(heatherhub.JobID(fmt.Sprintf("fillers%d", k)), 2, 8*time.Second)
		b.decide()
	}
	b.advance(12 * time.Second)
	stalled := 0
	for _, e := range b.e.TakeEvents() {
		if e.Event == dispatch.EventRunStalled {
			stalled++
		}
	}
	if stalled > 0 {
		t.Errorf("got %d fillers stopped as stalled, want none", stalled)
	}
}

// TestUnansweredReturnToFullSpeedIsRepeated replays fillers that are slowed down while a
// target is missed, and whose order back to full speed gets no answer.
func TestUnansweredReturnToFullSpeedIsRepeated(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	isMissed := true
	b.tail = func(_ string, fillers []string) float64 {
		if isMissed && len(fillers) > 0 {
			return 50
		}
		return 8
	}
	lost := 0
	b.outcome = func(o dispatch.Order) dispatch.Outcome {
		if o.Kind == dispatch.ThrottleTask && o.Percent == 100 && lost < 3 {
			lost++
			return dispatch.NoReply
		}
		return dispatch.Confirmed
	}
	b.addServing("serving", 1)
	b.decide()
	b.addFillers("fillers", 2, 3*time.Second)
	b.decide()
	b.advance(2500 * time.Millisecond)
	isMissed = false
	b.advance(8 * time.Second)
	if lost == 0 {
		t.Fatal("got no order back to full speed")
	}
	if s, _ := b.e.State("fillers"); s != heatherhub.WorkflowCompleted {
		t.Errorf("got state %q, want the fillers completed 8 s after the target was met again", s)
	}
}

// TestInheritedHaltIsLifted replays a takeover while fillers are halted: the new owner knows
// no halt, and the fillers use no processors.
func TestInheritedHaltIsLifted(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 0)
	step := tasks(2, 1500, 3*time.Second)
	step.Filler, step.Image = true, "filler"
	flow := &heatherhub.Workflow{ID: "fillers", Queue: queue, Steps: []heatherhub.Step{step}, Accepted: b.now.Wall}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1, Origin: dispatch.OriginPreviousOwner})
	w := agent.Worker{ID: "w", Pool: pool, Capacity: heatherhub.Resources{CPU: 10_000, Memory: 10_000}}
	report := agent.Report{Clock: 1}
	for i, used := range []float64{0, 1400} {
		task := heatherhub.StepTask{Job: "fillers", Index: i}
		report.Running = append(report.Running, agent.Running{Task: task, Run: 7, Progress: 20, HasMeasurement: true, Measurement: used})
	}
	b.e.WorkerUp(b.now, w, &report)
	var got []int
	for range 10 {
		b.now.Steady += 200 * time.Millisecond
		b.e.Report(b.now, b.now.Steady, "w", &report)
		for _, o := range b.e.Decide(b.now) {
			if o.Kind == dispatch.ThrottleTask && o.Percent == 100 {
				got = append(got, o.Task.Index)
				b.e.OrderResult(b.now, o, dispatch.Confirmed)
			}
		}
	}
	if len(got) != 1 || got[0] != 0 {
		t.Errorf("got orders to full speed for tasks %v, want one for the halted task 0", got)
	}
}
