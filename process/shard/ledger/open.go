package ledger

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
)

// handleList replays the listed segments and prepares the sealing writes. Without any
// segment, there is nothing to seal and the first one is created.
func (l *Ledger) handleList(now time.Time, r Result, code heatherhub.Code) Outcome {
	if code != heatherhub.CodeOK {
		l.notBefore = now.Add(retryInterval)
		return Outcome{}
	}
	last, err := l.replay(r.Entries)
	if err != nil {
		l.notBefore = now.Add(retryInterval)
		return Outcome{}
	}
	if last.Epoch > l.cfg.Epoch {
		return Outcome{Superseded: true}
	}
	if len(l.segments) == 0 {
		l.targetSegment = 0
		l.stage = stageCreate
		return Outcome{}
	}
	l.sealContent = segmentContent{Epoch: l.cfg.Epoch, Seq: last.Seq, Records: last.Records}
	l.stage = stageSeal
	return Outcome{}
}

// replay rebuilds the state and the index of segments from the listed entries, which
// are in order of key. It returns the content of the newest segment.
func (l *Ledger) replay(entries []store.Entry) (segmentContent, error) {
	l.state = newState()
	l.segments = make(map[int]*segment)
	l.liveSegments = make(map[entity][]int)
	l.oldestSegment, l.activeSegment = 0, 0
	var last segmentContent
	for i, e := range entries {
		n, err := segmentNumber(l.cfg.Prefix, e.Key)
		if err != nil {
			return last, err
		}
		if last, err = decodeSegment(e); err != nil {
			return last, err
		}
		records, err := last.decodeRecords()
		if err != nil {
			return last, err
		}
		if i == 0 {
			l.oldestSegment = n
		}
		l.activeSegment = n
		l.segments[n] = newSegment()
		l.segments[n].revision = e.Revision
		l.segments[n].recordCount = len(records)
		for _, record := range records {
			l.applyFrom(n, record)
		}
	}
	l.lastSeq = max(l.lastSeq, last.Seq)
	return last, nil
}

// handleSeal handles the answer to one of the two sealing writes. After any error the
// log is read again, since its content may have changed.
func (l *Ledger) handleSeal(now time.Time, r Result, code heatherhub.Code) Outcome {
	if code != heatherhub.CodeOK {
		l.stage = stageList
		l.notBefore = now.Add(l.cfg.CommitInterval)
		return Outcome{}
	}
	if r.Op.stage == stageSeal {
		l.segments[l.activeSegment].revision = r.Revision
		l.targetSegment = l.activeSegment + 1
		l.stage = stageCreate
		return Outcome{}
	}
	l.segments[l.targetSegment] = newSegment()
	l.segments[l.targetSegment].revision = r.Revision
	l.activeSegment = l.targetSegment
	l.activeContent = segmentContent{Epoch: l.cfg.Epoch, Seq: l.lastSeq}
	l.stage = stageOpen
	l.isOpen = true
	return Outcome{Opened: true}
}
