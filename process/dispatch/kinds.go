package dispatch

import (
	"cmp"
	"slices"
	"strings"

	"heatherhub.example/heatherhub"
)

// WorkerKind describes the workers of a shard that have the same pool and, their racks aside, the same labels.
type WorkerKind struct {
	Pool   heatherhub.PoolID `msgpack:"p" json:"pool"`
	Labels []string          `msgpack:"l,omitempty" json:"labels,omitempty"`
	// Capacity is the most of each resource that a worker has.
	Capacity heatherhub.Resources `msgpack:"c" json:"capacity"`
	// Workers is the number of workers, and InRacks, by the index of a rack in WorkerKinds.Racks, that of those there.
	Workers int   `msgpack:"n" json:"workers"`
	InRacks []int `msgpack:"k,omitempty" json:"inRacks,omitempty"`
}

// WorkerKinds describes the workers of a shard, whatever they run.
type WorkerKinds struct {
	// Kinds is empty if it is not known which workers the shard has.
	Kinds []WorkerKind
	Racks []heatherhub.Rack
}

// maxWorkerKinds bounds the kinds of a shard. If there are more, none is listed.
const maxWorkerKinds = 16

// WorkerKinds returns the kinds of workers of the shard that neither drain nor are evacuated. Silent ones count, as
// they may be back at once.
func (e *Engine) WorkerKinds() WorkerKinds {
	out := WorkerKinds{Racks: e.Racks()}
	for _, n := range e.sortedNodes {
		if n.worker.Draining || n.isEvacuated {
			continue
		}
		labels := slices.DeleteFunc(slices.Sorted(slices.Values(n.worker.Labels)), func(l string) bool { return l == string(n.worker.Rack) })
		labels = slices.Compact(labels)
		at := slices.IndexFunc(out.Kinds, func(k WorkerKind) bool { return k.Pool == n.worker.Pool && slices.Equal(k.Labels, labels) })
		if at < 0 {
			at = len(out.Kinds)
			out.Kinds = append(out.Kinds, WorkerKind{Pool: n.worker.Pool, Labels: labels, InRacks: make([]int, len(out.Racks))})
		}
		k := &out.Kinds[at]
		k.Capacity = larger(k.Capacity, n.worker.Capacity)
		k.Workers++
		if rack := slices.Index(out.Racks, n.worker.Rack); rack >= 0 {
			k.InRacks[rack]++
		}
	}
	if len(out.Kinds) > maxWorkerKinds {
		out.Kinds = nil
	}
	slices.SortFunc(out.Kinds, func(a, b WorkerKind) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(strings.Join(a.Labels, "\x00"), strings.Join(b.Labels, "\x00")))
	})
	return out
}

// larger returns the higher of two amounts of each resource.
func larger(a, b heatherhub.Resources) heatherhub.Resources {
	return heatherhub.Resources{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// CanRun reports whether the workers, if they were empty, could run a step: one task of it, or all of a gang at
// once. Workers that are not known count as able to.
func (k *WorkerKinds) CanRun(pool heatherhub.PoolID, s *heatherhub.Step) bool {
	if len(k.Kinds) == 0 {
		return true
	}
	wanted, places := 1, 0
	if s.Gang {
		wanted = s.Tasks
	}
	rack := slices.Index(k.Racks, heatherhub.Rack(s.RequiredLabel))
	for i := range k.Kinds {
		kind := &k.Kinds[i]
		if kind.Pool != pool {
			continue
		}
		workers := 0
		switch {
		case s.RequiredLabel == "" || slices.Contains(kind.Labels, s.RequiredLabel):
			workers = kind.Workers
		case rack >= 0 && rack < len(kind.InRacks):
			workers = kind.InRacks[rack]
		}
		places += workers * placesOn(kind.Capacity, s, wanted)
	}
	return places >= wanted
}

// placesOn returns how many tasks of a step an empty worker has room for, at most limit.
func placesOn(capacity heatherhub.Resources, s *heatherhub.Step, limit int) int {
	if s.MaxPerWorker > 0 {
		limit = min(limit, s.MaxPerWorker)
	}
	need, n := s.Reserved(), int64(limit)
	if need.CPU > 0 {
		n = min(n, int64(capacity.CPU/need.CPU))
	}
	if need.Memory > 0 {
		n = min(n, int64(capacity.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		n = min(n, int64(capacity.Accelerators/need.Accelerators))
	}
	return int(n)
}
