package record

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
)

// Load is the summary of a shard's load that its owner publishes.
type Load struct {
	Capacity     heatherhub.MilliCPU `msgpack:"c" json:"capacityMilli"`
	Reserved     heatherhub.MilliCPU `msgpack:"r" json:"reservedMilli"`
	FillerDemand heatherhub.MilliCPU `msgpack:"f" json:"fillingMilli"`
	Backlog      time.Duration       `msgpack:"b" json:"backlog"`
	// Waiting counts, by queue, the jobs of the shard that have started no task.
	Waiting map[heatherhub.QueueID]int `msgpack:"w,omitempty" json:"waiting,omitempty"`
	// MovedJobs are waiting jobs that this shard has moved to others lately. They are
	// part of a queue's length until the owner of their new shard has read the move.
	MovedJobs []dispatch.MovedJobs `msgpack:"m,omitempty" json:"movedJobs,omitempty"`
	// BegunGuests are jobs of other shards of which this one has begun a run.
	BegunGuests []heatherhub.JobID `msgpack:"g,omitempty" json:"begunGuests,omitempty"`
	// JobsRead is the revision up to which the owner has read the job records, and
	// JobsReadAge the time since the store last answered its watch of them.
	JobsRead    ledger.Revision `msgpack:"jr" json:"jobsRead"`
	JobsReadAge time.Duration   `msgpack:"ja" json:"jobsReadAge"`
	// Racks are the racks of the shard's workers.
	Racks []heatherhub.Rack `msgpack:"k,omitempty" json:"racks,omitempty"`
	// LargestFree has, by pool, the free resources of the workers with the most free
	// processors, the largest first.
	LargestFree map[heatherhub.PoolID][]heatherhub.Resources `msgpack:"o,omitempty" json:"holes,omitempty"`
	// LargestSpare is LargestFree for fillers, which may also use processors that serving
	// tasks reserve and leave idle.
	LargestSpare map[heatherhub.PoolID][]heatherhub.Resources `msgpack:"i,omitempty" json:"spare,omitempty"`
	// FillerRoom has, by pool and filler image, the most processors that a task may need for
	// a worker to take it. The image "" stands for those that are not listed.
	FillerRoom map[heatherhub.PoolID]map[string]heatherhub.MilliCPU `msgpack:"n,omitempty" json:"fillerRoom,omitempty"`
	// Forecast is how long new jobs are expected to wait, as of At. Owners of earlier versions
	// publish none.
	Forecast *dispatch.Forecast `msgpack:"fc,omitempty" json:"forecast,omitempty"`
	// At is the time at which the load was taken, on the owner's wall clock.
	At time.Time `msgpack:"at" json:"at"`
	// Revision is the revision of the record that a load was read from.
	Revision ledger.Revision `msgpack:"-" json:"revision"`
}

// MaxLargestFree is the maximum number of workers per pool in Load.LargestFree. A load is
// valid for the second until the next one is published, and more workers than this are
// filled within it, so a longer list would not stay true.
const MaxLargestFree = 8

// ReservedShare returns the fraction of the processors that tasks reserve.
func (l *Load) ReservedShare() float64 {
	return float64(l.Reserved) / float64(max(l.Capacity, 1))
}

// Pressure returns the fraction of the processors that is reserved or used by fillers,
// plus the time in seconds that all processors need for the backlog.
func (l *Load) Pressure() float64 {
	cpu := float64(max(l.Capacity, 1))
	return float64(l.Reserved+l.FillerDemand)/cpu + 1000*l.Backlog.Seconds()/cpu
}
