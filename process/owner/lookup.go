package owner

import (
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
)

// lookupLoop reads from the store the jobs that workers report and that this owner does
// not know. A job is durable before its first task starts, so the read is final: a job
// without a record was deleted.
func (t *term) lookupLoop() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.wakeLookup:
		}
		for t.ctx.Err() == nil && !t.lookUpUnknown() {
			ledger.Sleep(t.ctx, storeRetryDelay)
		}
	}
}

// lookUpUnknown reads from the store the jobs that the engine does not know. It stops and
// reports false when a read fails.
func (t *term) lookUpUnknown() bool {
	t.mu.Lock()
	unknown := t.engine.UnknownJobs()
	t.mu.Unlock()
	for _, id := range unknown {
		it, err := t.host.cfg.Store.Get(t.ctx, record.JobKey(id))
		if err != nil {
			t.log.Warn("job not looked up", zap.String("job", string(id)), zap.Error(err))
			return false
		}
		t.applyLookup(id, it)
	}
	return true
}

// applyLookup adds a job that was read, or tells the engine that it does not belong to
// this shard.
func (t *term) applyLookup(id heatherhub.JobID, it ledger.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if it.Revision > 0 {
		t.addJob(it, ledger.Item{}, dispatch.OriginPreviousOwner)
	}
	isKnown := t.engine.HasJob(id)
	t.log.Info("job looked up", zap.String("job", string(id)), zap.Bool("known", isKnown))
	if !isKnown {
		t.engine.MarkAbsent(t.now(), id, it.Revision)
	}
	t.wakeLoops()
}
