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
	// platformTimeout is the longest time of one call to all hosts.
	platformTimeout = 2 * time.Second
	// noOwnerRetryAfter is the wait that an operator is asked for while a shard has no
	// owner.
	noOwnerRetryAfter = time.Second
)

// callAllHosts asks this host and every listed entry host, and returns the replies of
// those that answered.
func callAllHosts[Out, In any](ctx context.Context, e *Entry, m peer.Method, in In) []peer.HostReply[Out] {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	ids := append(e.hostList.otherEntryHosts(e.cfg.Self), e.cfg.Self)
	all := peer.CallAll[Out](ctx, e.peerClient, ids, m, in)
	return slices.DeleteFunc(all, func(r peer.HostReply[Out]) bool { return r.Err != nil })
}

// isStoreReachable reports whether the store answers a read now.
func (e *Entry) isStoreReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	_, err := e.cfg.Platform.Store.Get(ctx, config.Key)
	return err == nil
}
