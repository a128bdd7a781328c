package load_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/load"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/request/caller"
)

// fakeService answers requests as an entry host does, with the faults of a test.
type fakeService struct {
	// alterAnswer alters the answer to the n-th request, counted from 1.
	alterAnswer func(n int, body []byte) []byte
	// refuse returns the outcome of the n-th request instead of an answer.
	refuse func(n int) caller.Outcome

	mu   sync.Mutex
	n    int
	keys map[string]int
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.n++
	n := s.n
	s.keys[r.Header.Get(caller.HeaderKey)]++
	s.mu.Unlock()
	w.Header().Set(caller.HeaderRequestID, r.Header.Get(caller.HeaderRequestID))
	outcome := caller.OutcomeAnswered
	if s.refuse != nil {
		outcome = s.refuse(n)
	}
	w.Header().Set(caller.HeaderOutcome, string(outcome))
	if outcome != caller.OutcomeAnswered {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.alterAnswer != nil {
		body = s.alterAnswer(n, body)
	}
	_, _ = w.Write(body)
}

const requests = 40

func start(t *testing.T, s *fakeService) string {
	t.Helper()
	s.keys = make(map[string]int)
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func run(t *testing.T, s *fakeService, attempts int, targets ...string) *load.WorkloadStats {
	t.Helper()
	cfg := load.Config{
		Targets: append(targets, start(t, s)), Rate: 5000, Duration: time.Minute, MaxRequests: requests,
		Mix: []load.MixEntry{{Workload: "compile", Weight: 1}}, Deadline: time.Minute, MaxAttempts: attempts,
		BodyBytes: 128, InFlight: 8, Seed: 1, RunID: "run", Clock: clockwork.NewRealClock(),
	}
	return load.Run(t.Context(), cfg).Workloads[0]
}

func TestInvalidAnswersAreCounted(t *testing.T) {
	alterFifth := func(wrong func(body []byte) []byte) func(int, []byte) []byte {
		return func(n int, body []byte) []byte {
			if n == 5 {
				return wrong(body)
			}
			return body
		}
	}
	other := []byte("run-9999." + strings.Repeat("x", 100))
	tests := []struct {
		name                        string
		alterAnswer                 func(int, []byte) []byte
		foreign, truncated, doubled int
	}{
		{name: "complete", alterAnswer: nil},
		{name: "complete, with text around it", alterAnswer: func(_ int, b []byte) []byte { return append([]byte("built: "), b...) }},
		{name: "answer to another request", alterAnswer: alterFifth(func([]byte) []byte { return other }), foreign: 1},
		{name: "truncated in the padding", alterAnswer: alterFifth(func(b []byte) []byte { return b[:len(b)-1] }), truncated: 1},
		{name: "truncated in the token", alterAnswer: alterFifth(func(b []byte) []byte { return b[:3] }), truncated: 1},
		{name: "empty", alterAnswer: alterFifth(func([]byte) []byte { return nil }), truncated: 1},
		{name: "doubled", alterAnswer: alterFifth(func(b []byte) []byte { return append(b, b...) }), doubled: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := run(t, &fakeService{alterAnswer: tt.alterAnswer}, 1)
			if got.Foreign != tt.foreign || got.Truncated != tt.truncated || got.Doubled != tt.doubled {
				t.Errorf("got %d foreign, %d truncated, %d doubled, want %d, %d, %d",
					got.Foreign, got.Truncated, got.Doubled, tt.foreign, tt.truncated, tt.doubled)
			}
			if want := requests - tt.foreign - tt.truncated - tt.doubled; got.Answered != want {
				t.Errorf("got %d answered, want %d", got.Answered, want)
			}
		})
	}
}

func TestOutcomesAndRetries(t *testing.T) {
	firstTwo := func(o caller.Outcome) func(int) caller.Outcome {
		return func(n int) caller.Outcome {
			if n <= 2 {
				return o
			}
			return caller.OutcomeAnswered
		}
	}
	tests := []struct {
		name                      string
		refuse                    func(int) caller.Outcome
		attempts                  int
		answered, notRun, unknown int
	}{
		{"not run", firstTwo(caller.OutcomeNotRun), 1, requests - 2, 2, 0},
		{"unknown", firstTwo(caller.OutcomeUnknown), 1, requests - 2, 0, 2},
		{"no outcome", firstTwo(""), 1, requests - 2, 0, 2},
		{"not run, retried", firstTwo(caller.OutcomeNotRun), 3, requests, 0, 0},
		{"never run", func(int) caller.Outcome { return caller.OutcomeNotRun }, 2, 0, requests, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &fakeService{refuse: tt.refuse}
			got := run(t, s, tt.attempts)
			if got.Answered != tt.answered || got.NotRun != tt.notRun || got.Unknown != tt.unknown {
				t.Errorf("got %d answered, %d not run, %d unknown, want %d, %d, %d",
					got.Answered, got.NotRun, got.Unknown, tt.answered, tt.notRun, tt.unknown)
			}
			if len(s.keys) != requests {
				t.Errorf("got %d idempotency keys, want one for each of %d requests", len(s.keys), requests)
			}
		})
	}
}

func TestUnreachableTargetIsSkipped(t *testing.T) {
	dead := httptest.NewServer(nil)
	dead.Close()
	got := run(t, &fakeService{}, 1, strings.TrimPrefix(dead.URL, "http://"))
	if got.Answered != requests {
		t.Errorf("got %d answered, want all %d", got.Answered, requests)
	}
}

// TestLatencyStartsAtIntendedTime guards against coordinated omission: with one request in
// flight, the others wait for a slow service, and that wait must count. The sleeps are a
// lower bound of the wait on any machine.
func TestLatencyStartsAtIntendedTime(t *testing.T) {
	const pause = 5 * time.Millisecond
	slow := &fakeService{alterAnswer: func(_ int, b []byte) []byte {
		time.Sleep(pause)
		return b
	}}
	cfg := load.Config{
		Targets: []string{start(t, slow)}, Rate: 100_000, Duration: time.Minute, MaxRequests: requests,
		Mix: []load.MixEntry{{Workload: "compile", Weight: 1}}, Deadline: time.Minute, MaxAttempts: 1,
		InFlight: 1, Seed: 1, RunID: "run", Clock: clockwork.NewRealClock(),
	}
	got := load.Run(t.Context(), cfg).Workloads[0].Percentile(100)
	// The last request was due within the first few sleeps and waited for all others.
	if want := pause * requests / 2; got < want {
		t.Errorf("got a longest latency of %s, want %s or more", got, want)
	}
}

func TestCommandReportsAndSetsExitStatus(t *testing.T) {
	isClean := true
	auditServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"isClean": isClean, "report": map[string]int{"doubled": 1}})
	}))
	defer auditServer.Close()
	plot := filepath.Join(t.TempDir(), "latency.svg")
	tests := []struct {
		name  string
		s     *fakeService
		clean bool
		want  exitcode.Code
	}{
		{"good", &fakeService{}, true, exitcode.OK},
		{"truncated answers", &fakeService{alterAnswer: func(_ int, b []byte) []byte { return b[:20] }}, true, exitcode.GuaranteeViolated},
		{"doubled at the workers", &fakeService{}, false, exitcode.GuaranteeViolated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			isClean = tt.clean
			o := &load.Options{
				Targets: []string{start(t, tt.s)}, Rate: 5000, Duration: time.Minute, MaxRequests: requests, Mix: "compile=3,simulation=1",
				Deadline: time.Minute, MaxAttempts: 1, BodyBytes: 64, InFlight: 4, PlotFile: plot, AuditURL: auditServer.URL,
			}
			o.JSON = "workload,sent,answered"
			io, out, _ := streams.Test()
			if got := exitcode.Of(o.Run(t.Context(), &factory.Factory{IO: io})); got != tt.want {
				t.Errorf("got exit status %d, want %d", got, tt.want)
			}
			var rows []struct{ Sent int }
			if err := json.Unmarshal(out.Bytes(), &rows); err != nil || len(rows) != 2 || rows[0].Sent+rows[1].Sent != requests {
				t.Errorf("got report %s, want %d requests over two services", out, requests)
			}
			if data, err := os.ReadFile(plot); err != nil || !strings.Contains(string(data), "<svg") {
				t.Errorf("got %v and %d bytes, want a plot", err, len(data))
			}
		})
	}
}

func TestAllInvalidOptionsAreReported(t *testing.T) {
	o := &load.Options{Targets: []string{"localhost"}, Mix: "compile", PlotFile: "x.pdf", BodyBytes: -1}
	err := o.Run(t.Context(), &factory.Factory{})
	if got, want := exitcode.Of(err), exitcode.Usage; got != want {
		t.Fatalf("got exit status %d, want %d", got, want)
	}
	for _, flag := range []string{"--rate", "--duration", "--requests", "--deadline", "--attempts", "--body-bytes", "--in-flight", "--plot", "--target", "--mix"} {
		if !strings.Contains(err.Error(), flag+":") {
			t.Errorf("got %q, want a problem of %s too", err, flag)
		}
	}
}
