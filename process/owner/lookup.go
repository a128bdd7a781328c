package owner

import (
	"maps"

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
		for t.ctx.Err() == nil && !(t.lookUpUnknown() && t.readAwaited()) {
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
	if _, isAwaited := t.awaited[id]; !isKnown && !isAwaited {
		t.engine.MarkAbsent(t.now(), id, it.Revision)
	}
	t.wakeLoops()
}

// awaitedJob is a job that arrived by a move and is not started before its progress was read.
type awaitedJob struct {
	item ledger.Item
	// revision is the lowest revision that the progress may have.
	revision    ledger.Revision
	origin      dispatch.JobOrigin
	isCancelled bool
}

// awaitProgress keeps a job until the lookup loop has read its progress. Records may arrive in any
// order; older ones are ignored. The caller holds t.mu.
func (t *term) awaitProgress(flow *heatherhub.Workflow, it ledger.Item, origin dispatch.JobOrigin) {
	a := t.awaited[flow.ID]
	if it.Revision <= a.item.Revision {
		return
	}
	a.item, a.revision, a.origin = it, ledger.Revision(flow.ProgressRevision), t.engine.OriginNow(origin)
	t.awaited[flow.ID] = a
	signal(t.wakeLookup)
}

// cancelJob cancels a job, also if its progress has not been read. The caller holds t.mu.
func (t *term) cancelJob(id heatherhub.JobID) {
	if a, ok := t.awaited[id]; ok {
		a.isCancelled = true
		t.awaited[id] = a
	}
	t.engine.Cancel(t.now(), id)
}

// readAwaited reads the progress of the jobs that wait for it. It reports false if any of them
// still waits afterwards.
func (t *term) readAwaited() bool {
	t.mu.Lock()
	awaited := maps.Clone(t.awaited)
	t.mu.Unlock()
	isComplete := true
	for id, a := range awaited {
		progress, err := t.host.cfg.Store.Get(t.ctx, record.ProgressKey(id))
		if err == nil && progress.Revision < a.revision {
			// Progress is deleted with its job only.
			var it ledger.Item
			if it, err = t.host.cfg.Store.Get(t.ctx, record.JobKey(id)); err == nil && it.Revision == 0 {
				t.removeAwaited(id, a)
				continue
			}
		}
		if err != nil || progress.Revision < a.revision {
			t.log.Warn("progress of a moved job not read", zap.String("job", string(id)), zap.Uint64("revision", uint64(progress.Revision)), zap.Error(err))
			isComplete = false
			continue
		}
		t.addAwaited(id, a, progress)
	}
	return isComplete
}

// addAwaited adds a job whose progress was read, unless a newer record of it has arrived.
func (t *term) addAwaited(id heatherhub.JobID, a awaitedJob, progress ledger.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := t.awaited[id]
	if latest.item.Revision != a.item.Revision {
		return
	}
	t.addJob(latest.item, progress, latest.origin)
	delete(t.awaited, id)
	if latest.isCancelled {
		t.engine.Cancel(t.now(), id)
	}
	t.log.Info("moved job arrived", zap.String("job", string(id)), zap.Uint64("progress", uint64(progress.Revision)))
	t.wakeLoops()
}

// removeAwaited forgets an awaited job that was deleted.
func (t *term) removeAwaited(id heatherhub.JobID, a awaitedJob) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.awaited[id].item.Revision == a.item.Revision {
		delete(t.awaited, id)
		t.engine.MarkAbsent(t.now(), id, 0)
	}
}
