package intake_test

import (
	"context"
	"maps"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/request/intake"
)

// lateStore is a store that several hosts share. While holdsWrites is set, commits get no answer, and
// take effect in releaseWrites if their preconditions still hold.
type lateStore struct {
	ledger.Store
	revision    ledger.Revision
	items       map[string]ledger.Item
	leases      map[ledger.LeaseID]bool
	holdsWrites bool
	held        []ledger.Txn
	// beforeCommit, if set, is called once, before the next commit.
	beforeCommit func()
}

func newLateStore() *lateStore {
	return &lateStore{revision: 5, items: map[string]ledger.Item{tableKey: {Key: tableKey, Revision: 5}}, leases: make(map[ledger.LeaseID]bool)}
}

func (s *lateStore) Get(_ context.Context, key string) (ledger.Item, error) {
	return s.items[key], nil
}

func (s *lateStore) GrantLease(_ context.Context, ttl time.Duration) (ledger.LeaseID, time.Duration, error) {
	id := ledger.LeaseID(len(s.leases) + 1)
	s.leases[id] = true
	return id, ttl, nil
}

// endLeases ends all leases and deletes the keys attached to them.
func (s *lateStore) endLeases() {
	clear(s.leases)
	s.leases[0] = true
	maps.DeleteFunc(s.items, func(_ string, it ledger.Item) bool { return it.Lease > 0 })
}

func (s *lateStore) Commit(_ context.Context, txn ledger.Txn) (ledger.Revision, error) {
	if f := s.beforeCommit; f != nil {
		s.beforeCommit = nil
		f()
	}
	if s.holdsWrites {
		s.held = append(s.held, txn)
		return 0, heatherhub.ErrUnknown.New("no reply")
	}
	return s.apply(txn)
}

func (s *lateStore) apply(txn ledger.Txn) (ledger.Revision, error) {
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
		if p.Lease > 0 && !s.leases[p.Lease] {
			return 0, heatherhub.ErrNotFound.New("lease %d has ended", p.Lease)
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.items[p.Key] = ledger.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Lease: p.Lease}
	}
	return s.revision, nil
}

// releaseWrites carries out the held commits.
func (s *lateStore) releaseWrites() {
	s.holdsWrites = false
	for _, txn := range s.held {
		_, _ = s.apply(txn)
	}
	s.held = nil
}

// startsTasks reports whether the owner of the job's shard would start its tasks.
func (s *lateStore) startsTasks(id heatherhub.JobID) bool {
	return s.items[record.JobKey(id)].Revision > 0 && s.items[record.CancelKey(id)].Revision == 0
}

// TestWithdrawnJobStaysWithdrawn guards against a job that starts after its cancel was answered with "no
// such job", since a submission whose answer was lost takes effect later, or a retry of it arrives.
func TestWithdrawnJobStaysWithdrawn(t *testing.T) {
	flow := newWorkflow()
	for name, isOtherHost := range map[string]bool{"cancelled at the same host": false, "cancelled at another host": true} {
		t.Run(name, func(t *testing.T) {
			s, clock := newLateStore(), &testClock{now: time.Minute}
			first := newHostAPI(s, clock, nil)
			second := first
			if isOtherHost {
				second = newHostAPI(s, clock, nil)
			}
			s.holdsWrites = true
			if err := first.Submit(t.Context(), newWorkflow(), table); !heatherhub.IsUnknown(err) {
				t.Fatalf("got error %v, want an unknown outcome", err)
			}
			held := s.held
			s.held, s.holdsWrites = nil, false
			for range 2 {
				if err := second.Cancel(t.Context(), flow.ID); heatherhub.CodeOf(err) != heatherhub.CodeNotFound {
					t.Fatalf("got error %v, want no such job", err)
				}
			}
			s.held = held
			s.releaseWrites()
			if s.startsTasks(flow.ID) {
				t.Error("got the job's tasks started by the late write, want none after the cancel")
			}
			for name, api := range map[string]*intake.JobAPI{"first": first, "second": second} {
				clock.now += time.Second
				if err := api.Submit(t.Context(), newWorkflow(), table); err != nil {
					t.Errorf("%s host: got error %v for a retry of the submission, want it accepted as a cancelled job", name, err)
				}
			}
			s.endLeases()
			if s.items[record.JobKey(flow.ID)].Revision == 0 || s.startsTasks(flow.ID) {
				t.Error("got no cancelled job after a retry of the submission")
			}
		})
	}
}

// TestRefusedJobStaysRefused guards against a job that runs after a host has refused it, since a
// submission at another host, whose answer was lost, takes effect later. The caller may submit it again.
func TestRefusedJobStaysRefused(t *testing.T) {
	clock := &testClock{now: time.Minute}
	full := waitingLoad(clock, time.Minute, 0)
	admission := newAdmission(clock, map[heatherhub.ShardID]record.Load{north: full, south: full})
	s := newLateStore()
	first, busy := newHostAPI(s, clock, nil), newHostAPI(s, clock, admission)
	for round := range 2 {
		s.holdsWrites = true
		if err := first.Submit(t.Context(), newBatch("j"), table); !heatherhub.IsUnknown(err) {
			t.Fatalf("got error %v, want an unknown outcome", err)
		}
		held := s.held
		s.held, s.holdsWrites = nil, false
		if err := busy.Submit(t.Context(), newBatch("j"), table); !heatherhub.DidNotRun(err) {
			t.Fatalf("got error %v, want a refusal", err)
		}
		s.held = held
		s.releaseWrites()
		if s.startsTasks("j") {
			t.Fatalf("round %d: got the refused job accepted by the late write", round)
		}
		clock.now += time.Second
	}
	var held []ledger.Txn
	s.beforeCommit = func() {
		s.holdsWrites = true
		s.beforeCommit = func() {
			held, s.held, s.holdsWrites = s.held, nil, false
			_ = busy.Submit(t.Context(), newBatch("j"), table)
		}
	}
	err := first.Submit(t.Context(), newBatch("j"), table)
	s.held = held
	s.releaseWrites()
	if !heatherhub.DidNotRun(err) || s.startsTasks("j") {
		t.Errorf("got error %v, tasks started %v for a job that is refused elsewhere during a second attempt, want a refusal", err, s.startsTasks("j"))
	}
	clock.now += time.Second
	if err := first.Submit(t.Context(), newBatch("j"), table); err != nil || !s.startsTasks("j") {
		t.Errorf("got error %v for a submission after the refusals, want it accepted", err)
	}
	if err := busy.Submit(t.Context(), newBatch("j"), table); err != nil {
		t.Errorf("got error %v for the accepted job at the busy host, want it reported as accepted", err)
	}
}

// TestRefusalDoesNotUndoCancel guards against a refused submission that takes the cancel of its job
// away, so that the next one would start its tasks.
func TestRefusalDoesNotUndoCancel(t *testing.T) {
	clock := &testClock{now: time.Minute}
	full := waitingLoad(clock, time.Minute, 0)
	s := newLateStore()
	free := newHostAPI(s, clock, nil)
	busy := newHostAPI(s, clock, newAdmission(clock, map[heatherhub.ShardID]record.Load{north: full, south: full}))
	if err := free.Cancel(t.Context(), "j"); heatherhub.CodeOf(err) != heatherhub.CodeNotFound {
		t.Fatalf("got error %v, want no such job", err)
	}
	if err := busy.Submit(t.Context(), newBatch("j"), table); !heatherhub.DidNotRun(err) {
		t.Errorf("got error %v, want a refusal", err)
	}
	if err := free.Submit(t.Context(), newBatch("j"), table); err != nil || s.startsTasks("j") {
		t.Errorf("got error %v, tasks started %v, want the job accepted as a cancelled one", err, s.startsTasks("j"))
	}
}

// TestFenceOutlivesAllLeases guards against a job that starts after a host has said that it never does,
// since the store then takes the keys of all hosts away and carries out a submission whose answer was lost.
func TestFenceOutlivesAllLeases(t *testing.T) {
	clock := &testClock{now: time.Minute}
	full := waitingLoad(clock, time.Minute, 0)
	s := newLateStore()
	first := newHostAPI(s, clock, nil)
	second := newHostAPI(s, clock, newAdmission(clock, map[heatherhub.ShardID]record.Load{north: full, south: full}))
	answers := map[heatherhub.JobID]func(heatherhub.JobID) bool{
		"withdrawn": func(id heatherhub.JobID) bool {
			return heatherhub.CodeOf(second.Cancel(t.Context(), id)) == heatherhub.CodeNotFound
		},
		"refused": func(id heatherhub.JobID) bool {
			return heatherhub.DidNotRun(second.Submit(t.Context(), newBatch(string(id)), table))
		},
	}
	for id, neverRuns := range answers {
		s.holdsWrites = true
		if err := first.Submit(t.Context(), newBatch(string(id)), table); !heatherhub.IsUnknown(err) {
			t.Fatalf("job %s: got error %v, want an unknown outcome", id, err)
		}
		held := s.held
		s.held, s.holdsWrites = nil, false
		// The second answer comes once the leases behind the first one have ended.
		for range 2 {
			if !neverRuns(id) {
				t.Fatalf("got job %s not answered with %q", id, id)
			}
			s.endLeases()
			if s.items[record.FenceKey(id)].Revision == 0 {
				t.Errorf("job %s: got no fence once all leases have ended", id)
			}
		}
		s.held = held
		s.releaseWrites()
		if s.startsTasks(id) {
			t.Errorf("got the %s job's tasks started by the late write", id)
		}
		clock.now += time.Second
	}
}

// TestOpenSubmissionIsNotReportedAsMissing guards against "no such job" for a job whose submission at the
// same host got no answer and takes effect later: its caller would submit the work under another id.
func TestOpenSubmissionIsNotReportedAsMissing(t *testing.T) {
	for name, isCancelled := range map[string]bool{"not cancelled": false, "cancelled": true} {
		s, clock := newLateStore(), &testClock{now: time.Minute}
		api, id := newHostAPI(s, clock, nil), newWorkflow().ID
		s.holdsWrites = true
		if err := api.Submit(t.Context(), newWorkflow(), table); !heatherhub.IsUnknown(err) {
			t.Fatalf("got error %v, want an unknown outcome", err)
		}
		clock.now += 6 * time.Second
		if state, err := api.State(t.Context(), id); heatherhub.CodeOf(err) != heatherhub.CodeUnavailable || heatherhub.RetryAfter(err) == 0 {
			t.Errorf("%s: got state %q, error %v while the write is open, want a later retry", name, state, err)
		}
		if !isCancelled {
			s.releaseWrites()
			if state, err := api.State(t.Context(), id); err != nil || state != heatherhub.WorkflowQueued {
				t.Errorf("got state %q, error %v after the late write, want %q", state, err, heatherhub.WorkflowQueued)
			}
			continue
		}
		s.holdsWrites = false
		if err := api.Cancel(t.Context(), id); heatherhub.CodeOf(err) != heatherhub.CodeNotFound {
			t.Errorf("got error %v, want no such job", err)
		}
		if _, err := api.State(t.Context(), id); heatherhub.CodeOf(err) != heatherhub.CodeNotFound {
			t.Errorf("got error %v after the cancel, want no such job", err)
		}
	}
}
