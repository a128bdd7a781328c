package owner

import (
	"context"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/record"
)

// planLayout writes the layout of the shards if there is none yet. It waits until two
// reads, layoutStableTime apart, find the same number of workers.
func (h *Host) planLayout(ctx context.Context) {
	previous := -1
	for ctx.Err() == nil && len(h.view.Load().Layout.Shards) == 0 {
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
	value, err := record.Encode(record.PlanLayout(workers, h.cfg.WorkersPerShard))
	if err != nil {
		h.cfg.Log.Error("layout not written", zap.Error(err))
		return
	}
	_, err = h.cfg.Store.Commit(ctx, ledger.Txn{
		Preconditions: []ledger.Precondition{{Key: record.LayoutKey}},
		Puts:          []ledger.Put{{Key: record.LayoutKey, Value: value}},
	})
	h.cfg.Log.Info("layout written", zap.Int("workers", len(workers)), zap.Error(err))
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
