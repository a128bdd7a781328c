package dispatch_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
)

// TestViewsCountTasks checks the task counts of a two-step job as it runs.
func TestViewsCountTasks(t *testing.T) {
	b := newSimulation(t, dispatch.Policy{}, 1)
	last := tasks(1, 1000, time.Second)
	last.After = []int{0}
	b.add("j", tasks(4, 4000, time.Second), last)
	b.advance(100 * time.Millisecond)
	v, ok := b.e.Job("j")
	if !ok || v.Tasks != 5 || v.Running != 2 || v.Queued != 3 || v.Finished != 0 {
		t.Errorf("got %+v, want 2 tasks running and 3 queued", v)
	}
	if w := b.e.Workers(b.now); len(w) != 1 || len(w[0].Tasks) != 2 || w[0].Reserved.CPU != 8000 || w[0].Silent {
		t.Errorf("got workers %+v, want one with two tasks", w)
	}
	b.advance(1500 * time.Millisecond)
	if v, _ := b.e.Job("j"); v.Running != 2 || v.Queued != 1 || v.Finished != 2 {
		t.Errorf("got %+v, want 2 tasks done, 2 running and 1 queued", v)
	}
	b.advance(4 * time.Second)
	if v, _ := b.e.Job("j"); v.State != heatherhub.WorkflowCompleted || v.Finished != 5 || v.Running != 0 {
		t.Errorf("got %+v, want the job completed", v)
	}
	wants := func(s heatherhub.WorkflowState) func(dispatch.JobView) bool {
		return func(v dispatch.JobView) bool { return v.State == s }
	}
	b.add("k", tasks(1, 1000, time.Second))
	b.add("l", tasks(1, 1000, time.Second))
	if got, hasMore := b.e.Jobs(1, wants(heatherhub.WorkflowQueued)); len(got) != 1 || !hasMore {
		t.Errorf("got %+v, more %v, want one of two queued jobs", got, hasMore)
	}
	if got, hasMore := b.e.Jobs(5, wants(heatherhub.WorkflowCompleted)); len(got) != 1 || hasMore {
		t.Errorf("got %+v, more %v, want the completed job", got, hasMore)
	}
}
