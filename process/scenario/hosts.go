package scenario

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/process/entry"
)

// StartHost starts another entry host in a failure domain. IDs are never reused.
func (cl *Cluster) StartHost(d heatherhub.FailureDomain) error {
	cl.hostsStarted++
	id := heatherhub.HostID(fmt.Sprintf("%s-e%d", d, cl.hostsStarted))
	e, err := entry.New(cl.entryConfig(id, d))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &host{id: id, domain: d, entry: e, stop: stop, done: make(chan struct{})}
	cl.mu.Lock()
	cl.entryHosts = append(cl.entryHosts, h)
	cl.mu.Unlock()
	cl.group.Go(func() {
		defer close(h.done)
		if err := e.Run(ctx); err != nil {
			cl.cfg.Log.Warn("entry host ended", zap.String("id", string(id)), zap.Error(err))
		}
	})
	return nil
}

func (cl *Cluster) entryConfig(id heatherhub.HostID, d heatherhub.FailureDomain) entry.Config {
	limiter := store.LimiterConfig{
		Store: partitionedStore{store: cl.store, network: cl.network, from: d},
		// Each host gets one ninth of the limits, whatever the number of hosts.
		ReadRate:  entry.DefaultStoreReadRate / 9,
		WriteRate: entry.DefaultStoreWriteRate / 9,
	}
	return entry.Config{
		Self: id, Domain: d, Layout: cl.layout(), Advertise: string(id) + peerPort,
		Listeners: entry.Listeners{
			Callers:   cl.network.listen(string(id)+callerPort, d),
			Operators: cl.network.listen(string(id)+operatorPort, d),
			Peers:     cl.network.listen(string(id)+peerPort, d),
		},
		PeerDial: cl.network.dialer(d),
		Platform: entry.Platform{
			Store:    store.NewLimiter(limiter),
			Hosts:    partitionedHostList{list: cl.hostList, network: cl.network, from: d},
			Workers:  workerClient{fleet: cl.fleet, from: d},
			Announce: cl.announce(d),
		},
		BalancerDelay: balancerDelay,
		Log:           cl.cfg.Log.With(zap.String("host", string(id))),
	}
}

// findHost returns the running entry host with the given ID, or ErrNotFound.
func (cl *Cluster) findHost(id heatherhub.HostID) (*host, error) {
	for _, h := range cl.liveHosts() {
		if h.id == id {
			return h, nil
		}
	}
	return nil, heatherhub.ErrNotFound.New("entry host %s is not running", id)
}

func (cl *Cluster) removeHost(h *host) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.entryHosts = slices.DeleteFunc(cl.entryHosts, func(o *host) bool { return o == h })
}

// KillHost ends an entry host at once, without a handover. The host list drops it
// after deadHostRemovalDelay.
func (cl *Cluster) KillHost(id heatherhub.HostID) error {
	h, err := cl.findHost(id)
	if err != nil {
		return err
	}
	cl.removeHost(h)
	h.entry.Abort()
	<-h.done
	h.stop()
	cl.unlistAfterDelay(string(id), func() bool { return true })
	return nil
}

// unlistAfterDelay removes a host or worker from the host list after
// deadHostRemovalDelay if isDead still holds then.
func (cl *Cluster) unlistAfterDelay(id string, isDead func() bool) {
	time.AfterFunc(deadHostRemovalDelay, func() {
		if isDead() {
			cl.hostList.Remove(id)
		}
	})
}

// KillWorker ends a worker and its tasks. The host list drops the worker after
// deadHostRemovalDelay unless it is revived before.
func (cl *Cluster) KillWorker(id heatherhub.WorkerID) error {
	m, err := cl.Worker(id)
	if err != nil {
		return err
	}
	m.Kill(time.Now())
	cl.unlistAfterDelay(string(id), m.IsDead)
	return nil
}

// ReviveWorker restarts a dead worker without tasks and lists it as live.
func (cl *Cluster) ReviveWorker(id heatherhub.WorkerID) error {
	m, err := cl.Worker(id)
	if err != nil {
		return err
	}
	m.Revive(time.Now())
	return cl.SetWorkerState(id, hostlist.StateLive)
}

// StopHost shuts an entry host down gracefully and returns when it has ended. The
// host serves and counts as live until then.
func (cl *Cluster) StopHost(id heatherhub.HostID) error {
	h, err := cl.findHost(id)
	if err != nil {
		return err
	}
	h.stop()
	<-h.done
	cl.removeHost(h)
	cl.hostList.Remove(string(id))
	return nil
}
