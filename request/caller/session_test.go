package caller_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden compares a text with its file.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs (run with -update to accept)\ngot:\n%s\nwant:\n%s", path, got, want)
	}
}

func TestSessions(t *testing.T) {
	sessions := map[string]func(t *testing.T, c *cluster){
		"idempotent-retry":     retryOnOtherReplica,
		"lost-answer":          lostAnswer,
		"late-answer":          answerAfterDeadline,
		"granted-elsewhere":    grantToOtherOwner,
		"refusal-at-overload":  refuseAtOverload,
		"spill":                spillToOtherDomain,
		"drain":                drainHost,
		"silent-connection":    droppedConnection,
		"crossed-answers":      mismatchedAnswers,
		"not-run-gives-back":   releaseKeyAfterNotRun,
		"retries-share-a-run":  joinRunInProgress,
		"missing-key":          missingKey,
		"reused-key":           keyReusedWithOtherBody,
		"replica-fails-at-all": allReplicasFail,
	}
	for name, run := range sessions {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			run(t, c)
			compareGolden(t, filepath.Join("session", name+".txt"), c.transcript())
		})
	}
}

// idempotentRetry: the first replica reports a failure, another one answers.
func retryOnOtherReplica(_ *testing.T, c *cluster) {
	failed := false
	c.serve = func(_ context.Context, _ heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
		a := answerOf(r.ID, "done by another replica")
		if !failed {
			failed = true
			a.Status = 500
		}
		return a, nil
	}
	c.post("e2", "compile", "", "r1", 0)
}

func allReplicasFail(_ *testing.T, c *cluster) {
	c.serve = func(_ context.Context, _ heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
		a := answerOf(r.ID, "cannot")
		a.Status = 500
		return a, nil
	}
	c.post("e2", "compile", "", "r1", 0)
}

// lostAnswer: the push ran but its answer is lost; no retry ever runs it again.
func lostAnswer(_ *testing.T, c *cluster) {
	c.serve = func(context.Context, heatherhub.WorkerID, worker.Request) (worker.Answer, error) {
		return worker.Answer{}, heatherhub.ErrUnknown.New("the connection broke")
	}
	c.post("e1", "firmware-push", "robot-7", "r1", 0)
	c.post("e2", "firmware-push", "robot-7", "r2", 0)
}

// lateAnswer: the caller's deadline passes first; its retry gets the answer.
func answerAfterDeadline(t *testing.T, c *cluster) {
	release := make(chan struct{})
	c.serve = func(_ context.Context, _ heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
		<-release
		return answerOf(r.ID, "pushed once"), nil
	}
	c.post("e1", "firmware-push", "robot-7", "r1", time.Second)
	close(release)
	if got, want := <-c.settledKeys, heatherhub.IdempotencyKey("robot-7"); got != want {
		t.Errorf("got key %q settled, want %q", got, want)
	}
	c.post("e2", "firmware-push", "robot-7", "r2", 0)
}

// grantedElsewhere: the owner of the key has no replica.
func grantToOtherOwner(_ *testing.T, c *cluster) {
	c.post("e1", "firmware-push", "far-robot", "r1", 0)
	c.post("e3", "firmware-push", "far-robot", "r2", 0)
}

// refusalAtOverload: what would be late is refused at once, in both domains.
func refuseAtOverload(_ *testing.T, c *cluster) {
	c.overload("all slots of both domains are taken", "e1", "e1", "e3")
}

// spill: the own domain is full, the other one answers.
func spillToOtherDomain(_ *testing.T, c *cluster) {
	c.overload("all slots of gent are taken", "e1", "e1")
}

// overload sends a request while a busy one is under way from each given host.
func (c *cluster) overload(condition string, busyHosts ...heatherhub.HostID) {
	c.serve = func(_ context.Context, _ heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
		c.clock.Advance(500 * time.Millisecond)
		return answerOf(r.ID, "ok"), nil
	}
	for _, id := range []heatherhub.HostID{"e1", "e1", "e3"} {
		c.post(id, "compile", "", "warm-"+string(id), 0)
	}
	started, release := make(chan struct{}, len(busyHosts)), make(chan struct{})
	c.serve = func(_ context.Context, _ heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
		if r.ID != "busy" {
			return answerOf(r.ID, "ok"), nil
		}
		started <- struct{}{}
		<-release
		return answerOf(r.ID, "ok"), nil
	}
	c.record("(%s)", condition)
	saved := c.transcript()
	var wg conc.WaitGroup
	for _, id := range busyHosts {
		wg.Go(func() { c.post(id, "compile", "", "busy", 0) })
		<-started
	}
	c.restore(saved)
	c.post("e2", "compile", "", "r1", 600*time.Millisecond)
	saved = c.transcript()
	close(release)
	wg.Wait()
	c.restore(saved)
}

// drain: the health check fails at once, requests go on.
func drainHost(_ *testing.T, c *cluster) {
	c.health("e1")
	c.hosts["e1"].handler.Drain()
	c.health("e1")
	c.post("e1", "compile", "", "r1", 0)
}

// silentConnection: the connection to the owner falls silent. An idempotent
// request goes over a new one, a push ends as unknown.
func droppedConnection(_ *testing.T, c *cluster) {
	c.post("e2", "compile", "", "r1", 0)
	c.postOverDroppedConnection("compile", "", "r2")
	c.post("e2", "firmware-push", "robot-7", "r3", 0)
	c.postOverDroppedConnection("firmware-push", "robot-8", "r4")
	c.post("e2", "firmware-push", "robot-8", "r5", 0)
}

// postSilent sends a request over connections that have just fallen silent.
func (c *cluster) postOverDroppedConnection(workload, key, request string) {
	c.record("(the connections of e2 fall silent)")
	c.hosts["e2"].blackhole()
	done := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() {
		defer close(done)
		c.post("e2", workload, key, request, 0)
	})
	c.advanceClock(done)
	wg.Wait()
}

// crossedAnswers: a replica answers another request, or only a part.
func mismatchedAnswers(_ *testing.T, c *cluster) {
	answers := []worker.Answer{answerOf("other", "not yours"), answerOf("r1", "yours")}
	answers[1].Body = answers[1].Body[:2]
	c.serve = func(_ context.Context, _ heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
		if len(answers) == 0 {
			return answerOf(r.ID, "own and whole"), nil
		}
		a := answers[0]
		answers = answers[1:]
		return a, nil
	}
	c.post("e2", "compile", "", "r1", 0)
	answers = []worker.Answer{answerOf("other", "not yours")}
	c.post("e2", "firmware-push", "robot-7", "r2", 0)
}

// notRunGivesBack: a push that provably did not run may run on a retry.
func releaseKeyAfterNotRun(_ *testing.T, c *cluster) {
	refused := 0
	c.serve = func(_ context.Context, _ heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
		if refused < 3 {
			refused++
			return worker.Answer{}, heatherhub.ErrNotRun.New("the replica has stopped: choose another one")
		}
		return answerOf(r.ID, "pushed once"), nil
	}
	c.post("e2", "firmware-push", "robot-7", "r1", 0)
	c.post("e1", "firmware-push", "robot-7", "r2", 0)
}

// retriesShareARun: a retry that comes while the first run is under way waits
// for it.
func joinRunInProgress(t *testing.T, c *cluster) {
	started, release := make(chan struct{}), make(chan struct{})
	c.serve = func(_ context.Context, _ heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
		close(started)
		<-release
		return answerOf(r.ID, "pushed once"), nil
	}
	var wg conc.WaitGroup
	bodies := make([]string, 2)
	wg.Go(func() { bodies[0] = c.post("e1", "firmware-push", "robot-7", "r1", 0).Body.String() })
	<-started
	saved := c.transcript()
	wg.Go(func() { bodies[1] = c.post("e1", "firmware-push", "robot-7", "r2", 0).Body.String() })
	close(release)
	wg.Wait()
	for i, got := range bodies {
		if want := "pushed once"; got != want {
			t.Errorf("caller %d: got %q, want %q", i, got, want)
		}
	}
	c.restore(saved)
}

// reusedKey: a key that was used with another body gets no foreign answer.
func keyReusedWithOtherBody(_ *testing.T, c *cluster) {
	c.post("e1", "firmware-push", "robot-7", "r1", 0)
	c.body = "other work"
	c.post("e2", "firmware-push", "robot-7", "r2", 0)
}

func missingKey(_ *testing.T, c *cluster) {
	c.post("e1", "firmware-push", "", "r1", 0)
}

// reset puts the record back, to leave out what has no fixed order.
func (c *cluster) restore(transcript []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = nil
	for _, line := range bytes.Split(bytes.TrimSpace(transcript), []byte("\n")) {
		c.lines = append(c.lines, string(line))
	}
}

// passTime moves the clock on, heartbeat by heartbeat, until done.
func (c *cluster) advanceClock(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
			c.clock.Advance(50 * time.Millisecond)
		}
	}
}
