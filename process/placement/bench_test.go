package placement_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
)

const (
	benchTeams     = 47
	benchWorkloads = 60
	// benchPerWorker and startsPerSec are the tasks per worker and the rate of starts
	// at the target size.
	benchPerWorker = 21
	startsPerSec   = 2900
)

func benchTask(n int, rng *rand.Rand) heatherhub.Task {
	k := rng.IntN(benchWorkloads)
	return heatherhub.Task{
		ID: heatherhub.JobTaskID(heatherhub.JobID(fmt.Sprint("j", n/40)), n), Job: heatherhub.JobID(fmt.Sprint("j", n/40)), Index: n,
		Workload: heatherhub.WorkloadID(fmt.Sprint("w", k)), Kind: heatherhub.KindBatch, Class: fmt.Sprint("c", k%5),
		Team: heatherhub.TeamID(fmt.Sprint("t", k%benchTeams)), Size: size(int64(250+250*(k%6)), int64(500+250*(k%8)), 0), RunTime: time.Minute,
	}
}

// filled returns a Colocator whose workers run benchPerWorker tasks each, a third of them
// replicas, and the starts of its batch tasks.
func filled(workers int, rng *rand.Rand) (*placement.Colocator, []placement.Action, time.Time) {
	now := start
	c := placement.New(placement.Config{MaxStarts: 1 << 20})
	for i := range workers {
		c.PutWorker(now, host(fmt.Sprint("w", i), fmt.Sprint("r", i/8), 32_000, 128_000, int64(i%5/4*8)))
	}
	for i := range workers * benchPerWorker {
		task := benchTask(i, rng)
		if i%3 == 0 {
			task.Kind, task.Job, task.Size = heatherhub.KindService, "", size(1000, 2000, 0)
			task.Workload = heatherhub.WorkloadID(fmt.Sprint("s", i%40))
		}
		c.Enqueue(now, task)
	}
	var batch []placement.Action
	for _, a := range c.Decide(now) {
		if a.Task.Kind == heatherhub.KindBatch {
			batch = append(batch, a)
		}
	}
	return c, batch, now
}

// BenchmarkStart measures one start in a full fleet: a task ends, another is queued and
// placed, and at every 100th a worker reports its usage.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{50, 500, 5_000, 10_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			c, running, now := filled(workers, rng)
			n, starts := workers*benchPerWorker, 0
			for b.Loop() {
				now = now.Add(time.Second / startsPerSec)
				i := rng.IntN(len(running))
				c.Ended(now, running[i].Task.ID, placement.EndFinished)
				running[i] = running[len(running)-1]
				running = running[:len(running)-1]
				c.Enqueue(now, benchTask(n, rng))
				n++
				for _, a := range c.Decide(now) {
					if a.Kind == placement.ActionStart {
						c.Started(now, a.Task, a.Worker)
						running = append(running, a)
						starts++
					}
				}
				if n%100 == 0 {
					c.Observe(now, worker.Usage{Worker: running[0].Worker, At: now, Tasks: []worker.TaskUsage{{Task: running[0].Task.ID, Used: running[0].Task.Size}}})
				}
			}
			b.ReportMetric(float64(starts)/b.Elapsed().Seconds(), "starts/s")
		})
	}
}

// BenchmarkMemory measures the heap memory of a full fleet per task.
func BenchmarkMemory(b *testing.B) {
	for _, workers := range []int{50, 500, 5_000, 10_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				c, running, _ := filled(workers, rand.New(rand.NewPCG(1, 2)))
				running = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(c)
				runtime.KeepAlive(running)
			}
			bytes := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			b.ReportMetric(bytes/float64(workers*benchPerWorker), "B/task")
			b.ReportMetric(bytes/1e6, "MB")
		})
	}
}

// BenchmarkObserve measures one usage report of a worker with 21 tasks, a third of
// them replicas, beside five batch classes.
func BenchmarkObserve(b *testing.B) {
	c := placement.New(placement.Config{})
	now := start
	c.SetSnapshot(now, snapshot(func(*heatherhub.Preset) {}))
	c.PutWorker(now, host("w0", "r0", 32_000, 128_000, 0))
	u := worker.Usage{Worker: "w0"}
	for i := range benchPerWorker {
		task := batchTask("j", i, size(1000, 1000, 0))
		task.Class = fmt.Sprint("c", i%5)
		if i%3 == 0 {
			task = replicaTask(i)
		}
		c.Started(now, task, "w0")
		u.Tasks = append(u.Tasks, worker.TaskUsage{Task: task.ID, Used: task.Size, Latency: 100 * time.Millisecond, Requests: 10})
	}
	for b.Loop() {
		now = now.Add(worker.RenewInterval)
		u.At = now
		c.Observe(now, u)
	}
}

// BenchmarkIdleDecide measures a Decide without new events, one second after the last.
func BenchmarkIdleDecide(b *testing.B) {
	for _, workers := range []int{50, 500, 5_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c, _, now := filled(workers, rand.New(rand.NewPCG(1, 2)))
			for b.Loop() {
				now = now.Add(time.Second)
				c.Decide(now)
			}
		})
	}
}

// BenchmarkCancel measures queueing and cancelling 10,000 tasks.
func BenchmarkCancel(b *testing.B) {
	const wave = 10_000
	c, _, now := filled(50, rand.New(rand.NewPCG(1, 2)))
	for b.Loop() {
		for i := range wave {
			c.Enqueue(now, batchTask("wave", i, size(1000, 1000, 0)))
		}
		for i := range wave {
			c.Dequeue(now, heatherhub.JobTaskID("wave", i))
		}
	}
}
