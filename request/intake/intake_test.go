package intake_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/owner"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/request/intake"
	"heatherhub.example/heatherhub/version/queues"
)

const tableKey = "config"

// scripted is a store whose commits end as the script says.
type scripted struct {
	ledger.Store
	items   map[string]ledger.Item
	commits []func(ledger.Txn) (ledger.Revision, error)
	calls   int
}

func (s *scripted) Commit(_ context.Context, txn ledger.Txn) (ledger.Revision, error) {
	s.calls++
	if len(s.commits) == 0 {
		return s.apply(txn)
	}
	next := s.commits[0]
	s.commits = s.commits[1:]
	return next(txn)
}

func (s *scripted) Get(_ context.Context, key string) (ledger.Item, error) {
	return s.items[key], nil
}

func (s *scripted) apply(txn ledger.Txn) (ledger.Revision, error) {
	conflict := &ledger.ConflictError{}
	isMet := true
	for _, r := range txn.Preconditions {
		it := s.items[r.Key]
		if it.Revision > 0 {
			conflict.Items = append(conflict.Items, it)
		}
		isMet = isMet && it.Revision == r.Revision
	}
	if !isMet {
		return 0, conflict
	}
	for _, p := range txn.Puts {
		s.items[p.Key] = ledger.Item{Key: p.Key, Value: p.Value, Revision: 9}
	}
	return 9, nil
}

func silent(ledger.Txn) (ledger.Revision, error) {
	return 0, heatherhub.ErrUnknown.New("no answer")
}

type testClock struct{ now time.Duration }

func (c *testClock) Now() dispatch.Moment {
	return dispatch.Moment{Steady: c.now, Wall: time.Unix(1000, 0).Add(c.now)}
}

func newDesk(s *scripted, clock *testClock) *intake.Desk {
	s.items = map[string]ledger.Item{tableKey: {Key: tableKey, Revision: 5}}
	view := &owner.View{
		Layout: record.Layout{Shards: []record.ShardSize{{Shard: heatherhub.ShardID{Domain: record.SiteDomain}, CPU: 1000}}},
		Owners: map[heatherhub.ShardID]record.Owner{},
	}
	shards := intake.NewShards(intake.ShardsConfig{Store: s, View: func() *owner.View { return view }, Random: func() float64 { return 0 }, Log: zap.NewNop()})
	unknown := func(heatherhub.JobID) (heatherhub.WorkflowState, bool) { return "", false }
	return intake.New(intake.Config{
		Store: s, TableKey: tableKey, Shards: shards, Local: unknown, Clock: clock, Log: zap.NewNop(),
		Peers: func(context.Context, heatherhub.JobID) (heatherhub.WorkflowState, bool) { return "", false },
	})
}

func flow() *heatherhub.Workflow {
	return &heatherhub.Workflow{ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []heatherhub.Step{{Tasks: 1}}}
}

var table = &queues.Table{Version: 1, Revision: 5}

func TestLostAnswerIsSettledByAnotherTry(t *testing.T) {
	s := &scripted{}
	d := newDesk(s, &testClock{now: time.Second})
	s.commits = append(s.commits, func(txn ledger.Txn) (ledger.Revision, error) {
		_, _ = s.apply(txn)
		return silent(txn)
	})
	if err := d.Submit(t.Context(), flow(), table); err != nil {
		t.Errorf("got error %v, want the job accepted", err)
	}
}

// TestUnknownIsNeverCalledNotRun checks that a job that may have been written is not
// refused.
func TestUnknownIsNeverCalledNotRun(t *testing.T) {
	refused := func(ledger.Txn) (ledger.Revision, error) {
		return 0, heatherhub.ErrUnavailable.New("refused")
	}
	changed := func(ledger.Txn) (ledger.Revision, error) {
		return 0, &ledger.ConflictError{Items: []ledger.Item{{Key: tableKey, Revision: 6}}}
	}
	for name, second := range map[string]func(ledger.Txn) (ledger.Revision, error){"silent": silent, "refused": refused, "changed": changed} {
		s := &scripted{}
		d := newDesk(s, &testClock{now: time.Second})
		s.commits = append(s.commits, silent, second)
		err := d.Submit(t.Context(), flow(), table)
		if heatherhub.DidNotRun(err) || err == nil {
			t.Errorf("%s: got error %v, want one that leaves it open", name, err)
		}
	}
}

func TestSilentStoreIsRefusedAtOnce(t *testing.T) {
	s, clock := &scripted{}, &testClock{now: time.Second}
	d := newDesk(s, clock)
	s.commits = append(s.commits, silent, silent)
	_ = d.Submit(t.Context(), flow(), table)
	calls := s.calls
	err := d.Submit(t.Context(), flow(), table)
	if !heatherhub.DidNotRun(err) || heatherhub.RetryAfter(err) == 0 || s.calls != calls {
		t.Errorf("got error %v after %d calls, want a refusal with a time to come back and no call", err, s.calls-calls)
	}
	clock.now += time.Second
	if err := d.Submit(t.Context(), flow(), table); err != nil {
		t.Errorf("got error %v, want one try again after a while", err)
	}
}

func TestOutdatedTableIsNotUsed(t *testing.T) {
	s := &scripted{}
	d := newDesk(s, &testClock{now: time.Second})
	err := d.Submit(t.Context(), flow(), &queues.Table{Version: 0, Revision: 4})
	if !intake.IsTableChanged(err) {
		t.Errorf("got error %v, want one that says that the configuration has changed", err)
	}
	if it := s.items[record.JobKey("5c0e7a21d94b36f8")]; it.Revision != 0 {
		t.Error("got a job in the store, want none")
	}
}

func TestCancelOfAnUnknownJob(t *testing.T) {
	s := &scripted{}
	d := newDesk(s, &testClock{now: time.Second})
	if got, want := heatherhub.CodeOf(d.Cancel(t.Context(), "ffffffffffffffff")), heatherhub.CodeNotFound; got != want {
		t.Errorf("got code %q, want %q", got, want)
	}
}

var (
	north = heatherhub.ShardID{Domain: "north"}
	south = heatherhub.ShardID{Domain: "south"}
)

// hinted is a store that has loads.
type hinted struct {
	ledger.Store
	loads map[heatherhub.ShardID]record.Load
}

func (h *hinted) RangeStale(context.Context, string) (ledger.Snapshot, error) {
	var snap ledger.Snapshot
	for id, l := range h.loads {
		value, err := record.Encode(l)
		if err != nil {
			return snap, err
		}
		snap.Items = append(snap.Items, ledger.Item{Key: record.LoadKey(id), Value: value, Revision: 1})
	}
	return snap, nil
}

func twoShards(t *testing.T, loads map[heatherhub.ShardID]record.Load) *intake.Shards {
	view := &owner.View{
		Layout: record.Layout{Shards: []record.ShardSize{{Shard: north, CPU: 10_000}, {Shard: south, CPU: 10_000}}},
		Owners: map[heatherhub.ShardID]record.Owner{north: {Host: "a"}, south: {Host: "b"}},
	}
	s := intake.NewShards(intake.ShardsConfig{
		Store: &hinted{loads: loads}, View: func() *owner.View { return view }, Random: func() float64 { return 0 }, Log: zap.NewNop(),
	})
	if _, err := s.Waiting(context.Background(), "q"); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestJobGoesToTheShardThatServesItBest(t *testing.T) {
	load := func(reserved, filling heatherhub.MilliCPU, backlog time.Duration, racks ...heatherhub.Rack) record.Load {
		return record.Load{Capacity: 10_000, Reserved: reserved, FillerDemand: filling, Backlog: backlog, Racks: racks}
	}
	short := heatherhub.Step{Tasks: 2, Need: heatherhub.Resources{CPU: 1000}, Estimate: time.Second}
	near := short
	near.DataRack = "r2"
	lasting := short
	lasting.LongRunning = true
	cases := map[string]struct {
		north, south record.Load
		step         heatherhub.Step
		want         heatherhub.ShardID
	}{
		"less waits":                     {load(5000, 0, 9*time.Second), load(8000, 0, 0), short, south},
		"less is in use":                 {load(5000, 0, 0), load(8000, 0, 0), short, north},
		"the data is there":              {load(5000, 0, 0, "r1"), load(8000, 0, 0, "r2"), near, south},
		"the data is where far too much": {load(5000, 0, 0, "r1"), load(8000, 0, 30*time.Second, "r2"), near, north},
		"lasting tasks reserve":          {load(8000, 0, 0), load(5000, 5000, 9*time.Second), lasting, south},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := twoShards(t, map[heatherhub.ShardID]record.Load{north: c.north, south: c.south})
			got, err := s.Choose(&heatherhub.Workflow{ID: "j", Steps: []heatherhub.Step{c.step}})
			if err != nil || got != c.want {
				t.Errorf("got shard %s, error %v, want %s", got, err, c.want)
			}
		})
	}
}

// TestBurstIsSpread sends jobs faster than the loads are read.
func TestBurstIsSpread(t *testing.T) {
	s := twoShards(t, map[heatherhub.ShardID]record.Load{north: {Capacity: 10_000}, south: {Capacity: 10_000, Reserved: 100}})
	for _, isLasting := range []bool{false, true} {
		counts := make(map[heatherhub.ShardID]int)
		for range 10 {
			id, err := s.Choose(&heatherhub.Workflow{ID: "j", Steps: []heatherhub.Step{{
				Tasks: 2, Need: heatherhub.Resources{CPU: 500}, Estimate: time.Second, LongRunning: isLasting,
			}}})
			if err != nil {
				t.Fatal(err)
			}
			counts[id]++
		}
		if counts[north] < 4 || counts[south] < 4 {
			t.Errorf("lasting %v: got %v jobs by shard, want them spread", isLasting, counts)
		}
	}
}

// moving is a store in which a job's record changes between its read and the cancel.
type moving struct {
	ledger.Store
	revision ledger.Revision
	moves    int
	puts     []string
}

func (m *moving) Get(_ context.Context, key string) (ledger.Item, error) {
	return ledger.Item{Key: key, Revision: m.revision}, nil
}

func (m *moving) Commit(_ context.Context, txn ledger.Txn) (ledger.Revision, error) {
	if m.moves > 0 {
		m.moves--
		m.revision++
		return 0, &ledger.ConflictError{Items: []ledger.Item{{Key: txn.Preconditions[0].Key, Revision: m.revision}}}
	}
	for _, p := range txn.Puts {
		m.puts = append(m.puts, p.Key)
	}
	return m.revision, nil
}

// TestCancelOutlastsMoves cancels a job that moves to other shards meanwhile.
func TestCancelOutlastsMoves(t *testing.T) {
	for moves, want := range map[int]int{0: 1, 2: 1, 100: 0} {
		m := &moving{revision: 5, moves: moves}
		d := intake.New(intake.Config{Store: m, Clock: &testClock{}, Log: zap.NewNop()})
		err := d.Cancel(context.Background(), "j")
		if len(m.puts) != want || (want == 1) != (err == nil) {
			t.Errorf("%d moves: got cancels %v, error %v, want %d", moves, m.puts, err, want)
		}
		if err != nil && !heatherhub.DidNotRun(err) {
			t.Errorf("%d moves: got error %v, want one that says that nothing was done", moves, err)
		}
	}
}
