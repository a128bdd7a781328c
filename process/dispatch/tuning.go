package dispatch

import "time"

// Tuning holds the delays and thresholds of the decisions. Zero values take the
// defaults.
type Tuning struct {
	// Tick is how often time-based decisions are looked at.
	Tick time.Duration
	// RetryDelay keeps a failed task from failing again at once.
	RetryDelay time.Duration
	// StopRetry is the time between two stops of the same run.
	StopRetry time.Duration
	// RefusalRest keeps tasks away from a worker that refused one.
	RefusalRest time.Duration
	// NoticeTime is how long an earlier owner may act after its first worker has
	// obeyed this one: it polls each worker every second.
	NoticeTime time.Duration
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
	setDefault(&t.Tick, 200*time.Millisecond)
	setDefault(&t.RetryDelay, 100*time.Millisecond)
	setDefault(&t.StopRetry, 400*time.Millisecond)
	setDefault(&t.RefusalRest, time.Second)
	setDefault(&t.NoticeTime, 3*time.Second)
	setDefault(&t.StarvedAfter, 1500*time.Millisecond)
	setDefault(&t.MoveAfter, time.Second)
	setDefault(&t.StallAfter, 2500*time.Millisecond)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
