package ledger_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/shard/ledger"
)

// TestWorkersOutliveTheirSegments guards against a successor that does not know a worker because
// the segment with its record was deleted.
func TestWorkersOutliveTheirSegments(t *testing.T) {
	h := newHarness()
	l := h.open(1, 512)
	at := h.clock.Now().UnixMilli()
	for _, id := range []heatherhub.WorkerID{"w1", "w2"} {
		l.Append(ledger.Record{Kind: ledger.KindWorker, At: at, Worker: id}, false)
	}
	l.Append(ledger.Record{Kind: ledger.KindWorkerGone, At: at, Worker: "w2"}, false)
	h.drain(t, l)
	first, err := h.store.List(t.Context(), prefix)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		id := fmt.Sprintf("job-%d", i)
		addJob(l, h.clock.Now(), id)
		cancel(l, h.clock.Now(), id)
		h.drain(t, l)
	}
	h.clock.Advance(2 * time.Hour)
	for range 2000 {
		h.step(l)
	}
	left, err := h.store.List(t.Context(), prefix)
	if err != nil {
		t.Fatal(err)
	}
	if left[0].Key == first[0].Key {
		t.Errorf("got the first segment %s left, want it deleted", left[0].Key)
	}
	got := slices.Sorted(maps.Keys(h.open(2, 512).State().Workers))
	if want := []heatherhub.WorkerID{"w1"}; !slices.Equal(got, want) {
		t.Errorf("got workers %v after a takeover, want %v", got, want)
	}
}
