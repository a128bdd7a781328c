// Package endpoint decides which replica of a service answers a request, how long
// a request may wait for one, and when a replica is left alone for a while. It is
// pure decision code: no goroutine, no clock of its own, no input or output.
//
// A Pool decides for the replicas of one shard. It counts the slots and
// connections of each worker exactly, over all of the worker's replicas.
//
// # Usage
//
//	p := endpoint.NewPool(endpoint.Config{})
//	p.SetService("compile", endpoint.Service{Priority: 200, Concurrency: 4})
//	p.SetEndpoints(now, "compile", endpoints)
//	for _, d := range p.Offer(now, endpoint.Ticket{ID: 1, Workload: "compile", Deadline: end}) {
//		switch d.Kind {
//		case endpoint.Start:  // send it to d.Task on d.Worker, then p.Done
//		case endpoint.Wait:   // call p.Expire at d.LatestStart
//		case endpoint.Refuse: // it did not run; tell the caller d.RetryAfter
//		}
//	}
//
// Every method takes the current time, which never goes back, and returns the
// decisions that follow from it, also those about earlier tickets. A Pool is not
// safe for concurrent use; its user guards it with the lock of the shard.
package endpoint

import (
	"time"

	"heatherhub.example/heatherhub"
)

// TicketID names a request inside one pool.
type TicketID uint64

// Ticket is one request that asks for a replica.
type Ticket struct {
	ID       TicketID
	Workload heatherhub.WorkloadID
	// Caller is the customer for fairness.
	Caller string
	// Deadline is when the answer must be there.
	Deadline time.Time
	// Avoid names replicas to take only if there is no other.
	Avoid []heatherhub.TaskID
}

// Endpoint is a replica as the pool is told of it.
type Endpoint struct {
	Task   heatherhub.TaskID
	Worker heatherhub.WorkerID
	// Slots and Connections are the limits of the worker.
	Slots       int
	Connections int
	// Draining says that the replica gets no new requests.
	Draining bool
}

// Service has what the configuration says of a service.
type Service struct {
	Priority heatherhub.Priority
	// Concurrency is the number of requests that one replica takes at once.
	Concurrency int
}

// DecisionKind tells what to do with a ticket.
type DecisionKind int

// Kinds of decisions.
const (
	// Start sends the request now.
	Start DecisionKind = iota + 1
	// Wait keeps the request in the queue.
	Wait
	// Refuse gives the request its final answer: it did not run.
	Refuse
)

// Reason tells why a ticket is refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonLate says that the answer would come after the deadline.
	ReasonLate Reason = "late"
	// ReasonQueueFull says that the queue is full.
	ReasonQueueFull Reason = "full"
	// ReasonNoReplica says that the shard has no replica of the service.
	ReasonNoReplica Reason = "noReplica"
)

// Decision is what to do with one ticket.
type Decision struct {
	Ticket TicketID
	Kind   DecisionKind
	// Task and Worker name the replica of a Start.
	Task   heatherhub.TaskID
	Worker heatherhub.WorkerID
	// LatestStart is when a waiting ticket can no longer be answered on time.
	LatestStart time.Time
	// Reason and RetryAfter belong to a Refuse.
	Reason     Reason
	RetryAfter time.Duration
}

// Outcome is how a started request ended.
type Outcome int

// Outcomes of a started request.
const (
	// Succeeded is a whole answer.
	Succeeded Outcome = iota + 1
	// Failed is an answer that reports a failure of the replica.
	Failed
	// Rejected is a replica that provably did not run the request.
	Rejected
	// Lost is a request without an answer on time: it may still run, so its slot
	// is kept.
	Lost
	// Unsent is a request that was given up before it was sent.
	Unsent
)

// Result is the end of a started request.
type Result struct {
	Outcome Outcome
	// Elapsed is the time since its Start.
	Elapsed time.Duration
}
