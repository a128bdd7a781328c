package ledger

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/request/route"
)

// Kind tells what a record changes.
type Kind string

// Kinds of records.
const (
	// KindJob replaces a whole job.
	KindJob Kind = "j"
	// KindCancel cancels a job.
	KindCancel Kind = "x"
	// KindFinished adds finished tasks to a job.
	KindFinished Kind = "f"
	// KindCheckpoint sets the checkpoint of one task of a job.
	KindCheckpoint Kind = "c"
	// KindPark parks a job.
	KindPark Kind = "p"
	// KindClaim grants an idempotency key its one run.
	KindClaim Kind = "k"
	// KindAnswer records the answer of a granted run.
	KindAnswer Kind = "s"
	// KindRelease takes a grant back.
	KindRelease Kind = "r"
)

// MaxAnswerBytes is the largest body of an answer that is recorded.
const MaxAnswerBytes = 4096

// Key names an idempotency key of a workload.
type Key struct {
	Workload heatherhub.WorkloadID     `msgpack:"w"`
	Key      heatherhub.IdempotencyKey `msgpack:"k"`
}

// Record is one change of a shard's durable state.
type Record struct {
	Kind Kind `msgpack:"t"`
	// At is the wall-clock time of the change, in milliseconds since 1970.
	At      int64                    `msgpack:"a"`
	Job     *heatherhub.Job          `msgpack:"j,omitempty"`
	ID      heatherhub.JobID         `msgpack:"i,omitempty"`
	Indexes []int                    `msgpack:"n,omitempty"`
	Ref     heatherhub.CheckpointRef `msgpack:"c,omitempty"`
	Reason  string                   `msgpack:"r,omitempty"`
	Key     *Key                     `msgpack:"k,omitempty"`
	Status  int                      `msgpack:"s,omitempty"`
	Body    []byte                   `msgpack:"b,omitempty"`
	Digest  uint64                   `msgpack:"d,omitempty"`
}

// DecodeMsgpack decodes a record and checks it.
func (r *Record) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire Record
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	if err := Record(w).check(); err != nil {
		return err
	}
	*r = Record(w)
	return nil
}

func (r Record) check() error {
	switch r.Kind {
	case KindJob:
		if r.Job == nil {
			return heatherhub.ErrInvalid.New("ledger record of kind %q has no job: restore the segment", r.Kind)
		}
	case KindCancel, KindFinished, KindCheckpoint, KindPark:
		if r.ID == "" {
			return heatherhub.ErrInvalid.New("ledger record of kind %q has no job id: restore the segment", r.Kind)
		}
	case KindClaim, KindAnswer, KindRelease:
		if r.Key == nil {
			return heatherhub.ErrInvalid.New("ledger record of kind %q has no key: restore the segment", r.Kind)
		}
	default:
		return heatherhub.ErrInvalid.New("ledger record of unknown kind %q: run a newer version", r.Kind)
	}
	return nil
}

// entity names what a record is about.
func (r Record) entity() entity {
	if r.Key != nil {
		return entity{key: *r.Key}
	}
	if r.Job != nil {
		return entity{job: r.Job.ID}
	}
	return entity{job: r.ID}
}

// supersedesEarlier reports whether the record makes earlier ones of its entity
// unneeded.
func (r Record) supersedesEarlier() bool {
	return r.Kind == KindJob || r.Kind == KindClaim || r.Kind == KindAnswer
}

type entity struct {
	job heatherhub.JobID
	key Key
}

// Grant is the state of a claimed key.
type Grant struct {
	At       time.Time
	Answered bool
	Answer   worker.Answer
}

// IsExpired reports whether the grant may be forgotten.
func (g *Grant) IsExpired(now time.Time) bool {
	return now.Sub(g.At) > route.KeyTTL
}

// State is the durable state of a shard: what a replay of its records gives.
type State struct {
	Jobs    map[heatherhub.JobID]*heatherhub.Job
	Keys    map[Key]*Grant
	endedAt map[heatherhub.JobID]time.Time
}

func newState() *State {
	return &State{
		Jobs:    make(map[heatherhub.JobID]*heatherhub.Job),
		Keys:    make(map[Key]*Grant),
		endedAt: make(map[heatherhub.JobID]time.Time),
	}
}

func (s *State) apply(r Record) {
	at := time.UnixMilli(r.At)
	switch r.Kind {
	case KindJob:
		job := *r.Job
		s.Jobs[job.ID] = &job
		delete(s.endedAt, job.ID)
		s.recordEnd(&job, at)
	case KindClaim:
		s.Keys[*r.Key] = &Grant{At: at}
	case KindAnswer:
		s.recordAnswer(r)
	case KindRelease:
		delete(s.Keys, *r.Key)
	default:
		if job, ok := s.Jobs[r.ID]; ok {
			applyToJob(job, r)
			s.recordEnd(job, at)
		}
	}
}

func (s *State) recordAnswer(r Record) {
	g, ok := s.Keys[*r.Key]
	if !ok {
		g = &Grant{At: time.UnixMilli(r.At)}
		s.Keys[*r.Key] = g
	}
	g.Answered = true
	g.Answer = worker.Answer{Status: r.Status, Body: r.Body, Digest: r.Digest}
}

func applyToJob(job *heatherhub.Job, r Record) {
	switch r.Kind {
	case KindCancel:
		if job.State != heatherhub.JobDone {
			job.State = heatherhub.JobCancelled
		}
	case KindPark:
		if !job.IsFinal() {
			job.State = heatherhub.JobParked
			job.Reason = r.Reason
		}
	case KindCheckpoint:
		if job.Checkpoints == nil {
			job.Checkpoints = make(map[int]heatherhub.CheckpointRef)
		}
		job.Checkpoints[r.Indexes[0]] = r.Ref
	case KindFinished:
		finishTasks(job, r.Indexes)
	}
}

func finishTasks(job *heatherhub.Job, indexes []int) {
	for _, n := range indexes {
		if !job.HasFinished(n) {
			job.Finished = append(job.Finished, n)
		}
		delete(job.Checkpoints, n)
	}
	if len(job.Finished) == job.Tasks && job.State != heatherhub.JobCancelled {
		job.State = heatherhub.JobDone
		job.Finished = nil
		job.Checkpoints = nil
	}
}

func (s *State) recordEnd(job *heatherhub.Job, at time.Time) {
	if _, ok := s.endedAt[job.ID]; job.IsFinal() && !ok {
		s.endedAt[job.ID] = at
	}
}

// snapshot returns one record that stands for all records of an entity.
func (s *State) snapshot(e entity) (Record, bool) {
	if e.job != "" {
		job, ok := s.Jobs[e.job]
		if !ok {
			return Record{}, false
		}
		return Record{Kind: KindJob, Job: job, At: s.endedAt[e.job].UnixMilli()}, true
	}
	g, ok := s.Keys[e.key]
	if !ok {
		return Record{}, false
	}
	key := e.key
	r := Record{Kind: KindClaim, Key: &key, At: g.At.UnixMilli()}
	if g.Answered {
		r.Kind, r.Status, r.Body, r.Digest = KindAnswer, g.Answer.Status, g.Answer.Body, g.Answer.Digest
	}
	return r, true
}
