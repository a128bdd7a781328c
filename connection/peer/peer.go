// Package peer is the RPC protocol between entry hosts: msgpack frames over TCP.
// Calls are multiplexed over one connection, and answers are matched to calls by
// number.
//
// # Usage
//
//	out, err := peer.Call[JobReply](ctx, c, owner, peer.MethodJobAdd, JobAdd{Job: j})
//
// The frame carries the time left of ctx and its trace context. Errors keep their
// code: heatherhub.ErrNotRun and the other types that prove that nothing ran are
// returned only if the frame was not sent or the peer reported them. If the outcome
// cannot be determined, the error is heatherhub.ErrUnknown.
package peer

import (
	"context"

	"github.com/sourcegraph/conc/iter"
	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
)

// Method is the name of an RPC method.
type Method string

// Methods of the peer protocol.
const (
	// MethodServe forwards a caller's request to the owner of a replica.
	MethodServe Method = "serve"
	// MethodJobAdd forwards a job to the owner of its shard.
	MethodJobAdd Method = "jobAdd"
	// MethodJobCancel forwards a cancellation to the owner of the job's shard.
	MethodJobCancel Method = "jobCancel"
	// MethodJobList returns the jobs of an owner.
	MethodJobList Method = "jobList"
	// MethodWorkerList returns the workers of an owner.
	MethodWorkerList Method = "workerList"
	// MethodStatus returns the status of a host.
	MethodStatus Method = "status"
	// MethodHeartbeat sends the sender's shards and configuration version.
	MethodHeartbeat Method = "beat"
	// MethodWorkflowState returns the state of a workflow from the owner of its shard.
	MethodWorkflowState Method = "workflowState"
	// MethodOverview returns the jobs and workers that an owner shows to operators.
	MethodOverview Method = "overview"
	// MethodSnapshot sends a configuration snapshot to a host.
	MethodSnapshot Method = "snapshot"
)

// Handler handles one call. The body and the answer are msgpack. ctx ends when the
// caller cancels the call, at its deadline, or when the connection closes.
type Handler func(ctx context.Context, from heatherhub.HostID, body []byte) ([]byte, error)

// Caller sends calls to entry hosts by id.
type Caller interface {
	Call(ctx context.Context, to heatherhub.HostID, m Method, body []byte) ([]byte, error)
}

// Call encodes a call, sends it and decodes its answer. An answer that cannot be
// decoded is ErrUnknown, since the call has run.
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

// HostReply is the reply of one host to CallAll. Reply is valid only if Err is nil.
type HostReply[T any] struct {
	From  heatherhub.HostID
	Reply T
	Err   error
}

// CallAll calls hosts concurrently and returns their replies in the order of to.
func CallAll[Out, In any](ctx context.Context, c Caller, to []heatherhub.HostID, m Method, in In) []HostReply[Out] {
	return iter.Map(to, func(id *heatherhub.HostID) HostReply[Out] {
		reply, err := Call[Out](ctx, c, *id, m, in)
		return HostReply[Out]{From: *id, Reply: reply, Err: err}
	})
}

// NewHandler returns a Handler that decodes the body, calls f and encodes its result.
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
