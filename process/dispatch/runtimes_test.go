package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
)

// runBatch runs count jobs of ten tasks of a second one after the other.
func runBatch(b *simulation, count int) {
	for i := range count {
		b.add(heatherhub.JobID(fmt.Sprintf("b%d", i)), tasks(10, 1000, time.Second))
		b.decide()
		b.advance(2500 * time.Millisecond)
	}
}

// TestRunTimesAreLearned guards against estimates that stay off by the error of the
// declaration, and against a correction from too few samples.
func TestRunTimesAreLearned(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	b.runTime = 1.6
	runBatch(b, 1)
	if got := b.e.RunTimes(); len(got) > 0 {
		t.Errorf("got run times %v after 10 samples, want none", got)
	}
	runBatch(b, 3)
	got := b.e.RunTimes()[queue]
	if got.Samples < 20 || got.Ratio < 1.55 || got.Ratio > 1.75 || got.Spread > 0.1 {
		t.Errorf("got %+v, want a ratio of 1.6 and a poll, with a low spread", got)
	}
	next := newSimulation(t, dispatch.Policy{}, 1)
	next.e.RestoreInterference(b.e.InterferenceSnapshot())
	if got := next.e.RunTimes()[queue]; got.Samples != 20 || got.Ratio < 1.55 {
		t.Errorf("got %+v at the next owner, want the ratio with 20 samples", got)
	}
}

// TestRemoteRunsTeachNothing guards against a ratio learned from tasks away from the rack of
// their data, which would count twice where the slowdown is known.
func TestRemoteRunsTeachNothing(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 4)
	b.runTime = 3
	away := tasks(40, 1000, time.Second)
	away.DataRack = "elsewhere"
	b.add("away", away)
	b.decide()
	b.advance(4 * time.Second)
	if got := b.e.RunTimes(); b.e.Stats.Done < 40 || len(got) > 0 {
		t.Errorf("got run times %v after %d ends, want none after 40", got, b.e.Stats.Done)
	}
}

// TestColdRunsTeachNothing guards against queues that count as slower than declared, so that their jobs
// count as late, since they ran on workers that were cold.
func TestColdRunsTeachNothing(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 4)
	b.runTime = 3
	for _, w := range b.workers {
		b.e.WorkerCold(w, b.now.Steady+2*time.Second)
	}
	b.add("cold", tasks(40, 1000, time.Second))
	b.decide()
	b.advance(4 * time.Second)
	if got := b.e.RunTimes(); b.e.Stats.Done < 40 || len(got) > 0 {
		t.Errorf("got run times %v after %d ends on cold workers, want none after 40", got, b.e.Stats.Done)
	}
	b.add("warm", tasks(40, 1000, time.Second))
	b.decide()
	b.advance(4 * time.Second)
	if got := b.e.RunTimes(); len(got) != 1 {
		t.Errorf("got run times %v after %d ends, want one", got, b.e.Stats.Done)
	}
}
