package ledger

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
)

// commit returns the write of the next batch, appended to the active segment or put
// into a new one.
func (l *Ledger) commit() Op {
	batch := l.nextBatch()
	last := batch[len(batch)-1].seq
	next := segmentContent{Epoch: l.cfg.Epoch, Seq: last}
	// A write with an unknown outcome is repeated on the same segment, so that at most
	// one of the two takes effect.
	if l.unresolvedSeq == 0 {
		l.targetSegment = l.chooseTarget(batch)
	}
	if l.targetSegment == l.activeSegment {
		next.Records = append(next.Records, l.activeContent.Records...)
	}
	for _, p := range batch {
		next.Records = append(next.Records, p.raw)
	}
	return l.write(l.targetSegment, next, l.knownRevision(l.targetSegment))
}

// chooseTarget returns the active segment, or the next one if the batch no longer fits
// into SegmentBytes. An empty segment takes a batch of any size.
func (l *Ledger) chooseTarget(batch []pendingRecord) int {
	if len(l.activeContent.Records) > 0 && l.activeContent.recordBytes()+batchBytes(batch) > l.cfg.SegmentBytes {
		return l.activeSegment + 1
	}
	return l.activeSegment
}

// nextBatch returns the records of the next write, bounded by BatchBytes. It has at
// least one record, and always those of a write whose outcome is unknown.
func (l *Ledger) nextBatch() []pendingRecord {
	n, size := 0, 0
	for n < len(l.queue) && (n == 0 || l.queue[n].seq <= l.unresolvedSeq || size+len(l.queue[n].raw) <= l.cfg.BatchBytes) {
		size += len(l.queue[n].raw)
		n++
	}
	return l.queue[:n]
}

func batchBytes(batch []pendingRecord) int {
	n := 0
	for _, p := range batch {
		n += len(p.raw)
	}
	return n
}

// handleWrite handles the answer to the write of a batch. A conflict or an unknown
// outcome is resolved by reading the segment back; any other error proves that the
// write had no effect.
func (l *Ledger) handleWrite(now time.Time, r Result, code heatherhub.Code) Outcome {
	switch code {
	case heatherhub.CodeOK:
		var c segmentContent
		if err := heatherhub.Unmarshal(r.Op.Write.Value, &c); err != nil {
			return Outcome{}
		}
		l.unresolvedSeq = 0
		return Outcome{Durable: l.applyDurable(c, r.Revision)}
	case heatherhub.CodeConflict:
		l.stage = stageReadBack
	case heatherhub.CodeUnknown:
		l.unresolvedSeq = max(l.unresolvedSeq, r.Op.lastSeq)
		l.stage = stageReadBack
	default:
		l.notBefore = now.Add(retryInterval)
		return Outcome{Dropped: l.dropPending()}
	}
	return Outcome{}
}

// dropPending removes the droppable records from the queue and returns them. It keeps
// those in a write with an unknown outcome, which may still become durable.
func (l *Ledger) dropPending() []Committed {
	var dropped []Committed
	remaining := l.queue[:0:0]
	for _, p := range l.queue {
		if p.droppable && p.seq > l.unresolvedSeq {
			dropped = append(dropped, Committed{p.seq, p.record})
			continue
		}
		remaining = append(remaining, p)
	}
	l.queue = remaining
	return dropped
}

// handleReadBack compares the target segment in the store with the last known
// revision. The same revision means that the write has had no effect so far and is
// repeated. A higher epoch, or a segment that is gone, means that another owner has
// sealed the log.
func (l *Ledger) handleReadBack(now time.Time, r Result, code heatherhub.Code) Outcome {
	if code != heatherhub.CodeOK {
		l.notBefore = now.Add(retryInterval)
		return Outcome{}
	}
	e := r.Entries[0]
	c, err := decodeSegment(e)
	if err != nil {
		l.notBefore = now.Add(retryInterval)
		return Outcome{}
	}
	if c.Epoch > l.cfg.Epoch {
		return Outcome{Superseded: true}
	}
	l.stage = stageOpen
	if e.Revision == l.knownRevision(l.targetSegment) {
		l.notBefore = now.Add(l.cfg.CommitInterval)
		return Outcome{}
	}
	if e.Revision == 0 {
		return Outcome{Superseded: true}
	}
	return Outcome{Durable: l.applyDurable(c, e.Revision)}
}

// knownRevision returns the last known revision of a segment, or 0 for a segment that
// doesn't exist yet.
func (l *Ledger) knownRevision(n int) store.Revision {
	if s, ok := l.segments[n]; ok {
		return s.revision
	}
	return 0
}

// applyDurable makes the target segment the active one, with the given content and
// revision, and applies the queued records that it holds. It returns these records.
func (l *Ledger) applyDurable(c segmentContent, rev store.Revision) []Committed {
	s, ok := l.segments[l.targetSegment]
	if !ok {
		s = newSegment()
		l.segments[l.targetSegment] = s
	}
	s.revision = rev
	s.recordCount = len(c.Records)
	l.activeSegment = l.targetSegment
	l.activeContent = c
	var durable []Committed
	for len(l.queue) > 0 && l.queue[0].seq <= c.Seq {
		p := l.queue[0]
		l.queue = l.queue[1:]
		l.applyFrom(l.activeSegment, p.record)
		durable = append(durable, Committed{p.seq, p.record})
	}
	return durable
}
