package caller_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/request/caller"
)

// serveWorkers starts an HTTP server of workers that echo the body of each request, and
// returns its address.
func serveWorkers(b *testing.B) string {
	b.Helper()
	return serveHTTP(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := worker.ReadRequest(w, r)
		if err != nil {
			b.Error(err)
			return
		}
		worker.WriteAnswer(w, worker.Answer{ID: req.ID, Status: http.StatusOK, Body: req.Body, Digest: worker.Digest(req.Body)})
	}))
}

// serveHTTP serves h on a free port until the benchmark ends and returns the address.
func serveHTTP(b *testing.B, h http.Handler) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var wg conc.WaitGroup
	s := &http.Server{Handler: h}
	wg.Go(func() { _ = s.Serve(l) })
	b.Cleanup(func() {
		_ = s.Close()
		wg.Wait()
	})
	return l.Addr().String()
}

// BenchmarkRequest compares a request that is sent directly to a worker with one that passes
// through its owner, and with one that passes through an entry host and its owner.
func BenchmarkRequest(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 1024)
	workers := worker.NewClient(worker.ClientConfig{})
	b.Cleanup(workers.Close)
	workers.SetHosts([]hostlist.Host{
		{ID: "w1", Role: hostlist.RoleWorker, Address: serveWorkers(b)},
		{ID: "w2", Role: hostlist.RoleWorker, Address: serveWorkers(b)},
	})
	b.Run("worker", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := workers.Serve(b.Context(), "w1", worker.Request{ID: "r1", Workload: "compile", Task: "compile:w1", Body: body})
			if err != nil {
				b.Fatal(err)
			}
		}
	})
	c := newCluster(b)
	c.skipRecording = true
	c.serve = func(ctx context.Context, id heatherhub.WorkerID, r worker.Request) (worker.Answer, error) {
		return workers.Serve(ctx, id, r)
	}
	for _, entry := range []heatherhub.HostID{"e1", "e2"} {
		name := map[heatherhub.HostID]string{"e1": "owner-worker", "e2": "entry-owner-worker"}[entry]
		url := "http://" + serveHTTP(b, c.hosts[entry].handler) + "/v1/services/compile"
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				post(b, url, body)
			}
		})
	}
}

// post sends a request and fails the benchmark unless the body is echoed.
func post(b *testing.B, url string, body []byte) {
	b.Helper()
	r, err := http.Post(url, "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	got, err := io.ReadAll(r.Body)
	if err != nil || r.Header.Get(caller.HeaderOutcome) != string(caller.OutcomeAnswered) || !bytes.Equal(got, body) {
		b.Fatalf("got %d %s %q, %v, want the echoed body", r.StatusCode, r.Header.Get(caller.HeaderOutcome), got, err)
	}
}
