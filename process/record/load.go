package record

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Load is what an owner tells of its shard.
type Load struct {
	Capacity     heatherhub.MilliCPU        `msgpack:"c" json:"capacityMilli"`
	Reserved     heatherhub.MilliCPU        `msgpack:"r" json:"reservedMilli"`
	FillerDemand heatherhub.MilliCPU        `msgpack:"f" json:"fillingMilli"`
	Backlog      time.Duration              `msgpack:"b" json:"backlog"`
	Waiting      map[heatherhub.QueueID]int `msgpack:"w,omitempty" json:"waiting,omitempty"`
	// Racks are those of the shard's workers.
	Racks []heatherhub.Rack `msgpack:"k,omitempty" json:"racks,omitempty"`
	// LargestFree is the free room of the emptiest workers of each pool.
	LargestFree map[heatherhub.PoolID][]heatherhub.Resources `msgpack:"o,omitempty" json:"holes,omitempty"`
	At          time.Time                                    `msgpack:"at" json:"at"`
}

// MaxLargestFree is how many of the emptiest workers of a pool an owner tells of. More than these
// fill up within the second for which a load holds.
const MaxLargestFree = 8

// ReservedShare returns the share of the processors that tasks reserve.
func (l *Load) ReservedShare() float64 {
	return float64(l.Reserved) / float64(max(l.Capacity, 1))
}

// Pressure returns the share of the processors in use plus the seconds of work that
// wait for them.
func (l *Load) Pressure() float64 {
	cpu := float64(max(l.Capacity, 1))
	return float64(l.Reserved+l.FillerDemand)/cpu + 1000*l.Backlog.Seconds()/cpu
}
