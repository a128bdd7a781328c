package intake

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/process/owner"
)

// StateQuery is the request of peer.MethodWorkflowState, sent to the owner of a shard.
type StateQuery struct {
	Job heatherhub.JobID `msgpack:"job"`
}

// DecodeMsgpack decodes a query and returns an error if its job id is not a valid name.
func (q *StateQuery) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire StateQuery
	var v wire
	if err := d.Decode(&v); err != nil {
		return err
	}
	*q = StateQuery(v)
	return heatherhub.CheckName("job", q.Job)
}

// StateAnswer is the reply to a StateQuery: the durable state of the job.
type StateAnswer struct {
	State heatherhub.WorkflowState `msgpack:"state"`
}

// peerQueryTimeout bounds a query of all owners. When it expires, the store is read
// instead.
const peerQueryTimeout = 250 * time.Millisecond

// StateClient queries the owners of shards for the states of jobs, which saves reads of
// the store.
type StateClient struct {
	Client *peer.Client
	// View returns the current owners.
	View func() *owner.View
}

// State queries the owners one after the other, each host once, and returns the first
// state found. It returns false if no owner knows the job or none replied within
// peerQueryTimeout.
func (c *StateClient) State(ctx context.Context, id heatherhub.JobID) (heatherhub.WorkflowState, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	asked := make(map[heatherhub.HostID]struct{})
	for _, o := range c.View().Owners {
		if _, ok := asked[o.Host]; ok {
			continue
		}
		asked[o.Host] = struct{}{}
		answer, err := peer.Call[StateAnswer](ctx, c.Client, o.Host, peer.MethodWorkflowState, StateQuery{Job: id})
		if err == nil {
			return answer.State, true
		}
	}
	return "", false
}

// SetOwners sets the addresses of the client to those of the owners in v, without self.
func (c *StateClient) SetOwners(v *owner.View, self heatherhub.HostID) {
	addresses := make(map[heatherhub.HostID]string, len(v.Owners))
	for _, o := range v.Owners {
		if o.Host != self {
			addresses[o.Host] = o.Address
		}
	}
	c.Client.SetAddresses(addresses)
}

// StateHandler returns the handler for peer.MethodWorkflowState. The function local
// returns the state of a job in a shard that this host owns.
func StateHandler(local func(heatherhub.JobID) (heatherhub.WorkflowState, bool)) peer.Handler {
	return peer.NewHandler(func(_ context.Context, _ heatherhub.HostID, q StateQuery) (StateAnswer, error) {
		s, ok := local(q.Job)
		if !ok {
			return StateAnswer{}, heatherhub.ErrNotOwner.New("this host does not own job %s: read its state from the store", q.Job)
		}
		return StateAnswer{State: s}, nil
	})
}
