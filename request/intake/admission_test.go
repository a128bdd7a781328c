package intake_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/request/intake"
)

// newAdmission returns an Admission that has read the loads of north and south.
func newAdmission(clock *testClock, loads map[heatherhub.ShardID]record.Load) *intake.Admission {
	a := intake.NewAdmission(intake.AdmissionConfig{
		Shards: func() []record.ShardSize { return []record.ShardSize{{Shard: north}, {Shard: south}} }, Clock: clock, Log: zap.NewNop(),
	})
	a.Observe(loads)
	return a
}

// waitingLoad is a load of a shard with 10 processors in which new jobs of priority 0 wait.
func waitingLoad(clock *testClock, wait, meanError time.Duration) record.Load {
	return record.Load{At: clock.Now().Wall, Revision: 1, Forecast: &dispatch.Forecast{Pools: map[heatherhub.PoolID]dispatch.PoolForecast{"p": {
		Room: 10_000, Lanes: []dispatch.LaneForecast{{Waits: []dispatch.WorkWait{{Wait: wait}}, Late: wait, Error: meanError, Samples: 50}},
	}}}}
}

// newBatch returns a job whose value is over after 5.25 s.
func newBatch(id string) *heatherhub.Workflow {
	return &heatherhub.Workflow{
		ID: heatherhub.JobID(id), Queue: "q", Policy: heatherhub.QueuePolicy{Pool: "p", Stretch: 1.5, Target: 250 * time.Millisecond},
		Steps: []heatherhub.Step{{Tasks: 2, Need: heatherhub.Resources{CPU: 1000}, Estimate: time.Second}},
	}
}

// TestAdmissionRefusesOnlyWhatEndsTooLate guards against refusals that the estimate does not
// support: by old or missing loads, within the error, or of jobs of other kinds.
func TestAdmissionRefusesOnlyWhatEndsTooLate(t *testing.T) {
	clock := &testClock{now: time.Minute}
	load := func(wait, meanError time.Duration) record.Load { return waitingLoad(clock, wait, meanError) }
	withPool := func(change func(*dispatch.PoolForecast)) record.Load {
		l := load(20*time.Second, time.Second)
		p := l.Forecast.Pools["p"]
		change(&p)
		l.Forecast.Pools["p"] = p
		return l
	}
	full := load(20*time.Second, time.Second)
	old := full
	old.At = clock.Now().Wall.Add(-2100 * time.Millisecond)
	cases := map[string]struct {
		north, south record.Load
		change       func(*heatherhub.Workflow)
		isRefused    bool
	}{
		"ends too late in both":    {north: full, south: full, isRefused: true},
		"ends in time in one":      {north: full, south: load(2*time.Second, time.Second)},
		"within the error":         {north: load(8*time.Second, 4*time.Second), south: full},
		"one load is old":          {north: full, south: old},
		"one load has no forecast": {north: full, south: record.Load{At: clock.Now().Wall, Revision: 1}},
		"no measured error":        {north: full, south: withPool(func(p *dispatch.PoolForecast) { p.Lanes[0].Samples = 19 })},
		"no room in the other":     {north: full, south: withPool(func(p *dispatch.PoolForecast) { p.Room = 0 }), isRefused: true},
		"higher priority":          {north: full, south: withPool(func(p *dispatch.PoolForecast) { p.Lanes[0].Priority = 1 })},
		"late jobs go behind": {north: full, south: withPool(func(p *dispatch.PoolForecast) {
			p.Lanes[0].Waits[0].Wait = 3 * time.Second
		}), isRefused: true},
		"long-running": {north: full, south: full, change: func(w *heatherhub.Workflow) { w.Steps[0].LongRunning = true }},
		"scheduled":    {north: full, south: full, change: func(w *heatherhub.Workflow) { w.Schedule = &heatherhub.Schedule{Times: 2} }},
		"no objective": {north: full, south: full, change: func(w *heatherhub.Workflow) { w.Policy.Stretch, w.Policy.Target = 0, 0 }},
		// 200 tasks on 10 processors take 20 s; 80 waves on a quarter of them have value for 360 s.
		"wider than all room": {north: full, south: full, change: func(w *heatherhub.Workflow) { w.Steps[0].Tasks = 200 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			flow := newBatch("j")
			if c.change != nil {
				c.change(flow)
			}
			a := newAdmission(clock, map[heatherhub.ShardID]record.Load{north: c.north, south: c.south})
			if got := a.Decide(flow); (got != nil) != c.isRefused {
				t.Errorf("got refusal %+v, want refused %v", got, c.isRefused)
			}
		})
	}
	if got := newAdmission(clock, map[heatherhub.ShardID]record.Load{north: full}).Decide(newBatch("j")); got != nil {
		t.Errorf("got refusal %+v, want none with the load of one shard missing", got)
	}
}

// TestLongRunningJobsLeaveRoomForBatch guards against long-running jobs that take the room which each
// burst of batch work needs, and against refusals while it is not known or not needed.
func TestLongRunningJobsLeaveRoomForBatch(t *testing.T) {
	clock := &testClock{now: time.Minute}
	load := func(longRunning, batchPeak heatherhub.MilliCPU) record.Load {
		return record.Load{At: clock.Now().Wall, Revision: 1, Capacity: 10_000, Reserved: longRunning, LongRunning: longRunning, BatchPeak: batchPeak}
	}
	old := load(9000, 1500)
	old.At = clock.Now().Wall.Add(-2100 * time.Millisecond)
	for name, c := range map[string]struct {
		north, south record.Load
		isRefused    bool
	}{
		"room for both":             {north: load(7000, 1500), south: load(7000, 1500)},
		"no room beside batch work": {north: load(8000, 1500), south: load(8000, 1500), isRefused: true},
		"room in the other shard":   {north: load(9500, 1500), south: load(4000, 1500)},
		"no batch work":             {north: load(9500, 0), south: load(9500, 0)},
		"one load is old":           {north: load(9500, 1500), south: old},
	} {
		flow := newBatch("j")
		flow.Steps[0].LongRunning = true
		r := newAdmission(clock, map[heatherhub.ShardID]record.Load{north: c.north, south: c.south}).Decide(flow)
		if got := r != nil; got != c.isRefused {
			t.Errorf("%s: got refused %v, want %v", name, got, c.isRefused)
		}
		if r != nil && (r.RetryAfter < 4*time.Second || r.RetryAfter > 9*time.Second) {
			t.Errorf("%s: got Retry-After %s, want 4 to 9 s", name, r.RetryAfter)
		}
	}
}

// TestReturningCallersGoFirst guards against callers that all return at the same time, and
// against new callers that take the room of those that were sent away.
func TestReturningCallersGoFirst(t *testing.T) {
	clock := &testClock{now: time.Minute}
	loads := func(wait time.Duration) map[heatherhub.ShardID]record.Load {
		l := waitingLoad(clock, wait, 0)
		l.Revision = ledger.Revision(clock.now)
		return map[heatherhub.ShardID]record.Load{north: l, south: l}
	}
	a := newAdmission(clock, loads(6*time.Second))
	var retries []time.Duration
	for i := range 60 {
		flow := newBatch(fmt.Sprintf("j%d", i))
		r := a.Decide(flow)
		if r == nil {
			t.Fatalf("job %d was not refused", i)
		}
		err := a.Refused(flow, r)
		if !heatherhub.DidNotRun(err) || heatherhub.RetryAfter(err) != r.RetryAfter {
			t.Errorf("got error %v, want one that proves that the job did not run, with a Retry-After", err)
		}
		retries = append(retries, r.RetryAfter)
	}
	// Each job needs 2 of the 20 processors for a second, so the last returns 6 s later.
	if first, last := retries[0], retries[59]; last-first < 4*time.Second {
		t.Errorf("got Retry-After from %v to %v, want them spread over about 5 s", first, last)
	}
	clock.now += 2 * time.Second
	a.Observe(loads(4 * time.Second))
	if r := a.Decide(newBatch("j0")); r != nil {
		t.Errorf("got refusal %+v of the caller that was refused first", r)
	}
	if a.Decide(newBatch("new")) == nil {
		t.Error("a new caller was accepted before those that were sent away")
	}
	clock.now += time.Minute
	a.Observe(loads(4 * time.Second))
	if r := a.Decide(newBatch("new")); r != nil {
		t.Errorf("got refusal %+v for callers that have not returned", r)
	}
}

// TestRefusalIsTrue guards against a 503 for a job that was accepted before, and against
// the write of a refused job.
func TestRefusalIsTrue(t *testing.T) {
	clock := &testClock{now: time.Minute}
	full := waitingLoad(clock, time.Minute, 0)
	s := &scriptedStore{}
	api := newAdmittingAPI(s, clock, newAdmission(clock, map[heatherhub.ShardID]record.Load{north: full, south: full}))
	err := api.Submit(t.Context(), newBatch("new"), table)
	if it := s.items[record.JobKey("new")]; !heatherhub.DidNotRun(err) || heatherhub.RetryAfter(err) < time.Second || it.Revision > 0 {
		t.Errorf("got error %v, job at revision %d, want a refusal without a write of the job", err, it.Revision)
	}
	s.items[record.JobKey("old")] = ledger.Item{Key: record.JobKey("old"), Revision: 7}
	if err := api.Submit(t.Context(), newBatch("old"), table); err != nil {
		t.Errorf("got error %v, want the job reported as accepted", err)
	}
}

// TestRepeatedSubmissionCountsOnce guards against refusals of other jobs because a caller has sent an accepted one
// again.
func TestRepeatedSubmissionCountsOnce(t *testing.T) {
	clock := &testClock{now: time.Minute}
	full := waitingLoad(clock, 3*time.Second, 0)
	admission := newAdmission(clock, map[heatherhub.ShardID]record.Load{north: full, south: full})
	s := &scriptedStore{}
	api := newAdmittingAPI(s, clock, admission)
	for range 40 {
		if err := api.Submit(t.Context(), newBatch("repeated"), table); err != nil {
			t.Fatal(err)
		}
	}
	if r := admission.Decide(newBatch("other")); r != nil {
		t.Errorf("got refusal %+v, want none behind one job", r)
	}
	for i := range 40 {
		if err := api.Submit(t.Context(), newBatch(fmt.Sprintf("j%d", i)), table); err != nil && i == 0 {
			t.Fatal(err)
		}
	}
	if r := admission.Decide(newBatch("other")); r == nil {
		t.Error("got no refusal behind 40 jobs, want one")
	}
}

// TestUnknownOutcomeIsNotRefused guards against a refusal of a job whose first write got no
// answer and may still take effect.
func TestUnknownOutcomeIsNotRefused(t *testing.T) {
	clock := &testClock{now: time.Minute}
	admission := newAdmission(clock, nil)
	s := &scriptedStore{}
	api := newAdmittingAPI(s, clock, admission)
	s.commits = append(s.commits, noReply, noReply)
	if err := api.Submit(t.Context(), newBatch("j"), table); !heatherhub.IsUnknown(err) {
		t.Fatalf("got error %v, want an unknown outcome", err)
	}
	full := waitingLoad(clock, time.Minute, 0)
	admission.Observe(map[heatherhub.ShardID]record.Load{north: full, south: full})
	clock.now += time.Second
	if err := api.Submit(t.Context(), newBatch("j"), table); err != nil {
		t.Errorf("got error %v, want the retry written", err)
	}
}

// TestUrgentJobGoesWhereItStartsFirst guards against a choice by the backlog, which an urgent
// job goes before.
func TestUrgentJobGoesWhereItStartsFirst(t *testing.T) {
	clock := &testClock{now: time.Minute}
	behind, ahead := waitingLoad(clock, 9*time.Second, 0), waitingLoad(clock, time.Second, 0)
	behind.Capacity, ahead.Capacity = 10_000, 10_000
	behind.Forecast.Pools["p"].Lanes[0].Priority = 2
	behind.Backlog, ahead.Backlog = 90*time.Second, 10*time.Second
	s := newTwoShardSelector(t, map[heatherhub.ShardID]record.Load{north: behind, south: ahead})
	if got, err := s.Choose(newBatch("j")); err != nil || got != north {
		t.Errorf("got shard %s, error %v, want %s, where only work of priority 2 waits", got, err, north)
	}
	ahead.Forecast = nil
	s = newTwoShardSelector(t, map[heatherhub.ShardID]record.Load{north: behind, south: ahead})
	if got, err := s.Choose(newBatch("j")); err != nil || got != south {
		t.Errorf("got shard %s, error %v, want the former choice %s without forecasts", got, err, south)
	}
}

// BenchmarkDecide measures one admission with two shards and 4,096 refused jobs. Its bound is
// 20 us.
func BenchmarkDecide(b *testing.B) {
	clock := &testClock{now: time.Minute}
	full := waitingLoad(clock, time.Minute, 0)
	a := newAdmission(clock, map[heatherhub.ShardID]record.Load{north: full, south: full})
	for i := range 4096 {
		flow := newBatch(fmt.Sprintf("j%d", i))
		_ = a.Refused(flow, a.Decide(flow))
	}
	flow := newBatch("j17")
	b.ReportAllocs()
	for b.Loop() {
		a.Decide(flow)
	}
}
