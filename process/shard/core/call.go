package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/shard/ledger"
	"heatherhub.example/heatherhub/request/route"
)

// CallKind is the operation of a call.
type CallKind string

// Kinds of calls to the store and to the workers.
const (
	CallGet         CallKind = "get"
	CallList        CallKind = "list"
	CallWrite       CallKind = "write"
	CallGrantLease  CallKind = "grant"
	CallRenewLease  CallKind = "renewLease"
	CallRevokeLease CallKind = "revoke"
	CallStart       CallKind = "start"
	CallRenewTasks  CallKind = "renew"
	CallCheckpoint  CallKind = "checkpoint"
	CallThrottle    CallKind = "throttle"
	CallStop        CallKind = "stop"
)

// Call is a call to the store or to a worker that the caller of a step has to make.
// Calls to the same worker must be made in order.
type Call struct {
	Kind CallKind
	// Shard is zero for calls that concern the host and no shard.
	Shard heatherhub.ShardID
	// NotAfter is the time after which the call must not be sent any more; zero for
	// no limit. The sender checks it immediately before the send.
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
	// owner is the shard that made the call. It tells answers to an earlier ownership
	// of the same shard apart.
	owner *shard
}

// TargetsWorker reports whether the call goes to a worker.
func (c *Call) TargetsWorker() bool {
	switch c.Kind {
	case CallStart, CallRenewTasks, CallCheckpoint, CallThrottle, CallStop:
		return true
	default:
		return false
	}
}

// Priority returns the priority of a call to the store. Calls that maintain ownership
// come first, then those that callers and operators wait for.
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
	// SentAt is when the call was sent, on this host's clock.
	SentAt     time.Time
	Err        error
	Entries    []store.Entry
	Revision   store.Revision
	Lease      store.LeaseID
	Report     worker.Report
	Checkpoint heatherhub.CheckpointRef
}

// ExpiredAnswer returns the answer to a call that was not sent because it had
// expired.
func ExpiredAnswer(c Call, now time.Time) Answer {
	return Answer{Call: c, SentAt: now, Err: heatherhub.ErrUnavailable.New("the %s call was not sent before its deadline: wait for the shard's owner", c.Kind)}
}

// Ticket identifies a waiting operator or caller.
type Ticket uint64

// Reply is the result for the holder of a ticket.
type Reply struct {
	Ticket Ticket
	Job    heatherhub.Job
	Claim  route.Claim
	Err    error
}

// Output holds the calls to make and the replies to deliver after a step.
type Output struct {
	Calls   []Call
	Replies []Reply
}

func (o *Output) add(p Output) {
	o.Calls = append(o.Calls, p.Calls...)
	o.Replies = append(o.Replies, p.Replies...)
}

// purpose tells which part of the host handles the answer to a call; purposeNone
// means the shard that made it.
type purpose int

const (
	purposeNone purpose = iota
	purposeSession
	purposePoll
	purposeRemote
	purposeAcquire
	purposeReclaim
	purposeRelease
	purposeRenewer
)
