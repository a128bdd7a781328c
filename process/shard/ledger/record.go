package ledger

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/request/route"
)

// Kind is the change that a record makes.
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
	// KindCrash counts a crash of the worker of a task, which may have caused it.
	KindCrash Kind = "h"
	// KindWorked takes back the crashes of a task that has worked since.
	KindWorked Kind = "o"
	// KindClaim grants the only run of an idempotency key.
	KindClaim Kind = "k"
	// KindAnswer records the answer of a granted run.
	KindAnswer Kind = "s"
	// KindRelease withdraws a grant whose run did not happen.
	KindRelease Kind = "r"
	// KindWorker adds a worker on which tasks of the shard may run.
	KindWorker Kind = "w"
	// KindWorkerGone removes a worker on which none runs any more.
	KindWorkerGone Kind = "g"
)

// MaxAnswerBytes is the largest answer body that is recorded.
const MaxAnswerBytes = 4096

// Key is an idempotency key, which is unique within its workload.
type Key struct {
	Workload heatherhub.WorkloadID     `msgpack:"w"`
	Key      heatherhub.IdempotencyKey `msgpack:"k"`
}

// Record is one change of a shard's durable state. The fields that are set depend on
// its kind.
type Record struct {
	Kind Kind `msgpack:"t"`
	// At is the wall-clock time of the change, in milliseconds since 1970.
	At  int64            `msgpack:"a"`
	Job *heatherhub.Job  `msgpack:"j,omitempty"`
	ID  heatherhub.JobID `msgpack:"i,omitempty"`
	// Indexes holds the indexes of finished tasks, of those that a crash or its withdrawal is
	// about, or of the task with a checkpoint.
	Indexes []int                    `msgpack:"n,omitempty"`
	Ref     heatherhub.CheckpointRef `msgpack:"c,omitempty"`
	Reason  string                   `msgpack:"r,omitempty"`
	Key     *Key                     `msgpack:"k,omitempty"`
	Worker  heatherhub.WorkerID      `msgpack:"w,omitempty"`
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
	case KindCancel, KindFinished, KindCheckpoint, KindPark, KindCrash, KindWorked:
		if r.ID == "" {
			return heatherhub.ErrInvalid.New("ledger record of kind %q has no job id: restore the segment", r.Kind)
		}
	case KindClaim, KindAnswer, KindRelease:
		if r.Key == nil {
			return heatherhub.ErrInvalid.New("ledger record of kind %q has no key: restore the segment", r.Kind)
		}
	case KindWorker, KindWorkerGone:
		if r.Worker == "" {
			return heatherhub.ErrInvalid.New("ledger record of kind %q has no worker: restore the segment", r.Kind)
		}
	default:
		return heatherhub.ErrInvalid.New("ledger record of unknown kind %q: run a newer version", r.Kind)
	}
	return nil
}

// entity returns the job, key or worker that the record changes.
func (r Record) entity() entity {
	if r.Worker != "" {
		return entity{worker: r.Worker}
	}
	if r.Key != nil {
		return entity{key: *r.Key}
	}
	if r.Job != nil {
		return entity{job: r.Job.ID}
	}
	return entity{job: r.ID}
}

// supersedesEarlier reports whether the state of the entity follows from this record
// alone, so that its earlier records are not needed any more.
func (r Record) supersedesEarlier() bool {
	return r.Kind == KindJob || r.Kind == KindClaim || r.Kind == KindAnswer || r.Kind == KindWorker
}

// endsEntity reports whether the entity does not exist any more, so that no record of it
// is needed.
func (r Record) endsEntity() bool {
	return r.Kind == KindRelease || r.Kind == KindWorkerGone
}

// entity is a job, an idempotency key or a worker. Exactly one of the fields is set.
type entity struct {
	job    heatherhub.JobID
	key    Key
	worker heatherhub.WorkerID
}

// Grant is the state of a claimed key.
type Grant struct {
	// At is the time of the claim.
	At       time.Time
	Answered bool
	// Answer is the recorded answer. It is set only if Answered is.
	Answer worker.Answer
}

// IsExpired reports whether the key's lifetime, route.KeyTTL, has ended.
func (g *Grant) IsExpired(now time.Time) bool {
	return now.Sub(g.At) > route.KeyTTL
}

// State is the durable state of a shard, as a replay of its records builds it.
type State struct {
	Jobs map[heatherhub.JobID]*heatherhub.Job
	Keys map[Key]*Grant
	// Workers holds the workers on which tasks of the shard may run.
	Workers map[heatherhub.WorkerID]struct{}
	// endedAt holds the time at which each job reached its final state.
	endedAt map[heatherhub.JobID]time.Time
}

func newState() *State {
	return &State{
		Jobs:    make(map[heatherhub.JobID]*heatherhub.Job),
		Keys:    make(map[Key]*Grant),
		Workers: make(map[heatherhub.WorkerID]struct{}),
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
	case KindWorker:
		s.Workers[r.Worker] = struct{}{}
	case KindWorkerGone:
		delete(s.Workers, r.Worker)
	default:
		if job, ok := s.Jobs[r.ID]; ok {
			applyToJob(job, r)
			s.recordEnd(job, at)
		}
	}
}

// recordAnswer sets the answer of a key. The record of the claim may be gone, since
// that of the answer supersedes it.
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
	case KindCrash:
		if job.Crashes == nil {
			job.Crashes = make(map[int]int)
		}
		for _, n := range r.Indexes {
			job.Crashes[n]++
		}
	case KindWorked:
		for _, n := range r.Indexes {
			delete(job.Crashes, n)
		}
	case KindFinished:
		finishTasks(job, r.Indexes)
	}
}

// finishTasks marks tasks of a job as finished. Once all are, the job is done unless it
// was cancelled; a done job keeps neither task numbers nor checkpoints.
func finishTasks(job *heatherhub.Job, indexes []int) {
	for _, n := range indexes {
		if !job.HasFinished(n) {
			job.Finished = append(job.Finished, n)
		}
		delete(job.Checkpoints, n)
		delete(job.Crashes, n)
	}
	if len(job.Finished) == job.Tasks && job.State != heatherhub.JobCancelled {
		job.State = heatherhub.JobDone
		job.Finished = nil
		job.Checkpoints = nil
		job.Crashes = nil
	}
}

// recordEnd records the time at which a job has become final.
func (s *State) recordEnd(job *heatherhub.Job, at time.Time) {
	if _, ok := s.endedAt[job.ID]; job.IsFinal() && !ok {
		s.endedAt[job.ID] = at
	}
}

// snapshot returns one record that holds the whole state of an entity, or false if the
// entity does not exist any more.
func (s *State) snapshot(e entity) (Record, bool) {
	if e.worker != "" {
		_, ok := s.Workers[e.worker]
		return Record{Kind: KindWorker, Worker: e.worker}, ok
	}
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
