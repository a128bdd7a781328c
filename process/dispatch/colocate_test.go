package dispatch_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

// newSwingingSite returns a site of one worker with two serving tasks whose headroom swings between
// lowest and highest within 10 s, and runs it for three periods.
func newSwingingSite(t *testing.T, lowest, highest float64) (b *simulation, headroom func() float64) {
	b = newSimulation(t, dispatch.Policy{}, 1)
	headroom = func() float64 {
		return (lowest+highest)/2 + (highest-lowest)/2*math.Sin(2*math.Pi*b.now.Steady.Seconds()/10)
	}
	b.tail = func(string, []string) float64 { return 20 / headroom() }
	b.addServing("serving", 2)
	b.advance(30 * time.Second)
	return b, headroom
}

// TestFillerWaitsForLessLoad guards against a filler that is placed just before the load of the
// serving task beside it rises: it is placed after the peak, while its job still has time.
func TestFillerWaitsForLessLoad(t *testing.T) {
	b, headroom := newSwingingSite(t, 1.05, 3.8)
	for b.now.Steady%(10*time.Second) != 4500*time.Millisecond {
		b.step(100 * time.Millisecond)
	}
	before := headroom()
	b.addFillers("fillers", 1, 12*time.Second)
	submitted := b.now.Steady
	for len(b.started) < 3 && b.now.Steady-submitted < 12*time.Second {
		b.step(100 * time.Millisecond)
	}
	if waited := b.now.Steady - submitted; waited < 3*time.Second || waited > 8*time.Second {
		t.Errorf("got a start after %s (headroom %.1f, before %.1f), want one after the peak of the load at 3 s and within the slack", waited, headroom(), before)
	}
}

// TestDueHaltDoesNotWait guards against fillers that are at work beside a missed target for over 2 s,
// because the speed of another one was changed shortly before: with the time until the miss is
// reported, that is longer than a serving task may be harmed.
func TestDueHaltDoesNotWait(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond} {
		b := newSimulation(t, dispatch.Policy{}, 1)
		tail := 8.0
		b.tail = func(string, []string) float64 { return tail }
		b.addServing("serving", 2)
		b.advance(time.Second)
		b.addFillers("first", 1, 20*time.Second)
		b.advance(10 * time.Second)
		tail = 30
		missedSince := b.now.Steady + 100*time.Millisecond
		b.advance(delay)
		other := tasks(1, 1000, 20*time.Second)
		other.Filler, other.Image = true, "other"
		b.add("other", other)
		for b.now.Steady-missedSince < 2*time.Second {
			b.step(100 * time.Millisecond)
		}
		for _, r := range b.runs[b.workers[0]] {
			if b.spec(r).Filler && r.speedLimit > 0 {
				t.Errorf("second filler after %s: got %s at work at %d%% after %s, want it halted", delay, r.order.Task.Job, r.speedLimit, b.now.Steady-missedSince)
			}
		}
	}
}

// TestLateFillerIsPlacedAllTheSame guards against fillers that wait for serving tasks until their job
// is worth nothing.
func TestLateFillerIsPlacedAllTheSame(t *testing.T) {
	b, _ := newSwingingSite(t, 1.2, 1.2)
	b.addFillers("fillers", 1, time.Second)
	b.advance(2500 * time.Millisecond)
	if len(b.started) < 3 {
		t.Error("got no start of a filler whose job is late otherwise")
	}
}

// TestUnknownFillersAreTriedOneAtATime guards against two fillers that are tried on one worker, so that
// neither shows what it does.
func TestUnknownFillersAreTriedOneAtATime(t *testing.T) {
	b, _ := newSwingingSite(t, 1.6, 1.6)
	for _, image := range []string{"x", "y"} {
		s := tasks(1, 1500, 10*time.Second)
		s.Filler, s.Image = true, image
		b.add(heatherhub.JobID(image), s)
	}
	b.step(100 * time.Millisecond)
	if got := len(b.started) - 2; got != 1 {
		t.Errorf("got %d fillers started at once, want one", got)
	}
	b.advance(3 * time.Second)
	if got := len(b.started) - 2; got != 2 {
		t.Errorf("got %d fillers started once the first was known to do no harm, want both", got)
	}
}

// TestTargetsAreKeptUnderSwings replays serving tasks that reserve 0.8 of the processors, whose load
// swings by half within 10 s, beside fillers of which a quarter interferes with each serving image.
// Serving tasks may be over their target for 800 of 55,700 s, and fillers have to end in time.
func TestTargetsAreKeptUnderSwings(t *testing.T) {
	const workers, seconds, maxOverShare, minInTime = 100, 60, 800.0 / 55_700, 0.9
	b := newSimulation(t, dispatch.Policy{Stretch: 2, Target: time.Second}, 0)
	rnd := rand.New(rand.NewPCG(1, 3))
	for i := range workers {
		id := heatherhub.WorkerID(fmt.Sprintf("w%02d", i))
		b.workers = append(b.workers, id)
		b.e.WorkerUp(b.now, agent.Worker{ID: id, Pool: pool, Capacity: heatherhub.Resources{CPU: 16_000, Memory: 60_000}}, &agent.Report{Clock: 1})
	}
	presses := func(serving, filler string) bool {
		f := fnv.New32a()
		_, _ = f.Write([]byte(serving + filler))
		return f.Sum32()%4 == 0
	}
	total, over := 0, 0
	b.tail = func(serving string, fillers []string) float64 {
		load := 0.42 * (1 + 0.5*math.Sin(2*math.Pi*b.now.Steady.Seconds()/10))
		for _, f := range fillers {
			press := 0.3
			if presses(serving, f) {
				press = 2.2
			}
			load += press * 0.11
		}
		tail := 4 / max(1-load, 0.02) * math.Exp(0.1*rnd.NormFloat64())
		if b.now.Steady > 20*time.Second {
			total++
			if tail > 18 {
				over++
			}
		}
		return tail
	}
	for i := range 28 {
		s := tasks(14, 3200, time.Second)
		s.LongRunning, s.Image, s.LatencyTarget = true, fmt.Sprintf("serving%d", i%10), 18*time.Millisecond
		b.add(heatherhub.JobID(fmt.Sprintf("serving%d", i)), s)
	}
	objectives := make(map[heatherhub.JobID]time.Duration)
	for next := 1.0; b.now.Steady < seconds*time.Second; b.step(100 * time.Millisecond) {
		for ; next < b.now.Steady.Seconds(); next += rnd.ExpFloat64() / 5.2 {
			s := tasks(10+rnd.IntN(20), 1800, 2300*time.Millisecond)
			s.Filler, s.Image = true, fmt.Sprintf("filler%d", rnd.IntN(18))
			id := heatherhub.JobID(fmt.Sprintf("filler%04d", len(b.workflows)))
			b.add(id, s)
			objectives[id] = b.now.Steady + 5600*time.Millisecond
		}
	}
	inTime, due := 0, 0
	for id, objective := range objectives {
		if objective < 20*time.Second || objective > seconds*time.Second {
			continue
		}
		due++
		if at, ok := b.doneAt[id]; ok && at <= objective {
			inTime++
		}
	}
	t.Logf("over target: %d of %d samples; fillers in time: %d of %d", over, total, inTime, due)
	if got := float64(over) / float64(total); got > maxOverShare {
		t.Errorf("got serving tasks over their target for %.4f of the time, want at most %.4f", got, maxOverShare)
	}
	if got := float64(inTime) / float64(due); got < minInTime {
		t.Errorf("got %.2f of the filler jobs in time, want at least %.2f", got, minInTime)
	}
}
