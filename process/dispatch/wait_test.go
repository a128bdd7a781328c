package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
)

// TestLocationWaitPays guards against waits that cost more than they save, and against starts
// elsewhere although a place is free in time.
func TestLocationWaitPays(t *testing.T) {
	const s = time.Second
	// The task takes 1 s in its rack and 3 s elsewhere, from 10 s on.
	base := dispatch.LocationWait{Now: 10 * s, Since: 10 * s, RunTime: s, Slowdown: 3, Objective: 60 * s, ValueUntil: 90 * s}
	for name, c := range map[string]struct {
		change   func(*dispatch.LocationWait)
		want     bool
		deadline time.Duration
	}{
		"free soon":                   {func(q *dispatch.LocationWait) { q.Free = s }, true, 12 * s},
		"free when elsewhere is done": {func(q *dispatch.LocationWait) { q.Free = 2 * s }, true, 12 * s},
		"free too late":               {func(q *dispatch.LocationWait) { q.Free = 2100 * time.Millisecond }, false, 12 * s},
		"error of the estimate":       {func(q *dispatch.LocationWait) { q.Free, q.Spread = 2*s, 500*time.Millisecond }, true, 12500 * time.Millisecond},
		"error beyond the limit": {func(q *dispatch.LocationWait) {
			q.Free, q.Spread, q.Limit = s, 500*time.Millisecond, 11400*time.Millisecond
		}, false, 11400 * time.Millisecond},
		"no slowdown":                  {func(q *dispatch.LocationWait) { q.Slowdown = 1 }, false, 10 * s},
		"has waited":                   {func(q *dispatch.LocationWait) { q.Free, q.Since = s, 8500*time.Millisecond }, false, 10500 * time.Millisecond},
		"limit":                        {func(q *dispatch.LocationWait) { q.Free, q.Limit = s, 10500*time.Millisecond }, false, 10500 * time.Millisecond},
		"in time only in its rack":     {func(q *dispatch.LocationWait) { q.Free, q.Since, q.Objective = s, 8*s, 12500*time.Millisecond }, true, 11500 * time.Millisecond},
		"of value only in its rack":    {func(q *dispatch.LocationWait) { q.Free, q.Since, q.Objective, q.ValueUntil = s, 8*s, 9*s, 12*s }, true, 11 * s},
		"without value in either case": {func(q *dispatch.LocationWait) { q.Free, q.Since, q.Objective, q.ValueUntil = s, 8*s, 8*s, 9*s }, false, 10 * s},
	} {
		q := base
		c.change(&q)
		if got := q.Pays(); got != c.want {
			t.Errorf("%s: got a wait %v, want %v", name, got, c.want)
		}
		if got := q.Deadline(); got != c.deadline {
			t.Errorf("%s: got deadline %s, want %s", name, got, c.deadline)
		}
	}
}

// TestLocationWaitProperties guards against a wait that makes a job later than a start elsewhere
// by more than the error of the estimate, one that goes past its limits, and one that a higher slowdown shortens.
func TestLocationWaitProperties(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	waits := 0
	for range 100_000 {
		q := dispatch.LocationWait{
			Now: 10*time.Second + upTo(time.Second), RunTime: upTo(3 * time.Second), Rest: upTo(2 * time.Second), Slowdown: 1 + 4*r.Float64(),
			Free: upTo(4 * time.Second), Spread: upTo(time.Second), Objective: 8*time.Second + upTo(10*time.Second),
		}
		q.Since, q.ValueUntil = q.Now-upTo(3*time.Second), q.Objective+upTo(10*time.Second)
		if r.IntN(2) == 0 {
			q.Limit = q.Now + upTo(3*time.Second)
		}
		higher := q
		higher.Slowdown += r.Float64()
		if higher.Deadline() < q.Deadline() || (q.Pays() && !higher.Pays()) {
			t.Fatalf("got a shorter wait for %+v with slowdown %g", q, higher.Slowdown)
		}
		if !q.Pays() {
			continue
		}
		waits++
		free := q.Now + max(q.Free-q.Spread+upTo(2*q.Spread+1), 0)
		elsewhere := q.Now + time.Duration(q.Slowdown*float64(q.RunTime))
		if end := free + q.RunTime; end > elsewhere+q.Spread+time.Microsecond {
			t.Fatalf("%+v: got an end at %s after a wait, %s elsewhere", q, end, elsewhere)
		}
		if free > q.Deadline() || (q.Limit > 0 && q.Deadline() > q.Limit) {
			t.Fatalf("%+v: got deadline %s for a place that is free at %s, within the error", q, q.Deadline(), free)
		}
	}
	if waits < 1000 {
		t.Errorf("got %d waits, want enough to judge", waits)
	}
}

// near returns a step of n tasks of half a worker whose data is in rack r0.
func near(n int, d time.Duration) heatherhub.Step {
	s := tasks(n, 5000, d)
	s.DataRack = "r0"
	return s
}

// newRackSimulation returns a simulation of eight racks with four places for near each, where tasks
// take three times as long away from their data.
func newRackSimulation(t *testing.T, tuning dispatch.Tuning) *simulation {
	b := newTunedSimulation(t, tuning, dispatch.Policy{Target: 2 * time.Second}, 16)
	b.slowdown = 3
	return b
}

// playBurst adds jobs that all want the same rack, and returns the mean time to their end, the
// latest end, and the number of tasks that ran in the rack.
func playBurst(t *testing.T, tuning dispatch.Tuning, jobs int) (mean, latest time.Duration, inRack int) {
	b := newRackSimulation(t, tuning)
	for k := range jobs {
		b.add(heatherhub.JobID(fmt.Sprintf("j%02d", k)), near(1, time.Second))
	}
	b.decide()
	b.advance(8 * time.Second)
	for id := range b.workflows {
		end, ok := b.doneAt[id]
		if !ok {
			t.Fatalf("job %s is not done after 8 s", id)
		}
		mean += (end - time.Second) / time.Duration(jobs)
		latest = max(latest, end-time.Second)
		if b.worker(0).Rack == b.rackOf(heatherhub.StepTask{Job: id}) {
			inRack++
		}
	}
	return mean, latest, inRack
}

// noWaits lets no wait pay, whatever slowdown is measured.
var noWaits = dispatch.Tuning{RemoteFactor: 0.1}

// rackOf returns the rack in which a task was started last.
func (b *simulation) rackOf(id heatherhub.StepTask) heatherhub.Rack {
	for i, w := range b.workers {
		if w == b.placed[id] {
			return b.worker(i).Rack
		}
	}
	return ""
}

// TestBurstOnOneRackWaitsAsFarAsItPays replays a burst of twelve jobs for the four places of one
// rack. Without a wait eight of them take 3 s elsewhere. It guards against waits that make any job
// later than that, and against places elsewhere that are used although the rack is free sooner.
func TestBurstOnOneRackWaitsAsFarAsItPays(t *testing.T) {
	atOnce, latestAtOnce, _ := playBurst(t, noWaits, 12)
	mean, latest, inRack := playBurst(t, dispatch.Tuning{}, 12)
	t.Logf("mean %s, latest %s, %d in the rack; without a wait %s, %s", mean, latest, inRack, atOnce, latestAtOnce)
	// A decision takes up to 0.1 s and a report as long.
	if want := 200 * time.Millisecond; latest > latestAtOnce+want {
		t.Errorf("got the last end after %s, want it at most %s after %s", latest, want, latestAtOnce)
	}
	if want := atOnce * 9 / 10; mean > want {
		t.Errorf("got a mean of %s, want at most %s", mean, want)
	}
	if want := 8; inRack < want {
		t.Errorf("got %d jobs in the rack, want at least %d", inRack, want)
	}
}

// TestPlacesGoToJobsThatLoseTheMost guards against a place in a rack that goes to a job that would
// be in time elsewhere, while another one loses its value there.
func TestPlacesGoToJobsThatLoseTheMost(t *testing.T) {
	b := newRackSimulation(t, dispatch.Tuning{})
	b.e.SetPolicies(map[heatherhub.QueueID]dispatch.Policy{queue: {Pool: pool, Stretch: 1, Target: 30 * time.Second}, "tight": {Pool: pool, Stretch: 1, Target: 500 * time.Millisecond}})
	for k := range 4 {
		b.add(heatherhub.JobID(fmt.Sprintf("a-slack%d", k)), near(1, time.Second))
	}
	for k := range 4 {
		id := heatherhub.JobID(fmt.Sprintf("tight%d", k))
		b.workflows[id] = &heatherhub.Workflow{ID: id, Queue: "tight", Steps: []heatherhub.Step{near(1, time.Second)}, Accepted: b.now.Wall}
		b.e.AddJob(b.now, dispatch.JobRecord{Workflow: b.workflows[id], RecordRevision: 1})
	}
	b.decide()
	for k := range 4 {
		id := heatherhub.StepTask{Job: heatherhub.JobID(fmt.Sprintf("tight%d", k))}
		if got := b.rackOf(id); got != "r0" {
			t.Errorf("job %s: got rack %q, want r0", id.Job, got)
		}
	}
}

// fillRack starts a job in all places of rack r0. Its tasks run for actual, although they are
// declared to take declared.
func (b *simulation) fillRack(declared, actual time.Duration) {
	b.add("fill", near(4, declared))
	b.decide()
	for _, w := range b.workers {
		for _, r := range b.runs[w] {
			r.remaining, r.total = actual, actual
		}
	}
}

// TestLocationWaitEndsAtItsDeadline guards against jobs with nothing running that wait for 3 s
// while other workers are free, and against a wait that begins anew with each owner.
func TestLocationWaitEndsAtItsDeadline(t *testing.T) {
	for _, c := range []struct {
		name string
		// owners is the number of owners in turn, each for a second.
		owners int
		d      time.Duration
		want   time.Duration
	}{
		{"limit", 1, 2 * time.Second, 2400 * time.Millisecond},
		{"loss", 1, time.Second, 2 * time.Second},
		{"limit, takeovers", 3, 2 * time.Second, 2400 * time.Millisecond},
		{"loss, takeovers", 2, time.Second, 2 * time.Second},
	} {
		b := newRackSimulation(t, dispatch.Tuning{StallAfter: time.Hour})
		b.fillRack(500*time.Millisecond, time.Hour)
		b.add("waits", near(1, c.d))
		accepted := b.now
		b.decide()
		for range c.owners - 1 {
			b.advance(time.Second)
			b = b.takeOver(t, "waits")
		}
		for len(b.runs[b.placed[heatherhub.StepTask{Job: "waits"}]]) == 0 && b.now.Steady < accepted.Steady+5*time.Second {
			b.step(100 * time.Millisecond)
		}
		// A wait also ends once no place is expected before its deadline any more.
		if got := b.now.Steady - accepted.Steady; got < time.Second || got > c.want+200*time.Millisecond {
			t.Errorf("%s: got a start elsewhere after %s, want it after 1 s and by %s", c.name, got, c.want)
		}
	}
}

// takeOver returns a simulation with the same workers, runs and jobs under a new owner.
func (b *simulation) takeOver(t *testing.T, waiting heatherhub.JobID) *simulation {
	next := newRackSimulation(t, dispatch.Tuning{StallAfter: time.Hour})
	next.now, next.runs, next.placed, next.workflows = b.now, b.runs, b.placed, b.workflows
	for _, id := range []heatherhub.JobID{"fill", waiting} {
		next.e.AddJob(next.now, dispatch.JobRecord{Workflow: b.workflows[id], RecordRevision: 1, Origin: dispatch.OriginPreviousOwner})
	}
	for i, w := range next.workers {
		r := next.report(w, 0)
		next.e.WorkerUp(next.now, next.worker(i), &r)
	}
	next.decide()
	return next
}

// TestGroupWaitsAsAWhole guards against a group that is spread over racks although one rack has
// places for all of it soon, and against a gang that starts in part.
func TestGroupWaitsAsAWhole(t *testing.T) {
	for _, isGang := range []bool{false, true} {
		b := newRackSimulation(t, dispatch.Tuning{})
		// Each rack has three of its four places taken, rack r3 for the shortest time.
		for k := range 8 {
			d := 10 * time.Second
			if k == 3 {
				d = 500 * time.Millisecond
			}
			s := tasks(3, 5000, d)
			s.DataRack = heatherhub.Rack(fmt.Sprintf("r%d", k))
			b.add(heatherhub.JobID(fmt.Sprintf("fill%d", k)), s)
		}
		b.decide()
		group := tasks(4, 5000, 2*time.Second)
		group.SameRack, group.Gang = true, isGang
		b.add("group", group)
		b.decide()
		b.advance(1200 * time.Millisecond)
		for k := range 4 {
			id := heatherhub.StepTask{Job: "group", Index: k}
			if got := b.rackOf(id); got != "r3" {
				t.Errorf("gang %v, task %d: got rack %q, want r3", isGang, k, got)
			}
		}
	}
}

// TestWaitsAreReported guards against waits that operators cannot see, and against a job that
// another shard is offered while it waits by choice.
func TestWaitsAreReported(t *testing.T) {
	b := newRackSimulation(t, dispatch.Tuning{MoveAfter: 100 * time.Millisecond})
	b.fillRack(time.Second, time.Second)
	b.add("waits", near(1, 2*time.Second))
	b.decide()
	b.advance(300 * time.Millisecond)
	if got := b.e.MovableWork(b.now); len(got) > 0 {
		t.Errorf("got work to move %+v, want none", got)
	}
	b.advance(2 * time.Second)
	got := map[dispatch.Event]dispatch.EventRecord{}
	for _, e := range b.e.TakeEvents() {
		if e.Job == "waits" {
			got[e.Event] = e
		}
	}
	if e, ok := got[dispatch.EventWaitBegun]; !ok || e.Rack != "r0" || e.WaitExpected < 900*time.Millisecond || e.WaitPays < 2*time.Second {
		t.Errorf("got begin %+v, want one for rack r0 with its estimate", e)
	}
	if e, ok := got[dispatch.EventWaitPaid]; !ok || e.Reason != "place free" || e.Waited > 1300*time.Millisecond || e.WaitGained < 2500*time.Millisecond {
		t.Errorf("got end %+v, want one that says that a place was free and what it gained", e)
	}
	if s := b.e.Stats; s.WaitsBegun != 1 || s.WaitsPaid != 1 || s.WaitsLost != 0 {
		t.Errorf("got %+v, want one wait that paid", s)
	}
}

// TestWaitEndsWithItsJob guards against waits that are counted as begun and never as ended.
func TestWaitEndsWithItsJob(t *testing.T) {
	b := newRackSimulation(t, dispatch.Tuning{})
	b.fillRack(time.Second, time.Second)
	b.add("cancelled", near(1, 2*time.Second))
	b.add("moved", near(1, 2*time.Second))
	b.decide()
	b.e.Cancel(b.now, "cancelled")
	flow := *b.workflows["moved"]
	flow.Shard = otherShard
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: &flow, RecordRevision: 2})
	if s := b.e.Stats; s.WaitsBegun != 2 || s.WaitsLost != 2 {
		t.Errorf("got %d waits begun and %d lost, want 2 of both", s.WaitsBegun, s.WaitsLost)
	}
}

// TestMeasuredSlowdownReplacesTheSetting guards against waits of queues whose tasks lose nothing
// elsewhere.
func TestMeasuredSlowdownReplacesTheSetting(t *testing.T) {
	b := newRackSimulation(t, dispatch.Tuning{})
	b.slowdown = 1
	for k := range 5 {
		b.add(heatherhub.JobID(fmt.Sprintf("j%02d", k)), near(16, time.Second))
		b.decide()
		b.advance(3 * time.Second)
	}
	before := b.e.Stats.WaitsBegun
	b.fillRack(time.Second, time.Second)
	b.add("last", near(1, time.Second))
	b.decide()
	if got := b.e.Stats.WaitsBegun - before; got != 0 {
		t.Errorf("got %d waits after runs that were as fast elsewhere, want none", got)
	}
}

// TestWaitsUnderLoadKeepTheLimits replays random bursts on a few racks, with groups, declared run
// times that are off by a factor of up to 1.9. It guards against a job with
// nothing running that waits for 3 s while a worker has room for it, and against a shard that is
// less used than without waits.
func TestWaitsUnderLoadKeepTheLimits(t *testing.T) {
	var meanWith, meanWithout time.Duration
	for seed := range uint64(20) {
		meanWith += playRandomLoad(t, dispatch.Tuning{}, seed)
		meanWithout += playRandomLoad(t, noWaits, seed)
	}
	t.Logf("mean time of a job %s, without waits %s", meanWith/20, meanWithout/20)
	if meanWith > meanWithout {
		t.Errorf("got a mean time of a job of %s, want at most the %s without waits", meanWith/20, meanWithout/20)
	}
}

// playRandomLoad plays 30 s of random jobs and returns the mean time to their end.
func playRandomLoad(t *testing.T, tuning dispatch.Tuning, seed uint64) time.Duration {
	r := rand.New(rand.NewPCG(seed, 7))
	b := newRackSimulation(t, tuning)
	b.factor = func() float64 { return 1/1.9 + r.Float64()*(1.9-1/1.9) }
	freeSince := make(map[heatherhub.JobID]time.Duration)
	accepted := make(map[heatherhub.JobID]time.Duration)
	next := 0
	for k := range 400 {
		if k < 300 && r.IntN(100) < 25 {
			id := heatherhub.JobID(fmt.Sprintf("j%03d", next))
			next++
			s := tasks(1+r.IntN(4), 5000, time.Duration(200+r.IntN(1500))*time.Millisecond)
			s.DataRack = heatherhub.Rack(fmt.Sprintf("r%d", r.IntN(3)))
			if r.IntN(5) == 0 {
				s.SameRack, s.Gang = true, r.IntN(2) == 0
			}
			b.add(id, s)
			accepted[id] = b.now.Steady
		}
		b.step(100 * time.Millisecond)
		b.checkNoLongWait(freeSince, seed)
	}
	total := time.Duration(0)
	for id, at := range accepted {
		end, ok := b.doneAt[id]
		if !ok {
			t.Fatalf("seed %d: job %s is not done", seed, id)
		}
		total += end - at
	}
	return total / time.Duration(len(accepted))
}

// checkNoLongWait checks that no job with nothing running has waited for 3 s while there was room
// for all of its tasks.
func (b *simulation) checkNoLongWait(freeSince map[heatherhub.JobID]time.Duration, seed uint64) {
	places, isRunning := 0, make(map[heatherhub.JobID]bool)
	for _, w := range b.workers {
		places += 2 - len(b.runs[w])
		for _, r := range b.runs[w] {
			isRunning[r.order.Task.Job] = true
		}
	}
	for id, flow := range b.workflows {
		if s, _ := b.e.State(id); s.IsFinal() || isRunning[id] || places < flow.Steps[0].Tasks {
			delete(freeSince, id)
			continue
		}
		if _, ok := freeSince[id]; !ok {
			freeSince[id] = b.now.Steady
		}
		if got := b.now.Steady - freeSince[id]; got >= 3*time.Second {
			b.t.Errorf("seed %d: job %s waits for %s with room for it", seed, id, got)
		}
	}
}

// TestOthersUseWhatWaitingTasksPassUp guards against workers that stay idle for a task that waits.
func TestOthersUseWhatWaitingTasksPassUp(t *testing.T) {
	b := newRackSimulation(t, dispatch.Tuning{})
	b.fillRack(time.Second, time.Second)
	b.add("waits", near(1, 2*time.Second))
	b.decide()
	b.add("plain", tasks(28, 5000, time.Second))
	b.decide()
	if got, want := len(b.started), 4+28; got != want {
		t.Errorf("got %d starts, want %d: all places but those of the full rack were free", got, want)
	}
}

// BenchmarkDecideWithFullRacks measures Decide with 110 workers and 1,000 waiting jobs that prefer
// racks which are full, while another rack has one place.
func BenchmarkDecideWithFullRacks(b *testing.B) {
	w := newSimulation(&testing.T{}, dispatch.Policy{}, 110)
	w.add("fill", tasks(220, 5000, time.Second))
	w.decide()
	w.addWorkerWithRoom(5000)
	for k := range 1000 {
		s := tasks(10, 5000, time.Second)
		s.DataRack = heatherhub.Rack(fmt.Sprintf("r%d", k%50))
		w.add(heatherhub.JobID(fmt.Sprintf("j%04d", k)), s)
	}
	w.outcome = func(dispatch.Order) dispatch.Outcome { return dispatch.Refused }
	b.ReportAllocs()
	for b.Loop() {
		w.decide()
	}
}

// TestStrandedWorkDoesNotWaitForItsRack guards against work that stays in a shard without usable
// workers since it has waited for a rack there.
func TestStrandedWorkDoesNotWaitForItsRack(t *testing.T) {
	b := newRackSimulation(t, dispatch.Tuning{})
	for i := range b.workers {
		b.setDomain(evacuatedDomain, i)
	}
	b.e.MarkWorkersAsked()
	b.fillRack(time.Second, time.Second)
	b.add("waits", near(1, 2*time.Second))
	b.decide()
	if got := b.e.Stats.WaitsBegun; got != 1 {
		t.Fatalf("got %d waits begun, want 1", got)
	}
	b.evacuate(evacuatedDomain)
	b.step(100 * time.Millisecond)
	if got := b.e.UrgentWork(b.now); len(got) != 1 || got[0].Job != "waits" {
		t.Errorf("got moves %+v without a usable worker, want one", got)
	}
}

// TestWaitOfIdleJobIsBounded guards against a job that is not offered to other shards until the deadline
// of a wait that was decided while it had runs, although it has none any more and its shard is full.
func TestWaitOfIdleJobIsBounded(t *testing.T) {
	b := newRackSimulation(t, dispatch.Tuning{StallAfter: time.Hour})
	b.fillRack(3*time.Second, time.Hour)
	// It starts before the other step, and takes no room from the others.
	filler := tasks(1, 1000, 5*time.Second)
	filler.Filler, filler.Image = true, "filler"
	b.add("waits", filler, near(1, 4*time.Second))
	b.decide()
	for _, r := range b.runs[b.placed[heatherhub.StepTask{Job: "waits"}]] {
		r.remaining = time.Second
	}
	if got := b.e.Stats.WaitsBegun; got != 1 {
		t.Fatalf("got %d waits begun, want 1", got)
	}
	b.add("others", tasks(28, 5000, time.Hour))
	for range 27 {
		b.step(100 * time.Millisecond)
	}
	movable := b.e.MovableWork(b.now)
	if !slices.ContainsFunc(movable, func(m dispatch.Move) bool { return m.Job == "waits" }) {
		t.Errorf("got moves %+v after 2.7 s, want one of the job that has no room", movable)
	}
}
