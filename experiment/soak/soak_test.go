package soak_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

var (
	seed      = flag.Uint64("soak-seed", 1, "seed for jobs and faults")
	duration  = flag.Duration("soak-duration", 8*time.Second, "time for which faults are injected")
	processes = flag.Int("soak-processes", 4, "number of hosts, each in its own process")
	workers   = flag.Int("soak-workers", 9, "number of workers in the stand-in platform")
	binary    = flag.String("soak-binary", "", "heatherhub executable; built if empty")
	dir       = flag.String("soak-dir", "", "directory for settings and logs; temporary if empty")
)

// startTimeout is how long the hosts may take to accept a first job.
const startTimeout = 30 * time.Second

// options are the settings of one run.
type options struct {
	Seed               uint64
	Duration           time.Duration
	Processes, Workers int
	Dir, Binary        string
	// injectFaults enables the random faults. autoAcknowledge makes workers discard the end
	// of a task before it is acknowledged, which the audit has to detect.
	injectFaults, autoAcknowledge bool
}

// result holds the counts of a run and the violated guarantees. It is logged as JSON under
// its field names.
type result struct {
	Seed                                          uint64
	Accepted, Refused, Unknown, Cancelled, Starts int
	Faults                                        map[string]int
	Broken                                        []string
}

func newOptions(t *testing.T) *options {
	o := &options{
		Seed: *seed, Duration: *duration, Processes: *processes, Workers: *workers, Dir: *dir, Binary: *binary, injectFaults: true,
	}
	if o.Dir == "" {
		o.Dir = t.TempDir()
	}
	if o.Binary == "" {
		o.Binary = filepath.Join(o.Dir, "heatherhub")
		build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", o.Binary, "../../cmd/heatherhub")
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("cannot build the program: %s\n%s", err, out)
		}
	}
	return o
}

// TestSoak runs one seed. No guarantee may be violated and the run may not be idle.
func TestSoak(t *testing.T) {
	r := newOptions(t).run(t)
	for _, b := range r.Broken {
		t.Error(b)
	}
}

// TestIdleRunFails guards against a soak that passes without injecting faults: a run
// without any must report itself as idle.
func TestIdleRunFails(t *testing.T) {
	o := newOptions(t)
	o.injectFaults, o.Duration = false, 2*time.Second
	r := o.run(t)
	if len(r.Broken) != 1 || !strings.Contains(r.Broken[0], "idle") {
		t.Errorf("got violations %v, want only that the run was idle", r.Broken)
	}
}

// TestAuditDetectsLostTaskEnds guards against an audit that misses violations: workers
// discard ends of tasks before they are acknowledged. Up to 5 seeds are run, because not
// every run loses an end.
func TestAuditDetectsLostTaskEnds(t *testing.T) {
	o := newOptions(t)
	o.autoAcknowledge = true
	for range 5 {
		r := o.run(t)
		if len(r.Broken) > 0 {
			t.Logf("detected with seed %d: %s", o.Seed, r.Broken[0])
			return
		}
		o.Seed++
	}
	t.Error("got no violation with 5 seeds, want at least one")
}

// run runs the site, the callers and the faults, then ends all faults and waits for all
// accepted jobs to end.
func (o *options) run(t *testing.T) *result {
	ctx := context.Background()
	s := newSite(o)
	if err := s.start(); err != nil {
		s.close(ctx)
		t.Fatal(err)
	}
	c, f := newCallers(s), newFaults(s)
	if !c.waitUntilAccepted(ctx) {
		s.close(ctx)
		t.Fatalf("no host accepted a job within %s", startTimeout)
	}
	faultCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var g conc.WaitGroup
	g.Go(func() { c.run(faultCtx) })
	if o.injectFaults {
		g.Go(func() { f.run(faultCtx) })
	}
	g.Wait()
	if err := s.endFaults(); err != nil {
		t.Error(err)
	}
	c.waitForJobs(ctx)
	r := o.newResult(s, c, f, append(s.close(ctx), c.violations...))
	text, err := json.Marshal(r)
	t.Logf("%s %v", text, err)
	return r
}

// newResult collects the counts of a run, and reports an idle run as a violation.
func (o *options) newResult(s *site, c *callers, f *faults, violations []string) *result {
	select {
	case err := <-f.errs:
		violations = append(violations, err.Error())
	default:
	}
	r := &result{
		Seed: o.Seed, Accepted: c.counts.Accepted, Refused: c.counts.Refused, Unknown: c.counts.Unknown, Cancelled: c.counts.Cancelled,
		Starts: s.audit.Starts(), Faults: f.counts, Broken: append(s.audit.Violations(), violations...),
	}
	if f.total() == 0 || r.Starts == 0 || r.Accepted == 0 {
		r.Broken = append(r.Broken, fmt.Sprintf("the run was idle: %d faults, %d jobs accepted, %d starts", f.total(), r.Accepted, r.Starts))
	}
	return r
}
