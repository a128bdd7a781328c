package heatherhub

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// JobState is the state of a job.
type JobState string

// States of a job. The store doesn't record whether a queued job is running: the
// owner learns that from the workers.
const (
	JobQueued    JobState = "queued"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
	// JobParked is the state of a job that failed on several workers, or that doesn't
	// fit even an empty worker. An operator must decide what to do with it.
	JobParked JobState = "parked"
	// JobRunning and JobFailed are reported for workflows only. Job.Check rejects
	// them in a job record.
	JobRunning JobState = "running"
	JobFailed  JobState = "failed"
)

// MaxTasksPerJob is the maximum number of tasks in one job.
const MaxTasksPerJob = 10_000

// Job is an accepted batch job as it is recorded in the store.
type Job struct {
	ID       JobID      `msgpack:"id" json:"id"`
	Workload WorkloadID `msgpack:"w" json:"workload"`
	Tasks    int        `msgpack:"n" json:"tasks"`
	Priority Priority   `msgpack:"p,omitempty" json:"priority"`
	// Accepted is the wall-clock time of acceptance.
	Accepted time.Time `msgpack:"at" json:"accepted"`
	State    JobState  `msgpack:"s" json:"state"`
	// Reason says why a job is parked and what to do about it.
	Reason string `msgpack:"why,omitempty" json:"reason,omitempty"`
	// Finished lists the indices of finished tasks.
	Finished []int `msgpack:"f,omitempty" json:"finished,omitempty"`
	// Checkpoints maps the index of an evicted task to its latest checkpoint.
	Checkpoints map[int]CheckpointRef `msgpack:"c,omitempty" json:"checkpoints,omitempty"`
	// Crashes maps the index of a task to the number of workers that have crashed in a row
	// shortly after they had started it.
	Crashes map[int]int `msgpack:"cr,omitempty" json:"crashes,omitempty"`
}

// IsFinal reports whether the job is done or cancelled. A parked job isn't final.
func (j *Job) IsFinal() bool {
	return j.State == JobDone || j.State == JobCancelled
}

// HasFinished reports whether the task with index n is recorded as finished.
func (j *Job) HasFinished(n int) bool {
	for _, f := range j.Finished {
		if f == n {
			return true
		}
	}
	return false
}

// Check returns the first validation error of the record.
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
		return ErrInvalid.New("job %s: unknown state %q", j.ID, j.State)
	}
}

// DecodeMsgpack decodes and validates a job.
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

// Task is a unit of work that a worker runs: a service replica or one task of a job.
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
	// Resume is the checkpoint to resume from. It is empty if there is none.
	Resume CheckpointRef `msgpack:"r,omitempty" json:"resume,omitempty"`
	// Queued is the time at which the task was first queued. Eviction doesn't change it.
	Queued time.Time `msgpack:"q" json:"queued"`
	// Due is the time by which the job must finish: its acceptance plus the workload's
	// Deadline. It is zero for none.
	Due time.Time `msgpack:"due,omitempty" json:"due,omitempty"`
	// Gang is the number of tasks that must start together. It is zero for a task
	// outside a gang.
	Gang int `msgpack:"g,omitempty" json:"gang,omitempty"`
}
