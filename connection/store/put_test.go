package store_test

import (
	"context"
	"testing"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/store/memory"
)

func wantCode(t *testing.T, what string, err error, want heatherhub.Code) {
	t.Helper()
	if got := heatherhub.CodeOf(err); got != want {
		t.Errorf("%s: got %q (%v), want %q", what, got, err, want)
	}
}

func TestPutResolvesLostAnswers(t *testing.T) {
	s := memory.New(memory.Config{})
	s.SetFaults(memory.Faults{LoseEvery: 1})
	rev, err := store.Put(t.Context(), s, store.Write{Key: "a", Value: []byte("mine")})
	wantCode(t, "write with a lost answer", err, heatherhub.CodeOK)
	if got, want := rev, store.Revision(1); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
	if got, want := s.Counts().Writes, 1; got != want {
		t.Errorf("writes: got %d, want %d", got, want)
	}
	_, err = store.Put(t.Context(), s, store.Write{Key: "a", Expect: rev, Delete: true})
	wantCode(t, "deletion with a lost answer", err, heatherhub.CodeOK)
}

func TestPutReportsConflict(t *testing.T) {
	s := memory.New(memory.Config{})
	if _, err := store.Put(t.Context(), s, store.Write{Key: "a", Value: []byte("other")}); err != nil {
		t.Fatal(err)
	}
	_, err := store.Put(t.Context(), s, store.Write{Key: "a", Value: []byte("mine")})
	wantCode(t, "write after another writer", err, heatherhub.CodeConflict)
}

// firstWriteLost is a store that loses the first write before it takes effect. With
// overwrite, another writer's value takes its place.
type firstWriteLost struct {
	store.Store
	overwrite bool
	writes    int
}

func (d *firstWriteLost) CompareAndSwap(ctx context.Context, w store.Write) (store.Revision, error) {
	d.writes++
	if d.writes > 1 {
		return d.Store.CompareAndSwap(ctx, w)
	}
	if d.overwrite {
		w.Value = []byte("other")
		if _, err := d.Store.CompareAndSwap(ctx, w); err != nil {
			return 0, err
		}
	}
	return 0, heatherhub.ErrUnknown.New("lost")
}

func TestResolve(t *testing.T) {
	cases := []struct {
		name      string
		overwrite bool
		want      heatherhub.Code
	}{
		{"lost write is sent again", false, heatherhub.CodeOK},
		{"another writer's value leaves the outcome unknown", true, heatherhub.CodeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &firstWriteLost{Store: memory.New(memory.Config{}), overwrite: c.overwrite}
			w := store.Write{Key: "a", Value: []byte("mine")}
			_, err := s.CompareAndSwap(t.Context(), w)
			wantCode(t, "first write", err, heatherhub.CodeUnknown)
			_, err = store.Resolve(t.Context(), s, w)
			wantCode(t, "resolution", err, c.want)
		})
	}
}

func TestResolveStaysUnknownInAnOutage(t *testing.T) {
	s := memory.New(memory.Config{})
	s.SetFaults(memory.Faults{Down: true})
	_, err := store.Resolve(t.Context(), s, store.Write{Key: "a", Value: []byte("mine")})
	wantCode(t, "resolution in an outage", err, heatherhub.CodeUnknown)
}
