package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/process/shard/ledger"
	"heatherhub.example/heatherhub/request/route"
)

const (
	claimTick = 20 * time.Millisecond
	// writeCostRate and expiryRate are claims per second.
	writeCostRate = 15
	expiryRate    = 5
	// maxWriteBytes is the most that a commit of one claim may write. It is what the
	// target of 3 KB/s allows a node for control traffic in one second.
	maxWriteBytes = 3000
)

// claimRun makes rate claims per second and records the answer of each once its claim
// is durable.
type claimRun struct {
	*harness
	log           *ledger.Ledger
	rate          int
	begun, ticks  int
	largestWrite  int
	toAnswer      []ledger.Key
	durableClaims int
}

func (c *claimRun) key(n int) ledger.Key {
	return ledger.Key{Workload: "firmware-push", Key: heatherhub.IdempotencyKey(fmt.Sprintf("tablet-%08d-lesson-0001", n))}
}

func (c *claimRun) run(d time.Duration) {
	for range int(d / claimTick) {
		c.tick()
	}
}

func (c *claimRun) tick() {
	c.clock.Advance(claimTick)
	c.ticks++
	at := c.clock.Now().UnixMilli()
	if c.begun*int(time.Second) < c.ticks*c.rate*int(claimTick) {
		key := c.key(c.begun)
		c.begun++
		c.log.Append(ledger.Record{Kind: ledger.KindClaim, At: at, Key: &key}, true)
	}
	for _, key := range c.toAnswer {
		c.log.Append(ledger.Record{Kind: ledger.KindAnswer, At: at, Key: &key, Status: 200, Body: make([]byte, 64)}, false)
	}
	c.toAnswer = nil
	op, ok := c.log.Next(c.clock.Now())
	if !ok {
		return
	}
	c.largestWrite = max(c.largestWrite, len(op.Write.Value))
	for _, d := range c.log.Answer(c.clock.Now(), c.do(op)).Durable {
		if d.Record.Kind == ledger.KindClaim {
			c.durableClaims++
			c.toAnswer = append(c.toAnswer, *d.Record.Key)
		}
	}
}

// TestClaimWriteCost guards against segments that are too large: every commit rewrites
// its segment, so that with 32 KiB a claim and its answer write about 15 times as much
// as with the default size. It logs the cost of both sizes.
func TestClaimWriteCost(t *testing.T) {
	for _, size := range []int{32 * 1024, ledger.DefaultSegmentBytes} {
		c := &claimRun{harness: newHarness(), rate: writeCostRate}
		c.log = c.open(1, size)
		before := c.store.Counts()
		c.run(3 * time.Minute)
		after := c.store.Counts()
		writes, bytes := after.Writes-before.Writes, after.BytesWritten-before.BytesWritten
		t.Logf("segments of %d bytes: %d claims, %.2f writes and %.0f bytes each, largest write %d bytes",
			size, c.durableClaims, float64(writes)/float64(c.durableClaims), float64(bytes)/float64(c.durableClaims), c.largestWrite)
		if size == ledger.DefaultSegmentBytes && c.largestWrite > maxWriteBytes {
			t.Errorf("got a write of %d bytes, want at most %d", c.largestWrite, maxWriteBytes)
		}
	}
}

// TestExpiredKeysAreRemoved guards against segments that are never deleted because the
// oldest one has long-lived jobs: claims are made for three key lifetimes after 40 jobs.
func TestExpiredKeysAreRemoved(t *testing.T) {
	c := &claimRun{harness: newHarness(), rate: expiryRate}
	c.log = c.open(1, 0)
	for n := range 40 {
		addJob(c.log, c.clock.Now(), fmt.Sprintf("job-%d", n))
	}
	c.drain(t, c.log)
	c.run(3 * route.KeyTTL)
	entries, err := c.store.List(t.Context(), prefix)
	if err != nil {
		t.Fatal(err)
	}
	before := c.store.Counts()
	next := c.open(2, 0)
	after := c.store.Counts()
	reads := after.Gets + after.Lists - before.Gets - before.Lists
	t.Logf("%d claims with %d writes of %d bytes, then %d segments of %d bytes: a takeover made %d reads and %d writes",
		c.durableClaims, before.Writes, before.BytesWritten, len(entries), totalBytes(entries), reads, after.Writes-before.Writes)
	if got, want := reads, 1; got != want {
		t.Errorf("got %d reads at a takeover, want %d", got, want)
	}
	live := expiryRate * int(route.KeyTTL/time.Second)
	if got, most := c.log.State().Keys, live+expiryRate*10; len(got) > most {
		t.Errorf("got %d keys kept, want at most %d", len(got), most)
	}
	for n := c.durableClaims - live + expiryRate; n < c.durableClaims; n++ {
		got, want := next.State().Keys[c.key(n)], c.log.State().Keys[c.key(n)]
		if got == nil || got.Answered != want.Answered {
			t.Fatalf("key %d after a takeover: got %+v, want %+v until its lifetime ends", n, got, want)
		}
	}
	if got, want := len(unfinishedJobs(next)), 40; got != want {
		t.Errorf("got %d jobs after a takeover, want %d", got, want)
	}
	// At most half of the log is not needed any more. A claim and its answer take at most
	// 256 bytes together, and so does a job.
	if got, most := totalBytes(entries), 2*(live+40)*256; got > most {
		t.Errorf("got a log of %d bytes, want at most %d", got, most)
	}
}

func totalBytes(entries []store.Entry) int {
	n := 0
	for _, e := range entries {
		n += len(e.Value)
	}
	return n
}
