package peer

import (
	"bufio"
	"net"
	"sync/atomic"
)

// writeQueueFrames is the capacity of a connection's write queue.
const writeQueueFrames = 256

// States of an outgoing frame.
const (
	frameQueued int32 = iota
	frameWriting
	frameCancelled
)

// outFrame is an encoded frame in the write queue. The writer and the caller race on
// its state, so that a frame is either written or cancelled.
type outFrame struct {
	data  []byte
	state atomic.Int32
}

// cancel marks a queued frame so that the writer skips it, and reports whether no byte
// of it was or will be written.
func (o *outFrame) cancel() bool {
	return o.state.CompareAndSwap(frameQueued, frameCancelled) || o.state.Load() == frameCancelled
}

// writer writes the frames of one connection in queue order. The owner of the
// connection closes done.
type writer struct {
	conn  net.Conn
	queue chan *outFrame
	done  chan struct{}
}

func newWriter(c net.Conn) *writer {
	return &writer{conn: c, queue: make(chan *outFrame, writeQueueFrames), done: make(chan struct{})}
}

// tryEnqueue queues a frame without blocking and reports false if the queue is full.
func (w *writer) tryEnqueue(o *outFrame) bool {
	select {
	case w.queue <- o:
		return true
	default:
		return false
	}
}

// enqueue queues a frame and reports false if the connection is closed first.
func (w *writer) enqueue(o *outFrame) bool {
	select {
	case w.queue <- o:
		return true
	case <-w.done:
		return false
	}
}

// run writes queued frames until the connection is closed or a write fails.
func (w *writer) run() error {
	buf := bufio.NewWriter(w.conn)
	for {
		select {
		case <-w.done:
			return nil
		case o := <-w.queue:
			if err := w.write(buf, o); err != nil {
				return err
			}
		}
	}
}

// write writes a frame unless it was cancelled, and flushes if the queue is empty.
func (w *writer) write(buf *bufio.Writer, o *outFrame) error {
	if o.state.CompareAndSwap(frameQueued, frameWriting) {
		if _, err := buf.Write(o.data); err != nil {
			return err
		}
	}
	if len(w.queue) > 0 {
		return nil
	}
	return buf.Flush()
}
