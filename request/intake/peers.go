package intake

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/process/owner"
)

// StateQuery asks an owner for the state of a job.
type StateQuery struct {
	Job heatherhub.JobID `msgpack:"job"`
}

// DecodeMsgpack decodes a query and checks it.
func (q *StateQuery) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire StateQuery
	var v wire
	if err := d.Decode(&v); err != nil {
		return err
	}
	*q = StateQuery(v)
	return heatherhub.CheckName("job", q.Job)
}

// StateAnswer is the durable state of a job.
type StateAnswer struct {
	State heatherhub.WorkflowState `msgpack:"state"`
}

// peerTimeout bounds a question to an owner; after it the store is asked.
const peerTimeout = 250 * time.Millisecond

// Peers asks the owners of shards for the states of jobs, which spares the store.
type Peers struct {
	Client *peer.Client
	View   func() *owner.View
}

// State asks all owners at most once. It reports false if none knows the job or
// none answers in time.
func (p *Peers) State(ctx context.Context, id heatherhub.JobID) (heatherhub.WorkflowState, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	asked := make(map[heatherhub.HostID]struct{})
	for _, o := range p.View().Owners {
		if _, ok := asked[o.Host]; ok {
			continue
		}
		asked[o.Host] = struct{}{}
		answer, err := peer.Call[StateAnswer](ctx, p.Client, o.Host, peer.MethodWorkflowState, StateQuery{Job: id})
		if err == nil {
			return answer.State, true
		}
	}
	return "", false
}

// Follow gives the client the addresses of the owners.
func (p *Peers) Follow(v *owner.View, self heatherhub.HostID) {
	addresses := make(map[heatherhub.HostID]string, len(v.Owners))
	for _, o := range v.Owners {
		if o.Host != self {
			addresses[o.Host] = o.Address
		}
	}
	p.Client.SetAddresses(addresses)
}

// AnswerState makes the handler of the question from the states of this host's
// shards.
func AnswerState(local func(heatherhub.JobID) (heatherhub.WorkflowState, bool)) peer.Handler {
	return peer.NewHandler(func(_ context.Context, _ heatherhub.HostID, q StateQuery) (StateAnswer, error) {
		s, ok := local(q.Job)
		if !ok {
			return StateAnswer{}, heatherhub.ErrNotOwner.New("this host does not own job %s: ask the store", q.Job)
		}
		return StateAnswer{State: s}, nil
	})
}
