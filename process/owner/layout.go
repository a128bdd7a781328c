package owner

import (
	"context"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/record"
)

// workersPerCore is the number of workers that one core can own at the peak of a busy site,
// with a reserve of a third.
const workersPerCore = 400

// carriedWorkers returns the number of workers that this host can own.
func (h *Host) carriedWorkers() int {
	return max(int(h.cfg.Cores*workersPerCore), 1)
}

// announce writes what this host can carry, for the layout. It reports whether the record
// is written.
func (h *Host) announce(ctx context.Context) bool {
	value, err := record.Encode(record.Host{Domain: h.cfg.Domain, Workers: h.carriedWorkers()})
	if err != nil {
		h.cfg.Log.Error("host not announced", zap.Error(err))
		return true
	}
	_, err = h.cfg.Store.Commit(ctx, ledger.Txn{Puts: []ledger.Put{{Key: record.HostKey(h.cfg.Self), Value: value}}})
	if err != nil {
		h.cfg.Log.Info("host not announced", zap.Error(err))
	}
	return err == nil
}

// readHosts reads what the hosts can carry. Records that cannot be decoded are skipped.
func (h *Host) readHosts(ctx context.Context) ([]record.Host, error) {
	snap, err := h.cfg.Store.Range(ctx, record.HostPrefix)
	if err != nil {
		return nil, err
	}
	var out []record.Host
	for _, it := range snap.Items {
		var r record.Host
		if err := heatherhub.Unmarshal(it.Value, &r); err != nil {
			h.cfg.Log.Warn("host ignored", zap.String("key", it.Key), zap.Error(err))
			continue
		}
		out = append(out, r)
	}
	return out, nil
}

// planLayout writes the layout of the shards if there is none yet. It waits until two
// reads, layoutStableTime apart, find the same number of workers.
func (h *Host) planLayout(ctx context.Context) {
	previous, isAnnounced := -1, false
	for ctx.Err() == nil && len(h.view.Load().Layout.Shards) == 0 {
		if !isAnnounced {
			isAnnounced = h.announce(ctx)
		}
		workers, err := h.readWorkers(ctx)
		if err != nil {
			h.cfg.Log.Warn("workers unreadable", zap.Error(err))
		}
		if len(workers) > 0 && len(workers) == previous {
			h.writeLayout(ctx, workers)
		}
		previous = len(workers)
		ledger.Sleep(ctx, layoutStableTime)
	}
}

// writeLayout creates the layout key. It does nothing if another host was first.
func (h *Host) writeLayout(ctx context.Context, workers []agent.Worker) {
	hosts, err := h.readHosts(ctx)
	if err != nil {
		h.cfg.Log.Warn("hosts unreadable", zap.Error(err))
		return
	}
	l := record.PlanLayout(record.LayoutConfig{Workers: workers, Hosts: hosts, MaxWorkers: h.cfg.WorkersPerShard})
	value, err := record.Encode(l)
	if err != nil {
		h.cfg.Log.Error("layout not written", zap.Error(err))
		return
	}
	_, err = h.cfg.Store.Commit(ctx, ledger.Txn{
		Preconditions: []ledger.Precondition{{Key: record.LayoutKey}},
		Puts:          []ledger.Put{{Key: record.LayoutKey, Value: value}},
	})
	h.cfg.Log.Info("layout written", zap.Int("workers", len(workers)), zap.Int("hosts", len(hosts)), zap.Int("shards", len(l.Shards)), zap.Error(err))
}

// readWorkers reads the registered workers. Entries that cannot be decoded are skipped.
func (h *Host) readWorkers(ctx context.Context) ([]agent.Worker, error) {
	snap, err := h.cfg.Store.Range(ctx, h.cfg.WorkerPrefix)
	if err != nil {
		return nil, err
	}
	var out []agent.Worker
	for _, it := range snap.Items {
		w, err := h.cfg.DecodeWorker(it)
		if err != nil {
			h.cfg.Log.Warn("worker ignored", zap.String("key", it.Key), zap.Error(err))
			continue
		}
		out = append(out, w)
	}
	return out, nil
}
