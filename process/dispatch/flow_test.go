package dispatch_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/dispatch"
)

// TestStartsBeyondTheBoundWait replays a wide job that arrives before a small one on a host
// that sends few orders at a time: the small job does not wait behind all orders of the wide
// one, and no order waits until it is outdated.
func TestStartsBeyondTheBoundWait(t *testing.T) {
	const bound = 8
	b := newSimulation(t, dispatch.Policy{}, 0)
	b.e = dispatch.New(dispatch.Config{Token: 1, MaxPendingStarts: bound})
	b.e.SetPolicies(map[heatherhub.QueueID]dispatch.Policy{queue: {Pool: pool, Stretch: 2}})
	w := agent.Worker{ID: "w", Pool: pool, Capacity: heatherhub.Resources{CPU: 100_000, Memory: 100_000}}
	b.e.WorkerUp(b.now, w, &agent.Report{Clock: 1})
	b.add("wide", tasks(60, 1000, 4*time.Second))
	orders := b.e.Decide(b.now)
	if got, want := len(orders), bound; got != want {
		t.Fatalf("got %d starts at once, want %d", got, want)
	}
	b.add("small", tasks(2, 1000, 100*time.Millisecond))
	if got := len(b.e.Decide(b.now)); got != 0 {
		t.Errorf("got %d starts without an outcome of the others, want 0", got)
	}
	for i, o := range orders[:bound/2] {
		if b.e.HasHeldStarts() {
			t.Errorf("got a request to decide after %d outcomes, want it after %d", i, bound/2)
		}
		b.e.OrderResult(b.now, o, dispatch.Confirmed)
	}
	if !b.e.HasHeldStarts() {
		t.Error("got no request to decide after half of the outcomes")
	}
	next := b.e.Decide(b.now)
	if len(next) != bound/2 || next[0].Task.Job != "small" || next[1].Task.Job != "small" {
		t.Errorf("got %d starts, the first of job %v, want %d with those of the small job first", len(next), next, bound/2)
	}
	// Lost, refused and unanswered starts make room like confirmed ones.
	b.e.OrderResult(b.now, orders[bound/2], dispatch.NotSent)
	b.e.OrderResult(b.now, orders[bound/2+1], dispatch.NoReply)
	b.e.WorkerGone(b.now, "w", false)
	b.e.WorkerUp(b.now, w, &agent.Report{Clock: 1})
	if got, want := len(b.e.Decide(b.now)), bound; got != want {
		t.Errorf("got %d starts after the worker was lost, want %d", got, want)
	}
}

// TestTaskThatIsRefusedByAllWorkersLeavesThemToOthers guards against a task that every worker refuses,
// which keeps its owner busy and each worker from getting other tasks.
func TestTaskThatIsRefusedByAllWorkersLeavesThemToOthers(t *testing.T) {
	for name, outcome := range map[string]dispatch.Outcome{"refused": dispatch.Refused, "unhealthy": dispatch.RefusedUnhealthy} {
		t.Run(name, func(t *testing.T) {
			b := newSimulation(t, dispatch.Policy{}, 4)
			refused := 0
			b.outcome = func(o dispatch.Order) dispatch.Outcome {
				if o.Task.Job == "refused" && o.Kind == dispatch.StartTask {
					refused++
					return outcome
				}
				return dispatch.Confirmed
			}
			b.add("refused", tasks(1, 1000, time.Second))
			for range 100 {
				b.step(20 * time.Millisecond)
			}
			b.add("other", tasks(4, 9000, time.Second))
			for range 70 {
				b.step(20 * time.Millisecond)
			}
			if _, ok := b.doneAt["other"]; !ok {
				t.Error("the other job is not done although all workers are free for it")
			}
			// Three at once, then after 0.1 s, 0.2 s, 0.4 s, 0.8 s and each second.
			if refused > 12 {
				t.Errorf("got %d starts of the refused task in 3.4 s, want at most 12", refused)
			}
		})
	}
}
