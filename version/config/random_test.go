package config_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/version/config"
)

// fault is the fault that is injected into one call of the store.
type fault string

const (
	faultNone         fault = "none"
	faultRefused      fault = "refused"
	faultLostRequest  fault = "lostRequest"
	faultLostResponse fault = "lostResponse"
	// faultDelayed delays a write until some later call. It then takes effect if its
	// precondition still holds.
	faultDelayed fault = "delayed"
	// faultConcurrentEdit lets another operator edit before the write.
	faultConcurrentEdit fault = "concurrentEdit"
)

// faultyStore draws a random fault for each call.
type faultyStore struct {
	store.Store
	t *rapid.T
	// delayed holds the writes that have not been executed yet, oldest first.
	delayed        []store.Write
	concurrentEdit func()
}

func (f *faultyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	f.executeSomeDelayed()
	if rapid.IntRange(0, 9).Draw(f.t, "read") == 0 {
		return store.Entry{}, heatherhub.ErrUnavailable.New("outage")
	}
	return f.Store.Get(ctx, key)
}

func (f *faultyStore) CompareAndSwap(ctx context.Context, w store.Write) (store.Revision, error) {
	f.executeSomeDelayed()
	lost := heatherhub.ErrUnknown.New("the response was lost")
	switch rapid.SampledFrom([]fault{faultNone, faultNone, faultRefused, faultLostRequest, faultLostResponse, faultDelayed, faultConcurrentEdit}).Draw(f.t, "write") {
	case faultRefused:
		return 0, heatherhub.ErrUnavailable.New("outage")
	case faultLostRequest:
		return 0, lost
	case faultLostResponse:
		_, _ = f.Store.CompareAndSwap(ctx, w)
		return 0, lost
	case faultDelayed:
		f.delayed = append(f.delayed, w)
		return 0, lost
	case faultConcurrentEdit:
		f.concurrentEdit()
	}
	return f.Store.CompareAndSwap(ctx, w)
}

// executeSomeDelayed executes a random number of delayed writes.
func (f *faultyStore) executeSomeDelayed() {
	for len(f.delayed) > 0 && rapid.Bool().Draw(f.t, "arrives") {
		f.executeDelayed()
	}
}

// executeDelayed executes the oldest delayed write.
func (f *faultyStore) executeDelayed() {
	_, _ = f.Store.CompareAndSwap(context.Background(), f.delayed[0])
	f.delayed = f.delayed[1:]
}

// history records the configurations that the hosts have activated.
type history struct {
	t        *rapid.T
	contents map[heatherhub.Version]string
}

// observe checks that the versions of a host increase and that all hosts have the same
// content for a version.
func (h *history) observe(k *config.Keeper) {
	last := heatherhub.Version(0)
	k.OnChange(func(s *heatherhub.Snapshot) {
		if s.Version <= last {
			h.t.Errorf("got version %d after %d, want a higher one", s.Version, last)
		}
		last = s.Version
		content := fmt.Sprint(s.Presets, s.InForce)
		if want, ok := h.contents[s.Version]; ok && content != want {
			h.t.Errorf("got %s for version %d, want %s as on another host", content, s.Version, want)
		}
		h.contents[s.Version] = content
	})
}

// TestEditsUnderRandomFaults checks that a confirmed edit is in the final configuration
// exactly once, that a rejected edit never takes effect, and that every edit returns one
// of the documented outcomes.
func TestEditsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faultyStore{Store: memory.New(memory.Config{}), t: t}
		h := &history{t: t, contents: make(map[heatherhub.Version]string)}
		var keepers []*config.Keeper
		for range 3 {
			k := config.New(config.Config{Store: f, Clock: clockwork.NewFakeClock()})
			h.observe(k)
			keepers = append(keepers, k)
		}
		outcomes := make(map[heatherhub.PresetID]heatherhub.Code)
		edits, depth := 0, 0
		edit := func() {
			k := rapid.SampledFrom(keepers).Draw(t, "host")
			if rapid.Bool().Draw(t, "refresh") {
				_ = k.Refresh(t.Context())
			}
			id := heatherhub.PresetID(fmt.Sprint("p", edits))
			edits++
			_, err := k.Edit(t.Context(), k.Current().Version, addPreset(id))
			outcomes[id] = heatherhub.CodeOf(err)
		}
		f.concurrentEdit = func() {
			// A concurrent edit may draw this fault itself; the depth limits the nesting.
			if depth++; depth <= 2 {
				edit()
			}
			depth--
		}
		for range rapid.IntRange(1, 12).Draw(t, "edits") {
			edit()
		}
		for len(f.delayed) > 0 {
			f.executeDelayed()
		}
		last := config.New(config.Config{Store: f.Store, Clock: clockwork.NewFakeClock()})
		h.observe(last)
		if err := last.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		checkOutcomes(t, last.Current(), outcomes)
	})
}

func checkOutcomes(t *rapid.T, s *heatherhub.Snapshot, outcomes map[heatherhub.PresetID]heatherhub.Code) {
	count := make(map[heatherhub.PresetID]int)
	for _, p := range s.Presets {
		count[p.ID]++
	}
	for id, code := range outcomes {
		switch code {
		case heatherhub.CodeOK:
			if count[id] != 1 {
				t.Errorf("got confirmed edit %s %d times, want once", id, count[id])
			}
		case heatherhub.CodeConflict, heatherhub.CodeUnavailable:
			if count[id] != 0 {
				t.Errorf("got edit %s in the configuration after %q, want no effect", id, code)
			}
		case heatherhub.CodeUnknown:
		default:
			t.Errorf("got outcome %q of edit %s, want confirmed, conflict, unavailable or unknown", code, id)
		}
	}
}
