package heatherhub

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// CrashEvidence says how strongly a crash of a worker speaks against a run that was lost with it.
type CrashEvidence int

// Kinds of evidence.
const (
	// CrashBeside: the run had worked for some time, or many workers were lost at once.
	CrashBeside CrashEvidence = iota
	// CrashSuspect: the run had not shown yet that it does no harm to its worker.
	CrashSuspect
	// CrashIsolated: the run was the only suspect there, since its task had been suspected
	// before.
	CrashIsolated
	// CrashCleared: a later run of the task has worked; it takes back the crashes up to this run.
	CrashCleared
)

// String names the evidence for logs and operators.
func (e CrashEvidence) String() string {
	return [...]string{"beside", "suspect", "isolated", "cleared"}[e]
}

// WorkerLoss says how it was known that a worker was lost.
type WorkerLoss int

// Kinds of losses.
const (
	// WorkerReplaced: another worker or incarnation answered in its place, without a notice.
	WorkerReplaced WorkerLoss = iota
	// WorkerLeaseExpired: its lease expired while it could not be reached. It may run on.
	WorkerLeaseExpired
)

// String names the loss for logs and operators.
func (l WorkerLoss) String() string {
	return [...]string{"replaced", "lease expired"}[l]
}

// CrashedRun is a run that was lost with a worker that crashed.
type CrashedRun struct {
	Occurrence int `msgpack:"k,omitempty" json:"occurrence"`
	// Task is the task's number, counted over all steps.
	Task   int      `msgpack:"t,omitempty" json:"task"`
	Run    RunID    `msgpack:"r" json:"run"`
	Worker WorkerID `msgpack:"w" json:"worker"`
	// Life tells lives of a worker apart that states no incarnation: no run had a higher number when it was lost. It is 0 for
	// workers that state one.
	Life     RunID         `msgpack:"b,omitempty" json:"life,omitempty"`
	Evidence CrashEvidence `msgpack:"e,omitempty" json:"evidence"`
	Loss     WorkerLoss    `msgpack:"l,omitempty" json:"loss"`
	// Chance is the estimated probability that the worker crashed for another reason; 0 if it was
	// not estimated.
	Chance float64 `msgpack:"p,omitempty" json:"chance,omitempty"`
	// Age is the time from the start of the run to the loss of contact with the worker.
	Age time.Duration `msgpack:"a,omitempty" json:"age"`
}

// String describes the lost run for logs. Run 0 is a run that a later owner did not see.
func (c CrashedRun) String() string {
	return fmt.Sprintf("%d.%d run %d on %s, %s, after %s: %s, chance %.2g", c.Occurrence, c.Task, c.Run, c.Worker, c.Loss, c.Age, c.Evidence, c.Chance)
}

// ageTolerance bounds the difference of two ages that count as the same: the time that an order
// and the notice of a lost connection may take.
const ageTolerance = 100 * time.Millisecond

// HasAgeOf reports whether both runs had about the same age when contact with their workers was
// lost.
func (c *CrashedRun) HasAgeOf(o *CrashedRun) bool {
	return (c.Age - o.Age).Abs() <= max(ageTolerance, o.Age/10)
}

// IsOfLife reports whether both runs were lost with the same life of a worker.
func (c *CrashedRun) IsOfLife(o *CrashedRun) bool {
	return c.Worker == o.Worker && c.Life == o.Life
}

// Check returns ErrInvalid if a number is out of range or the evidence or loss is unknown.
func (c *CrashedRun) Check() error {
	switch {
	case c.Occurrence < 0 || c.Task < 0 || c.Age < 0:
		return ErrInvalid.New("crashed run %d of task %d in occurrence %d after %s: use numbers of 0 or more", c.Run, c.Task, c.Occurrence, c.Age)
	case c.Evidence < CrashBeside || c.Evidence > CrashCleared:
		return ErrInvalid.New("crashed run %d has evidence %d: use %d to %d", c.Run, int(c.Evidence), int(CrashBeside), int(CrashCleared))
	case c.Loss < WorkerReplaced || c.Loss > WorkerLeaseExpired:
		return ErrInvalid.New("crashed run %d has loss %d: use %d or %d", c.Run, int(c.Loss), int(WorkerReplaced), int(WorkerLeaseExpired))
	case !(c.Chance >= 0 && c.Chance <= 1):
		return ErrInvalid.New("crashed run %d has chance %g: use 0 to 1", c.Run, c.Chance)
	default:
		return nil
	}
}

// DecodeMsgpack decodes and validates a crashed run.
func (c *CrashedRun) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire CrashedRun
	var v wire
	if err := d.Decode(&v); err != nil {
		return err
	}
	decoded := CrashedRun(v)
	if err := decoded.Check(); err != nil {
		return err
	}
	*c = decoded
	return nil
}
