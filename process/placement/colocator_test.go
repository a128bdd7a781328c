package placement_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/process/placement"
)

var start = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

func host(id, rack string, cpu, mem, acc int64) hostlist.Host {
	return hostlist.Host{
		ID: id, Role: hostlist.RoleWorker, Domain: "gent", Rack: heatherhub.Rack(rack), State: hostlist.StateLive,
		Capacity: size(cpu, mem, acc),
	}
}

func size(cpu, mem, acc int64) heatherhub.Resources {
	return heatherhub.Resources{CPU: heatherhub.MilliCPU(cpu), Memory: heatherhub.Megabytes(mem), Accelerators: heatherhub.Accelerators(acc)}
}

func batchTask(job string, n int, declared heatherhub.Resources) heatherhub.Task {
	return heatherhub.Task{
		ID: heatherhub.JobTaskID(heatherhub.JobID(job), n), Job: heatherhub.JobID(job), Index: n, Workload: "builds",
		Kind: heatherhub.KindBatch, Team: "tools", Class: "cpu", Size: declared, RunTime: time.Minute, Queued: start,
	}
}

func kinds(actions []placement.Action) map[placement.ActionKind]int {
	n := make(map[placement.ActionKind]int)
	for _, a := range actions {
		n[a.Kind]++
	}
	return n
}

func TestDecideStartsTasksThatFit(t *testing.T) {
	c := placement.New(placement.Config{})
	c.PutWorker(start, host("w1", "r1", 4000, 8000, 0))
	for i := range 5 {
		c.Enqueue(start, batchTask("a", i, size(1000, 1000, 0)))
	}
	if got, want := kinds(c.Decide(start))[placement.ActionStart], 4; got != want {
		t.Fatalf("starts: got %d, want %d", got, want)
	}
	c.Ended(start, "job:a:0", placement.EndFinished)
	if got, want := kinds(c.Decide(start))[placement.ActionStart], 1; got != want {
		t.Errorf("starts after one ended: got %d, want %d", got, want)
	}
}

func TestDecideParksTaskThatFitsNoWorker(t *testing.T) {
	c := placement.New(placement.Config{})
	c.PutWorker(start, host("w1", "r1", 4000, 8000, 0))
	c.Enqueue(start, batchTask("big", 0, size(8000, 1000, 0)))
	c.Enqueue(start, batchTask("small", 0, size(1000, 1000, 0)))
	if got, want := kinds(c.Decide(start)), 1; got[placement.ActionStart] != want || got[placement.ActionPark] != 0 {
		t.Fatalf("first decision: got %v, want %d start and no park", got, want)
	}
	actions := c.Decide(start.Add(placement.DefaultParkGrace))
	if got, want := kinds(actions)[placement.ActionPark], 1; got != want {
		t.Fatalf("parked: got %d, want %d", got, want)
	}
	if actions[0].Reason == "" {
		t.Error("reason: got none, want the cause and what to do")
	}
}

func TestGangStartsAllTasksOrNone(t *testing.T) {
	c := placement.New(placement.Config{})
	for i := range 3 {
		c.PutWorker(start, host(fmt.Sprint("w", i), "r1", 4000, 8000, 0))
	}
	c.Enqueue(start, batchTask("block", 0, size(3000, 1000, 0)))
	c.Decide(start)
	for i := range 3 {
		task := batchTask("gang", i, size(3000, 1000, 0))
		task.Gang = 3
		c.Enqueue(start, task)
		if got := len(c.Decide(start)); got != 0 {
			t.Fatalf("actions with %d of 3 tasks waiting and one worker full: got %d, want 0", i+1, got)
		}
	}
	c.Ended(start, "job:block:0", placement.EndFinished)
	if got, want := kinds(c.Decide(start))[placement.ActionStart], 3; got != want {
		t.Errorf("starts with all workers free: got %d, want %d", got, want)
	}
}
