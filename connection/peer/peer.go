// Package peer carries calls between the scheduler's own processes: msgpack
// frames over TCP, many calls on one connection, each answer matched to its call
// by number.
//
// # Usage
//
//	out, err := peer.Ask[JobReply](ctx, c, owner, peer.MethodJobAdd, JobAdd{Job: j})
//
// The remaining time of ctx and its trace context travel in the frame. Errors
// keep their code: heatherhub.ErrNotRun and the other types that prove that
// nothing ran are returned only if the frame was not sent or the peer said so;
// everything else is heatherhub.ErrUnknown.
package peer

import (
	"context"

	"github.com/sourcegraph/conc/iter"
	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
)

// Method names one kind of call.
type Method string

// Methods of the peer protocol.
const (
	// MethodServe passes a caller's request to the owner of a replica.
	MethodServe Method = "serve"
	// MethodJobAdd passes a job to the owner of its shard.
	MethodJobAdd Method = "jobAdd"
	// MethodJobCancel passes a cancellation to the owner of the job's shard.
	MethodJobCancel Method = "jobCancel"
	// MethodJobList asks an owner for its jobs.
	MethodJobList Method = "jobList"
	// MethodWorkerList asks an owner for its workers.
	MethodWorkerList Method = "workerList"
	// MethodStatus asks a host for its status.
	MethodStatus Method = "status"
	// MethodHeartbeat is a heartbeat with the sender's shards and version.
	MethodHeartbeat Method = "beat"
	// MethodWorkflowState asks the owner of a shard for the state of a workflow.
	MethodWorkflowState Method = "workflowState"
	// MethodOverview asks the owner of shards for what operators are shown.
	MethodOverview Method = "overview"
	// MethodSnapshot relays a configuration.
	MethodSnapshot Method = "snapshot"
)

// Handler answers one call. The body and the answer are msgpack.
type Handler func(ctx context.Context, from heatherhub.HostID, body []byte) ([]byte, error)

// Caller sends calls to entry hosts by id.
type Caller interface {
	Call(ctx context.Context, to heatherhub.HostID, m Method, body []byte) ([]byte, error)
}

// Call encodes a call, sends it and decodes its answer.
func Call[Out, In any](ctx context.Context, c Caller, to heatherhub.HostID, m Method, in In) (Out, error) {
	var out Out
	body, err := msgpack.Marshal(in)
	if err != nil {
		return out, heatherhub.ErrInvalid.Wrap(err, "cannot encode the call %s", m)
	}
	answer, err := c.Call(ctx, to, m, body)
	if err != nil {
		return out, err
	}
	if err := heatherhub.Unmarshal(answer, &out); err != nil {
		return out, heatherhub.ErrUnknown.Wrap(err, "cannot decode the answer to %s from %s: check that both run the same version", m, to)
	}
	return out, nil
}

// HostReply is the reply of one host.
type HostReply[T any] struct {
	From  heatherhub.HostID
	Reply T
	Err   error
}

// CallAll asks hosts at the same time and returns the reply of each, in their order.
func CallAll[Out, In any](ctx context.Context, c Caller, to []heatherhub.HostID, m Method, in In) []HostReply[Out] {
	return iter.Map(to, func(id *heatherhub.HostID) HostReply[Out] {
		reply, err := Call[Out](ctx, c, *id, m, in)
		return HostReply[Out]{From: *id, Reply: reply, Err: err}
	})
}

// NewHandler makes a Handler of a typed function.
func NewHandler[In, Out any](f func(ctx context.Context, from heatherhub.HostID, in In) (Out, error)) Handler {
	return func(ctx context.Context, from heatherhub.HostID, body []byte) ([]byte, error) {
		var in In
		if err := heatherhub.Unmarshal(body, &in); err != nil {
			return nil, heatherhub.ErrInvalid.Wrap(err, "cannot decode the call from %s: check that both run the same version", from)
		}
		out, err := f(ctx, from, in)
		if err != nil {
			return nil, err
		}
		return msgpack.Marshal(out)
	}
}
