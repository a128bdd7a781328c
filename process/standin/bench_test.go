package standin_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/platform"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin"
	"heatherhub.example/heatherhub/process/standin/model"
)

// benchWorker starts a stand-in with one worker that runs a number of tasks. It
// returns a client, the worker's id and the counter of the client's traffic.
func benchWorker(b *testing.B, p platform.Protocol, tasks int) (*worker.Client, heatherhub.WorkerID, *platform.Traffic) {
	b.Helper()
	hosts := standin.Fleet(standin.FleetConfig{
		Workers: 1, Domains: domains, Capacity: heatherhub.Resources{CPU: 30_000, Memory: 125_000},
	})
	s, err := standin.New(standin.Config{Hosts: hosts, Work: map[heatherhub.WorkloadID]time.Duration{"compile": 0}})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = s.Run(ctx) })
	traffic := &platform.Traffic{}
	c := worker.NewClient(worker.ClientConfig{Platform: platform.Config{Protocol: p, Traffic: traffic, Domain: "mechelen"}, RequestProtocol: p})
	b.Cleanup(func() {
		c.Close()
		cancel()
		group.Wait()
	})
	listed, err := s.HostList().Hosts(ctx)
	if err != nil {
		b.Fatal(err)
	}
	c.SetHosts(listed)
	id := heatherhub.WorkerID(listed[0].ID)
	for n := range tasks {
		cmd := worker.StartCommand{Task: benchTask(n), Epoch: 3, LeaseUntil: time.Now().Add(time.Hour)}
		if err := c.Start(ctx, id, cmd); err != nil {
			b.Fatal(err)
		}
	}
	return c, id, traffic
}

// benchTask returns the n-th task of the worker: a service replica for 0, else a
// batch task.
func benchTask(n int) heatherhub.Task {
	shard := heatherhub.ShardID{Domain: "mechelen", Index: 3}
	if n == 0 {
		return heatherhub.Task{ID: heatherhub.ServiceTaskID("compile", shard, 0), Workload: "compile", Kind: heatherhub.KindService, Team: "lessons", Size: heatherhub.Resources{CPU: 1000, Memory: 500}}
	}
	return heatherhub.Task{
		ID: heatherhub.JobTaskID("course-grading-2031-05-17", n), Workload: "course-grading", Kind: heatherhub.KindBatch,
		Team: "lessons", Class: "render", Job: "course-grading-2031-05-17", Index: n,
		Size: heatherhub.Resources{CPU: 1000, Memory: 500}, RunTime: time.Hour, Queued: time.Now(),
	}
}

// BenchmarkServe measures requests that are sent one at a time and eight at a time,
// which is the number of slots of a worker.
func BenchmarkServe(b *testing.B) {
	for _, p := range []platform.Protocol{platform.ProtocolHTTP1, platform.ProtocolHTTP2} {
		for _, callers := range []int{1, 8} {
			b.Run(fmt.Sprintf("%s/callers=%d", p, callers), func(b *testing.B) {
				c, id, _ := benchWorker(b, p, 1)
				body := []byte(strings.Repeat("x", 1000))
				task := benchTask(0).ID
				var next atomic.Int64
				b.ReportAllocs()
				b.ResetTimer()
				var group conc.WaitGroup
				for range callers {
					group.Go(func() {
						for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
							r := worker.Request{ID: heatherhub.RequestID(fmt.Sprint("r", n)), Workload: "compile", Task: task, Body: body, Timeout: time.Second}
							if _, err := c.Serve(b.Context(), id, r); err != nil {
								b.Error(err)
							}
						}
					})
				}
				group.Wait()
			})
		}
	}
}

// BenchmarkRenew measures the bytes of one renewal in each direction, headers
// included, and reports the traffic of a worker at the renewal interval.
func BenchmarkRenew(b *testing.B) {
	for _, p := range []platform.Protocol{platform.ProtocolHTTP1, platform.ProtocolHTTP2} {
		for _, tasks := range []int{1, 20, 100} {
			b.Run(fmt.Sprintf("%s/tasks=%d", p, tasks), func(b *testing.B) { benchRenew(b, p, tasks) })
		}
	}
}

// benchRenew measures the renewal of a number of tasks.
func benchRenew(b *testing.B, p platform.Protocol, tasks int) {
	c, id, traffic := benchWorker(b, p, tasks)
	cmd := worker.RenewCommand{Epoch: 3, LeaseUntil: time.Now().Add(worker.TaskLease)}
	for n := range tasks {
		cmd.Tasks = append(cmd.Tasks, benchTask(n).ID)
	}
	// Wait for the first usage sample, so that every measured report holds usage.
	if _, err := c.Renew(b.Context(), id, cmd); err != nil {
		b.Fatal(err)
	}
	time.Sleep(model.DefaultUsagePeriod + time.Second/10)
	sent, received := traffic.Sent(), traffic.Received()
	b.ReportAllocs()
	for b.Loop() {
		cmd.LeaseUntil = time.Now().Add(worker.TaskLease)
		if _, err := c.Renew(b.Context(), id, cmd); err != nil {
			b.Fatal(err)
		}
	}
	n := float64(b.N)
	out, in := float64(traffic.Sent()-sent)/n, float64(traffic.Received()-received)/n
	b.ReportMetric(out, "B-sent/op")
	b.ReportMetric(in, "B-received/op")
	b.ReportMetric((out+in)/worker.RenewInterval.Seconds(), "B/s-per-worker")
}
