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
	for _, r := range txn.Require {
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
	shards := intake.NewShards(intake.ShardsConfig{Store: s, View: func() *owner.View { return view }, Log: zap.NewNop()})
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
