package dispatch_test

import (
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
)

// twoImages has a serving image that a filler disturbs and one that it does not, on
// workers of their own. The figures over the target are counted.
func twoImages(t *testing.T, missed *int) *bench {
	b := newBench(t, dispatch.Policy{}, 6)
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

func fillersOn(b *bench, n int) {
	filler := tasks(4, 1500, time.Second)
	filler.Filler, filler.Image = true, "heavy"
	for i := range n {
		b.add(heatherhub.JobID("fill"+string(rune('a'+i))), filler)
		b.decide()
		b.play(500 * time.Millisecond)
	}
}

// TestLearntOutlivesTheOwner replays owners that change: the second has what the first
// has learnt, and disturbs nobody where one that knows nothing does.
func TestLearntOutlivesTheOwner(t *testing.T) {
	missed := 0
	first := twoImages(t, &missed)
	fillersOn(first, 20)
	learnt := first.e.InterferenceSnapshot()
	missed = 0
	fillersOn(twoImages(t, &missed), 6)
	without := missed
	missed = 0
	second := twoImages(t, &missed)
	second.e.RestoreInterference(learnt)
	fillersOn(second, 6)
	if missed > 0 || without == 0 {
		t.Errorf("got %d figures over target with what was learnt and %d without, want none and some", missed, without)
	}
}
