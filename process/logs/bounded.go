package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Bounds of the queue of lines.
const (
	// queuedLines is how many lines wait for a slow reader; a busy host writes a few
	// hundred a second.
	queuedLines = 2048
	// batchBytes is what is written at once.
	batchBytes = 32 << 10
	// closeTimeout bounds the wait for a reader at the end of the process.
	closeTimeout = 300 * time.Millisecond
)

// BoundedWriter writes lines in the background. A reader that stops reading costs lines,
// never time: what does not fit is dropped, counted, and reported in a line of its
// own when the reader reads again.
type BoundedWriter struct {
	out             io.Writer
	lines           chan []byte
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
	closing         sync.Once
	done            chan struct{}
	group           conc.WaitGroup
}

// NewBoundedWriter returns a writer of whole lines to out. Close it at the end.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	b.group.Go(b.run)
	return b
}

// Write queues one line. It never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case b.lines <- copied:
	default:
		b.unreportedDrops.Add(1)
		b.totalDrops.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (b *BoundedWriter) Dropped() int64 {
	return b.totalDrops.Load()
}

// Close writes what is queued, unless the reader does not read in time.
func (b *BoundedWriter) Close() {
	b.closing.Do(func() { close(b.lines) })
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	var batch []byte
	for line := range b.lines {
		batch = append(batch[:0], line...)
		batch = b.gather(batch)
		if n := b.unreportedDrops.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"time\":%q,\"msg\":\"log lines dropped\",\"count\":%d}\n", time.Now().UTC().Format(time.RFC3339Nano), n)
		}
		if _, err := b.out.Write(batch); err != nil {
			b.unreportedDrops.Add(1)
			b.totalDrops.Add(1)
		}
	}
}

// gather adds the lines that wait already, up to the size of a batch.
func (b *BoundedWriter) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line, ok := <-b.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
