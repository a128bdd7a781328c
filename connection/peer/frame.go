package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
)

// Limits of the frames.
const (
	// DefaultMaxFrameBytes is the largest frame, in bytes, without its length prefix.
	DefaultMaxFrameBytes = 4 << 20
	// MaxMessageBytes is the longest error message in a frame, in bytes.
	MaxMessageBytes = 4 << 10
	// MaxTraceEntries is the largest number of trace headers in a frame.
	MaxTraceEntries = 8
	// prefixBytes is the size of a frame's big-endian length prefix.
	prefixBytes = 4
	// initialBytes is the largest buffer for a frame before any of it has arrived.
	initialBytes = 64 << 10
	// maxHelloBytes is the largest first frame of a connection.
	maxHelloBytes = 4 << 10
	// frameCost is the memory that a byte of a frame takes while it is read, in bytes: the buffer
	// and its copy while it grows.
	frameCost = 3
)

// FrameKind is the type of a frame.
type FrameKind uint8

// Kinds of frames.
const (
	// FrameHello names the sender; it is the first frame of a connection. The server
	// sends one with a code to reject the connection.
	FrameHello FrameKind = iota + 1
	// FrameCall requests an answer.
	FrameCall
	// FrameAnswer answers the call with the same number.
	FrameAnswer
	// FrameCancel cancels the call with the same number. It is idempotent.
	FrameCancel
	// FramePing requests a pong.
	FramePing
	// FramePong answers a ping.
	FramePong
)

// Frame is one message of the peer protocol.
type Frame struct {
	Kind FrameKind `msgpack:"kind"`
	// Number identifies a call, its answer and its cancel. It increases on each
	// connection, so that the server detects a repeated call.
	Number uint64            `msgpack:"number,omitempty"`
	From   heatherhub.HostID `msgpack:"from,omitempty"`
	Method Method            `msgpack:"method,omitempty"`
	// Timeout is the time left until the caller's deadline; zero for no deadline.
	Timeout time.Duration     `msgpack:"timeout,omitempty"`
	Trace   map[string]string `msgpack:"trace,omitempty"`
	Code    heatherhub.Code   `msgpack:"code,omitempty"`
	Message string            `msgpack:"message,omitempty"`
	// RetryAfter is how long the caller should wait before a retry; zero for no hint.
	RetryAfter time.Duration `msgpack:"retryAfter,omitempty"`
	Body       []byte        `msgpack:"body,omitempty"`
}

// Check returns the first violation of the frame format as ErrInvalid.
func (f *Frame) Check() error {
	switch {
	case f.Kind < FrameHello || f.Kind > FramePong:
		return heatherhub.ErrInvalid.New("unknown frame kind %d: check that both run the same version", f.Kind)
	case f.Kind == FrameHello && f.From == "":
		return heatherhub.ErrInvalid.New("hello frame has no sender: set the host id")
	case f.Kind == FrameCall && f.Method == "":
		return heatherhub.ErrInvalid.New("call frame has no method: check that both run the same version")
	case needsNumber(f.Kind) && f.Number == 0:
		return heatherhub.ErrInvalid.New("frame kind %d has no number: number calls from 1", f.Kind)
	case f.Timeout < 0 || f.RetryAfter < 0:
		return heatherhub.ErrInvalid.New("frame has a negative timeout or retry time: send 0 or more")
	case len(f.Message) > MaxMessageBytes || len(f.Trace) > MaxTraceEntries:
		return heatherhub.ErrInvalid.New("frame has an error message or a trace context above the limit: shorten it")
	}
	return nil
}

func needsNumber(k FrameKind) bool {
	return k == FrameCall || k == FrameAnswer || k == FrameCancel
}

// DecodeMsgpack decodes a frame and checks it. f is unchanged on error.
func (f *Frame) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire Frame
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	next := Frame(w)
	if err := next.Check(); err != nil {
		return err
	}
	*f = next
	return nil
}

// EncodeFrame returns a frame with its length prefix. A frame of more than limit
// bytes is ErrInvalid.
func EncodeFrame(f *Frame, limit int) ([]byte, error) {
	buf := bytes.NewBuffer(make([]byte, prefixBytes, prefixBytes+64+len(f.Body)))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	if err := enc.Encode(f); err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot encode a frame")
	}
	out := buf.Bytes()
	n := len(out) - prefixBytes
	if n > limit {
		return nil, heatherhub.ErrInvalid.New("frame has %d bytes, the limit is %d: send a smaller body", n, limit)
	}
	binary.BigEndian.PutUint32(out, uint32(n))
	return out, nil
}

// DecodeFrame decodes one frame without its length prefix. Malformed input is
// ErrInvalid, and so are trailing bytes.
func DecodeFrame(payload []byte) (Frame, error) {
	var f Frame
	if err := heatherhub.Unmarshal(payload, &f); err != nil {
		return Frame{}, heatherhub.ErrInvalid.Wrap(err, "malformed frame: check that both run the same version")
	}
	return f, nil
}

// ReadFrame reads one frame. A frame of more than limit bytes is ErrInvalid and leaves
// the stream unusable. The end of input between two frames is io.EOF.
func ReadFrame(r io.Reader, limit int) (Frame, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return Frame{}, err
	}
	n := int64(binary.BigEndian.Uint32(prefix[:]))
	if n > int64(limit) {
		return Frame{}, heatherhub.ErrInvalid.New("frame has %d bytes, the limit is %d: send smaller frames", n, limit)
	}
	// What has not arrived takes no memory.
	var payload bytes.Buffer
	payload.Grow(int(min(n, initialBytes)) + bytes.MinRead)
	if _, err := io.CopyN(&payload, r, n); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return Frame{}, err
	}
	return DecodeFrame(payload.Bytes())
}
