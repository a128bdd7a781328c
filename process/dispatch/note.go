package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Event names a decision or a change of what the engine believes, for logs.
type Event string

// Events of the engine.
const (
	// EventTasksStarted: tasks of a step were ordered to start.
	EventTasksStarted Event = "tasks started"
	// EventRunEnded: a run ended otherwise than done.
	EventRunEnded Event = "run ended"
	// EventStartUnanswered: a start had no answer; its room stays reserved.
	EventStartUnanswered Event = "start unanswered"
	// EventStartRefused: a start was refused; the task waits again.
	EventStartRefused Event = "start refused"
	// EventRunStalled: a run stood still and is stopped.
	EventRunStalled Event = "run stalled"
	// EventWorkerQuarantined: a worker failed different jobs in a row and is left alone.
	EventWorkerQuarantined Event = "worker quarantined"
	// EventFillersHalted: the fillers beside a missed target are halted.
	EventFillersHalted Event = "fillers halted"
	// EventJobEnded: a job is in a final state.
	EventJobEnded Event = "job ended"
)

// EventRecord is one event with what decided it.
type EventRecord struct {
	Event  Event
	Job    heatherhub.JobID
	Step   int
	Index  int
	Worker heatherhub.WorkerID
	Run    heatherhub.RunID
	// Reason is the kind of an end, the outcome of an order or the state of a job.
	Reason string
	// Count is the number of tasks or jobs concerned.
	Count int
	// Waited is how long a step waited, or a job took.
	Waited time.Duration
	// Slack is the time to the objective; below zero it is missed.
	Slack time.Duration
}

func (e *Engine) recordEvent(n EventRecord) {
	e.events = append(e.events, n)
}

// TakeEvents returns the events since the last call.
func (e *Engine) TakeEvents() []EventRecord {
	out := e.events
	e.events = nil
	return out
}

// recordStarts sums the starts of a step in one decision up.
func (e *Engine) recordStarts(now Moment, s *stepRun, count int, worker heatherhub.WorkerID) {
	if count == 0 {
		return
	}
	e.recordEvent(EventRecord{
		Event: EventTasksStarted, Job: s.occ.job.workflow.ID, Step: s.index, Count: count, Worker: worker,
		Waited: now.Steady - s.readySince, Slack: s.occ.objective - now.Steady, Reason: urgencyOf(now.Steady, s).String(),
	})
}

// recordTaskEvent notes an event of one attempt.
func (e *Engine) recordTaskEvent(event Event, a *attempt, reason string) {
	t := a.task
	e.recordEvent(EventRecord{
		Event: event, Job: t.step.occ.job.workflow.ID, Step: t.step.index, Index: t.index, Worker: a.node.worker.ID,
		Run: a.run, Reason: reason, Count: 1,
	})
}
