package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

// largestUrgent is the largest need of an urgent task, in processors.
const largestUrgent = heatherhub.MilliCPU(23_000)

// fleetRoom is the room that a replayed fleet has left for the largest urgent tasks.
type fleetRoom struct {
	// slots is the number of such tasks that fit, and ideal the number if the free processors
	// of all workers were on as few workers as possible.
	slots, ideal float64
	// largeWait is the share of urgent jobs with tasks above 15 processors that waited over 0.3 s.
	largeWait float64
}

// replayFleet fills 60 workers of 64 or 96 cores to 0.88 with long-running tasks of 13 cores, beside
// fillers that reserve memory only, and submits urgent tasks of 7.5 cores on average. Long-running
// jobs come and go.
func replayFleet(t *testing.T, seed uint64, hasInterference bool) fleetRoom {
	const workers, tick = 60, 100 * time.Millisecond
	b := newSimulation(t, dispatch.Policy{}, 0)
	rnd := rand.New(rand.NewPCG(seed, 2))
	b.tail = func(serving string, fillers []string) float64 {
		v := 8.0
		for _, f := range fillers {
			if hasInterference && (len(f)+int(f[len(f)-1])+int(serving[len(serving)-1]))%3 == 0 {
				v += 2
			}
		}
		return v
	}
	var total, reserved heatherhub.MilliCPU
	for i := range workers {
		id := heatherhub.WorkerID(fmt.Sprintf("w%02d", i))
		b.workers = append(b.workers, id)
		cpu := heatherhub.MilliCPU(96_000 - 32_000*rnd.IntN(2))
		total += cpu
		w := agent.Worker{ID: id, Pool: pool, Rack: heatherhub.Rack(fmt.Sprintf("r%d", i/12)), Capacity: heatherhub.Resources{CPU: cpu, Memory: 200_000}}
		b.e.WorkerUp(b.now, w, &agent.Report{Clock: 1})
	}
	spread := func(mean, share float64) heatherhub.MilliCPU {
		return heatherhub.MilliCPU(1000 * mean * max(0.3, 1+share*rnd.NormFloat64()))
	}
	var serving []heatherhub.JobID
	addServing := func() {
		s := tasks(14, spread(13, 0.25), time.Second)
		s.LongRunning, s.Image, s.LatencyTarget = true, fmt.Sprintf("image%d", rnd.IntN(9)), 18*time.Millisecond
		id := heatherhub.JobID(fmt.Sprintf("s%04d", len(b.workflows)))
		b.add(id, s)
		serving = append(serving, id)
		reserved += 14 * s.Need.CPU
	}
	waits := make(map[heatherhub.JobID]time.Duration)
	var out fleetRoom
	samples, large := 0.0, 0.0
	for step := range 400 {
		for reserved < total*88/100-14*13_000 {
			addServing()
		}
		if step%15 == 14 {
			at := rnd.IntN(len(serving))
			id := serving[at]
			serving = append(serving[:at], serving[at+1:]...)
			reserved -= 14 * b.workflows[id].Steps[0].Need.CPU
			b.e.Cancel(b.now, id)
		}
		filler := tasks(10, spread(7, 0.3), 1700*time.Millisecond)
		filler.Filler, filler.Image = true, fmt.Sprintf("filler%d", rnd.IntN(6))
		b.add(heatherhub.JobID(fmt.Sprintf("f%04d", len(b.workflows))), filler)
		if step%2 == 0 {
			cpu := min(max(heatherhub.MilliCPU(7500*0.75*(0.5+rnd.ExpFloat64())), 2000), largestUrgent)
			id := heatherhub.JobID(fmt.Sprintf("u%04d", len(b.workflows)))
			b.add(id, tasks(8, cpu, 640*time.Millisecond))
			waits[id] = b.now.Steady
		}
		b.step(tick)
		if step < 50 {
			continue
		}
		samples++
		var free heatherhub.MilliCPU
		for _, r := range b.e.LargestFree(b.now, workers)[pool] {
			out.slots += float64(r.CPU / largestUrgent)
			free += r.CPU
		}
		out.ideal += float64(free / largestUrgent)
	}
	b.advance(3 * time.Second)
	for id, accepted := range waits {
		if b.workflows[id].Steps[0].Need.CPU <= 15_000 {
			continue
		}
		large++
		if at, ok := b.doneAt[id]; !ok || at-accepted > 940*time.Millisecond {
			out.largeWait++
		}
	}
	return fleetRoom{slots: out.slots / samples, ideal: out.ideal / samples, largeWait: out.largeWait / large}
}

// TestReservingTasksLeaveRoomForLargeNeeds guards against placement that spreads what is free over
// all workers: fewer than a third of the largest urgent tasks that the free processors are enough
// for would fit, and half of the large ones would wait.
func TestReservingTasksLeaveRoomForLargeNeeds(t *testing.T) {
	for _, hasInterference := range []bool{false, true} {
		const seeds = 3
		var got fleetRoom
		for seed := range uint64(seeds) {
			r := replayFleet(t, seed, hasInterference)
			t.Logf("interference %v, seed %d: %+v", hasInterference, seed, r)
			got.slots += r.slots / seeds
			got.ideal += r.ideal / seeds
		}
		if want := 0.4 * got.ideal; got.slots < want {
			t.Errorf("interference %v: got room for %.1f of the largest tasks, want at least %.1f", hasInterference, got.slots, want)
		}
	}
}
