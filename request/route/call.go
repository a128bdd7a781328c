package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/request/endpoint"
)

// MaxAvoid is the largest number of replicas in ServeCall.Avoid.
const MaxAvoid = 16

// ServeCall is a caller's request to the owner of a shard. Its deadline travels in
// the peer frame, not in the call.
type ServeCall struct {
	ID       heatherhub.RequestID      `msgpack:"id"`
	Workload heatherhub.WorkloadID     `msgpack:"workload"`
	Shard    heatherhub.ShardID        `msgpack:"shard"`
	Key      heatherhub.IdempotencyKey `msgpack:"key,omitempty"`
	// Granted means that the owner of the key's shard has granted the run and has
	// forwarded the call.
	Granted bool `msgpack:"granted,omitempty"`
	// Remaining is the time until the caller's deadline in a granted call. The call
	// itself may take longer, so that its answer can be recorded.
	Remaining time.Duration `msgpack:"left,omitempty"`
	Caller    string        `msgpack:"caller,omitempty"`
	// Avoid lists replicas that failed earlier attempts of the request. They are
	// chosen only if no other one is free.
	Avoid []heatherhub.TaskID `msgpack:"avoid,omitempty"`
	// Broken means that the connection of an earlier attempt ended before its answer.
	Broken bool   `msgpack:"broken,omitempty"`
	Body   []byte `msgpack:"body,omitempty"`
}

// Check returns the first error found in a call, or nil.
func (c *ServeCall) Check() error {
	if err := heatherhub.CheckName("request id", c.ID); err != nil {
		return err
	}
	if err := heatherhub.CheckName("workload", c.Workload); err != nil {
		return err
	}
	if c.Key != "" {
		if err := heatherhub.CheckName("idempotency key", c.Key); err != nil {
			return err
		}
	}
	if len(c.Avoid) > MaxAvoid {
		return heatherhub.ErrInvalid.New("the call avoids %d replicas: name at most %d", len(c.Avoid), MaxAvoid)
	}
	return nil
}

// fingerprint identifies the request when its caller sends it again.
func (c *ServeCall) fingerprint() endpoint.Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(c.Workload))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.Body)
	return endpoint.Fingerprint(d.Sum64())
}

// DecodeMsgpack decodes a call and checks it. On an error the call is unchanged.
func (c *ServeCall) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire ServeCall
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	next := ServeCall(w)
	if err := next.Check(); err != nil {
		return err
	}
	*c = next
	return nil
}

// ServeReply is a replica's complete answer to a ServeCall.
type ServeReply struct {
	ID     heatherhub.RequestID `msgpack:"id"`
	Task   heatherhub.TaskID    `msgpack:"task,omitempty"`
	Status int                  `msgpack:"status"`
	Digest uint64               `msgpack:"digest"`
	// RetryAfter is the retry delay that the replica asked for, or zero.
	RetryAfter time.Duration `msgpack:"retryAfter,omitempty"`
	Body       []byte        `msgpack:"body,omitempty"`
}

func (r *ServeReply) answer() worker.Answer {
	return worker.Answer{ID: r.ID, Status: r.Status, Body: r.Body, Digest: r.Digest, RetryAfter: r.RetryAfter}
}

// CheckAnswer checks that an answer is complete and belongs to the request. Its
// error is ErrUnknown: the request may have run, but its answer is lost.
func CheckAnswer(id heatherhub.RequestID, a worker.Answer) error {
	if a.ID != id {
		return heatherhub.ErrUnknown.New("an answer to request %q came for %q: it may have run, ask again with the same key", a.ID, id)
	}
	if xxhash.Sum64(a.Body) != a.Digest {
		return heatherhub.ErrUnknown.New("the answer to request %q is incomplete: it ran, ask again with the same key", id)
	}
	return nil
}
