package worker_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/platform"
	"heatherhub.example/heatherhub/connection/worker"
)

func wantCode(t *testing.T, what string, err error, want heatherhub.Code) {
	t.Helper()
	if got := heatherhub.CodeOf(err); got != want {
		t.Errorf("%s: got %q (%v), want %q", what, got, err, want)
	}
}

// maxAnswer is the client's limit of an answer in the tests, in bytes.
const maxAnswer = 10_000

// newClient returns a client of one worker, w, that is served by the given handler.
func newClient(t *testing.T, p platform.Protocol, h http.HandlerFunc) *worker.Client {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetHTTP1(true)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(s.Close)
	c := worker.NewClient(worker.ClientConfig{Platform: platform.Config{Protocol: p, MaxResponseBytes: maxAnswer}, RequestProtocol: p})
	t.Cleanup(c.Close)
	c.SetHosts([]hostlist.Host{{ID: "w", Role: hostlist.RoleWorker, Address: strings.TrimPrefix(s.URL, "http://")}})
	return c
}

func request() worker.Request {
	return worker.Request{ID: "r1", Workload: "compile", Task: "svc:compile", Body: []byte("program"), Timeout: 10 * time.Second}
}

func answer(w http.ResponseWriter, id heatherhub.RequestID, body string) {
	worker.WriteAnswer(w, worker.Answer{ID: id, Status: http.StatusTeapot, Body: []byte(body), Digest: worker.Digest([]byte(body)), RetryAfter: time.Second})
}

func TestServeOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		handle http.HandlerFunc
		want   heatherhub.Code
	}{
		{"complete answer", func(w http.ResponseWriter, _ *http.Request) { answer(w, "r1", "firmware") }, heatherhub.CodeOK},
		{"answer to another request", func(w http.ResponseWriter, _ *http.Request) { answer(w, "r2", "firmware") }, heatherhub.CodeUnknown},
		{"answer without an id", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("firmware")) }, heatherhub.CodeUnknown},
		{"answer truncated by a closed connection", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(worker.HeaderRequest, "r1")
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("firm"))
			panic(http.ErrAbortHandler)
		}, heatherhub.CodeUnknown},
		{"answer truncated without an error", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(worker.HeaderRequest, "r1")
			w.Header().Set(worker.HeaderDigest, strconv.FormatUint(worker.Digest([]byte("firmware")), 16))
			_, _ = w.Write([]byte("firm"))
		}, heatherhub.CodeUnknown},
		{"answer above the limit", func(w http.ResponseWriter, _ *http.Request) {
			answer(w, "r1", strings.Repeat("x", maxAnswer+1))
		}, heatherhub.CodeUnknown},
		{"rejection", func(w http.ResponseWriter, _ *http.Request) {
			platform.WriteError(w, heatherhub.ErrNotRun.New("no such replica"))
		}, heatherhub.CodeNotRun},
		{"worker that reports an unknown outcome", func(w http.ResponseWriter, _ *http.Request) {
			platform.WriteError(w, heatherhub.ErrUnknown.New("replica ended"))
		}, heatherhub.CodeUnknown},
		{"rejection by a proxy", func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "bad gateway", http.StatusBadGateway)
		}, heatherhub.CodeUnknown},
		{"rejection with a code that differs from its body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(platform.HeaderCode, string(heatherhub.CodeNotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"code":"unknown"}`))
		}, heatherhub.CodeUnknown},
		{"no answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, heatherhub.CodeUnknown},
	}
	for _, p := range []platform.Protocol{platform.ProtocolHTTP1, platform.ProtocolHTTP2} {
		for _, c := range cases {
			t.Run(string(p)+"/"+c.name, func(t *testing.T) {
				var calls atomic.Int64
				client := newClient(t, p, func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					c.handle(w, r)
				})
				a, err := client.Serve(t.Context(), "w", request())
				wantCode(t, "request", err, c.want)
				if got, want := calls.Load(), int64(1); got != want {
					t.Errorf("runs: got %d, want %d", got, want)
				}
				if c.want == heatherhub.CodeOK && (a.Status != http.StatusTeapot || string(a.Body) != "firmware" || a.RetryAfter != time.Second) {
					t.Errorf("answer: got %+v, want the replica's answer", a)
				}
			})
		}
	}
}

// TestRequestIsNotRepeatedOnABrokenConnection guards against the automatic retry of
// net/http: a request on a reused connection that breaks may have run and must not be
// sent again.
func TestRequestIsNotRepeatedOnABrokenConnection(t *testing.T) {
	for _, p := range []platform.Protocol{platform.ProtocolHTTP1, platform.ProtocolHTTP2} {
		t.Run(string(p), func(t *testing.T) {
			var runs atomic.Int64
			client := newClient(t, p, func(w http.ResponseWriter, _ *http.Request) {
				if runs.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
				answer(w, "r1", "firmware")
			})
			_, err := client.Serve(t.Context(), "w", request())
			wantCode(t, "first request", err, heatherhub.CodeOK)
			_, err = client.Serve(t.Context(), "w", request())
			wantCode(t, "request on a broken connection", err, heatherhub.CodeUnknown)
			if got, want := runs.Load(), int64(2); got != want {
				t.Errorf("runs: got %d, want %d", got, want)
			}
		})
	}
}

func TestSetHostsRemovesAndMovesWorkers(t *testing.T) {
	var calls atomic.Int64
	client := newClient(t, platform.ProtocolHTTP2, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		platform.WriteResponse(w, platform.Msgpack, struct{}{})
	})
	wantCode(t, "listed worker", client.Stop(t.Context(), "w", "a"), heatherhub.CodeOK)
	client.SetHosts([]hostlist.Host{{ID: "w", Role: hostlist.RoleEntry, Address: "127.0.0.1:1"}})
	wantCode(t, "worker that was removed from the list", client.Stop(t.Context(), "w", "a"), heatherhub.CodeUnavailable)
	client.SetHosts([]hostlist.Host{{ID: "w", Role: hostlist.RoleWorker, Address: "127.0.0.1:1"}})
	wantCode(t, "worker that moved to a closed port", client.Stop(t.Context(), "w", "a"), heatherhub.CodeUnavailable)
	if got, want := calls.Load(), int64(1); got != want {
		t.Errorf("calls: got %d, want %d", got, want)
	}
}

func TestTraceContextIsSent(t *testing.T) {
	var got atomic.Value
	client := newClient(t, platform.ProtocolHTTP1, func(w http.ResponseWriter, r *http.Request) {
		got.Store(r.Header.Get("traceparent"))
		answer(w, "r1", "firmware")
	})
	span := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled})
	_, err := client.Serve(trace.ContextWithSpanContext(t.Context(), span), "w", request())
	wantCode(t, "request", err, heatherhub.CodeOK)
	if want := "00-" + span.TraceID().String() + "-" + span.SpanID().String() + "-01"; got.Load() != want {
		t.Errorf("traceparent: got %q, want %q", got.Load(), want)
	}
}
