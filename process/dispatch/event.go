package dispatch

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Event is the kind of an event record. Its value is the message of the log line.
type Event string

// Event kinds.
const (
	// EventTasksStarted: tasks of a step were ordered to start.
	EventTasksStarted Event = "tasks started"
	// EventRunEnded: a run ended without completing its task.
	EventRunEnded Event = "run ended"
	// EventStartUnanswered: a start order got no reply; its resources stay reserved.
	EventStartUnanswered Event = "start unanswered"
	// EventUnansweredStartOver: a start that got no reply counts as over, for the given reason.
	EventUnansweredStartOver Event = "unanswered start over"
	// EventTaskWaits: a task may not start until something is known, for the given reason.
	EventTaskWaits Event = "task waits"
	// EventOpenStartListed: a worker lists the run of a start that got no reply, or its end.
	EventOpenStartListed Event = "open start listed"
	// EventSecondRunFound: a worker lists a run of a task that is done or has another run.
	EventSecondRunFound Event = "second run found"
	// EventStartRefused: a start order was refused or not sent; the task is pending
	// again.
	EventStartRefused Event = "start refused"
	// EventRunStalled: a run is stopped because it made no progress or its worker is
	// slow.
	EventRunStalled Event = "run stalled"
	// EventRunVacated: a run is stopped because its worker leaves before the run would end.
	EventRunVacated Event = "run vacated"
	// EventRunPreempted: a run is stopped to make room for a job of priority 0.
	EventRunPreempted Event = "run preempted"
	// EventWorkerQuarantined: several jobs in a row failed on a worker, which gets no
	// tasks for a while.
	EventWorkerQuarantined Event = "worker quarantined"
	// EventFillersHalted: fillers on a worker were halted because a serving task missed
	// its latency target.
	EventFillersHalted Event = "fillers halted"
	// EventWaitBegun: tasks of a step wait for a place in their rack, although they could start
	// elsewhere.
	EventWaitBegun Event = "location wait begun"
	// EventWaitPaid: the tasks that waited have started in their rack.
	EventWaitPaid Event = "location wait paid"
	// EventWaitLost: some of them have started elsewhere, or their job is over.
	EventWaitLost Event = "location wait lost"
	// EventCheckpointUnused: no run continues from a checkpoint, for the given reason.
	EventCheckpointUnused Event = "checkpoint unused"
	// EventCheckpointMissing: a task that checkpoints was stopped and has saved nothing.
	EventCheckpointMissing Event = "checkpoint missing"
	// EventJobGivenUp: a task crashes the workers that start it, and its job fails.
	EventJobGivenUp Event = "job given up"
	// EventJobAhead: a job goes before others of its priority, as jobs of its size were
	// served worse than their queue.
	EventJobAhead Event = "job ahead"
	// EventJobEnded: a job reached a final state.
	EventJobEnded Event = "job ended"
)

// EventRecord is one event and the values that led to it. Fields that do not apply are
// zero.
type EventRecord struct {
	Event  Event
	Job    heatherhub.JobID
	Step   int
	Index  int
	Worker heatherhub.WorkerID
	Run    heatherhub.RunID
	// Reason is how a run ended, the outcome of an order, the urgency of a start or the
	// state of a job.
	Reason string
	// Count is the number of tasks or jobs concerned.
	Count int
	// Waited is how long a step waited, a job took or a target was missed, how long ago a start was sent for which a task waits,
	// or how long it was waited for.
	Waited time.Duration
	// Slack is the time left until the objective; negative if the objective is missed.
	// For a quarantined worker it is the length of the quarantine, and for a task that waits the longest time until it may
	// start if its worker is silent from now on.
	Slack time.Duration
	// Age is the time from the start of a lost run to the loss of contact with its worker,
	// and ListedAge its age when a report listed it last, or zero.
	Age, ListedAge time.Duration
	// For is the job for which a run is preempted, and Lost the work that the run repeats.
	For  heatherhub.JobID
	Lost time.Duration
	// Evidence is what the crash of a worker says of a lost run, and Loss how the worker was lost;
	// empty if nothing is held against the run.
	Evidence, Loss string
	// Workers are those that a task has crashed, and Losses the lost runs that are held against its job.
	Workers []heatherhub.WorkerID
	Losses  []heatherhub.CrashedRun
	// Rack is the one that a step waits for. WaitExpected is the expected time until it has a
	// place, or until the start for which a task waits can no longer be carried out, and WaitPays how long the wait pays. WaitGained is the time that a wait has saved.
	Rack                               heatherhub.Rack
	WaitExpected, WaitPays, WaitGained time.Duration
}

func (e *Engine) recordEvent(record EventRecord) {
	e.events = append(e.events, record)
}

// TakeEvents returns the events since the last call.
func (e *Engine) TakeEvents() []EventRecord {
	out := e.events
	e.events = nil
	return out
}

// recordStarts records the tasks of a step that one decision started, as one event, and compares the
// first start of a job with its forecast.
func (e *Engine) recordStarts(now Moment, s *stepRun, count int, worker heatherhub.WorkerID) {
	if count == 0 {
		return
	}
	e.observeStart(now, s)
	e.recordEvent(EventRecord{
		Event: EventTasksStarted, Job: s.occ.job.workflow.ID, Step: s.index, Count: count, Worker: worker,
		Waited: now.Steady - s.readySince, Slack: s.occ.objective - now.Steady, Reason: urgencyOf(now.Steady, s).String(),
	})
}

// recordTaskEvent records an event of one attempt.
func (e *Engine) recordTaskEvent(event Event, a *attempt, reason string) {
	e.recordEvent(newTaskEvent(event, a, reason))
}

// recordLostRun records the end of a run that its worker cannot report.
func (e *Engine) recordLostRun(now Moment, a *attempt, reason string) {
	record := newTaskEvent(EventRunEnded, a, reason)
	record.Age = a.node.lostAt(now.Steady) - a.startedAt
	record.ListedAge = max(a.listedAt-a.startedAt, 0)
	isLost := func(c heatherhub.CrashedRun) bool { return c.Run == a.run && c.Worker == a.node.worker.ID }
	if at := slices.IndexFunc(a.task.crashes, isLost); at >= 0 {
		c := &a.task.crashes[at]
		record.Evidence, record.Loss = c.Evidence.String(), c.Loss.String()
	}
	e.recordEvent(record)
}

func newTaskEvent(event Event, a *attempt, reason string) EventRecord {
	t := a.task
	return EventRecord{
		Event: event, Job: t.step.occ.job.workflow.ID, Step: t.step.index, Index: t.index, Worker: a.node.worker.ID,
		Run: a.run, Reason: reason, Count: 1,
	}
}
