package intake_test

import (
	"context"
	"maps"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/owner"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/request/intake"
)

// publishedLoads is a store with load records only. Put replaces one.
type publishedLoads struct {
	ledger.Store
	revision ledger.Revision
	items    map[heatherhub.ShardID]ledger.Item
}

func (p *publishedLoads) put(t *testing.T, id heatherhub.ShardID, l record.Load) {
	value, err := record.Encode(l)
	if err != nil {
		t.Fatal(err)
	}
	p.putValue(id, value)
}

func (p *publishedLoads) putValue(id heatherhub.ShardID, value []byte) {
	p.revision++
	p.items[id] = ledger.Item{Key: record.LoadKey(id), Value: value, Revision: p.revision}
}

func (p *publishedLoads) Range(context.Context, string) (ledger.Snapshot, error) {
	snap := ledger.Snapshot{Revision: p.revision}
	for it := range maps.Values(p.items) {
		snap.Items = append(snap.Items, it)
	}
	return snap, nil
}

// countedSite has two shards, the loads that they published and a host that adds them up.
type countedSite struct {
	t       *testing.T
	loads   *publishedLoads
	clock   *testClock
	counter *intake.QueueCounter
}

func newCountedSite(t *testing.T, shards ...heatherhub.ShardID) *countedSite {
	site := &countedSite{t: t, loads: &publishedLoads{items: make(map[heatherhub.ShardID]ledger.Item)}, clock: &testClock{now: time.Minute}}
	view := &owner.View{}
	for _, id := range shards {
		view.Layout.Shards = append(view.Layout.Shards, record.ShardSize{Shard: id, CPU: 10_000})
	}
	site.counter = intake.NewQueueCounter(intake.QueueCounterConfig{
		Store: site.loads, View: func() *owner.View { return view }, Clock: site.clock, Log: zap.NewNop(),
	})
	return site
}

// publish publishes a load taken now.
func (site *countedSite) publish(id heatherhub.ShardID, l record.Load) {
	l.At = site.clock.Now().Wall
	site.loads.put(site.t, id, l)
}

// want expects the length of the queue.
func (site *countedSite) want(want int) {
	site.t.Helper()
	if got, err := site.counter.Count(context.Background(), "q"); err != nil || got != want {
		site.t.Errorf("got length %d, error %v, want %d", got, err, want)
	}
}

// wantUnavailable expects an error that says that nothing was done and when to try again.
func (site *countedSite) wantUnavailable(name string) {
	site.t.Helper()
	got, err := site.counter.Count(context.Background(), "q")
	if heatherhub.CodeOf(err) != heatherhub.CodeUnavailable || heatherhub.RetryAfter(err) == 0 {
		site.t.Errorf("%s: got length %d, error %v, want unavailable with a retry delay", name, got, err)
	}
}

func waiting(n int) record.Load {
	return record.Load{Waiting: map[heatherhub.QueueID]int{"q": n, "other": 9}}
}

// TestQueueLengthWithoutAShardIsRefused guards against a sum in which a shard without a load
// counts as empty.
func TestQueueLengthWithoutAShardIsRefused(t *testing.T) {
	site := newCountedSite(t, north, south)
	site.publish(north, waiting(2))
	site.wantUnavailable("no load of south")
	site.publish(south, waiting(3))
	site.want(5)
	newCountedSite(t).wantUnavailable("no layout")
}

// TestQueueLengthOfAnOldPartIsRefused guards against a sum with the last load of an owner that
// no longer publishes.
func TestQueueLengthOfAnOldPartIsRefused(t *testing.T) {
	site := newCountedSite(t, north, south)
	for range 5 {
		site.publish(north, waiting(2))
		site.publish(south, waiting(3))
		site.want(5)
		site.clock.now += time.Second
	}
	site.publish(north, waiting(2))
	site.want(5)
	site.clock.now += 1100 * time.Millisecond
	site.publish(north, waiting(2))
	site.wantUnavailable("south published 2.1 s ago")
	site.publish(south, waiting(4))
	site.want(6)
}

// TestQueueLengthRightAfterAStartUsesNoOldPart guards against a host that trusts the loads which
// it finds when it starts, however old they are.
func TestQueueLengthRightAfterAStartUsesNoOldPart(t *testing.T) {
	site := newCountedSite(t, north)
	site.publish(north, waiting(2))
	site.clock.now += 3 * time.Second
	site.wantUnavailable("a load of before the start")
}

// TestQueueLengthSurvivesAClockStep checks that a step of a wall clock refuses no length while
// the host sees the load being replaced, and that it makes no old load look recent.
func TestQueueLengthSurvivesAClockStep(t *testing.T) {
	for _, step := range []time.Duration{-10 * time.Second, 10 * time.Second} {
		site := newCountedSite(t, north)
		for range 3 {
			l := waiting(2)
			l.At = site.clock.Now().Wall.Add(step)
			site.loads.put(t, north, l)
			site.clock.now += 100 * time.Millisecond
			if _, err := site.counter.Count(context.Background(), "q"); err != nil && site.clock.now > time.Minute+100*time.Millisecond {
				t.Errorf("owner's clock off by %s: got error %v, want none", step, err)
			}
		}
		site.clock.now += 2100 * time.Millisecond
		site.wantUnavailable("a load that was not replaced for 2.1 s")
	}
}

// TestQueueLengthOfADeafOwnerIsRefused guards against the part of an owner that publishes but no
// longer learns of new jobs.
func TestQueueLengthOfADeafOwnerIsRefused(t *testing.T) {
	site := newCountedSite(t, north)
	l := waiting(2)
	l.JobsReadAge = 1600 * time.Millisecond
	site.publish(north, l)
	site.want(2)
	l.JobsReadAge = 2500 * time.Millisecond
	site.publish(north, l)
	site.wantUnavailable("no answer on the jobs for 2.5 s")
}

// TestUnreadableLoadIsNotTakenAsEmpty guards against a sum that leaves out a shard whose record
// cannot be decoded.
func TestUnreadableLoadIsNotTakenAsEmpty(t *testing.T) {
	site := newCountedSite(t, north, south)
	site.publish(north, waiting(2))
	site.loads.putValue(south, []byte{0xc1})
	site.wantUnavailable("unreadable load")
}

// TestMovedJobIsCountedOnce guards against jobs that neither the old nor the new shard counts.
func TestMovedJobIsCountedOnce(t *testing.T) {
	site := newCountedSite(t, north, south)
	left := waiting(1)
	left.MovedJobs = []dispatch.MovedJobs{
		{Queue: "q", To: south, Revisions: []ledger.Revision{70, 80}},
		{Queue: "other", To: south, Revisions: []ledger.Revision{75}},
	}
	site.publish(north, left)
	for readUpTo, want := range map[ledger.Revision]int{60: 1 + 2, 70: 1 + 1, 80: 1, 90: 1} {
		l := waiting(0)
		l.JobsRead = readUpTo
		site.publish(south, l)
		site.want(want)
	}
}

// TestLoadWrittenLateIsNotTakenAsRecent guards against an age that counts from the write of a
// load, which may follow seconds after the load was taken.
func TestLoadWrittenLateIsNotTakenAsRecent(t *testing.T) {
	site := newCountedSite(t, north)
	site.publish(north, waiting(7))
	site.want(7)
	site.clock.now += 1900 * time.Millisecond
	site.want(7)
	l := waiting(0)
	l.At = site.clock.Now().Wall
	site.clock.now += 1400 * time.Millisecond
	site.wantUnavailable("the earlier load")
	site.loads.put(t, north, l)
	site.want(0)
	site.clock.now += 700 * time.Millisecond
	site.wantUnavailable("taken 2.1 s ago, written 0.7 s ago")
}

// TestDeadOwnerWithAFastClockIsNoticed guards against a load that looks recent since the clock
// of its owner, which is gone, was ahead.
func TestDeadOwnerWithAFastClockIsNoticed(t *testing.T) {
	site := newCountedSite(t, north)
	l := waiting(2)
	l.At = site.clock.Now().Wall.Add(10 * time.Second)
	site.loads.put(t, north, l)
	for range 4 {
		loads, err := owner.ReadLoads(context.Background(), site.loads.Range, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		site.counter.Observe(loads)
		site.clock.now += time.Second
	}
	site.wantUnavailable("a load that was not replaced for 4 s")
}
