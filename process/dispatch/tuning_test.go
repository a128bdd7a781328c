package dispatch_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
)

// TestStopTimeMovesTheLastStopOfADrain guards against stops on a draining worker that come too
// early or too late for the stop time of the deployment.
func TestStopTimeMovesTheLastStopOfADrain(t *testing.T) {
	for _, c := range []struct{ stopTime, want time.Duration }{
		{0, 1800 * time.Millisecond},
		{900 * time.Millisecond, 1800 * time.Millisecond},
		{200 * time.Millisecond, 2500 * time.Millisecond},
	} {
		b := newTunedSimulation(t, dispatch.Tuning{StopTime: c.stopTime}, dispatch.Policy{}, 1)
		long := tasks(1, 8000, time.Hour)
		long.LongRunning = true
		b.add("long", long)
		b.advance(100 * time.Millisecond)
		b.drain(0, 3*time.Second)
		start, got := b.now.Steady, time.Duration(-1)
		b.outcome = func(o dispatch.Order) dispatch.Outcome {
			if o.Kind == dispatch.StopTask && got < 0 {
				got = b.now.Steady - start
			}
			return dispatch.Confirmed
		}
		b.advance(3 * time.Second)
		if diff := got - c.want; diff < 0 || diff > 100*time.Millisecond {
			t.Errorf("stop time %s: got a stop %s after the notice, want %s", c.stopTime, got, c.want)
		}
	}
}

// TestHarmTimeMovesTheHalt guards against fillers that go on beside a target that is missed for
// longer than the deployment allows. None of them is known to interfere, so all are halted at
// 19/40 of the harm time.
func TestHarmTimeMovesTheHalt(t *testing.T) {
	for _, c := range []struct{ harmTime, want time.Duration }{
		{0, 1200 * time.Millisecond}, {4 * time.Second, 1200 * time.Millisecond}, {2 * time.Second, 600 * time.Millisecond},
	} {
		tail := 40.0
		b := newTunedThrottledWorker(t, dispatch.Tuning{HarmTime: c.harmTime}, &tail)
		start, got := b.now.Steady, time.Duration(0)
		for got == 0 && b.now.Steady < start+5*time.Second {
			b.advance(100 * time.Millisecond)
			for _, r := range b.runs["w00"] {
				if r.order.Task.Job == heatherhub.JobID("fill") && r.speedLimit == 0 {
					got = b.now.Steady - start
				}
			}
		}
		if diff := got - c.want; diff < 0 || diff > 200*time.Millisecond {
			t.Errorf("harm time %s: got the first halt after %s, want %s", c.harmTime, got, c.want)
		}
	}
}
