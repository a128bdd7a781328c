package dispatch_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
)

// served is the share of the jobs that ended in time: of all, of the largest tenth and of the
// fifth below it.
type served struct {
	all, largest, large float64
}

// replayUrgent runs small and wide urgent jobs beside batch jobs and fillers on 24 workers of 10
// cores for a minute. demand is what the urgent jobs need, as a share of the processors.
func replayUrgent(t *testing.T, demand float64, seed uint64) served {
	const workers, cores, tick = 24, 10, 50 * time.Millisecond
	b := newSimulation(t, dispatch.Policy{}, workers)
	urgent := dispatch.Policy{Pool: pool, Stretch: 1.5, Target: 250 * time.Millisecond}
	b.e.SetPolicies(map[heatherhub.QueueID]dispatch.Policy{
		"urgent": urgent, "batch": {Pool: pool, Priority: 2, Stretch: 2, Target: time.Second},
	})
	rnd := rand.New(rand.NewPCG(seed, 1))
	type urgentJob struct {
		id             heatherhub.JobID
		size           float64
		accepted, span time.Duration
	}
	var jobs []urgentJob
	submit := func(q heatherhub.QueueID, steps ...heatherhub.Step) heatherhub.JobID {
		id := heatherhub.JobID(fmt.Sprintf("%s%04d", q, len(b.workflows)))
		b.submit(id, q, steps...)
		return id
	}
	// A job needs 20 processor seconds on average.
	rate := demand * workers * cores / 20
	for next := 0.0; b.now.Steady < time.Minute; b.step(tick) {
		for ; next < b.now.Steady.Seconds(); next += rnd.ExpFloat64() / rate {
			width := 4 + rnd.IntN(3)
			switch class := rnd.Float64(); {
			case class < 0.1:
				width = 30 + rnd.IntN(20)
			case class < 0.3:
				width = 12 + rnd.IntN(8)
			}
			d := time.Duration(400+rnd.IntN(400)) * time.Millisecond
			steps := []heatherhub.Step{tasks(width, 2000, d)}
			if rnd.Float64() < 0.6 {
				second := tasks(width, 2000, d)
				second.After = []int{0}
				steps = append(steps, second)
			}
			chain := d * time.Duration(len(steps))
			jobs = append(jobs, urgentJob{
				id: submit("urgent", steps...), size: float64(width) * chain.Seconds(), accepted: b.now.Steady,
				span: time.Duration(float64(chain)*urgent.Stretch) + urgent.Target,
			})
		}
		if b.now.Steady%(500*time.Millisecond) < tick {
			submit("batch", tasks(4, 2000, time.Second))
			filler := tasks(4, 1500, time.Second)
			filler.Filler, filler.Image = true, "filler"
			submit("batch", filler)
		}
	}
	b.advance(5 * time.Second)
	slices.SortFunc(jobs, func(a, b urgentJob) int { return cmp.Compare(b.size, a.size) })
	share := func(jobs []urgentJob) float64 {
		sum := 0.0
		for _, j := range jobs {
			if at, ok := b.doneAt[j.id]; ok && at-j.accepted <= j.span {
				sum++
			}
		}
		return sum / float64(len(jobs))
	}
	return served{all: share(jobs), largest: share(jobs[:len(jobs)/10]), large: share(jobs[len(jobs)/10 : 3*len(jobs)/10])}
}

// overloads are the replayed demands, each over three seeds. earlier is the share of all jobs that
// the order of least remaining work alone (commit 149ee33) ended in time.
var overloads = []struct{ demand, earlier float64 }{{0.7, 0.967}, {1, 0.891}, {1.3, 0.847}, {1.6, 0.810}, {2.5, 0.697}}

// replayOverloads replays each demand and passes the mean over the seeds to check.
func replayOverloads(t *testing.T, check func(t *testing.T, earlier float64, got served)) {
	for _, o := range overloads {
		t.Run(fmt.Sprintf("demand %.1f", o.demand), func(t *testing.T) {
			const seeds = 3
			var got served
			for seed := range uint64(seeds) {
				s := replayUrgent(t, o.demand, seed)
				got.all += s.all / seeds
				got.largest += s.largest / seeds
				got.large += s.large / seeds
			}
			t.Logf("%+v", got)
			check(t, o.earlier, got)
		})
	}
}

// TestWideJobsAreServedUnderOverload guards against an order that serves small jobs alone: of the
// largest tenth of a queue, and of the fifth below it, at least half of what is served of the
// whole queue must end in time.
func TestWideJobsAreServedUnderOverload(t *testing.T) {
	replayOverloads(t, func(t *testing.T, _ float64, got served) {
		if least := min(got.largest, got.large); least < got.all/2 {
			t.Errorf("got %+v, want both classes at half of all", got)
		}
	})
}

// TestSharesKeepWhatIsServed guards against shares that cost more than they give: of all jobs, at
// least 0.95 of what the earlier order served must end in time.
func TestSharesKeepWhatIsServed(t *testing.T) {
	replayOverloads(t, func(t *testing.T, earlier float64, got served) {
		if want := 0.95 * earlier; got.all < want {
			t.Errorf("got %.3f of all jobs in time, want at least %.3f", got.all, want)
		}
	})
}
