package dispatch

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// Progress is the durable state of a job: all that cannot be learnt again from
// the workers. Ends are recorded before workers may forget them.
type Progress struct {
	State heatherhub.WorkflowState `msgpack:"s" json:"state"`
	// Done has a bit for each task that is done, by occurrence.
	Done map[int][]byte `msgpack:"d,omitempty" json:"done,omitempty"`
	// Failed has the runs that failed, so that an end which is listed twice
	// counts once.
	Failed []FailedRun `msgpack:"f,omitempty" json:"failed,omitempty"`
}

// FailedRun is one run that ended by a failure.
type FailedRun struct {
	Occurrence int              `msgpack:"k" json:"occurrence"`
	Task       int              `msgpack:"t" json:"task"`
	Run        heatherhub.RunID `msgpack:"r" json:"run"`
}

// DecodeMsgpack decodes a progress record and checks it.
func (p *Progress) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire Progress
	var v wire
	if err := d.Decode(&v); err != nil {
		return err
	}
	switch v.State {
	case "", heatherhub.WorkflowQueued, heatherhub.WorkflowRunning, heatherhub.WorkflowCompleted,
		heatherhub.WorkflowFailed, heatherhub.WorkflowCancelled:
	default:
		return heatherhub.ErrInvalid.New("progress has the unknown state %q", v.State)
	}
	*p = Progress(v)
	return nil
}

func (p *Progress) isDone(occurrence, flat int) bool {
	bits := p.Done[occurrence]
	return flat/8 < len(bits) && bits[flat/8]&(1<<(flat%8)) != 0
}

func (p *Progress) setDone(occurrence, flat int) {
	if p.Done == nil {
		p.Done = make(map[int][]byte)
	}
	bits := p.Done[occurrence]
	for len(bits) <= flat/8 {
		bits = append(bits, 0)
	}
	bits[flat/8] |= 1 << (flat % 8)
	p.Done[occurrence] = bits
}

func (p *Progress) clone() Progress {
	c := Progress{State: p.State, Failed: slices.Clone(p.Failed)}
	if p.Done != nil {
		c.Done = make(map[int][]byte, len(p.Done))
		for k, bits := range p.Done {
			c.Done[k] = slices.Clone(bits)
		}
	}
	return c
}

// Change is the new progress of one job.
type Change struct {
	Job      heatherhub.JobID
	Progress Progress
	// Revision is that of the record before the change.
	Revision ledger.Revision
	seq      uint64
}

// touch notes that the progress of a job has changed.
func (e *Engine) touch(j *job) {
	j.changed++
	if !j.isDirty {
		j.isDirty = true
		e.dirty = append(e.dirty, j)
	}
}

// HasChanges reports whether progress waits to be made durable.
func (e *Engine) HasChanges() bool {
	return len(e.dirty) > 0
}

// TakeChanges returns the progress of up to limit changed jobs. The caller makes
// it durable and reports with Committed or Retry.
func (e *Engine) TakeChanges(limit int) []Change {
	n := min(limit, len(e.dirty))
	out := make([]Change, 0, n)
	for _, j := range e.dirty[:n] {
		j.isDirty = false
		out = append(out, Change{Job: j.flow.ID, Progress: j.progress.clone(), Revision: j.revision, seq: j.changed})
	}
	e.dirty = slices.Delete(e.dirty, 0, n)
	return out
}

// Committed notes that changes are durable at a revision, and lets the workers
// forget the ends behind them.
func (e *Engine) Committed(now Moment, changes []Change, revision ledger.Revision) {
	for _, c := range changes {
		j := e.jobs[c.Job]
		if j == nil {
			continue
		}
		j.revision = revision
		j.committed = max(j.committed, c.seq)
		if j.isOver() {
			j.endedAt = now.Steady
		}
	}
	for _, n := range e.order {
		n.advance()
	}
}

// Retry puts changes back that were not made durable. Found has the revisions of
// the records as they are now.
func (e *Engine) Retry(changes []Change, found map[heatherhub.JobID]ledger.Revision) {
	for _, c := range changes {
		j := e.jobs[c.Job]
		if j == nil {
			continue
		}
		if r, ok := found[c.Job]; ok {
			j.revision = r
		}
		if !j.isDirty {
			j.isDirty = true
			e.dirty = append(e.dirty, j)
		}
	}
}

// advance moves the acknowledgement over all ends whose records are durable.
func (n *node) advance() {
	for len(n.acks) > 0 {
		a := n.acks[0]
		if a.isUnread || (a.job != nil && a.job.committed < a.change) {
			return
		}
		n.acked = a.number
		n.acks = n.acks[1:]
	}
}

// Acknowledged returns the highest end that a worker may forget.
func (e *Engine) Acknowledged(id heatherhub.WorkerID) uint64 {
	if n := e.nodes[id]; n != nil {
		return n.acked
	}
	return 0
}

// State returns the durable state of a job: what callers may be told.
func (e *Engine) State(id heatherhub.JobID) (heatherhub.WorkflowState, bool) {
	j := e.jobs[id]
	switch {
	case j == nil || j.isGuest:
		return "", false
	case j.isOver() && j.committed == j.changed:
		return j.state, true
	case j.state == heatherhub.WorkflowQueued:
		return heatherhub.WorkflowQueued, true
	default:
		return heatherhub.WorkflowRunning, true
	}
}

// HasPendingEnds reports whether a worker has listed ends whose records are not
// durable yet.
func (e *Engine) HasPendingEnds(id heatherhub.WorkerID) bool {
	n := e.nodes[id]
	return n != nil && len(n.acks) > 0
}
