package config_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/version/config"
)

// fakeStore holds one key. Its hooks inject faults.
type fakeStore struct {
	store.Store
	mu    sync.Mutex
	entry store.Entry
	// beforeWrite runs before a write, without the lock. If it fails, nothing is written.
	beforeWrite func() error
	// afterWrite returns the error for a write that took effect. It runs with the lock.
	afterWrite func() error
	readError  error
	watchError error
	// watched wakes up the waiting watch.
	watched chan struct{}
}

func (f *fakeStore) Get(_ context.Context, _ string) (store.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entry, f.readError
}

func (f *fakeStore) CompareAndSwap(_ context.Context, w store.Write) (store.Revision, error) {
	if f.beforeWrite != nil {
		if err := f.beforeWrite(); err != nil {
			return 0, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.Expect != f.entry.Revision {
		return 0, heatherhub.ErrConflict.New("revision %d", f.entry.Revision)
	}
	f.entry = store.Entry{Key: w.Key, Value: w.Value, Revision: w.Expect + 1}
	if f.afterWrite != nil {
		if err := f.afterWrite(); err != nil {
			return 0, err
		}
	}
	return f.entry.Revision, nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after store.Revision) ([]store.Entry, error) {
	if f.watchError != nil {
		return nil, f.watchError
	}
	if e := f.newer(after); e != nil {
		return e, nil
	}
	select {
	case <-f.watched:
		return f.newer(after), nil
	case <-ctx.Done():
		return nil, heatherhub.ErrUnavailable.New("cancelled")
	}
}

// newer returns the entry if its revision is higher than after.
func (f *fakeStore) newer(after store.Revision) []store.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entry.Revision <= after {
		return nil
	}
	return []store.Entry{f.entry}
}

func newKeeper(f *fakeStore) *config.Keeper {
	return config.New(config.Config{Store: f, Clock: clockwork.NewFakeClock()})
}

func addPreset(id heatherhub.PresetID) func(*heatherhub.Snapshot) error {
	return func(s *heatherhub.Snapshot) error {
		s.Presets = append(s.Presets, heatherhub.Preset{ID: id})
		if s.InForce == "" {
			s.InForce = id
		}
		return nil
	}
}

func lostResponse() error {
	return heatherhub.ErrUnknown.New("the response was lost")
}

// failFirst returns a hook whose first n calls fail.
func failFirst(n int, failure func() error) func() error {
	return func() error {
		if n == 0 {
			return nil
		}
		n--
		return failure()
	}
}

func TestEditOutcomes(t *testing.T) {
	outage := func() error { return heatherhub.ErrUnavailable.New("outage") }
	tests := []struct {
		name        string
		prepare     func(f *fakeStore, other *config.Keeper)
		expect      heatherhub.Version
		change      func(*heatherhub.Snapshot) error
		want        heatherhub.Code
		wantVersion heatherhub.Version // version in the store, read by a third host
		wantPresets int
	}{
		{name: "no fault", prepare: func(*fakeStore, *config.Keeper) {}, expect: 1, want: heatherhub.CodeOK, wantVersion: 2, wantPresets: 2},
		{name: "stale version", prepare: func(*fakeStore, *config.Keeper) {}, expect: 0, want: heatherhub.CodeConflict, wantVersion: 1, wantPresets: 1},
		{
			name:    "lost response after the write took effect",
			prepare: func(f *fakeStore, _ *config.Keeper) { f.afterWrite = failFirst(1, lostResponse) },
			expect:  1, want: heatherhub.CodeOK, wantVersion: 2, wantPresets: 2,
		},
		{
			name:    "lost request",
			prepare: func(f *fakeStore, _ *config.Keeper) { f.beforeWrite = failFirst(1, lostResponse) },
			expect:  1, want: heatherhub.CodeOK, wantVersion: 2, wantPresets: 2,
		},
		{
			name: "lost response, then another operator edits on top",
			prepare: func(f *fakeStore, other *config.Keeper) {
				f.afterWrite = failFirst(1, func() error {
					f.mu.Unlock()
					defer f.mu.Lock()
					_, err := other.Edit(t.Context(), 2, addPreset("theirs"))
					if err != nil {
						t.Error(err)
					}
					return lostResponse()
				})
			},
			expect: 1, want: heatherhub.CodeOK, wantVersion: 3, wantPresets: 3,
		},
		{
			name: "another operator edits between the read and the write",
			prepare: func(f *fakeStore, other *config.Keeper) {
				f.beforeWrite = failFirst(1, func() error {
					if _, err := other.Edit(t.Context(), 1, addPreset("theirs")); err != nil {
						t.Error(err)
					}
					return nil
				})
			},
			expect: 1, want: heatherhub.CodeConflict, wantVersion: 2, wantPresets: 2,
		},
		{
			name:    "outage before the read",
			prepare: func(f *fakeStore, _ *config.Keeper) { f.readError = outage() },
			expect:  1, want: heatherhub.CodeUnavailable, wantVersion: 1, wantPresets: 1,
		},
		{
			name:    "outage before the write",
			prepare: func(f *fakeStore, _ *config.Keeper) { f.beforeWrite = outage },
			expect:  1, want: heatherhub.CodeUnavailable, wantVersion: 1, wantPresets: 1,
		},
		{
			name: "lost response, then an outage",
			prepare: func(f *fakeStore, _ *config.Keeper) {
				f.afterWrite = func() error { f.readError = outage(); return lostResponse() }
			},
			expect: 1, want: heatherhub.CodeUnknown, wantVersion: 2, wantPresets: 2,
		},
		{
			name: "lost response, then the store refuses writes",
			prepare: func(f *fakeStore, _ *config.Keeper) {
				calls := 0
				f.beforeWrite = func() error {
					calls++
					if calls == 1 {
						return lostResponse()
					}
					return outage()
				}
			},
			expect: 1, want: heatherhub.CodeUnknown, wantVersion: 1, wantPresets: 1,
		},
		{
			name:    "invalid change",
			prepare: func(*fakeStore, *config.Keeper) {},
			expect:  1, change: func(s *heatherhub.Snapshot) error { s.InForce = "none"; return nil },
			want: heatherhub.CodeInvalid, wantVersion: 1, wantPresets: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeStore{}
			k, other := newKeeper(f), newKeeper(f)
			if _, err := other.Edit(t.Context(), 0, addPreset("ordinary")); err != nil {
				t.Fatal(err)
			}
			tt.prepare(f, other)
			change := tt.change
			if change == nil {
				change = addPreset("ours")
			}
			_, err := k.Edit(t.Context(), tt.expect, change)
			if got := heatherhub.CodeOf(err); got != tt.want {
				t.Errorf("got code %q (%v), want %q", got, err, tt.want)
			}
			f.readError, f.beforeWrite, f.afterWrite = nil, nil, nil
			third := newKeeper(f)
			if err := third.Refresh(t.Context()); err != nil {
				t.Fatal(err)
			}
			s := third.Current()
			if s.Version != tt.wantVersion || len(s.Presets) != tt.wantPresets {
				t.Errorf("got version %d with %d presets, want %d with %d", s.Version, len(s.Presets), tt.wantVersion, tt.wantPresets)
			}
		})
	}
}

// TestEditAsTakesEffectOnce repeats an edit with the same id.
func TestEditAsTakesEffectOnce(t *testing.T) {
	f := &fakeStore{}
	k := newKeeper(f)
	for range 2 {
		s, err := k.EditAs(t.Context(), "e1", 0, addPreset("ordinary"))
		if err != nil {
			t.Fatal(err)
		}
		if s.Version != 1 || len(s.Presets) != 1 {
			t.Errorf("got version %d with %d presets, want 1 with 1", s.Version, len(s.Presets))
		}
	}
}

// TestConcurrentOperatorsLoseNoEdit lets operators on different hosts edit at the same
// time and retry after conflicts.
func TestConcurrentOperatorsLoseNoEdit(t *testing.T) {
	const operators, edits = 4, 10
	f := &fakeStore{}
	var group conc.WaitGroup
	for o := range operators {
		k := newKeeper(f)
		group.Go(func() {
			for i := range edits {
				id := heatherhub.PresetID(fmt.Sprintf("p%d-%d", o, i))
				for {
					_, err := k.Edit(t.Context(), k.Current().Version, addPreset(id))
					if err == nil {
						break
					}
					if got, want := heatherhub.CodeOf(err), heatherhub.CodeConflict; got != want {
						t.Errorf("got %v, want a conflict", err)
						return
					}
				}
			}
		})
	}
	group.Wait()
	k := newKeeper(f)
	if err := k.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got, want := len(k.Current().Presets), operators*edits; got != want {
		t.Errorf("got %d presets, want %d", got, want)
	}
	if got, want := k.Current().Version, heatherhub.Version(operators*edits); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

func TestOfferActivatesOnlyNewerAndValid(t *testing.T) {
	k := newKeeper(&fakeStore{})
	var activated []heatherhub.Version
	k.OnChange(func(s *heatherhub.Snapshot) { activated = append(activated, s.Version) })
	offers := []struct {
		snapshot *heatherhub.Snapshot
		want     bool
	}{
		{&heatherhub.Snapshot{Version: 5}, true},
		{&heatherhub.Snapshot{Version: 5}, false},
		{&heatherhub.Snapshot{Version: 4}, false},
		{&heatherhub.Snapshot{Version: 9, Presets: []heatherhub.Preset{{ID: "a"}}, InForce: "b"}, false},
		{nil, false},
		{&heatherhub.Snapshot{Version: 6}, true},
	}
	for i, o := range offers {
		if got := k.Offer(o.snapshot); got != o.want {
			t.Errorf("offer %d: got %v, want %v", i, got, o.want)
		}
	}
	if got, want := fmt.Sprint(activated), "[5 6]"; got != want {
		t.Errorf("got changes %s, want %s", got, want)
	}
}

// TestInvalidRecordIsIgnoredAndCanBeReplaced checks that an undecodable value in the
// store leaves the active configuration unchanged, and that the next edit replaces it.
func TestInvalidRecordIsIgnoredAndCanBeReplaced(t *testing.T) {
	f := &fakeStore{}
	k := newKeeper(f)
	if _, err := k.Edit(t.Context(), 0, addPreset("ordinary")); err != nil {
		t.Fatal(err)
	}
	f.entry.Value = []byte("garbage")
	f.entry.Revision++
	if err := k.Refresh(t.Context()); heatherhub.CodeOf(err) != heatherhub.CodeInvalid {
		t.Errorf("got %v, want an invalid value", err)
	}
	if got, want := k.Current().Version, heatherhub.Version(1); got != want {
		t.Errorf("got active version %d, want %d", got, want)
	}
	s, err := k.Edit(t.Context(), 1, addPreset("peak"))
	if err != nil || s.Version != 2 {
		t.Errorf("got %v, %v, want version 2", s, err)
	}
}

// TestRunActivatesChange checks that a change is activated by the waiting watch, and by
// the next watch or a periodic read if the faster ways fail.
func TestRunActivatesChange(t *testing.T) {
	tests := []struct {
		name string
		// isSignalled means that the waiting watch returns the change.
		isSignalled bool
		watchError  error
		// within is the time after which the change must be active.
		within time.Duration
	}{
		{name: "by the waiting watch", isSignalled: true},
		{name: "by the next watch, if the first has stopped responding", within: 3 * config.DefaultWatchTimeout / 2},
		{name: "by a periodic read, if watches fail", watchError: heatherhub.ErrUnavailable.New("no watches"), within: 3 * config.DefaultRefreshInterval / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeStore{watched: make(chan struct{}, 1), watchError: tt.watchError}
			clock := clockwork.NewFakeClock()
			k := config.New(config.Config{Store: f, Clock: clock, Jitter: func() float64 { return 1 }})
			changed := make(chan heatherhub.Version, 1)
			k.OnChange(func(s *heatherhub.Snapshot) { changed <- s.Version })
			ctx, cancel := context.WithCancel(t.Context())
			var group conc.WaitGroup
			defer group.Wait()
			defer cancel()
			group.Go(func() { k.Run(ctx) })
			// Two timers: the delay until the next read, and the watch's timeout or retry delay.
			if err := clock.BlockUntilContext(ctx, 2); err != nil {
				t.Fatal(err)
			}
			if _, err := newKeeper(f).Edit(ctx, 0, addPreset("ordinary")); err != nil {
				t.Fatal(err)
			}
			if tt.isSignalled {
				f.watched <- struct{}{}
			} else {
				clock.Advance(tt.within)
			}
			select {
			case got := <-changed:
				if got != 1 {
					t.Errorf("got version %d, want 1", got)
				}
			case <-time.After(10 * time.Second):
				t.Error("got no change, want version 1")
			}
		})
	}
}
