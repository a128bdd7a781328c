package heatherhub

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// QueueID names a queue of workflows.
type QueueID string

// PoolID names a pool of workers that run the tasks of queues.
type PoolID string

// RunID numbers the starts of one task. It only goes up.
type RunID uint64

// Limits of a workflow.
const (
	// MaxSteps is the largest number of steps of a workflow.
	MaxSteps = 64
	// MaxOccurrences is the largest number of times that a workflow is repeated.
	MaxOccurrences = 1_000
)

// Step is one stage of a workflow: a number of equal tasks.
type Step struct {
	Tasks int       `msgpack:"n" json:"tasks"`
	Need  Resources `msgpack:"r" json:"need"`
	// Estimate is what the caller expects one task to take. It may be far off.
	Estimate time.Duration `msgpack:"e,omitempty" json:"estimate,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `msgpack:"a,omitempty" json:"after,omitempty"`
	// Checkpoints says that a task can go on from a checkpoint.
	Checkpoints bool `msgpack:"c,omitempty" json:"checkpoints,omitempty"`
	// Gang says that the tasks work only while all of them run.
	Gang bool `msgpack:"g,omitempty" json:"gang,omitempty"`
	// SameRack says that the tasks are slow if they run in more than one rack.
	SameRack bool `msgpack:"sr,omitempty" json:"sameRack,omitempty"`
	// RequiredLabel is a label that a worker must have.
	RequiredLabel string `msgpack:"l,omitempty" json:"requiredLabel,omitempty"`
	// DataRack is where the data is; elsewhere the tasks are slow.
	DataRack Rack `msgpack:"d,omitempty" json:"dataRack,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; zero is no bound.
	MaxPerWorker int `msgpack:"m,omitempty" json:"maxPerWorker,omitempty"`
	// Speculative says that copies of a task may run side by side.
	Speculative bool `msgpack:"s,omitempty" json:"speculative,omitempty"`
	// LongRunning tasks run until the workflow is cancelled.
	LongRunning bool `msgpack:"lr,omitempty" json:"longRunning,omitempty"`
	// Image names the program; tasks of the same image behave alike.
	Image string `msgpack:"i,omitempty" json:"image,omitempty"`
	// LatencyTarget bounds the tail latency of a serving task; zero is no target.
	LatencyTarget time.Duration `msgpack:"t,omitempty" json:"latencyTarget,omitempty"`
	// Filler tasks take the processor time that others leave unused. Their
	// processors are not counted against a worker's capacity.
	Filler bool `msgpack:"f,omitempty" json:"filler,omitempty"`
	// MaxUnavailable bounds the tasks that the scheduler itself may take away
	// at the same time.
	MaxUnavailable int `msgpack:"u,omitempty" json:"maxUnavailable,omitempty"`
}

// Reserved returns what a task of the step takes from a worker's capacity.
func (s *Step) Reserved() Resources {
	r := s.Need
	if s.Filler {
		r.CPU = 0
	}
	return r
}

// Schedule repeats a workflow at fixed times.
type Schedule struct {
	Times int `msgpack:"n" json:"times"`
	// First is the wall-clock time of the first occurrence.
	First time.Time     `msgpack:"f" json:"first"`
	Every time.Duration `msgpack:"e" json:"every"`
}

// QueuePolicy is what a queue promises for its workflows.
type QueuePolicy struct {
	Pool PoolID `msgpack:"p" json:"pool"`
	// Priority zero goes first.
	Priority int `msgpack:"pr,omitempty" json:"priority"`
	// MaxAttempts is how many runs of a task may fail before its job has failed;
	// zero is no bound.
	MaxAttempts int `msgpack:"m,omitempty" json:"maxAttempts"`
	// Stretch times the longest chain of a job's work, plus Target, is the objective
	// for its completion.
	Stretch float64       `msgpack:"x,omitempty" json:"stretch"`
	Target  time.Duration `msgpack:"t,omitempty" json:"target"`
}

// Workflow is accepted work: steps of tasks that depend on each other.
type Workflow struct {
	ID    JobID   `msgpack:"id" json:"id"`
	Queue QueueID `msgpack:"q" json:"queue"`
	// Payload is handed to each task as it came.
	Payload  string    `msgpack:"p,omitempty" json:"payload,omitempty"`
	Steps    []Step    `msgpack:"st" json:"steps"`
	Schedule *Schedule `msgpack:"sc,omitempty" json:"schedule,omitempty"`
	// Accepted is the wall-clock time of acceptance.
	Accepted time.Time `msgpack:"at" json:"accepted"`
	// Policy is that of the queue at acceptance. It holds for workflows whose queue
	// is gone.
	Policy QueuePolicy `msgpack:"po" json:"policy"`
	// Shard owns the workflow.
	Shard ShardID `msgpack:"sh" json:"shard"`
	// TaskShards names the shards that run tasks of a lasting workflow in the place of its
	// own, by the tasks' numbers over all steps.
	TaskShards map[int]ShardID `msgpack:"ho,omitempty" json:"homes,omitempty"`
}

// ShardOf returns the shard that runs a task, by the task's number over all steps.
func (w *Workflow) ShardOf(task int) ShardID {
	if s, ok := w.TaskShards[task]; ok {
		return s
	}
	return w.Shard
}

// InvolvesShard reports whether a shard owns the workflow or runs tasks of it.
func (w *Workflow) InvolvesShard(s ShardID) bool {
	if w.Shard == s {
		return true
	}
	for _, home := range w.TaskShards {
		if home == s {
			return true
		}
	}
	return false
}

// CanSplit reports whether shards may share the tasks of the workflow: nothing that
// follows depends on their ends.
func (w *Workflow) CanSplit() bool {
	return len(w.Steps) == 1 && w.Steps[0].LongRunning && !w.Steps[0].Gang && w.Schedule == nil
}

// Occurrences returns how many times the steps run.
func (w *Workflow) Occurrences() int {
	if w.Schedule == nil {
		return 1
	}
	return w.Schedule.Times
}

// IsLongRunning reports whether a step runs until the workflow is cancelled.
func (w *Workflow) IsLongRunning() bool {
	for i := range w.Steps {
		if w.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Due returns the wall-clock time from which occurrence k may start.
func (w *Workflow) Due(k int) time.Time {
	if w.Schedule == nil {
		return w.Accepted
	}
	return w.Schedule.First.Add(time.Duration(k) * w.Schedule.Every)
}

// Check reports the first error of the workflow.
func (w *Workflow) Check() error {
	if err := CheckName("job", w.ID); err != nil {
		return err
	}
	if len(w.Steps) == 0 || len(w.Steps) > MaxSteps {
		return ErrInvalid.New("job %s has %d steps: use 1 to %d", w.ID, len(w.Steps), MaxSteps)
	}
	if n := w.Occurrences(); n < 1 || n > MaxOccurrences {
		return ErrInvalid.New("job %s is repeated %d times: use 1 to %d", w.ID, n, MaxOccurrences)
	}
	total := 0
	for i := range w.Steps {
		if err := w.checkStep(i); err != nil {
			return err
		}
		total += w.Steps[i].Tasks
	}
	if total > MaxTasksPerJob {
		return ErrInvalid.New("job %s has %d tasks: use at most %d", w.ID, total, MaxTasksPerJob)
	}
	return w.checkHomes(total)
}

func (w *Workflow) checkHomes(total int) error {
	if len(w.TaskShards) > 0 && !w.CanSplit() {
		return ErrInvalid.New("job %s is divided among shards: only one step of tasks that last may be", w.ID)
	}
	for task := range w.TaskShards {
		if task < 0 || task >= total {
			return ErrInvalid.New("job %s has no task %d that a shard could run", w.ID, task)
		}
	}
	return nil
}

func (w *Workflow) checkStep(i int) error {
	s := &w.Steps[i]
	if s.Tasks < 1 {
		return ErrInvalid.New("step %d of job %s has %d tasks: use 1 or more", i, w.ID, s.Tasks)
	}
	if s.Estimate < 0 || s.MaxPerWorker < 0 || s.LatencyTarget < 0 || s.MaxUnavailable < 0 {
		return ErrInvalid.New("step %d of job %s has a negative bound: use 0 or more", i, w.ID)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return ErrInvalid.New("step %d of job %s waits for step %d: name earlier steps only", i, w.ID, a)
		}
	}
	return s.Need.Check()
}

// DecodeMsgpack decodes a workflow and checks it.
func (w *Workflow) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire Workflow
	var v wire
	if err := d.Decode(&v); err != nil {
		return err
	}
	decoded := Workflow(v)
	if err := decoded.Check(); err != nil {
		return err
	}
	*w = decoded
	return nil
}

// StepTask names one task: an index in a step of one occurrence of a workflow.
type StepTask struct {
	Job        JobID `msgpack:"j" json:"job"`
	Occurrence int   `msgpack:"o,omitempty" json:"occurrence"`
	Step       int   `msgpack:"s,omitempty" json:"step"`
	Index      int   `msgpack:"i,omitempty" json:"index"`
}

// String names the task as logs do: job.occurrence.step.index.
func (t StepTask) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// WorkflowState is what callers are told of a workflow.
type WorkflowState string

// States of a workflow.
const (
	WorkflowQueued    WorkflowState = "queued"
	WorkflowRunning   WorkflowState = "running"
	WorkflowCompleted WorkflowState = "completed"
	WorkflowFailed    WorkflowState = "failed"
	WorkflowCancelled WorkflowState = "cancelled"
)

// IsFinal reports whether the state never changes again.
func (s WorkflowState) IsFinal() bool {
	return s == WorkflowCompleted || s == WorkflowFailed || s == WorkflowCancelled
}
