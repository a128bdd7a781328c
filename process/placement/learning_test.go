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

// reportNoisyUsage sends n reports of a service beside two batch classes. The service's
// latency follows the given slowdowns by each class on all processors, with noise.
func reportNoisyUsage(b *harness, rng *rand.Rand, n int, video, compute float64) {
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

func isNear(got, want float64) bool {
	return math.Abs(math.Log(got/want)) < 0.25
}

func TestSlowdownIsLearnedForEachPair(t *testing.T) {
	b := newInterferenceHarness()
	prior := b.Slowdown("compile", "video")
	reportNoisyUsage(b, rand.New(rand.NewPCG(1, 1)), 400, 4, 1.2)
	video, compute := b.Slowdown("compile", "video"), b.Slowdown("compile", "compute")
	if !isNear(video.Factor, 4) || !isNear(compute.Factor, 1.2) {
		t.Errorf("factors: got video %.2f and compute %.2f, want about 4 and 1.2", video.Factor, compute.Factor)
	}
	if video.Deviation >= prior.Deviation {
		t.Errorf("deviation: got %.2f, want less than %.2f, the prior of an unobserved pair", video.Deviation, prior.Deviation)
	}
}

func TestOldSlowdownIsForgotten(t *testing.T) {
	b := newInterferenceHarness()
	rng := rand.New(rand.NewPCG(1, 2))
	reportNoisyUsage(b, rng, 400, 4, 1.2)
	b.now = b.now.Add(24 * time.Hour)
	reportNoisyUsage(b, rng, 400, 1.2, 4)
	video, compute := b.Slowdown("compile", "video"), b.Slowdown("compile", "compute")
	if !isNear(video.Factor, 1.2) || !isNear(compute.Factor, 4) {
		t.Errorf("factors after the change: got video %.2f and compute %.2f, want about 1.2 and 4", video.Factor, compute.Factor)
	}
}
