package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/shard/ledger"
	"heatherhub.example/heatherhub/request/route"
)

// CallKind tells what a call does.
type CallKind string

// Kinds of calls to the store and to the workers.
const (
	CallGet        CallKind = "get"
	CallList       CallKind = "list"
	CallWrite      CallKind = "write"
	CallGrant      CallKind = "grant"
	CallRenewLease CallKind = "renewLease"
	CallRevoke     CallKind = "revoke"
	CallStart      CallKind = "start"
	CallRenew      CallKind = "renew"
	CallCheckpoint CallKind = "checkpoint"
	CallThrottle   CallKind = "throttle"
	CallStop       CallKind = "stop"
)

// Call is one call that the decisions want made. Calls to one worker are made in
// order.
type Call struct {
	Kind CallKind
	// Shard is zero for the calls of the host itself.
	Shard heatherhub.ShardID
	// NotAfter is checked immediately before the call is sent; zero for none.
	NotAfter time.Time

	Key   string
	Write store.Write
	Lease store.LeaseID
	TTL   time.Duration

	Worker heatherhub.WorkerID
	Start  worker.StartCommand
	Renew  worker.RenewCommand
	Task   heatherhub.TaskID
	Share  heatherhub.Percent

	purpose purpose
	epoch   heatherhub.Epoch
	op      ledger.Op
	// owner is the ownership that made the call.
	owner *shard
}

// IsWorker reports whether the call goes to a worker.
func (c *Call) IsWorker() bool {
	switch c.Kind {
	case CallStart, CallRenew, CallCheckpoint, CallThrottle, CallStop:
		return true
	default:
		return false
	}
}

// Priority orders the calls to the store: what keeps ownership goes first, then
// what callers and operators wait for.
func (c *Call) Priority() store.Priority {
	switch c.purpose {
	case purposeNone:
		return store.PriorityInteractive
	case purposeRemote:
		return store.PriorityBackground
	default:
		return store.PriorityOwnership
	}
}

// Expired reports whether the call may no longer be sent.
func (c *Call) Expired(now time.Time) bool {
	return !c.NotAfter.IsZero() && !now.Before(c.NotAfter)
}

// Answer is the outcome of a call.
type Answer struct {
	Call Call
	// Sent is when the call was sent, on the sender's clock.
	Sent       time.Time
	Err        error
	Entries    []store.Entry
	Revision   store.Revision
	Lease      store.LeaseID
	Report     worker.Report
	Checkpoint heatherhub.CheckpointRef
}

// ExpiredAnswer is the answer to a call that was not sent in time.
func ExpiredAnswer(c Call, now time.Time) Answer {
	return Answer{Call: c, Sent: now, Err: heatherhub.ErrUnavailable.New("the right to act ended before the %s was sent: wait for the owner", c.Kind)}
}

// Ticket names a waiting operator or caller.
type Ticket uint64

// Reply ends the wait of a ticket.
type Reply struct {
	Ticket Ticket
	Job    heatherhub.Job
	Claim  route.Claim
	Err    error
}

// Output is what a step wants done.
type Output struct {
	Calls   []Call
	Replies []Reply
}

func (o *Output) add(p Output) {
	o.Calls = append(o.Calls, p.Calls...)
	o.Replies = append(o.Replies, p.Replies...)
}

// purpose tells the host's calls apart.
type purpose int

const (
	purposeNone purpose = iota
	purposeSession
	purposePoll
	purposeRemote
	purposeTake
	purposeContinue
	purposeRelease
	purposeKeep
)
