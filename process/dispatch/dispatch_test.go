package dispatch_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

const (
	queue = heatherhub.QueueID("q")
	pool  = heatherhub.PoolID("pool")
)

// simulation runs an engine with simulated workers on a simulated clock. Workers carry
// out every order and finish each task after its estimated duration.
type simulation struct {
	t         *testing.T
	e         *dispatch.Engine
	now       dispatch.Moment
	workers   []heatherhub.WorkerID
	runs      map[heatherhub.WorkerID][]*run
	ended     map[heatherhub.WorkerID]uint64
	workflows map[heatherhub.JobID]*heatherhub.Workflow
	started   []heatherhub.StepTask
	placed    map[heatherhub.StepTask]heatherhub.WorkerID
	doneAt    map[heatherhub.JobID]time.Duration
	// tail returns the tail latency in milliseconds of a serving image beside fillers.
	tail func(serving string, fillers []string) float64
	// ends returns how a task ends; if nil, every task ends as done.
	ends func(heatherhub.WorkerID, heatherhub.StepTask) agent.EndKind
	// outcome returns the outcome of an order; if nil, every order is confirmed. Orders that
	// are not confirmed are not carried out.
	outcome func(dispatch.Order) dispatch.Outcome
	// stopTime is the time that a stop takes. Tasks that checkpoint save every tenth of their
	// work, and continue after restoreTime.
	stopTime, restoreTime time.Duration
	// fillerSpeed is the rate at which fillers progress on a worker; if nil, it is 1.
	fillerSpeed func(heatherhub.WorkerID) float64
	// runTime is the ratio of the true to the declared run time; zero counts as 1.
	runTime float64
	// slowdown is the factor by which tasks take longer away from their rack; zero stands for 1.
	slowdown float64
	// factor returns the ratio of the run time of a task to its estimate; if nil, it is 1.
	factor func() float64
}

type run struct {
	order      dispatch.Order
	total      time.Duration
	remaining  time.Duration
	speedLimit heatherhub.Percent
	// stopsAt is the time at which a stop takes effect, or zero.
	stopsAt time.Duration
}

func newSimulation(t *testing.T, policy dispatch.Policy, workers int) *simulation {
	return newTunedSimulation(t, dispatch.Tuning{}, policy, workers)
}

func newTunedSimulation(t *testing.T, tuning dispatch.Tuning, policy dispatch.Policy, workers int) *simulation {
	b := &simulation{
		t: t, e: dispatch.New(dispatch.Config{Token: 1, Tuning: tuning}), now: dispatch.Moment{Steady: time.Second, Wall: time.Unix(1000, 0)},
		runs: make(map[heatherhub.WorkerID][]*run), ended: make(map[heatherhub.WorkerID]uint64),
		workflows: make(map[heatherhub.JobID]*heatherhub.Workflow), placed: make(map[heatherhub.StepTask]heatherhub.WorkerID),
		doneAt: make(map[heatherhub.JobID]time.Duration),
	}
	policy.Pool = pool
	if policy.Stretch == 0 {
		policy.Stretch = 2
	}
	b.e.SetPolicies(map[heatherhub.QueueID]dispatch.Policy{queue: policy})
	for i := range workers {
		id := heatherhub.WorkerID(fmt.Sprintf("w%02d", i))
		b.workers = append(b.workers, id)
		b.e.WorkerUp(b.now, b.worker(i), &agent.Report{Clock: 1})
	}
	return b
}

// worker returns the entry of worker i. Two workers share a rack.
func (b *simulation) worker(i int) agent.Worker {
	return agent.Worker{
		ID: b.workers[i], Pool: pool, Rack: heatherhub.Rack(fmt.Sprintf("r%d", i/2)),
		Capacity: heatherhub.Resources{CPU: 10_000, Memory: 10_000},
	}
}

func (b *simulation) add(id heatherhub.JobID, steps ...heatherhub.Step) {
	b.submit(id, queue, steps...)
}

func tasks(n int, cpu heatherhub.MilliCPU, d time.Duration) heatherhub.Step {
	return heatherhub.Step{Tasks: n, Need: heatherhub.Resources{CPU: cpu, Memory: 10}, Estimate: d}
}

// decide carries out the engine's orders and confirms them at once.
func (b *simulation) decide() {
	for _, o := range b.e.Decide(b.now) {
		outcome := dispatch.Confirmed
		if b.outcome != nil {
			outcome = b.outcome(o)
		}
		if outcome == dispatch.Confirmed {
			b.execute(o)
		}
		b.e.OrderResult(b.now, o, outcome)
	}
}

func (b *simulation) execute(o dispatch.Order) {
	switch o.Kind {
	case dispatch.StartTask:
		estimate := b.workflows[o.Task.Job].Steps[o.Task.Step].Estimate
		if b.runTime > 0 {
			estimate = time.Duration(b.runTime * float64(estimate))
		}
		if b.slowdown > 0 && b.isAway(o) {
			estimate = time.Duration(b.slowdown * float64(estimate))
		}
		if b.factor != nil {
			estimate = time.Duration(b.factor() * float64(estimate))
		}
		remaining := estimate
		if saved, err := strconv.Atoi(string(o.Checkpoint)); err == nil {
			remaining = estimate*time.Duration(100-saved)/100 + b.restoreTime
		}
		b.runs[o.Worker] = append(b.runs[o.Worker], &run{order: o, total: estimate, remaining: remaining, speedLimit: 100})
		b.started = append(b.started, o.Task)
		b.placed[o.Task] = o.Worker
	case dispatch.ThrottleTask:
		for _, r := range b.runs[o.Worker] {
			if r.order.Run == o.Run {
				r.speedLimit = o.Percent
			}
		}
	case dispatch.StopTask:
		for _, r := range b.runs[o.Worker] {
			if r.order.Run == o.Run {
				r.stopsAt = b.now.Steady + b.stopTime
			}
		}
	}
}

// isAway reports whether an order starts a task away from the rack of its data.
func (b *simulation) isAway(o dispatch.Order) bool {
	rack := b.workflows[o.Task.Job].Steps[o.Task.Step].DataRack
	return rack != "" && rack != b.worker(slices.Index(b.workers, o.Worker)).Rack
}

// step advances the clock by d: runs progress, workers report and the engine decides.
func (b *simulation) step(d time.Duration) {
	b.now.Steady += d
	b.now.Wall = b.now.Wall.Add(d)
	for _, w := range b.workers {
		r := b.report(w, d)
		b.e.Report(b.now, b.now.Steady, w, &r)
	}
	b.decide()
	for id := range b.workflows {
		if s, _ := b.e.State(id); s == heatherhub.WorkflowRunning || s == heatherhub.WorkflowQueued {
			continue
		}
		if _, ok := b.doneAt[id]; !ok {
			b.doneAt[id] = b.now.Steady
		}
	}
	changes := b.e.TakeChanges(1000)
	b.e.Committed(b.now, changes, 1)
}

func (b *simulation) report(w heatherhub.WorkerID, d time.Duration) agent.Report {
	r := agent.Report{Clock: 1}
	var fillers []string
	for _, run := range b.runs[w] {
		if step := b.spec(run); step.Filler && run.speedLimit > 0 {
			fillers = append(fillers, step.Image)
		}
	}
	kept := b.runs[w][:0]
	for _, run := range b.runs[w] {
		step := b.spec(run)
		isStopped := run.stopsAt > 0 && run.stopsAt <= b.now.Steady
		if !step.LongRunning && !isStopped {
			progress := d * time.Duration(run.speedLimit) / 100
			if step.Filler && b.fillerSpeed != nil {
				progress = time.Duration(float64(progress) * b.fillerSpeed(w))
			}
			run.remaining -= progress
		}
		if run.remaining <= 0 || isStopped {
			b.ended[w]++
			kind := agent.EndDone
			if isStopped {
				kind = agent.EndStopped
			} else if b.ends != nil {
				kind = b.ends(w, run.order.Task)
			}
			r.Ended = append(r.Ended, agent.Ended{Sequence: b.ended[w], Task: run.order.Task, Run: run.order.Run, Kind: kind})
			continue
		}
		kept = append(kept, run)
		row := agent.Running{Task: run.order.Task, Run: run.order.Run, HasMeasurement: true, Measurement: float64(step.Need.CPU) * float64(run.speedLimit) / 100}
		row.Progress = heatherhub.Percent(100 - 100*run.remaining/max(run.total, 1))
		if step.LongRunning {
			row.Progress = 100
		}
		if saved := row.Progress / 10 * 10; step.Checkpoints && saved > 0 {
			row.Checkpoint = heatherhub.CheckpointRef(strconv.Itoa(int(saved)))
		}
		if step.LatencyTarget > 0 {
			row.Measurement = b.tail(step.Image, fillers)
		}
		r.Running = append(r.Running, row)
	}
	b.runs[w] = kept
	return r
}

func (b *simulation) spec(r *run) *heatherhub.Step {
	return &b.workflows[r.order.Task.Job].Steps[r.order.Task.Step]
}

// advance advances the clock by d in steps of 100 ms.
func (b *simulation) advance(d time.Duration) {
	b.advanceBy(d, 100*time.Millisecond)
}

// TestLeastWorkFirstUnderOverload submits a burst that needs three times the capacity.
// Most jobs must meet their objective; ordered by deadline alone, all would be late.
func TestLeastWorkFirstUnderOverload(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 4)
	for i := range 12 {
		second := tasks(10, 1000, time.Second)
		second.After = []int{0}
		b.add(heatherhub.JobID(fmt.Sprintf("j%02d", i)), tasks(10, 1000, time.Second), second)
	}
	b.decide()
	b.advance(20 * time.Second)
	// Twice the critical path of two seconds, plus a few report intervals.
	const objective = 4500 * time.Millisecond
	inTime := 0
	for id := range b.workflows {
		if at, ok := b.doneAt[id]; ok && at-time.Second <= objective {
			inTime++
		}
	}
	// 40 tasks a second for four seconds complete eight jobs of 20 tasks.
	if want := 8; inTime < want {
		t.Errorf("got %d jobs in time, want at least %d", inTime, want)
	}
}

// TestShortTasksGoBeforeLastingOnes fills the worker while long-running and short tasks
// wait: the short tasks get the capacity that is freed.
func TestShortTasksGoBeforeLastingOnes(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{Target: 5 * time.Second}, 1)
	b.add("first", tasks(10, 1000, time.Second))
	b.decide()
	longRunning := tasks(5, 1000, time.Second)
	longRunning.LongRunning = true
	b.add("longRunning", longRunning)
	b.add("short", tasks(6, 1000, 500*time.Millisecond))
	b.advance(1200 * time.Millisecond)
	n := 0
	for _, s := range b.started[10:16] {
		if s.Job == "short" {
			n++
		}
	}
	if want := 6; n != want {
		t.Errorf("got %d short tasks among the first 6 starts, want %d", n, want)
	}
}

// TestInterferingFillerIsKeptFromSensitiveImage runs a filler that slows down one
// serving image and not another. The filler must end up beside the other image, and
// targets may be missed only while the model learns the pair.
func TestInterferingFillerIsKeptFromSensitiveImage(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 8)
	missed, served := 0, 0
	isLearning := true
	b.tail = func(serving string, fillers []string) float64 {
		v := 8.0
		for _, f := range fillers {
			if serving == "weak" && f == "heavy" {
				v += 8
			}
		}
		if !isLearning {
			served++
			if v > 18 {
				missed++
			}
		}
		return v
	}
	for i, image := range []string{"weak", "strong", "weak", "strong"} {
		s := tasks(4, 3000, time.Second)
		s.LongRunning, s.Image, s.LatencyTarget = true, image, 18*time.Millisecond
		b.add(heatherhub.JobID(fmt.Sprintf("serving%d", i)), s)
		b.decide()
	}
	filler := tasks(4, 1500, time.Second)
	filler.Filler, filler.Image = true, "heavy"
	for i := range 40 {
		isLearning = i < 20
		b.add(heatherhub.JobID(fmt.Sprintf("fill%02d", i)), filler)
		b.decide()
		b.advance(500 * time.Millisecond)
	}
	if share := float64(missed) / float64(served); share > 0.02 {
		t.Errorf("got %.3f of the samples over target, want at most 0.02", share)
	}
	b.advance(5 * time.Second)
	for i := range 40 {
		id := heatherhub.JobID(fmt.Sprintf("fill%02d", i))
		if s, _ := b.e.State(id); s != heatherhub.WorkflowCompleted {
			t.Errorf("job %s: got state %q, want it completed beside the image that it does not slow down", id, s)
		}
	}
}

// newThrottledWorker returns a simulation of one worker with two fillers and a serving
// task, whose latency the test sets by tail.
func newThrottledWorker(t *testing.T, tail *float64) *simulation {
	return newTunedThrottledWorker(t, dispatch.Tuning{}, tail)
}

func newTunedThrottledWorker(t *testing.T, tuning dispatch.Tuning, tail *float64) *simulation {
	b := newTunedSimulation(t, tuning, dispatch.Policy{}, 1)
	b.tail = func(string, []string) float64 { return *tail }
	s := tasks(1, 2000, time.Second)
	s.LongRunning, s.Image, s.LatencyTarget = true, "weak", 18*time.Millisecond
	b.add("serving", s)
	filler := tasks(2, 1000, time.Minute)
	filler.Filler, filler.Image = true, "heavy"
	b.add("fill", filler)
	b.decide()
	return b
}

// TestMissedTargetHaltsFillers keeps a target missed: all fillers beside the task must
// be halted within 3 s.
func TestMissedTargetHaltsFillers(t *testing.T) {
	tail := 40.0
	b := newThrottledWorker(t, &tail)
	b.advance(3 * time.Second)
	for _, r := range b.runs["w00"] {
		if r.order.Task.Job == "fill" && r.speedLimit != 0 {
			t.Errorf("got speed limit %d of a filler beside a missed target, want 0", r.speedLimit)
		}
	}
}

// TestFillersResumeAfterTargetIsMet misses a target for two seconds and then meets
// it, at four fifths of its value: the fillers must be at full speed within a second.
func TestFillersResumeAfterTargetIsMet(t *testing.T) {
	tail := 40.0
	b := newThrottledWorker(t, &tail)
	b.advance(2200 * time.Millisecond)
	tail = 15
	b.advance(time.Second)
	n := 0
	for _, r := range b.runs["w00"] {
		if r.order.Task.Job != "fill" {
			continue
		}
		n++
		if r.speedLimit != 100 {
			t.Errorf("got speed limit %d of a filler a second after the miss, want 100", r.speedLimit)
		}
	}
	if n != 2 {
		t.Errorf("got %d fillers running, want 2", n)
	}
}

// TestStarvedFillerStarts submits a filler that would interfere on every worker while
// most capacity is free. It must start anyway.
func TestStarvedFillerStarts(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	b.tail = func(string, []string) float64 { return 17 }
	s := tasks(2, 2000, time.Second)
	s.LongRunning, s.Image, s.LatencyTarget, s.MaxPerWorker = true, "weak", 18*time.Millisecond, 1
	b.add("serving", s)
	b.decide()
	b.advance(5 * time.Second)
	filler := tasks(3, 3000, time.Second)
	filler.Filler, filler.Image = true, "heavy"
	b.add("fill", filler)
	b.advance(3 * time.Second)
	if s, _ := b.e.State("fill"); s == heatherhub.WorkflowQueued {
		t.Errorf("got state %q after 3 s, want a started task", s)
	}
}

// TestStarvedGangStartsAsAWhole guards against single members of a gang of fillers that start, and wait for the
// others in vain, while the workers are full of other fillers.
func TestStarvedGangStartsAsAWhole(t *testing.T) {
	for _, memory := range []heatherhub.Megabytes{10, 6000} {
		b := newSimulation(t, dispatch.Policy{}, 2)
		large := tasks(2, 8000, 20*time.Second)
		large.Filler, large.Image = true, "large"
		b.add("large", large)
		b.advance(time.Second)
		gang := tasks(4, 2000, time.Second)
		gang.Filler, gang.Image, gang.Gang, gang.Need.Memory = true, "gang", true, memory
		b.add("gang", gang)
		runs := make(map[heatherhub.RunID]int)
		b.outcome = func(o dispatch.Order) dispatch.Outcome {
			if o.Kind == dispatch.StartTask && o.Task.Job == "gang" {
				runs[o.Run]++
			}
			return dispatch.Confirmed
		}
		b.advance(10 * time.Second)
		for run, got := range runs {
			if got != gang.Tasks {
				t.Errorf("memory %d: got %d starts of run %d, want %d", memory, got, run, gang.Tasks)
			}
		}
		if fits := memory == 10; fits != (len(runs) > 0) {
			t.Errorf("memory %d: got %d runs, want some: %v", memory, len(runs), fits)
		}
	}
}

// TestStarvedGangKeepsToItsLimit guards against more members of a gang of fillers on one worker than its step allows,
// while the workers are full of other fillers.
func TestStarvedGangKeepsToItsLimit(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 4)
	large := tasks(3, 8000, 20*time.Second)
	large.Filler, large.Image = true, "large"
	b.add("large", large)
	b.advance(time.Second)
	gang := tasks(4, 4000, time.Second)
	gang.Filler, gang.Image, gang.Gang, gang.MaxPerWorker = true, "gang", true, 1
	b.add("gang", gang)
	b.advance(3 * time.Second)
	workers := make(map[heatherhub.WorkerID]int)
	for task, w := range b.placed {
		if task.Job == "gang" {
			workers[w]++
		}
	}
	if got, want := len(workers), gang.Tasks; got != want {
		t.Errorf("got a gang of %d on %d workers %v, want one member on each", want, got, workers)
	}
}

// TestStepThatNamesAnotherTwiceStarts guards against a step that waits for good since it names an earlier one
// twice.
func TestStepThatNamesAnotherTwiceStarts(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	second := tasks(2, 1000, time.Second)
	second.After = []int{0, 0}
	b.add("flow", tasks(2, 1000, time.Second), second)
	b.advance(10 * time.Second)
	if got, _ := b.e.State("flow"); got != heatherhub.WorkflowCompleted {
		t.Errorf("got state %q after 10 s, want %q", got, heatherhub.WorkflowCompleted)
	}
}

// TestLongTaskWithAShortEstimateCompletes guards against tasks that are stopped as stalled again and again, since their
// progress changes less often than their estimate suggests.
func TestLongTaskWithAShortEstimateCompletes(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 4)
	b.runTime = 400
	b.add("j", tasks(2, 1000, time.Second))
	b.advance(8 * time.Minute)
	if got, _ := b.e.State("j"); got != heatherhub.WorkflowCompleted {
		t.Errorf("got state %q after 8 minutes, want %q for tasks of 400 s", got, heatherhub.WorkflowCompleted)
	}
	if got := len(b.started); got > 6 {
		t.Errorf("got %d starts of 2 tasks, want at most 6", got)
	}
}

// TestEndsInAnyOrderCount guards against ends that are acknowledged without being counted: the worker lists the last
// one first, and runs and ends twice.
func TestEndsInAnyOrderCount(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{MaxAttempts: 2}, 1)
	b.add("j", tasks(4, 1000, time.Minute))
	b.step(0)
	runs := b.runs["w00"]
	if got, want := len(runs), 4; got != want {
		t.Fatalf("got %d runs, want %d", got, want)
	}
	end := func(i int, kind agent.EndKind) agent.Ended {
		return agent.Ended{Sequence: uint64(i + 1), Task: runs[i].order.Task, Run: runs[i].order.Run, Kind: kind}
	}
	listed := agent.Running{Task: runs[3].order.Task, Run: runs[3].order.Run}
	r := agent.Report{
		Clock: 1, Running: []agent.Running{listed, listed},
		Ended: []agent.Ended{end(2, agent.EndFailed), end(1, agent.EndDone), end(0, agent.EndDone), end(2, agent.EndFailed), end(1, agent.EndDone)},
	}
	b.e.Report(b.now, b.now.Steady, "w00", &r)
	b.e.Committed(b.now, b.e.TakeChanges(10), 1)
	v, _ := b.e.Job("j")
	if got, want := [3]int{v.Finished, v.Running, v.FailedRuns}, [3]int{2, 1, 1}; got != want {
		t.Errorf("got %v tasks that are done, running and failed, want %v", got, want)
	}
	if got, want := b.e.Acknowledged("w00"), uint64(3); got != want {
		t.Errorf("got ends acknowledged up to %d, want %d", got, want)
	}
	if got, want := b.e.OpenRuns("w00"), 1; got != want {
		t.Errorf("got %d open runs, want %d", got, want)
	}
}

// TestFailingWorkerIsQuarantined runs a worker on which every task fails. All jobs
// must complete on other workers.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{MaxAttempts: 3}, 4)
	b.ends = func(w heatherhub.WorkerID, _ heatherhub.StepTask) agent.EndKind {
		if w == "w00" {
			return agent.EndFailed
		}
		return agent.EndDone
	}
	for i := range 30 {
		b.add(heatherhub.JobID(fmt.Sprintf("j%02d", i)), tasks(4, 2000, 300*time.Millisecond))
		b.decide()
		b.advance(200 * time.Millisecond)
	}
	b.advance(3 * time.Second)
	failed := 0
	for id := range b.workflows {
		if s, _ := b.e.State(id); s != heatherhub.WorkflowCompleted {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("got %d jobs that are not completed, want 0", failed)
	}
}

// TestJobFailsAfterMaxAttempts runs a job that fails on every worker: it must fail
// after MaxAttempts starts.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{MaxAttempts: 3}, 4)
	b.ends = func(_ heatherhub.WorkerID, s heatherhub.StepTask) agent.EndKind {
		if s.Job == "alwaysFails" {
			return agent.EndFailed
		}
		return agent.EndDone
	}
	b.add("alwaysFails", tasks(1, 1000, 200*time.Millisecond))
	b.decide()
	b.advance(5 * time.Second)
	if got, _ := b.e.State("alwaysFails"); got != heatherhub.WorkflowFailed {
		t.Errorf("got state %q, want %q", got, heatherhub.WorkflowFailed)
	}
	if got, want := len(b.started), 3; got != want {
		t.Errorf("got %d starts, want %d", got, want)
	}
}

// TestJobOfRemovedQueueKeepsPolicy adds a job whose queue was removed from the
// configuration: it keeps its attempt limit, so one failure does not end it.
func TestJobOfRemovedQueueKeepsPolicy(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	failures := 0
	b.ends = func(heatherhub.WorkerID, heatherhub.StepTask) agent.EndKind {
		failures++
		if failures == 1 {
			return agent.EndFailed
		}
		return agent.EndDone
	}
	flow := &heatherhub.Workflow{
		ID: "orphan", Queue: "gone", Steps: []heatherhub.Step{tasks(1, 1000, 100*time.Millisecond)}, Accepted: b.now.Wall,
		Policy: heatherhub.QueuePolicy{Pool: pool, MaxAttempts: 3},
	}
	b.workflows["orphan"] = flow
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1})
	b.advance(2 * time.Second)
	if got, _ := b.e.State("orphan"); got != heatherhub.WorkflowCompleted {
		t.Errorf("got state %q, want %q", got, heatherhub.WorkflowCompleted)
	}
}

// TestServingImagesAreKeptApart starts serving jobs of two images: they must not share a
// worker while there are empty ones.
func TestServingImagesAreKeptApart(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 8)
	b.tail = func(string, []string) float64 { return 8 }
	for i := range 8 {
		s := tasks(2, 3000, time.Second)
		s.LongRunning, s.Image, s.LatencyTarget = true, fmt.Sprintf("image%d", i%2), 18*time.Millisecond
		b.add(heatherhub.JobID(fmt.Sprintf("s%d", i)), s)
		b.decide()
	}
	images := make(map[heatherhub.WorkerID]string)
	for task, w := range b.placed {
		image := b.workflows[task.Job].Steps[0].Image
		if old, ok := images[w]; ok && old != image {
			t.Errorf("worker %s serves %s and %s, want one image", w, old, image)
		}
		images[w] = image
	}
}

// BenchmarkDecideUnderBacklog measures Decide with full workers, mixed serving images
// and a long backlog of fillers.
func BenchmarkDecideUnderBacklog(b *testing.B) {
	w := newSimulation(&testing.T{}, dispatch.Policy{}, 48)
	w.tail = func(string, []string) float64 { return 8 }
	for i := range 40 {
		s := tasks(6, 1500, time.Second)
		s.LongRunning, s.Image, s.LatencyTarget = true, fmt.Sprintf("image%d", i%5), 18*time.Millisecond
		w.add(heatherhub.JobID(fmt.Sprintf("s%d", i)), s)
	}
	for i := range 150 {
		s := tasks(8, 3500, 3*time.Second)
		s.Filler, s.Image = true, fmt.Sprintf("filler%d", i%9)
		w.add(heatherhub.JobID(fmt.Sprintf("f%03d", i)), s)
	}
	w.decide()
	w.advance(2 * time.Second)
	b.ResetTimer()
	for range b.N {
		w.e.Decide(w.now)
	}
}

// BenchmarkDecideUnderUrgentBacklog measures Decide with 110 full workers and 1,000 waiting jobs.
func BenchmarkDecideUnderUrgentBacklog(b *testing.B) {
	w := newSimulation(&testing.T{}, dispatch.Policy{}, 110)
	for i := range 110 {
		w.add(heatherhub.JobID(fmt.Sprintf("r%03d", i)), tasks(10, 1000, time.Minute))
	}
	w.decide()
	for i := range 1000 {
		w.add(heatherhub.JobID(fmt.Sprintf("u%04d", i)), tasks(5+i*7%40, 1000, time.Duration(200+i*13%1000)*time.Millisecond))
	}
	w.decide()
	b.ResetTimer()
	for range b.N {
		w.e.Decide(w.now)
	}
}

// TestFullPoolDoesNotHoldUpAnother guards against a shape that found no worker in one pool
// and kept equal steps of another pool waiting, which had room.
func TestFullPoolDoesNotHoldUpAnother(t *testing.T) {
	b := newFullWorker(t)
	b.e.SetPolicies(map[heatherhub.QueueID]dispatch.Policy{queue: {Pool: pool, Stretch: 2}, "other": {Pool: "gpu", Stretch: 2}})
	b.e.WorkerUp(b.now, agent.Worker{ID: "other", Pool: "gpu", Capacity: heatherhub.Resources{CPU: 10_000, Memory: 10_000}}, &agent.Report{Clock: 1})
	b.add("first", tasks(1, 1000, time.Second))
	flow := &heatherhub.Workflow{ID: "second", Queue: "other", Steps: []heatherhub.Step{tasks(2, 1000, time.Second)}, Accepted: b.now.Wall}
	b.workflows["second"] = flow
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1})
	b.decide()
	if _, ok := b.placed[heatherhub.StepTask{Job: "second"}]; !ok {
		t.Error("got no start in the pool with room")
	}
}

// TestFailedTaskReturnsToTheOnlyWorkerWithRoom guards against a long-running task that waits on
// beside a free place, since it failed on the only worker that has one.
func TestFailedTaskReturnsToTheOnlyWorkerWithRoom(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	spec := tasks(8, 2500, time.Second)
	spec.LongRunning = true
	b.add("lasting", spec)
	b.decide()
	failed := heatherhub.StepTask{Job: "lasting", Index: 3}
	w := b.placed[failed]
	report := agent.Report{Clock: 1}
	for _, r := range b.runs[w] {
		if r.order.Task == failed {
			report.Ended = []agent.Ended{{Sequence: 1, Task: failed, Run: r.order.Run, Kind: agent.EndFailed}}
			continue
		}
		report.Running = append(report.Running, agent.Running{Task: r.order.Task, Run: r.order.Run})
	}
	b.e.Report(b.now, b.now.Steady, w, &report)
	starts := len(b.started)
	for range 30 {
		b.now.Steady += 100 * time.Millisecond
		b.decide()
	}
	if got, want := len(b.started)-starts, 1; got != want {
		t.Errorf("got %d starts within 3 s of the failure, want %d", got, want)
	}
}

// TestFailedTaskOfAWideJobStartsAgainAtOnce replays quick wide jobs on a service where one task
// in twenty fails: nearly every job waits for a second run of some task.
func TestFailedTaskOfAWideJobStartsAgainAtOnce(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{MaxAttempts: 3}, 4)
	failed := heatherhub.StepTask{Job: "wide", Index: 3}
	isFirst := true
	b.ends = func(_ heatherhub.WorkerID, task heatherhub.StepTask) agent.EndKind {
		if task == failed && isFirst {
			isFirst = false
			return agent.EndFailed
		}
		return agent.EndDone
	}
	b.add("wide", tasks(13, 1000, 600*time.Millisecond))
	b.decide()
	first := b.placed[failed]
	starts := len(b.started)
	b.advance(600 * time.Millisecond)
	if got, want := len(b.started)-starts, 1; got != want {
		t.Errorf("got %d starts with the report of the failure, want %d", got, want)
	}
	if got := b.placed[failed]; got == first {
		t.Errorf("got the second run on %s too, want it elsewhere", got)
	}
}

// TestLongRunningTaskStartsOnASlowWorker guards against a long-running step that is skipped
// because a batch step found no worker: batch work does not start on slow workers.
func TestLongRunningTaskStartsOnASlowWorker(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	b.add("first", tasks(8, 2500, 4*time.Second))
	b.decide()
	for _, r := range b.runs[b.workers[1]] {
		r.speedLimit = 5
	}
	b.add("batch", tasks(20, 2500, 4*time.Second))
	lasting := tasks(1, 2500, time.Second)
	lasting.LongRunning = true
	b.add("lasting", lasting)
	b.advance(3500 * time.Millisecond)
	if w, want := b.placed[heatherhub.StepTask{Job: "lasting"}], b.workers[1]; w != want {
		t.Errorf("got the task on %q, want it on the slow worker %s, which has room", w, want)
	}
}
