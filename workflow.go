package heatherhub

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// QueueID identifies a queue of workflows.
type QueueID string

// PoolID identifies a pool of workers. Each queue's tasks run on one pool.
type PoolID string

// RunID numbers the starts of one task. It increases with each start.
type RunID uint64

// Limits of a workflow.
const (
	// MaxSteps is the maximum number of steps of a workflow.
	MaxSteps = 64
	// MaxOccurrences is the maximum number of times that a workflow runs on its schedule.
	MaxOccurrences = 1_000
)

// Step is one stage of a workflow: a number of identical tasks.
type Step struct {
	Tasks int `msgpack:"n" json:"tasks"`
	// Need is the amount of resources that each task requires.
	Need Resources `msgpack:"r" json:"need"`
	// Estimate is the caller's estimate of the run time of one task. It may be
	// inaccurate.
	Estimate time.Duration `msgpack:"e,omitempty" json:"estimate,omitempty"`
	// After lists the indices of earlier steps whose tasks must all be done before
	// this step starts.
	After []int `msgpack:"a,omitempty" json:"after,omitempty"`
	// Checkpoints says that a task can resume from a checkpoint.
	Checkpoints bool `msgpack:"c,omitempty" json:"checkpoints,omitempty"`
	// Gang says that the tasks make progress only while all of them run.
	Gang bool `msgpack:"g,omitempty" json:"gang,omitempty"`
	// SameRack says that the tasks run slowly if they are spread over several racks.
	SameRack bool `msgpack:"sr,omitempty" json:"sameRack,omitempty"`
	// RequiredLabel is a label that a worker must have to run the tasks. Empty
	// requires none.
	RequiredLabel string `msgpack:"l,omitempty" json:"requiredLabel,omitempty"`
	// DataRack is the rack that holds the tasks' data. The tasks run slowly in other
	// racks.
	DataRack Rack `msgpack:"d,omitempty" json:"dataRack,omitempty"`
	// MaxPerWorker is the maximum number of the step's tasks on one worker. Zero
	// means no limit.
	MaxPerWorker int `msgpack:"m,omitempty" json:"maxPerWorker,omitempty"`
	// Speculative allows several copies of a task to run at the same time.
	Speculative bool `msgpack:"s,omitempty" json:"speculative,omitempty"`
	// LongRunning says that the tasks run until the workflow is cancelled.
	LongRunning bool `msgpack:"lr,omitempty" json:"longRunning,omitempty"`
	// Image names the program that the tasks run. Interference is learned per image,
	// so tasks with the same image should behave alike.
	Image string `msgpack:"i,omitempty" json:"image,omitempty"`
	// LatencyTarget is the tail latency objective of a serving task. Zero means none.
	LatencyTarget time.Duration `msgpack:"t,omitempty" json:"latencyTarget,omitempty"`
	// Filler says that the tasks use processor time that other tasks leave idle.
	// Their processor need doesn't count against a worker's capacity.
	Filler bool `msgpack:"f,omitempty" json:"filler,omitempty"`
	// MaxUnavailable is the maximum number of the step's tasks that the scheduler may
	// itself disrupt at the same time.
	MaxUnavailable int `msgpack:"u,omitempty" json:"maxUnavailable,omitempty"`
}

// Reserved returns the resources that a task of the step reserves on a worker.
func (s *Step) Reserved() Resources {
	r := s.Need
	if s.Filler {
		r.CPU = 0
	}
	return r
}

// Schedule repeats a workflow at a fixed interval.
type Schedule struct {
	// Times is the number of occurrences.
	Times int `msgpack:"n" json:"times"`
	// First is the wall-clock time of the first occurrence.
	First time.Time `msgpack:"f" json:"first"`
	// Every is the interval between the start times of two occurrences.
	Every time.Duration `msgpack:"e" json:"every"`
}

// QueuePolicy holds the settings that a queue applies to its workflows.
type QueuePolicy struct {
	Pool PoolID `msgpack:"p" json:"pool"`
	// Priority orders queues. The lowest value is scheduled first, unlike with the
	// type Priority.
	Priority int `msgpack:"pr,omitempty" json:"priority"`
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	// Zero means no limit.
	MaxAttempts int `msgpack:"m,omitempty" json:"maxAttempts"`
	// Stretch and Target set the objective for a job's completion time: Stretch times
	// the length of the job's critical path, plus Target.
	Stretch float64       `msgpack:"x,omitempty" json:"stretch"`
	Target  time.Duration `msgpack:"t,omitempty" json:"target"`
}

// Span returns the time from acceptance to the objective of a job whose longest chain of
// steps takes chain.
func (p *QueuePolicy) Span(chain time.Duration) time.Duration {
	return time.Duration(float64(chain)*max(p.Stretch, 1)) + p.Target
}

// ValueSpans is the number of spans after which the completion of a job has no value.
const ValueSpans = 3

// LongestChain returns the time of the longest chain of steps that depend on each other.
func LongestChain(steps []Step, timeOf func(*Step) time.Duration) time.Duration {
	var buffer [MaxSteps]time.Duration
	ends := buffer[:min(len(steps), MaxSteps)]
	var chain time.Duration
	for i := range ends {
		for _, a := range steps[i].After {
			if a >= 0 && a < i {
				ends[i] = max(ends[i], ends[a])
			}
		}
		ends[i] += timeOf(&steps[i])
		chain = max(chain, ends[i])
	}
	return chain
}

// Workflow is an accepted job that consists of dependent steps.
type Workflow struct {
	ID    JobID   `msgpack:"id" json:"id"`
	Queue QueueID `msgpack:"q" json:"queue"`
	// Payload is passed to each task unchanged.
	Payload  string    `msgpack:"p,omitempty" json:"payload,omitempty"`
	Steps    []Step    `msgpack:"st" json:"steps"`
	Schedule *Schedule `msgpack:"sc,omitempty" json:"schedule,omitempty"`
	// Accepted is the wall-clock time of acceptance.
	Accepted time.Time `msgpack:"at" json:"accepted"`
	// Policy is the queue's policy at acceptance. It applies if the queue no longer
	// exists.
	Policy QueuePolicy `msgpack:"po" json:"policy"`
	// Shard owns the workflow.
	Shard ShardID `msgpack:"sh" json:"shard"`
	// TaskShards maps tasks of a split workflow to the shards that run them in place
	// of Shard. The key is the task's number, counted over all steps.
	TaskShards map[int]ShardID `msgpack:"ho,omitempty" json:"homes,omitempty"`
	// Crashes has the crashes of tasks that were moved to other shards, as of their last move.
	Crashes []CrashedRun `msgpack:"cr,omitempty" json:"crashes,omitempty"`
	// HasBegun means that a run of the workflow had begun when the workflow was last moved to
	// another shard.
	HasBegun bool `msgpack:"bg,omitempty" json:"begun,omitempty"`
	// ProgressRevision is the revision that the workflow's progress had then. The owner of Shard
	// starts nothing before it has read the progress of that revision or a later one.
	ProgressRevision uint64 `msgpack:"pr,omitempty" json:"progressRevision,omitempty"`
	// Relocations are the moves to other shards of the last seconds before the last one.
	Relocations []Relocation `msgpack:"rl,omitempty" json:"relocations,omitempty"`
}

// Relocation is a move of a workflow, or of some of its tasks, to another shard.
type Relocation struct {
	At time.Time `msgpack:"at" json:"at"`
	// Tasks has the numbers of the tasks; nil means the whole workflow.
	Tasks []int `msgpack:"t,omitempty" json:"tasks,omitempty"`
}

// StepOf returns the step of a task, which is numbered over all steps.
func (w *Workflow) StepOf(task int) *Step {
	for i := range w.Steps {
		if task < w.Steps[i].Tasks {
			return &w.Steps[i]
		}
		task -= w.Steps[i].Tasks
	}
	return &Step{}
}

// ShardOf returns the shard that runs a task. The task's number is counted over all
// steps.
func (w *Workflow) ShardOf(task int) ShardID {
	if s, ok := w.TaskShards[task]; ok {
		return s
	}
	return w.Shard
}

// InvolvesShard reports whether a shard owns the workflow or runs any of its tasks.
func (w *Workflow) InvolvesShard(s ShardID) bool {
	if w.Shard == s {
		return true
	}
	for _, shard := range w.TaskShards {
		if shard == s {
			return true
		}
	}
	return false
}

// CanSplit reports whether the tasks of the workflow may run in several shards. That
// requires that no later step, gang or occurrence depends on them.
func (w *Workflow) CanSplit() bool {
	return len(w.Steps) == 1 && w.Steps[0].LongRunning && !w.Steps[0].Gang && w.Schedule == nil
}

// Occurrences returns the number of times that the workflow runs.
func (w *Workflow) Occurrences() int {
	if w.Schedule == nil {
		return 1
	}
	return w.Schedule.Times
}

// Work returns the declared work of one occurrence, in millicores times seconds.
func (w *Workflow) Work() float64 {
	work := 0.0
	for i := range w.Steps {
		s := &w.Steps[i]
		work += float64(s.Tasks) * s.Estimate.Seconds() * float64(s.Need.CPU)
	}
	return work
}

// IsLongRunning reports whether any step runs until the workflow is cancelled.
func (w *Workflow) IsLongRunning() bool {
	for i := range w.Steps {
		if w.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Due returns the wall-clock time at which occurrence k may start. Occurrences count
// from 0.
func (w *Workflow) Due(k int) time.Time {
	if w.Schedule == nil {
		return w.Accepted
	}
	return w.Schedule.First.Add(time.Duration(k) * w.Schedule.Every)
}

// Check returns the first validation error of the workflow.
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
	taskCount := 0
	for i := range w.Steps {
		if err := w.checkStep(i); err != nil {
			return err
		}
		taskCount += w.Steps[i].Tasks
	}
	if taskCount > MaxTasksPerJob {
		return ErrInvalid.New("job %s has %d tasks: use at most %d", w.ID, taskCount, MaxTasksPerJob)
	}
	for i := range w.Crashes {
		if err := w.Crashes[i].Check(); err != nil {
			return err
		}
	}
	return w.checkTaskShards(taskCount)
}

func (w *Workflow) checkTaskShards(taskCount int) error {
	if len(w.TaskShards) > 0 && !w.CanSplit() {
		return ErrInvalid.New("job %s is split among shards: only a job with a single long-running step can be", w.ID)
	}
	for task := range w.TaskShards {
		if task < 0 || task >= taskCount {
			return ErrInvalid.New("job %s has no task %d to assign to a shard", w.ID, task)
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
		return ErrInvalid.New("step %d of job %s has a negative estimate or limit: use 0 or more", i, w.ID)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return ErrInvalid.New("step %d of job %s depends on step %d: only earlier steps are allowed", i, w.ID, a)
		}
	}
	return s.Need.Check()
}

// DecodeMsgpack decodes and validates a workflow.
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

// StepTask identifies one task of a workflow by its occurrence, step and index, each
// of which counts from 0.
type StepTask struct {
	Job        JobID `msgpack:"j" json:"job"`
	Occurrence int   `msgpack:"o,omitempty" json:"occurrence"`
	Step       int   `msgpack:"s,omitempty" json:"step"`
	Index      int   `msgpack:"i,omitempty" json:"index"`
}

// String returns the task in the form that logs use: job.occurrence.step.index.
func (t StepTask) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// WorkflowState is the state of a workflow that callers see.
type WorkflowState string

// States of a workflow.
const (
	WorkflowQueued    WorkflowState = "queued"
	WorkflowRunning   WorkflowState = "running"
	WorkflowCompleted WorkflowState = "completed"
	WorkflowFailed    WorkflowState = "failed"
	WorkflowCancelled WorkflowState = "cancelled"
)

// IsFinal reports whether the state can't change any more.
func (s WorkflowState) IsFinal() bool {
	return s == WorkflowCompleted || s == WorkflowFailed || s == WorkflowCancelled
}
