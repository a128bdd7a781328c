// Package ledger keeps the durable state of one shard, its jobs and its claimed
// idempotency keys, as a log of records in small segments of the store. It is
// pure: it says which store call to make next and takes the answer.
//
// One compare-and-swap carries every record of a commit window. A record counts
// only when that write is known to have taken effect. A lost answer is resolved
// by reading back; until then its records stay in every later write, so it does
// not matter whether the lost write lands late.
//
// # Usage
//
//	l := ledger.New(ledger.Config{Prefix: "shard/gent/0/log/", Epoch: 3})
//	seq := l.Append(record, true)
//	if op, ok := l.Next(now); ok {
//		out := l.Answer(now, carryOut(op)) // out.Durable lists committed records
//	}
//
// A new owner seals the log: it rewrites the newest segment with its epoch and
// creates the next one. A write of the old owner that is still under way then
// fails its compare-and-swap, so what the new owner has read is all there is.
// Segments are removed from the oldest on, after what is still needed in them
// has been written again. Every commit rewrites its whole segment, so segments
// are closed when they are small; opening the log reads all of them in one call.
package ledger

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
)

// Defaults of the configuration.
const (
	DefaultSegmentBytes   = 2 * 1024
	DefaultBatchBytes     = 256 * 1024
	DefaultCommitInterval = 20 * time.Millisecond
	DefaultRetention      = 24 * time.Hour
	// retryInterval is the time between two attempts while the store fails.
	retryInterval = 500 * time.Millisecond
	// pruneInterval is the time between two looks for records to forget.
	pruneInterval = 5 * time.Second
	// minLiveRatio is the share of needed records, of the oldest segment and of the
	// whole log, below which the oldest segments are written again.
	minLiveRatio = 0.5
	// maxRewrittenEntities is the number of entities above which no further segment joins
	// those that are written again together.
	maxRewrittenEntities = 256
)

// Config describes a ledger.
type Config struct {
	// Prefix is the store prefix of the segments, ending in a slash.
	Prefix string
	Epoch  heatherhub.Epoch
	// SegmentBytes is the size above which a new segment is begun.
	SegmentBytes int
	// BatchBytes bounds the records of one write.
	BatchBytes int
	// CommitInterval is the least time between two writes.
	CommitInterval time.Duration
	// Retention is how long a final job is kept.
	Retention time.Duration
	// UnsafeLostAnswerIsFailure plants a fault, for tests only: a lost answer is
	// taken for a failed write.
	UnsafeLostAnswerIsFailure bool
}

// OpKind tells what an Op does.
type OpKind string

// Kinds of store calls.
const (
	OpList  OpKind = "list"
	OpGet   OpKind = "get"
	OpWrite OpKind = "write"
)

// Op is one store call that the ledger wants made.
type Op struct {
	Kind OpKind
	// Key is the key to get or the prefix to list.
	Key     string
	Write   store.Write
	lastSeq uint64
	stage   stage
}

// Result is the answer to an Op.
type Result struct {
	Op       Op
	Err      error
	Entries  []store.Entry
	Revision store.Revision
}

// Committed is a record that has become durable.
type Committed struct {
	Seq    uint64
	Record Record
}

// Outcome is what an answer changed.
type Outcome struct {
	Durable []Committed
	// Dropped lists records that provably will never be durable.
	Dropped []Committed
	// Opened says that the log has just been read and sealed.
	Opened bool
	// Superseded says that an owner of a higher epoch has sealed the log.
	Superseded bool
}

type stage int

const (
	stageList stage = iota
	stageSeal
	stageCreate
	stageOpen
	stageReadBack
	stageDelete
)

type pendingRecord struct {
	seq       uint64
	record    Record
	raw       msgpack.RawMessage
	droppable bool
}

// Ledger is the log of one shard. It is not safe for concurrent use.
type Ledger struct {
	cfg      Config
	state    *State
	stage    stage
	isOpen   bool
	segments map[int]*segment
	// liveSegments lists the segments that are live for an entity.
	liveSegments  map[entity][]int
	oldestSegment int
	activeSegment int
	activeContent segmentContent
	queue         []pendingRecord
	lastSeq       uint64
	// unresolvedSeq is the last record of a write whose outcome is unknown.
	unresolvedSeq  uint64
	targetSegment  int
	isCallInFlight bool
	notBefore      time.Time
	nextPrune      time.Time
	nextDelete     time.Time
	sealContent    segmentContent
}

// New makes a ledger that has read nothing yet.
func New(cfg Config) *Ledger {
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = DefaultSegmentBytes
	}
	if cfg.BatchBytes == 0 {
		cfg.BatchBytes = DefaultBatchBytes
	}
	if cfg.CommitInterval == 0 {
		cfg.CommitInterval = DefaultCommitInterval
	}
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	return &Ledger{cfg: cfg, state: newState(), segments: make(map[int]*segment), liveSegments: make(map[entity][]int)}
}

// State returns the durable state. The caller does not change it.
func (l *Ledger) State() *State {
	return l.state
}

// IsOpen reports whether the log has been read and sealed.
func (l *Ledger) IsOpen() bool {
	return l.isOpen
}

// IsIdle reports whether every record is durable.
func (l *Ledger) IsIdle() bool {
	return len(l.queue) == 0 && !l.isCallInFlight
}

// SetEpoch raises the epoch after the same owner has renewed its claim.
func (l *Ledger) SetEpoch(e heatherhub.Epoch) {
	l.cfg.Epoch = max(l.cfg.Epoch, e)
}

// Append queues a record and returns its number. A droppable record is given up
// if the store provably refused it; the others are tried until they are durable.
func (l *Ledger) Append(r Record, droppable bool) uint64 {
	raw, err := msgpack.Marshal(r)
	if err != nil {
		panic(err) // records have only types that encode
	}
	l.lastSeq++
	l.queue = append(l.queue, pendingRecord{l.lastSeq, r, raw, droppable})
	return l.lastSeq
}

// Next returns the next store call, if one is to be made now. At most one is
// under way at a time.
func (l *Ledger) Next(now time.Time) (Op, bool) {
	if l.isCallInFlight || now.Before(l.notBefore) {
		return Op{}, false
	}
	op, ok := l.next(now)
	l.isCallInFlight = ok
	op.stage = l.stage
	return op, ok
}

func (l *Ledger) next(now time.Time) (Op, bool) {
	switch l.stage {
	case stageList:
		return Op{Kind: OpList, Key: l.cfg.Prefix}, true
	case stageSeal:
		return l.write(l.activeSegment, l.sealContent, l.segments[l.activeSegment].revision), true
	case stageCreate:
		return l.write(l.targetSegment, segmentContent{Epoch: l.cfg.Epoch, Seq: l.lastSeq}, 0), true
	case stageReadBack:
		return Op{Kind: OpGet, Key: segmentKey(l.cfg.Prefix, l.targetSegment)}, true
	}
	if len(l.queue) > 0 {
		l.notBefore = now.Add(l.cfg.CommitInterval)
		return l.commit(), true
	}
	return l.maintain(now)
}

func (l *Ledger) write(n int, c segmentContent, expect store.Revision) Op {
	return Op{
		Kind:    OpWrite,
		Write:   store.Write{Key: segmentKey(l.cfg.Prefix, n), Value: c.encode(), Expect: expect},
		lastSeq: c.Seq,
	}
}

// Answer takes the answer to the last call of Next.
func (l *Ledger) Answer(now time.Time, r Result) Outcome {
	l.isCallInFlight = false
	code := heatherhub.CodeOf(r.Err)
	if code == heatherhub.CodeUnknown && l.cfg.UnsafeLostAnswerIsFailure && r.Op.Kind == OpWrite {
		code = heatherhub.CodeUnavailable
	}
	switch r.Op.stage {
	case stageList:
		return l.handleList(now, r, code)
	case stageSeal, stageCreate:
		return l.handleSeal(now, r, code)
	case stageReadBack:
		return l.handleReadBack(now, r, code)
	case stageDelete:
		return l.handleDelete(now, code)
	default:
		return l.handleWrite(now, r, code)
	}
}
