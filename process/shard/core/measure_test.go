package core_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/core"
)

var measure = flag.Bool("measure", false, "measure the control traffic at several sizes")

// callMeter counts the calls to workers and the bytes of renewals.
type callMeter struct {
	renewals, renewBytes, reportBytes, starts int
}

func (m *callMeter) count(t *testing.T, c core.Call, a core.Answer) {
	switch c.Kind {
	case core.CallRenewTasks:
		m.renewals++
		m.renewBytes += encodedSize(t, c.Renew)
		m.reportBytes += encodedSize(t, a.Report)
	case core.CallStart:
		m.starts++
	}
}

// encodedSize returns the number of bytes of v in JSON.
func encodedSize(t *testing.T, v any) int {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return len(b)
}

// TestMeasureControlCosts prints the control traffic and the processor time of decisions
// for four numbers of workers. Run it with -measure -v.
func TestMeasureControlCosts(t *testing.T) {
	if !*measure {
		t.Skip("run it with -measure")
	}
	for _, n := range []int{10, 50, 500, 5000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { measureSize(t, n) })
	}
}

func measureSize(t *testing.T, n int) {
	const idle, load = 30 * time.Second, 60 * time.Second
	cfg := defaultSim(1)
	cfg.withoutOperators, cfg.workers, cfg.shards, cfg.withoutAudit = true, n, max(2, n/50), true
	cfg.serviceReplicas = n
	cfg.scheduler = func(*simulation) placement.Scheduler { return placement.New(placement.Config{}) }
	sim := newSimulation(cfg)
	sim.run(60 * time.Second)
	m := &callMeter{}
	sim.observe = func(c core.Call, a core.Answer) { m.count(t, c, a) }
	before, began := sim.store.Counts(), time.Now()
	sim.run(idle)
	t.Logf("%d workers, %d shards, 3 hosts, idle: %s; decisions took %.1f ms of a core per host and second",
		n, cfg.shards, rates(before, sim.store.Counts(), idle), float64(time.Since(began).Milliseconds())/idle.Seconds()/3)
	t.Logf("  per worker and second: %.0f bytes of renewals, %.0f bytes of reports",
		float64(m.renewBytes)/float64(n)/idle.Seconds(), float64(m.reportBytes)/float64(n)/idle.Seconds())
	before, m.starts = sim.store.Counts(), 0
	for i := range 4 * n / 10 {
		sim.after(time.Duration(i)*load/time.Duration(n), func() {
			sim.submit(heatherhub.Job{ID: heatherhub.JobID(fmt.Sprintf("m-%d", i)), Workload: "letter", Tasks: 10, State: heatherhub.JobQueued}, 2)
		})
	}
	sim.run(load)
	after := sim.store.Counts()
	starts := float64(max(1, m.starts))
	t.Logf("  load: %d starts, %s; per start %.3f writes, %.3f reads, %.0f bytes written",
		m.starts, rates(before, after, load), float64(after.TotalWrites()-before.TotalWrites())/starts,
		float64(after.Gets+after.Lists-before.Gets-before.Lists)/starts, float64(after.BytesWritten-before.BytesWritten)/starts)
	before = after
	next := *sim.snapshot
	next.Version++
	for _, h := range sim.hosts {
		h.node.SetSnapshot(&next)
	}
	sim.run(idle)
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	t.Logf("  after a change of configuration: %s; heap of the test process %d MB", rates(before, sim.store.Counts(), idle), mem.HeapAlloc/1_000_000)
	if got, want := len(sim.violations), 0; got != want {
		t.Errorf("got %d violations, want %d: %v", got, want, sim.violations)
	}
}

// rates describes the store calls between two counts, d apart, per second.
func rates(a, b memory.Counts, d time.Duration) string {
	per := func(n int) float64 { return float64(n) / d.Seconds() }
	return fmt.Sprintf("%.1f writes/s, %.1f reads/s, %.0f bytes/s written, %.0f bytes/s read",
		per(b.TotalWrites()-a.TotalWrites()), per(b.Gets+b.Lists-a.Gets-a.Lists),
		per(b.BytesWritten-a.BytesWritten), per(b.BytesRead-a.BytesRead))
}
