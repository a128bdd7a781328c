package dispatch_test

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
)

// TestExpectedRoomFollowsProgress guards against an expected end that follows the declared
// run time although the reported progress shows another one.
func TestExpectedRoomFollowsProgress(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	b.runTime = 2
	b.add("full", tasks(10, 1000, time.Second))
	b.decide()
	b.advance(500 * time.Millisecond)
	need := heatherhub.Resources{CPU: 1000, Memory: 10}
	at, ok := b.e.ExpectedRoom(b.now, need, pool, false)
	if left := at - b.now.Steady; !ok || left < 1200*time.Millisecond || left > 1800*time.Millisecond {
		t.Errorf("got room in %v, %v, want in about 1.5 s", left, ok)
	}
	if _, ok := b.e.ExpectedRoom(b.now, heatherhub.Resources{CPU: 11_000}, pool, false); ok {
		t.Error("got room for a task that no worker can hold")
	}
	lasting := tasks(10, 1000, time.Second)
	lasting.LongRunning = true
	full := newSimulation(t, dispatch.Policy{}, 1)
	full.add("lasting", lasting)
	full.decide()
	if _, ok := full.e.ExpectedRoom(full.now, need, pool, false); ok {
		t.Error("got room that only long-running tasks would give back")
	}
}

// TestForecastMeetsFirstStart submits bursts of jobs to a full shard. It guards against
// forecasts that are off by more than a third of the wait, and that promise a wait on an
// idle shard.
func TestForecastMeetsFirstStart(t *testing.T) {
	for _, count := range []int{6, 12, 24} {
		b := newSimulation(t, dispatch.Policy{Target: time.Minute}, 4)
		if p := b.e.Forecast(b.now).Pools[pool]; p.Room != 40_000 || p.Lane(0, false).WaitOf(0, 1e9) != 0 {
			t.Errorf("got %+v for an idle shard, want all room and no wait", p)
		}
		for i := range count {
			b.add(heatherhub.JobID(fmt.Sprintf("j%02d", i)), tasks(20, 1000, time.Second))
		}
		b.decide()
		b.advance(200 * time.Millisecond)
		p := b.e.Forecast(b.now).Pools[pool]
		probe := tasks(20, 1000, 1100*time.Millisecond)
		want := p.Lane(0, false).WaitOf(0, 22_000)
		submitted := b.now.Steady
		b.add("probe", probe)
		var got time.Duration
		for got == 0 && b.now.Steady < submitted+time.Minute {
			b.step(100 * time.Millisecond)
			for _, s := range b.started {
				if s.Job == "probe" && got == 0 {
					got = b.now.Steady - submitted
				}
			}
		}
		if (got - want).Abs() > got/3+200*time.Millisecond {
			t.Errorf("%d jobs: first start after %v, expected after %v", count, got, want)
		}
	}
}

// TestForecastKeepsPrioritiesApart guards against urgent jobs that seem to wait for work that
// they go before, and against other jobs that seem not to wait for urgent ones.
func TestForecastKeepsPrioritiesApart(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	for i := range 60 {
		b.e.AddJob(b.now, dispatch.JobRecord{RecordRevision: 1, Workflow: &heatherhub.Workflow{
			ID: heatherhub.JobID(fmt.Sprintf("j%02d", i)), Queue: "other", Accepted: b.now.Wall, Steps: []heatherhub.Step{tasks(10, 1000, time.Second)},
			Policy: dispatch.Policy{Pool: pool, Stretch: 60, Priority: 2 * (i / 30)},
		}})
	}
	for _, o := range b.e.Decide(b.now) {
		b.e.OrderResult(b.now, o, dispatch.Confirmed)
	}
	p := b.e.Forecast(b.now).Pools[pool]
	// 28 urgent jobs of half a second on 20 processors wait, and 30 others behind them.
	for priority, want := range map[int]time.Duration{0: 14 * time.Second, 1: 14 * time.Second, 2: 29 * time.Second} {
		if got := p.Lane(priority, false).WaitOf(priority, 10_000); (got - want).Abs() > time.Second {
			t.Errorf("priority %d: got a wait of %v, want about %v", priority, got, want)
		}
	}
}

// TestForecastErrorIsMeasured guards against a forecast without a measure of its error, which
// could not be used in favour of a job.
func TestForecastErrorIsMeasured(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{Target: time.Minute}, 2)
	for range 3 {
		b.e.JobWatchReplied(b.now)
	}
	for i := range 60 {
		if i%10 == 0 {
			b.e.Forecast(b.now)
		}
		b.add(heatherhub.JobID(fmt.Sprintf("j%02d", i)), tasks(10, 1000, time.Second))
		b.step(100 * time.Millisecond)
	}
	b.advance(20 * time.Second)
	b.add("last", tasks(10, 1000, time.Second))
	l := b.e.Forecast(b.now).Pools[pool].Lanes[0]
	// Jobs arrive at five times the rate at which they are done, so the forecast of a second
	// ago lacks up to 4 s of waiting work.
	if l.Samples < 50 || l.Error == 0 || l.Error > 5*time.Second {
		t.Errorf("got error %v of %d samples, want one below 5 s of at least 50", l.Error, l.Samples)
	}
}

// TestForecastIsReadFromItsRecord guards against forecasts that a host cannot decode or check,
// or that take more of a load than the 3 KB/s that control may use.
func TestForecastIsReadFromItsRecord(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{Target: time.Minute}, 4)
	b.runTime = 1.5
	for i := range 40 {
		b.add(heatherhub.JobID(fmt.Sprintf("j%02d", i)), tasks(10+i, 1000, time.Second))
	}
	b.decide()
	b.advance(10 * time.Second)
	want := b.e.Forecast(b.now)
	data, err := record.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	var got dispatch.Forecast
	if err := heatherhub.Unmarshal(data, &got); err != nil || got.Check() != nil || !reflect.DeepEqual(&got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
	if len(data) > 300 {
		t.Errorf("got %d bytes for one pool and priority, want at most 300", len(data))
	}
	got.Pools[pool].Lanes[0].Waits[0].Work = math.NaN()
	if got.Check() == nil {
		t.Error("a wait without a number was accepted")
	}
}

// crowded returns an engine with 110 workers and 1,000 waiting jobs, and the time.
func crowded(b *testing.B) (*dispatch.Engine, dispatch.Moment) {
	e := dispatch.New(dispatch.Config{Token: 1})
	now := dispatch.Moment{Steady: time.Second, Wall: time.Unix(1000, 0)}
	e.SetPolicies(map[heatherhub.QueueID]dispatch.Policy{queue: {Pool: pool, Stretch: 2, Target: time.Second}})
	for i := range 110 {
		w := agent.Worker{ID: heatherhub.WorkerID(fmt.Sprintf("w%03d", i)), Pool: pool, Capacity: heatherhub.Resources{CPU: 96_000, Memory: 100_000}}
		e.WorkerUp(now, w, &agent.Report{Clock: 1})
	}
	for i := range 1100 {
		e.AddJob(now, dispatch.JobRecord{RecordRevision: 1, Workflow: &heatherhub.Workflow{
			ID: heatherhub.JobID(fmt.Sprintf("j%04d", i)), Queue: queue, Accepted: now.Wall, Steps: []heatherhub.Step{tasks(14, 7500, time.Second)},
		}})
	}
	for _, o := range e.Decide(now) {
		e.OrderResult(now, o, dispatch.Confirmed)
	}
	b.ReportAllocs()
	b.ResetTimer()
	return e, now
}

// BenchmarkExpectedRoom measures one estimate. Its bound is 20 us.
func BenchmarkExpectedRoom(b *testing.B) {
	e, now := crowded(b)
	for b.Loop() {
		e.ExpectedRoom(now, heatherhub.Resources{CPU: 7500, Memory: 10}, pool, false)
	}
}

// BenchmarkForecast measures the summary that is made for each published load.
func BenchmarkForecast(b *testing.B) {
	e, now := crowded(b)
	for b.Loop() {
		e.Forecast(now)
	}
}

// TestUndoneStartIsNoStart guards against a measured error of forecasts that counts a gang as started
// which was taken back, as there was no room for all of it.
func TestUndoneStartIsNoStart(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{Target: time.Minute}, 2)
	for range 3 {
		b.e.JobWatchReplied(b.now)
	}
	b.e.Forecast(b.now)
	gang := tasks(3, 6000, time.Second)
	gang.Gang = true
	b.add("gang", gang)
	b.decide()
	for _, l := range b.e.Forecast(b.now).Pools[pool].Lanes {
		if l.Samples > 0 || len(b.started) > 0 {
			t.Errorf("got %d measured starts and %d started tasks, want none", l.Samples, len(b.started))
		}
	}
}
