package core_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/shard/core"
)

// TestBatchTaskThatCrashesItsWorkersIsParked guards against a task that is started again and again
// although each worker that starts it crashes, also if the owner is lost in between, and against
// the loss of jobs beside it.
func TestBatchTaskThatCrashesItsWorkersIsParked(t *testing.T) {
	for _, isOwnerKilled := range []bool{false, true} {
		t.Run(fmt.Sprintf("ownerKilled=%v", isOwnerKilled), func(t *testing.T) {
			cfg := defaultSim(1)
			cfg.withoutOperators, cfg.withoutAudit = true, true
			cfg.scheduler = newFirstFit(0)
			sim := newSimulation(cfg)
			sim.run(20 * time.Second)
			task := heatherhub.JobTaskID("deadly", 0)
			starts := 0
			sim.observe = func(c core.Call, _ core.Answer) {
				if c.Kind != core.CallStart || c.Task != task {
					return
				}
				starts++
				wk := sim.byID[c.Worker]
				sim.after(10*time.Millisecond, func() { wk.model.Kill(sim.now); wk.model.Revive(sim.now) })
				if h := sim.ownerOf(t, sim.layout.ShardOfJob("deadly")); isOwnerKilled && starts == 2 && h != nil {
					sim.after(10*time.Second, func() { sim.killHost(h, time.Second) })
				}
			}
			sim.submit(heatherhub.Job{ID: "deadly", Workload: "letter", Tasks: 1, State: heatherhub.JobQueued}, 2)
			for i := range 4 {
				sim.submit(heatherhub.Job{ID: heatherhub.JobID(fmt.Sprintf("innocent-%d", i)), Workload: "letter", Tasks: 3, State: heatherhub.JobQueued}, 2)
			}
			sim.run(5 * time.Minute)
			if starts < 3 || starts > 5 {
				t.Errorf("got %d starts of a task that crashes its workers, want 3 to 5", starts)
			}
			for _, h := range sim.hosts {
				for _, job := range h.node.Jobs() {
					want := heatherhub.JobDone
					if job.Job.ID == "deadly" {
						want = heatherhub.JobParked
					}
					if job.Job.State != want {
						t.Errorf("job %s: got state %s and reason %q, want %s", job.Job.ID, job.Job.State, job.Job.Reason, want)
					}
				}
			}
		})
	}
}

// maxDeadlyStarts is the number of starts that a task may have if it crashes its workers.
const maxDeadlyStarts = 5

// crashIfDeadly crashes a worker that has started a task which does that.
func (sim *simulation) crashIfDeadly(c core.Call, a core.Answer) {
	n, isDeadly := sim.deadlyStarts[c.Task]
	if c.Kind != core.CallStart || a.Err != nil || !isDeadly {
		return
	}
	sim.deadlyStarts[c.Task] = n + 1
	if n+1 > maxDeadlyStarts {
		sim.violate("task %s that crashes its workers starts for the %dth time", c.Task, n+1)
	}
	wk := sim.byID[c.Worker]
	sim.after(10*time.Millisecond, func() { wk.model.Kill(sim.now); wk.model.Revive(sim.now) })
}

// roomNotice is how long after a worker has shrunk its former room may still be used. The list
// takes a few seconds to reach the hosts, and starts may be late.
const roomNotice = 2 * hostListLag

// auditRoom checks that a start fits the room that a worker has had for some time.
func (sim *simulation) auditRoom(c core.Call) {
	wk := sim.byID[c.Worker]
	if c.Kind != core.CallStart || wk == nil || wk.shrunkAt.IsZero() || sim.now.Sub(wk.shrunkAt) < roomNotice {
		return
	}
	used := c.Start.Task.Size
	for _, st := range wk.model.Tasks(sim.now) {
		if st.State == worker.TaskRunning && st.Task.ID != c.Task {
			used = used.Add(st.Task.Size)
		}
	}
	if !used.Fits(wk.host.Capacity) {
		sim.violate("worker %s starts %s and then holds %s of %s", c.Worker, c.Task, used, wk.host.Capacity)
	}
}
