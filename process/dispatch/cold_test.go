package dispatch_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
)

// TestColdWorkerIsTheLastChoice guards against tasks with an objective that start on a cold worker
// while another one has room, and against tasks that wait because all room is on cold workers.
func TestColdWorkerIsTheLastChoice(t *testing.T) {
	near, filler, long := tasks(1, 4000, time.Second), tasks(1, 4000, time.Second), tasks(1, 4000, time.Hour)
	near.DataRack = "r0"
	filler.Filler = true
	long.LongRunning = true
	for name, c := range map[string]struct {
		step heatherhub.Step
		cold time.Duration
		want int
	}{
		"batch, cold": {tasks(1, 4000, time.Second), time.Minute, 2}, "batch, warm by now": {tasks(1, 4000, time.Second), -time.Millisecond, 0},
		"filler": {filler, time.Minute, 2}, "near its data": {near, time.Minute, 0}, "long-running": {long, time.Minute, 0},
	} {
		b := newSimulation(t, dispatch.Policy{}, 3)
		for i := range 2 {
			b.e.WorkerCold(b.workers[i], b.now.Steady+c.cold)
		}
		b.add("j", c.step)
		b.decide()
		if got := b.placed[heatherhub.StepTask{Job: "j"}]; got != b.workers[c.want] {
			t.Errorf("%s: got worker %s, want %s", name, got, b.workers[c.want])
		}
	}
	b := newSimulation(t, dispatch.Policy{}, 2)
	b.e.WorkerCold(b.workers[0], b.now.Steady+time.Minute)
	b.add("many", tasks(4, 5000, time.Second))
	b.decide()
	if got, want := len(b.started), 4; got != want {
		t.Errorf("got %d starts with room for 2 on warm workers, want %d", got, want)
	}
}

// TestColdWorkerTakesStarts guards against a worker that gets no batch tasks for some time after it was
// cold, since it counts as slow, while work waits for its room.
func TestColdWorkerTakesStarts(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 2)
	b.fillerSpeed = func(w heatherhub.WorkerID) float64 {
		if w == b.workers[0] {
			return 0.3
		}
		return 1
	}
	b.e.WorkerCold(b.workers[0], b.now.Steady+10*time.Second)
	fillers := tasks(16, 1200, 20*time.Second)
	fillers.Filler, fillers.Image = true, "filler"
	b.add("fillers", fillers)
	b.decide()
	b.advance(4 * time.Second)
	b.add("j", tasks(2, 9000, time.Second))
	b.decide()
	for k := range 2 {
		if got := b.placed[heatherhub.StepTask{Job: "j", Index: k}]; got == "" {
			t.Errorf("got task %d not started with room for it, want a start", k)
		}
	}
}
