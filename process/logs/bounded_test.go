package logs_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherhub.example/heatherhub/process/logs"
)

// TestStalledReaderDropsLinesWithoutBlocking writes many more lines than the queue holds
// to a pipe that nobody reads. All writes must return, and the number of dropped lines
// must be reported once the pipe is read.
func TestStalledReaderDropsLinesWithoutBlocking(t *testing.T) {
	r, w := io.Pipe()
	b := logs.NewBoundedWriter(w)
	const n = 10_000
	written := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(written)
		for range n {
			if _, err := b.Write([]byte("{\"msg\":\"line\"}\n")); err != nil {
				t.Errorf("got error %v, want none", err)
			}
		}
	})
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("got a blocked writer, want lines dropped")
	}
	if got := b.Dropped(); got == 0 {
		t.Error("got 0 dropped lines, want some")
	}
	var out bytes.Buffer
	wg.Go(func() { _, _ = io.Copy(&out, r) })
	b.Close()
	_ = w.Close()
	wg.Wait()
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Error("got no line on the dropped lines, want one")
	}
	if got, want := strings.Count(out.String(), "\"line\""), n-int(b.Dropped()); got != want {
		t.Errorf("got %d lines, want %d", got, want)
	}
}
