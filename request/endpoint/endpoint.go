// Package endpoint decides which replica of a service answers a request, how long
// a request may be queued for one, and when a failing replica is ejected. It only
// computes decisions: it starts no goroutines, reads no clock and does no I/O.
//
// A Pool covers the replicas of one shard. It enforces the slot and connection
// limits of each worker exactly, across all of the worker's replicas.
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
// Every method takes the current time, which must not decrease between calls, and
// returns the resulting decisions, including those on earlier tickets. A Pool is
// not safe for concurrent use; its user holds the lock of the shard.
package endpoint

import (
	"time"

	"heatherhub.example/heatherhub"
)

// TicketID identifies a request within one pool.
type TicketID uint64

// Ticket describes one request that needs a replica.
type Ticket struct {
	ID       TicketID
	Workload heatherhub.WorkloadID
	// Caller is the unit of fair queuing: callers of a service are served in turn.
	Caller string
	// Deadline is the latest time at which the answer is useful.
	Deadline time.Time
	// Avoid lists replicas that are chosen only if no other one is free.
	Avoid []heatherhub.TaskID
	// Fingerprint identifies the request when it is sent again.
	Fingerprint Fingerprint
	// Broken means that a replica of another shard ended the connection of an earlier attempt.
	Broken bool
}

// Endpoint describes a replica to SetEndpoints.
type Endpoint struct {
	Task   heatherhub.TaskID
	Worker heatherhub.WorkerID
	// Slots and Connections are the limits of the worker.
	Slots       int
	Connections int
	// Draining means that the replica gets no new requests.
	Draining bool
}

// Service holds the settings of a service.
type Service struct {
	Priority heatherhub.Priority
	// Concurrency is the number of requests that one replica serves at once.
	Concurrency int
}

// DecisionKind is the action to take for a ticket.
type DecisionKind int

// Kinds of decisions.
const (
	// Start means that the request is to be sent now.
	Start DecisionKind = iota + 1
	// Wait means that the request is queued.
	Wait
	// Refuse is final: the request did not run and will not.
	Refuse
)

// Reason is why a ticket is refused. Its values are metric labels.
type Reason string

// Reasons of refusals.
const (
	// ReasonLate means that the answer would come after the deadline.
	ReasonLate Reason = "late"
	// ReasonQueueFull means that the shard's queue is full.
	ReasonQueueFull Reason = "full"
	// ReasonNoReplica means that the shard has no active replica of the service.
	ReasonNoReplica Reason = "noReplica"
	// ReasonHarmful means that the request has crashed several replicas.
	ReasonHarmful Reason = "harmful"
)

// Decision is the action to take for one ticket.
type Decision struct {
	Ticket TicketID
	Kind   DecisionKind
	// Task and Worker identify the chosen replica. They are set for Start.
	Task   heatherhub.TaskID
	Worker heatherhub.WorkerID
	// LatestStart is the time after which a queued ticket would miss its deadline.
	// It is set for Wait.
	LatestStart time.Time
	// Reason and RetryAfter are set for Refuse.
	Reason     Reason
	RetryAfter time.Duration
}

// Outcome is the result of sending a request to its replica.
type Outcome int

// Outcomes of a started request.
const (
	// Succeeded means that a complete answer arrived.
	Succeeded Outcome = iota + 1
	// Failed means that the answer reports a failure of the replica.
	Failed
	// Rejected means that the replica provably did not run the request.
	Rejected
	// Lost means that no answer came on time. The request may still be running, so
	// its slot stays taken.
	Lost
	// Broken is Lost because the connection ended: the replica may have crashed.
	Broken
	// Unsent means that the request was cancelled before it was sent.
	Unsent
)

// Result reports the end of a started request to Pool.Done.
type Result struct {
	Outcome Outcome
	// Elapsed is the time since the Start decision.
	Elapsed time.Duration
}
