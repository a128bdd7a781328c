package ledger

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
)

// maintain removes expired entities from the state and returns the next write that
// deletes or rewrites the oldest segments. It is called only while the queue is empty,
// so that a rewritten record is the newest one of its entity.
func (l *Ledger) maintain(now time.Time) (Op, bool) {
	isDue := !now.Before(l.nextPrune)
	if isDue {
		l.nextPrune = now.Add(pruneInterval)
		l.prune(now)
	}
	for l.oldestSegment < l.activeSegment && l.segments[l.oldestSegment] == nil {
		l.oldestSegment++
	}
	if l.oldestSegment >= l.activeSegment || now.Before(l.nextDelete) {
		return Op{}, false
	}
	if len(l.segments[l.oldestSegment].liveEntities) == 0 {
		l.stage = stageDelete
		return l.deleteOldest(), true
	}
	if !isDue || !l.isSparse() {
		return Op{}, false
	}
	l.rewriteOldest()
	if len(l.queue) == 0 {
		return Op{}, false
	}
	return l.commit(), true
}

// isSparse reports whether the ratio of live entities to records is below minLiveRatio
// in the oldest segment or in the whole log. The ratio of the whole log bounds the
// segments that cannot be deleted because the oldest one has a long-lived record.
func (l *Ledger) isSparse() bool {
	s := l.segments[l.oldestSegment]
	if float64(len(s.liveEntities)) < minLiveRatio*float64(s.recordCount) {
		return true
	}
	live, records := 0, 0
	for _, s := range l.segments {
		live += len(s.liveEntities)
		records += s.recordCount
	}
	return float64(live) < minLiveRatio*float64(records)
}

// rewriteOldest appends the current state of the entities that are live in the oldest
// segments, until maxRewrittenEntities is reached.
func (l *Ledger) rewriteOldest() {
	entities := make(map[entity]bool)
	for n := l.oldestSegment; n < l.activeSegment && len(entities) < maxRewrittenEntities; n++ {
		s, ok := l.segments[n]
		if !ok {
			continue
		}
		for e := range s.liveEntities {
			entities[e] = true
		}
	}
	for e := range entities {
		if r, ok := l.state.snapshot(e); ok {
			l.Append(r, false)
		}
	}
}

func (l *Ledger) deleteOldest() Op {
	key := segmentKey(l.cfg.Prefix, l.oldestSegment)
	return Op{Kind: OpWrite, Write: store.Write{Key: key, Expect: l.segments[l.oldestSegment].revision, Delete: true}}
}

// handleDelete handles the answer to the deletion of the oldest segment. A conflict
// counts as success: closed segments are never rewritten, so the segment is gone.
func (l *Ledger) handleDelete(now time.Time, code heatherhub.Code) Outcome {
	l.stage = stageOpen
	if code == heatherhub.CodeOK || code == heatherhub.CodeConflict || code == heatherhub.CodeNotFound {
		delete(l.segments, l.oldestSegment)
		l.oldestSegment++
		return Outcome{}
	}
	l.nextDelete = now.Add(pruneInterval)
	return Outcome{}
}

// prune removes expired jobs and keys from the state.
func (l *Ledger) prune(now time.Time) {
	for id, at := range l.state.endedAt {
		if now.Sub(at) > l.cfg.Retention {
			delete(l.state.Jobs, id)
			delete(l.state.endedAt, id)
			l.clearLive(entity{job: id})
		}
	}
	for key, g := range l.state.Keys {
		if g.IsExpired(now) {
			delete(l.state.Keys, key)
			l.clearLive(entity{key: key})
		}
	}
}

// applyFrom applies a record that is stored in segment n and marks its entity live
// there.
func (l *Ledger) applyFrom(n int, r Record) {
	e := r.entity()
	if r.supersedesEarlier() {
		l.clearLive(e)
	}
	l.state.apply(r)
	if r.endsEntity() {
		l.clearLive(e)
		return
	}
	l.segments[n].liveEntities[e] = true
	if !slices.Contains(l.liveSegments[e], n) {
		l.liveSegments[e] = append(l.liveSegments[e], n)
	}
}

// clearLive records that no segment is needed for an entity any more.
func (l *Ledger) clearLive(e entity) {
	for _, n := range l.liveSegments[e] {
		if s, ok := l.segments[n]; ok {
			delete(s.liveEntities, e)
		}
	}
	delete(l.liveSegments, e)
}
