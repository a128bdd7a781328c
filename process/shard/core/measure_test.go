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

var measure = flag.Bool("measure", false, "measure the costs of control at several sizes")

// callMeter counts what control costs outside of the store.
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

func encodedSize(t *testing.T, v any) int {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return len(b)
}

// TestMeasureControlCosts prints the costs of control at four sizes. Run it with
// -measure -v.
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
	cfg.withoutOps, cfg.workers, cfg.shards, cfg.withoutAudit = true, n, max(2, n/50), true
	cfg.serviceCopies = n
	cfg.scheduler = func(*simulation) placement.Scheduler { return placement.New(placement.Config{}) }
	w := newSimulation(cfg)
	w.run(60 * time.Second)
	m := &callMeter{}
	w.observe = func(c core.Call, a core.Answer) { m.count(t, c, a) }
	before, began := w.store.Counts(), time.Now()
	w.run(idle)
	t.Logf("%d workers, %d shards, 3 hosts, idle: %s; decisions took %.1f ms of a core per host and second",
		n, cfg.shards, rates(before, w.store.Counts(), idle), float64(time.Since(began).Milliseconds())/idle.Seconds()/3)
	t.Logf("  per worker and second: %.0f bytes of renewals, %.0f bytes of reports",
		float64(m.renewBytes)/float64(n)/idle.Seconds(), float64(m.reportBytes)/float64(n)/idle.Seconds())
	before, m.starts = w.store.Counts(), 0
	for i := range 4 * n / 10 {
		w.after(time.Duration(i)*load/time.Duration(n), func() {
			w.submit(heatherhub.Job{ID: heatherhub.JobID(fmt.Sprintf("m-%d", i)), Workload: "letter", Tasks: 10, State: heatherhub.JobQueued}, 2)
		})
	}
	w.run(load)
	after := w.store.Counts()
	starts := float64(max(1, m.starts))
	t.Logf("  load: %d starts, %s; per start %.3f writes, %.3f reads, %.0f bytes written",
		m.starts, rates(before, after, load), float64(after.TotalWrites()-before.TotalWrites())/starts,
		float64(after.Gets+after.Lists-before.Gets-before.Lists)/starts, float64(after.BytesWritten-before.BytesWritten)/starts)
	before = after
	next := *w.snapshot
	next.Version++
	for _, h := range w.hosts {
		h.node.SetSnapshot(&next)
	}
	w.run(idle)
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	t.Logf("  after a change of configuration: %s; heap of all %d MB", rates(before, w.store.Counts(), idle), mem.HeapAlloc/1_000_000)
	if got, want := len(w.violations), 0; got != want {
		t.Errorf("got %d broken promises, want %d: %v", got, want, w.violations)
	}
}

func rates(a, b memory.Counts, d time.Duration) string {
	per := func(n int) float64 { return float64(n) / d.Seconds() }
	return fmt.Sprintf("%.1f writes/s, %.1f reads/s, %.0f bytes/s written, %.0f bytes/s read",
		per(b.TotalWrites()-a.TotalWrites()), per(b.Gets+b.Lists-a.Gets-a.Lists),
		per(b.BytesWritten-a.BytesWritten), per(b.BytesRead-a.BytesRead))
}
