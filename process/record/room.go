package record

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
)

// Limits of the room that a load lists.
const (
	// MaxLargestFree is the maximum number of workers per pool in Load.LargestFree. On a full site
	// of 350 workers a shard has about 40; a list of 8 made waiting work leave in rounds of 8.
	MaxLargestFree = 34
	// maxRooms is the maximum number of entries in which these workers are listed. It is the number
	// of workers that earlier versions list, so loads do not grow.
	maxRooms = 8
)

// Room is the free resources of workers that have at least Size free each. Earlier versions write
// and read it as the resources of one worker.
type Room struct {
	Size    heatherhub.Resources
	Workers int
}

// roomRecord is the wire form of Room.
type roomRecord struct {
	CPU          heatherhub.MilliCPU     `msgpack:"cpu"`
	Memory       heatherhub.Megabytes    `msgpack:"mem"`
	Accelerators heatherhub.Accelerators `msgpack:"acc"`
	// Workers is left out if it is 1.
	Workers int `msgpack:"n,omitempty"`
}

// EncodeMsgpack encodes the room.
func (r Room) EncodeMsgpack(e *msgpack.Encoder) error {
	v := roomRecord{CPU: r.Size.CPU, Memory: r.Size.Memory, Accelerators: r.Size.Accelerators}
	if r.Workers != 1 {
		v.Workers = r.Workers
	}
	return e.Encode(v)
}

// DecodeMsgpack decodes the room and rejects negative amounts with ErrInvalid.
func (r *Room) DecodeMsgpack(d *msgpack.Decoder) error {
	var v roomRecord
	if err := d.Decode(&v); err != nil {
		return err
	}
	size := heatherhub.Resources{CPU: v.CPU, Memory: v.Memory, Accelerators: v.Accelerators}
	if err := size.Check(); err != nil {
		return err
	}
	if v.Workers < 0 {
		return heatherhub.ErrInvalid.New("%d workers with room in a load: use 1 or more", v.Workers)
	}
	*r = Room{Size: size, Workers: max(v.Workers, 1)}
	return nil
}

// Rooms lists the free resources of workers, by pool, in at most maxRooms entries each. Workers
// of similar size share an entry of what each of them has free at least.
func Rooms(free map[heatherhub.PoolID][]heatherhub.Resources) map[heatherhub.PoolID][]Room {
	out := make(map[heatherhub.PoolID][]Room, len(free))
	for pool, sizes := range free {
		out[pool] = groupRooms(sizes)
	}
	return out
}

func groupRooms(sizes []heatherhub.Resources) []Room {
	sorted := slices.SortedStableFunc(slices.Values(sizes), compareSizes)
	var rooms []Room
	for _, s := range sorted {
		if last := len(rooms) - 1; last >= 0 && rooms[last].Size == s {
			rooms[last].Workers++
			continue
		}
		rooms = append(rooms, Room{Size: s, Workers: 1})
	}
	for len(rooms) > maxRooms {
		best := 0
		for i := range len(rooms) - 1 {
			if mergeLoss(rooms[i], rooms[i+1]) < mergeLoss(rooms[best], rooms[best+1]) {
				best = i
			}
		}
		rooms[best] = Room{Size: smaller(rooms[best].Size, rooms[best+1].Size), Workers: rooms[best].Workers + rooms[best+1].Workers}
		rooms = slices.Delete(rooms, best+1, best+2)
	}
	return rooms
}

// compareSizes orders the largest first.
func compareSizes(a, b heatherhub.Resources) int {
	return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(b.Memory, a.Memory), cmp.Compare(b.Accelerators, a.Accelerators))
}

// mergeLoss returns how much room two entries lose, relative to what they list, if they share one.
func mergeLoss(a, b Room) float64 {
	common := smaller(a.Size, b.Size)
	lost := func(r Room) float64 {
		d := r.Size.Sub(common)
		return float64(r.Workers) * (float64(d.CPU)/float64(max(r.Size.CPU, 1)) + float64(d.Memory)/float64(max(r.Size.Memory, 1)) +
			float64(d.Accelerators)/float64(max(r.Size.Accelerators, 1)))
	}
	return lost(a) + lost(b)
}

// smaller returns the lower of two amounts of each resource.
func smaller(a, b heatherhub.Resources) heatherhub.Resources {
	return heatherhub.Resources{CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators)}
}

// Fits reports whether a need fits on a worker of one of the rooms.
func Fits(rooms []Room, need heatherhub.Resources) bool {
	return slices.ContainsFunc(rooms, func(r Room) bool { return need.Fits(r.Size) })
}

// Reserve takes a need from a worker of the first room in which it fits and returns the rooms that
// remain. It reports false if there is none. It changes rooms.
func Reserve(rooms []Room, need heatherhub.Resources) ([]Room, bool) {
	at := slices.IndexFunc(rooms, func(r Room) bool { return need.Fits(r.Size) })
	if at < 0 {
		return rooms, false
	}
	left := rooms[at].Size.Sub(need)
	if rooms[at].Workers == 1 {
		rooms[at].Size = left
		return rooms, true
	}
	rooms[at].Workers--
	return slices.Insert(rooms, at, Room{Size: left, Workers: 1}), true
}
