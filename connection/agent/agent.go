// Package agent is what the scheduler knows of the agents: the processes on the
// workers that run tasks under a lease. The package has the messages and the
// interface; the adapter of the platform speaks the protocol.
//
// # Usage
//
//	err := a.Start(ctx, agent.Start{Task: t, Run: run, Token: token, Until: until})
//	switch heatherhub.CodeOf(err) {
//	case heatherhub.CodeOK: // it runs
//	case heatherhub.CodeUnknown: // it may run, now or later: see Stop and Poll
//	default: // it did not start
//	}
//
// An agent obeys the highest fencing token that it has seen and nothing lower. It
// kills everything when its lease, measured on its own clock, expires. A stop
// also refuses all later starts of that run and of lower ones.
package agent

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"heatherhub.example/heatherhub"
)

// Token is a fencing token.
type Token uint64

// Clock is a reading of an agent's own steady clock, in milliseconds.
type Clock int64

// Add returns the reading d later.
func (c Clock) Add(d time.Duration) Clock {
	return c + Clock(d.Milliseconds())
}

// Sub returns the time between two readings.
func (c Clock) Sub(o Clock) time.Duration {
	return time.Duration(c-o) * time.Millisecond
}

// Start asks an agent to run a task.
type Start struct {
	Task    heatherhub.StepTask
	Run     heatherhub.RunID
	Payload string
	// LeaseUntil is the end of the lease; a start that arrives later runs nothing.
	LeaseUntil Clock
	Token      Token
	Checkpoint heatherhub.CheckpointRef
}

// Stop ends a run and refuses later starts up to that run.
type Stop struct {
	Task  heatherhub.StepTask
	Run   heatherhub.RunID
	Token Token
}

// Throttle sets the share of its speed at which a run works.
type Throttle struct {
	Task    heatherhub.StepTask
	Run     heatherhub.RunID
	Percent heatherhub.Percent
	Token   Token
}

// Poll renews the lease, acknowledges ends and asks for the runs.
type Poll struct {
	Token Token
	// AcknowledgedUpTo is the highest end that may be forgotten.
	AcknowledgedUpTo uint64
	// LeaseUntil is the new end of the lease; zero leaves it.
	LeaseUntil Clock
	// Wait is how long the agent waits for an end before it answers.
	Wait time.Duration
}

// EndKind says how a run ended.
type EndKind string

// Kinds of ends.
const (
	EndDone EndKind = "done"
	// EndFailed is the task's own fault or the worker's.
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndExpired means that the lease expired.
	EndExpired EndKind = "expired"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not come in time.
	EndGangIncomplete EndKind = "alone"
)

// Running is one run that an agent lists.
type Running struct {
	Task       heatherhub.StepTask
	Run        heatherhub.RunID
	Checkpoint heatherhub.CheckpointRef
	Progress   heatherhub.Percent
	// Measurement is a rough figure of the last half second: the tail latency in
	// milliseconds of a serving task, the processors in use of any other.
	Measurement float64
	// HasMeasurement says whether the agent gave the figure.
	HasMeasurement bool
}

// Ended is one run that has ended and was not acknowledged yet.
type Ended struct {
	Sequence   uint64
	Task       heatherhub.StepTask
	Run        heatherhub.RunID
	Kind       EndKind
	Checkpoint heatherhub.CheckpointRef
}

// Report is an agent's answer to a poll.
type Report struct {
	Clock   Clock
	Running []Running
	Ended   []Ended
}

// RefusedError says that the agent did nothing, and why.
type RefusedError struct {
	Reason Reason
	Clock  Clock
}

// Reason says why an agent refused an order.
type Reason string

// Reasons of refusals.
const (
	// ReasonFenced means that another owner has used a higher token.
	ReasonFenced Reason = "fenced"
	// ReasonStaleRun means that the run is not above an ended or stopped one.
	ReasonStaleRun Reason = "oldRun"
	// ReasonLate means that the lease of the start was over on arrival.
	ReasonLate Reason = "late"
	// ReasonNoCapacity means that the task does not fit.
	ReasonNoCapacity Reason = "noRoom"
	// ReasonNoPermit means that the permit is missing or expired.
	ReasonNoPermit Reason = "noPermit"
	// ReasonUnhealthy means that the agent takes nothing at present.
	ReasonUnhealthy Reason = "unhealthy"
	// ReasonInvalid means that the order was malformed or named nothing there.
	ReasonInvalid Reason = "invalid"
)

// Error names the reason.
func (e *RefusedError) Error() string {
	return "the agent did nothing: " + string(e.Reason)
}

// ErrWorkerReplaced says that another life of the worker answers at the address: the
// one that was meant is over, and nothing of it runs.
var ErrWorkerReplaced = heatherhub.Errors.NewType("workerReplaced")

// Agent is a connection to one life of one worker. Orders and polls use separate
// connections and may overtake each other.
type Agent interface {
	// Start, Stop and Pace return nil if the agent obeyed, a *RefusedError if it
	// did nothing, ErrWorkerReplaced if that life of the worker is over,
	// heatherhub.ErrUnavailable if the order was not sent, and
	// heatherhub.ErrUnknown if the answer is missing.
	Start(ctx context.Context, s Start) (Clock, error)
	Stop(ctx context.Context, s Stop) (Clock, error)
	Throttle(ctx context.Context, p Throttle) (Clock, error)
	// Poll has the errors of the orders.
	Poll(ctx context.Context, p Poll) (Report, error)
	Close()
}

// IsWorkerReplaced reports whether an error says that the life of the worker is over.
func IsWorkerReplaced(err error) bool {
	var e *errorx.Error
	return errors.As(err, &e) && e.IsOfType(ErrWorkerReplaced)
}
