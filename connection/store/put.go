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
	// putAttempts bounds how often Put reads back a write of unknown outcome.
	putAttempts = 8
	// putMinPause and putMaxPause bound the pause between two attempts.
	putMinPause = 20 * time.Millisecond
	putMaxPause = 2 * time.Second
)

// Put writes a key and resolves a lost answer by reading back. The value must
// differ from every other writer's value for the key: put a nonce of the writer
// into it, or a version and the writer's name.
//
// The outcomes are those of CompareAndSwap. ErrUnknown remains if the store did
// not answer the read-back in time, or if another writer has overwritten the key
// meanwhile, so that nobody can tell whether this write was there before. The
// clock of the pauses is taken from ctx (clockwork.AddToContext).
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

// Resolve finds out the outcome of a write whose answer was lost: it reads back
// once and, if the key is unchanged, writes again. It does not wait. ErrUnknown
// says that the outcome is still open; call it again later.
//
// A key that is unchanged proves nothing by itself, since the lost write may
// still be under way. Writing again with the same expected revision settles it:
// one of the two takes effect, and both have the same value.
func Resolve(ctx context.Context, s Store, w Write) (Revision, error) {
	e, err := s.Get(ctx, w.Key)
	if err != nil {
		return 0, unresolved(w.Key, err)
	}
	if matchesWrite(e, w) {
		return e.Revision, nil
	}
	if e.Revision != w.Expect {
		return 0, heatherhub.ErrUnknown.New("key %s was overwritten after its answer was lost: read it and decide again", w.Key)
	}
	rev, err := s.CompareAndSwap(ctx, w)
	if err == nil || isUnknown(err) {
		return rev, err
	}
	return 0, unresolved(w.Key, err)
}

// matchesWrite reports whether an entry is what the write has made.
func matchesWrite(e Entry, w Write) bool {
	if w.Delete {
		return e.Revision == 0
	}
	return e.Revision != w.Expect && e.Revision != 0 && e.Lease == w.Lease && bytes.Equal(e.Value, w.Value)
}

func isUnknown(err error) bool {
	return heatherhub.CodeOf(err) == heatherhub.CodeUnknown
}

// unresolved keeps the doubt about the first write, whatever a later call says.
func unresolved(key string, err error) error {
	return heatherhub.ErrUnknown.Wrap(err, "the outcome of the write to %s is open: read it back later", key)
}

func newBackOff(initial, maximum time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.MaxInterval = maximum
	return b
}
