package worker

import (
	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
)

// MaxTasks is the largest number of tasks in one renewal.
const MaxTasks = 10_000

// Check returns the first invalid field of a start as ErrInvalid.
func (c *StartCommand) Check() error {
	if err := heatherhub.CheckName("task", c.Task.ID); err != nil {
		return err
	}
	if err := heatherhub.CheckName("workload", c.Task.Workload); err != nil {
		return err
	}
	switch {
	case c.Task.Kind != heatherhub.KindService && c.Task.Kind != heatherhub.KindBatch:
		return heatherhub.ErrInvalid.New("task %s: kind %q is neither service nor batch", c.Task.ID, c.Task.Kind)
	case c.Task.RunTime < 0:
		return heatherhub.ErrInvalid.New("task %s: run time %s is negative: use 0 or more", c.Task.ID, c.Task.RunTime)
	case c.LeaseUntil.IsZero():
		return heatherhub.ErrInvalid.New("task %s: the start has no lease: set leaseUntil", c.Task.ID)
	}
	return nil
}

// DecodeMsgpack decodes a start and checks it. c is unchanged on error.
func (c *StartCommand) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire StartCommand
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	next := StartCommand(w)
	if err := next.Check(); err != nil {
		return err
	}
	*c = next
	return nil
}

// Check returns the first invalid field of a renewal as ErrInvalid.
func (c *RenewCommand) Check() error {
	if n := len(c.Tasks) + len(c.Confirmed); n > MaxTasks {
		return heatherhub.ErrInvalid.New("the renewal lists %d tasks: list at most %d", n, MaxTasks)
	}
	if len(c.Tasks) > 0 && c.LeaseUntil.IsZero() {
		return heatherhub.ErrInvalid.New("the renewal has no lease: set leaseUntil")
	}
	return nil
}

// DecodeMsgpack decodes a renewal and checks it. c is unchanged on error.
func (c *RenewCommand) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire RenewCommand
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	next := RenewCommand(w)
	if err := next.Check(); err != nil {
		return err
	}
	*c = next
	return nil
}

// Check returns the first invalid field of a status as ErrInvalid.
func (s *TaskStatus) Check() error {
	if err := heatherhub.CheckName("task", s.Task.ID); err != nil {
		return err
	}
	switch s.State {
	case TaskRunning, TaskFinished, TaskFailed, TaskStopped:
		return nil
	default:
		return heatherhub.ErrInvalid.New("task %s: unknown state %q: check the worker's version", s.Task.ID, s.State)
	}
}

// DecodeMsgpack decodes a status and checks it. s is unchanged on error.
func (s *TaskStatus) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire TaskStatus
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	next := TaskStatus(w)
	if err := next.Check(); err != nil {
		return err
	}
	*s = next
	return nil
}

// Check returns the first invalid task status of a report as ErrInvalid.
func (r *Report) Check() error {
	for i := range r.Tasks {
		if err := r.Tasks[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack decodes a report and checks it. The tasks are checked here again,
// because msgpack does not call the decoder of a nil element. r is unchanged on error.
func (r *Report) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire Report
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	next := Report(w)
	if err := next.Check(); err != nil {
		return err
	}
	*r = next
	return nil
}
