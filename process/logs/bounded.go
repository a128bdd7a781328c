package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Limits of the line queue.
const (
	// queuedLines is the number of lines that can wait for a slow reader. A busy host
	// writes a few hundred lines a second.
	queuedLines = 2048
	// batchBytes is the size at which a batch of lines is written.
	batchBytes = 32 << 10
	// closeTimeout is how long Close waits for a reader.
	closeTimeout = 300 * time.Millisecond
)

// BoundedWriter writes lines in the background, so that a slow reader never blocks the
// caller. Lines that do not fit in the queue are dropped and counted; a line with the
// count follows when the reader reads again. It is safe for concurrent use until Close.
type BoundedWriter struct {
	out             io.Writer
	lines           chan []byte
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
	closing         sync.Once
	done            chan struct{}
	group           conc.WaitGroup
}

// NewBoundedWriter returns a writer of whole lines to out. Call Close to flush it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	b.group.Go(b.run)
	return b
}

// Write queues a copy of one line. It never blocks and never returns an error.
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

// Dropped returns the number of lines dropped since the writer was created.
func (b *BoundedWriter) Dropped() int64 {
	return b.totalDrops.Load()
}

// Close writes the queued lines, and gives up after closeTimeout if the reader does not
// read. Write must not be called afterwards.
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

// gather appends lines that are already queued, up to batchBytes.
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
