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

// StartHost starts one more entry host.
func (w *World) StartHost(d heatherhub.FailureDomain) error {
	w.made++
	id := heatherhub.HostID(fmt.Sprintf("%s-e%d", d, w.made))
	e, err := entry.New(w.entryConfig(id, d))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &host{id: id, domain: d, entry: e, stop: stop, ended: make(chan struct{})}
	w.mu.Lock()
	w.entries = append(w.entries, h)
	w.mu.Unlock()
	w.group.Go(func() {
		defer close(h.ended)
		if err := e.Run(ctx); err != nil {
			w.cfg.Log.Warn("entry host ended", zap.String("id", string(id)), zap.Error(err))
		}
	})
	return nil
}

func (w *World) entryConfig(id heatherhub.HostID, d heatherhub.FailureDomain) entry.Config {
	budget := store.LimiterConfig{
		Store:     cutStore{store: w.store, network: w.network, from: d},
		ReadRate:  entry.DefaultStoreReads / 9,
		WriteRate: entry.DefaultStoreWrites / 9,
	}
	return entry.Config{
		Self: id, Domain: d, Layout: w.layout(), Advertise: string(id) + peerPort,
		Listeners: entry.Listeners{
			Callers:   w.network.listen(string(id)+callerPort, d),
			Operators: w.network.listen(string(id)+operatorPort, d),
			Peers:     w.network.listen(string(id)+peerPort, d),
		},
		PeerDial: w.network.dialer(d),
		Platform: entry.Platform{
			Store:    store.NewLimiter(budget),
			Hosts:    cutList{list: w.hosts, network: w.network, from: d},
			Workers:  reach{fleet: w.fleet, from: d},
			Announce: w.announce(d),
		},
		BalancerDelay: balancerDelay,
		Log:           w.cfg.Log.With(zap.String("host", string(id))),
	}
}

// find returns the entry host with the id.
func (w *World) find(id heatherhub.HostID) (*host, error) {
	for _, h := range w.live() {
		if h.id == id {
			return h, nil
		}
	}
	return nil, heatherhub.ErrNotFound.New("no entry host %s runs", id)
}

func (w *World) drop(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = slices.DeleteFunc(w.entries, func(o *host) bool { return o == h })
}

// KillHost ends an entry host at once.
func (w *World) KillHost(id heatherhub.HostID) error {
	h, err := w.find(id)
	if err != nil {
		return err
	}
	w.drop(h)
	h.entry.Abort()
	<-h.ended
	h.stop()
	w.unlist(string(id), func() bool { return true })
	return nil
}

// unlist takes a dead host out of the platform's list after a while, if it is
// still dead then.
func (w *World) unlist(id string, isDead func() bool) {
	time.AfterFunc(deadListLag, func() {
		if isDead() {
			w.hosts.Remove(id)
		}
	})
}

// KillWorker ends a worker and its tasks.
func (w *World) KillWorker(id heatherhub.WorkerID) error {
	m, err := w.Worker(id)
	if err != nil {
		return err
	}
	m.Kill(time.Now())
	w.unlist(string(id), m.IsDead)
	return nil
}

// ReviveWorker starts a dead worker again, without tasks.
func (w *World) ReviveWorker(id heatherhub.WorkerID) error {
	m, err := w.Worker(id)
	if err != nil {
		return err
	}
	m.Revive(time.Now())
	return w.ListWorker(id, hostlist.StateLive)
}

// StopHost stops an entry host gracefully. It goes on serving meanwhile.
func (w *World) StopHost(id heatherhub.HostID) error {
	h, err := w.find(id)
	if err != nil {
		return err
	}
	h.stop()
	<-h.ended
	w.drop(h)
	w.hosts.Remove(string(id))
	return nil
}
