package peer_test

import (
	"bytes"
	"testing"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/peer"
)

// FuzzFrame checks that a decoded frame is valid and survives a round trip, and that
// every other input is ErrInvalid.
func FuzzFrame(f *testing.F) {
	const limit = 1_000_000
	valid, err := peer.EncodeFrame(&peer.Frame{Kind: peer.FrameCall, Number: 1, Method: peer.MethodServe, Body: []byte("body")}, limit)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid[4:])
	f.Add([]byte{0xc0})
	f.Add([]byte{0x81, 0xa4, 'b', 'o', 'd', 'y', 0xc6, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, payload []byte) {
		first, err := peer.DecodeFrame(payload)
		if err != nil {
			if got, want := heatherhub.CodeOf(err), heatherhub.CodeInvalid; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			return
		}
		if err := first.Check(); err != nil {
			t.Errorf("decoded frame is not valid: got %v, want no error", err)
		}
		again, err := peer.EncodeFrame(&first, limit)
		if err != nil {
			t.Fatal(err)
		}
		second, err := peer.ReadFrame(bytes.NewReader(again), limit)
		if err != nil || second.Kind != first.Kind || second.Number != first.Number || !bytes.Equal(second.Body, first.Body) {
			t.Errorf("round trip: got %+v and %v, want %+v", second, err, first)
		}
	})
}
