package placement_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
)

// feed reports n noisy periods of a service beside two batch classes, whose
// true effects are the factors for a whole worker.
func feed(b *harness, rng *rand.Rand, n int, video, compute float64) {
	for range n {
		b.now = b.now.Add(5 * time.Second)
		v, k := rng.IntN(3)*1000, rng.IntN(3)*1000
		truth := 0.1 * math.Pow(video, float64(v)/8000) * math.Pow(compute, float64(k)/8000)
		noisy := truth * math.Exp(0.1*rng.NormFloat64())
		b.Observe(b.now, worker.Usage{Worker: "w1", At: b.now, Tasks: []worker.TaskUsage{
			{Task: "svc0", Used: size(500, 1000, 0), Latency: time.Duration(noisy * float64(time.Second)), Requests: 10},
			{Task: "job:video:0", Used: size(int64(v), 1000, 0)},
			{Task: "job:compute:0", Used: size(int64(k), 1000, 0)},
		}})
	}
}

func newInterferenceHarness() *harness {
	b := newHarness(placement.MechanismThrottle, placement.MechanismEviction)
	b.SetSnapshot(b.now, snapshot(func(*heatherhub.Preset) {}))
	b.put("w1", "r1", 8000, 0)
	b.Started(b.now, replicaTask(0), "w1")
	for _, class := range []string{"video", "compute"} {
		task := batchTask(class, 0, size(2000, 1000, 0))
		task.Class = class
		b.Started(b.now, task, "w1")
	}
	return b
}

func near(got, want float64) bool {
	return math.Abs(math.Log(got/want)) < 0.25
}

func TestSlowdownIsLearntForEachPair(t *testing.T) {
	b := newInterferenceHarness()
	unknown := b.Slowdown("compile", "video")
	feed(b, rand.New(rand.NewPCG(1, 1)), 400, 4, 1.2)
	video, compute := b.Slowdown("compile", "video"), b.Slowdown("compile", "compute")
	if !near(video.Factor, 4) || !near(compute.Factor, 1.2) {
		t.Errorf("factors: got video %.2f and compute %.2f, want about 4 and 1.2", video.Factor, compute.Factor)
	}
	if video.Deviation >= unknown.Deviation {
		t.Errorf("deviation: got %.2f, want less than %.2f, that of an unknown pair", video.Deviation, unknown.Deviation)
	}
}

func TestOldSlowdownIsForgotten(t *testing.T) {
	b := newInterferenceHarness()
	rng := rand.New(rand.NewPCG(1, 2))
	feed(b, rng, 400, 4, 1.2)
	b.now = b.now.Add(24 * time.Hour)
	feed(b, rng, 400, 1.2, 4)
	video, compute := b.Slowdown("compile", "video"), b.Slowdown("compile", "compute")
	if !near(video.Factor, 1.2) || !near(compute.Factor, 4) {
		t.Errorf("factors after the change: got video %.2f and compute %.2f, want about 1.2 and 4", video.Factor, compute.Factor)
	}
}
