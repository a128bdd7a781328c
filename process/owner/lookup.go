package owner

import (
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
)

// lookupLoop reads the jobs that workers list and that this owner does not know. A
// job is durable before its first start, so that what the store says then is final.
func (t *term) lookupLoop() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.wakeLookup:
		}
		for t.ctx.Err() == nil && !t.lookUpUnread() {
			ledger.Pause(t.ctx, storeRetryDelay)
		}
	}
}

// lookUpUnread reads all unread jobs. It reports false if the store did not answer for
// one of them.
func (t *term) lookUpUnread() bool {
	t.mu.Lock()
	unread := t.engine.Unread()
	t.mu.Unlock()
	for _, id := range unread {
		it, err := t.host.cfg.Store.Get(t.ctx, record.JobKey(id))
		if err != nil {
			t.log.Warn("job not looked up", zap.String("job", string(id)), zap.Error(err))
			return false
		}
		t.applyLookup(id, it)
	}
	return true
}

func (t *term) applyLookup(id heatherhub.JobID, it ledger.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if it.Revision > 0 {
		t.addJob(it, ledger.Item{}, dispatch.FromEarlierOwner)
	}
	isKnown := t.engine.Has(id)
	t.log.Info("job looked up", zap.String("job", string(id)), zap.Bool("known", isKnown))
	if !isKnown {
		t.engine.Absent(t.now(), id, it.Revision)
	}
	t.wakeLoops()
}
