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

	// StopTime is the longest time that a worker takes to carry out a stop.
	StopTime time.Duration
	// CheckpointInterval is the time between two checkpoints of a run, and RestoreTime the time
	// that a task takes to continue from one.
	CheckpointInterval, RestoreTime time.Duration
	// RemoteFactor is the factor by which tasks take longer away from the rack of their data
	// or of their group.
	RemoteFactor float64
	// HarmTime is how long a serving task may miss its latency target before the fillers that
	// slow it down must have been limited.
	HarmTime time.Duration
	// PaceTime is the longest time that a worker takes to apply a speed limit.
	PaceTime time.Duration
	// NoticeTime is the longest time for which a task that is not at work counts towards the
	// tasks of its step that may be unavailable.
	NoticeTime time.Duration
	// CancelTime is the time within which the runs of a cancelled job must be over.
	CancelTime time.Duration
	// EvacuateTime is the time after an acknowledged evacuation of a failure domain from which
	// on nothing may start there.
	EvacuateTime time.Duration
}

// Defaults of the settings that a deployment may change.
const (
	DefaultStopTime           = 900 * time.Millisecond
	DefaultCheckpointInterval = 2 * time.Second
	DefaultRestoreTime        = 600 * time.Millisecond
	DefaultRemoteFactor       = 3.0
	DefaultHarmTime           = 4 * time.Second
	DefaultPaceTime           = 100 * time.Millisecond
	DefaultNoticeTime         = 4500 * time.Millisecond
	DefaultCancelTime         = 3 * time.Second
	DefaultEvacuateTime       = 5 * time.Second
)

// SetDefaults replaces zero values by the defaults.
func (t *Tuning) SetDefaults() {
	heatherhub.SetDefault(&t.Tick, 200*time.Millisecond)
	heatherhub.SetDefault(&t.RetryDelay, 100*time.Millisecond)
	heatherhub.SetDefault(&t.StopRetryInterval, 400*time.Millisecond)
	heatherhub.SetDefault(&t.RefusalBackoff, time.Second)
	heatherhub.SetDefault(&t.StarvedAfter, 1500*time.Millisecond)
	heatherhub.SetDefault(&t.MoveAfter, time.Second)
	heatherhub.SetDefault(&t.StallAfter, 2500*time.Millisecond)
	heatherhub.SetDefault(&t.StopTime, DefaultStopTime)
	heatherhub.SetDefault(&t.CheckpointInterval, DefaultCheckpointInterval)
	heatherhub.SetDefault(&t.RestoreTime, DefaultRestoreTime)
	heatherhub.SetDefault(&t.RemoteFactor, DefaultRemoteFactor)
	heatherhub.SetDefault(&t.HarmTime, DefaultHarmTime)
	heatherhub.SetDefault(&t.PaceTime, DefaultPaceTime)
	heatherhub.SetDefault(&t.NoticeTime, DefaultNoticeTime)
	heatherhub.SetDefault(&t.CancelTime, DefaultCancelTime)
	heatherhub.SetDefault(&t.EvacuateTime, DefaultEvacuateTime)
}
