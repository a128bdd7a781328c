package owner

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
)

// Limits of moving waiting work to other shards.
const (
	// moveInterval is the time between two rounds of moves. The load records of other
	// shards are about as old.
	moveInterval = 700 * time.Millisecond
	// urgentInterval is the time between two looks for work that moves without a wait.
	urgentInterval = 100 * time.Millisecond
	// maxMovesPerRound bounds the store writes of one round.
	maxMovesPerRound = 24
	// minPressureGain is how much lower the pressure (record.Load.Pressure) of another
	// shard has to be before a whole job moves there: about 0.3 s of queued work, or 30%
	// of the processors.
	minPressureGain = 0.3
)

// moveLoop moves waiting work to shards with free capacity. A round that has moved as much as a
// round may is followed by the next one at once.
func (t *term) moveLoop() {
	nextRound, nextUrgent := t.now().Steady+moveInterval, time.Duration(0)
	for t.ctx.Err() == nil {
		ledger.Sleep(t.ctx, urgentInterval)
		now := t.now().Steady
		isFull := now >= nextRound
		if !isFull && now < nextUrgent {
			continue
		}
		if len(t.host.View().Layout.Shards) < 2 {
			nextRound = now + moveInterval
			continue
		}
		found, written := t.moveRound(isFull)
		for written == maxMovesPerRound {
			_, written = t.moveRound(isFull)
		}
		if now = t.now().Steady; isFull {
			nextRound = now + moveInterval
		}
		if found > 0 && written == 0 {
			// No shard has room. The loads are not read again for some time.
			nextUrgent = now + moveInterval
		}
	}
}

// moveRound moves up to maxMovesPerRound pieces of waiting work, or of urgent work only. It returns
// how many it found and how many it moved.
func (t *term) moveRound(isFull bool) (found, written int) {
	if t.isHandingOver.Load() || !t.mayAct(t.now().Steady) {
		return 0, 0
	}
	var moves, crashed []dispatch.Move
	t.mu.Lock()
	if isFull {
		moves, crashed = t.engine.MovableWork(t.now()), t.engine.CrashedGuests()
	} else {
		moves = t.engine.UrgentWork(t.now())
	}
	t.mu.Unlock()
	if len(crashed) > 0 && acquire(t.ctx, t.moveSem) {
		for _, m := range crashed {
			t.writeMove(m, m.Home, 0)
		}
		release(t.moveSem)
	}
	if len(moves) == 0 {
		return 0, 0
	}
	loads, err := ReadLoads(t.ctx, t.host.cfg.Store.RangeStale, t.log)
	if err != nil {
		t.log.Info("loads not read", zap.Error(err))
		return len(moves), 0
	}
	if acquire(t.ctx, t.moveSem) {
		written = t.moveAll(moves, loads)
		release(t.moveSem)
	}
	return len(moves), written
}

// RangeReader is ledger.Store.Range, or RangeStale if the loads may be some seconds old.
type RangeReader func(ctx context.Context, prefix string) (ledger.Snapshot, error)

// ReadLoads reads the load records that the owners publish, by shard. Records that cannot
// be decoded are logged and left out, and so are invalid forecasts of a load.
func ReadLoads(ctx context.Context, read RangeReader, log *zap.Logger) (map[heatherhub.ShardID]record.Load, error) {
	snap, err := read(ctx, record.LoadPrefix)
	if err != nil {
		return nil, err
	}
	loads := make(map[heatherhub.ShardID]record.Load, len(snap.Items))
	for _, it := range snap.Items {
		id, err := heatherhub.ParseShardID(strings.TrimPrefix(it.Key, record.LoadPrefix))
		var l record.Load
		if err == nil {
			err = heatherhub.Unmarshal(it.Value, &l)
		}
		if err != nil {
			log.Warn("load unreadable", zap.String("key", it.Key), zap.Error(err))
			continue
		}
		if l.Forecast != nil {
			if err := l.Forecast.Check(); err != nil {
				log.Warn("forecast ignored", zap.String("key", it.Key), zap.Error(err))
				l.Forecast = nil
			}
		}
		l.Revision = it.Revision
		loads[id] = l
	}
	return loads, nil
}

// moveAll moves work to shards with free capacity. Tasks that do not fit in one shard go
// to the next. It returns the number of moves that were written. Moves that fail count towards
// the limit of a round, but ask for no further one.
func (t *term) moveAll(moves []dispatch.Move, loads map[heatherhub.ShardID]record.Load) int {
	t.dropEvacuated(loads)
	m := movePlanner{own: t.shard, owners: t.host.View().Owners, loads: loads, planned: make(map[heatherhub.ShardID]time.Duration)}
	t.recentMoves = slices.DeleteFunc(t.recentMoves, func(r recentMove) bool {
		return t.now().Steady-r.at > recentMoveTTL || loads[r.to].JobsRead >= r.revision
	})
	for _, r := range t.recentMoves {
		m.reserve(r.to, r.move)
	}
	tried, written := 0, 0
	for _, move := range moves {
		for tried < maxMovesPerRound && !t.isHandingOver.Load() {
			to, part, ok := m.chooseTarget(move)
			if !ok {
				break
			}
			tried++
			if revision := t.writeMove(part, to, loads[to].OwnerRevision); revision > 0 {
				written++
				t.recentMoves = append(t.recentMoves, recentMove{to: to, move: part, revision: revision, at: t.now().Steady})
			}
			if len(part.Tasks) == len(move.Tasks) {
				break
			}
			move.Tasks = move.Tasks[len(part.Tasks):]
		}
	}
	return written
}

// recentMove is work that was moved recently. The load record of its new shard does not
// include it until the owner there has read the move.
type recentMove struct {
	to   heatherhub.ShardID
	move dispatch.Move
	// revision is that of the job record that the move wrote.
	revision ledger.Revision
	// at is the steady time of the move.
	at time.Duration
}

// recentMoveTTL is the age that load records may have plus the time to start a task.
const recentMoveTTL = 3 * time.Second

// movePlanner chooses shards for waiting work. Planned moves are reserved in loads, and planned has the processor time
// that the whole jobs among them need.
type movePlanner struct {
	own     heatherhub.ShardID
	owners  map[heatherhub.ShardID]record.Owner
	loads   map[heatherhub.ShardID]record.Load
	planned map[heatherhub.ShardID]time.Duration
}

// reserve reserves capacity for the tasks of a move in a shard and returns how many fit. A
// whole job counts as one task.
func (m *movePlanner) reserve(id heatherhub.ShardID, move dispatch.Move) int {
	l := m.loads[id]
	reserved := reserveFree(&l, move)
	m.loads[id] = l
	m.planned[id] += move.Work
	return reserved
}

// chooseTarget returns a shard that has capacity for a move, and the part of the move that fits there,
// for which it reserves capacity: the shard that lacks workers for the fewest steps and, of these, the
// one with the lowest pressure, the jobs that are planned for it included. It reports false if no shard has capacity.
func (m *movePlanner) chooseTarget(move dispatch.Move) (heatherhub.ShardID, dispatch.Move, bool) {
	var best heatherhub.ShardID
	bestPressure := math.Inf(1)
	for id, l := range m.loads {
		if _, isOwned := m.owners[id]; id == m.own || !isOwned || !m.hasCapacityFor(move, l) {
			continue
		}
		l.Backlog += m.planned[id]
		if p := l.Pressure() + lackPressure*float64(lacking(move, &l)); p < bestPressure || (p == bestPressure && id.Compare(best) < 0) {
			best, bestPressure = id, p
		}
	}
	if math.IsInf(bestPressure, 1) {
		return best, move, false
	}
	n := m.reserve(best, move)
	if move.Tasks != nil {
		move.Tasks = move.Tasks[:n]
	}
	return best, move, true
}

// lackPressure exceeds any difference in pressure.
const lackPressure = 1e6

// lacking returns the number of unfinished steps of a whole job for which a shard with load l has no worker.
func lacking(move dispatch.Move, l *record.Load) int {
	n := 0
	for _, s := range move.Unfinished {
		if !l.CanRun(move.Pool, s) {
			n++
		}
	}
	return n
}

// hasCapacityFor reports whether a shard with load l can start at least one task of a move.
// A whole job moves only to a shard whose pressure is lower by minPressureGain and that has workers
// for all of its steps, unless it cannot start where it is.
func (m *movePlanner) hasCapacityFor(move dispatch.Move, l record.Load) bool {
	if !canStart(move, l) || (move.HasBegun && l.OwnerRevision == 0) {
		return false
	}
	own := m.loads[m.own]
	return move.Tasks != nil || move.IsStranded || move.LacksWorkers || (l.Pressure() < own.Pressure()-minPressureGain && lacking(move, &l) == 0)
}

// canStart reports whether the owner of a shard with load l would start a task of a move, by
// the criteria of its engine. A filler also needs spare processors and a worker on which it
// does not interfere, unless it would start there as a starved one.
func canStart(move dispatch.Move, l record.Load) bool {
	if move.Step != nil && !l.CanRun(move.Pool, move.Step) {
		return false
	}
	if !move.IsFiller || l.ReservedShare() <= dispatch.StarvationLoadLimit {
		return record.Fits(l.LargestFree[move.Pool], move.Reserved)
	}
	room, isKnown := l.FillerRoom[move.Pool][move.Image]
	if !isKnown {
		room = l.FillerRoom[move.Pool][""]
	}
	return move.Need.CPU <= room && record.Fits(l.LargestSpare[move.Pool], move.Need)
}

// reserveFree reserves the free capacity of single workers in l for the tasks of a move and
// returns how many fit. It copies the list that it changes.
func reserveFree(l *record.Load, move dispatch.Move) int {
	free, need := &l.LargestFree, move.Reserved
	if move.IsFiller && l.ReservedShare() > dispatch.StarvationLoadLimit {
		free, need = &l.LargestSpare, move.Need
	}
	if *free == nil {
		return 0
	}
	rooms := slices.Clone((*free)[move.Pool])
	*free = maps.Clone(*free)
	defer func() { (*free)[move.Pool] = rooms }()
	count := max(len(move.Tasks), 1)
	for k := range count {
		var ok bool
		if rooms, ok = record.Reserve(rooms, need); !ok {
			return k
		}
		l.Reserved += move.Reserved.CPU
	}
	return count
}

// writeMove writes a job record that assigns waiting work to another shard, and returns its
// revision, or zero if the work was not moved. The engine learns the result from the record
// that stands afterwards, like that of any other job. owner is the revision of the claim of the
// shard's owner: a job with progress moves only to one that has said that it reads the progress.
func (t *term) writeMove(m dispatch.Move, to heatherhub.ShardID, owner ledger.Revision) ledger.Revision {
	t.mu.Lock()
	flow, recorded, ok := t.engine.PrepareMove(m, to)
	t.mu.Unlock()
	if !ok {
		return 0
	}
	var more []ledger.Precondition
	if flow.HasBegun {
		more = append(more,
			ledger.Precondition{Key: record.ProgressKey(m.Job), Revision: ledger.Revision(flow.ProgressRevision)},
			ledger.Precondition{Key: record.OwnerKey(to), Revision: owner})
	}
	it, err := t.replaceJobRecord(flow, recorded, more)
	if it.Revision > 0 {
		t.mu.Lock()
		t.addJob(it, ledger.Item{}, dispatch.OriginNew)
		t.engine.SettleMove(t.now(), m.Job)
		t.wakeLoops()
		t.mu.Unlock()
	}
	kind := m.Kind()
	if err != nil {
		t.log.Info("work not moved", zap.String("job", string(m.Job)), zap.String("kind", kind), zap.Error(err))
		return 0
	}
	t.host.metrics.moves.WithLabelValues(kind).Inc()
	t.log.Info("work moved", zap.String("job", string(m.Job)), zap.String("kind", kind), zap.Int("count", len(m.Tasks)), zap.Stringer("to", to),
		zap.Duration("waited", m.Waited), zap.Uint64("progress", flow.ProgressRevision))
	return it.Revision
}

// replaceJobRecord replaces the record of a job at revision recorded, if the preconditions in
// more hold as well, and returns the new record. It retries until the result is known. With an error
// it returns the record that the store has instead, if it is known.
func (t *term) replaceJobRecord(flow *heatherhub.Workflow, recorded ledger.Revision, more []ledger.Precondition) (ledger.Item, error) {
	value, err := record.Encode(flow)
	if err != nil {
		return ledger.Item{}, err
	}
	key := record.JobKey(flow.ID)
	txn := ledger.Txn{
		// Fails if the job was cancelled: the target shard has ignored a cancel that came
		// before it knew the job.
		Preconditions: append([]ledger.Precondition{t.ownerCondition(), {Key: key, Revision: recorded}, {Key: record.CancelKey(flow.ID)}}, more...),
		Puts:          []ledger.Put{{Key: key, Value: value}},
	}
	for {
		rev, err := t.host.cfg.Store.Commit(t.ctx, txn)
		var conflict *ledger.ConflictError
		switch {
		case err == nil:
			return ledger.Item{Key: key, Value: value, Revision: rev}, nil
		case t.ctx.Err() != nil:
			return ledger.Item{}, err
		case errors.As(err, &conflict):
			return t.handleMoveConflict(conflict, key)
		}
		ledger.Sleep(t.ctx, storeRetryDelay)
	}
}

// handleMoveConflict returns the stored job record after a failed precondition: the one
// that an earlier attempt wrote although its answer was lost, or one from before the move.
func (t *term) handleMoveConflict(c *ledger.ConflictError, key string) (ledger.Item, error) {
	if c.Find(record.OwnerKey(t.shard)).Revision != t.ownerRevision {
		t.end("another owner has the shard")
		return ledger.Item{}, heatherhub.ErrNotOwner.New("another owner has the shard")
	}
	return c.Find(key), heatherhub.ErrConflict.New("the job was cancelled, its record or progress has changed, or the other shard has another owner")
}
