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
