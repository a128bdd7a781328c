package memory_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/store/memory"
)

func put(t *testing.T, s *memory.Store, w store.Write) store.Revision {
	t.Helper()
	rev, err := s.CompareAndSwap(t.Context(), w)
	if err != nil {
		t.Fatalf("write of %s: %v", w.Key, err)
	}
	return rev
}

func wantCode(t *testing.T, what string, err error, want heatherhub.Code) {
	t.Helper()
	if got := heatherhub.CodeOf(err); got != want {
		t.Errorf("%s: got %q (%v), want %q", what, got, err, want)
	}
}

func TestCompareAndSwap(t *testing.T) {
	s := memory.New(memory.Config{})
	first := put(t, s, store.Write{Key: "a", Value: []byte("1")})
	_, err := s.CompareAndSwap(t.Context(), store.Write{Key: "a", Value: []byte("2")})
	wantCode(t, "write of an existing key without its revision", err, heatherhub.CodeConflict)
	second := put(t, s, store.Write{Key: "a", Value: []byte("2"), Expect: first})
	put(t, s, store.Write{Key: "a", Expect: second, Delete: true})
	e, err := s.Get(t.Context(), "a")
	if err != nil || e.Revision != 0 || e.Value != nil {
		t.Errorf("deleted key: got %+v and %v, want revision 0", e, err)
	}
	_, err = s.CompareAndSwap(t.Context(), store.Write{Key: "big", Value: make([]byte, store.MaxValueBytes+1)})
	wantCode(t, "value above the limit", err, heatherhub.CodeInvalid)
}

func TestExpiredLeaseDeletesKeys(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := memory.New(memory.Config{Clock: clock})
	id, err := s.GrantLease(t.Context(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	put(t, s, store.Write{Key: "hosts/a", Value: []byte("x"), Lease: id})
	clock.Advance(9 * time.Second)
	wantCode(t, "renewal in time", s.RenewLease(t.Context(), id), heatherhub.CodeOK)
	clock.Advance(9 * time.Second)
	if got, _ := s.List(t.Context(), "hosts/"); len(got) != 1 {
		t.Errorf("before expiry: got %d keys, want 1", len(got))
	}
	clock.Advance(time.Second)
	if got, _ := s.List(t.Context(), "hosts/"); len(got) != 0 {
		t.Errorf("after expiry: got %d keys, want 0", len(got))
	}
	wantCode(t, "renewal after expiry", s.RenewLease(t.Context(), id), heatherhub.CodeNotFound)
	_, err = s.CompareAndSwap(t.Context(), store.Write{Key: "hosts/a", Lease: id})
	wantCode(t, "write with an expired lease", err, heatherhub.CodeNotFound)
}

func TestWatchReturnsWritesAndExpiredKeys(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := memory.New(memory.Config{Clock: clock})
	id, err := s.GrantLease(t.Context(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	rev := put(t, s, store.Write{Key: "hosts/a", Value: []byte("x"), Lease: id})
	var got []store.Entry
	var wg conc.WaitGroup
	wg.Go(func() { got, err = s.Watch(t.Context(), "hosts/", rev) })
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if got, want := s.Counts().Waiting, 1; got != want {
		t.Errorf("waiting watches: got %d, want %d", got, want)
	}
	clock.Advance(10 * time.Second)
	wg.Wait()
	if err != nil || len(got) != 1 || got[0].Key != "hosts/a" || got[0].Value != nil {
		t.Errorf("watch during an expiry: got %+v and %v, want the deleted key hosts/a", got, err)
	}
	put(t, s, store.Write{Key: "hosts/b", Value: []byte("y")})
	put(t, s, store.Write{Key: "hosts/a", Value: []byte("z")})
	got, err = s.Watch(t.Context(), "hosts/", rev)
	if err != nil || len(got) != 2 || got[0].Key != "hosts/b" || got[1].Key != "hosts/a" {
		t.Errorf("watch from an earlier revision: got %+v and %v, want hosts/b and hosts/a by revision", got, err)
	}
}

func TestOutageEndsWatches(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := memory.New(memory.Config{Clock: clock})
	var err error
	var wg conc.WaitGroup
	wg.Go(func() { _, err = s.Watch(t.Context(), "a", 0) })
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	s.SetFaults(memory.Faults{Down: true})
	wg.Wait()
	wantCode(t, "watch in an outage", err, heatherhub.CodeUnavailable)
	_, err = s.Get(t.Context(), "a")
	wantCode(t, "read in an outage", err, heatherhub.CodeUnavailable)
	s.SetFaults(memory.Faults{})
	_, err = s.Get(t.Context(), "a")
	wantCode(t, "read after an outage", err, heatherhub.CodeOK)
}

func TestLostAnswerTakesEffect(t *testing.T) {
	s := memory.New(memory.Config{})
	s.SetFaults(memory.Faults{LoseEvery: 2})
	put(t, s, store.Write{Key: "a", Value: []byte("1")})
	_, err := s.CompareAndSwap(t.Context(), store.Write{Key: "b", Value: []byte("2")})
	wantCode(t, "second write", err, heatherhub.CodeUnknown)
	if e, err := s.Get(t.Context(), "b"); err != nil || string(e.Value) != "2" {
		t.Errorf("after the lost answer: got %q and %v, want 2", e.Value, err)
	}
	if got, want := s.Counts().Lost, 1; got != want {
		t.Errorf("lost answers: got %d, want %d", got, want)
	}
}

func TestDelayedWriteTakesEffectAfterCancellation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := memory.New(memory.Config{Clock: clock})
	s.SetFaults(memory.Faults{Slow: 4 * time.Second})
	ctx, cancel := context.WithCancel(t.Context())
	var err error
	var wg conc.WaitGroup
	wg.Go(func() { _, err = s.CompareAndSwap(ctx, store.Write{Key: "a", Value: []byte("1")}) })
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	cancel()
	wg.Wait()
	wantCode(t, "cancelled write", err, heatherhub.CodeUnknown)
	s.SetFaults(memory.Faults{})
	if e, _ := s.Get(t.Context(), "a"); e.Revision != 0 {
		t.Errorf("before the delay: got revision %d, want 0", e.Revision)
	}
	clock.Advance(2 * time.Second)
	if e, _ := s.Get(t.Context(), "a"); string(e.Value) != "1" {
		t.Errorf("after the delay: got %q, want 1", e.Value)
	}
}

func TestRateLimitRejectsCalls(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := memory.New(memory.Config{Clock: clock, WriteRate: 2})
	put(t, s, store.Write{Key: "a"})
	put(t, s, store.Write{Key: "b"})
	_, err := s.CompareAndSwap(t.Context(), store.Write{Key: "c"})
	wantCode(t, "third write in a second", err, heatherhub.CodeUnavailable)
	if heatherhub.RetryAfter(err) <= 0 {
		t.Errorf("got no retry hint, want one")
	}
	clock.Advance(time.Second)
	put(t, s, store.Write{Key: "c"})
}
