package heatherhub

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// JobState is the durable state of a job.
type JobState string

// States of a job. Running is not kept in the store: the owner learns it from
// the workers.
const (
	JobQueued    JobState = "queued"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
	// JobParked has failed on several workers, or fits no worker even when
	// that is empty. An operator decides.
	JobParked JobState = "parked"
	// JobRunning and JobFailed are shown of workflows; no job record has them.
	JobRunning JobState = "running"
	JobFailed  JobState = "failed"
)

// MaxTasksPerJob is the largest number of tasks in one job.
const MaxTasksPerJob = 10_000

// Job is one accepted piece of batch work.
type Job struct {
	ID       JobID      `msgpack:"id" json:"id"`
	Workload WorkloadID `msgpack:"w" json:"workload"`
	Tasks    int        `msgpack:"n" json:"tasks"`
	Priority Priority   `msgpack:"p,omitempty" json:"priority"`
	// Accepted is the wall-clock time of acceptance.
	Accepted time.Time `msgpack:"at" json:"accepted"`
	State    JobState  `msgpack:"s" json:"state"`
	// Reason says why a job is parked, and the remedy.
	Reason string `msgpack:"why,omitempty" json:"reason,omitempty"`
	// Finished lists the indexes of finished tasks.
	Finished []int `msgpack:"f,omitempty" json:"finished,omitempty"`
	// Checkpoints holds the last kept checkpoint of evicted tasks.
	Checkpoints map[int]CheckpointRef `msgpack:"c,omitempty" json:"checkpoints,omitempty"`
}

// IsFinal reports whether the job will not run again by itself.
func (j *Job) IsFinal() bool {
	return j.State == JobDone || j.State == JobCancelled
}

// HasFinished reports whether the n-th task is recorded as finished.
func (j *Job) HasFinished(n int) bool {
	for _, f := range j.Finished {
		if f == n {
			return true
		}
	}
	return false
}

// Check reports the first error of the record.
func (j *Job) Check() error {
	if err := CheckName("job id", j.ID); err != nil {
		return err
	}
	if err := CheckName("job "+string(j.ID)+": workload", j.Workload); err != nil {
		return err
	}
	if j.Tasks < 1 || j.Tasks > MaxTasksPerJob {
		return ErrInvalid.New("job %s: tasks %d is not within 1 to %d", j.ID, j.Tasks, MaxTasksPerJob)
	}
	switch j.State {
	case JobQueued, JobDone, JobCancelled, JobParked:
		return nil
	default:
		return ErrInvalid.New("job %s: state %q is not known", j.ID, j.State)
	}
}

// DecodeMsgpack decodes a job and checks it.
func (j *Job) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire Job
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	next := Job(w)
	if err := next.Check(); err != nil {
		return err
	}
	*j = next
	return nil
}

// Task is one thing that a worker runs: a service replica or one task of a job.
type Task struct {
	ID       TaskID        `msgpack:"id" json:"id"`
	Workload WorkloadID    `msgpack:"w" json:"workload"`
	Kind     Kind          `msgpack:"k" json:"kind"`
	Team     TeamID        `msgpack:"t" json:"team"`
	Class    string        `msgpack:"cl,omitempty" json:"class,omitempty"`
	Job      JobID         `msgpack:"j,omitempty" json:"job,omitempty"`
	Index    int           `msgpack:"i" json:"index"`
	Size     Resources     `msgpack:"z" json:"size"`
	RunTime  time.Duration `msgpack:"rt,omitempty" json:"runTime,omitempty"`
	Priority Priority      `msgpack:"p,omitempty" json:"priority,omitempty"`
	// Resume is the checkpoint to resume from, or empty.
	Resume CheckpointRef `msgpack:"r,omitempty" json:"resume,omitempty"`
	// Queued is when the task first waited; an evicted task keeps it.
	Queued time.Time `msgpack:"q" json:"queued"`
	// Due is the end of the filing window, or zero.
	Due time.Time `msgpack:"due,omitempty" json:"due,omitempty"`
	// Gang is the number of tasks that must start together, or zero.
	Gang int `msgpack:"g,omitempty" json:"gang,omitempty"`
}
