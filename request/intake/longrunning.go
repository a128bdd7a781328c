package intake

import (
	"hash/fnv"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
)

// Long-running jobs keep what they reserve. While they fill the workers, each burst of batch work
// waits until its value is over, and no order of the waiting work helps. So a long-running job is
// refused if what is left beside it is less than batch work has needed lately, counted over all
// shards, since its tasks move to where room is.

// Retry-After of refused long-running jobs. Room for them becomes free when others end, which is
// rare; the spread keeps their callers from returning together.
const (
	minLongRunningRetry    = 4 * time.Second
	longRunningRetrySpread = 5
)

// leavesRoomForBatch reports whether a long-running job leaves the batch work of the site the room
// that it has needed lately. It does if that is not known of some shard.
func leavesRoomForBatch(flow *heatherhub.Workflow, shards []record.ShardSize, loads map[heatherhub.ShardID]observedLoad, now dispatch.Moment) bool {
	var capacity, longRunning, batch heatherhub.MilliCPU
	for _, size := range shards {
		l, ok := loads[size.Shard]
		if !ok || l.age(now) > maxPartAge {
			return true
		}
		capacity, longRunning, batch = capacity+l.Capacity, longRunning+l.LongRunning, batch+l.BatchPeak
	}
	for i := range flow.Steps {
		longRunning += heatherhub.MilliCPU(flow.Steps[i].Tasks) * flow.Steps[i].Reserved().CPU
	}
	return batch == 0 || longRunning+batch <= capacity
}

// longRunningRetry returns the Retry-After of a refused long-running job.
func longRunningRetry(id heatherhub.JobID) time.Duration {
	f := fnv.New32a()
	_, _ = f.Write([]byte(id))
	return minLongRunningRetry + time.Duration(f.Sum32()%longRunningRetrySpread)*time.Second
}
