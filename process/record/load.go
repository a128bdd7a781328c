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
	// LongRunning is the part of Reserved that long-running tasks reserve, and BatchPeak the most
	// processors that batch tasks have reserved or waited for lately.
	LongRunning heatherhub.MilliCPU `msgpack:"lr,omitempty" json:"longRunningMilli,omitempty"`
	BatchPeak   heatherhub.MilliCPU `msgpack:"bp,omitempty" json:"batchPeakMilli,omitempty"`
	Backlog     time.Duration       `msgpack:"b" json:"backlog"`
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
	// OwnerRevision is the revision of the owner's claim to the shard. Owners of earlier versions,
	// which do not read the progress of jobs that arrive by a move, leave it out.
	OwnerRevision ledger.Revision `msgpack:"or,omitempty" json:"ownerRevision,omitempty"`
	// Racks are the racks of the shard's workers.
	Racks []heatherhub.Rack `msgpack:"k,omitempty" json:"racks,omitempty"`
	// Kinds are the kinds of workers that the shard has. Owners of earlier versions publish none, nor do those of shards
	// with very many kinds.
	Kinds []dispatch.WorkerKind `msgpack:"wk,omitempty" json:"kinds,omitempty"`
	// EvacuatedPools are the pools with a worker in an evacuated failure domain, and
	// PoolsInService, while any domain is evacuated, those with a worker in another one that
	// does not drain.
	EvacuatedPools []heatherhub.PoolID `msgpack:"ep,omitempty" json:"evacuatedPools,omitempty"`
	PoolsInService []heatherhub.PoolID `msgpack:"ps,omitempty" json:"poolsInService,omitempty"`
	// LargestFree has, by pool, the free resources of up to MaxLargestFree workers with the most
	// free processors, the largest first.
	LargestFree map[heatherhub.PoolID][]Room `msgpack:"o,omitempty" json:"holes,omitempty"`
	// LargestSpare is LargestFree for fillers, which may also use processors that serving
	// tasks reserve and leave idle.
	LargestSpare map[heatherhub.PoolID][]Room `msgpack:"i,omitempty" json:"spare,omitempty"`
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

// CanRun reports whether the workers of the shard, if they were empty, could run a step. It does if the load does not
// say which workers there are.
func (l *Load) CanRun(pool heatherhub.PoolID, s *heatherhub.Step) bool {
	k := dispatch.WorkerKinds{Kinds: l.Kinds, Racks: l.Racks}
	return k.CanRun(pool, s)
}

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
