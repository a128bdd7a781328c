package heatherhub

import (
	"bytes"
	"cmp"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is the maximum nesting depth of arrays and maps in a message.
const maxDepth = 32

// Unmarshal decodes msgpack from outside the process into the value that out
// points to. It returns ErrInvalid if the input is malformed, and rejects input
// that the msgpack library doesn't handle safely:
//
//   - nil in place of a value, which bypasses the value's validation;
//   - nil in place of a time or a validated element, which makes the library panic;
//   - lengths beyond the end of the message, which the library allocates;
//   - unlimited nesting, which overflows the stack;
//   - trailing bytes after the value.
func Unmarshal(data []byte, out any) (err error) {
	if len(data) > 0 && data[0] == msgpcode.Nil {
		return ErrInvalid.New("the message is nil: send a value")
	}
	defer func() {
		if p := recover(); p != nil {
			err = ErrInvalid.New("the message is malformed: %v", p)
		}
	}()
	if err := checkStructure(data); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(data, out); err != nil {
		return ErrInvalid.Wrap(err, "the message is malformed")
	}
	return nil
}

// checkStructure checks the lengths and nesting of the single value in data
// without decoding it.
func checkStructure(data []byte) error {
	r := bytes.NewReader(data)
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(r)
	// remaining counts the values yet to be read at each depth.
	remaining := []int{1}
	for len(remaining) > 0 {
		last := len(remaining) - 1
		if remaining[last] == 0 {
			remaining = remaining[:last]
			continue
		}
		remaining[last]--
		n, err := checkValue(d, r)
		if err != nil {
			return ErrInvalid.Wrap(err, "the message is malformed")
		}
		if n > r.Len() || len(remaining) > maxDepth {
			return ErrInvalid.New("the message is malformed: %d values at depth %d", n, len(remaining))
		}
		remaining = append(remaining, n)
	}
	if n := r.Len(); n > 0 {
		return ErrInvalid.New("the message has %d trailing bytes: send one value", n)
	}
	return nil
}

// checkValue skips one scalar value, or the header of an array or a map, and
// returns the number of values that it contains.
func checkValue(d *msgpack.Decoder, r *bytes.Reader) (int, error) {
	code, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		return d.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		n, err := d.DecodeMapLen()
		return 2 * n, err
	case msgpcode.IsString(code), msgpcode.IsBin(code):
		n, err := d.DecodeBytesLen()
		return 0, cmp.Or(err, skipBytes(r, n))
	case msgpcode.IsExt(code):
		_, n, err := d.DecodeExtHeader()
		return 0, cmp.Or(err, skipBytes(r, n))
	default:
		return 0, d.Skip()
	}
}

// skipBytes seeks past n bytes. The library's own skip would allocate a buffer of n
// bytes and keep it for later messages.
func skipBytes(r *bytes.Reader, n int) error {
	if n > r.Len() {
		return io.ErrUnexpectedEOF
	}
	_, err := r.Seek(int64(n), io.SeekCurrent)
	return err
}
