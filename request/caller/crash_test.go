package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/request/caller"
)

// TestRequestThatCrashesReplicasEndsForItsCaller guards against a request that crashes replica after
// replica because its caller sends it again, and against refusals of other requests.
func TestRequestThatCrashesReplicasEndsForItsCaller(t *testing.T) {
	c := newCluster(t)
	c.skipRecording = true
	crashes := 0
	c.serve = func(_ context.Context, id heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
		if strings.HasPrefix(string(r.Body), "work of deadly") {
			c.mu.Lock()
			crashes++
			c.mu.Unlock()
			return worker.Answer{}, heatherhub.ErrUnknown.New("the connection ended")
		}
		return answerOf(r.ID, string(id)), nil
	}
	const (
		tries    = 12
		deadline = time.Second
	)
	last := ""
	for i := range tries {
		c.body = "work of deadly"
		host := []heatherhub.HostID{"e1", "e2", "e3"}[i%3]
		last = c.post(host, "compile", "", fmt.Sprintf("deadly-%d", i), deadline).Header().Get(caller.HeaderOutcome)
		c.body = ""
		// The slots of lost requests are held until after their deadline.
		c.clock.Advance(2 * deadline)
		if rec := c.post(host, "compile", "", fmt.Sprintf("innocent-%d", i), deadline); rec.Code != http.StatusOK {
			t.Errorf("try %d: got status %d for an innocent request, want 200", i, rec.Code)
		}
	}
	// Each of the two owners finds out by itself: one crash that it suspects and two that convict.
	if want := 6; crashes > want {
		t.Errorf("got %d crashes in %d tries, want at most %d", crashes, tries, want)
	}
	if last != "not-run" {
		t.Errorf("got outcome %q for the last try, want not-run", last)
	}
}
