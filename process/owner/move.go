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

// Limits of the moves of waiting work to other shards.
const (
	// moveInterval is how often work is moved; the loads of the others are as old.
	moveInterval = 700 * time.Millisecond
	// maxMovesPerRound bounds the writes of one round.
	maxMovesPerRound = 8
	// minPressureGain is how much lower the pressure of another shard has to be before a
	// job goes there: a third of a second of work, or of the processors in use.
	minPressureGain = 0.3
)

// moveLoop offers waiting work to shards with more room.
func (t *term) moveLoop() {
	for t.ctx.Err() == nil {
		ledger.Pause(t.ctx, moveInterval)
		if len(t.host.View().Layout.Shards) < 2 || t.isHandingOver.Load() || !t.mayAct(t.now().Steady) {
			continue
		}
		t.mu.Lock()
		moves := t.engine.Movable(t.now(), maxMovesPerRound)
		t.mu.Unlock()
		if len(moves) == 0 {
			continue
		}
		loads, err := ReadLoads(t.ctx, t.host.cfg.Store, t.log)
		if err != nil {
			t.log.Info("loads not read", zap.Error(err))
			continue
		}
		t.moveAll(moves, loads)
	}
}

// ReadLoads reads what the owners told of their shards some seconds ago at most. An
// unreadable one is left out.
func ReadLoads(ctx context.Context, store ledger.Store, log *zap.Logger) (map[heatherhub.ShardID]record.Load, error) {
	snap, err := store.Hints(ctx, record.LoadPrefix)
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
		loads[id] = l
	}
	return loads, nil
}

// moveAll moves work to the shards that have room for it. What does not fit in one
// goes to the next.
func (t *term) moveAll(moves []dispatch.Move, loads map[heatherhub.ShardID]record.Load) {
	m := movePlanner{own: t.shard, owners: t.host.View().Owners, loads: loads}
	t.recentMoves = slices.DeleteFunc(t.recentMoves, func(g recentMove) bool { return t.now().Steady-g.at > recentMoveTTL })
	for _, g := range t.recentMoves {
		m.reserve(g.to, g.pool, g.need, g.tasks)
	}
	for _, move := range moves {
		for {
			to, part, ok := m.chooseTarget(move)
			if !ok {
				break
			}
			t.recentMoves = append(t.recentMoves, recentMove{to: to, pool: part.Pool, need: part.Need, tasks: max(len(part.Tasks), 1), at: t.now().Steady})
			t.writeMove(part, to)
			if len(part.Tasks) == len(move.Tasks) {
				break
			}
			move.Tasks = move.Tasks[len(part.Tasks):]
		}
	}
}

// recentMove is work that was moved and that the loads may not show yet.
type recentMove struct {
	to    heatherhub.ShardID
	pool  heatherhub.PoolID
	need  heatherhub.Resources
	tasks int
	at    time.Duration
}

// recentMoveTTL is how old the loads that are read may be, and the start of a task.
const recentMoveTTL = 3 * time.Second

// movePlanner chooses shards for waiting work.
type movePlanner struct {
	own    heatherhub.ShardID
	owners map[heatherhub.ShardID]record.Owner
	loads  map[heatherhub.ShardID]record.Load
}

// reserve takes room for n tasks in a shard, and returns for how many there was room.
func (m *movePlanner) reserve(id heatherhub.ShardID, pool heatherhub.PoolID, need heatherhub.Resources, n int) int {
	l := m.loads[id]
	taken := reserveHoles(&l, pool, need, n)
	m.loads[id] = l
	return taken
}

// chooseTarget returns where a move should go, and the part of it that fits there.
func (m *movePlanner) chooseTarget(move dispatch.Move) (heatherhub.ShardID, dispatch.Move, bool) {
	var best heatherhub.ShardID
	bestPressure := math.Inf(1)
	for id, l := range m.loads {
		if _, isOwned := m.owners[id]; id == m.own || !isOwned || !m.hasRoomFor(move, l) {
			continue
		}
		if p := l.Pressure(); p < bestPressure || (p == bestPressure && id.Compare(best) < 0) {
			best, bestPressure = id, p
		}
	}
	if math.IsInf(bestPressure, 1) {
		return best, move, false
	}
	n := m.reserve(best, move.Pool, move.Need, max(len(move.Tasks), 1))
	if move.Tasks != nil {
		move.Tasks = move.Tasks[:n]
	}
	return best, move, true
}

// hasRoomFor reports whether a shard has room for a task that waits here.
func (m *movePlanner) hasRoomFor(move dispatch.Move, l record.Load) bool {
	hasHole := slices.ContainsFunc(l.Holes[move.Pool], move.Need.Fits)
	if move.Tasks != nil {
		return hasHole
	}
	own := m.loads[m.own]
	return hasHole && l.Pressure() < own.Pressure()-minPressureGain
}

// reserveHoles takes room for n tasks, and returns for how many there was room.
func reserveHoles(l *record.Load, pool heatherhub.PoolID, need heatherhub.Resources, n int) int {
	holes := slices.Clone(l.Holes[pool])
	l.Holes = maps.Clone(l.Holes)
	if l.Holes == nil {
		return 0
	}
	l.Holes[pool] = holes
	for k := range n {
		at := slices.IndexFunc(holes, need.Fits)
		if at < 0 {
			return k
		}
		holes[at] = holes[at].Sub(need)
		l.Reserved += need.CPU
	}
	return n
}

// writeMove records that another shard runs waiting work. What became of the write is
// taken in as any record of the job is.
func (t *term) writeMove(m dispatch.Move, to heatherhub.ShardID) {
	t.mu.Lock()
	flow, recorded, ok := t.engine.Depart(m, to)
	t.mu.Unlock()
	if !ok {
		return
	}
	it, err := t.replaceJobRecord(flow, recorded)
	if it.Revision > 0 {
		t.mu.Lock()
		t.addJob(it, ledger.Item{}, dispatch.IsNew)
		t.mu.Unlock()
	}
	if err != nil {
		t.log.Info("work not moved", zap.String("job", string(m.Job)), zap.Error(err))
		return
	}
	t.log.Info("work moved", zap.String("job", string(m.Job)), zap.Int("count", len(m.Tasks)), zap.Stringer("to", to), zap.Duration("waited", m.Waited))
}

// replaceJobRecord replaces the record of a job and returns it. With an error it returns the
// record that stands instead, if that is known.
func (t *term) replaceJobRecord(flow *heatherhub.Workflow, recorded ledger.Revision) (ledger.Item, error) {
	value, err := record.Encode(flow)
	if err != nil {
		return ledger.Item{}, err
	}
	key := record.JobKey(flow.ID)
	txn := ledger.Txn{
		// A shard that learns of the job by this record has not seen an earlier cancel.
		Require: []ledger.Require{t.ownerCondition(), {Key: key, Revision: recorded}, {Key: record.CancelKey(flow.ID)}},
		Puts:    []ledger.Put{{Key: key, Value: value}},
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
		ledger.Pause(t.ctx, storeRetryDelay)
	}
}

// handleMoveConflict returns the record as it is after a failed precondition: that of an earlier
// try whose answer was lost, or the one before.
func (t *term) handleMoveConflict(c *ledger.ConflictError, key string) (ledger.Item, error) {
	if c.Find(record.OwnerKey(t.shard)).Revision != t.ownerRevision {
		t.end("another owner has the shard")
		return ledger.Item{}, heatherhub.ErrNotOwner.New("another owner has the shard")
	}
	return c.Find(key), heatherhub.ErrConflict.New("the job was cancelled, or its record has changed")
}
