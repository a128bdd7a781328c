package intake_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/owner"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/request/intake"
	"heatherhub.example/heatherhub/version/evacuation"
	"heatherhub.example/heatherhub/version/queues"
)

const tableKey = "config"

// scriptedStore handles each commit with the next function in commits, and applies it to
// items once there are none left. It counts the commits.
type scriptedStore struct {
	ledger.Store
	items   map[string]ledger.Item
	commits []func(ledger.Txn) (ledger.Revision, error)
	calls   int
	// getErr, if set, is the error of all reads.
	getErr error
}

func (s *scriptedStore) Commit(_ context.Context, txn ledger.Txn) (ledger.Revision, error) {
	s.calls++
	if len(s.commits) == 0 {
		return s.apply(txn)
	}
	next := s.commits[0]
	s.commits = s.commits[1:]
	return next(txn)
}

func (s *scriptedStore) Get(_ context.Context, key string) (ledger.Item, error) {
	return s.items[key], s.getErr
}

func (s *scriptedStore) GrantLease(_ context.Context, ttl time.Duration) (ledger.LeaseID, time.Duration, error) {
	return 1, ttl, nil
}

// apply checks the preconditions of a transaction and writes its puts with revision 9.
func (s *scriptedStore) apply(txn ledger.Txn) (ledger.Revision, error) {
	conflict := &ledger.ConflictError{}
	isSatisfied := true
	for _, r := range txn.Preconditions {
		it := s.items[r.Key]
		if it.Revision > 0 {
			conflict.Items = append(conflict.Items, it)
		}
		isSatisfied = isSatisfied && it.Revision == r.Revision
	}
	if !isSatisfied {
		return 0, conflict
	}
	for _, p := range txn.Puts {
		s.items[p.Key] = ledger.Item{Key: p.Key, Value: p.Value, Revision: 9}
	}
	return 9, nil
}

// noReply is a commit whose reply is lost.
func noReply(ledger.Txn) (ledger.Revision, error) {
	return 0, heatherhub.ErrUnknown.New("no reply")
}

type testClock struct{ now time.Duration }

func (c *testClock) Now() dispatch.Moment {
	return dispatch.Moment{Steady: c.now, Wall: time.Unix(1000, 0).Add(c.now)}
}

// newJobAPI returns an API over s, with one shard and the configuration at revision 5.
func newJobAPI(s *scriptedStore, clock *testClock) *intake.JobAPI {
	return newAdmittingAPI(s, clock, nil)
}

func newAdmittingAPI(s *scriptedStore, clock *testClock, admission *intake.Admission) *intake.JobAPI {
	s.items = map[string]ledger.Item{tableKey: {Key: tableKey, Revision: 5}}
	return newHostAPI(s, clock, admission)
}

// newHostAPI returns an API over a store, with one shard.
func newHostAPI(s ledger.Store, clock *testClock, admission *intake.Admission) *intake.JobAPI {
	view := &owner.View{
		Layout: record.Layout{Shards: []record.ShardSize{{Shard: heatherhub.ShardID{Domain: record.SiteDomain}, CPU: 1000}}},
		Owners: map[heatherhub.ShardID]record.Owner{},
	}
	shards := intake.NewShardSelector(intake.ShardSelectorConfig{Store: s, View: func() *owner.View { return view }, Random: func() float64 { return 0 }, Log: zap.NewNop()})
	unknown := func(heatherhub.JobID) (heatherhub.WorkflowState, bool) { return "", false }
	return intake.New(intake.Config{
		Store: s, TableKey: tableKey, Shards: shards, LocalState: unknown, Clock: clock, Log: zap.NewNop(), Admission: admission,
		PeerState: func(context.Context, heatherhub.JobID) (heatherhub.WorkflowState, bool) { return "", false },
	})
}

func newWorkflow() *heatherhub.Workflow {
	return &heatherhub.Workflow{ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []heatherhub.Step{{Tasks: 1}}}
}

var table = &queues.Table{Version: 1, Revision: 5}

// TestLostReplyIsResolvedByRetry checks that a job is accepted if the reply to its write is
// lost and a second attempt finds the job in the store.
func TestLostReplyIsResolvedByRetry(t *testing.T) {
	s := &scriptedStore{}
	api := newJobAPI(s, &testClock{now: time.Second})
	s.commits = append(s.commits, func(txn ledger.Txn) (ledger.Revision, error) {
		_, _ = s.apply(txn)
		return noReply(txn)
	})
	if err := api.Submit(t.Context(), newWorkflow(), table); err != nil {
		t.Errorf("got error %v, want the job accepted", err)
	}
}

// TestUnknownOutcomeIsNotReportedAsNotRun guards against a definite refusal of a job whose
// first write may have taken effect, whatever the second attempt returns.
func TestUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	refused := func(ledger.Txn) (ledger.Revision, error) {
		return 0, heatherhub.ErrUnavailable.New("refused")
	}
	changed := func(ledger.Txn) (ledger.Revision, error) {
		return 0, &ledger.ConflictError{Items: []ledger.Item{{Key: tableKey, Revision: 6}}}
	}
	for name, second := range map[string]func(ledger.Txn) (ledger.Revision, error){"silent": noReply, "refused": refused, "changed": changed} {
		s := &scriptedStore{}
		api := newJobAPI(s, &testClock{now: time.Second})
		s.commits = append(s.commits, noReply, second)
		err := api.Submit(t.Context(), newWorkflow(), table)
		if heatherhub.DidNotRun(err) || err == nil {
			t.Errorf("%s: got error %v, want one of unknown outcome", name, err)
		}
	}
}

// TestUnresponsiveStoreRefusesSubmissions checks that submissions fail without a call while
// the store does not reply, and that one is let through after the probe interval.
func TestUnresponsiveStoreRefusesSubmissions(t *testing.T) {
	s, clock := &scriptedStore{}, &testClock{now: time.Second}
	api := newJobAPI(s, clock)
	s.commits = append(s.commits, noReply, noReply)
	_ = api.Submit(t.Context(), newWorkflow(), table)
	calls := s.calls
	other := newWorkflow()
	other.ID = "5c0e7a21d94b36f9"
	err := api.Submit(t.Context(), other, table)
	if !heatherhub.DidNotRun(err) || heatherhub.RetryAfter(err) == 0 || s.calls != calls {
		t.Errorf("got error %v after %d calls, want a refusal with a retry delay and no call", err, s.calls-calls)
	}
	if err := api.Submit(t.Context(), newWorkflow(), table); !heatherhub.IsUnknown(err) || s.calls != calls {
		t.Errorf("got error %v after %d calls for the job that may have been accepted, want an unknown outcome and no call", err, s.calls-calls)
	}
	clock.now += time.Second
	if err := api.Submit(t.Context(), newWorkflow(), table); err != nil {
		t.Errorf("got error %v, want the submission let through after the probe interval", err)
	}
}

// TestOutageLeavesNoSubmissionInDoubt guards against submissions that are sent to find out whether the
// store is back: each one that gets no answer may have been accepted, so its caller must not be
// told that it was not.
func TestOutageLeavesNoSubmissionInDoubt(t *testing.T) {
	s, clock := &scriptedStore{}, &testClock{now: time.Second}
	api := newJobAPI(s, clock)
	s.commits = append(s.commits, noReply, noReply)
	_ = api.Submit(t.Context(), newWorkflow(), table)
	calls := s.calls
	s.getErr = heatherhub.ErrUnknown.New("no reply")
	for i := range 5 {
		clock.now += time.Second
		flow := newWorkflow()
		flow.ID = heatherhub.JobID("5c0e7a21d94b360" + strconv.Itoa(i))
		if err := api.Submit(t.Context(), flow, table); !heatherhub.DidNotRun(err) {
			t.Errorf("got error %v in the outage, want a refusal", err)
		}
	}
	if s.calls != calls {
		t.Errorf("got %d writes in the outage, want none", s.calls-calls)
	}
}

// TestOutdatedTableIsRefused checks that a job is not written if the configuration has been
// replaced since the caller read it.
func TestOutdatedTableIsRefused(t *testing.T) {
	s := &scriptedStore{}
	api := newJobAPI(s, &testClock{now: time.Second})
	err := api.Submit(t.Context(), newWorkflow(), &queues.Table{Version: 0, Revision: 4})
	if !intake.IsTableChanged(err) {
		t.Errorf("got error %v, want ErrTableChanged", err)
	}
	if it := s.items[record.JobKey("5c0e7a21d94b36f8")]; it.Revision != 0 {
		t.Error("got a job in the store, want none")
	}
}

// TestConflictWithoutItemsIsLookedUp guards against a submission that takes a conflict whose items
// were too large to read for a change of the configuration, although its job is stored.
func TestConflictWithoutItemsIsLookedUp(t *testing.T) {
	incomplete := func(ledger.Txn) (ledger.Revision, error) { return 0, &ledger.ConflictError{IsIncomplete: true} }
	s := &scriptedStore{commits: []func(ledger.Txn) (ledger.Revision, error){incomplete, incomplete}}
	api := newJobAPI(s, &testClock{now: time.Second})
	if err := api.Submit(t.Context(), newWorkflow(), table); !intake.IsTableChanged(err) {
		t.Errorf("job absent: got error %v, want ErrTableChanged", err)
	}
	key := record.JobKey(newWorkflow().ID)
	s.items[key] = ledger.Item{Key: key, Revision: 7}
	if err := api.Submit(t.Context(), newWorkflow(), table); err != nil {
		t.Errorf("job stored: got error %v, want none", err)
	}
}

func TestCancelOfMissingJobIsNotFound(t *testing.T) {
	s := &scriptedStore{}
	api := newJobAPI(s, &testClock{now: time.Second})
	if got, want := heatherhub.CodeOf(api.Cancel(t.Context(), "ffffffffffffffff")), heatherhub.CodeNotFound; got != want {
		t.Errorf("got code %q, want %q", got, want)
	}
}

var (
	north = heatherhub.ShardID{Domain: "north"}
	south = heatherhub.ShardID{Domain: "south"}
)

// loadStore is a store with load records only.
type loadStore struct {
	ledger.Store
	loads map[heatherhub.ShardID]record.Load
}

func (h *loadStore) RangeStale(context.Context, string) (ledger.Snapshot, error) {
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

// newTwoShardSelector returns a selector for two shards of equal size that has read the given loads,
// with evacuated domains.
func newTwoShardSelector(t *testing.T, loads map[heatherhub.ShardID]record.Load, domains ...heatherhub.FailureDomain) *intake.ShardSelector {
	var evacuated evacuation.Current
	var requests []evacuation.Request
	for _, d := range domains {
		requests = append(requests, evacuation.Request{Domain: d})
	}
	evacuated.Replace(requests)
	view := &owner.View{
		Layout: record.Layout{Shards: []record.ShardSize{{Shard: north, CPU: 10_000}, {Shard: south, CPU: 10_000}}},
		Owners: map[heatherhub.ShardID]record.Owner{north: {Host: "a"}, south: {Host: "b"}},
	}
	s := intake.NewShardSelector(intake.ShardSelectorConfig{
		Store: &loadStore{loads: loads}, View: func() *owner.View { return view }, Random: func() float64 { return 0 }, Evacuated: &evacuated, Log: zap.NewNop(),
	})
	if err := s.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestChooseReturnsShardOfLowestCost(t *testing.T) {
	load := func(reserved, filler heatherhub.MilliCPU, backlog time.Duration, racks ...heatherhub.Rack) record.Load {
		return record.Load{Capacity: 10_000, Reserved: reserved, FillerDemand: filler, Backlog: backlog, Racks: racks}
	}
	batch := heatherhub.Step{Tasks: 2, Need: heatherhub.Resources{CPU: 1000}, Estimate: time.Second}
	nearData := batch
	nearData.DataRack = "r2"
	shortNearData := nearData
	shortNearData.Estimate = 100 * time.Millisecond
	longRunning := batch
	longRunning.LongRunning = true
	cases := map[string]struct {
		north, south record.Load
		step         heatherhub.Step
		want         heatherhub.ShardID
	}{
		"shorter backlog":                 {load(5000, 0, 9*time.Second), load(8000, 0, 0), batch, south},
		"less reserved":                   {load(5000, 0, 0), load(8000, 0, 0), batch, north},
		"has the rack of the data":        {load(5000, 0, 0, "r1"), load(8000, 0, 0, "r2"), nearData, south},
		"rack of the data is overloaded":  {load(5000, 0, 0, "r1"), load(8000, 0, 30*time.Second, "r2"), nearData, north},
		"wait shorter than the loss":      {load(0, 0, 0, "r1"), load(9000, 0, 9*time.Second, "r2"), nearData, south},
		"wait longer than the loss":       {load(0, 0, 0, "r1"), load(9000, 0, 9*time.Second, "r2"), shortNearData, north},
		"long-running job, less reserved": {load(8000, 0, 0), load(5000, 5000, 9*time.Second), longRunning, south},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTwoShardSelector(t, map[heatherhub.ShardID]record.Load{north: c.north, south: c.south})
			got, err := s.Choose(&heatherhub.Workflow{ID: "j", Steps: []heatherhub.Step{c.step}})
			if err != nil || got != c.want {
				t.Errorf("got shard %s, error %v, want %s", got, err, c.want)
			}
		})
	}
}

// TestShardWithoutWorkersForAStepIsNotChosen guards against jobs that are given to a shard of which no worker can ever
// run one of their steps, however idle it is: they would wait for good.
func TestShardWithoutWorkersForAStepIsNotChosen(t *testing.T) {
	kind := func(accelerators heatherhub.Accelerators, inRacks []int, labels ...string) dispatch.WorkerKind {
		n := 0
		for _, k := range inRacks {
			n += k
		}
		return dispatch.WorkerKind{Pool: "p", Labels: labels, Capacity: heatherhub.Resources{CPU: 10_000, Memory: 10_000, Accelerators: accelerators}, Workers: n, InRacks: inRacks}
	}
	idle := record.Load{Capacity: 40_000, Racks: []heatherhub.Rack{"r1", "r2"}, Kinds: []dispatch.WorkerKind{kind(0, []int{2, 2}, "small")}}
	busy := record.Load{
		Capacity: 40_000, Reserved: 39_000, Racks: []heatherhub.Rack{"r3", "r4"},
		Kinds: []dispatch.WorkerKind{kind(0, []int{1, 4}, "small"), kind(4, []int{1, 0}, "large")},
	}
	unknown := busy
	unknown.Kinds = nil
	for name, c := range map[string]struct {
		change func(*heatherhub.Step)
		want   heatherhub.ShardID
		// wantUnlisted is the choice if the workers of the busy shard are not known.
		wantUnlisted heatherhub.ShardID
	}{
		"any worker":           {func(*heatherhub.Step) {}, north, north},
		"label":                {func(s *heatherhub.Step) { s.RequiredLabel = "large" }, south, south},
		"rack":                 {func(s *heatherhub.Step) { s.RequiredLabel = "r4" }, south, south},
		"accelerators":         {func(s *heatherhub.Step) { s.Need.Accelerators = 2 }, south, south},
		"gang":                 {func(s *heatherhub.Step) { s.Gang, s.Tasks, s.MaxPerWorker = true, 5, 1 }, south, south},
		"gang in a rack":       {func(s *heatherhub.Step) { s.Gang, s.Tasks, s.Need.CPU, s.RequiredLabel = true, 4, 10_000, "r4" }, south, south},
		"gang that fits":       {func(s *heatherhub.Step) { s.Gang, s.Tasks, s.MaxPerWorker = true, 4, 1 }, north, north},
		"gang of fillers":      {func(s *heatherhub.Step) { s.Gang, s.Filler, s.Tasks, s.Need.CPU = true, true, 8, 9000 }, north, north},
		"no worker has enough": {func(s *heatherhub.Step) { s.Need.CPU = 20_000 }, north, south},
	} {
		t.Run(name, func(t *testing.T) {
			step := heatherhub.Step{Tasks: 1, Need: heatherhub.Resources{CPU: 1000, Memory: 10}, Estimate: time.Second}
			c.change(&step)
			flow := &heatherhub.Workflow{ID: "j", Policy: heatherhub.QueuePolicy{Pool: "p"}, Steps: []heatherhub.Step{{Tasks: 1, Estimate: time.Second}, step}}
			got, err := newTwoShardSelector(t, map[heatherhub.ShardID]record.Load{north: idle, south: busy}).Choose(flow)
			if err != nil || got != c.want {
				t.Errorf("got shard %s, error %v, want %s", got, err, c.want)
			}
			if got, _ := newTwoShardSelector(t, map[heatherhub.ShardID]record.Load{north: idle, south: unknown}).Choose(flow); got != c.wantUnlisted {
				t.Errorf("got shard %s, want %s if the workers of %s are not known", got, c.wantUnlisted, south)
			}
		})
	}
}

// TestBurstIsSpread guards against sending every job of a burst to the shard that was the
// least loaded when the loads were last read.
func TestBurstIsSpread(t *testing.T) {
	s := newTwoShardSelector(t, map[heatherhub.ShardID]record.Load{north: {Capacity: 10_000}, south: {Capacity: 10_000, Reserved: 100}})
	for _, isLongRunning := range []bool{false, true} {
		counts := make(map[heatherhub.ShardID]int)
		for range 10 {
			id, err := s.Choose(&heatherhub.Workflow{ID: "j", Steps: []heatherhub.Step{{
				Tasks: 2, Need: heatherhub.Resources{CPU: 500}, Estimate: time.Second, LongRunning: isLongRunning,
			}}})
			if err != nil {
				t.Fatal(err)
			}
			counts[id]++
		}
		if counts[north] < 4 || counts[south] < 4 {
			t.Errorf("long-running %v: got %v jobs by shard, want them spread", isLongRunning, counts)
		}
	}
}

// movingStore changes the record of a job between the read and the write of a cancel, as
// often as moves says. It records the keys that are written.
type movingStore struct {
	ledger.Store
	revision ledger.Revision
	moves    int
	puts     []string
}

func (m *movingStore) Get(_ context.Context, key string) (ledger.Item, error) {
	return ledger.Item{Key: key, Revision: m.revision}, nil
}

func (m *movingStore) Commit(_ context.Context, txn ledger.Txn) (ledger.Revision, error) {
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

// TestCancelOutlastsMoves checks that a cancel is retried while its job moves between shards,
// and that it returns an error that proves that nothing was written once it gives up.
func TestCancelOutlastsMoves(t *testing.T) {
	for moves, want := range map[int]int{0: 1, 2: 1, 100: 0} {
		m := &movingStore{revision: 5, moves: moves}
		api := intake.New(intake.Config{Store: m, Clock: &testClock{}, Log: zap.NewNop()})
		err := api.Cancel(context.Background(), "j")
		if len(m.puts) != want || (want == 1) != (err == nil) {
			t.Errorf("%d moves: got cancels %v, error %v, want %d", moves, m.puts, err, want)
		}
		if err != nil && !heatherhub.DidNotRun(err) {
			t.Errorf("%d moves: got error %v, want one that proves that nothing was done", moves, err)
		}
	}
}

// TestEvacuatedShardIsNotChosen guards against jobs that go to a shard without a usable worker: its
// load looks empty, and a load from before the evacuation looks free.
func TestEvacuatedShardIsNotChosen(t *testing.T) {
	pools := []heatherhub.PoolID{"p"}
	free, full := record.Load{Capacity: 10_000}, record.Load{Capacity: 10_000, Reserved: 9_000, Backlog: time.Minute}
	for name, c := range map[string]struct {
		north, south record.Load
		evacuated    []heatherhub.FailureDomain
		want         heatherhub.ShardID
	}{
		"load from before the evacuation":   {free, full, []heatherhub.FailureDomain{north.Domain}, south},
		"no worker left":                    {record.Load{EvacuatedPools: pools}, full, []heatherhub.FailureDomain{"rack-domain"}, south},
		"load from before the return":       {record.Load{EvacuatedPools: pools}, full, nil, north},
		"all evacuated, the less busy one":  {free, full, []heatherhub.FailureDomain{north.Domain, south.Domain}, north},
		"evacuation of an unrelated domain": {free, full, []heatherhub.FailureDomain{"elsewhere"}, north},
	} {
		s := newTwoShardSelector(t, map[heatherhub.ShardID]record.Load{north: c.north, south: c.south}, c.evacuated...)
		if got, err := s.Choose(&heatherhub.Workflow{ID: "j", Steps: []heatherhub.Step{{Tasks: 1}}}); err != nil || got != c.want {
			t.Errorf("%s: got shard %s, error %v, want %s", name, got, err, c.want)
		}
	}
}

// TestJobsOfEvacuatedPoolAreRefused guards against jobs that are accepted and cannot start, against
// refusals while a worker is left, and against a refusal of a job that was accepted before.
func TestJobsOfEvacuatedPoolAreRefused(t *testing.T) {
	pools := []heatherhub.PoolID{"p"}
	gone, other := record.Load{EvacuatedPools: pools}, record.Load{Capacity: 1000, PoolsInService: []heatherhub.PoolID{"other"}}
	for name, c := range map[string]struct {
		north, south record.Load
		evacuated    heatherhub.FailureDomain
		isRecorded   bool
		want         heatherhub.Code
	}{
		"all evacuated":                      {gone, other, "x", false, heatherhub.CodeUnavailable},
		"all evacuated, accepted before":     {gone, other, "x", true, ""},
		"a worker left in the other shard":   {gone, record.Load{Capacity: 1000, PoolsInService: pools}, "x", false, ""},
		"a worker free in an old load":       {gone, record.Load{Capacity: 1000, LargestFree: map[heatherhub.PoolID][]record.Room{"p": nil}}, "x", false, ""},
		"returned to service, old load":      {gone, other, "", false, ""},
		"pool that no load has":              {other, other, "x", false, ""},
		"evacuated, and all of the same one": {gone, gone, "x", false, heatherhub.CodeUnavailable},
	} {
		var evacuated []heatherhub.FailureDomain
		if c.evacuated != "" {
			evacuated = append(evacuated, c.evacuated)
		}
		flow := newWorkflow()
		s := &scriptedStore{items: map[string]ledger.Item{tableKey: {Key: tableKey, Revision: 5}}}
		if c.isRecorded {
			s.items[record.JobKey(flow.ID)] = ledger.Item{Key: record.JobKey(flow.ID), Revision: 7}
		}
		api := intake.New(intake.Config{
			Store: s, TableKey: tableKey, Clock: &testClock{now: time.Second}, Log: zap.NewNop(),
			Shards: newTwoShardSelector(t, map[heatherhub.ShardID]record.Load{north: c.north, south: c.south}, evacuated...),
		})
		err := api.Submit(t.Context(), flow, &queues.Table{Version: 1, Revision: 5, Queues: []queues.Queue{{ID: "q", QueuePolicy: heatherhub.QueuePolicy{Pool: "p"}}}})
		if (c.want == "") != (err == nil) || (err != nil && heatherhub.CodeOf(err) != c.want) {
			t.Errorf("%s: got error %v, want code %q", name, err, c.want)
		}
		if it := s.items[record.JobKey(flow.ID)]; err != nil && (it.Revision > 0 || heatherhub.RetryAfter(err) <= 0) {
			t.Errorf("%s: got the job at revision %d and retry after %s, want no job and a delay", name, it.Revision, heatherhub.RetryAfter(err))
		}
	}
}

// TestPoolRefusalIsTrue guards against a 503 because of an evacuation for a job whose first write got
// no answer and may still take effect.
func TestPoolRefusalIsTrue(t *testing.T) {
	loads := map[heatherhub.ShardID]record.Load{north: {Capacity: 1000}, south: {Capacity: 1000}}
	shards := newTwoShardSelector(t, loads, "x")
	flow, clock := newWorkflow(), &testClock{now: time.Minute}
	s := &scriptedStore{items: map[string]ledger.Item{tableKey: {Key: tableKey, Revision: 5}}}
	api := intake.New(intake.Config{Store: s, TableKey: tableKey, Clock: clock, Log: zap.NewNop(), Shards: shards})
	pooled := &queues.Table{Version: 1, Revision: 5, Queues: []queues.Queue{{ID: "q", QueuePolicy: heatherhub.QueuePolicy{Pool: "p"}}}}
	s.commits = append(s.commits, noReply, noReply)
	if err := api.Submit(t.Context(), flow, pooled); !heatherhub.IsUnknown(err) {
		t.Fatalf("got error %v, want an unknown outcome", err)
	}
	for id := range loads {
		loads[id] = record.Load{EvacuatedPools: []heatherhub.PoolID{"p"}}
	}
	if err := shards.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	clock.now += time.Second
	if err := api.Submit(t.Context(), flow, pooled); err != nil {
		t.Errorf("got error %v, want the retry written", err)
	}
	if err := api.Submit(t.Context(), &heatherhub.Workflow{ID: "other", Queue: "q", Steps: flow.Steps}, pooled); !heatherhub.DidNotRun(err) {
		t.Errorf("got error %v for another job, want a refusal", err)
	}
}
