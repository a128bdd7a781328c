package queues

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"heatherhub.example/heatherhub"
)

// Field names a setting of a table or of one of its queues.
type Field string

// Fields of a table.
const (
	FieldVersion      Field = "version"
	FieldQueues       Field = "queues"
	FieldMaxBodyBytes Field = "maxBodyBytes"
)

// Fields of a queue.
const (
	FieldID          Field = "id"
	FieldHost        Field = "host"
	FieldPrefix      Field = "prefix"
	FieldTimeout     Field = "timeout"
	FieldTarget      Field = "target"
	FieldPriority    Field = "priority"
	FieldPool        Field = "pool"
	FieldMaxAttempts Field = "maxAttempts"
	FieldStretch     Field = "stretch"
)

// NoIndex is the index of a problem that is not one of a queue.
const NoIndex = -1

// Problem is one error in a table.
type Problem struct {
	// Index is the position of the queue in the table, or NoIndex.
	Index int
	// Queue is empty if the queue has no readable ID.
	Queue heatherhub.QueueID
	// Field is empty for an error of the whole queue or file.
	Field Field
	// Message describes the error and the remedy.
	Message string
}

// Candidate is a table that is to be checked before it is put in force.
type Candidate struct {
	// Table has an entry for each queue of the input, also for one that cannot be decoded, and
	// the settings as they were given, without defaults. It is nil if the input has no table.
	Table *Table
	// Decoding has the problems that decoding has found. The fields that they name are not
	// checked again.
	Decoding []Problem
	// InForce is the table in force; nil means that it is not known.
	InForce *Table
	// Pools has the pools that have workers; nil means that they are not known.
	Pools []heatherhub.PoolID
}

// Check returns all problems of the candidate, those of the table first, then by queue.
func (c *Candidate) Check() []Problem {
	k := checker{candidate: c, problems: slices.Clone(c.Decoding)}
	if c.Table != nil {
		k.checkTable()
		k.checkNames()
		k.checkMatches()
		for i := range c.Table.Queues {
			k.checkQueue(i)
		}
	}
	slices.SortStableFunc(k.problems, func(a, b Problem) int { return cmp.Compare(a.Index, b.Index) })
	return k.problems
}

// checker collects the problems of a candidate.
type checker struct {
	candidate *Candidate
	problems  []Problem
}

// add adds a problem unless the field could not be decoded.
func (k *checker) add(index int, f Field, format string, args ...any) {
	if slices.ContainsFunc(k.candidate.Decoding, func(p Problem) bool {
		return p.Index == index && (p.Field == f || (p.Field == "" && index != NoIndex))
	}) {
		return
	}
	p := Problem{Index: index, Field: f, Message: fmt.Sprintf(format, args...)}
	if index != NoIndex {
		p.Queue = k.candidate.Table.Queues[index].ID
	}
	k.problems = append(k.problems, p)
}

func (k *checker) checkTable() {
	t, inForce := k.candidate.Table, k.candidate.InForce
	if inForce != nil && t.Version <= inForce.Version {
		k.add(NoIndex, FieldVersion, "%d is not higher than the version in force, %d: use a higher one", t.Version, inForce.Version)
	}
	if t.Limits.MaxBodyBytes <= 0 {
		k.add(NoIndex, FieldMaxBodyBytes, "%d is not above 0, and hosts would use a default: set the size of the largest body", t.Limits.MaxBodyBytes)
	}
	if len(t.Queues) == 0 {
		k.add(NoIndex, FieldQueues, "there is no queue, so every request would be refused: add one")
	}
}

func (k *checker) checkNames() {
	seen := make(map[heatherhub.QueueID]struct{})
	for i := range k.candidate.Table.Queues {
		id := k.candidate.Table.Queues[i].ID
		if id == "" {
			k.add(i, FieldID, "the name is empty: give the queue one")
			continue
		}
		if _, ok := seen[id]; ok {
			k.add(i, FieldID, "the name %q is given twice: rename one of the queues", id)
		}
		seen[id] = struct{}{}
	}
}

// checkMatches reports queues that match no request. Match prefers the first of two queues with the
// same host and prefix. It gets the host without a port, and paths that begin with a slash.
func (k *checker) checkMatches() {
	type address struct{ host, prefix string }
	first := make(map[address]heatherhub.QueueID)
	for i := range k.candidate.Table.Queues {
		q := &k.candidate.Table.Queues[i]
		if q.Host == "" {
			k.add(i, FieldHost, "the host is empty: set the name that callers use")
		}
		if strings.Contains(q.Host, ":") {
			k.add(i, FieldHost, "%q never matches, as requests are compared without their port: remove the port", q.Host)
		}
		if !strings.HasPrefix(q.Prefix, "/") {
			k.add(i, FieldPrefix, "%q does not begin with /: paths of requests do", q.Prefix)
		}
		if q.Host == "" || q.Prefix == "" {
			continue
		}
		a := address{q.Host, q.Prefix}
		if id, ok := first[a]; ok {
			k.add(i, FieldPrefix, "never matches: queue %q before it has the same host %q and prefix %q: change one of them", id, q.Host, q.Prefix)
			continue
		}
		first[a] = q.ID
	}
}

func (k *checker) checkQueue(i int) {
	q, pools := &k.candidate.Table.Queues[i], k.candidate.Pools
	if q.Target < 0 {
		k.add(i, FieldTarget, "%s is negative: use 0 or more", q.Target)
	}
	if q.Timeout <= 0 {
		k.add(i, FieldTimeout, "%s is not above 0: set the time that callers wait", q.Timeout)
	} else if q.Timeout < q.Target {
		k.add(i, FieldTimeout, "%s is below the target of %s: raise the timeout or lower the target", q.Timeout, q.Target)
	}
	if q.MaxAttempts < 1 {
		k.add(i, FieldMaxAttempts, "%d is below 1, and hosts would use 1: use 1 or more", q.MaxAttempts)
	}
	if q.Stretch < 1 {
		k.add(i, FieldStretch, "%g is below 1, and hosts would use 1: use 1 or more", q.Stretch)
	}
	switch {
	case q.Pool == "":
		k.add(i, FieldPool, "the pool is empty: name the pool of workers")
	case pools != nil && !slices.Contains(pools, q.Pool):
		k.add(i, FieldPool, "pool %q has no workers: add some, or use another pool", q.Pool)
	}
}

// Op is the kind of a change.
type Op string

// Operations.
const (
	OpAdded   Op = "added"
	OpRemoved Op = "removed"
	OpChanged Op = "changed"
)

// Change is one difference between two tables.
type Change struct {
	Op Op
	// Queue is empty for a change of a field of the table.
	Queue heatherhub.QueueID
	// Field is empty for a queue that was added or removed; From and To then have its host and
	// prefix.
	Field    Field
	From, To string
}

// Diff returns the differences between two tables: of the table's fields, of its queues in the order
// of the new table, and the removed queues. Queues are compared by ID; of queues with the same
// one, the first counts.
func Diff(from, to *Table) []Change {
	var changes []Change
	add := func(q heatherhub.QueueID, f Field, before, after string) {
		if before != after {
			changes = append(changes, Change{Op: OpChanged, Queue: q, Field: f, From: before, To: after})
		}
	}
	add("", FieldVersion, fmt.Sprintf("%d", from.Version), fmt.Sprintf("%d", to.Version))
	add("", FieldMaxBodyBytes, fmt.Sprintf("%d", from.Limits.MaxBodyBytes), fmt.Sprintf("%d", to.Limits.MaxBodyBytes))
	before, after := byID(from), byID(to)
	for i := range to.Queues {
		q := &to.Queues[i]
		old := before[q.ID]
		switch {
		case after[q.ID] != q:
		case old == nil:
			changes = append(changes, Change{Op: OpAdded, Queue: q.ID, To: q.Host + q.Prefix})
		default:
			for _, s := range settings {
				add(q.ID, s.field, s.format(old), s.format(q))
			}
		}
	}
	for i := range from.Queues {
		if q := &from.Queues[i]; before[q.ID] == q && after[q.ID] == nil {
			changes = append(changes, Change{Op: OpRemoved, Queue: q.ID, From: q.Host + q.Prefix})
		}
	}
	return changes
}

func byID(t *Table) map[heatherhub.QueueID]*Queue {
	m := make(map[heatherhub.QueueID]*Queue, len(t.Queues))
	for i := range t.Queues {
		if q := &t.Queues[i]; m[q.ID] == nil {
			m[q.ID] = q
		}
	}
	return m
}

// settings are the fields of a queue that Diff compares.
var settings = []struct {
	field  Field
	format func(*Queue) string
}{
	{FieldHost, func(q *Queue) string { return q.Host }},
	{FieldPrefix, func(q *Queue) string { return q.Prefix }},
	{FieldPool, func(q *Queue) string { return string(q.Pool) }},
	{FieldPriority, func(q *Queue) string { return fmt.Sprintf("%d", q.Priority) }},
	{FieldTimeout, func(q *Queue) string { return q.Timeout.String() }},
	{FieldTarget, func(q *Queue) string { return q.Target.String() }},
	{FieldStretch, func(q *Queue) string { return fmt.Sprintf("%g", q.Stretch) }},
	{FieldMaxAttempts, func(q *Queue) string { return fmt.Sprintf("%d", q.MaxAttempts) }},
}
