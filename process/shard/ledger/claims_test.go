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
	// measuredRate and expiryRate are claims in a second.
	measuredRate = 15
	expiryRate   = 5
	// nodeBytes is the target's 3 KB a second for control: what one commit of one
	// claim may at most write.
	nodeBytes = 3000
)

// claimRun claims rate keys a second and settles each once its claim is durable.
type claimRun struct {
	*bench
	log           *ledger.Ledger
	rate          int
	begun, ticks  int
	largest       int
	settles       []ledger.Key
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
	for _, key := range c.settles {
		c.log.Append(ledger.Record{Kind: ledger.KindAnswer, At: at, Key: &key, Status: 200, Body: make([]byte, 64)}, false)
	}
	c.settles = nil
	op, ok := c.log.Next(c.clock.Now())
	if !ok {
		return
	}
	c.largest = max(c.largest, len(op.Write.Value))
	for _, d := range c.log.Answer(c.clock.Now(), c.do(op)).Durable {
		if d.Record.Kind == ledger.KindClaim {
			c.durableClaims++
			c.settles = append(c.settles, *d.Record.Key)
		}
	}
}

// TestAClaimWritesLittle prints what a claim and its answer cost, with segments of
// 32 KiB and with the default, and bounds a write by the target.
func TestAClaimWritesLittle(t *testing.T) {
	for _, size := range []int{32 * 1024, ledger.DefaultSegmentBytes} {
		c := &claimRun{bench: newBench(), rate: measuredRate}
		c.log = c.open(1, size)
		before := c.store.Counts()
		c.run(3 * time.Minute)
		after := c.store.Counts()
		writes, bytes := after.Writes-before.Writes, after.BytesWritten-before.BytesWritten
		t.Logf("segments of %d bytes: %d claims, %.2f writes and %.0f bytes each, largest write %d bytes",
			size, c.durableClaims, float64(writes)/float64(c.durableClaims), float64(bytes)/float64(c.durableClaims), c.largest)
		if size == ledger.DefaultSegmentBytes && c.largest > nodeBytes {
			t.Errorf("got a write of %d bytes, want at most %d", c.largest, nodeBytes)
		}
	}
}

// TestExpiredKeysLeaveTheLog lets a job stand before three lifetimes of claims.
func TestExpiredKeysLeaveTheLog(t *testing.T) {
	c := &claimRun{bench: newBench(), rate: expiryRate}
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
	t.Logf("%d claims with %d writes of %d bytes, then %d segments of %d bytes: a take-over made %d reads and %d writes",
		c.durableClaims, before.Writes, before.BytesWritten, len(entries), total(entries), reads, after.Writes-before.Writes)
	if got, want := reads, 1; got != want {
		t.Errorf("got %d reads at a take-over, want %d", got, want)
	}
	live := expiryRate * int(route.KeyTTL/time.Second)
	if got, most := c.log.State().Keys, live+expiryRate*10; len(got) > most {
		t.Errorf("got %d keys kept, want at most %d", len(got), most)
	}
	for n := c.durableClaims - live + expiryRate; n < c.durableClaims; n++ {
		got, want := next.State().Keys[c.key(n)], c.log.State().Keys[c.key(n)]
		if got == nil || got.Answered != want.Answered {
			t.Fatalf("got key %d as %+v after a take-over, want %+v until its lifetime ends", n, got, want)
		}
	}
	if got, want := len(open(next)), 40; got != want {
		t.Errorf("got %d jobs after a take-over, want %d", got, want)
	}
	// At most half of the log is unneeded: a claim has two records until then, of
	// at most 256 bytes together, besides the 40 jobs.
	if got, most := total(entries), 2*(live+40)*256; got > most {
		t.Errorf("got a log of %d bytes, want at most %d", got, most)
	}
}

func total(entries []store.Entry) int {
	n := 0
	for _, e := range entries {
		n += len(e.Value)
	}
	return n
}
