package store

import (
	"bytes"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/deadline"
)

const (
	// putAttempts bounds the attempts of Put: the write, and reads after ErrUnknown.
	putAttempts = 8
	// putMinPause and putMaxPause bound the pause between attempts, before jitter.
	putMinPause = 20 * time.Millisecond
	putMaxPause = 2 * time.Second
)

// Put writes a key and, if the answer is lost, reads the key to find the outcome. The
// value must be unique among the writers of the key: include a nonce, or a version and
// the writer's name.
//
// The outcomes are those of CompareAndSwap. ErrUnknown remains if no read was answered
// in time, or if another writer has overwritten the key meanwhile, which hides whether
// this write took effect. The clock of the pauses is taken from ctx
// (clockwork.AddToContext).
func Put(ctx context.Context, s Store, w Write) (Revision, error) {
	rev, err := s.CompareAndSwap(ctx, w)
	pauses := newBackOff(putMinPause, putMaxPause)
	for n := 1; isUnknown(err) && n < putAttempts; n++ {
		if n > 1 && deadline.Sleep(ctx, clockwork.FromContext(ctx), pauses.NextBackOff()) != nil {
			return 0, err
		}
		rev, err = Resolve(ctx, s, w)
	}
	return rev, err
}

// Resolve determines the outcome of a write whose answer was lost: it reads the key
// once and, if the key is unchanged, writes again. It does not pause or retry.
// ErrUnknown means that the outcome is still unknown; call Resolve again later.
//
// An unchanged key does not prove that the write failed, since it may still be in
// transit. The second write settles it: both have the same value and expected revision,
// so it does not matter which of the two takes effect, and the other one no longer can.
func Resolve(ctx context.Context, s Store, w Write) (Revision, error) {
	e, err := s.Get(ctx, w.Key)
	if err != nil {
		return 0, unresolved(w.Key, err)
	}
	if matchesWrite(e, w) {
		return e.Revision, nil
	}
	if e.Revision != w.Expect {
		return 0, heatherhub.ErrUnknown.New("key %s was overwritten after the answer to its write was lost: read the key and decide again", w.Key)
	}
	rev, err := s.CompareAndSwap(ctx, w)
	if err == nil || isUnknown(err) {
		return rev, err
	}
	return 0, unresolved(w.Key, err)
}

// matchesWrite reports whether an entry is the result of the write.
func matchesWrite(e Entry, w Write) bool {
	if w.Delete {
		return e.Revision == 0
	}
	return e.Revision != w.Expect && e.Revision != 0 && e.Lease == w.Lease && bytes.Equal(e.Value, w.Value)
}

func isUnknown(err error) bool {
	return heatherhub.CodeOf(err) == heatherhub.CodeUnknown
}

// unresolved returns ErrUnknown for the first write, whatever the error of a later call.
func unresolved(key string, err error) error {
	return heatherhub.ErrUnknown.Wrap(err, "the outcome of the write to %s is unknown: read the key later", key)
}

// newBackOff returns an exponential backoff with the library's jitter of one half.
func newBackOff(initial, maximum time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.MaxInterval = maximum
	return b
}
