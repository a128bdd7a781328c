package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/request/caller"
	"heatherhub.example/heatherhub/request/route"
)

// fixedRouter returns the same answer and error for every request.
type fixedRouter struct {
	answer worker.Answer
	err    error
}

func (r fixedRouter) Serve(context.Context, route.Request) (worker.Answer, error) {
	return r.answer, r.err
}

// TestErrorResponses compares the status, headers and body of each kind of response with
// testdata/errors.txt.
func TestErrorResponses(t *testing.T) {
	retryLater := func(err error) error {
		return heatherhub.ErrorFromCode(heatherhub.CodeOf(err), heatherhub.Message(err), 1500*time.Millisecond)
	}
	tests := []struct {
		name    string
		err     error
		path    string
		body    string
		headers map[string]string
	}{
		{name: "answered", path: "compile"},
		{name: "undeclared service", path: "absent"},
		{name: "missing idempotency key", path: "firmware-push"},
		{name: "malformed idempotency key", path: "firmware-push", headers: map[string]string{caller.HeaderKey: "a b"}},
		{name: "malformed request id", path: "compile", headers: map[string]string{caller.HeaderRequestID: "a b"}},
		{name: "malformed deadline", path: "compile", headers: map[string]string{caller.HeaderDeadline: "soon"}},
		{name: "body too large", path: "compile", body: strings.Repeat("x", 100)},
		{name: "refused, would be late", path: "compile", err: retryLater(heatherhub.ErrNotRun.New("service would answer after the deadline: retry later"))},
		{name: "replica did not run it", path: "compile", err: heatherhub.ErrNotRun.New("the replica has stopped: choose another one")},
		{name: "nobody reachable", path: "compile", err: heatherhub.ErrUnavailable.New("no reachable host holds replicas: retry later")},
		{name: "owner is changing", path: "compile", err: heatherhub.ErrNotOwner.New("host does not own the shard: read the owner again")},
		{name: "conflict", path: "compile", err: heatherhub.ErrConflict.New("another writer was first: read again")},
		{name: "key used with another body", path: "firmware-push", headers: map[string]string{caller.HeaderKey: "robot-7"}, err: heatherhub.ErrUnknown.New("idempotency key was used with another body, which may have run: send a new key for a new request")},
		{name: "denied", path: "compile", err: heatherhub.ErrDenied.New("the credentials are wrong: renew them")},
		{name: "sent, no answer", path: "compile", err: heatherhub.ErrUnknown.New("the connection ended: it may have run")},
		{name: "error without a type", path: "compile", err: fmt.Errorf("something else")},
	}
	var got bytes.Buffer
	fmt.Fprintln(&got, "case | status | Heatherhub-Outcome | Retry-After | body")
	for _, tt := range tests {
		h := caller.New(caller.Config{
			Router:    fixedRouter{answer: answerOf("r1", "own answer"), err: tt.err},
			Directory: &entryHost{}, MaxBody: 64,
		})
		r := httptest.NewRequest(http.MethodPost, "/v1/services/"+tt.path, strings.NewReader(tt.body))
		for k, v := range tt.headers {
			r.Header.Set(k, v)
		}
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		fmt.Fprintf(&got, "%s | %d | %s | %s | %s\n", tt.name, rec.Code, rec.Header().Get(caller.HeaderOutcome),
			rec.Header().Get("Retry-After"), strings.TrimSpace(rec.Body.String()))
	}
	compareGolden(t, "errors.txt", got.Bytes())
}
