package peer

import (
	"bufio"
	"net"
	"sync/atomic"
)

// writeQueueFrames is the number of frames that wait for a connection's writer.
const writeQueueFrames = 256

// States of a frame on its way out.
const (
	frameQueued int32 = iota
	frameWriting
	frameCancelled
)

// outFrame is an encoded frame in the queue of a writer.
type outFrame struct {
	data  []byte
	state atomic.Int32
}

// cancel takes the frame back and reports whether no byte of it was written.
func (o *outFrame) cancel() bool {
	return o.state.CompareAndSwap(frameQueued, frameCancelled) || o.state.Load() == frameCancelled
}

// writer writes frames of one connection in the order of the queue.
type writer struct {
	conn  net.Conn
	queue chan *outFrame
	done  chan struct{}
}

func newWriter(c net.Conn) *writer {
	return &writer{conn: c, queue: make(chan *outFrame, writeQueueFrames), done: make(chan struct{})}
}

// tryEnqueue queues a frame if there is room, without waiting.
func (w *writer) tryEnqueue(o *outFrame) bool {
	select {
	case w.queue <- o:
		return true
	default:
		return false
	}
}

// enqueue queues a frame and reports false if the connection ended before.
func (w *writer) enqueue(o *outFrame) bool {
	select {
	case w.queue <- o:
		return true
	case <-w.done:
		return false
	}
}

// run writes until the connection ends or a write fails.
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
