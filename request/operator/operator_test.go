package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/operatorapi"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/request/operator"
	"heatherhub.example/heatherhub/version/config"
)

// failingBackend returns err from Status. Its other methods must not be called.
type failingBackend struct {
	operator.Backend
	err error
}

func (f failingBackend) Status(context.Context) (operatorapi.Status, error) {
	return operatorapi.Status{Host: "e1"}, f.err
}

// newHandler returns the API with a configuration in memory.
func newHandler(b operator.Backend, token string) http.Handler {
	keeper := config.New(config.Config{Store: memory.New(memory.Config{})})
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("metrics")) })
	return operator.New(operator.Config{Backend: b, Configuration: keeper, Token: token, Metrics: metrics})
}

// TestErrorResponses checks the status, retry delay and code of each type of error.
func TestErrorResponses(t *testing.T) {
	retryLater := heatherhub.WithRetryAfter(heatherhub.ErrNotRun.New("later"), 1500*time.Millisecond)
	tests := []struct {
		err            error
		wantStatus     int
		wantRetryAfter string
	}{
		{nil, http.StatusOK, ""},
		{heatherhub.ErrInvalid.New("x"), http.StatusBadRequest, ""},
		{heatherhub.ErrNotFound.New("x"), http.StatusNotFound, ""},
		{heatherhub.ErrConflict.New("x"), http.StatusConflict, ""},
		{heatherhub.ErrUnavailable.New("x"), http.StatusServiceUnavailable, "1"},
		{heatherhub.ErrNotOwner.New("x"), http.StatusServiceUnavailable, "1"},
		{retryLater, http.StatusServiceUnavailable, "2"},
		{heatherhub.ErrUnknown.New("x"), http.StatusBadGateway, ""},
		{context.DeadlineExceeded, http.StatusBadGateway, ""},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		newHandler(failingBackend{err: tt.err}, "").ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/status", nil))
		if w.Code != tt.wantStatus {
			t.Errorf("%v: got status %d, want %d", tt.err, w.Code, tt.wantStatus)
		}
		if got := w.Header().Get("Retry-After"); got != tt.wantRetryAfter {
			t.Errorf("%v: got Retry-After %q, want %q", tt.err, got, tt.wantRetryAfter)
		}
		if tt.err == nil {
			continue
		}
		var e operatorapi.Error
		if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil || e.Code != heatherhub.CodeOf(tt.err) {
			t.Errorf("got body %s, want code %q", w.Body, heatherhub.CodeOf(tt.err))
		}
	}
}

// TestTokenIsRequiredOnEveryPath covers /metrics, a path that does not exist, and tokens that
// are a prefix or an extension of the right one.
func TestTokenIsRequiredOnEveryPath(t *testing.T) {
	h := newHandler(failingBackend{}, "secret")
	for _, path := range []string{"/v1/status", "/metrics", "/nowhere"} {
		for _, header := range []string{"", "Bearer ", "Bearer secre", "Bearer secrett", "secret", "Basic secret"} {
			r := httptest.NewRequest(http.MethodGet, path, nil)
			r.Header.Set("Authorization", header)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if got, want := w.Code, http.StatusUnauthorized; got != want {
				t.Errorf("%s with %q: got status %d, want %d", path, header, got, want)
			}
		}
	}
	r := httptest.NewRequest(http.MethodGet, "/metrics", nil)
	r.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if got, want := w.Body.String(), "metrics"; got != want {
		t.Errorf("got %q with the token, want %q", got, want)
	}
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		want                     int
	}{
		{"no JSON", http.MethodPost, "/v1/jobs", "{", http.StatusBadRequest},
		{"unknown field", http.MethodPost, "/v1/jobs", `{"id":"a","colour":1}`, http.StatusBadRequest},
		{"two values", http.MethodPost, "/v1/jobs", `{"id":"a"} {}`, http.StatusBadRequest},
		{"bad id", http.MethodPost, "/v1/jobs", `{"id":"a b","workload":"w","tasks":1}`, http.StatusBadRequest},
		{"negative priority", http.MethodPost, "/v1/jobs", `{"id":"a","workload":"w","tasks":1,"priority":-1}`, http.StatusBadRequest},
		{"no edit id", http.MethodPost, "/v1/presets/peak/switch", `{}`, http.StatusBadRequest},
		{"unknown preset", http.MethodPost, "/v1/presets/peak/switch", `{"editId":"e"}`, http.StatusNotFound},
		{"invalid snapshot", http.MethodPost, "/v1/snapshot", `{"editId":"e","snapshot":{"teams":[{"id":""}]}}`, http.StatusBadRequest},
		{"too large", http.MethodPost, "/v1/jobs", `{"id":"` + strings.Repeat("x", operatorapi.MaxBodyBytes) + `"}`, http.StatusRequestEntityTooLarge},
		{"bad limit", http.MethodGet, "/v1/jobs?limit=0", "", http.StatusBadRequest},
		{"wrong method", http.MethodDelete, "/v1/jobs", "", http.StatusBadRequest},
		{"no such path", http.MethodGet, "/v1/nothing", "", http.StatusNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			newHandler(failingBackend{}, "").ServeHTTP(w, httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body)))
			if w.Code != tt.want {
				t.Errorf("got status %d (%s), want %d", w.Code, w.Body, tt.want)
			}
		})
	}
}

// dropFirstReply handles the first POST and then drops the connection without a response.
type dropFirstReply struct {
	h       http.Handler
	dropped atomic.Bool
}

func (d *dropFirstReply) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && d.dropped.CompareAndSwap(false, true) {
		d.h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	d.h.ServeHTTP(w, r)
}

// TestClientRetryAppliesChangeOnce guards against a second version of the configuration
// when the response to a change is lost and the client sends it again with its edit id.
func TestClientRetryAppliesChangeOnce(t *testing.T) {
	srv := httptest.NewServer(&dropFirstReply{h: newHandler(failingBackend{}, "")})
	defer srv.Close()
	c, err := operatorapi.NewClient(operatorapi.Config{Address: srv.URL})
	if err != nil {
		t.Fatal(err)
	}
	s, err := c.Apply(t.Context(), operatorapi.ApplyRequest{EditID: "e1", Snapshot: heatherhub.Snapshot{Teams: []heatherhub.Team{{ID: "lessons"}}}})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Version, heatherhub.Version(1); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}
