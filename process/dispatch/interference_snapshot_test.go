package dispatch_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
)

// newTwoImages returns a simulation with a serving image that the filler slows down and
// one that it does not, on separate workers. missed counts the samples over the target.
func newTwoImages(t *testing.T, missed *int) *simulation {
	b := newSimulation(t, dispatch.Policy{}, 6)
	b.tail = func(serving string, fillers []string) float64 {
		for _, f := range fillers {
			if serving == "weak" && f == "heavy" {
				*missed++
				return 40
			}
		}
		return 8
	}
	for i, image := range []string{"weak", "strong", "weak", "strong"} {
		s := tasks(4, 3000, time.Second)
		s.LongRunning, s.Image, s.LatencyTarget = true, image, 18*time.Millisecond
		b.add(heatherhub.JobID("serving"+string(rune('0'+i))), s)
		b.decide()
	}
	return b
}

// runFillers submits n filler jobs, 500 ms apart.
func runFillers(b *simulation, n int) {
	filler := tasks(4, 1500, time.Second)
	filler.Filler, filler.Image = true, "heavy"
	for i := range n {
		b.add(heatherhub.JobID("fill"+string(rune('a'+i))), filler)
		b.decide()
		b.advance(500 * time.Millisecond)
	}
}

// TestInterferenceModelSurvivesOwnerChange hands the model of one owner to the
// next. With it, no target is missed; a new owner without it misses some.
func TestInterferenceModelSurvivesOwnerChange(t *testing.T) {
	missed := 0
	first := newTwoImages(t, &missed)
	runFillers(first, 20)
	snapshot := first.e.InterferenceSnapshot()
	missed = 0
	runFillers(newTwoImages(t, &missed), 6)
	without := missed
	missed = 0
	second := newTwoImages(t, &missed)
	second.e.RestoreInterference(snapshot)
	runFillers(second, 6)
	if missed > 0 || without == 0 {
		t.Errorf("got %d samples over target with the restored model and %d without, want none and some", missed, without)
	}
}

// TestShardLearnsFromOthers replays fillers that meet sensitive images first in one shard and
// later in another, which has seen other fillers only.
func TestShardLearnsFromOthers(t *testing.T) {
	missed := 0
	first := newTwoImages(t, &missed)
	runFillers(first, 20)
	snapshot := first.e.InterferenceSnapshot()
	second := newTwoImages(t, &missed)
	other := tasks(4, 1500, time.Second)
	other.Filler, other.Image = true, "light"
	second.add("other", other)
	second.advance(5 * time.Second)
	second.e.AdoptInterference(snapshot)
	missed = 0
	runFillers(second, 6)
	if missed > 0 {
		t.Errorf("got %d samples over target, want none in a shard that learns from another", missed)
	}
	own := second.e.InterferenceSnapshot()
	for range 10 {
		runFillers(second, 4)
	}
	before := second.e.InterferenceSnapshot()
	for i := range snapshot.Pairs {
		snapshot.Pairs[i].Value, snapshot.Pairs[i].Count = 0, 30
	}
	second.e.AdoptInterference(snapshot)
	after := second.e.InterferenceSnapshot()
	if len(own.Pairs) == 0 || len(before.Pairs) != len(after.Pairs) || before.Pairs[0] != after.Pairs[0] {
		t.Errorf("got pairs %v after fewer samples of another shard, want %v as before", after.Pairs, before.Pairs)
	}
}
