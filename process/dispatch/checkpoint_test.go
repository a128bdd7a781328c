package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

// savingJob is the job of the tests of checkpoints.
const savingJob = heatherhub.JobID("saving")

// savingStep returns a step of n tasks that checkpoint, each of which needs a worker of its own.
func savingStep(n int, isGang bool) heatherhub.Step {
	s := tasks(n, 9000, 20*time.Second)
	s.Checkpoints, s.Gang = true, isGang
	return s
}

// savingRun has the reports of the workers on which the tasks of savingJob run, by index.
type savingRun struct {
	*simulation
	run     heatherhub.RunID
	workers []heatherhub.WorkerID
}

// startSaving decides and returns the run that is started and the checkpoints of its starts, in the order of tasks.
func startSaving(b *simulation) (savingRun, []heatherhub.CheckpointRef) {
	b.t.Helper()
	r := savingRun{simulation: b}
	orders := slices.DeleteFunc(b.e.Decide(b.now), func(o dispatch.Order) bool { return o.Kind != dispatch.StartTask })
	slices.SortFunc(orders, func(x, y dispatch.Order) int { return x.Task.Index - y.Task.Index })
	var out []heatherhub.CheckpointRef
	for _, o := range orders {
		r.run, r.workers = o.Run, append(r.workers, o.Worker)
		out = append(out, o.Checkpoint)
		b.e.OrderResult(b.now, o, dispatch.Confirmed)
	}
	return r, out
}

// list has the worker of a task list its run.
func (r *savingRun) list(index int, saved heatherhub.CheckpointRef, progress heatherhub.Percent) {
	r.now.Steady += 10 * time.Millisecond
	row := agent.Running{Task: heatherhub.StepTask{Job: savingJob, Index: index}, Run: r.run, Checkpoint: saved, Progress: progress}
	r.e.Report(r.now, r.now.Steady, r.workers[index], &agent.Report{Clock: 1, Running: []agent.Running{row}})
}

// end has the worker of a task list the end of its run.
func (r *savingRun) end(index int, kind agent.EndKind, saved heatherhub.CheckpointRef) {
	r.now.Steady += 10 * time.Millisecond
	w := r.workers[index]
	r.ended[w]++
	row := agent.Ended{Sequence: r.ended[w], Task: heatherhub.StepTask{Job: savingJob, Index: index}, Run: r.run, Kind: kind, Checkpoint: saved}
	r.e.Report(r.now, r.now.Steady, w, &agent.Report{Clock: 1, Ended: []agent.Ended{row}})
}

// memberEnd is the end of a member of a gang, after a report that lists a checkpoint at a progress.
type memberEnd struct {
	index    int
	progress heatherhub.Percent
	listed   heatherhub.CheckpointRef
	kind     agent.EndKind
	saved    heatherhub.CheckpointRef
}

// memberEnds are ends of the members of a gang of three, and the checkpoint that its next run continues from.
var memberEnds = map[string]struct {
	ends []memberEnd
	want heatherhub.CheckpointRef
}{
	"stopped one first": {[]memberEnd{
		{1, 50, "a", agent.EndStopped, "b"}, {0, 50, "a", agent.EndGangBroken, "a"}, {2, 50, "a", agent.EndGangBroken, "a"},
	}, "b"},
	"stopped one last": {[]memberEnd{
		{0, 50, "a", agent.EndGangBroken, "a"}, {2, 52, "a", agent.EndGangBroken, "a2"}, {1, 50, "a", agent.EndStopped, "b"},
	}, "b"},
	"none is stopped": {[]memberEnd{
		{0, 28, "a", agent.EndGangBroken, "a"}, {1, 35, "b", agent.EndFailed, "b"}, {2, 31, "a", agent.EndGangBroken, "a"},
	}, "b"},
	"one has saved something": {[]memberEnd{
		{0, 28, "", agent.EndGangBroken, ""}, {1, 28, "", agent.EndStopped, ""}, {2, 28, "", agent.EndGangBroken, "a"},
	}, "a"},
	"none has saved anything": {[]memberEnd{
		{0, 8, "", agent.EndGangBroken, ""}, {1, 8, "", agent.EndStopped, ""}, {2, 8, "", agent.EndGangBroken, ""},
	}, ""},
}

func checkGangStart(t *testing.T, got []heatherhub.CheckpointRef, want heatherhub.CheckpointRef) {
	t.Helper()
	if wants := []heatherhub.CheckpointRef{want, want, want}; !slices.Equal(got, wants) {
		t.Errorf("got starts of a gang from the checkpoints %q, want %q", got, wants)
	}
}

// TestGangContinuesFromOneCheckpoint guards against a gang whose members continue from different points.
func TestGangContinuesFromOneCheckpoint(t *testing.T) {
	for name, tt := range memberEnds {
		t.Run(name, func(t *testing.T) {
			b := newSimulation(t, dispatch.Policy{}, 6)
			b.add(savingJob, savingStep(3, true))
			r, got := startSaving(b)
			checkGangStart(t, got, "")
			for _, m := range tt.ends {
				r.list(m.index, m.listed, m.progress)
			}
			for _, m := range tt.ends {
				r.end(m.index, m.kind, m.saved)
			}
			r, got = startSaving(b)
			checkGangStart(t, got, tt.want)
			// The members of the next run say nothing of newer work before they have done some.
			for i := range 3 {
				r.list(i, tt.want, 0)
			}
			for i := range 3 {
				r.end(i, agent.EndExpired, tt.want)
			}
			_, got = startSaving(b)
			checkGangStart(t, got, tt.want)
		})
	}
}

// TestGangContinuesFromOneCheckpointAfterTakeover guards against a gang whose members continue from different
// points because its owner changes while they end: the next owner finds some of them listed as running, the ends of
// others, and nothing of those whose ends the former owner has taken note of.
func TestGangContinuesFromOneCheckpointAfterTakeover(t *testing.T) {
	for name, tt := range memberEnds {
		for i := range 8 {
			known, isListed := i/2, i%2 == 1
			t.Run(fmt.Sprintf("%s, %d known, listed %v", name, known, isListed), func(t *testing.T) {
				b := newSimulation(t, dispatch.Policy{}, 6)
				flow := &heatherhub.Workflow{ID: savingJob, Queue: queue, Steps: []heatherhub.Step{savingStep(3, true)}, Accepted: b.now.Wall, HasBegun: true}
				b.workflows[savingJob] = flow
				r := savingRun{simulation: b, run: 7, workers: b.workers[:3]}
				b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 1, Origin: dispatch.OriginPreviousOwner})
				// The former owner has taken note of the other ends.
				ends := tt.ends[3-known:]
				for _, m := range ends {
					if isListed {
						r.list(m.index, m.listed, m.progress)
					}
				}
				for _, m := range ends {
					r.end(m.index, m.kind, m.saved)
				}
				_, got := startSaving(b)
				if len(got) != 3 || got[1] != got[0] || got[2] != got[0] {
					t.Fatalf("got starts of a gang from the checkpoints %q, want three from the same", got)
				}
				// Ends alone do not tell which of the checkpoints is newer unless one was made at a stop.
				if known == 3 && (isListed || name != "none is stopped") && got[0] != tt.want {
					t.Errorf("got a start from the checkpoint %q, want %q: all ends are known", got[0], tt.want)
				}
			})
		}
	}
}

// TestRefusedCheckpointIsNotUsedAgain guards against a task or a gang that is refused for good because of its
// checkpoint. It lists the checkpoint still, while members of the run that was refused in part end.
func TestRefusedCheckpointIsNotUsedAgain(t *testing.T) {
	for _, isGang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %v", isGang), func(t *testing.T) {
			b := newSimulation(t, dispatch.Policy{}, 6)
			n := 1
			if isGang {
				n = 3
			}
			b.add(savingJob, savingStep(n, isGang))
			r, _ := startSaving(b)
			for i := range n {
				r.end(i, agent.EndStopped, "bad")
			}
			b.e.TakeEvents()
			orders := b.e.Decide(b.now)
			if len(orders) != n || orders[0].Checkpoint != "bad" {
				t.Fatalf("got orders %+v, want %d starts from the checkpoint", orders, n)
			}
			r = savingRun{simulation: b, run: orders[0].Run, workers: make([]heatherhub.WorkerID, n)}
			for _, o := range orders {
				r.workers[o.Task.Index] = o.Worker
				outcome := dispatch.Confirmed
				if o.Task.Index == 0 {
					outcome = dispatch.RefusedInvalid
				}
				b.e.OrderResult(b.now, o, outcome)
			}
			for i := 1; i < n; i++ {
				r.end(i, agent.EndGangIncomplete, "bad")
			}
			b.now.Steady += 2 * time.Second
			_, got := startSaving(b)
			if want := make([]heatherhub.CheckpointRef, n); !slices.Equal(got, want) {
				t.Errorf("got starts from the checkpoints %q after the refusal, want %q", got, want)
			}
			isDropped := func(v dispatch.EventRecord) bool {
				return v.Event == dispatch.EventCheckpointUnused && v.Reason == "start refused" && v.Job == savingJob
			}
			if !slices.ContainsFunc(b.e.TakeEvents(), isDropped) {
				t.Error("got no event with the cause, want one")
			}
		})
	}
}

// TestOddCheckpointsAreRecorded guards against checkpoints that are missing or of earlier runs without a log line.
func TestOddCheckpointsAreRecorded(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 6)
	b.add(savingJob, savingStep(1, false))
	first, _ := startSaving(b)
	first.list(0, "", 20)
	first.end(0, agent.EndStopped, "")
	second, _ := startSaving(b)
	second.list(0, "b", 30)
	first.workers = second.workers
	first.end(0, agent.EndStopped, "a")
	second.end(0, agent.EndExpired, "b")
	_, got := startSaving(b)
	if want := []heatherhub.CheckpointRef{"b"}; !slices.Equal(got, want) {
		t.Errorf("got a start from the checkpoints %q, want %q", got, want)
	}
	var events []dispatch.Event
	for _, v := range b.e.TakeEvents() {
		if v.Event == dispatch.EventCheckpointMissing || v.Event == dispatch.EventCheckpointUnused {
			events = append(events, v.Event)
		}
	}
	if want := []dispatch.Event{dispatch.EventCheckpointMissing, dispatch.EventCheckpointUnused}; !slices.Equal(events, want) {
		t.Errorf("got events %q, want %q", events, want)
	}
}
