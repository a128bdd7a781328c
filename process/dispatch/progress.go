package dispatch

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// Progress is the durable state of a job: what cannot be recovered from the workers. A
// run's end is recorded here before its worker may forget it.
type Progress struct {
	State heatherhub.WorkflowState `msgpack:"s" json:"state"`
	// Done has, by occurrence, one bit per completed task, at the task's flat index.
	Done map[int][]byte `msgpack:"d,omitempty" json:"done,omitempty"`
	// Failed lists the failed runs, so that an end which is reported twice counts once.
	Failed []FailedRun `msgpack:"f,omitempty" json:"failed,omitempty"`
	// Crashes lists the runs that were lost with crashed workers, for tasks of which no run has
	// worked since.
	Crashes []heatherhub.CrashedRun `msgpack:"c,omitempty" json:"crashes,omitempty"`
	// Open lists the starts without an answer that may still be carried out.
	Open []OpenStart `msgpack:"o,omitempty" json:"open,omitempty"`
	// Stalls counts the stalled runs of slow tasks that are not done.
	Stalls []StallCount `msgpack:"l,omitempty" json:"stalls,omitempty"`
	// IsolatedOn is the worker on which isolated runs of the job may have been started last.
	IsolatedOn heatherhub.WorkerID `msgpack:"i,omitempty" json:"isolatedOn,omitempty"`
}

// FailedRun identifies a run that ended with a failure.
type FailedRun struct {
	Occurrence int              `msgpack:"k" json:"occurrence"`
	Task       int              `msgpack:"t" json:"task"`
	Run        heatherhub.RunID `msgpack:"r" json:"run"`
}

// StallCount says how often runs of a task were stopped since they made no progress.
type StallCount struct {
	Occurrence int `msgpack:"k" json:"occurrence"`
	Task       int `msgpack:"t" json:"task"`
	Count      int `msgpack:"n" json:"count"`
}

// OpenStart identifies a start without an answer, and the worker to which it was sent.
type OpenStart struct {
	Occurrence int                 `msgpack:"k" json:"occurrence"`
	Task       int                 `msgpack:"t" json:"task"`
	Run        heatherhub.RunID    `msgpack:"r" json:"run"`
	Worker     heatherhub.WorkerID `msgpack:"w" json:"worker"`
	Address    string              `msgpack:"a" json:"address"`
	// IsRepeated means that the start was sent more than once, so a listed run does not use it up.
	IsRepeated bool `msgpack:"m,omitempty" json:"isRepeated,omitempty"`
	// IsToFormerLife means that the worker, which states no incarnation, has had another life since.
	IsToFormerLife bool `msgpack:"p,omitempty" json:"isToFormerLife,omitempty"`
	// At is the time of day at which the start was recorded, or by which it was sent last.
	At time.Time `msgpack:"at" json:"at"`
}

// tellsAsMuchAs reports whether two records tell the same of a start, but for its time.
func (s OpenStart) tellsAsMuchAs(o OpenStart) bool {
	s.At, o.At = time.Time{}, time.Time{}
	return s == o
}

// GuestStart is a start without an answer of a task whose job another shard owns.
type GuestStart struct {
	Job   heatherhub.JobID `msgpack:"j" json:"job"`
	Start OpenStart        `msgpack:"s" json:"start"`
}

// AnnouncedStart is a start that the owner of the shard may have sent, and of which the progress of the job does not tell.
type AnnouncedStart struct {
	Job   heatherhub.JobID `msgpack:"j" json:"job"`
	Start OpenStart        `msgpack:"s" json:"start"`
}

// DecodeMsgpack decodes a progress record and rejects an unknown state with ErrInvalid.
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
		return heatherhub.ErrInvalid.New("unknown state %q in a progress record", v.State)
	}
	*p = Progress(v)
	return nil
}

// isBlank reports whether the record says nothing of the job.
func (p *Progress) isBlank() bool {
	return p.State == "" && len(p.Done)+len(p.Failed)+len(p.Crashes)+len(p.Open)+len(p.Stalls) == 0 && p.IsolatedOn == ""
}

func (p *Progress) isDone(occurrence, flatIndex int) bool {
	bits := p.Done[occurrence]
	return flatIndex/8 < len(bits) && bits[flatIndex/8]&(1<<(flatIndex%8)) != 0
}

func (p *Progress) setDone(occurrence, flatIndex int) {
	if p.Done == nil {
		p.Done = make(map[int][]byte)
	}
	bits := p.Done[occurrence]
	for len(bits) <= flatIndex/8 {
		bits = append(bits, 0)
	}
	bits[flatIndex/8] |= 1 << (flatIndex % 8)
	p.Done[occurrence] = bits
}

func (p *Progress) clone() Progress {
	c := Progress{
		State: p.State, Failed: slices.Clone(p.Failed), Crashes: slices.Clone(p.Crashes), Open: slices.Clone(p.Open),
		Stalls: slices.Clone(p.Stalls), IsolatedOn: p.IsolatedOn,
	}
	if p.Done != nil {
		c.Done = make(map[int][]byte, len(p.Done))
		for k, bits := range p.Done {
			c.Done[k] = slices.Clone(bits)
		}
	}
	return c
}

// Change is the updated progress of one job.
type Change struct {
	Job      heatherhub.JobID
	Progress Progress
	// Revision is the revision of the progress record that the change replaces.
	Revision ledger.Revision
	seq      uint64
}

// markChanged marks the progress of a job as changed, so that TakeChanges returns it.
// It ignores jobs of other shards, whose progress only their owners write.
func (e *Engine) markChanged(j *job) {
	if j.isOwnedElsewhere {
		return
	}
	j.changed++
	if !j.isDirty {
		j.isDirty = true
		e.changedJobs = append(e.changedJobs, j)
	}
}

// markOpenChanged records that the open starts of a job have changed. Those of a guest are not in the progress that its
// shard writes, but in the list of workers of this one.
func (e *Engine) markOpenChanged(j *job) {
	if j.isOwnedElsewhere {
		e.guestStartChanges++
		return
	}
	e.markChanged(j)
}

// HasChanges reports whether any progress has to be made durable.
func (e *Engine) HasChanges() bool {
	return e.takenGuestStarts != e.guestStartChanges || slices.ContainsFunc(e.changedJobs, func(j *job) bool { return !j.isMoving })
}

// TakeChanges returns the progress of up to limit changed jobs, except those that are being moved.
// The caller writes it to the store and then calls Committed, or RetryChanges if the write failed.
func (e *Engine) TakeChanges(limit int) []Change {
	out := make([]Change, 0, min(limit, len(e.changedJobs)))
	kept := e.changedJobs[:0]
	for _, j := range e.changedJobs {
		if len(out) == limit || j.isMoving {
			kept = append(kept, j)
			continue
		}
		j.isDirty = false
		c := Change{Job: j.workflow.ID, Progress: j.progress.clone(), Revision: j.progressRevision, seq: j.changed}
		j.certainOpen = slices.DeleteFunc(j.certainOpen, func(o OpenStart) bool { return !slices.ContainsFunc(c.Progress.Open, o.tellsAsMuchAs) })
		out = append(out, c)
	}
	clear(e.changedJobs[len(kept):])
	e.changedJobs = kept
	return out
}

// Committed marks changes as durable at a revision. Workers may then forget the ended
// runs that the changes include.
func (e *Engine) Committed(now Moment, changes []Change, revision ledger.Revision) {
	for _, c := range changes {
		j := e.jobs[c.Job]
		if j == nil {
			continue
		}
		j.progressRevision = revision
		j.committed = max(j.committed, c.seq)
		j.certainOpen = slices.Clone(c.Progress.Open)
		if j.isOver() {
			j.endedAt = now.Steady
		}
	}
	for _, n := range e.sortedNodes {
		n.advanceAcknowledged()
	}
}

// RetryChanges queues changes again whose write failed. found has the current revisions
// of their records.
func (e *Engine) RetryChanges(changes []Change, found map[heatherhub.JobID]ledger.Revision) {
	for _, c := range changes {
		j := e.jobs[c.Job]
		if j == nil {
			continue
		}
		if r, ok := found[c.Job]; ok {
			j.progressRevision = r
		}
		if !j.isDirty {
			j.isDirty = true
			e.changedJobs = append(e.changedJobs, j)
		}
	}
}

// advanceAcknowledged raises the acknowledged sequence number up to the first ended run
// whose progress is not durable yet.
func (n *node) advanceAcknowledged() {
	for len(n.pendingAcks) > 0 {
		a := n.pendingAcks[0]
		if a.isJobUnknown || a.isAnnounced || (a.job != nil && a.job.committed < a.change) {
			return
		}
		n.acknowledged = a.sequence
		n.pendingAcks = n.pendingAcks[1:]
	}
}

// Acknowledged returns the sequence number up to which a worker may forget ended runs.
func (e *Engine) Acknowledged(id heatherhub.WorkerID) uint64 {
	if n := e.nodes[id]; n != nil {
		return n.acknowledged
	}
	return 0
}

// State returns the state of a job that callers may be told: a final state only once it
// is durable. It reports false for jobs that this shard does not own.
func (e *Engine) State(id heatherhub.JobID) (heatherhub.WorkflowState, bool) {
	j := e.jobs[id]
	switch {
	case j == nil || j.isOwnedElsewhere:
		return "", false
	case j.isOver() && j.committed == j.changed:
		return j.state, true
	case j.state == heatherhub.WorkflowQueued:
		return heatherhub.WorkflowQueued, true
	default:
		return heatherhub.WorkflowRunning, true
	}
}

// HasPendingEnds reports whether a worker has reported ended runs whose progress is not
// durable yet.
func (e *Engine) HasPendingEnds(id heatherhub.WorkerID) bool {
	n := e.nodes[id]
	return n != nil && len(n.pendingAcks) > 0
}
