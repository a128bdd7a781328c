package entry

import (
	"context"
	"slices"
	"time"

	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/version/config"
)

// Times of calls to other hosts.
const (
	// askTimeout is the longest time of one call to all hosts.
	askTimeout = 2 * time.Second
	// ownerRetry is the wait that an operator is asked for while a shard has no
	// owner.
	ownerRetry = time.Second
)

// askAll asks this host and every listed entry host, and returns the replies of
// those that answered.
func askAll[Out, In any](ctx context.Context, e *Entry, m peer.Method, in In) []peer.HostReply[Out] {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ids := append(e.hosts.others(e.cfg.Self), e.cfg.Self)
	all := peer.CallAll[Out](ctx, e.peers, ids, m, in)
	return slices.DeleteFunc(all, func(r peer.HostReply[Out]) bool { return r.Err != nil })
}

// storeAnswers reports whether the store answers a read now.
func (e *Entry) storeAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, err := e.cfg.Platform.Store.Get(ctx, config.Key)
	return err == nil
}
