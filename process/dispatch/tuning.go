package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Tuning holds the delays and thresholds of the decisions. Zero values take the
// defaults.
type Tuning struct {
	// Tick is how often time-based decisions are looked at.
	Tick time.Duration
	// RetryDelay keeps a failed task from failing again at once.
	RetryDelay time.Duration
	// StopRetryInterval is the time between two stops of the same run.
	StopRetryInterval time.Duration
	// RefusalBackoff keeps tasks away from a worker that refused one.
	RefusalBackoff time.Duration
	// FencingGrace is how long an earlier owner may act after its first worker has
	// obeyed this one: it polls each worker every second.
	FencingGrace time.Duration
	// StarvedAfter is how long a job may wait with nothing running while the workers
	// are half empty; three seconds are allowed.
	StarvedAfter time.Duration
	// MoveAfter is how long work waits before another shard may run it. A task may
	// rest for three seconds where there is room.
	MoveAfter time.Duration
	// StallAfter is the least time without progress after which a run counts as
	// standing still.
	StallAfter time.Duration
}

func (t *Tuning) setDefaults() {
	heatherhub.SetDefault(&t.Tick, 200*time.Millisecond)
	heatherhub.SetDefault(&t.RetryDelay, 100*time.Millisecond)
	heatherhub.SetDefault(&t.StopRetryInterval, 400*time.Millisecond)
	heatherhub.SetDefault(&t.RefusalBackoff, time.Second)
	heatherhub.SetDefault(&t.FencingGrace, 3*time.Second)
	heatherhub.SetDefault(&t.StarvedAfter, 1500*time.Millisecond)
	heatherhub.SetDefault(&t.MoveAfter, time.Second)
	heatherhub.SetDefault(&t.StallAfter, 2500*time.Millisecond)
}
