package record

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Load is the summary of a shard's load that its owner publishes.
type Load struct {
	Capacity     heatherhub.MilliCPU        `msgpack:"c" json:"capacityMilli"`
	Reserved     heatherhub.MilliCPU        `msgpack:"r" json:"reservedMilli"`
	FillerDemand heatherhub.MilliCPU        `msgpack:"f" json:"fillingMilli"`
	Backlog      time.Duration              `msgpack:"b" json:"backlog"`
	Waiting      map[heatherhub.QueueID]int `msgpack:"w,omitempty" json:"waiting,omitempty"`
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
	At         time.Time                                            `msgpack:"at" json:"at"`
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
