package placement

import (
	"time"

	"github.com/tidwall/btree"

	"heatherhub.example/heatherhub"
)

// unit is what starts together: one task, or the tasks of a gang.
type unit struct {
	shape   *shape
	entries []*entry
	// priority goes before due: the priority of a service under the preset in force.
	priority heatherhub.Priority
	// due is the virtual deadline by which units are ordered.
	due time.Time
	id  heatherhub.TaskID
	// ready is false while tasks of a gang are missing.
	ready bool
	// held lists the nodes that are kept for the unit.
	held      []*node
	heldUntil time.Time
	// heldSince is when workers were first kept for the unit to drain.
	heldSince time.Time
}

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

// shapeKey groups units that need the same room.
type shapeKey struct {
	workload heatherhub.WorkloadID
	size     heatherhub.Resources
	gang     int
	// job is set for tasks of a job with failures, which avoid some workers.
	job heatherhub.JobID
}

// shape is the queue of units that need the same room. A shape that found no
// room is blocked until a worker has more room.
type shape struct {
	key            shapeKey
	queue          *queue
	kind           heatherhub.Kind
	scope          capacityScope
	units          *btree.BTreeG[*unit]
	blockedVersion uint64
	position       int
}

func (s *shape) head() *unit {
	u, _ := s.units.Min()
	return u
}

// queue is a set of shapes that are served in one order: the services, the
// urgent tasks, or the batch tasks of one team.
type queue struct {
	shapes  map[shapeKey]*shape
	ordered []*shape
	waiting int
}

func newQueue() *queue {
	return &queue{shapes: make(map[shapeKey]*shape)}
}

func (l *queue) shape(k shapeKey, t *heatherhub.Task) *shape {
	if s, ok := l.shapes[k]; ok {
		return s
	}
	s := &shape{
		key:      k,
		queue:    l,
		kind:     t.Kind,
		scope:    scopeOf(t),
		units:    btree.NewBTreeGOptions(startsBefore, btree.Options{NoLocks: true, Degree: 16}),
		position: len(l.ordered),
	}
	l.shapes[k] = s
	l.ordered = append(l.ordered, s)
	return s
}

func (l *queue) insert(u *unit) {
	u.shape.units.Set(u)
	l.waiting++
}

func (l *queue) remove(u *unit) {
	if _, ok := u.shape.units.Delete(u); !ok {
		return
	}
	l.waiting--
	if u.shape.units.Len() == 0 {
		l.removeShape(u.shape)
	}
}

// removeShape drops an empty shape, so that many different sizes do not pile up.
func (l *queue) removeShape(s *shape) {
	last := l.ordered[len(l.ordered)-1]
	l.ordered[s.position] = last
	last.position = s.position
	l.ordered[len(l.ordered)-1] = nil
	l.ordered = l.ordered[:len(l.ordered)-1]
	delete(l.shapes, s.key)
}

// includeBlocked makes first look at blocked shapes too.
const includeBlocked = ^uint64(0)

// first returns the first unit of the shapes that may have room, or nil.
func (l *queue) first(room uint64) *unit {
	var best *unit
	for _, s := range l.ordered {
		if s.blockedVersion == room {
			continue
		}
		if u := s.head(); best == nil || startsBefore(u, best) {
			best = u
		}
	}
	return best
}
