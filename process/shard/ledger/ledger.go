// Package ledger keeps the durable state of one shard, its jobs, its claimed
// idempotency keys and its workers, as a log of records in small segments of the store. It makes no
// calls itself: Next returns the next store call and Answer takes its result.
//
// One compare-and-swap commits all records that were appended within a commit
// interval. A record is durable only once that write is known to have taken effect.
// If the answer to a write is lost, the segment is read back. Until the outcome is
// known, its records stay in every later write to that segment, so the lost write may
// still take effect late without harm.
//
// # Usage
//
//	l := ledger.New(ledger.Config{Prefix: "shard/gent/0/log/", Epoch: 3})
//	seq := l.Append(record, true)
//	if op, ok := l.Next(now); ok {
//		out := l.Answer(now, execute(op)) // out.Durable lists committed records
//	}
//
// A new owner seals the log: it rewrites the newest segment with its epoch and
// creates the next one. A write of the previous owner that is still in flight then
// fails its compare-and-swap, so the new owner has read every durable record.
//
// Segments are deleted from the oldest on, after the state that still depends on them
// has been appended again. Every commit rewrites its whole segment, so segments are
// kept small; opening the log reads all of them in one call.
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
	// pruneInterval is the time between two removals of expired jobs and keys, the
	// minimum time between two rewrites of the oldest segments, and the time after
	// which a failed deletion of a segment is repeated.
	pruneInterval = 5 * time.Second
	// minLiveRatio is the ratio of live entities to records, in the oldest segment or
	// in the whole log, below which the oldest segments are rewritten.
	minLiveRatio = 0.5
	// maxRewrittenEntities is the number of entities from which on a rewrite takes in
	// no further segment.
	maxRewrittenEntities = 256
)

// Config configures a ledger. Zero sizes and durations stand for the defaults.
type Config struct {
	// Prefix is the store prefix of the segments, ending in a slash.
	Prefix string
	// Epoch is the epoch of the shard's owner. It is written into every segment.
	Epoch heatherhub.Epoch
	// SegmentBytes is the size of a segment's records above which a new one starts.
	SegmentBytes int
	// BatchBytes bounds the records that one write adds. A larger record is written
	// alone.
	BatchBytes int
	// CommitInterval is the minimum time between two commits.
	CommitInterval time.Duration
	// Retention is how long a job is kept after it has reached a final state.
	Retention time.Duration
	// UnsafeLostAnswerIsFailure treats a lost answer as proof that the write failed.
	// Tests set it to show that they detect the resulting fault.
	UnsafeLostAnswerIsFailure bool
}

// OpKind is the operation of an Op.
type OpKind string

// Kinds of store calls.
const (
	OpList  OpKind = "list"
	OpGet   OpKind = "get"
	OpWrite OpKind = "write"
)

// Op is a store call to be made for the ledger.
type Op struct {
	Kind OpKind
	// Key is the key to get or the prefix to list.
	Key   string
	Write store.Write
	// lastSeq is the number of the last record in the write.
	lastSeq uint64
	stage   stage
}

// Result is the answer to an Op. Entries is set for OpList and OpGet, Revision for
// OpWrite.
type Result struct {
	Op       Op
	Err      error
	Entries  []store.Entry
	Revision store.Revision
}

// Committed is a record and its number, as Append returned it.
type Committed struct {
	Seq    uint64
	Record Record
}

// Outcome is what an answer changed.
type Outcome struct {
	// Durable lists the records that have become durable, in order.
	Durable []Committed
	// Dropped lists records that provably will never be durable.
	Dropped []Committed
	// Opened means that the log has just been read and sealed.
	Opened bool
	// Superseded means that an owner with a higher epoch has sealed the log.
	Superseded bool
}

// stage determines the next store call and how its answer is handled.
type stage int

const (
	// stageList reads all segments.
	stageList stage = iota
	// stageSeal rewrites the newest segment with the owner's epoch.
	stageSeal
	// stageCreate creates the segment after the sealed one.
	stageCreate
	// stageOpen commits records and maintains the segments.
	stageOpen
	// stageReadBack reads the target segment to learn the outcome of a write.
	stageReadBack
	// stageDelete deletes the oldest segment.
	stageDelete
)

// pendingRecord is a record that is not known to be durable.
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
	// liveSegments lists, for each entity, the segments that its state depends on.
	liveSegments  map[entity][]int
	oldestSegment int
	// activeSegment is the newest segment, and activeContent its durable content.
	activeSegment int
	activeContent segmentContent
	// queue holds the records that are not known to be durable, in order.
	queue   []pendingRecord
	lastSeq uint64
	// unresolvedSeq is the last record of a write whose outcome is unknown, or 0. The
	// next write that succeeds resets it.
	unresolvedSeq uint64
	// targetSegment is the segment of the last commit, or the one to be created.
	targetSegment  int
	isCallInFlight bool
	// notBefore is the earliest time of the next call.
	notBefore time.Time
	nextPrune time.Time
	// nextDelete is the earliest time of the next deletion or rewrite of segments after
	// a deletion that failed.
	nextDelete time.Time
	// sealContent is the content with which the newest segment is sealed.
	sealContent segmentContent
}

// New returns a ledger that has not read its log yet.
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

// State returns the durable state. The caller must not change it.
func (l *Ledger) State() *State {
	return l.state
}

// IsOpen reports whether the log has been read and sealed.
func (l *Ledger) IsOpen() bool {
	return l.isOpen
}

// IsIdle reports whether every record is durable and no call is in flight.
func (l *Ledger) IsIdle() bool {
	return len(l.queue) == 0 && !l.isCallInFlight
}

// SetEpoch raises the epoch after the same owner has claimed the shard again.
func (l *Ledger) SetEpoch(e heatherhub.Epoch) {
	l.cfg.Epoch = max(l.cfg.Epoch, e)
}

// Append queues a record and returns its number. When a write provably fails, the
// droppable records in the queue are dropped, except those that a write with an unknown
// outcome holds. The others are retried until they are durable.
func (l *Ledger) Append(r Record, droppable bool) uint64 {
	raw, err := msgpack.Marshal(r)
	if err != nil {
		panic(err) // every type in a record can be encoded
	}
	l.lastSeq++
	l.queue = append(l.queue, pendingRecord{l.lastSeq, r, raw, droppable})
	return l.lastSeq
}

// Next returns the next store call, or false if none is due. At most one call is in
// flight at a time; its result goes to Answer.
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

// write returns the write of a segment that has the expected revision, or that does not
// exist yet if that is 0.
func (l *Ledger) write(n int, c segmentContent, expect store.Revision) Op {
	return Op{
		Kind:    OpWrite,
		Write:   store.Write{Key: segmentKey(l.cfg.Prefix, n), Value: c.encode(), Expect: expect},
		lastSeq: c.Seq,
	}
}

// Answer handles the result of the call that Next returned last.
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
