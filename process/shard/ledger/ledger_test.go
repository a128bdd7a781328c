package ledger_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/process/shard/ledger"
)

const prefix = "shard/gent/0/log/"

// harness makes the calls of ledgers to an in-memory store, on a fake clock.
type harness struct {
	clock *clockwork.FakeClock
	store *memory.Store
}

func newHarness() *harness {
	clock := clockwork.NewFakeClock()
	return &harness{clock: clock, store: memory.New(memory.Config{Clock: clock})}
}

// open returns a ledger that has read and sealed the log with the given epoch.
func (h *harness) open(e heatherhub.Epoch, segment int) *ledger.Ledger {
	l := ledger.New(ledger.Config{Prefix: prefix, Epoch: e, SegmentBytes: segment, Retention: time.Hour})
	for range 1000 {
		if l.IsOpen() {
			return l
		}
		h.step(l)
	}
	return l
}

// step advances the clock, makes the next call, if one is due, and returns its outcome.
func (h *harness) step(l *ledger.Ledger) ledger.Outcome {
	h.clock.Advance(100 * time.Millisecond)
	op, ok := l.Next(h.clock.Now())
	if !ok {
		return ledger.Outcome{}
	}
	return l.Answer(h.clock.Now(), h.do(op))
}

func (h *harness) do(op ledger.Op) ledger.Result {
	r := ledger.Result{Op: op}
	ctx := context.Background()
	switch op.Kind {
	case ledger.OpList:
		r.Entries, r.Err = h.store.List(ctx, op.Key)
	case ledger.OpGet:
		var e store.Entry
		e, r.Err = h.store.Get(ctx, op.Key)
		r.Entries = []store.Entry{e}
	case ledger.OpWrite:
		r.Revision, r.Err = h.store.CompareAndSwap(ctx, op.Write)
	}
	return r
}

// drain steps until every record is durable.
func (h *harness) drain(t *testing.T, l *ledger.Ledger) {
	t.Helper()
	for range 1000 {
		if l.IsIdle() {
			return
		}
		h.step(l)
	}
	t.Fatal("records are not durable after 1000 steps, want all durable")
}

func addJob(l *ledger.Ledger, now time.Time, id string) uint64 {
	job := &heatherhub.Job{ID: heatherhub.JobID(id), Workload: "letter", Tasks: 2, State: heatherhub.JobQueued}
	return l.Append(ledger.Record{Kind: ledger.KindJob, At: now.UnixMilli(), Job: job}, true)
}

func cancel(l *ledger.Ledger, now time.Time, id string) {
	l.Append(ledger.Record{Kind: ledger.KindCancel, At: now.UnixMilli(), ID: heatherhub.JobID(id)}, true)
}

// TestManyCancelsShareWrites guards against a write for each cancel when many jobs are
// cancelled at once.
func TestManyCancelsShareWrites(t *testing.T) {
	const jobs = 10_000
	h := newHarness()
	l := h.open(1, 0)
	for i := range jobs {
		addJob(l, h.clock.Now(), fmt.Sprintf("job-%d", i))
	}
	h.drain(t, l)
	before := h.store.Counts()
	for i := range jobs {
		cancel(l, h.clock.Now(), fmt.Sprintf("job-%d", i))
	}
	h.drain(t, l)
	after := h.store.Counts()
	t.Logf("%d cancels took %d writes and %d bytes", jobs, after.Writes-before.Writes, after.BytesWritten-before.BytesWritten)
	if got, most := after.Writes-before.Writes, 20; got > most {
		t.Errorf("got %d writes, want at most %d", got, most)
	}
	reopened := h.open(2, 0)
	for _, job := range reopened.State().Jobs {
		if job.State != heatherhub.JobCancelled {
			t.Fatalf("job %s is %q after a takeover, want it cancelled", job.ID, job.State)
		}
	}
}

// TestSealRejectsLateWrite guards against a write of the previous owner that takes
// effect after the new owner has read the log.
func TestSealRejectsLateWrite(t *testing.T) {
	h := newHarness()
	previous := h.open(1, 0)
	addJob(previous, h.clock.Now(), "late")
	h.clock.Advance(time.Second)
	op, ok := previous.Next(h.clock.Now())
	if !ok {
		t.Fatal("got no write, want one")
	}
	next := h.open(2, 0)
	out := previous.Answer(h.clock.Now(), h.do(op))
	for range 10 {
		if out.Superseded {
			break
		}
		out = h.step(previous)
	}
	if !out.Superseded {
		t.Error("got no superseded outcome at the previous owner, want one")
	}
	if got, want := len(next.State().Jobs), 0; got != want {
		t.Errorf("got %d jobs at the new owner, want %d", got, want)
	}
	if got, want := len(h.open(3, 0).State().Jobs), 0; got != want {
		t.Errorf("got %d jobs at the third owner, want %d", got, want)
	}
}

// TestRandomLedger adds and cancels jobs, and lets their retention end, while answers
// are lost, writes arrive late and owners change. Records that were reported durable
// must be in the log, dropped ones must not, and jobs that are not final must outlive
// the removal of old segments.
func TestRandomLedger(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		epoch := heatherhub.Epoch(1)
		l := h.open(epoch, 400)
		durable := make(map[heatherhub.JobID]heatherhub.JobState)
		dropped := make(map[heatherhub.JobID]bool)
		var lateWrites []ledger.Op
		n := 0
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				n++
				addJob(l, h.clock.Now(), fmt.Sprintf("job-%d", n))
			case 3:
				if n > 0 {
					cancel(l, h.clock.Now(), fmt.Sprintf("job-%d", rapid.IntRange(1, n).Draw(t, "job")))
				}
			case 4:
				h.store.SetFaults(memory.Faults{LoseEvery: rapid.IntRange(0, 3).Draw(t, "loss"), Down: rapid.IntRange(0, 4).Draw(t, "down") == 0})
			case 5:
				lateWrites = h.delayWrite(l, lateWrites)
			case 6:
				if len(lateWrites) > 0 {
					h.do(lateWrites[0])
					lateWrites = lateWrites[1:]
				}
			case 7:
				h.store.SetFaults(memory.Faults{})
				epoch++
				l = h.open(epoch, 400)
			default:
				recordOutcome(l, h.step(l), durable, dropped)
			}
		}
		h.store.SetFaults(memory.Faults{})
		final := h.open(epoch+1, 400)
		checkJobs(t, final, durable, dropped)
		unfinished := unfinishedJobs(final)
		h.clock.Advance(2 * time.Hour)
		for range 600 {
			h.step(final)
		}
		reopened := h.open(epoch+2, 400)
		checkJobs(t, reopened, unfinished, dropped)
		if got, want := len(unfinishedJobs(reopened)), len(unfinished); got != want {
			t.Fatalf("got %d jobs that may run after the retention time, want %d", got, want)
		}
	})
}

// delayWrite answers the next call of a ledger with an unknown outcome. A write is
// added to lateWrites, from which it may arrive later.
func (h *harness) delayWrite(l *ledger.Ledger, lateWrites []ledger.Op) []ledger.Op {
	h.clock.Advance(100 * time.Millisecond)
	op, ok := l.Next(h.clock.Now())
	if !ok {
		return lateWrites
	}
	l.Answer(h.clock.Now(), ledger.Result{Op: op, Err: heatherhub.ErrUnknown.New("no answer")})
	if op.Kind != ledger.OpWrite {
		return lateWrites
	}
	return append(lateWrites, op)
}

// recordOutcome adds the records of an outcome to the jobs that are expected to be
// durable or dropped.
func recordOutcome(l *ledger.Ledger, out ledger.Outcome, durable map[heatherhub.JobID]heatherhub.JobState, dropped map[heatherhub.JobID]bool) {
	for _, c := range out.Durable {
		if c.Record.Kind == ledger.KindJob {
			durable[c.Record.Job.ID] = l.State().Jobs[c.Record.Job.ID].State
		} else if _, ok := durable[c.Record.ID]; ok {
			durable[c.Record.ID] = heatherhub.JobCancelled
		}
	}
	for _, c := range out.Dropped {
		if c.Record.Kind == ledger.KindJob {
			dropped[c.Record.Job.ID] = true
		}
	}
}

// checkJobs checks that the durable jobs are in the ledger and the dropped ones are not.
func checkJobs(t *rapid.T, l *ledger.Ledger, durable map[heatherhub.JobID]heatherhub.JobState, dropped map[heatherhub.JobID]bool) {
	jobs := l.State().Jobs
	for id, state := range durable {
		job, ok := jobs[id]
		if !ok || state == heatherhub.JobCancelled && job.State != state {
			t.Fatalf("job %s: got %v, want it %s", id, job, state)
		}
	}
	for id := range dropped {
		if job, ok := jobs[id]; ok {
			t.Fatalf("job %s: got %v, want none since its record was dropped", id, job)
		}
	}
}

// unfinishedJobs returns the states of the jobs that are not final.
func unfinishedJobs(l *ledger.Ledger) map[heatherhub.JobID]heatherhub.JobState {
	jobs := make(map[heatherhub.JobID]heatherhub.JobState)
	for id, job := range l.State().Jobs {
		if !job.IsFinal() {
			jobs[id] = job.State
		}
	}
	return jobs
}
