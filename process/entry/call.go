package entry

import (
	"context"
	"slices"
	"time"

	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/version/config"
)

const (
	// callTimeout bounds a call to all entry hosts, to the store or to the
	// platform's host list.
	callTimeout = 2 * time.Second
	// noOwnerRetryAfter is the Retry-After sent to an operator while a shard has
	// no owner.
	noOwnerRetryAfter = time.Second
)

// callAllHosts calls this host and every listed entry host in parallel and returns
// the successful replies.
func callAllHosts[Out, In any](ctx context.Context, e *Entry, m peer.Method, in In) []peer.HostReply[Out] {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ids := append(e.hostList.otherEntryHosts(e.cfg.Self), e.cfg.Self)
	replies := peer.CallAll[Out](ctx, e.peerClient, ids, m, in)
	return slices.DeleteFunc(replies, func(r peer.HostReply[Out]) bool { return r.Err != nil })
}

// isStoreReachable reports whether the store answers a read within callTimeout.
func (e *Entry) isStoreReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := e.cfg.Platform.Store.Get(ctx, config.Key)
	return err == nil
}
