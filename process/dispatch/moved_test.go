package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
)

// moveWaiting moves a job that waits in a full shard to otherShard at revision 7 and returns its
// new record.
func moveWaiting(t *testing.T, b *simulation) *heatherhub.Workflow {
	t.Helper()
	b.add("short", tasks(2, 1000, time.Second))
	b.advance(2 * time.Second)
	moves := b.e.MovableWork(b.now)
	at := slices.IndexFunc(moves, func(m dispatch.Move) bool { return m.Job == "short" })
	if at < 0 {
		t.Fatalf("got moves %+v, want one of the whole job", moves)
	}
	flow, _, ok := b.e.PrepareMove(moves[at], otherShard)
	if !ok {
		t.Fatal("got no move of the waiting job")
	}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: flow, RecordRevision: 7})
	return flow
}

// TestMovedJobStaysListed guards against waiting jobs that are in no shard's count after a move.
func TestMovedJobStaysListed(t *testing.T) {
	b := newFullWorker(t)
	moveWaiting(t, b)
	if got := b.e.QueuedJobs()[queue]; got != 0 {
		t.Errorf("got %d queued jobs after the move, want none", got)
	}
	listed := b.e.MovedJobs(b.now)
	if len(listed) != 1 || listed[0].Queue != queue || listed[0].To != otherShard {
		t.Fatalf("got moved jobs %+v, want one of the queue in the other shard", listed)
	}
	for readUpTo, want := range map[ledger.Revision]int{6: 1, 7: 0, 8: 0} {
		if got := listed[0].Unread(readUpTo); got != want {
			t.Errorf("got %d jobs unread by an owner at revision %d, want %d", got, readUpTo, want)
		}
	}
	next := newFullWorker(t)
	next.e.RestoreMovedJobs(next.now, listed)
	if got := next.e.MovedJobs(next.now); len(got) != 1 || !slices.Equal(got[0].Revisions, listed[0].Revisions) {
		t.Errorf("got moved jobs %+v of the next owner, want %+v", got, listed)
	}
	b.advance(5500 * time.Millisecond)
	if got := b.e.MovedJobs(b.now); len(got) != 1 {
		t.Errorf("got moved jobs %+v after 5.5 s, want one", got)
	}
	b.advance(5 * time.Second)
	if got := b.e.MovedJobs(b.now); len(got) != 0 {
		t.Errorf("got moved jobs %+v after 10.5 s, want none", got)
	}
}

// TestJobThatMovesBackIsCountedOnce guards against a job that is listed as moved and queued.
func TestJobThatMovesBackIsCountedOnce(t *testing.T) {
	b := newFullWorker(t)
	back := *moveWaiting(t, b)
	back.Shard = heatherhub.ShardID{}
	b.e.AddJob(b.now, dispatch.JobRecord{Workflow: &back, RecordRevision: 9})
	if got, moved := b.e.QueuedJobs()[queue], b.e.MovedJobs(b.now); got != 1 || len(moved) != 0 {
		t.Errorf("got %d queued jobs, moved %+v, want one and none", got, moved)
	}
}
