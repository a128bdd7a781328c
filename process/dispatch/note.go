package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Event names a decision or a change of what the engine believes, for logs.
type Event string

// Events of the engine.
const (
	// EventStarted: tasks of a step were ordered to start.
	EventStarted Event = "tasks started"
	// EventEnded: a run ended otherwise than done.
	EventEnded Event = "run ended"
	// EventUnanswered: a start had no answer; its room stays reserved.
	EventUnanswered Event = "start unanswered"
	// EventRefused: a start was refused; the task waits again.
	EventRefused Event = "start refused"
	// EventStalled: a run stood still and is stopped.
	EventStalled Event = "run stalled"
	// EventQuarantined: a worker failed different jobs in a row and is left alone.
	EventQuarantined Event = "worker quarantined"
	// EventHalted: the fillers beside a missed target are halted.
	EventHalted Event = "fillers halted"
	// EventJobEnded: a job is in a final state.
	EventJobEnded Event = "job ended"
)

// Note is one event with what decided it.
type Note struct {
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
	// Left is the time to the objective; below zero it is missed.
	Left time.Duration
}

func (e *Engine) note(n Note) {
	e.notes = append(e.notes, n)
}

// TakeNotes returns the events since the last call.
func (e *Engine) TakeNotes() []Note {
	out := e.notes
	e.notes = nil
	return out
}

// noteStarts sums the starts of a step in one decision up.
func (e *Engine) noteStarts(now Moment, s *stepRun, count int, worker heatherhub.WorkerID) {
	if count == 0 {
		return
	}
	e.note(Note{
		Event: EventStarted, Job: s.occ.job.flow.ID, Step: s.index, Count: count, Worker: worker,
		Waited: now.Steady - s.readySince, Left: s.occ.objective - now.Steady, Reason: urgencyOf(now.Steady, s).String(),
	})
}

// noteTask notes an event of one attempt.
func (e *Engine) noteTask(event Event, a *attempt, reason string) {
	t := a.task
	e.note(Note{
		Event: event, Job: t.step.occ.job.flow.ID, Step: t.step.index, Index: t.index, Worker: a.node.worker.ID,
		Run: a.run, Reason: reason, Count: 1,
	})
}
