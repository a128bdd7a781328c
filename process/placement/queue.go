package placement

import (
	"time"

	"github.com/tidwall/btree"

	"heatherhub.example/heatherhub"
)

// unit is a set of tasks that start together: a single task or a gang.
type unit struct {
	shape   *shape
	entries []*entry
	// priority is a service's priority in the preset in force, and 0 for batch.
	priority heatherhub.Priority
	// due is the virtual deadline, which orders units of the same priority.
	due time.Time
	id  heatherhub.TaskID
	// ready is false while tasks of a gang are missing.
	ready bool
	// held lists the nodes with a hold for the unit.
	held []*node
	// heldUntil is when a hold after preemption times out; zero if it does not.
	heldUntil time.Time
	// heldSince is when nodes were last held for the unit to drain.
	heldSince time.Time
}

// startsBefore orders units by priority, virtual deadline and ID.
func startsBefore(a, b *unit) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.id < b.id
}

func (u *unit) remove(e *entry) {
	for i, o := range u.entries {
		if o == e {
			u.entries = append(u.entries[:i], u.entries[i+1:]...)
			return
		}
	}
}

// shapeKey identifies a shape. Units with equal keys fit the same nodes.
type shapeKey struct {
	workload heatherhub.WorkloadID
	size     heatherhub.Resources
	gang     int
	// job is set only for jobs with failures, whose tasks avoid some nodes.
	job heatherhub.JobID
}

// shape holds waiting units with the same resource request. If its first unit fits no
// node, the shape is blocked until the capacity version changes, so that each shape is
// tried only once per version.
type shape struct {
	key            shapeKey
	queue          *queue
	kind           heatherhub.Kind
	scope          capacityScope
	units          *btree.BTreeG[*unit]
	blockedVersion uint64
	// position is the index in queue.ordered.
	position int
}

func (s *shape) head() *unit {
	u, _ := s.units.Min()
	return u
}

// queue holds the shapes of all services, of all urgent tasks or of the batch tasks of
// one team.
type queue struct {
	shapes  map[shapeKey]*shape
	ordered []*shape
	// waiting counts the units in all shapes.
	waiting int
}

func newQueue() *queue {
	return &queue{shapes: make(map[shapeKey]*shape)}
}

func (q *queue) shape(k shapeKey, t *heatherhub.Task) *shape {
	if s, ok := q.shapes[k]; ok {
		return s
	}
	s := &shape{
		key:      k,
		queue:    q,
		kind:     t.Kind,
		scope:    scopeOf(t),
		units:    btree.NewBTreeGOptions(startsBefore, btree.Options{NoLocks: true, Degree: 16}),
		position: len(q.ordered),
	}
	q.shapes[k] = s
	q.ordered = append(q.ordered, s)
	return s
}

func (q *queue) insert(u *unit) {
	u.shape.units.Set(u)
	q.waiting++
}

func (q *queue) remove(u *unit) {
	if _, ok := u.shape.units.Delete(u); !ok {
		return
	}
	q.waiting--
	if u.shape.units.Len() == 0 {
		q.removeShape(u.shape)
	}
}

// removeShape deletes an empty shape, so that shapes do not accumulate with every size
// ever used.
func (q *queue) removeShape(s *shape) {
	last := q.ordered[len(q.ordered)-1]
	q.ordered[s.position] = last
	last.position = s.position
	q.ordered[len(q.ordered)-1] = nil
	q.ordered = q.ordered[:len(q.ordered)-1]
	delete(q.shapes, s.key)
}

// includeBlocked is a capacity version at which no shape is blocked.
const includeBlocked = ^uint64(0)

// first returns the first unit of the shapes that are not blocked at a capacity version,
// or nil.
func (q *queue) first(version uint64) *unit {
	var best *unit
	for _, s := range q.ordered {
		if s.blockedVersion == version {
			continue
		}
		if u := s.head(); best == nil || startsBefore(u, best) {
			best = u
		}
	}
	return best
}
