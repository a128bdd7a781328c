package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Tuning holds the delays and thresholds of the engine. Zero values are replaced by
// defaults.
type Tuning struct {
	// Tick is the interval at which Decide is called if no event arrives.
	Tick time.Duration
	// RetryDelay is the delay before a failed long-running task is started again.
	RetryDelay time.Duration
	// StopRetryInterval is the minimum time between two stop orders for the same run.
	StopRetryInterval time.Duration
	// RefusalBackoff is how long a worker gets no tasks after it refused one or a run on
	// it was stopped as stalled or slow.
	RefusalBackoff time.Duration
	// StarvedAfter is how long a filler job may wait with no running task while
	// reserved capacity is low. The default is below the limit of three seconds that
	// such a job may wait.
	StarvedAfter time.Duration
	// MoveAfter is how long work must wait before another shard may run it. The limit
	// for a task is three seconds of waiting while capacity is free.
	MoveAfter time.Duration
	// StallAfter is the minimum time without progress after which a run counts as
	// stalled.
	StallAfter time.Duration
	// StopTime is the time that a stop takes at the worker.
	StopTime time.Duration
	// CheckpointInterval is the time between two checkpoints of a task.
	CheckpointInterval time.Duration
	// RestoreTime is the time that a task takes to continue from a checkpoint.
	RestoreTime time.Duration
}

func (t *Tuning) setDefaults() {
	heatherhub.SetDefault(&t.Tick, 200*time.Millisecond)
	heatherhub.SetDefault(&t.RetryDelay, 100*time.Millisecond)
	heatherhub.SetDefault(&t.StopRetryInterval, 400*time.Millisecond)
	heatherhub.SetDefault(&t.RefusalBackoff, time.Second)
	heatherhub.SetDefault(&t.StarvedAfter, 1500*time.Millisecond)
	heatherhub.SetDefault(&t.MoveAfter, time.Second)
	heatherhub.SetDefault(&t.StallAfter, 2500*time.Millisecond)
	heatherhub.SetDefault(&t.StopTime, 900*time.Millisecond)
	heatherhub.SetDefault(&t.CheckpointInterval, 2*time.Second)
	heatherhub.SetDefault(&t.RestoreTime, 600*time.Millisecond)
}
