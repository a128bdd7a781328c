// Package agent defines the commands, reports and interface of the agents, the
// processes that run tasks under a lease on the workers. Package heatherhub/platform
// has the HTTP client that implements the interface.
//
// # Usage
//
//	err := a.Start(ctx, agent.Start{Task: t, Run: run, Token: token, LeaseUntil: until})
//	switch heatherhub.CodeOf(err) {
//	case heatherhub.CodeOK: // the task runs
//	case heatherhub.CodeUnknown: // the task may start now or later: use Stop and Poll
//	default: // the task did not start
//	}
//
// An agent rejects every command whose fencing token is lower than the highest one
// it has seen. It kills all its tasks when its lease, measured on its own clock,
// expires. After a stop it rejects starts of that run and of earlier runs.
package agent

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"heatherhub.example/heatherhub"
)

// Token is a fencing token: owners with a higher token displace those with a lower one.
type Token uint64

// Clock is a reading of an agent's own monotonic clock, in milliseconds.
type Clock int64

// Add returns the reading d after c.
func (c Clock) Add(d time.Duration) Clock {
	return c + Clock(d.Milliseconds())
}

// Sub returns the time from o to c.
func (c Clock) Sub(o Clock) time.Duration {
	return time.Duration(c-o) * time.Millisecond
}

// Start is the command to run a task.
type Start struct {
	Task    heatherhub.StepTask
	Run     heatherhub.RunID
	Payload string
	// LeaseUntil is the end of the lease. The agent rejects a start that arrives later.
	LeaseUntil Clock
	// LeastClock is what the agent's clock reads at least; a lower reading is that of another
	// incarnation.
	LeastClock Clock
	Token      Token
	Checkpoint heatherhub.CheckpointRef
}

// Stop is the command to end a run. The agent then rejects starts of that run and of
// earlier ones of the task.
type Stop struct {
	Task  heatherhub.StepTask
	Run   heatherhub.RunID
	Token Token
}

// Throttle is the command to limit a run to a percentage of its full speed.
type Throttle struct {
	Task    heatherhub.StepTask
	Run     heatherhub.RunID
	Percent heatherhub.Percent
	Token   Token
}

// Poll renews the lease, acknowledges ended runs and requests a Report.
type Poll struct {
	Token Token
	// AcknowledgedUpTo is the highest sequence number of an ended run that the agent
	// may forget.
	AcknowledgedUpTo uint64
	// LeaseUntil is the new end of the lease; zero leaves the lease unchanged.
	LeaseUntil Clock
	// LeastClock is that of Start.
	LeastClock Clock
	// Wait is how long the agent waits for a run to end before it responds.
	Wait time.Duration
}

// EndKind is the way in which a run ended.
type EndKind string

// Ways in which a run ends.
const (
	EndDone EndKind = "done"
	// EndFailed means that the task or the worker failed.
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndExpired means that the lease expired.
	EndExpired EndKind = "expired"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not start in time.
	EndGangIncomplete EndKind = "alone"
)

// Running is the state of one active run.
type Running struct {
	Task       heatherhub.StepTask
	Run        heatherhub.RunID
	Checkpoint heatherhub.CheckpointRef
	Progress   heatherhub.Percent
	// Measurement is an estimate over the last half second: the tail latency in
	// milliseconds for a serving task, the number of processors in use for any other.
	Measurement float64
	// HasMeasurement reports whether the agent sent a measurement.
	HasMeasurement bool
}

// Ended is one run that has ended and has not been acknowledged.
type Ended struct {
	// Sequence numbers the ended runs of an agent; see Poll.AcknowledgedUpTo.
	Sequence   uint64
	Task       heatherhub.StepTask
	Run        heatherhub.RunID
	Kind       EndKind
	Checkpoint heatherhub.CheckpointRef
}

// Report is an agent's response to a poll.
type Report struct {
	Clock   Clock
	Running []Running
	// Ended has the ended runs with the lowest numbers, at most MaxEnded.
	Ended []Ended
}

// MaxEnded is the maximum number of ended runs in one report.
const MaxEnded = 500

// IsComplete reports whether the report lists all runs that have ended and are not
// acknowledged.
func (r *Report) IsComplete() bool {
	return len(r.Ended) < MaxEnded
}

// RefusedError means that the agent rejected a command without acting on it.
type RefusedError struct {
	Reason Reason
	Clock  Clock
}

// Reason is why an agent rejected a command.
type Reason string

// Reasons for rejecting a command.
const (
	// ReasonFenced means that another owner has used a higher token.
	ReasonFenced Reason = "fenced"
	// ReasonStaleRun means that the run is not newer than the last ended or stopped
	// run of the task.
	ReasonStaleRun Reason = "oldRun"
	// ReasonLate means that the lease had expired when the start arrived.
	ReasonLate Reason = "late"
	// ReasonNoCapacity means that the task does not fit into the free capacity.
	ReasonNoCapacity Reason = "noRoom"
	// ReasonNoPermit means that the agent requires a permit which is missing or has
	// expired. Commands of this package carry none.
	ReasonNoPermit Reason = "noPermit"
	// ReasonUnhealthy means that the agent currently accepts no tasks.
	ReasonUnhealthy Reason = "unhealthy"
	// ReasonInvalid means that the command was malformed or its target does not exist.
	ReasonInvalid Reason = "invalid"
)

// Error returns a message with the reason.
func (e *RefusedError) Error() string {
	return "the agent rejected the command: " + string(e.Reason)
}

// ErrWorkerReplaced means that another worker responds at the address: the expected one has
// ended, and none of its tasks run.
var ErrWorkerReplaced = heatherhub.Errors.NewType("workerReplaced")

// RestartedError means that a call was answered by another incarnation of the worker than the
// expected one, which is over: incarnations follow one another, and the call was sent after the
// expected one was known. Found is Expected if only the clock tells that, which went back. The caller
// decides by Report, which is set in that case.
type RestartedError struct {
	Expected, Found heatherhub.WorkerID
	Report          *Report
}

// Error returns a message with both incarnations.
func (e *RestartedError) Error() string {
	if e.Report != nil {
		return "worker " + string(e.Expected) + " may have started again: its clock went back to " + strconv.FormatInt(int64(e.Report.Clock), 10) + " ms"
	}
	return "worker " + string(e.Expected) + " has started again as " + string(e.Found)
}

// CheckClock returns *RestartedError if the clock in a report reads less than least.
func CheckClock(id heatherhub.WorkerID, r *Report, least Clock) error {
	if r.Clock >= least {
		return nil
	}
	return &RestartedError{Expected: id, Found: id, Report: r}
}

// ReportBehindClock returns the report in an error that CheckClock has returned, or nil.
func ReportBehindClock(err error) *Report {
	var e *RestartedError
	if errors.As(err, &e) {
		return e.Report
	}
	return nil
}

// IsWorkerRestarted reports whether an error is a *RestartedError.
func IsWorkerRestarted(err error) bool {
	var e *RestartedError
	return errors.As(err, &e)
}

// Agent is a connection to one incarnation of a worker. Commands and polls use separate
// connections, so they may arrive out of order. A command does not say which incarnation of
// the worker carried it out: the next one may, too.
//
// A connection leads to one incarnation. A call that extends the lease or acknowledges ended runs is
// sent over a new connection only once the incarnation there has listed its runs.
type Agent interface {
	// Start, Stop and Throttle return the agent's clock. The error is nil if the
	// agent carried out the command, a *RefusedError if it rejected it,
	// ErrWorkerReplaced if another worker has the address,
	// heatherhub.ErrUnavailable if the command was not sent, and
	// heatherhub.ErrUnknown if no response arrived. Start returns *RestartedError, and has sent
	// nothing, if a new connection leads to another incarnation.
	Start(ctx context.Context, s Start) (Clock, error)
	Stop(ctx context.Context, s Stop) (Clock, error)
	Throttle(ctx context.Context, p Throttle) (Clock, error)
	// Poll returns the same errors as the commands, and *RestartedError if another
	// incarnation of the worker responded. Its report is dropped, and its ended runs are
	// not acknowledged.
	Poll(ctx context.Context, p Poll) (Report, error)
	Close()
}

// IsWorkerReplaced reports whether an error is ErrWorkerReplaced.
func IsWorkerReplaced(err error) bool {
	var e *errorx.Error
	return errors.As(err, &e) && e.IsOfType(ErrWorkerReplaced)
}
