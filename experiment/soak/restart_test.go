package soak_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// TestHostStartsOnceWhenFaultsEndTogether guards against a second process of a host, which
// nothing stops, when several faults of the host end at the same time.
func TestHostStartsOnceWhenFaultsEndTogether(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "host.sh")
	if err := os.WriteFile(binary, []byte("#!/bin/sh\necho started\nexec sleep 5\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	var g conc.WaitGroup
	p := &process{name: "host", binary: binary, logPath: filepath.Join(dir, "host.log"), group: &g}
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	p.kill()
	if err := os.Remove(p.logPath); err != nil {
		t.Fatal(err)
	}
	var faults conc.WaitGroup
	for range 8 {
		faults.Go(func() {
			if err := p.ensureRunning(); err != nil {
				t.Error(err)
			}
		})
	}
	faults.Wait()
	starts := func() int {
		log, _ := os.ReadFile(p.logPath)
		return strings.Count(string(log), "started")
	}
	waitUntil(t.Context(), time.Now().Add(5*time.Second), func() bool { return starts() > 0 })
	p.kill()
	g.Wait()
	if got := starts(); got != 1 {
		t.Errorf("got %d starts, want 1", got)
	}
}
