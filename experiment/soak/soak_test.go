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
	seed      = flag.Uint64("soak-seed", 1, "seed of jobs and faults")
	duration  = flag.Duration("soak-duration", 8*time.Second, "how long faults are injected")
	processes = flag.Int("soak-processes", 4, "number of hosts, each a process")
	workers   = flag.Int("soak-workers", 9, "number of workers of the stand-in")
	binary    = flag.String("soak-binary", "", "the program to run; empty builds it")
	dir       = flag.String("soak-dir", "", "folder for settings and logs; empty is one that is removed")
)

// startTimeout is how long hosts may take to be ready.
const startTimeout = 30 * time.Second

// options are the settings of one run.
type options struct {
	Seed               uint64
	Duration           time.Duration
	Processes, Workers int
	Dir, Binary        string
	// injectFaults injects faults; autoAcknowledge plants one that a run has to see.
	injectFaults, autoAcknowledge bool
}

// result is what a run has shown.
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

// TestSoak plays one seed: every promise is kept, and the run is not idle.
func TestSoak(t *testing.T) {
	r := newOptions(t).run(t)
	for _, b := range r.Broken {
		t.Error(b)
	}
}

// TestIdleRunFails injects nothing.
func TestIdleRunFails(t *testing.T) {
	o := newOptions(t)
	o.injectFaults, o.Duration = false, 2*time.Second
	r := o.run(t)
	if len(r.Broken) != 1 || !strings.Contains(r.Broken[0], "idle") {
		t.Errorf("got %v broken, want the run found idle and nothing else", r.Broken)
	}
}

// TestPlantedFaultIsSeen has workers forget ends before they are acknowledged.
func TestPlantedFaultIsSeen(t *testing.T) {
	o := newOptions(t)
	o.autoAcknowledge = true
	for range 5 {
		r := o.run(t)
		if len(r.Broken) > 0 {
			t.Logf("seen with seed %d: %s", o.Seed, r.Broken[0])
			return
		}
		o.Seed++
	}
	t.Error("got no broken promise with 5 seeds, want one")
}

// run runs the site, the callers and the faults, and then expects all work to end.
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
		t.Fatalf("the hosts took no job within %s", startTimeout)
	}
	span, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var g conc.WaitGroup
	g.Go(func() { c.run(span) })
	if o.injectFaults {
		g.Go(func() { f.run(span) })
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

func (o *options) newResult(s *site, c *callers, f *faults, broken []string) *result {
	select {
	case err := <-f.errs:
		broken = append(broken, err.Error())
	default:
	}
	r := &result{
		Seed: o.Seed, Accepted: c.counts.Accepted, Refused: c.counts.Refused, Unknown: c.counts.Unknown, Cancelled: c.counts.Cancelled,
		Starts: s.audit.Starts(), Faults: f.counts, Broken: append(s.audit.Broken(), broken...),
	}
	if f.total() == 0 || r.Starts == 0 || r.Accepted == 0 {
		r.Broken = append(r.Broken, fmt.Sprintf("the run was idle: %d faults, %d jobs accepted, %d starts", f.total(), r.Accepted, r.Starts))
	}
	return r
}
